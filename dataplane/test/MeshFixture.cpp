#include "MeshFixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace amaranth::dataplane::testing {

namespace {

protocol::Identity identity(const std::string &Name, const std::string &Zone) {
  return {protocol::Role::Node, Name, base::AvailabilityZone(Zone)};
}

const protocol::SharedKeys Keys = {{protocol::Role::Node, "secret"}};

GateSettings gateSettings(const std::string &Name, const std::string &Zone,
                          const base::Address &Inner,
                          std::uint64_t LinkBytesPerSecond) {
  GateSettings Options;
  // Test upstreams close their listening socket before their connections, so no
  // grace time is needed, and the manual clock would not let it pass.
  Options.Client.ListenerCloseTimeout = base::Millis(0);
  Options.Node = base::NodeId(Name);
  Options.NodeAddress = Inner;
  Options.Zone = base::AvailabilityZone(Zone);
  Options.SlowStart = base::Millis(0);
  Options.LinkBytesPerSecond = LinkBytesPerSecond;
  return Options;
}

class RunningScope {
public:
  explicit RunningScope(
      std::shared_ptr<TestUpstream::ConcurrencyCount> Concurrency)
      : Concurrency(std::move(Concurrency)) {
    this->Concurrency->MaxRunning =
        std::max(this->Concurrency->MaxRunning, ++this->Concurrency->Running);
  }
  ~RunningScope() { --Concurrency->Running; }
  RunningScope(const RunningScope &) = delete;
  RunningScope &operator=(const RunningScope &) = delete;

private:
  std::shared_ptr<TestUpstream::ConcurrencyCount> Concurrency;
};

EntrySettings entrySettings(const std::string &Zone,
                            std::size_t ResponseBufferBytes,
                            const std::string &CallerService) {
  EntrySettings Options;
  Options.ListenAddress = {"127.0.0.1", 0};
  Options.LoadBalancing.Zone = base::AvailabilityZone(Zone);
  Options.ResponseBufferBytes = ResponseBufferBytes;
  Options.CallerService = base::ServiceName(CallerService);
  return Options;
}

} // namespace

TestNode::TestNode(asio::io_context &Context, base::Clock &Time,
                   const std::string &Name, const std::string &Zone,
                   FakeSnapshots &Snapshots, FakeControl &Control,
                   std::unique_ptr<HttpDialect> NodeDialect,
                   std::size_t ResponseBufferBytes,
                   std::uint64_t LinkBytesPerSecond,
                   const std::string &CallerService)
    : Counters(Registry), OwnDialect(std::move(NodeDialect)),
      Dialect(*OwnDialect), Dialer(identity(Name, Zone), Keys, Time),
      Inner(Context.get_executor(), {"127.0.0.1", 0}, identity(Name, Zone),
            Keys, Time),
      Quarantine(Time, Snapshots), Budgets(Time, Snapshots, std::nullopt),
      Runs(Time, Budgets),
      UpstreamGate(Context.get_executor(),
                   gateSettings(Name, Zone, Inner.local(), LinkBytesPerSecond),
                   Time, Snapshots, Control, Quarantine, Counters, Dialect,
                   Runs),
      Peers(Context.get_executor(), {}, Time, Dialer),
      Limits(
          Context.get_executor(), base::NodeId(Name), Time, Snapshots, Peers,
          Registry, [] { return true; }, 1),
      Exchanges(Context.get_executor(), UpstreamGate, Time, &Limits),
      Entry(Context.get_executor(),
            entrySettings(Zone, ResponseBufferBytes, CallerService), Time,
            Snapshots, Control, Quarantine, Peers, Counters, Dialect, Quotas,
            Budgets, Runs),
      Announcements(UpstreamGate, "key"),
      Announce(Context.get_executor(), {"127.0.0.1", 0}, Time, &Announcements,
               Registry, [] { return true; }) {}

unsigned CallerResult::status() const {
  return Text.size() < 12
             ? 0
             : static_cast<unsigned>(std::stoul(Text.substr(9, 3)));
}

std::string CallerResult::body() const {
  auto At = Text.find("\r\n\r\n");
  return At == std::string::npos ? "" : Text.substr(At + 4);
}

