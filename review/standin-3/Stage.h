//===- Stage.h - Deployment and stand-ins for the cases of review 3 -------===//
//
// Starts the project's daemons with the commands of the deploy file on loopback
// addresses, and provides the platform, the targets and the clients around
// them.
//
//===----------------------------------------------------------------------===//

#ifndef REVIEW_STANDIN_3_STAGE_H
#define REVIEW_STANDIN_3_STAGE_H

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

/// Thrown when the case cannot be run: exit status 2.
struct CannotRun {
  std::string Why;
};

/// Seconds since the start of the program.
double now();
void sleepFor(double Seconds);
void sleepUntil(double Time);

/// Writes record.txt, a line for each event.
class Record {
public:
  explicit Record(const std::string &Path);
  ~Record();
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;
  void line(const std::string &Text);

private:
  std::mutex Lock;
  int File;
};

struct Address {
  std::string Ip;
  int Port = 0;
  std::string text() const { return Ip + ":" + std::to_string(Port); }
};

/// A connection with a read buffer.
class Stream {
public:
  explicit Stream(int Descriptor) : Descriptor(Descriptor) {}
  ~Stream() { close(); }
  Stream(const Stream &) = delete;
  Stream &operator=(const Stream &) = delete;

  /// Returns nullptr if no connection is established within a second. `From` is
  /// the local IP address.
  static std::unique_ptr<Stream> connect(const Address &To,
                                         const std::string &From);
  /// Returns false after an error of the connection.
  bool send(const std::string &Bytes);
  /// Reads up to the end of a head. Empty at the end of the connection or at
  /// the time `Until`.
  std::string readHead(double Until);
  /// Reads `Size` bytes; less at the end of the connection or at `Until`.
  std::string readBytes(std::size_t Size, double Until);
  /// Whether the peer has closed the connection or reset it. What it sent
  /// before is read into the buffer.
  bool peerClosed();
  /// Whether bytes of the peer or its end have arrived.
  bool hasInput();
  /// Ends the connection, with a reset if `Reset`.
  void close(bool Reset = false);
  bool atEnd() const { return Ended; }
  /// Closes the sending and the receiving side. For use by other threads.
  void wake();

private:
  bool fill(double Until);

  int Descriptor;
  std::string Buffer;
  bool Ended = false;
};

struct Message {
  /// The request or status line.
  std::string First;
  /// Names in lower case.
  std::map<std::string, std::string> Fields;
  std::string Body;
  bool Complete = false;

  std::string field(const std::string &Name) const;
  int status() const;
};

/// Parses the first line and the header fields.
Message parseHead(const std::string &Head);
/// Reads the body of a request, which has a length or is chunked.
bool readRequestBody(Stream &From, double Until, Message &Into);
/// Reads a response.
std::optional<Message> readResponse(Stream &From, double Until);

/// A process next to a node: its slots are not limited.
class Target {
public:
  using Handler = std::function<void(Stream &, const Message &)>;
  /// Called with the head of a request. Returns true if it has dealt with the
  /// request and its connection.
  using HeadHandler = std::function<bool(Stream &, const Message &)>;

  Target(std::string Id, std::string Service, Address At, Address Announce,
         std::string Zone, Handler Handle, HeadHandler HandleHead = nullptr);
  ~Target();
  Target(const Target &) = delete;
  Target &operator=(const Target &) = delete;

  /// Sends no more heartbeats of its own. Returns after the last one.
  void stopAnnouncing();
  /// A heartbeat with the next sequence number and the phase `ready`, for a
  /// delayed delivery with `deliver`.
  std::string takeHeartbeat();
  /// Delivers a heartbeat. Returns whether it was acknowledged.
  bool deliver(const std::string &Heartbeat);
  /// Returns whether the departure was acknowledged.
  bool signOff();

  const std::string Id;

private:
  bool post(const std::string &Action, const std::string &Body);
  void accept();
  void serve(const std::shared_ptr<Stream> &Caller);
  void announce();

  std::string Service;
  Address At;
  Address AnnounceAt;
  std::string Zone;
  Handler Handle;
  HeadHandler HandleHead;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> Quiet{false};
  /// Unix milliseconds of the start.
  long long Born;
  std::atomic<int> Sequence{0};
  int Listener;
  std::mutex Lock;
  std::vector<std::shared_ptr<Stream>> Open;
  std::vector<std::thread> Threads;
  std::thread Accepting;
  std::thread Announcing;
};

struct Route {
  std::string Name;
  std::string Host;
  std::string Kind;
  std::string Service;
  double TimeoutSeconds = 1;
  int MaxAttempts = 2;
};

/// The daemons of a small deployment: three control processes and a node for
/// each entry of `Services`.
class Deployment {
public:
  Deployment(std::string Root, std::vector<std::string> Services, Record &Log);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  std::string ip(std::size_t Node) const;
  std::string zone(std::size_t Node) const;
  Address caller(std::size_t Node) const { return {ip(Node), 8304}; }
  Address announce(std::size_t Node) const { return {ip(Node), 8306}; }
  /// Address of the target next to the node.
  Address target(std::size_t Node) const { return {ip(Node), 8080}; }
  std::size_t size() const { return Services.size(); }
  const std::string &service(std::size_t Node) const { return Services[Node]; }

  /// Starts all daemons.
  void start();
  /// Sends the first configuration until it is accepted.
  void configure(const std::vector<Route> &Routes);
  /// Waits until each node answers its readiness check with 200.
  void waitReady();
  /// Sends a signal to the process of a node.
  void signal(std::size_t Node, int Number);
  /// Ends the process of a node with SIGKILL and starts it again at once.
  void restart(std::size_t Node);
  /// Ends all control processes with SIGKILL.
  void killControls();
  void restartControls();
  /// Daemons that have ended by themselves.
  std::size_t ended();

private:
  std::string controlIp(int Index) const;
  void launch(const std::string &Program, const std::string &Name,
              const std::string &Settings);
  /// Starts a process that was ended.
  void launchAgain(std::size_t Index);
  void end(std::size_t Index);

  std::string Root;
  std::vector<std::string> Services;
  Record &Log;
  std::string Folder;
  std::string Net;
  /// Program and name.
  std::vector<std::pair<std::string, std::string>> Commands;
  /// -1 for a process that was ended.
  std::vector<pid_t> Processes;
};

/// One client attempt.
struct Outcome {
  double Sent = 0;
  double Ended = 0;
  /// 0 if the connection ended without a response head.
  int Status = 0;
  bool Complete = false;
  std::size_t BodyBytes = 0;
  bool Signed = false;
};

/// Text of a request without a body, or with one of `BodyBytes`.
std::string requestText(const std::string &Method, const std::string &Host,
                        const std::string &Path, const std::string &Id,
                        int DeadlineMs, std::size_t BodyBytes);
/// Sends a request on a new connection and reads the response for up to the
/// client's deadline and `Patience` seconds more.
Outcome call(const Address &To, const std::string &Request, double Until);
/// Head of a target's response.
std::string answerHead(const Message &Request, std::size_t Length);
/// The id of the client attempt.
std::string attemptOf(const Message &Request);

/// Whether the environment asks for the run without the disruption.
bool withTrouble();

} // namespace review

#endif // REVIEW_STANDIN_3_STAGE_H
