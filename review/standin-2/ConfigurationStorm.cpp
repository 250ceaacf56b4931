// A stand-in for the platform and for an operator who changes every route of a
// long configuration in quick succession. It starts five control processes
// with the settings of the deploy file, ends each one that uses more memory
// than its machine has, starts it again, and reads the configuration at the
// end.
//
// Usage: configuration-storm PROGRAMS TEMPLATE RECORD
// TROUBLE=0 in the environment: as many changes, of one route each.

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

// The sheet of the site: 5 core machines with 256 MB, 2 losses to be borne.
constexpr int Machines = 5;
constexpr long MemoryMegabytes = 256;
// 300 idle routes and `big_config` with 1,640.
constexpr int Routes = 1940;
constexpr int Services = 4;
// "Hundreds of changes".
constexpr int Changes = 700;
constexpr double ChangesEnd = 88;
constexpr double GiveUp = 8;
constexpr double RestartDelay = 0.5;
// `recover_s` of the site, and some more.
constexpr double ReadTime = 18;
constexpr double LastRead = 112;
constexpr int OperatorPort = 8306;
constexpr int InnerPort = 7620;

Clock::time_point Start;
std::ofstream Record;
std::mutex RecordMutex;

double now() { return Seconds(Clock::now() - Start).count(); }

void note(const std::string &Text) {
  std::lock_guard<std::mutex> Guard(RecordMutex);
  std::array<char, 32> Time{};
  std::snprintf(Time.data(), Time.size(), "%8.3f s  ", now());
  Record << Time.data() << Text << '\n' << std::flush;
}

void pause(double Span) { std::this_thread::sleep_for(Seconds(Span)); }

void replaceAll(std::string &Text, const std::string &From,
                const std::string &To) {
  for (std::size_t At = 0; (At = Text.find(From, At)) != std::string::npos;
       At += To.size())
    Text.replace(At, From.size(), To);
}

struct Answer {
  int Status = 0;
  std::string Body;
};

/// Sends one request on a new connection. Status 0: no answer within `Limit`.
Answer call(const std::string &Ip, const std::string &Request, double Limit) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return {};
  timeval Wait{static_cast<time_t>(Limit), 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Wait, sizeof Wait);
  ::setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Wait, sizeof Wait);
  sockaddr_in Peer{};
  Peer.sin_family = AF_INET;
  Peer.sin_port = htons(OperatorPort);
  ::inet_pton(AF_INET, Ip.c_str(), &Peer.sin_addr);
  Answer Result;
  std::string Received;
  bool Sent =
      ::connect(Socket, reinterpret_cast<sockaddr *>(&Peer), sizeof Peer) == 0;
  for (std::size_t Done = 0; Sent && Done < Request.size();) {
    ssize_t Count = ::send(Socket, Request.data() + Done, Request.size() - Done,
                           MSG_NOSIGNAL);
    Sent = Count > 0;
    Done += Sent ? static_cast<std::size_t>(Count) : 0;
  }
  std::array<char, 65536> Buffer{};
  for (ssize_t Count = 1; Sent && Count > 0;) {
    Count = ::recv(Socket, Buffer.data(), Buffer.size(), 0);
    if (Count > 0)
      Received.append(Buffer.data(), static_cast<std::size_t>(Count));
  }
  ::close(Socket);
  std::size_t End = Received.find("\r\n\r\n");
  if (End == std::string::npos)
    return Result;
  std::size_t Length = Received.find("Content-Length: ");
  std::size_t Expected =
      Length < End ? std::stoul(Received.substr(Length + 16)) : 0;
  // An answer that ends early is none.
  if (Received.size() - End - 4 < Expected)
    return Result;
  Result.Status = std::stoi(Received.substr(9, 3));
  Result.Body = Received.substr(End + 4);
  return Result;
}