MeshFixture::MeshFixture() {
  document::Service Entry;
  Entry.Name = base::ServiceName("s");
  Entry.Versions = {{base::VersionName("v1"), document::FullShare, false}};
  Mesh.Services[Entry.Name] = Entry;
  document::Route All{base::RouteName("all"), "/", Entry.Name,
                      base::Millis(10'000), false};
  Mesh.Routes[All.Name] = All;
  Snapshots.set(Mesh);
}

MeshFixture::~MeshFixture() {
  // Suspended tasks are destroyed with the event loop, after the clock. They do
  // not use the clock once their connections are closed.
  for (auto &Node : Nodes)
    Node->Peers.close();
  for (auto &Upstream : Upstreams)
    Upstream->crash();
  Held = false;
  Release.notifyAll();
  settle();
}

void MeshFixture::spawn(asio::awaitable<void> Task) {
  asio::co_spawn(Context, std::move(Task), asio::detached);
}

TestNode &MeshFixture::addNode(const std::string &Name, const std::string &Zone,
                               std::size_t ResponseBufferBytes,
                               std::uint64_t LinkBytesPerSecond) {
  Nodes.push_back(std::make_unique<TestNode>(
      Context, Time, Name, Zone, *NodeSnapshots, Control, MakeDialect(),
      ResponseBufferBytes, LinkBytesPerSecond, CallerService));
  TestNode &Node = *Nodes.back();
  spawn(Node.Inner.serve([&Node](std::shared_ptr<protocol::Channel> Link) {
    return Node.Exchanges.serve(std::move(Link));
  }));
  spawn(Node.UpstreamGate.run());
  spawn(Node.Peers.run());
  spawn(Node.Entry.serve());
  spawn(Node.Entry.run());
  spawn(Node.Announce.serve());
  return Node;
}

TestUpstream &MeshFixture::addUpstream(TestNode &Node,
                                       const std::string &Version,
                                       std::uint32_t Slots) {
  Upstreams.push_back(
      std::make_unique<TestUpstream>(Context.get_executor(), Time));
  TestUpstream &Added = *Upstreams.back();
  spawn(Added.Server.serve([this, &Added](std::shared_ptr<HttpConnection> Link,
                                          HttpRequest Request) {
    return answer(Added, std::move(Link), std::move(Request));
  }));
  announce(Node, Added, Announcement::State::Ready, Version, Slots);
  applyPublished();
  return Added;
}

void MeshFixture::announce(TestNode &Node, const TestUpstream &Upstream,
                           Announcement::State What, const std::string &Version,
                           std::uint32_t Slots, std::uint64_t Incarnation) {
  Announcement Message;
  Message.Service = base::ServiceName("s");
  Message.Version = base::VersionName(Version);
  Message.Upstream = Upstream.Server.local();
  Message.Slots = Slots;
  Message.ReportedState = What;
  Message.Incarnation = Incarnation;
  Message.Sequence = NextSequence++;
  REQUIRE(Node.UpstreamGate.announce(Message));
}

void MeshFixture::applyPublished() {
  for (const document::Endpoint &Entry : Control.Published)
    Mesh.Endpoints[Entry.Id] = Entry;
  Snapshots.set(Mesh);
}

void MeshFixture::applyQuarantine() {
  auto Set = [this](std::uint64_t Fingerprint, bool Convicted) {
    Mesh.Quarantine[Fingerprint] = {Fingerprint, base::ServiceName("s"),
                                    Convicted,
                                    Time.wallNow() + base::Millis(600'000)};
  };
  for (const control::Command &Request : Control.Seen) {
    if (const auto *Report = std::get_if<control::ReportCrash>(&Request))
      for (std::uint64_t Fingerprint : Report->Fingerprints)
        if (!Mesh.Quarantine.contains(Fingerprint))
          Set(Fingerprint, false);
    if (const auto *End = std::get_if<control::EndSuspectRun>(&Request)) {
      if (End->Crashed)
        Set(End->Fingerprint, true);
      else
        Mesh.Quarantine.erase(End->Fingerprint);
    }
  }
  applyPublished();
}

asio::awaitable<void> MeshFixture::answer(TestUpstream &Upstream,
                                          std::shared_ptr<HttpConnection> Link,
                                          HttpRequest Request) {
  Upstream.Seen.push_back(Request.Method + " " + Request.Target);
  Upstream.SeenFields.push_back(Request.Fields);
  Upstream.Connections.push_back(Link);
  RunningScope Counted(Upstream.Concurrency);
  std::string Body;
  base::Bytes Buffer(MaxPieceBytes);
  while (std::size_t Count = co_await Link->readBody(Buffer))
    Body.append(base::asText({Buffer.data(), Count}));
  while (Held && Request.Target.starts_with("/hold"))
    co_await Release.wait();
  constexpr std::string_view CrashForCaller = "/crash-for/";
  if (Request.Target.starts_with(CrashForCaller)) {
    const std::string *Sender = findHeader(Request.Fields, "X-Test-Caller");
    if (Sender && *Sender == Request.Target.substr(CrashForCaller.size())) {
      Upstream.crash();
      co_return;
    }
  } else if (Request.Target.starts_with("/crash")) {
    Upstream.crash();
    co_return;
  }
  if (Request.Target.starts_with("/restart-then-crash")) {
    std::size_t Runs = 0;
    for (const auto &Each : Upstreams)
      Runs += static_cast<std::size_t>(std::count(
          Each->Seen.begin(), Each->Seen.end(), "GET " + Request.Target));
    if (Runs > 1)
      Upstream.crash();
    Link->abort();
    co_return;
  }
  if (Request.Target.starts_with("/break")) {
    Link->abort();
    co_return;
  }
  if (Request.Target.starts_with("/short")) {
    Headers None;
    co_await Link->writeHead(200, std::move(None), 100'000);
    base::Bytes Part(50'000, 'x');
    co_await Link->writeBody(Part);
    Link->abort();
    co_return;
  }
  if (Request.Target.starts_with("/size/")) {
    std::int64_t Left = std::stoll(Request.Target.substr(6));
    Headers None;
    co_await Link->writeHead(200, std::move(None), Left);
    base::Bytes Part(MaxPieceBytes, 'x');
    for (; Left > 0; Left -= static_cast<std::int64_t>(Part.size())) {
      if (static_cast<std::size_t>(Left) < Part.size())
        Part.resize(static_cast<std::size_t>(Left));
      co_await Link->writeBody(Part);
      Upstream.BytesWritten += Part.size();
    }
    co_await Link->writeEnd();
    co_return;
  }
  bool Fails = Upstream.Broken || Request.Target.starts_with("/fail");
  unsigned Status = Fails ? 500 : 200;
  Headers Fields = {{"X-Amaranth-Outcome", "not-run"}, {"X-Kept", "1"}};
  Fields.insert(Fields.end(), Upstream.ResponseFields.begin(),
                Upstream.ResponseFields.end());
  for (const std::string &Name : Upstream.EchoedFields)
    if (const std::string *Value = findHeader(Request.Fields, Name))
      Fields.emplace_back(Name, *Value);
  std::string Text = Request.Method + " " + Request.Target + " " + Body;
  co_await Link->respond(Status, std::move(Fields), std::move(Text));
}

std::shared_ptr<CallerResult> MeshFixture::send(const base::Address &To,
                                                std::string Raw) {
  auto Result = std::make_shared<CallerResult>();
  Result->Socket = std::make_shared<tcp::socket>(Context.get_executor());
  auto Task = [](MeshFixture &Mesh, base::Address To, std::string Raw,
                 std::shared_ptr<CallerResult> Into) -> asio::awaitable<void> {
    tcp::socket &Socket = *Into->Socket;
    boost::system::error_code Failure;
    auto Token = asio::redirect_error(asio::use_awaitable, Failure);
    tcp::endpoint Peer(asio::ip::make_address(To.Ip), To.Port);
    Socket.open(tcp::v4());
    if (!Mesh.CallerIp.empty())
      Socket.bind({asio::ip::make_address(Mesh.CallerIp), 0});
    co_await Socket.async_connect(Peer, Token);
    co_await asio::async_write(Socket, asio::buffer(Raw), Token);
    std::vector<char> Buffer(256U << 10U);
    while (!Failure) {
      while (Mesh.PauseReading)
        co_await Mesh.Release.wait();
      std::size_t Count =
          co_await Socket.async_read_some(asio::buffer(Buffer), Token);
      Into->Text.append(Buffer.data(), Count);
    }
    Into->Reset = Failure != asio::error::eof;
    Into->Done = true;
  };
  spawn(Task(*this, To, std::move(Raw), Result));
  return Result;
}

std::shared_ptr<CallerResult> MeshFixture::get(TestNode &Node,
                                               const std::string &Target,
                                               const std::string &Fields) {
  return send(Node.Entry.local(), "GET " + Target +
                                      " HTTP/1.1\r\nHost: h\r\nConnection: "
                                      "close\r\n" +
                                      Fields + "\r\n");
}

std::shared_ptr<CallerResult> MeshFixture::post(TestNode &Node,
                                                const std::string &Target,
                                                const std::string &Body,
                                                const std::string &Fields) {
  return send(Node.Entry.local(),
              "POST " + Target + " HTTP/1.1\r\nHost: h\r\nConnection: close" +
                  "\r\nContent-Length: " + std::to_string(Body.size()) +
                  "\r\n" + Fields + "\r\n" + Body);
}

void MeshFixture::runUntil(const std::function<bool()> &Done) {
  // The time limit only ends tests that would hang.
  auto End = std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (!Done() && std::chrono::steady_clock::now() < End) {
    Context.restart();
    Context.run_for(std::chrono::milliseconds(1));
  }
  REQUIRE(Done());
}

void MeshFixture::settle() {
  for (int Round = 0; Round < 20; ++Round) {
    Context.restart();
    Context.run_for(std::chrono::milliseconds(1));
  }
}

} // namespace amaranth::dataplane::testing
