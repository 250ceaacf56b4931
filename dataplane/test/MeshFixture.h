#ifndef AMARANTH_DATAPLANE_TEST_MESHFIXTURE_H
#define AMARANTH_DATAPLANE_TEST_MESHFIXTURE_H

#include "Fakes.h"
#include "amaranth/dataplane/AnnounceServer.h"
#include "amaranth/dataplane/EntryServer.h"
#include "amaranth/dataplane/ExchangeServer.h"
#include "amaranth/dataplane/Gate.h"
#include "amaranth/dataplane/PeerPool.h"
#include "amaranth/dataplane/SharedQuotas.h"
#include "amaranth/protocol/Connection.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace amaranth::dataplane::testing {

/// An HTTP upstream whose behaviour the test controls.
struct TestUpstream {
  TestUpstream(const boost::asio::any_io_executor &Executor, base::Clock &Time)
      : Server(Executor, {"127.0.0.1", 0}, {}, Time) {}

  /// Closes the listening socket and resets open connections, like a crash.
  void crash() {
    Crashed = true;
    Server.stop();
    for (auto &Weak : Connections)
      if (auto Link = Weak.lock())
        Link->abort();
  }

  HttpServer Server;
  bool Crashed = false;
  std::vector<std::weak_ptr<HttpConnection>> Connections;
  /// Body bytes of downloads that the node has read.
  std::uint64_t BytesWritten = 0;
  /// Responds to every request with status 500.
  bool Broken = false;
  /// Header fields added to each response.
  Headers ResponseFields;
  /// Names of request fields that are repeated in the response.
  std::vector<std::string> EchoedFields;
  /// Current and highest number of running requests. Shared with the tasks that
  /// serve them, which may be destroyed after the upstream.
  struct ConcurrencyCount {
    int Running = 0;
    int MaxRunning = 0;
  };
  std::shared_ptr<ConcurrencyCount> Concurrency =
      std::make_shared<ConcurrencyCount>();
  /// Received requests as `METHOD target`.
  std::vector<std::string> Seen;
  std::vector<Headers> SeenFields;
};

/// The native dialect with fields by which an upstream says more about a
/// response.
class TestDialect final : public HttpDialect {
public:
  CallerMetadata callerMetadata(const Headers &Fields) const override {
    return Native.callerMetadata(Fields);
  }
  void setUpstreamFields(Headers &Fields,
                         const UpstreamMetadata &Metadata) const override {
    Native.setUpstreamFields(Fields, Metadata);
    Fields.emplace_back("X-Test-Caller", Metadata.CallerService);
  }
  ResponseClass classifyResponse(const ResponseHead &Head,
                                 const std::string & /*Attempt*/,
                                 bool /*FirstOnConnection*/) const override {
    if (findHeader(Head.Fields, "X-Test-Mismatched"))
      return ResponseClass::Mismatched;
    return findHeader(Head.Fields, "X-Test-Not-Executed")
               ? ResponseClass::NotExecuted
               : ResponseClass::Executed;
  }
  UpstreamNotice upstreamNotice(const ResponseHead &Head) const override {
    return Native.upstreamNotice(Head);
  }
  void removeInternalFields(Headers &Fields) const override {
    Native.removeInternalFields(Fields);
  }
  unsigned statusOf(const Refusal &Refused) const override {
    return Native.statusOf(Refused);
  }
  Headers refusalFields(const Refusal &Refused,
                        const std::string &Attempt) const override {
    return Native.refusalFields(Refused, Attempt);
  }

private:
  NativeDialect Native;
};

/// A complete node on loopback addresses.
struct TestNode {
  TestNode(boost::asio::io_context &Context, base::Clock &Time,
           const std::string &Name, const std::string &Zone,
           FakeSnapshots &Snapshots, FakeControl &Control,
           std::unique_ptr<HttpDialect> NodeDialect,
           std::size_t ResponseBufferBytes, std::uint64_t LinkBytesPerSecond,
           const std::string &CallerService);

