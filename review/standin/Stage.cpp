#include "Stage.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t MaxHeadBytes = std::size_t{64} << 10U;
/// The platform starts a process again after this time.
constexpr Millis RestartDelay = Millis(500);
constexpr Millis SupervisePeriod = Millis(10);

sockaddr_in socketAddress(const Address &Of) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<std::uint16_t>(Of.Port));
  inet_pton(AF_INET, Of.Ip.c_str(), &Result.sin_addr);
  return Result;
}

int boundSocket(const Address &Local) {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Bound = socketAddress(Local);
  if (::bind(Fd, reinterpret_cast<sockaddr *>(&Bound), sizeof(Bound)) != 0) {
    ::close(Fd);
    return -1;
  }
  return Fd;
}

bool waitReadable(int Fd, Clock::time_point End) {
  auto Left = std::chrono::duration_cast<Millis>(End - Clock::now()).count();
  pollfd Poll{Fd, POLLIN, 0};
  return Left > 0 && ::poll(&Poll, 1, static_cast<int>(Left)) > 0;
}

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Text;
}

/// Splits a head into its first line and its fields.
std::string parseHead(const std::string &Head, Fields &Into) {
  std::istringstream Lines(Head);
  std::string First;
  std::string Line;
  std::getline(Lines, First);
  while (std::getline(Lines, Line)) {
    auto Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    auto Start = Line.find_first_not_of(' ', Colon + 1);
    auto End = Line.find_last_not_of("\r ");
    if (Start == std::string::npos || End < Start)
      continue;
    Into[lowerCase(Line.substr(0, Colon))] =
        Line.substr(Start, End - Start + 1);
  }
  return First.substr(0, First.find('\r'));
}

std::string headText(const std::string &First, const Fields &Headers,
                     std::size_t BodyBytes) {
  std::string Text = First + "\r\n";
  for (const auto &[Name, Value] : Headers)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  return Text + "Content-Length: " + std::to_string(BodyBytes) + "\r\n\r\n";
}

bool writeAll(int Fd, const std::string &Bytes) {
  std::size_t Written = 0;
  while (Written < Bytes.size()) {
    ssize_t Count = ::send(Fd, Bytes.data() + Written, Bytes.size() - Written,
                           MSG_NOSIGNAL);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      return false;
    Written += static_cast<std::size_t>(Count);
  }
  return true;
}

/// Removes one chunked body from the start of `Buffer`. Returns false if it is
/// not complete.
bool takeChunks(const std::string &Buffer, std::string &Body) {
  std::size_t At = 0;
  Body.clear();
  for (;;) {
    auto LineEnd = Buffer.find("\r\n", At);
    if (LineEnd == std::string::npos)
      return false;
    std::size_t Size = std::strtoul(Buffer.c_str() + At, nullptr, 16);
    At = LineEnd + 2;
    if (Buffer.size() < At + Size + 2)
      return false;
    if (Size == 0)
      return true;
    Body.append(Buffer, At, Size);
    At += Size + 2;
  }
}

/// Whether no process listens on the ports that a deployment uses.
bool portsAreFree(int BasePort) {
  for (int Offset : {1, 2, 4, 6, 10}) {
    int Fd = boundSocket({"0.0.0.0", BasePort + Offset});
    if (Fd < 0)
      return false;
    ::close(Fd);
  }
  return true;
}

/// Reads a response until it is complete, broken or late.
class ResponseReader {
public:
  ResponseReader(int Fd, Clock::time_point End) : Fd(Fd), End(End) {}

  Response read() {
    Response Result;
    while (!complete(Result)) {
      if (!waitReadable(Fd, End))
        return failed("no complete response in time");
      char Piece[16384];
      ssize_t Count = ::recv(Fd, Piece, sizeof(Piece), 0);
      if (Count < 0)
        return failed(std::strerror(errno));
      if (Count == 0)
        return failed(Buffer.empty() ? "closed without a response"
                                     : "closed within the response");
      Buffer.append(Piece, static_cast<std::size_t>(Count));
    }
    return Result;
  }

private:
  bool complete(Response &Into) {
    auto HeadEnd = Buffer.find("\r\n\r\n");
    if (HeadEnd == std::string::npos)
      return false;
    Into = Response();
    std::string First = parseHead(Buffer.substr(0, HeadEnd + 2), Into.Headers);
    auto Space = First.find(' ');
    if (Space == std::string::npos)
      return false;
    std::string Rest = Buffer.substr(HeadEnd + 4);
    if (Into.Headers.count("transfer-encoding") != 0) {
      if (!takeChunks(Rest, Into.Body))
        return false;
    } else {
      std::size_t Length =
          std::strtoul(Into.Headers["content-length"].c_str(), nullptr, 10);
      if (Rest.size() < Length)
        return false;
      Into.Body = Rest.substr(0, Length);
    }
    Into.Status = std::atoi(First.c_str() + Space + 1);
    return true;
  }

