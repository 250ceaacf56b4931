#ifndef AMARANTH_REVIEW_STANDIN_STAGE_H
#define AMARANTH_REVIEW_STANDIN_STAGE_H

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/// Stand-ins for the platform, clients, targets and the operator of the review
/// cases. Everything listens on loopback addresses.
namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using Fields = std::map<std::string, std::string>;

/// Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// Unix time in milliseconds.
std::int64_t wallMillis();
void pauseFor(Millis Span);
/// Waits until `Done` returns true; false when `Limit` has passed first.
bool waitFor(Millis Limit, const std::function<bool()> &Done);
/// A random number as hexadecimal digits.
std::string randomId();

/// The record of a run: lines with the time since its start.
class Record {
public:
  explicit Record(const std::string &Path);
  ~Record();
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;
  void line(const std::string &Text);

private:
  std::mutex Mutex;
  std::FILE *File;
  Clock::time_point Start = Clock::now();
};

/// A message of HTTP/1.1. `Status` is 0 if there was no complete response;
/// `Failure` says why.
struct Response {
  int Status = 0;
  std::string Failure;
  /// Names in lower case.
  Fields Headers;
  std::string Body;
};

struct Request {
  std::string Method;
  std::string Target;
  /// Names in lower case.
  Fields Headers;
  std::string Body;
};

struct Address {
  std::string Ip;
  int Port = 0;
  std::string text() const { return Ip + ":" + std::to_string(Port); }
};

/// Sends a request on a new connection and reads the whole response.
Response call(const Address &To, const std::string &Method,
              const std::string &Target, const Fields &Headers,
              const std::string &Body, Millis Timeout);

/// A connection that was accepted by a `Listener`.
class Connection {
public:
  explicit Connection(int Fd) : Fd(Fd) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  /// Reads the next request; false at the end of the connection.
  bool read(Request &Into);
  bool write(const std::string &Bytes);
  bool writeResponse(int Status, const Fields &Headers,
                     const std::string &Body);
  /// Ends a blocked read or write.
  void shutdown();

private:
  int Fd;
  std::string Buffer;
};

/// Accepts connections in a thread and serves each in a thread of its own.
class Listener {
public:
  using Handler = std::function<void(std::shared_ptr<Connection>)>;
  Listener(const Address &Local, Handler Serve);
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

private:
  void accept();

  int Fd;
  Handler Serve;
  std::atomic<bool> Stopping{false};
  std::mutex Mutex;
  std::vector<std::weak_ptr<Connection>> Open;
  std::vector<std::thread> Workers;
  std::thread Acceptor;
};

/// A process of the project that the platform starts. It is started again
/// after it ended by itself, as the platform does, until `stop` or `kill`.
class Daemon {
public:
  Daemon(std::string Name, std::vector<std::string> Command,
         std::string LogPath, Record &Log);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  void start();
  /// Sends a signal to the running process.
  void signal(int Number);
  /// Kills the process and does not start it again until `start`.
  void kill();
  /// How often the process ended without a signal of the test.
  int endsByItself() const { return Ends; }
  const std::string &name() const { return Name; }

private:
  void supervise();

  std::string Name;
  std::vector<std::string> Command;
  std::string LogPath;
  Record &Log;
  std::mutex Mutex;
  pid_t Pid = 0;
  bool Wanted = false;
  std::atomic<int> Ends{0};
  std::atomic<bool> Stopping{false};
  std::thread Supervisor;
};

/// Fills a settings template in: `{{a.b}}` and sections `{{#a}}..{{/a}}`.
std::string renderTemplate(const std::string &Text, const Fields &Values);
std::string readFile(const std::string &Path);
void writeFile(const std::string &Path, const std::string &Text);

/// One machine of the deployment.
struct Machine {
  std::string Name;
  std::string Ip;
  std::string Zone;
  /// Service of the target on the machine; empty on core machines.
  std::string Service;
  std::unique_ptr<Daemon> Process;
  std::string SettingsPath;
  std::string DataFolder;
};

struct DeploymentSize {
  int CoreMachines = 3;
  int ToleratedLosses = 1;
  /// Link of each machine with a target.
  std::string LinkMegabits = "1000.0";
};

/// The processes of a small deployment, started with the commands of
/// `deploy/system.toml` and the templates beside it.
class Deployment {
public:
  Deployment(std::string Root, DeploymentSize Size, Record &Log);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  /// Writes the settings of the machine anew, as the platform does at each
  /// start and whenever they change.
  void writeSettings(Machine &Of, bool Bootstrap);
  Machine &addNode(const std::string &Service);
  std::vector<std::unique_ptr<Machine>> &core() { return CoreMachines; }
  std::vector<std::unique_ptr<Machine>> &nodes() { return NodeMachines; }
  void startCore();
  /// Ends all processes.
  void stop();

  Address outbound(const Machine &Of) const { return {Of.Ip, BasePort + 4}; }
  Address app(const Machine &Of) const { return {Of.Ip, BasePort + 1}; }
  Address ready(const Machine &Of) const { return {Of.Ip, BasePort + 2}; }
  Address control(const Machine &Of) const { return {Of.Ip, BasePort + 6}; }
  const std::string &folder() const { return Folder; }

private:
  std::vector<std::string> commandOf(const std::string &Role,
                                     const std::string &SettingsPath) const;
  std::string seeds() const;
  void addMachine(Machine &Of, const std::string &Role);

  std::string Root;
  DeploymentSize Size;
  Record &Log;
  std::string Folder;
  int BasePort;
  int Network;
  std::vector<std::unique_ptr<Machine>> CoreMachines;
  std::vector<std::unique_ptr<Machine>> NodeMachines;
};

/// A route of a configuration.
struct Route {
  std::string Name;
  std::string Host;
  std::string Prefix;
  std::string Kind;
  double TimeoutS = 4;
  double ObjectiveS = 0.6;
  std::string Service;
};

/// A whole configuration in the form of the platform's pages.
std::string configuration(int Version, int Base,
                          const std::vector<std::string> &Services,
                          const std::vector<Route> &Routes);
/// The label of a configuration that was read back; nothing if it has none.
std::optional<int> labelOf(const std::string &Body);

/// Sends a configuration to the core machines in turn until one answers
/// without a 5xx, as the operator does. Returns the status, or 0.
int sendConfiguration(Deployment &Mesh, const std::string &Body, Millis Limit,
                      Record &Log);

} // namespace review

#endif