  prometheus::Registry Registry;
  Metrics Counters;
  std::unique_ptr<HttpDialect> OwnDialect;
  const HttpDialect &Dialect;
  protocol::TcpDialer Dialer;
  protocol::Listener Inner;
  CrashQuarantine Quarantine;
  RetryBudgets Budgets;
  UpstreamRuns Runs;
  Gate UpstreamGate;
  PeerPool Peers;
  /// For tests of quotas; the entry server of the node does not use it.
  SharedQuotas Limits;
  ExchangeServer Exchanges;
  FakeQuotas Quotas;
  EntryServer Entry;
  AnnounceHandler Announcements;
  AnnounceServer Announce;
};

/// The response that a caller received.
struct CallerResult {
  std::string Text;
  bool Done = false;
  bool Reset = false;
  /// The caller's socket. A test closes it to disconnect the caller.
  std::shared_ptr<boost::asio::ip::tcp::socket> Socket;

  unsigned status() const;
  std::string body() const;
  bool has(const std::string &Part) const {
    return Text.find(Part) != std::string::npos;
  }
};

/// Nodes, upstreams and callers on one event loop with a manual clock.
class MeshFixture {
public:
  MeshFixture();
  ~MeshFixture();

  /// `ResponseBufferBytes`: size up to which the entry server buffers
  /// responses. `LinkBytesPerSecond`: capacity of the node's link; 0 for no
  /// limit.
  TestNode &addNode(const std::string &Name, const std::string &Zone = "z",
                    std::size_t ResponseBufferBytes = 0,
                    std::uint64_t LinkBytesPerSecond = 0);
  /// Adds an upstream and announces it as ready.
  TestUpstream &addUpstream(TestNode &Node, const std::string &Version = "v1",
                            std::uint32_t Slots = 4);
  void announce(TestNode &Node, const TestUpstream &Upstream,
                Announcement::State What, const std::string &Version = "v1",
                std::uint32_t Slots = 4, std::uint64_t Incarnation = 1);
  /// Copies the endpoints that the gates published into the snapshot.
  void applyPublished();
  /// Copies the suspects and convictions that the gates reported into the
  /// snapshot.
  void applyQuarantine();

  /// Sends `Raw` unchanged and reads until the connection ends.
  std::shared_ptr<CallerResult> send(const base::Address &To, std::string Raw);
  std::shared_ptr<CallerResult> get(TestNode &Node, const std::string &Target,
                                    const std::string &Fields = "");
  std::shared_ptr<CallerResult> post(TestNode &Node, const std::string &Target,
                                     const std::string &Body,
                                     const std::string &Fields = "");
  void runUntil(const std::function<bool()> &Done);
  /// Runs all ready tasks without advancing the clock.
  void settle();
  void spawn(boost::asio::awaitable<void> Task);

  /// Creates the dialect of nodes that are added later.
  std::function<std::unique_ptr<HttpDialect>()> MakeDialect = [] {
    return std::make_unique<TestDialect>();
  };
  boost::asio::io_context Context;
  base::ManualClock Time;
  FakeSnapshots Snapshots{Context.get_executor()};
  /// Service of the callers of nodes that are added later.
  std::string CallerService;
  /// What nodes that are added later apply.
  FakeSnapshots *NodeSnapshots = &Snapshots;
  FakeControl Control{Time};
  document::MeshSnapshot Mesh;
  std::vector<std::unique_ptr<TestUpstream>> Upstreams;
  std::vector<std::unique_ptr<TestNode>> Nodes;
  /// Releases requests to `/hold` when `Held` is false.
  base::Signal Release{Context.get_executor()};
  bool Held = true;
  /// Address that callers connect from; empty for that of the nodes.
  std::string CallerIp;
  /// Callers stop reading until this is false and `Release` is notified.
  bool PauseReading = false;
  std::uint64_t NextSequence = 1;

private:
  boost::asio::awaitable<void> answer(TestUpstream &Upstream,
                                      std::shared_ptr<HttpConnection> Link,
                                      HttpRequest Request);
};

/// A mesh of one node with one upstream.
class OneNodeFixture : public MeshFixture {
protected:
  OneNodeFixture() : Node(addNode("n")), Upstream(addUpstream(Node)) {}

  /// Sends `Text` unchanged to the node and waits until the connection ends.
  std::shared_ptr<CallerResult> sendRaw(const std::string &Text) {
    auto Result = send(Node.Entry.local(), Text);
    runUntil([&] { return Result->Done; });
    return Result;
  }

  TestNode &Node;
  TestUpstream &Upstream;
};

} // namespace amaranth::dataplane::testing

#endif
