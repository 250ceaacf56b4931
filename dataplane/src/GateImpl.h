#ifndef AMARANTH_DATAPLANE_SRC_GATEIMPL_H
#define AMARANTH_DATAPLANE_SRC_GATEIMPL_H

#include "CrashDetector.h"
#include "MovingMedian.h"
#include "amaranth/dataplane/ClaimClient.h"
#include "amaranth/dataplane/EgressShaper.h"
#include "amaranth/dataplane/Gate.h"
#include "amaranth/dataplane/SlotQueue.h"

#include <optional>

namespace amaranth::dataplane {

struct Gate::Impl : std::enable_shared_from_this<Gate::Impl> {
  Impl(const boost::asio::any_io_executor &Executor, GateSettings Options,
       base::Clock &Time, follower::SnapshotSource &Snapshots,
       follower::ControlCalls &Control, Metrics &Counters,
       const HttpDialect &Dialect);

  // Gate.cpp: lifecycle and admission.
  bool announce(const Announcement &Update);
  void deregister(const std::string &Instance,
                  std::optional<std::uint64_t> Incarnation);
  void applyEvent(UpstreamEvent Event);
  void publish();
  void updateLimit();
  void tick();
  Load load() const;
  std::optional<Refusal> makeRefusal(Outcome What, Reason Why,
                                     std::string Text) const;
  std::optional<Refusal> checkAdmission(const ServerExchange &Exchange);
  bool admitsProbe(base::Millis Wait);
  std::optional<Refusal> stateRefusal() const;
  std::optional<Refusal> quarantineRefusal(const RequestHead &Head) const;
  bool deadlineReachable(const SchedulingParams &Work, base::Millis Wait,
                         base::Millis Link) const;
  /// Expected size of the response when it is to wait for the link; 0 for a
  /// short one.
  std::size_t expectedShapedBytes(const ServerExchange &Exchange) const;
  /// Time until the link has sent the response of a new request, with the
  /// responses that are still at work at the upstream. With `BehindAll`, behind
  /// everything that waits.
  base::Millis expectedLinkTime(const ServerExchange &Exchange,
                                bool BehindAll) const;
  /// The share of a response in `PendingLinkBytes`, until the body is there.
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
  base::Millis expectedServiceTime(const RequestHead &Head) const;
  SchedulingParams schedulingParams(const ServerExchange &Exchange) const;
  base::TimePoint latestStart(const ServerExchange &Exchange) const;

  // GateRun.cpp: one exchange.
  using ExchangePtr = std::shared_ptr<ServerExchange>;
  using RefusalTask = boost::asio::awaitable<std::optional<Refusal>>;
  boost::asio::awaitable<void> serve(ExchangePtr Exchange);
  RefusalTask admitAndExecute(ExchangePtr Exchange);
  /// One request that has a slot.
  struct Execution {
    SlotGuard &Slot;
    PendingResponse &Response;
    /// A keyed request runs on without its caller, so that a resend gets its
    /// response; a suspect does, so that a crash is seen.
    bool RunsToCompletion = false;
    bool Suspect = false;
    bool Crashed = false;
    /// The response head arrived.
    bool HeadReceived = false;
    /// The request may be the cause of a crash of the upstream.
    std::optional<CrashDetector::TrackedRequest> Tracked;
  };
  /// The last chance to refuse before a byte is sent.
  std::optional<Refusal>
  refusalBeforeSend(const ServerExchange &Exchange) const;
  RefusalTask executeWithSlot(ExchangePtr Exchange, bool Suspect,
                              PendingResponse &Response);
  RefusalTask claimAndExecute(ExchangePtr Exchange, Execution &State);
  RefusalTask execute(ExchangePtr Exchange, Execution &State);
  RefusalTask handleFailure(ExchangePtr Exchange, UpstreamError Failure,
                            Execution &State);
  RefusalTask beginSuspect(ExchangePtr Exchange);
  boost::asio::awaitable<void> endSuspect(ExchangePtr Exchange, bool Crashed);
  boost::asio::awaitable<void> replayStored(ExchangePtr Exchange,
                                            control::StoredResponse Stored);
  boost::asio::awaitable<std::shared_ptr<UpstreamCall>>
  beginCall(ExchangePtr Exchange);
  /// The head of this request's own response, before the deadline.
  boost::asio::awaitable<ResponseHead>
  readOwnHead(ExchangePtr Exchange, std::shared_ptr<UpstreamCall> Call);
  /// Reads the rest of a response that is not passed on, so that its
  /// connection can be used again.
  boost::asio::awaitable<void> discardBody(std::shared_ptr<UpstreamCall> Call);
  RefusalTask forwardResponse(ExchangePtr Exchange,
                              std::shared_ptr<UpstreamCall> Call,
                              Execution &State);
  RefusalTask forwardBody(ExchangePtr Exchange,
                          std::shared_ptr<UpstreamCall> Call, ResponseHead Head,
                          Execution &State);
  /// True for what this node asked for itself, which does not use the link.
  bool isLocal(ExchangeEnd &Body) const;
  /// Counts a message that does not wait for the link.
  void recordSent(ExchangeEnd &Body, std::size_t Bytes);
  void postAndRecord(ExchangeEnd &Body, protocol::MessageType Type,
                     base::Bytes Payload);
  /// True when the body is large enough to wait for the link.
  bool isShaped(ServerExchange &Exchange, const ResponseHead &Head) const;
  /// As `forwardBody`, for a body that waits for the link. The slot is free as
  /// soon as the upstream has sent everything. What the link has not carried
  /// by the deadline breaks off.
  RefusalTask forwardShapedBody(ExchangePtr Exchange,
                                std::shared_ptr<UpstreamCall> Call,
                                ResponseHead Head, Execution &State);
  /// Counts a response that may still be sent when its slot is free.
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
  Metrics &Counters;
  const HttpDialect &Dialect;
  ClaimClient Claims;
  UpstreamClient Client;
  CrashDetector Crashes;
  SlotQueue Slots;
  EgressShaper Egress;
  base::TimePoint NextProbe{0};
  std::size_t OngoingSends = 0;
  /// Expected bytes of the large responses of admitted requests.
  std::size_t PendingLinkBytes = 0;
  RouteTimes ServiceTimes;
  RouteSizes ResponseSizes;
  UpstreamLifecycle Lifecycle;
  std::optional<Announcement> LastAnnouncement;
  base::TimePoint LastAnnouncedAt;
  base::TimePoint ReadyAt;
  base::WallTime ReadyWall;
  std::uint64_t Incarnation;
  std::uint64_t Sequence = 0;
  bool NodeDraining = false;
  /// The endpoint is published as leaving, but still takes work.
  bool LameDuck = false;
};

} // namespace amaranth::dataplane

#endif