  static Response failed(const std::string &Why) {
    Response Result;
    Result.Failure = Why;
    return Result;
  }

  int Fd;
  Clock::time_point End;
  std::string Buffer;
};

} // namespace

std::int64_t wallMillis() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void pauseFor(Millis Span) { std::this_thread::sleep_for(Span); }

bool waitFor(Millis Limit, const std::function<bool()> &Done) {
  Clock::time_point End = Clock::now() + Limit;
  while (!Done()) {
    if (Clock::now() >= End)
      return false;
    pauseFor(Millis(50));
  }
  return true;
}

std::string randomId() {
  static std::mutex Mutex;
  static std::mt19937_64 Random(std::random_device{}());
  std::lock_guard<std::mutex> Guard(Mutex);
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(Random()));
  return Text;
}

Record::Record(const std::string &Path) : File(std::fopen(Path.c_str(), "we")) {
  if (!File)
    throw std::runtime_error("cannot write " + Path);
}

Record::~Record() { std::fclose(File); }

void Record::line(const std::string &Text) {
  std::lock_guard<std::mutex> Guard(Mutex);
  auto Since = std::chrono::duration_cast<Millis>(Clock::now() - Start).count();
  std::fprintf(File, "%7.3f %s\n", static_cast<double>(Since) / 1000,
               Text.c_str());
  std::fflush(File);
}

Response call(const Address &To, const std::string &Method,
              const std::string &Target, const Fields &Headers,
              const std::string &Body, Millis Timeout) {
  Response Result;
  Clock::time_point End = Clock::now() + Timeout;
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Peer = socketAddress(To);
  if (::connect(Fd, reinterpret_cast<sockaddr *>(&Peer), sizeof(Peer)) != 0) {
    Result.Failure = std::string("connect: ") + std::strerror(errno);
    ::close(Fd);
    return Result;
  }
  int On = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  if (writeAll(Fd, headText(Method + " " + Target + " HTTP/1.1", Headers,
                            Body.size()) +
                       Body))
    Result = ResponseReader(Fd, End).read();
  else
    Result.Failure = "the connection broke while the request was sent";
  ::close(Fd);
  return Result;
}

Connection::~Connection() { ::close(Fd); }

bool Connection::read(Request &Into) {
  for (;;) {
    auto HeadEnd = Buffer.find("\r\n\r\n");
    if (HeadEnd != std::string::npos) {
      Into = Request();
      std::istringstream First(
          parseHead(Buffer.substr(0, HeadEnd + 2), Into.Headers));
      First >> Into.Method >> Into.Target;
      std::size_t Length =
          std::strtoul(Into.Headers["content-length"].c_str(), nullptr, 10);
      if (Buffer.size() >= HeadEnd + 4 + Length) {
        Into.Body = Buffer.substr(HeadEnd + 4, Length);
        Buffer.erase(0, HeadEnd + 4 + Length);
        return true;
      }
    } else if (Buffer.size() > MaxHeadBytes) {
      return false;
    }
    char Piece[16384];
    ssize_t Count = ::recv(Fd, Piece, sizeof(Piece), 0);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      return false;
    Buffer.append(Piece, static_cast<std::size_t>(Count));
  }
}

bool Connection::write(const std::string &Bytes) { return writeAll(Fd, Bytes); }

bool Connection::writeResponse(int Status, const Fields &Headers,
                               const std::string &Body) {
  return write(headText("HTTP/1.1 " + std::to_string(Status) + " Status",
                        Headers, Body.size()) +
               Body);
}

void Connection::shutdown() { ::shutdown(Fd, SHUT_RDWR); }