std::string post(const std::string &Path, const std::string &Body) {
  return "POST " + Path +
         " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
         "Connection: close\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// A complete configuration. The weights are those of the last change of each
/// route.
std::string configuration(int Version, int Base,
                          const std::vector<int> &Weights) {
  std::string Text = "{\"version\":" + std::to_string(Version) +
                     ",\"routes\":{\"columns\":[\"name\",\"host\","
                     "\"path_prefix\",\"kind\",\"timeout_s\",\"sl"
                     "o_s\","
                     "\"priority\",\"traffic_"
                     "split\",\"max_attempts\","
                     "\"service\"],\"rows\":[";
  for (int I = 0; I < Routes; ++I) {
    std::string Number = std::to_string(10000 + I);
    Text += I == 0 ? "[\"r-n2" : ",[\"r-n2";
    Text.append(Number).append("\",\"hulo").append(std::to_string(I % 90));
    Text.append(".example\",\"/leny").append(Number);
    Text += "/\",\"idempotent\",0.8,0.3,2,[";
    for (int Part = 0; Part < Services; ++Part) {
      int Weight = Part == 0 ? Weights[I] : 100 - Weights[I];
      Text += Part == 0 ? "{\"service\":\"huvo" : ",{\"service\":\"huvo";
      Text.append(std::to_string((I + Part) % Services));
      Text.append("a\",\"weight\":").append(std::to_string(Weight));
      Text += "}";
    }
    Text += "],2,null]";
  }
  Text += "]},\"services\":{\"columns\":[\"name\",\"health_path\","
          "\"max_connections\",\"protocol\",\"tls\"],\"rows\":[";
  for (int I = 0; I < Services; ++I)
    Text += std::string(I == 0 ? "" : ",") + "[\"huvo" + std::to_string(I) +
            "a\",\"/health\",110,\"h1\",false]";
  return Text +
         "]},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
         "67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15},"
         "\"base_"
         "version\":" +
         std::to_string(Base) + "}";
}

/// The platform: starts the control processes, watches their memory and starts
/// again what has ended.
class Platform {
public:
  Platform(std::string Programs, const std::string &TemplateFile)
      : Programs(std::move(Programs)) {
    std::ifstream Input(TemplateFile);
    Template.assign(std::istreambuf_iterator<char>(Input), {});
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "storm-XXXXXX").string();
    if (::mkdtemp(Pattern.data()))
      Folder = Pattern;
    std::random_device Source;
    Network = "127." + std::to_string(20 + Source() % 200) + "." +
              std::to_string(1 + Source() % 250) + ".";
  }
  ~Platform() {
    stop();
    std::error_code Ignored;
    if (!Folder.empty())
      std::filesystem::remove_all(Folder, Ignored);
  }
  Platform(const Platform &) = delete;
  Platform &operator=(const Platform &) = delete;

  bool usable() const { return !Template.empty() && !Folder.empty(); }
  std::string ip(int Machine) const {
    return Network + std::to_string(Machine + 1);
  }

  void startAll() {
    for (int Machine = 0; Machine < Machines; ++Machine)
      start(Machine, true);
    Watcher = std::thread([this] { watch(); });
  }

  void stop() {
    Stopping = true;
    if (Watcher.joinable())
      Watcher.join();
    for (pid_t &Process : Processes)
      if (Process > 0) {
        ::kill(Process, SIGKILL);
        ::waitpid(Process, nullptr, 0);
        Process = 0;
      }
  }

  std::string memory() const {
    std::string Text;
    for (int Machine = 0; Machine < Machines; ++Machine)
      Text += (Machine == 0 ? "" : " ") + std::to_string(Megabytes[Machine]);
    return Text;
  }

  /// How often each process was ended because of its memory.
  std::array<std::atomic<int>, Machines> Ends{};
  /// How often a process ended in another way.
  std::atomic<int> OtherEnds = 0;

private:
  void start(int Machine, bool Bootstrap) {
    std::string Home = Folder + "/core-" + std::to_string(Machine);
    std::filesystem::create_directories(Home + "/data");
    std::string Seeds;
    for (int I = 0; I < 3; ++I)
      Seeds += (I == 0 ? "" : ",") + ip(I) + ":" + std::to_string(OperatorPort);
    std::string Text = Template;
    replaceAll(Text, "{{zone}}", "sask-" + std::to_string(Machine % 3));
    replaceAll(Text, "{{data_dir}}", Home + "/data");
    replaceAll(Text, "{{ip}}", ip(Machine));
    replaceAll(Text, "{{internal_ports.0}}", std::to_string(InnerPort));
    replaceAll(Text, "{{listen.control}}",
               ip(Machine) + ":" + std::to_string(OperatorPort));
    replaceAll(Text, "{{seeds}}", Seeds);
    replaceAll(Text, "{{bootstrap}}", Bootstrap ? "true" : "false");
    replaceAll(Text, "{{fault_tolerance.machines}}", "2");
    std::ofstream(Home + "/settings.ini") << Text;
    std::string Program = Programs + "/amaranth-control";
    std::string Config = "--config=" + Home + "/settings.ini";
    std::string Log = Home + "/log";
    pid_t Child = ::fork();
    if (Child == 0) {
      int Output = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(Output, STDOUT_FILENO);
      ::dup2(Output, STDERR_FILENO);
      ::execl(Program.c_str(), Program.c_str(), Config.c_str(), nullptr);
      ::_exit(127);
    }
    Processes[Machine] = Child;
  }

  static long megabytesOf(pid_t Process) {
    std::ifstream Input("/proc/" + std::to_string(Process) + "/statm");
    long Size = 0;
    long Resident = 0;
    Input >> Size >> Resident;
    return Resident * ::sysconf(_SC_PAGESIZE) / (1L << 20);
  }

  void watch() {
    std::array<std::optional<double>, Machines> DownSince;
    while (!Stopping) {
      for (int Machine = 0; Machine < Machines; ++Machine) {
        pid_t &Process = Processes[Machine];
        if (Process == 0) {
          if (now() - *DownSince[Machine] >= RestartDelay) {
            start(Machine, false);
            note("core-" + std::to_string(Machine) + " started again");
          }
          continue;
        }
        Megabytes[Machine] = megabytesOf(Process);
        if (Megabytes[Machine] > MemoryMegabytes) {
          note("core-" + std::to_string(Machine) + " uses " +
               std::to_string(Megabytes[Machine]) +
               " MB of 256 and is killed, time " +
               std::to_string(++Ends[Machine]));
          ::kill(Process, SIGKILL);
          ::waitpid(Process, nullptr, 0);
        } else if (::waitpid(Process, nullptr, WNOHANG) != 0) {
          note("core-" + std::to_string(Machine) + " ended by itself");
          ++OtherEnds;
        } else {
          continue;
        }
        Process = 0;
        Megabytes[Machine] = 0;
        DownSince[Machine] = now();
      }
      pause(0.05);
    }
  }

  std::string Programs;
  std::string Template;
  std::string Folder;
  std::string Network;
  std::array<pid_t, Machines> Processes{};
  std::array<std::atomic<long>, Machines> Megabytes{};
  std::atomic<bool> Stopping = false;
  std::thread Watcher;
};

