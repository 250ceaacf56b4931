#include "EntryRequest.h"

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::dataplane {

namespace {

constexpr base::Millis EvidenceReportInterval = base::Millis(250);
constexpr base::Millis DrainPollInterval = base::Millis(20);
/// Time from the start of a shutdown in which requests are accepted although
/// they may outlast the node, at most half of the shutdown. Callers are told of
/// the shutdown within this time.
constexpr base::Millis MaxIntakeTime = base::Millis(2500);

} // namespace

struct EntryServer::Impl {
  Impl(const asio::any_io_executor &Executor, EntrySettings Options,
       base::Clock &Time, follower::SnapshotSource &Snapshots,
       follower::ControlCalls &Control, CrashQuarantine &Quarantine,
       PeerPool &Peers, Metrics &Counters, const HttpDialect &Dialect,
       QuotaLimiter &Quotas, RetryBudgets &Budgets, UpstreamRuns &Runs)
      : Server(Executor, Options.ListenAddress, Options.HttpLimits, Time),
        Context(std::make_shared<EntryContext>(
            Executor, std::move(Options), Time, Snapshots, Control, Quarantine,
            Peers, Counters, Dialect, Quotas, Budgets, Runs)) {}

  HttpServer Server;
  std::shared_ptr<EntryContext> Context;
};

EntryServer::EntryServer(const asio::any_io_executor &Executor,
                         EntrySettings Options, base::Clock &Time,
                         follower::SnapshotSource &Snapshots,
                         follower::ControlCalls &Control,
                         CrashQuarantine &Quarantine, PeerPool &Peers,
                         Metrics &Counters, const HttpDialect &Dialect,
                         QuotaLimiter &Quotas, RetryBudgets &Budgets,
                         UpstreamRuns &Runs)
    : Self(std::make_shared<Impl>(Executor, std::move(Options), Time, Snapshots,
                                  Control, Quarantine, Peers, Counters, Dialect,
                                  Quotas, Budgets, Runs)) {}

EntryServer::~EntryServer() = default;

base::Address EntryServer::local() const { return Self->Server.local(); }

asio::awaitable<void> EntryServer::serve() {
  auto Keep = Self;
  // g++ 12 destroys a capturing temporary inside `co_await` twice.
  HttpServer::Handler Handle =
      [Context = Keep->Context](std::shared_ptr<HttpConnection> Caller,
                                HttpRequest Request) {
        return EntryRequest::serve(std::make_shared<EntryRequest>(
            Context, std::move(Caller), std::move(Request)));
      };
  co_await Keep->Server.serve(std::move(Handle));
}

asio::awaitable<void> EntryServer::run() {
  auto Context = Self->Context;
  for (;;) {
    co_await Context->Time.sleepFor(EvidenceReportInterval);
    if (!Context->Evidence.Counts.empty())
      Context->Control.report(std::exchange(Context->Evidence, {}));
    auto Snapshot = Context->Snapshots.current();
    if (!Snapshot)
      continue;
    Context->LoadBalancer.prune(*Snapshot);
    Context->Guard.prune(*Snapshot);
    std::erase_if(Context->Odds, [&](const auto &Entry) {
      return !Snapshot->Services.contains(Entry.first);
    });
    Context->Budgets.update();
    if (Snapshot->Limits.IdleTimeout > base::Millis(0))
      Self->Server.setHeadTimeout(Snapshot->Limits.IdleTimeout);
  }
}

void EntryServer::stop() { Self->Server.stop(); }

asio::awaitable<bool> EntryServer::drain(base::Millis Limit) {
  auto Keep = Self;
  // Time to pass the last responses on.
  constexpr base::Millis ResponseMargin = base::Millis(100);
  base::TimePoint Start = Keep->Context->Time.now();
  Keep->Context->ShutdownEnd = Start + Limit - ResponseMargin;
  Keep->Context->IntakeEnd = Start + std::min(MaxIntakeTime, Limit / 2);
  for (EntryRequest *Request : Keep->Context->Requests)
    Request->limitToShutdown();
  if (Keep->Context->Options.LameDuckPeriod > base::Millis(0)) {
    Keep->Server.closeAfterResponses();
    co_await Keep->Context->Time.sleepFor(
        Keep->Context->Options.LameDuckPeriod);
  }
  Keep->Server.stopGracefully();
  // Counted from when the requests were given up: a process that runs late has
  // not written their responses at the end of `Limit`.
  std::optional<base::TimePoint> End;
  while (Keep->Server.connections() != 0) {
    base::TimePoint Now = Keep->Context->Time.now();
    if (End && Now >= *End)
      break;
    if (Now >= Keep->Context->ShutdownEnd) {
      End = End.value_or(Now + ResponseMargin);
      for (EntryRequest *Request : Keep->Context->Requests)
        Request->abandonAttempt();
    }
    co_await Keep->Context->Time.sleepFor(DrainPollInterval);
  }
  co_return Keep->Server.connections() == 0;
}

} // namespace amaranth::dataplane