Listener::Listener(const Address &Local, Handler Serve)
    : Fd(boundSocket(Local)), Serve(std::move(Serve)) {
  if (Fd < 0 || ::listen(Fd, 512) != 0)
    throw std::runtime_error("cannot listen on " + Local.text());
  Acceptor = std::thread([this] { accept(); });
}

Listener::~Listener() {
  Stopping = true;
  ::shutdown(Fd, SHUT_RDWR);
  Acceptor.join();
  ::close(Fd);
  {
    std::lock_guard<std::mutex> Guard(Mutex);
    for (const auto &Each : Open)
      if (auto Alive = Each.lock())
        Alive->shutdown();
  }
  for (std::thread &Each : Workers)
    Each.join();
}

void Listener::accept() {
  while (!Stopping) {
    int Accepted = ::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (Accepted < 0)
      continue;
    int On = 1;
    ::setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    auto Peer = std::make_shared<Connection>(Accepted);
    std::lock_guard<std::mutex> Guard(Mutex);
    Open.push_back(Peer);
    Workers.emplace_back([this, Peer] { Serve(Peer); });
  }
}

Daemon::Daemon(std::string Name, std::vector<std::string> Command,
               std::string LogPath, Record &Log)
    : Name(std::move(Name)), Command(std::move(Command)),
      LogPath(std::move(LogPath)), Log(Log) {
  Supervisor = std::thread([this] { supervise(); });
}

Daemon::~Daemon() {
  kill();
  Stopping = true;
  Supervisor.join();
}

void Daemon::start() {
  std::lock_guard<std::mutex> Guard(Mutex);
  Wanted = true;
  if (Pid != 0)
    return;
  std::vector<char *> Arguments;
  for (std::string &Each : Command)
    Arguments.push_back(Each.data());
  Arguments.push_back(nullptr);
  int Output =
      ::open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  pid_t Child = ::fork();
  if (Child == 0) {
    ::dup2(Output, STDOUT_FILENO);
    ::dup2(Output, STDERR_FILENO);
    ::execv(Arguments[0], Arguments.data());
    ::_exit(127);
  }
  ::close(Output);
  Pid = Child;
  Log.line("platform: started " + Name);
}

void Daemon::signal(int Number) {
  std::lock_guard<std::mutex> Guard(Mutex);
  if (Pid == 0)
    return;
  Log.line("platform: signal " + std::to_string(Number) + " to " + Name);
  ::kill(Pid, Number);
}

void Daemon::kill() {
  std::lock_guard<std::mutex> Guard(Mutex);
  Wanted = false;
  if (Pid == 0)
    return;
  ::kill(Pid, SIGCONT);
  ::kill(Pid, SIGKILL);
  ::waitpid(Pid, nullptr, 0);
  Pid = 0;
  Log.line("platform: killed " + Name);
}

void Daemon::supervise() {
  while (!Stopping) {
    pauseFor(SupervisePeriod);
    {
      std::lock_guard<std::mutex> Guard(Mutex);
      int Status = 0;
      if (Pid == 0 || ::waitpid(Pid, &Status, WNOHANG) != Pid)
        continue;
      Pid = 0;
      ++Ends;
      Log.line("platform: " + Name + " ended by itself, " +
               (WIFSIGNALED(Status)
                    ? "signal " + std::to_string(WTERMSIG(Status))
                    : "exit code " + std::to_string(WEXITSTATUS(Status))));
    }
    pauseFor(RestartDelay);
    bool Again = false;
    {
      std::lock_guard<std::mutex> Guard(Mutex);
      Again = Wanted && !Stopping;
    }
    if (Again)
      start();
  }
}

std::string renderTemplate(const std::string &Text, const Fields &Values) {
  std::string Result;
  std::size_t At = 0;
  bool Shown = true;
  std::string Section;
  while (At < Text.size()) {
    auto Open = Text.find("{{", At);
    if (Shown)
      Result.append(Text, At, Open == std::string::npos ? Open : Open - At);
    if (Open == std::string::npos)
      break;
    auto Close = Text.find("}}", Open);
    std::string Name = Text.substr(Open + 2, Close - Open - 2);
    At = Close + 2;
    if (Name[0] == '#') {
      Section = Name.substr(1);
      Shown = Values.count(Section) != 0;
    } else if (Name[0] == '/') {
      Shown = true;
    } else if (Shown) {
      auto Found = Values.find(Name);
      Result += Found == Values.end() ? "" : Found->second;
    }
  }
  return Result;
}

