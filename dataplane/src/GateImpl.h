#ifndef AMARANTH_DATAPLANE_SRC_GATEIMPL_H
#define AMARANTH_DATAPLANE_SRC_GATEIMPL_H

#include "CrashDetector.h"
#include "FadingMean.h"
#include "MovingMedian.h"
#include "amaranth/dataplane/ClaimClient.h"
#include "amaranth/dataplane/ColdLimit.h"
#include "amaranth/dataplane/EgressShaper.h"
#include "amaranth/dataplane/Gate.h"
#include "amaranth/dataplane/SlotQueue.h"
#include "amaranth/dataplane/UpstreamRuns.h"
#include "amaranth/scheduling/CostModel.h"
#include "amaranth/scheduling/OutstandingWork.h"

#include <optional>
#include <set>

namespace amaranth::dataplane {

struct Gate::Impl : std::enable_shared_from_this<Gate::Impl> {
  Impl(const boost::asio::any_io_executor &Executor, GateSettings Options,
       base::Clock &Time, follower::SnapshotSource &Snapshots,
       follower::ControlCalls &Control, CrashQuarantine &Quarantine,
       Metrics &Counters, const HttpDialect &Dialect, UpstreamRuns &Runs);

  // Lifecycle and admission control (Gate.cpp).
  bool announce(const Announcement &Update);
  void unregister(const std::string &Instance,
                  std::optional<std::uint64_t> Incarnation);
  /// True also while the configuration is unknown.
  bool isConfigured(const base::ServiceName &Service) const;
  void applyEvent(UpstreamEvent Event);
  /// Marks the announced process as stopped if it left before its first
  /// announcement.
  void applyEarlyDeparture();
  void publish();
  void updateLimit();
  void tick();
  /// Applies what the upstream process `Incarnation` says in a response.
  /// `RequestSent`: when its request was sent.
  void applyNotice(const ResponseHead &Head, std::uint64_t Incarnation,
                   base::TimePoint RequestSent);
  void setRequestLimit(std::optional<RequestRate> Limit);
  /// Applies what the configuration says about this zone and about cold
  /// upstreams, and the end of a cold period. Called before each decision about
  /// a request, since a snapshot must not take effect a tick later.
  void updateTerms();
  /// Sets the lower one of the rate of a cold upstream and the limit that the
  /// upstream names.
  void updateRate();
  /// The upstream may have restarted or become cold unseen.
  void suspectCold(const char *Cause);
  /// The upstream has closed all of its idle connections.
  void recordConnectionsLost();
  void recordAnnouncedCold(const Announcement &Update, bool Restarted);
  std::optional<Refusal> coldRefusal() const;
  /// The load without the expected wait and work, which cost a simulation.
  UpstreamLoad countedLoad() const;
  UpstreamLoad load() const;
  UpstreamLoad loadFor(const RequestHead &Head) const;
  std::optional<Refusal> makeRefusal(ExecutionOutcome What, RefusalReason Why,
                                     std::string Text) const;
  std::optional<Refusal> checkAdmission(const ServerExchange &Exchange);
  bool admitsProbe(base::Millis Wait);
  std::optional<Refusal> stateRefusal() const;
  /// Refusal of a request for another service or version than the announced
  /// one.
  std::optional<Refusal> identityRefusal(const RequestHead &Head) const;
  std::optional<Refusal> quarantineRefusal(const RequestHead &Head) const;
  /// Refusal of a repeat whose calls the retry budgets do not allow. They would
  /// be refused during the run, which would then fail.
  std::optional<Refusal> repeatRefusal(const RequestHead &Head) const;
  bool deadlineReachable(const ServerExchange &Exchange, base::Millis Wait,
                         base::Millis Link) const;
  /// Expected response size in bytes if the response is subject to egress
  /// shaping; 0 otherwise.
  std::size_t expectedShapedBytes(const ServerExchange &Exchange) const;
  /// Expected time until the link has sent the response to a new request,
  /// including the responses that the upstream is still working on. With
  /// `BehindAll`, the response is sent after all waiting bodies, late ones
  /// included.
  base::Millis expectedLinkTime(const ServerExchange &Exchange,
                                bool BehindAll) const;
  /// Accounts for a response in `PendingLinkBytes` until its body arrives.
  class PendingResponse {
  public:
    PendingResponse(Impl &Owner, std::size_t Bytes)
        : Owner(Owner), Bytes(Bytes) {
      Owner.PendingLinkBytes += Bytes;
    }
    ~PendingResponse() { release(); }
    PendingResponse(const PendingResponse &) = delete;
    PendingResponse &operator=(const PendingResponse &) = delete;
    void release() { Owner.PendingLinkBytes -= std::exchange(Bytes, 0); }

