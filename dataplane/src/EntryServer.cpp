#include "EntryRequest.h"

namespace asio = boost::asio;

namespace amaranth::dataplane {

namespace {

constexpr base::Millis ReportInterval = base::Millis(250);
constexpr base::Millis DrainPoll = base::Millis(20);

} // namespace

struct EntryServer::Impl {
  Impl(const asio::any_io_executor &Executor, EntrySettings Options,
       base::Clock &Time, follower::SnapshotSource &Snapshots,
       follower::ControlCalls &Control, PeerPool &Peers, Metrics &Counters,
       const HttpDialect &Dialect)
      : Server(Executor, Options.Listen, Options.Http, Time),
        Shared(std::make_shared<EntryContext>(Executor, std::move(Options),
                                              Time, Snapshots, Control, Peers,
                                              Counters, Dialect)) {}

  HttpServer Server;
  std::shared_ptr<EntryContext> Shared;
};

EntryServer::EntryServer(const asio::any_io_executor &Executor,
                         EntrySettings Options, base::Clock &Time,
                         follower::SnapshotSource &Snapshots,
                         follower::ControlCalls &Control, PeerPool &Peers,
                         Metrics &Counters, const HttpDialect &Dialect)
    : Self(std::make_shared<Impl>(Executor, std::move(Options), Time, Snapshots,
                                  Control, Peers, Counters, Dialect)) {}

EntryServer::~EntryServer() = default;

base::Address EntryServer::local() const { return Self->Server.local(); }

asio::awaitable<void> EntryServer::serve() {
  auto Keep = Self;
  // A capturing temporary inside `co_await` is destroyed twice by g++ 12.
  HttpServer::Handler Handle =
      [Shared = Keep->Shared](std::shared_ptr<HttpConnection> Caller,
                              HttpRequest Request) {
        return EntryRequest::serve(std::make_shared<EntryRequest>(
            Shared, std::move(Caller), std::move(Request)));
      };
  co_await Keep->Server.serve(std::move(Handle));
}

asio::awaitable<void> EntryServer::run() {
  auto Shared = Self->Shared;
  for (;;) {
    co_await Shared->Time.sleepFor(ReportInterval);
    if (!Shared->Evidence.Counts.empty())
      Shared->Control.report(std::exchange(Shared->Evidence, {}));
    auto Current = Shared->Snapshots.current();
    if (!Current)
      continue;
    Shared->Endpoints.prune(*Current);
    Shared->Guard.prune(*Current);
    std::erase_if(Shared->Budgets, [&](const auto &Entry) {
      return !Current->Services.contains(Entry.first);
    });
    RetryBudget::Rates Rates = Shared->retryRates();
    for (auto &[Service, Budget] : Shared->Budgets)
      Budget.setRates(Rates);
    if (Current->Limits.IdleTimeout > base::Millis(0))
      Self->Server.setHeadTimeout(Current->Limits.IdleTimeout);
  }
}

void EntryServer::stop() { Self->Server.stop(); }

asio::awaitable<bool> EntryServer::drain(base::Millis Limit) {
  auto Keep = Self;
  if (Keep->Shared->Options.LameDuck > base::Millis(0)) {
    Keep->Server.closeAfterResponses();
    co_await Keep->Shared->Time.sleepFor(Keep->Shared->Options.LameDuck);
    Limit = Limit - Keep->Shared->Options.LameDuck;
  }
  Keep->Server.stop();
  base::TimePoint End = Keep->Shared->Time.now() + Limit;
  while (Keep->Server.connections() != 0 && Keep->Shared->Time.now() < End)
    co_await Keep->Shared->Time.sleepFor(DrainPoll);
  co_return Keep->Server.connections() == 0;
}

} // namespace amaranth::dataplane
