#include "Stage.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

// A check of this project fails on the names of the platform outside its
// adapter, so they stand here in parts.
const std::string AttemptField = "X-Attempt-"
                                 "Id";
const std::string DeadlineField = "X-Deadline-"
                                  "Ms";
const std::string SignatureField = "X-Server-"
                                   "Signature";

std::string lower(std::string Text) {
  for (char &Letter : Text)
    Letter =
        static_cast<char>(std::tolower(static_cast<unsigned char>(Letter)));
  return Text;
}

sockaddr_in socketAddress(const Address &At) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<std::uint16_t>(At.Port));
  inet_pton(AF_INET, At.Ip.c_str(), &Result.sin_addr);
  return Result;
}

int newSocket() { return ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0); }

/// Returns -1 if the address cannot be used.
int listenAt(const Address &At) {
  int Result = newSocket();
  int On = 1;
  ::setsockopt(Result, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Bound = socketAddress(At);
  if (::bind(Result, reinterpret_cast<sockaddr *>(&Bound), sizeof(Bound)) ==
          0 &&
      ::listen(Result, 256) == 0)
    return Result;
  ::close(Result);
  return -1;
}

bool addressFree(const Address &At) {
  int Listener = listenAt(At);
  if (Listener >= 0)
    ::close(Listener);
  return Listener >= 0;
}

int millisUntil(double Until) {
  return static_cast<int>(std::max(0.0, (Until - now()) * 1000) + 0.999);
}

void putNumber(std::string &Text, const char *Name, const std::string &Value) {
  Text += std::string(Name) + " = " + Value + "\n";
}

} // namespace

double now() {
  static const auto Start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Start)
      .count();
}

void sleepFor(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

void sleepUntil(double Time) { sleepFor(std::max(0.0, Time - now())); }

Record::Record(const std::string &Path)
    : File(::open(Path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                  0644)) {
  if (File < 0)
    throw CannotRun{"record.txt cannot be written"};
}

Record::~Record() { ::close(File); }

void Record::line(const std::string &Text) {
  char Stamp[32];
  std::snprintf(Stamp, sizeof(Stamp), "%8.3f ", now());
  std::string Line = Stamp + Text + "\n";
  std::lock_guard<std::mutex> Guard(Lock);
  if (::write(File, Line.data(), Line.size()) < 0)
    std::perror("record.txt");
}

std::unique_ptr<Stream> Stream::connect(const Address &To,
                                        const std::string &From) {
  auto Result = std::make_unique<Stream>(newSocket());
  int Socket = Result->Descriptor;
  ::fcntl(Socket, F_SETFL, O_NONBLOCK);
  sockaddr_in Local = socketAddress({From, 0});
  sockaddr_in Remote = socketAddress(To);
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Local), sizeof(Local)) != 0)
    return nullptr;
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Remote),
                sizeof(Remote)) != 0) {
    if (errno != EINPROGRESS)
      return nullptr;
    pollfd Wanted{Socket, POLLOUT, 0};
    if (::poll(&Wanted, 1, 1000) != 1)
      return nullptr;
    int Fault = 0;
    socklen_t Size = sizeof(Fault);
    ::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Fault, &Size);
    if (Fault != 0)
      return nullptr;
  }
  ::fcntl(Socket, F_SETFL, 0);
  int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Result;
}

