#ifndef AMARANTH_DATAPLANE_SRC_ENTRYREQUEST_H
#define AMARANTH_DATAPLANE_SRC_ENTRYREQUEST_H

#include "EntryContext.h"
#include "RetryAllowance.h"
#include "RetryState.h"

#include <memory>
#include <optional>
#include <set>

namespace amaranth::dataplane {

/// Serves one request of a caller and makes its attempts.
class EntryRequest : public std::enable_shared_from_this<EntryRequest> {
public:
  EntryRequest(std::shared_ptr<EntryContext> Context,
               std::shared_ptr<HttpConnection> Caller, HttpRequest Request);
  ~EntryRequest();
  EntryRequest(const EntryRequest &) = delete;
  EntryRequest &operator=(const EntryRequest &) = delete;

  /// Writes a response or a refusal. Throws when the caller has disconnected.
  static boost::asio::awaitable<void>
  serve(std::shared_ptr<EntryRequest> Task) {
    co_await Task->run();
  }

  /// Brings the deadline forward to the end of this node, here and at the gate.
  void limitToShutdown();
  /// Ends the running attempt without a response.
  void abandonAttempt();

private:
  boost::asio::awaitable<void> run();

  using MaybeRefusal = std::optional<Refusal>;
  using SnapshotPtr = std::shared_ptr<const document::MeshSnapshot>;
  using ExchangePtr = std::shared_ptr<ClientExchange>;

  /// Sets route, deadline and limits from the request head only.
  MaybeRefusal prepare();
  MaybeRefusal findRoute();
  /// Sets `CallOfRepeat`.
  void attributeCall();
  /// Who sent the request according to `Index`.
  Sender identify(const CustomerIndex &Index) const;
  /// Sets `From` by the API key and the customers of `Snapshot`, which is the
  /// current one. Refuses a key that no customer has, or has no longer; `From`
  /// then stays.
  MaybeRefusal authenticate(const document::MeshSnapshot &Snapshot);
  MaybeRefusal checkLimits();
  void computeDeadlines(const CallerMetadata &Terms);
  void chooseSplitService();
  boost::asio::awaitable<MaybeRefusal> readBodyPrefix();
  /// True if the rest of the body is short and the caller sends it in any case,
  /// so that reading it keeps the connection and the refusal.
  bool hasShortBody() const;
  /// Takes the right to send this request if its customer has a limit. Asked
  /// once, when nothing else that is known speaks against the request.
  boost::asio::awaitable<MaybeRefusal> takeQuota();
  boost::asio::awaitable<MaybeRefusal> runAttempt();
  boost::asio::awaitable<MaybeRefusal> runExchange(SnapshotPtr Snapshot,
                                                   document::Endpoint Target);
  boost::asio::awaitable<MaybeRefusal> forwardResponse(ExchangePtr Running,
                                                       ResponseHead Head);
  /// Size up to which a response is buffered before its first byte is
  /// forwarded.
  std::size_t responseBufferBytes() const;
  /// Forwards `First` and then the rest of the body as it arrives. Returns true
  /// when the body was complete.
  boost::asio::awaitable<bool>
  streamResponse(ExchangePtr Running, ResponseHead Head, base::Bytes First);
  boost::asio::awaitable<void> sendRequestBody(ExchangePtr To);
  boost::asio::awaitable<void> sendRefusal(Refusal Refused);

  const document::Endpoint *
  chooseEndpoint(const document::MeshSnapshot &Snapshot);
  /// How long the request may wait for an endpoint of the local zone.
  base::Millis maxLocalWait() const;
  bool isDownload() const {
    return MatchedRoute.Kind == document::RequestKind::Download;
  }
  RequestHead makeRequestHead(const document::Endpoint &Target) const;
  bool prepareRetry(const Refusal &Refused);
  bool shouldRetryStatus(unsigned Status);
  bool isRepeatable() const;
  bool isBodyReplayable() const {
    return BodyPrefixComplete || !ReadBeyondPrefix;
  }
  unsigned maxAttempts() const;
  void recordRefusal(const document::MeshSnapshot &Snapshot,
                     const document::Endpoint &Target, const Refusal &Refused,
                     base::TimePoint Started);
  void countEvidence(const document::MeshSnapshot &Snapshot,
                     const document::Endpoint &Target, bool Error,
                     base::TimePoint Started);
  /// Refusal of a request that is convicted of crashing upstreams.
  MaybeRefusal quarantineRefusal() const;
  /// Takes over what a gate says about a crash during which the request ran.
  void recordCrash(const Refusal &Refused);
  /// Cancels the running attempt when the caller disconnects.
  void watchCaller();
  void logCompletion(const std::string &Outcome, unsigned Status);
  void countCustomer(const std::string &Outcome);

  std::shared_ptr<EntryContext> Context;
  std::shared_ptr<HttpConnection> Caller;
  HttpRequest Request;
  /// Keeps the snapshot of `MatchedRoute` alive.
  std::shared_ptr<const document::RouteIndex> Routes;
  document::Route MatchedRoute;
  /// The route's service, or the one selected by its traffic split.
  base::ServiceName Service;
  std::string RequestId;
  /// API key of the caller as the dialect reads it. Never logged.
  std::string ApiKey;
  /// The caller is a process of this VM.
  bool FromThisVm = false;
  /// Time until which the caller waits; empty if it did not say.
  std::optional<base::TimePoint> CallerDeadline;
  /// The request counts as a call of a repeat.
  bool CallOfRepeat = false;
  /// Index that `From` refers to; null until the request is authenticated.
  std::shared_ptr<const CustomerIndex> Customers;
  Sender From;
  base::TimePoint Arrived;
  base::TimePoint Deadline;
  base::TimePoint Objective;
  /// Start of the last attempt at a gate.
  base::TimePoint LastAttempt;
  std::optional<std::string> IdempotencyKey;
  /// First bytes of the body, kept for retries and for the fingerprint.
  base::Bytes BodyPrefix;
  bool BodyPrefixComplete = false;
  bool ReadBeyondPrefix = false;
  bool CallerGone = false;
  /// The deadline is the end of this node, which is shutting down.
  bool EndsWithNode = false;
  /// Exchange of the running attempt.
  std::weak_ptr<ClientExchange> CurrentExchange;
  std::uint64_t RequestHash = 0;
  std::uint64_t Fingerprint = 0;
  /// Whether the last attempt was counted as evidence when its response head
  /// arrived.
  bool EvidenceCounted = false;
  /// Some attempt may have run; the final refusal must then not say not-run.
  bool MayHaveRun = false;
  RetryState Retries;
  /// Set once the request is admitted.
  std::optional<RetryAllowance> Allowance;
  /// Zones whose gates refused this request because they are evacuated.
  std::set<base::AvailabilityZone> EvacuatedZones;
  /// Endpoints and outcomes of the attempts, for the request log.
  std::string AttemptHistory;
};

} // namespace amaranth::dataplane

#endif
