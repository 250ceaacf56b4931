#ifndef AMARANTH_DATAPLANE_SRC_GATEIMPL_H
#define AMARANTH_DATAPLANE_SRC_GATEIMPL_H

#include "CrashGuard.h"
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
  bool announce(const Announcement &News);
  void leave(const std::string &Instance,
             std::optional<std::uint64_t> Incarnation);
  void enter(UpstreamEvent Event);
  void publish();
  void updateLimit();
  void tick();
  UpstreamLoad load() const;
  std::optional<Refusal> refusal(ExecutionOutcome What, RefusalReason Why,
                                 std::string Text) const;
  std::optional<Refusal> admission(const ServerExchange &Exchange);
  bool probes(base::Millis Wait);
  std::optional<Refusal> stateRefusal() const;
  std::optional<Refusal> quarantineRefusal(const RequestHead &Head) const;
  bool deadlineReachable(const WaitingWork &Work, base::Millis Wait,
                         base::Millis Link) const;
  /// Expected size of the response when it is to wait for the link; 0 for a
  /// short one.
  std::size_t expectedLarge(const ServerExchange &Exchange) const;
  /// Time until the link has sent the response of a new request, with the
  /// responses that are still at work at the upstream. With `Late`, behind
  /// everything that waits.
  base::Millis expectedLink(const ServerExchange &Exchange, bool Late) const;
  /// The share of a response in `PendingBytes`, until the body is there.
  class PendingResponse {
  public:
    PendingResponse(Impl &Owner, std::size_t Bytes)
        : Owner(Owner), Bytes(Bytes) {
      Owner.PendingBytes += Bytes;
    }
    ~PendingResponse() { arrived(); }
    PendingResponse(const PendingResponse &) = delete;
    PendingResponse &operator=(const PendingResponse &) = delete;
    void arrived() { Owner.PendingBytes -= std::exchange(Bytes, 0); }

  private:
    Impl &Owner;
    std::size_t Bytes;
  };
  bool isSuspect(const RequestHead &Head) const;
  base::Millis expectedService(const RequestHead &Head) const;
  WaitingWork workOf(const ServerExchange &Exchange) const;
  base::TimePoint latestStart(const ServerExchange &Exchange) const;

  // GateRun.cpp: one exchange.
  using Shared = std::shared_ptr<ServerExchange>;
  using Answer = boost::asio::awaitable<std::optional<Refusal>>;
  boost::asio::awaitable<void> serve(Shared Exchange);
  Answer attempt(Shared Exchange);
  /// One request that has a slot.
  struct Run {
    SlotHold &Slot;
    PendingResponse &Response;
    /// A keyed request runs on without its caller, so that a resend gets its
    /// response; a suspect does, so that a crash is seen.
    bool RunsToEnd = false;
    bool Suspect = false;
    bool Crashed = false;
    /// The response head arrived.
    bool Answered = false;
    /// The request may be the cause of a crash of the upstream.
    std::optional<CrashGuard::Tracked> Tracked;
  };
  /// The last chance to refuse before a byte is sent.
  std::optional<Refusal> lastRefusal(const ServerExchange &Exchange) const;
  Answer runWithSlot(Shared Exchange, bool Suspect, PendingResponse &Response);
  Answer claimAndRun(Shared Exchange, Run &State);
  Answer execute(Shared Exchange, Run &State);
  Answer failed(Shared Exchange, UpstreamError Failure, Run &State);
  Answer beginSuspect(Shared Exchange);
  boost::asio::awaitable<void> endSuspect(Shared Exchange, bool Crashed);
  boost::asio::awaitable<void> replay(Shared Exchange,
                                      control::StoredResponse Stored);
  boost::asio::awaitable<std::shared_ptr<UpstreamCall>> begin(Shared Exchange);
  /// The head of this request's own response, before the deadline.
  boost::asio::awaitable<ResponseHead>
  ownHead(Shared Exchange, std::shared_ptr<UpstreamCall> Call);
  /// Reads the rest of a response that is not passed on, so that its
  /// connection can be used again.
  boost::asio::awaitable<void> drainBody(std::shared_ptr<UpstreamCall> Call);
  Answer forward(Shared Exchange, std::shared_ptr<UpstreamCall> Call,
                 Run &State);
  Answer passBody(Shared Exchange, std::shared_ptr<UpstreamCall> Call,
                  ResponseHead Head, Run &State);
  /// True for what this node asked for itself, which does not use the link.
  bool isOwn(ExchangeStream &Body) const;
  /// Counts a message that does not wait for the link.
  void countSent(ExchangeStream &Body, std::size_t Bytes);
  void postCounted(ExchangeStream &Body, protocol::MessageType Type,
                   base::Bytes Payload);
  /// True when the body is large enough to wait for the link.
  bool isShaped(ServerExchange &Exchange, const ResponseHead &Head) const;
  /// As `passBody`, for a body that waits for the link. The slot is free as
  /// soon as the upstream has sent everything. What the link has not carried
  /// by the deadline breaks off.
  Answer passShaped(Shared Exchange, std::shared_ptr<UpstreamCall> Call,
                    ResponseHead Head, Run &State);
  /// Counts a response that may still be sent when its slot is free.
  class Sending {
  public:
    explicit Sending(Impl &Owner) : Owner(Owner) { ++Owner.SendingCount; }
    ~Sending() { --Owner.SendingCount; }
    Sending(const Sending &) = delete;
    Sending &operator=(const Sending &) = delete;

  private:
    Impl &Owner;
  };
  bool idle() const { return Slots.inFlight() == 0 && SendingCount == 0; }
  void logEnd(const ServerExchange &Exchange,
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
  CrashGuard Crashes;
  SlotQueue Slots;
  EgressShaper Egress;
  base::TimePoint NextProbe{0};
  std::size_t SendingCount = 0;
  /// Expected bytes of the large responses of admitted requests.
  std::size_t PendingBytes = 0;
  RouteTimes Times;
  RouteSizes Sizes;
  UpstreamLifecycle Lifecycle;
  std::optional<Announcement> Last;
  base::TimePoint LastHeard;
  base::TimePoint ReadyAt;
  base::WallTime ReadyWall;
  std::uint64_t Incarnation;
  std::uint64_t Sequence = 0;
  bool NodeDraining = false;
  /// The endpoint is published as leaving, but still takes work.
  bool Leaving = false;
};

} // namespace amaranth::dataplane

#endif