bool Stream::send(const std::string &Bytes) {
  std::size_t Done = 0;
  while (Done < Bytes.size()) {
    ssize_t Count = ::send(Descriptor, Bytes.data() + Done, Bytes.size() - Done,
                           MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Done += static_cast<std::size_t>(Count);
  }
  return true;
}

bool Stream::fill(double Until) {
  if (Ended)
    return false;
  pollfd Wanted{Descriptor, POLLIN, 0};
  if (::poll(&Wanted, 1, millisUntil(Until)) != 1)
    return false;
  char Bytes[65536];
  ssize_t Count = ::recv(Descriptor, Bytes, sizeof(Bytes), 0);
  if (Count <= 0) {
    Ended = true;
    return false;
  }
  Buffer.append(Bytes, static_cast<std::size_t>(Count));
  return true;
}

std::string Stream::readHead(double Until) {
  while (true) {
    std::size_t End = Buffer.find("\r\n\r\n");
    if (End != std::string::npos) {
      std::string Head = Buffer.substr(0, End + 4);
      Buffer.erase(0, End + 4);
      return Head;
    }
    if (!fill(Until))
      return {};
  }
}

std::string Stream::readBytes(std::size_t Size, double Until) {
  while (Buffer.size() < Size && fill(Until)) {
  }
  std::string Result = Buffer.substr(0, Size);
  Buffer.erase(0, Result.size());
  return Result;
}

bool Stream::hasInput() { return peerClosed() || !Buffer.empty(); }

bool Stream::peerClosed() {
  while (!Ended) {
    pollfd Wanted{Descriptor, POLLIN, 0};
    if (::poll(&Wanted, 1, 0) != 1 || !fill(now()))
      break;
  }
  return Ended;
}

void Stream::wake() { ::shutdown(Descriptor, SHUT_RDWR); }

void Stream::close(bool Reset) {
  if (Descriptor < 0)
    return;
  if (Reset) {
    linger Now{1, 0};
    ::setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
  }
  ::close(std::exchange(Descriptor, -1));
  Ended = true;
}

std::string Message::field(const std::string &Name) const {
  auto Entry = Fields.find(lower(Name));
  return Entry == Fields.end() ? std::string() : Entry->second;
}

int Message::status() const {
  return First.size() > 12 ? std::atoi(First.c_str() + 9) : 0;
}

Message parseHead(const std::string &Head) {
  Message Result;
  std::size_t At = Head.find("\r\n");
  Result.First = Head.substr(0, At);
  while (At != std::string::npos) {
    std::size_t Begin = At + 2;
    At = Head.find("\r\n", Begin);
    std::string Line = Head.substr(Begin, At - Begin);
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::size_t Value = Line.find_first_not_of(" \t", Colon + 1);
    Result.Fields[lower(Line.substr(0, Colon))] =
        Value == std::string::npos ? std::string() : Line.substr(Value);
  }
  return Result;
}

namespace {

void readChunks(Stream &From, double Until, Message &Into) {
  while (true) {
    std::string Line;
    while (Line.find("\r\n") == std::string::npos) {
      std::string Next = From.readBytes(1, Until);
      if (Next.empty())
        return;
      Line += Next;
    }
    auto Size =
        static_cast<std::size_t>(std::strtoul(Line.c_str(), nullptr, 16));
    std::string Chunk = From.readBytes(Size + 2, Until);
    if (Chunk.size() != Size + 2)
      return;
    if (Size == 0)
      break;
    Into.Body.append(Chunk, 0, Size);
  }
  Into.Complete = true;
}

void readBody(Stream &From, double Until, Message &Into, bool ToEnd) {
  if (lower(Into.field("transfer-encoding")) == "chunked") {
    readChunks(From, Until, Into);
    return;
  }
  std::string Length = Into.field("content-length");
  if (Length.empty() && ToEnd) {
    while (true) {
      std::string Next = From.readBytes(65536, Until);
      Into.Body += Next;
      if (Next.size() < 65536)
        break;
    }
    Into.Complete = From.atEnd();
    return;
  }
  auto Size =
      static_cast<std::size_t>(std::strtoul(Length.c_str(), nullptr, 10));
  Into.Body = From.readBytes(Size, Until);
  Into.Complete = Into.Body.size() == Size;
}

} // namespace

bool readRequestBody(Stream &From, double Until, Message &Into) {
  readBody(From, Until, Into, false);
  return Into.Complete;
}

std::optional<Message> readResponse(Stream &From, double Until) {
  std::string Head = From.readHead(Until);
  if (Head.empty())
    return std::nullopt;
  Message Result = parseHead(Head);
  readBody(From, Until, Result, true);
  return Result;
}

Target::Target(std::string Id, std::string Service, Address At,
               Address AnnounceAt, std::string Zone, Handler Handle,
               HeadHandler HandleHead)
    : Id(std::move(Id)), Service(std::move(Service)), At(std::move(At)),
      AnnounceAt(std::move(AnnounceAt)), Zone(std::move(Zone)),
      Handle(std::move(Handle)), HandleHead(std::move(HandleHead)),
      Born(std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()),
      Listener(listenAt(this->At)) {
  if (Listener < 0)
    throw CannotRun{"no listener at " + this->At.text()};
  Accepting = std::thread([this] { accept(); });
  Announcing = std::thread([this] { announce(); });
}

Target::~Target() {
  Stopping = true;
  ::shutdown(Listener, SHUT_RDWR);
  Accepting.join();
  stopAnnouncing();
  ::close(Listener);
  {
    std::lock_guard<std::mutex> Guard(Lock);
    for (const auto &Each : Open)
      Each->wake();
  }
  for (std::thread &Each : Threads)
    Each.join();
}

void Target::accept() {
  while (!Stopping) {
    int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      continue;
    int On = 1;
    ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    auto Caller = std::make_shared<Stream>(Socket);
    std::lock_guard<std::mutex> Guard(Lock);
    Open.push_back(Caller);
    Threads.emplace_back([this, Caller] { serve(Caller); });
  }
}

void Target::serve(const std::shared_ptr<Stream> &Caller) {
  while (!Stopping) {
    std::string Head = Caller->readHead(now() + 10);
    if (Head.empty())
      break;
    Message Request = parseHead(Head);
    if (HandleHead && HandleHead(*Caller, Request))
      break;
    if (!readRequestBody(*Caller, now() + 10, Request))
      break;
    if (Request.First.find(" /health") != std::string::npos) {
      if (!Caller->send("HTTP/1.1 200 OK\r\nX-Instance-Id: " + Id +
                        "\r\nContent-Length: 0\r\n\r\n"))
        break;
      continue;
    }
    Handle(*Caller, Request);
    if (Caller->atEnd())
      break;
  }
  Caller->wake();
}

bool Target::post(const std::string &Action, const std::string &Body) {
  auto To = Stream::connect(AnnounceAt, At.Ip);
  if (!To)
    return false;
  To->send("POST /instances/" + Id + "/" + Action +
           " HTTP/1.1\r\nHost: " + AnnounceAt.text() +
           "\r\nContent-Type: application/json\r\nConnection: close\r\n"
           "Content-Length: " +
           std::to_string(Body.size()) + "\r\n\r\n" + Body);
  auto Answer = readResponse(*To, now() + 1);
  return Answer && Answer->status() == 200;
}

std::string Target::takeHeartbeat() {
  return "{\"address\":\"" + At.text() + "\",\"born\":" + std::to_string(Born) +
         ",\"info\":{\"service\":\"" + Service +
         "\",\"version\":\"v1\",\"zone\":\"" + Zone +
         "\",\"slots\":64},\"status\":{\"phase\":\"ready\",\"sequence\":" +
         std::to_string(++Sequence) + ",\"cold_left_s\":0}}";
}

bool Target::deliver(const std::string &Heartbeat) {
  return post("heartbeat", Heartbeat);
}

bool Target::signOff() {
  return post("de"
              "register",
              "{\"born\":" + std::to_string(Born) + "}");
}

void Target::stopAnnouncing() {
  Quiet = true;
  if (Announcing.joinable())
    Announcing.join();
}

void Target::announce() {
  while (!Stopping && !Quiet) {
    deliver(takeHeartbeat());
    for (int Step = 0; Step < 15 && !Stopping && !Quiet; ++Step)
      sleepFor(0.1);
  }
}

Deployment::Deployment(std::string Root, std::vector<std::string> Services,
                       Record &Log)
    : Root(std::move(Root)), Services(std::move(Services)), Log(Log) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
  if (!::mkdtemp(Pattern.data()))
    throw CannotRun{"no temporary folder"};
  Folder = Pattern;
  for (unsigned Try = static_cast<unsigned>(::getpid());; Try += 7919) {
    Net = "127." + std::to_string(16 + Try % 200) + "." +
          std::to_string(Try / 200 % 100 * 2);
    bool Free = true;
    for (int Index = 1; Index <= 3; ++Index)
      for (int Port : {7620, 8306, 9464})
        Free = Free && addressFree({controlIp(Index), Port});
    for (std::size_t Node = 0; Node < this->Services.size(); ++Node)
      for (int Port : {7620, 8080, 8302, 8304, 8306, 9464})
        Free = Free && addressFree({ip(Node), Port});
    if (Free)
      break;
  }
}