/// The operator. Picks a machine, and moves on to another one after a failure,
/// a 5xx or a time without a response.
class Operator {
public:
  explicit Operator(Platform &Core) : Core(Core) {}

  /// Sends one change until it is acknowledged. False if it was not within
  /// `GiveUp`, or was refused.
  bool change(int Version, int Base, const std::vector<int> &Weights) {
    std::string Request =
        post("/config/replace", configuration(Version, Base, Weights));
    double Pause = 0.05;
    for (double Sent = now(); now() - Sent < GiveUp;) {
      Answer Got = call(Core.ip(Machine), Request, 3);
      if (Got.Status == 200)
        return true;
      note("version " + std::to_string(Version) + " sent to core-" +
           std::to_string(Machine) + ": " + std::to_string(Got.Status) + " " +
           Got.Body.substr(0, 80));
      if (Got.Status >= 400 && Got.Status < 500)
        return false;
      Machine = (Machine + 1) % Machines;
      pause(Pause);
      Pause = std::min(Pause * 1.5, 0.5);
    }
    return false;
  }

  /// The version that a machine answers with; nothing without a 200.
  std::optional<int> read(int From) {
    Answer Got = call(Core.ip(From),
                      "GET /config/get HTTP/1.1\r\nHost: control\r\n"
                      "Connection: close\r\n\r\n",
                      2);
    LastStatus = Got.Status;
    std::size_t At = Got.Body.find("\"version\":");
    if (Got.Status != 200 || At == std::string::npos)
      return std::nullopt;
    return std::stoi(Got.Body.substr(At + 10));
  }