std::string readFile(const std::string &Path) {
  std::ifstream Input(Path, std::ios::binary);
  if (!Input)
    throw std::runtime_error("cannot read " + Path);
  std::ostringstream Text;
  Text << Input.rdbuf();
  return Text.str();
}

void writeFile(const std::string &Path, const std::string &Text) {
  std::ofstream(Path, std::ios::binary | std::ios::trunc) << Text;
}

Deployment::Deployment(std::string RootFolder, DeploymentSize Size, Record &Log)
    : Root(std::move(RootFolder)), Size(Size), Log(Log) {
  const char *Base = std::getenv("TMPDIR");
  Folder = std::string(Base ? Base : "/tmp") + "/review-XXXXXX";
  if (!::mkdtemp(Folder.data()))
    throw std::runtime_error("no temporary folder");
  std::mt19937 Random(std::random_device{}());
  do {
    // Below the range of ports that outgoing connections take.
    BasePort = 12000 + static_cast<int>(Random() % 1000) * 20;
    Network = 16 + static_cast<int>(Random() % 200);
  } while (!portsAreFree(BasePort));
  for (int I = 0; I < Size.CoreMachines; ++I) {
    auto Added = std::make_unique<Machine>();
    Added->Name = "core-" + std::to_string(I + 1);
    Added->Ip =
        "127." + std::to_string(Network) + ".0." + std::to_string(I + 11);
    Added->Zone = std::string("zone-") + static_cast<char>('a' + I % 3);
    CoreMachines.push_back(std::move(Added));
  }
  for (auto &Each : CoreMachines)
    addMachine(*Each, "control");
}

Deployment::~Deployment() {
  stop();
  std::error_code Ignored;
  if (!std::getenv("KEEP"))
    std::filesystem::remove_all(Folder, Ignored);
}

void Deployment::addMachine(Machine &Of, const std::string &Role) {
  Of.SettingsPath = Folder + "/" + Of.Name + ".ini";
  Of.DataFolder = Folder + "/" + Of.Name + ".data";
  writeSettings(Of, true);
  Of.Process =
      std::make_unique<Daemon>(Of.Name, commandOf(Role, Of.SettingsPath),
                               Folder + "/" + Of.Name + ".log", Log);
}

std::vector<std::string>
Deployment::commandOf(const std::string &Role,
                      const std::string &SettingsPath) const {
  std::istringstream Lines(readFile(Root + "/deploy/system.toml"));
  std::string Line;
  std::string Table;
  while (std::getline(Lines, Line)) {
    if (Line.rfind('[', 0) == 0)
      Table = Line;
    if (Table != "[roles." + Role + "]" || Line.rfind("run = \"", 0) != 0)
      continue;
    std::istringstream Words(Line.substr(7, Line.rfind('"') - 7));
    std::vector<std::string> Result;
    std::string Word;
    while (Words >> Word)
      Result.push_back(Word);
    Result[0] = Root + "/" + Result[0];
    // The settings lie in the temporary folder of this run.
    for (std::string &Each : Result)
      if (auto At = Each.find("/etc/"); At != std::string::npos)
        Each.replace(At, std::string::npos, SettingsPath);
    return Result;
  }
  throw std::runtime_error("the deploy file has no role " + Role);
}

std::string Deployment::seeds() const {
  std::string Result;
  for (std::size_t I = 0; I < CoreMachines.size() && I < 3; ++I)
    Result += (I == 0 ? "" : ",") + control(*CoreMachines[I]).text();
  return Result;
}