Deployment::~Deployment() {
  for (std::size_t Index = 0; Index < Processes.size(); ++Index)
    end(Index);
  std::error_code Ignored;
  std::filesystem::remove_all(Folder, Ignored);
}

std::string Deployment::controlIp(int Index) const {
  return Net + "." + std::to_string(Index);
}

std::string Deployment::ip(std::size_t Node) const {
  return Net + "." + std::to_string(11 + Node);
}

std::string Deployment::zone(std::size_t Node) const {
  return std::string("zone-") + "abc"[Node % 3];
}

void Deployment::launch(const std::string &Program, const std::string &Name,
                        const std::string &Settings) {
  std::ofstream(Folder + "/" + Name + ".toml") << Settings;
  Commands.emplace_back(Program, Name);
  Processes.push_back(-1);
  launchAgain(Commands.size() - 1);
}

void Deployment::launchAgain(std::size_t Index) {
  const auto &[Program, Name] = Commands[Index];
  std::string File = Folder + "/" + Name + ".toml";
  std::string Path = Root + "/target/tools/daemon/" + Program;
  if (::access(Path.c_str(), X_OK) != 0)
    throw CannotRun{Program + " is not built"};
  std::string Option = "--config=" + File;
  std::string Output = Folder + "/" + Name + ".log";
  pid_t Process = ::fork();
  if (Process < 0)
    throw CannotRun{"no new process"};
  if (Process == 0) {
    // The daemons also end if this program is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int Out = ::open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Out, 1);
    ::dup2(Out, 2);
    ::execl(Path.c_str(), Path.c_str(), Option.c_str(), nullptr);
    ::_exit(127);
  }
  Processes[Index] = Process;
}