  int LastStatus = 0;

private:
  Platform &Core;
  int Machine = 0;
};

int run(Platform &Core, bool Trouble) {
  Core.startAll();
  Operator Sender(Core);
  std::vector<int> Weights(Routes, 90);
  if (!Sender.change(1, 0, Weights)) {
    note("the first configuration was not acknowledged");
    return 2;
  }
  int Acknowledged = 1;
  for (int Version = 2; Version <= Changes && now() < ChangesEnd; ++Version) {
    for (int I = 0; I < Routes; ++I)
      if (Trouble || I == Version % Routes)
        Weights[I] = 10 + (Weights[I] + 10) % 80;
    double Sent = now();
    if (!Sender.change(Version, Acknowledged, Weights)) {
      note("version " + std::to_string(Version) + " was not acknowledged");
      break;
    }
    Acknowledged = Version;
    if (Version % 25 == 0 || now() - Sent > 1)
      note("version " + std::to_string(Version) + " acknowledged after " +
           std::to_string(now() - Sent) + " s; MB in use: " + Core.memory());
  }
  note("changes end; the newest acknowledged version is " +
       std::to_string(Acknowledged));
  std::optional<int> Newest;
  for (double Begin = now();
       now() - Begin < ReadTime && now() < LastRead && !Newest;) {
    for (int Machine = 0; Machine < Machines && !Newest; ++Machine) {
      Newest = Sender.read(Machine);
      note("read at core-" + std::to_string(Machine) + ": " +
           std::to_string(Sender.LastStatus) +
           (Newest ? " version " + std::to_string(*Newest) : std::string()));
    }
    pause(0.5);
  }
  int Often = 0;
  for (const auto &Each : Core.Ends)
    Often += Each >= 3 ? 1 : 0;
  bool Lost = !Newest || *Newest < Acknowledged;
  bool Fault = Often * 2 > Machines;
  note("ends because of memory: " + std::to_string(Core.Ends[0]) + " " +
       std::to_string(Core.Ends[1]) + " " + std::to_string(Core.Ends[2]) + " " +
       std::to_string(Core.Ends[3]) + " " + std::to_string(Core.Ends[4]) +
       "; other ends: " + std::to_string(Core.OtherEnds));
  note(std::string("CONFIG (read back at the end): ") +
       (Lost ? "BROKEN" : "held"));
  note(std::string("Fault (half of the core ends three times): ") +
       (Fault ? "BROKEN" : "held"));
  return Lost || Fault ? 1 : 0;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 4)
    return 2;
  Start = Clock::now();
  Record.open(Argv[3]);
  const char *Setting = std::getenv("TROUBLE");
  bool Trouble = !Setting || std::strcmp(Setting, "0") != 0;
  Platform Core(Argv[1], Argv[2]);
  if (!Core.usable())
    return 2;
  note(Trouble ? "each change sets the weights of all routes"
               : "each change sets the weights of one route");
  int Result = run(Core, Trouble);
  Core.stop();
  return Result;
}