void Deployment::writeSettings(Machine &Of, bool Bootstrap) {
  bool IsNode = !Of.Service.empty();
  Fields Values = {
      {"node_name", Of.Name},
      {"ip", Of.Ip},
      {"zone", Of.Zone},
      {"internal_ports.0", std::to_string(BasePort + 10)},
      {"seeds", seeds()},
      {"bootstrap", Bootstrap ? "true" : "false"},
      {"heartbeat_s", "1.5"},
      {"fault_tolerance.machines", std::to_string(Size.ToleratedLosses)},
      {"bounds.grace_s", "6"},
      {"bounds.retry_budget_ratio", "0.2"},
      {"bounds.budget_min_retries", "60"},
      {"bounds.budget_window_s", "10"},
      {"limits.link_mbps", Size.LinkMegabits},
      {"listen.outbound", outbound(Of).text()},
      {"listen.readiness_addr", ready(Of).text()},
      {"listen.control", control(Of).text()}};
  if (IsNode)
    Values["service"] = Of.Service;
  else
    Values["data_dir"] = Of.DataFolder;
  std::string Template =
      readFile(Root + (IsNode ? "/deploy/node.ini" : "/deploy/control.ini"));
  writeFile(Of.SettingsPath + ".new", renderTemplate(Template, Values));
  std::filesystem::rename(Of.SettingsPath + ".new", Of.SettingsPath);
}

Machine &Deployment::addNode(const std::string &Service) {
  auto Added = std::make_unique<Machine>();
  int Number = static_cast<int>(NodeMachines.size()) + 1;
  Added->Name = "side-" + std::to_string(Number);
  Added->Ip =
      "127." + std::to_string(Network) + ".1." + std::to_string(Number + 10);
  Added->Zone = std::string("zone-") + static_cast<char>('a' + Number % 3);
  Added->Service = Service;
  addMachine(*Added, "node");
  NodeMachines.push_back(std::move(Added));
  return *NodeMachines.back();
}

void Deployment::startCore() {
  for (auto &Each : CoreMachines)
    Each->Process->start();
}

void Deployment::stop() {
  for (auto &Each : NodeMachines)
    Each->Process->kill();
  for (auto &Each : CoreMachines)
    Each->Process->kill();
}

std::string configuration(int Version, int Base,
                          const std::vector<std::string> &Services,
                          const std::vector<Route> &Routes) {
  std::ostringstream Text;
  Text << R"({"version":)" << Version
       << R"(,"routes":{"columns":["name","host","path_prefix","kind",)"
          R"("timeout_s","sl)"
          R"(o_s","priority","max_attempts","service"],"rows":[)";
  const char *Comma = "";
  for (const Route &Each : Routes) {
    Text << Comma << "[\"" << Each.Name << "\",\"" << Each.Host << "\",\""
         << Each.Prefix << "\",\"" << Each.Kind << "\"," << Each.TimeoutS << ","
         << Each.ObjectiveS << ",1,2,\"" << Each.Service << "\"]";
    Comma = ",";
  }
  Text << R"(]},"services":{"columns":["name","health_path",)"
          R"("max_connections","protocol","tls"],"rows":[)";
  Comma = "";
  for (const std::string &Each : Services) {
    Text << Comma << "[\"" << Each << R"(","/health",120,"h1",false])";
    Comma = ",";
  }
  Text << R"(]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
          R"("header_timeout_s":3,"idle_timeout_s":15},"base)"
          R"(_version":)"
       << Base << "}";
  return Text.str();
}

std::optional<int> labelOf(const std::string &Body) {
  const std::string Name = "\"version\":";
  auto At = Body.find(Name);
  if (At == std::string::npos)
    return std::nullopt;
  return std::atoi(Body.c_str() + At + Name.size());
}

int sendConfiguration(Deployment &Mesh, const std::string &Body, Millis Limit,
                      Record &Log) {
  Clock::time_point End = Clock::now() + Limit;
  Millis Pause(100);
  for (std::size_t I = 0; Clock::now() < End; ++I) {
    Machine &To = *Mesh.core()[I % Mesh.core().size()];
    Response Got = call(Mesh.control(To), "POST", "/config/replace",
                        {{"Host", Mesh.control(To).text()},
                         {"Content-Type", "application/json"}},
                        Body, Millis(4000));
    Log.line("operator: sent configuration " +
             std::to_string(labelOf(Body).value_or(0)) + ", " +
             std::to_string(Body.size()) + " bytes, to " + To.Name + ": " +
             (Got.Status == 0 ? Got.Failure
                              : std::to_string(Got.Status) + " " +
                                    Got.Body.substr(0, 200)));
    if (Got.Status != 0 && Got.Status < 500)
      return Got.Status;
    pauseFor(Pause);
    Pause = std::min(Pause * 2, Millis(1000));
  }
  return 0;
}

} // namespace review