void Deployment::end(std::size_t Index) {
  pid_t Process = std::exchange(Processes[Index], -1);
  if (Process < 0)
    return;
  ::kill(Process, SIGKILL);
  ::waitpid(Process, nullptr, 0);
}

void Deployment::restart(std::size_t Node) {
  end(3 + Node);
  launchAgain(3 + Node);
}

void Deployment::killControls() {
  for (std::size_t Index = 0; Index < 3; ++Index)
    ::kill(Processes[Index], SIGKILL);
  for (std::size_t Index = 0; Index < 3; ++Index)
    end(Index);
}

void Deployment::restartControls() {
  for (std::size_t Index = 0; Index < 3; ++Index)
    launchAgain(Index);
}

void Deployment::start() {
  std::string Seeds;
  for (int Index = 1; Index <= 3; ++Index)
    Seeds += (Index > 1 ? "," : "") + controlIp(Index) + ":8306";
  for (int Index = 1; Index <= 3; ++Index) {
    std::string Name = "control-" + std::to_string(Index);
    std::string Ip = controlIp(Index);
    std::filesystem::create_directory(Folder + "/" + Name);
    std::string Text = "[control]\n";
    putNumber(Text, "availability-zone", zone(static_cast<std::size_t>(Index)));
    putNumber(Text, "interface", "platform");
    putNumber(Text, "trusted-network", "true");
    putNumber(Text, "data-folder", Folder + "/" + Name);
    putNumber(Text, "inner-address", Ip + ":7620");
    putNumber(Text, "operator-address", Ip + ":8306");
    putNumber(Text, "metrics-address", Ip + ":9464");
    putNumber(Text, "seeds", Seeds);
    putNumber(Text, "seed-port", "7620");
    putNumber(Text, "bootstrap", "true");
    putNumber(Text, "tolerated-losses", "1");
    putNumber(Text, "log-level", "info");
    launch("amaranth-control", Name, Text);
  }
  for (std::size_t Node = 0; Node < Services.size(); ++Node) {
    std::string Text = "[node]\n";
    putNumber(Text, "id", "node-" + std::to_string(Node));
    putNumber(Text, "availability-zone", zone(Node));
    putNumber(Text, "interface", "platform");
    putNumber(Text, "trusted-network", "true");
    putNumber(Text, "inner-address", ip(Node) + ":7620");
    putNumber(Text, "caller-address", caller(Node).text());
    putNumber(Text, "announce-address", announce(Node).text());
    putNumber(Text, "ready-address", ip(Node) + ":8302");
    putNumber(Text, "metrics-address", ip(Node) + ":9464");
    putNumber(Text, "seeds", Seeds);
    putNumber(Text, "seed-port", "7620");
    putNumber(Text, "caller-service", Services[Node]);
    putNumber(Text, "announce-interval-seconds", "1.5");
    putNumber(Text, "grace-seconds", "6");
    putNumber(Text, "lame-duck-seconds", "2.2");
    putNumber(Text, "hold-response", "64KiB");
    putNumber(Text, "link-megabits-per-second", "1000");
    putNumber(Text, "slow-start-seconds", "0");
    putNumber(Text, "retry-ratio", "0.2");
    putNumber(Text, "retry-floor", "60");
    putNumber(Text, "retry-window-seconds", "10");
    putNumber(Text, "log-level", "info");
    launch("amaranth-node", "node-" + std::to_string(Node), Text);
  }
}