  private:
    Impl &Owner;
    std::size_t Bytes;
  };
  bool isSuspect(const RequestHead &Head) const;
  /// Records that the upstream answered the request, which clears it as a
  /// suspect.
  void recordAnswer(const RequestHead &Head, bool Suspect);
  /// Time that a request of the route typically needs.
  base::Millis expectedServiceTime(const RequestHead &Head) const;
  /// The running requests; the waiting ones depend on the order.
  scheduling::OutstandingWork runningWork() const;
  SchedulingParams schedulingParams(const ServerExchange &Exchange) const;
  /// Applies a new deadline and priority to an exchange that waits for a slot
  /// or for the link.
  void reschedule(const ServerExchange &Exchange);
  base::TimePoint latestStart(const ServerExchange &Exchange) const;

  // Processing of one exchange (GateRun.cpp).
  using ExchangePtr = std::shared_ptr<ServerExchange>;
  using RefusalTask = boost::asio::awaitable<std::optional<Refusal>>;
  boost::asio::awaitable<void> serve(ExchangePtr Exchange);
  RefusalTask admitAndExecute(ExchangePtr Exchange);
  /// State of a request that holds a slot.
  struct Execution {
    SlotGuard &Slot;
    PendingResponse &Response;
    /// The request has a key and continues when its caller goes away, so that
    /// a resend gets its response.
    bool RunsToCompletion = false;
    bool Suspect = false;
    /// The upstream process that runs the request.
    std::uint64_t Incarnation = 0;
    bool HeadReceived = false;
    /// Set while the request may be the cause of a crash of the upstream.
    std::optional<CrashDetector::TrackedRequest> Tracked;
  };
  /// Final check before the first byte is sent to the upstream.
  std::optional<Refusal>
  refusalBeforeSend(const ServerExchange &Exchange) const;
  RefusalTask executeWithSlot(ExchangePtr Exchange, bool Suspect,
                              PendingResponse &Response);
  RefusalTask claimAndExecute(ExchangePtr Exchange, Execution &State);
  RefusalTask execute(ExchangePtr Exchange, Execution &State);
  RefusalTask handleFailure(ExchangePtr Exchange, UpstreamError Failure,
                            Execution &State);
  boost::asio::awaitable<void> replayStored(ExchangePtr Exchange,
                                            control::StoredResponse Stored);
  boost::asio::awaitable<std::shared_ptr<UpstreamCall>>
  beginCall(ExchangePtr Exchange);
  /// Reads the head of the response to this request. Skips responses that
  /// belong to other requests.
  boost::asio::awaitable<ResponseHead>
  readOwnHead(ExchangePtr Exchange, std::shared_ptr<UpstreamCall> Call,
              std::uint64_t Incarnation);
  /// Reads and discards the rest of a response that is not forwarded, so that
  /// its connection can be reused. Closes the connection instead if the rest is
  /// long or slow.
  boost::asio::awaitable<void> discardBody(ExchangePtr Exchange,
                                           std::shared_ptr<UpstreamCall> Call);
  RefusalTask forwardResponse(ExchangePtr Exchange,
                              std::shared_ptr<UpstreamCall> Call,
                              Execution &State);
  RefusalTask forwardBody(ExchangePtr Exchange,
                          std::shared_ptr<UpstreamCall> Call, ResponseHead Head,
                          Execution &State);
  /// Returns true if the request came from this node; its messages do not use
  /// the link.
  bool isLocal(ExchangeStream &Body) const;
  /// Charges a message that is not subject to shaping to the link.
  void recordSent(ExchangeStream &Body, std::size_t Bytes);
  void postAndRecord(ExchangeStream &Body, protocol::MessageType Type,
                     base::Bytes Payload);
  /// Returns true if the response body is subject to egress shaping.
  bool isShaped(ServerExchange &Exchange, const ResponseHead &Head) const;
  /// Like `forwardBody`, for a body that is subject to shaping. Releases the
  /// slot as soon as the upstream has sent the whole body. A body that is not
  /// fully sent by the deadline is aborted.
  RefusalTask forwardShapedBody(ExchangePtr Exchange,
                                std::shared_ptr<UpstreamCall> Call,
                                ResponseHead Head, Execution &State);
  /// Counts a shaped response, which may still be sent after its slot is
  /// released.
  class OngoingSend {
  public:
    explicit OngoingSend(Impl &Owner) : Owner(Owner) { ++Owner.OngoingSends; }
    ~OngoingSend() { --Owner.OngoingSends; }
    OngoingSend(const OngoingSend &) = delete;
    OngoingSend &operator=(const OngoingSend &) = delete;

