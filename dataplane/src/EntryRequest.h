#ifndef AMARANTH_DATAPLANE_SRC_ENTRYREQUEST_H
#define AMARANTH_DATAPLANE_SRC_ENTRYREQUEST_H

#include "AttemptPlan.h"
#include "EntryContext.h"

#include <memory>
#include <optional>
#include <set>

namespace amaranth::dataplane {

/// One request of a caller, with its attempts.
class EntryRequest : public std::enable_shared_from_this<EntryRequest> {
public:
  EntryRequest(std::shared_ptr<EntryContext> Shared,
               std::shared_ptr<HttpConnection> Caller, HttpRequest Request)
      : Shared(std::move(Shared)), Caller(std::move(Caller)),
        Request(std::move(Request)) {}

  /// Writes a response or a refusal. Throws when the caller is gone.
  static boost::asio::awaitable<void>
  serve(std::shared_ptr<EntryRequest> Task) {
    co_await Task->run();
  }

private:
  boost::asio::awaitable<void> run();

  using MaybeRefusal = std::optional<Refusal>;
  using Mesh = std::shared_ptr<const document::MeshSnapshot>;
  using Exchange = std::shared_ptr<ClientExchange>;

  /// Route, deadline and limits; nothing is read from the caller.
  MaybeRefusal prepare();
  MaybeRefusal findRoute();
  MaybeRefusal checkLimits();
  void setTimes(const CallerMetadata &Terms);
  void chooseService();
  boost::asio::awaitable<MaybeRefusal> readPrefix();
  boost::asio::awaitable<MaybeRefusal> attempt();
  boost::asio::awaitable<MaybeRefusal> exchange(Mesh InForce,
                                                document::Endpoint Target);
  boost::asio::awaitable<MaybeRefusal> forward(Exchange Running,
                                               ResponseHead Head);
  /// Passes the body on as it comes, after `First`. True when it was complete.
  boost::asio::awaitable<bool> stream(Exchange Running, ResponseHead Head,
                                      base::Bytes First);
  boost::asio::awaitable<void> pump(Exchange To);
  boost::asio::awaitable<void> refuse(Refusal Why);

  const document::Endpoint *choose(const document::MeshSnapshot &Current);
  /// How long a request may wait for an endpoint of the own zone.
  base::Millis localWait() const;
  bool isLarge() const { return Via.Kind == document::RequestKind::Download; }
  RequestHead headFor(const document::Endpoint &Target) const;
  bool tryAgain(const Refusal &Why);
  bool retryStatus(unsigned Status);
  bool repeatable() const;
  bool replayable() const { return PrefixComplete || !ReadBeyondPrefix; }
  unsigned maxAttempts() const;
  void learn(const document::MeshSnapshot &Current,
             const document::Endpoint &Target, const Refusal &Why,
             base::TimePoint Started);
  void countEvidence(const document::MeshSnapshot &Current,
                     const document::Endpoint &Target, bool Error,
                     base::TimePoint Started);
  /// From now on the caller's leaving ends the attempt that runs then.
  void watchCaller();
  void finished(const std::string &Outcome, unsigned Status);

  std::shared_ptr<EntryContext> Shared;
  std::shared_ptr<HttpConnection> Caller;
  HttpRequest Request;
  /// Keeps the snapshot of `Via` alive.
  std::shared_ptr<const document::RouteIndex> Routes;
  document::Route Via;
  /// The service of the route, or the one that the split chose.
  base::ServiceName Service;
  std::string Id;
  base::TimePoint Arrived;
  base::TimePoint Deadline;
  base::TimePoint Objective;
  std::optional<std::string> Key;
  /// The first part of the body, kept for retries and the fingerprint.
  base::Bytes Prefix;
  bool PrefixComplete = false;
  bool ReadBeyondPrefix = false;
  bool CallerGone = false;
  /// The attempt that runs now.
  std::weak_ptr<ClientExchange> Current;
  std::uint64_t RequestHash = 0;
  std::uint64_t Fingerprint = 0;
  /// The evidence of the last attempt was counted with its response head.
  bool Counted = false;
  /// Some attempt may have run, so that no later refusal may say not-run.
  bool MayHaveRun = false;
  AttemptPlan Plan;
  /// Endpoints and outcomes so far, for the log line.
  std::string Trail;
};

} // namespace amaranth::dataplane

#endif