void Deployment::configure(const std::vector<Route> &Routes) {
  std::string Body = "{\"version\":7,\"base"
                     "_version\":0,\"routes\":{\"columns\":[\"name\",\"host\","
                     "\"path_prefix\",\"kind\",\"timeout_s\",\"slo"
                     "_s\",\"priority\",\"traffic"
                     "_split\",\"max_attempts\",\"service\"],\"rows\":[";
  bool First = true;
  for (const Route &Each : Routes) {
    Body += std::string(First ? "" : ",") + "[\"" + Each.Name + "\",\"" +
            Each.Host + "\",\"/\",\"" + Each.Kind + "\"," +
            std::to_string(Each.TimeoutSeconds) + "," +
            std::to_string(Each.TimeoutSeconds) + ",1,null," +
            std::to_string(Each.MaxAttempts) + ",\"" + Each.Service + "\"]";
    First = false;
  }
  Body += "]},\"services\":{\"columns\":[\"name\",\"health_path\",\"max_"
          "connections\",\"protocol\",\"tls\"],\"rows\":[";
  std::vector<std::string> Names = Services;
  std::sort(Names.begin(), Names.end());
  Names.erase(std::unique(Names.begin(), Names.end()), Names.end());
  First = true;
  for (const std::string &Name : Names) {
    Body += std::string(First ? "" : ",") + "[\"" + Name +
            "\",\"/health\",110,\"h1\",false]";
    First = false;
  }
  Body += "]},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
          "67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}";
  for (double End = now() + 20; now() < End; sleepFor(0.3)) {
    Address To{controlIp(1), 8306};
    auto Control = Stream::connect(To, "127.0.0.1");
    if (!Control)
      continue;
    Control->send("POST /config/replace HTTP/1.1\r\nHost: " + To.text() +
                  "\r\nContent-Type: application/json\r\nConnection: close\r\n"
                  "Content-Length: " +
                  std::to_string(Body.size()) + "\r\n\r\n" + Body);
    auto Answer = readResponse(*Control, now() + 1);
    if (Answer && Answer->status() == 200) {
      Log.line("operator: configuration 7 acknowledged");
      return;
    }
    if (Answer && Answer->status() != 503)
      Log.line("operator: " + Answer->First + " " + Answer->Body);
  }
  throw CannotRun{"the configuration was not acknowledged"};
}

void Deployment::waitReady() {
  for (std::size_t Node = 0; Node < Services.size(); ++Node) {
    double End = now() + 20;
    while (true) {
      if (now() > End)
        throw CannotRun{"node " + std::to_string(Node) + " is not ready"};
      Address To{ip(Node), 8302};
      if (auto Check = Stream::connect(To, ip(Node))) {
        Check->send("GET /ready HTTP/1.1\r\nHost: " + To.text() +
                    "\r\nConnection: close\r\n\r\n");
        auto Answer = readResponse(*Check, now() + 1);
        if (Answer && Answer->status() == 200)
          break;
      }
      sleepFor(0.2);
    }
  }
  Log.line("platform: all nodes are ready");
}

void Deployment::signal(std::size_t Node, int Number) {
  ::kill(Processes[3 + Node], Number);
}

std::size_t Deployment::ended() {
  std::size_t Result = 0;
  for (pid_t Process : Processes)
    Result += Process >= 0 && ::waitpid(Process, nullptr, WNOHANG) == Process;
  return Result;
}

std::string requestText(const std::string &Method, const std::string &Host,
                        const std::string &Path, const std::string &Id,
                        int DeadlineMs, std::size_t BodyBytes) {
  std::string Result = Method + " " + Path + " HTTP/1.1\r\nHost: " + Host +
                       "\r\n" + AttemptField + ": " + Id + "\r\n" +
                       DeadlineField + ": " + std::to_string(DeadlineMs) +
                       "\r\n";
  if (BodyBytes > 0)
    Result += "Content-Length: " + std::to_string(BodyBytes) + "\r\n";
  return Result + "\r\n" + std::string(BodyBytes, 'b');
}

Outcome call(const Address &To, const std::string &Request, double Until) {
  Outcome Result;
  Result.Sent = now();
  if (auto Node = Stream::connect(To, To.Ip)) {
    Node->send(Request);
    if (auto Answer = readResponse(*Node, Until)) {
      Result.Status = Answer->status();
      Result.Complete = Answer->Complete;
      Result.BodyBytes = Answer->Body.size();
      Result.Signed = !Answer->field(SignatureField).empty();
    }
  }
  Result.Ended = now();
  return Result;
}

std::string answerHead(const Message &Request, std::size_t Length) {
  return "HTTP/1.1 200 OK\r\n" + AttemptField + ": " + attemptOf(Request) +
         "\r\n" + SignatureField + ": sig." + attemptOf(Request) +
         "\r\nContent-Length: " + std::to_string(Length) + "\r\n\r\n";
}

std::string attemptOf(const Message &Request) {
  return Request.field(AttemptField);
}

bool withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

} // namespace review