  private:
    Impl &Owner;
  };
  bool isIdle() const { return Slots.inFlight() == 0 && OngoingSends == 0; }
  void logExchange(const ServerExchange &Exchange,
                   const std::optional<Refusal> &Refused) const;
  Headers requestFields(const ServerExchange &Exchange) const;

  boost::asio::any_io_executor Executor;
  GateSettings Options;
  base::Clock &Time;
  follower::SnapshotSource &Snapshots;
  follower::ControlCalls &Control;
  CrashQuarantine &Quarantine;
  Metrics &Counters;
  const HttpDialect &Dialect;
  UpstreamRuns &Runs;
  ClaimClient Claims;
  UpstreamClient Client;
  CrashDetector Crashes;
  SlotQueue Slots;
  EgressShaper Egress;
  base::TimePoint NextProbe{0};
  std::size_t OngoingSends = 0;
  /// Time that requests of other nodes are on their way.
  FadingMean Transit;
  /// Expected bytes of the large responses of admitted requests.
  std::size_t PendingLinkBytes = 0;
  scheduling::CostModel Costs;
  RouteSizes ResponseSizes;
  UpstreamLifecycle Lifecycle;
  std::optional<Announcement> LastAnnouncement;
  /// The announced process has said that it leaves. Final for its incarnation.
  bool HasLeft = false;
  /// A departure that was received before any announcement.
  struct Departure {
    std::string Instance;
    std::optional<std::uint64_t> Incarnation;
  };
  std::optional<Departure> EarlyDeparture;
  ColdLimit Cold;
  /// As of the last `updateTerms`.
  bool IsCold = false;
  /// Why the upstream was last treated as cold.
  const char *ColdCause = "announced";
  /// When all connections were closed; empty once it is known why.
  std::optional<base::TimePoint> ConnectionsLostAt;
  /// The upstream closes idle connections without a restart.
  bool ClosesConnections = false;
  /// The announcements are late; the next one ends this.
  bool Silent = false;
  bool Evacuated = false;
  /// Last time at which the upstream sent a response head.
  base::TimePoint LastResponse{0};
  /// Limit in the last response of the upstream that could be read.
  std::optional<RequestRate> NamedLimit;
  /// The last malformed limit, which is logged once.
  std::string MalformedLimit;
  base::TimePoint LastAnnouncedAt;
  base::TimePoint ReadyAt;
  base::WallTime ReadyWall;
  std::uint64_t Incarnation;
  std::uint64_t Sequence = 0;
  /// Exchanges that have not ended.
  std::set<ServerExchange *> Served;
  /// Time by which the responses must be complete because the node shuts down.
  base::TimePoint ShutdownEnd = base::TimePoint::max();
  bool NodeDraining = false;
  /// The endpoint is published as draining but still accepts requests.
  bool LameDuck = false;
};

} // namespace amaranth::dataplane

#endif
