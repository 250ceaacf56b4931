#include "EntryRefusal.h"
#include "GateImpl.h"
#include "amaranth/base/Digest.h"
#include "amaranth/base/Invariant.h"
#include "amaranth/base/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <deque>

namespace asio = boost::asio;
using amaranth::protocol::MessageType;

namespace amaranth::dataplane {

namespace {

/// Read buffer size for response bodies. Most responses fit into one buffer.
constexpr std::size_t ResponsePieceBytes = 16U << 10U;
/// Limits for the rest of a response that is not forwarded. The caller waits
/// for it, and its only use is a connection that can be used again.
constexpr std::size_t MaxDiscardedBytes = 64U << 10U;
constexpr base::Millis MaxDiscardTime = base::Millis(100);
/// Time to reserve on the link for a response of which nothing has been sent,
/// as a percentage of its transmission time: short messages are sent in
/// between.
constexpr std::int64_t LinkMarginPercent = 110;
/// Frame, TCP and IP headers of one message.
constexpr std::size_t MessageOverheadBytes = 64;
/// Bytes of a response that are buffered while they wait for the link. A larger
/// response holds the slot of the upstream until the rest fits.
constexpr std::size_t MaxReadAheadBytes = 1U << 20U;

/// Sends the request body to the upstream, concurrently with reading the
/// response. Completes when the exchange or the call ends.
asio::awaitable<void> sendRequestBody(std::shared_ptr<ServerExchange> Exchange,
                                      std::shared_ptr<UpstreamCall> Call) {
  // Entry nodes send no data messages for an empty body.
  std::int64_t Left = Exchange->Head.BodyLength;
  try {
    for (bool End = Left == 0; !End;) {
      BodyPiece Piece = co_await Exchange->Body.readData();
      End = Piece.End;
      // The upstream would parse bytes beyond the declared length as another
      // request.
      auto Size = static_cast<std::int64_t>(Piece.Data.size());
      if (Left != UnknownLength && (Size > Left || (End && Size < Left))) {
        Call->abort();
        co_return;
      }
      if (Left != UnknownLength)
        Left -= Size;
      co_await Call->writeBody(Piece.Data);
    }
    co_await Call->writeEnd();
  } catch (const ExchangeAborted &) {
    // The upstream must not mistake a partial body for the whole request.
    Call->abort();
  } catch (const UpstreamError &) {
    // The upstream may have sent an early response. If not, reading the
    // response reports the failure.
  }
}

/// Records a response for a later replay unless it is too large to be stored.
class ResponseRecorder {
public:
  explicit ResponseRecorder(const ResponseHead &Head) {
    Stored.Status = static_cast<std::uint16_t>(Head.Status);
    Stored.Headers = Head.Fields;
    for (const auto &[Name, Value] : Head.Fields)
      Size += Name.size() + Value.size();
  }

  void add(base::ByteView Data) {
    Size += Data.size();
    if (!fits())
      return;
    Stored.Body.append(base::asText(Data));
  }
  bool fits() const { return Size <= control::MaxStoredBodyBytes; }
  std::optional<control::StoredResponse> take() {
    if (!fits())
      return std::nullopt;
    return std::move(Stored);
  }

private:
  control::StoredResponse Stored;
  /// Size of the header fields and of the body received so far.
  std::size_t Size = 0;
};

/// Buffer between the upstream and a bandwidth-limited link. The reader and the
/// sender notify each other through the signal of the exchange.
struct ReadAheadBuffer {
  std::deque<base::Bytes> Pieces;
  std::size_t Buffered = 0;
  /// Bytes of the body read so far.
  std::size_t Total = 0;
  /// Bytes not read yet according to the declared length; 0 if the length is
  /// unknown.
  std::size_t Unread = 0;
  bool Complete = false;
  /// The reader stopped before the end of the body; the rest is not sent.
  bool Aborted = false;
  /// The link cannot send the body in time, so the sender has stopped.
  bool Abandoned = false;
  bool AllSent = false;

  void add(base::Bytes Piece) {
    Buffered += Piece.size();
    Total += Piece.size();
    Unread -= std::min(Unread, Piece.size());
    Pieces.push_back(std::move(Piece));
  }
  /// Size of the next message: reads from the upstream are often short.
  std::size_t nextSize() const {
    return std::min(Buffered, EgressShaper::PieceBytes);
  }
  base::Bytes take(std::size_t Size) {
    base::Bytes Taken;
    Taken.reserve(Size);
    while (Taken.size() < Size) {
      base::Bytes &First = Pieces.front();
      std::size_t Count = std::min(Size - Taken.size(), First.size());
      auto Last = First.begin() + static_cast<std::ptrdiff_t>(Count);
      Taken.insert(Taken.end(), First.begin(), Last);
      First.erase(First.begin(), Last);
      if (First.empty())
        Pieces.pop_front();
    }
    Buffered -= Size;
    return Taken;
  }
};

/// True if the link, which needs `LinkTime`, will not have sent a whole
/// response before one of its nodes ends. The request can be repeated elsewhere
/// instead. An upstream that has not finished is not interrupted.
bool isTooLate(const ServerExchange &Exchange, const ReadAheadBuffer &Ahead,
               base::Millis LinkTime, base::TimePoint Now) {
  std::int64_t Percent = Exchange.BytesSent == 0 ? LinkMarginPercent : 100;
  return Exchange.EndsWithNode && Ahead.Complete &&
         Now + LinkTime * Percent / 100 > Exchange.Deadline;
}

/// Sends buffered data as the shaper permits.
asio::awaitable<void> sendBuffered(std::shared_ptr<ServerExchange> Exchange,
                                   std::shared_ptr<ReadAheadBuffer> Ahead,
                                   EgressShaper &Egress, base::Clock &Time) {
  ExchangeStream &Body = Exchange->Body;
  std::shared_ptr<ExchangeStream> Sender(Exchange, &Body);
  std::uint64_t Sequence = Egress.nextSequence();
  try {
    while (!Ahead->AllSent && !Ahead->Aborted && !Body.ended()) {
      if (Ahead->Pieces.empty() && !Ahead->Complete) {
        co_await Body.changed().wait();
        continue;
      }
      base::Bytes Piece;
      if (!Ahead->Pieces.empty()) {
        std::size_t Left = Ahead->Buffered + Ahead->Unread;
        std::size_t Size = Ahead->nextSize();
        SchedulingParams Work{Exchange->Priority, Exchange->Objective,
                              Exchange->Deadline, base::Millis(0), Sequence};
        co_await Egress.acquire(Sender, Work, Size, Left);
        if (Ahead->Aborted || Body.ended())
          co_return;
        if (Exchange->BytesSent == 0 &&
            isTooLate(*Exchange, *Ahead, Egress.transmissionTime(Left),
                      Time.now())) {
          Ahead->Abandoned = true;
          Body.changed().notifyAll();
          co_return;
        }
        Piece = Ahead->take(Size);
        Exchange->BytesSent += Piece.size();
      }
      bool End = Ahead->Complete && Ahead->Pieces.empty();
      co_await Body.sendData(std::move(Piece), End);
      Ahead->AllSent = End;
      Body.changed().notifyAll();
    }
  } catch (const ExchangeAborted &) {
    // The reader handles the end of the exchange.
  }
}

/// Stops the sender at the end of a scope unless the whole body was read.
class AbortUnlessComplete {
public:
  explicit AbortUnlessComplete(std::shared_ptr<ReadAheadBuffer> Buffer)
      : Buffer(std::move(Buffer)) {}
  ~AbortUnlessComplete() { Buffer->Aborted = !Buffer->Complete; }
  AbortUnlessComplete(const AbortUnlessComplete &) = delete;
  AbortUnlessComplete &operator=(const AbortUnlessComplete &) = delete;

private:
  std::shared_ptr<ReadAheadBuffer> Buffer;
};

} // namespace

asio::awaitable<void> Gate::Impl::serve(ExchangePtr Exchange) {
  auto KeepAlive = shared_from_this();
  std::optional<Refusal> Refused;
  Exchange->OnReschedule = [this, Raw = Exchange.get()] { reschedule(*Raw); };
  Served.insert(Exchange.get());
  if (!isLocal(Exchange->Body))
    Transit.record(Exchange->TransitDelay, Time.now());
  Exchange->limitDeadline(ShutdownEnd);
  try {
    Refused = co_await admitAndExecute(Exchange);
  } catch (const ExchangeAborted &) {
    // The entry node disconnected or cancelled; no response is needed.
  } catch (const std::exception &Failure) {
    base::logger("gate")->error("exchange failed id={} error=\"{}\"",
                                Exchange->Head.CallerAttempt, Failure.what());
    Refused = makeRefusal(ExecutionOutcome::Unknown,
                          RefusalReason::UpstreamBroken, "internal");
  }
  Counters.setGateLoad(countedLoad());
  Exchange->OnEnd = nullptr;
  Exchange->OnReschedule = nullptr;
  Served.erase(Exchange.get());
  logExchange(*Exchange, Refused);
  if (!Refused || Exchange->Body.ended())
    co_return;
  Counters.countRefusal("gate", *Refused);
  Refused->Load.RouteServiceTime = Costs.mean(Exchange->Head.Route, Time.now());
  postAndRecord(Exchange->Body, MessageType::Refusal, encode(*Refused));
}

void Gate::Impl::recordSent(ExchangeStream &Body, std::size_t Bytes) {
  if (!isLocal(Body))
    Egress.recordSent(Bytes + MessageOverheadBytes);
}

void Gate::Impl::postAndRecord(ExchangeStream &Body, MessageType Type,
                               base::Bytes Payload) {
  recordSent(Body, Payload.size());
  Body.channel().post(Type, Body.streamId(), std::move(Payload));
}

void Gate::Impl::logExchange(const ServerExchange &Exchange,
                             const std::optional<Refusal> &Refused) const {
  base::TimePoint Now = Time.now();
  base::TimePoint Started = Exchange.Started.value_or(Now);
  std::string Outcome = "answered";
  if (Exchange.Body.ended())
    Outcome = "cancelled";
  if (Refused)
    Outcome = std::string(outcomeText(Refused->Outcome)) + " " +
              reasonText(Refused->Reason);
  UpstreamLoad Work = countedLoad();
  base::logger(base::RequestLog)
      ->info("exchange id={} route={} fingerprint={} priority={} "
             "repeat={} transit_ms={} waited_ms={} ran_ms={} "
             "link_ms={} bytes={} link_backlog_ms={} left_ms={} in_flight={} "
             "queued={} slots={} service_ms={} "
             "instance={} outcome=\"{}\" detail=\"{}\"",
             Exchange.Head.CallerAttempt, Exchange.Head.Route.value(),
             base::hex64(Exchange.Head.Fingerprint), Exchange.Priority,
             Exchange.Head.Repeat, Exchange.TransitDelay.count(),
             (Started - Exchange.Arrived).count(),
             (Exchange.ResponseRead.value_or(Now) - Started).count(),
             (Now - Exchange.ResponseRead.value_or(Now)).count(),
             Exchange.BytesSent, Work.LinkBacklog.count(),
             (Exchange.Deadline - Now).count(), Work.InFlight, Work.Queued,
             Slots.limit(), expectedServiceTime(Exchange.Head).count(),
             LastAnnouncement ? LastAnnouncement->Instance : std::string(),
             Outcome, Refused ? Refused->Text : std::string());
}

Gate::Impl::RefusalTask Gate::Impl::admitAndExecute(ExchangePtr Exchange) {
  if (Exchange->Head.Suspect)
    Quarantine.addSuspect(Exchange->Head.Fingerprint);
  if (auto Refused = checkAdmission(*Exchange))
    co_return Refused;
  PendingResponse Response(*this, expectedShapedBytes(*Exchange));
  bool Suspect = isSuspect(Exchange->Head);
  // Shares ownership of the exchange, which contains the object that the queue
  // waits on.
  std::shared_ptr<ExchangeStream> Waiting(Exchange, &Exchange->Body);
  auto Granted =
      co_await Slots.acquire(std::move(Waiting), schedulingParams(*Exchange),
                             latestStart(*Exchange), Suspect);
  if (Granted == SlotQueue::Result::Granted)
    co_return co_await executeWithSlot(Exchange, Suspect, Response);
  if (Granted == SlotQueue::Result::Ended)
    co_return std::nullopt;
  // A cold upstream is not at fault if the rate that it bears is used up.
  if (Granted == SlotQueue::Result::Expired && IsCold)
    co_return coldRefusal();
  if (Granted == SlotQueue::Result::Expired)
    co_return makeRefusal(ExecutionOutcome::NotRun,
                          RefusalReason::DeadlineExceeded,
                          "no slot was free early enough for the deadline");
  if (auto Refused = stateRefusal())
    co_return Refused;
  if (IsCold)
    co_return coldRefusal();
  co_return makeRefusal(ExecutionOutcome::NotRun, RefusalReason::Overloaded,
                        "upstream changed its state");
}

Gate::Impl::RefusalTask Gate::Impl::executeWithSlot(ExchangePtr Exchange,
                                                    bool Suspect,
                                                    PendingResponse &Response) {
  SlotGuard Hold(Slots, Suspect);
  Exchange->Started = Time.now();
  auto Refused = refusalBeforeSend(*Exchange);
  if (!Refused)
    Refused = quarantineRefusal(Exchange->Head);
  if (!Refused)
    Refused = repeatRefusal(Exchange->Head);
  // A request that became a suspect while queued did not wait for other
  // suspects.
  if (!Refused && !Suspect && isSuspect(Exchange->Head))
    Refused = makeRefusal(ExecutionOutcome::NotRun, RefusalReason::SuspectBusy,
                          "request is suspected of crashing upstreams");
  if (Refused) {
    Slots.returnUnused();
    co_return Refused;
  }
  Execution State{Hold, Response, Exchange->Head.IdempotencyKey.has_value(),
                  Suspect,
                  LastAnnouncement ? LastAnnouncement->Incarnation : 0};
  co_return co_await claimAndExecute(Exchange, State);
}

Gate::Impl::RefusalTask Gate::Impl::claimAndExecute(ExchangePtr Exchange,
                                                    Execution &State) {
  const RequestHead &Head = Exchange->Head;
  if (!Head.IdempotencyKey)
    co_return co_await execute(Exchange, State);
  base::Millis Limit =
      std::min(Options.ClaimTimeout, Exchange->Deadline - Time.now());
  auto Claimed = co_await Claims.claim(Head, Limit);
  if (Claimed.Refused) {
    Claimed.Refused->Load = load();
    co_return Claimed.Refused;
  }
  if (Claimed.Stored) {
    co_await replayStored(Exchange, std::move(*Claimed.Stored));
    co_return std::nullopt;
  }
  if (auto Refused = refusalBeforeSend(*Exchange)) {
    Claims.release(Head);
    co_return Refused;
  }
  co_return co_await execute(Exchange, State);
}

asio::awaitable<std::shared_ptr<UpstreamCall>>
Gate::Impl::beginCall(ExchangePtr Exchange) {
  const RequestHead &Head = Exchange->Head;
  std::string Method = Head.Method;
  std::string Target = Head.Target;
  UpstreamClient::FieldSource Fields = [this, Exchange] {
    if (Client.takeConnectionsLost())
      recordConnectionsLost();
    updateTerms();
    // The request may have expired or been cancelled during the connect.
    if (auto Refused = refusalBeforeSend(*Exchange))
      throw UpstreamError(false, Refused->Reason, Refused->Text);
    Cold.recordSent(Time.now());
    return requestFields(*Exchange);
  };
  co_return co_await Client.begin(std::move(Method), std::move(Target),
                                  std::move(Fields), Head.BodyLength,
                                  Head.AtMostOnce);
}

Gate::Impl::RefusalTask Gate::Impl::execute(ExchangePtr Exchange,
                                            Execution &State) {
  AMARANTH_INVARIANT(Lifecycle.state() == UpstreamState::Ready,
                     "work for an upstream that is not ready");
  std::optional<CrashDetector::TrackedRequest> &Tracked = State.Tracked;
  Tracked.emplace(Crashes, Exchange->Head.Fingerprint);
  UpstreamRuns::Run Running(
      Runs, {Exchange->Head.Route, Exchange->Deadline, Exchange->Head.Repeat});
  std::optional<UpstreamError> Failure;
  std::shared_ptr<UpstreamCall> Call;
  std::exception_ptr Ended;
  std::optional<Refusal> Refused;
  try {
    Call = co_await beginCall(Exchange);
    Call->setDeadline(Exchange->Deadline);
    Exchange->OnReschedule = [this, Raw = Exchange.get(), Call] {
      reschedule(*Raw);
      Call->setDeadline(Raw->Deadline);
    };
    if (!State.RunsToCompletion)
      Exchange->OnEnd = [Call] { Call->abort(); };
    if (Exchange->Body.ended() && !State.RunsToCompletion)
      Call->abort();
    asio::co_spawn(Executor, sendRequestBody(Exchange, Call), asio::detached);
    Refused = co_await forwardResponse(Exchange, Call, State);
    Tracked.reset();
  } catch (const UpstreamError &Error) {
    Failure = Error;
  } catch (const ExchangeAborted &) {
    Ended = std::current_exception();
  }
  Exchange->OnEnd = nullptr;
  Exchange->OnReschedule = nullptr;
  if (Call)
    Call->abort();
  // The upstream may continue with a request that is abandoned here, so it
  // stays a suspect for a while. A broken connection is checked for a crash
  // immediately instead.
  bool Cancelled = Exchange->Body.ended() && !State.RunsToCompletion;
  bool Late = Failure && (Failure->reason() == RefusalReason::UpstreamSilent ||
                          Failure->reason() == RefusalReason::DeadlineExceeded);
  if (Tracked && Call && (Ended || Cancelled || Late))
    Tracked->abandon();
  if (Ended)
    std::rethrow_exception(Ended);
  if (!Failure)
    co_return Refused;
  if (!Failure->sent())
    Tracked.reset();
  co_return co_await handleFailure(Exchange, *Failure, State);
}

Gate::Impl::RefusalTask Gate::Impl::handleFailure(ExchangePtr Exchange,
                                                  UpstreamError Failure,
                                                  Execution &State) {
  const RequestHead &Head = Exchange->Head;
  if (Head.IdempotencyKey && !Failure.sent())
    Claims.release(Head);
  if (Head.IdempotencyKey && Failure.sent())
    Claims.finish(Head, std::nullopt);
  // A cancelled call closes its connection itself, which does not indicate a
  // crash.
  bool Cancelled = Exchange->Body.ended() && !State.RunsToCompletion;
  bool MayBeCrash = Failure.reason() == RefusalReason::UpstreamBroken ||
                    Failure.reason() == RefusalReason::UpstreamUnreachable;
  if (!Cancelled && MayBeCrash && !Client.hasOpenConnection())
    suspectCold("connections-lost");
  if (Failure.reason() == RefusalReason::UpstreamSilent &&
      Time.now() - LastResponse >= Options.Client.ReadTimeout)
    suspectCold("silent");
  CrashRole Role = CrashRole::NoCrash;
  // The entry node repeats other requests itself, and names them as suspects.
  bool CallerResends = Head.AtMostOnce;
  base::Millis Limit = std::min(Options.CrashReportTimeout,
                                (Exchange->Deadline - Time.now()) / 2);
  if (!Cancelled && MayBeCrash)
    Role = co_await Crashes.handleBrokenConnection(
        Head.Service, Options.Endpoint, Head.Fingerprint, CallerResends, Limit);
  if (!Failure.sent()) {
    auto Reason = Failure.reason() == RefusalReason::UpstreamBroken
                      ? RefusalReason::UpstreamUnreachable
                      : Failure.reason();
    if (Reason == RefusalReason::UpstreamCold)
      co_return coldRefusal();
    co_return makeRefusal(ExecutionOutcome::NotRun, Reason, Failure.what());
  }
  switch (Role) {
  case CrashRole::Culprit:
    co_return makeRefusal(ExecutionOutcome::Unknown, RefusalReason::Quarantined,
                          quarantineText(Head.Fingerprint));
  case CrashRole::Suspect: {
    auto Refused = makeRefusal(ExecutionOutcome::Unknown,
                               RefusalReason::UpstreamCrashed, Failure.what());
    Refused->Suspect = true;
    co_return Refused;
  }
  case CrashRole::Bystander:
    co_return makeRefusal(ExecutionOutcome::Unknown,
                          RefusalReason::UpstreamBroken,
                          "another request crashed the upstream");
  case CrashRole::NoCrash:
    break;
  }
  auto Refused =
      makeRefusal(ExecutionOutcome::Unknown, Failure.reason(), Failure.what());
  // A supervisor may have restarted the upstream before it was checked.
  Refused->Suspect = Failure.reason() == RefusalReason::UpstreamBroken &&
                     !Cancelled && !State.HeadReceived;
  co_return Refused;
}

asio::awaitable<ResponseHead>
Gate::Impl::readOwnHead(ExchangePtr Exchange,
                        std::shared_ptr<UpstreamCall> Call,
                        std::uint64_t Incarnation) {
  for (;;) {
    ResponseHead Received = co_await Call->readHead();
    LastResponse = Time.now();
    if (Dialect.classifyResponse(Received, Exchange->Head.CallerAttempt,
                                 Call->isFirstResponse()) !=
        ResponseClass::Mismatched)
      co_return Received;
    // An old response may tell of a limit or of the end, but its silence does
    // not end a limit.
    UpstreamNotice Notice = Dialect.upstreamNotice(Received);
    if (Notice.Limit || Notice.Leaving)
      applyNotice(Received, Incarnation, base::TimePoint(0));
    base::logger("gate")->warn(
        "skipped a response that belongs to another request id={}",
        Exchange->Head.CallerAttempt);
    co_await Call->skipResponse();
  }
}

asio::awaitable<void>
Gate::Impl::discardBody(ExchangePtr Exchange,
                        std::shared_ptr<UpstreamCall> Call) {
  Call->setDeadline(std::min(Exchange->Deadline, Time.now() + MaxDiscardTime));
  base::Bytes Buffer(ResponsePieceBytes);
  std::size_t Discarded = 0;
  try {
    while (Discarded <= MaxDiscardedBytes) {
      std::size_t Count = co_await Call->readBody(Buffer);
      if (Count == 0)
        co_return;
      Discarded += Count;
    }
  } catch (const UpstreamError &) {
    // The head has already told the outcome of the request.
  }
  Call->abort();
}

Gate::Impl::RefusalTask
Gate::Impl::forwardResponse(ExchangePtr Exchange,
                            std::shared_ptr<UpstreamCall> Call,
                            Execution &State) {
  base::TimePoint Started = Time.now();
  ResponseHead Head;
  std::exception_ptr HeadFailure;
  try {
    Head = co_await readOwnHead(Exchange, Call, State.Incarnation);
  } catch (const UpstreamError &) {
    HeadFailure = std::current_exception();
  }
  auto Verdict =
      HeadFailure ? ResponseClass::Executed
                  : Dialect.classifyResponse(Head, Exchange->Head.CallerAttempt,
                                             Call->isFirstResponse());
  // Timed-out requests count as well; otherwise an upstream that became slow
  // would keep its low median. Requests that were not run are not measured.
  if (Verdict == ResponseClass::Executed)
    Costs.add(Exchange->Head.Route, Time.now() - Started, Time.now());
  if (HeadFailure)
    std::rethrow_exception(HeadFailure);
  if (Verdict == ResponseClass::Indeterminate)
    throw UpstreamError(true, RefusalReason::UpstreamBroken,
                        "response without a sign of this upstream");
  State.HeadReceived = true;
  if (Verdict != ResponseClass::OtherInstance)
    applyNotice(Head, State.Incarnation, Started);
  if (Verdict == ResponseClass::Executed) {
    recordAnswer(Exchange->Head, State.Suspect);
    auto Refused =
        co_await forwardBody(Exchange, std::move(Call), std::move(Head), State);
    co_return Refused;
  }
  if (Exchange->Head.IdempotencyKey)
    Claims.release(Exchange->Head);
  co_await discardBody(Exchange, Call);
  if (Verdict == ResponseClass::NotExecuted)
    co_return makeRefusal(ExecutionOutcome::NotRun, RefusalReason::UpstreamShed,
                          "upstream answered " + std::to_string(Head.Status) +
                              " without running the request");
  co_return makeRefusal(ExecutionOutcome::NotRun,
                        RefusalReason::UpstreamReplaced,
                        "another process has the upstream's address");
}

Gate::Impl::RefusalTask
Gate::Impl::forwardBody(ExchangePtr Exchange,
                        std::shared_ptr<UpstreamCall> Call, ResponseHead Head,
                        Execution &State) {
  eraseConnectionHeaders(Head.Fields);
  Dialect.removeInternalFields(Head.Fields);
  Head.Load = loadFor(Exchange->Head);
  State.Response.release();
  if (isShaped(*Exchange, Head) && !State.RunsToCompletion) {
    auto Refused = co_await forwardShapedBody(
        std::move(Exchange), std::move(Call), std::move(Head), State);
    co_return Refused;
  }
  bool Keyed = Exchange->Head.IdempotencyKey.has_value();
  ResponseRecorder Recorder(Head);
  ExchangeStream &Body = Exchange->Body;
  bool Attached = !Body.ended();
  if (Attached)
    postAndRecord(Body, MessageType::ResponseHead, encode(Head));
  base::Bytes Buffer(ResponsePieceBytes);
  std::optional<ExchangeAborted> Gone;
  for (;;) {
    std::size_t Count = co_await Call->readBody(Buffer);
    base::ByteView Part(Buffer.data(), Count);
    if (Keyed)
      Recorder.add(Part);
    if (Count == 0 && Keyed)
      Claims.finish(Exchange->Head, Recorder.take());
    if (Attached) {
      base::Bytes Copy(Part.begin(), Part.end());
      recordSent(Body, Count);
      Exchange->BytesSent += Count;
      try {
        co_await Body.sendData(std::move(Copy), Count == 0);
      } catch (const ExchangeAborted &Why) {
        Gone = Why;
      }
      Attached = !Gone;
    }
    if (Count == 0) {
      ResponseSizes.add(Exchange->Head.Route, Exchange->BytesSent);
      co_return std::nullopt;
    }
    // A resend cannot use a response that is too large to be stored.
    if (Attached || (Keyed && Recorder.fits()))
      continue;
    if (Keyed)
      Claims.finish(Exchange->Head, std::nullopt);
    throw ExchangeAborted(Body.endCause());
  }
}

bool Gate::Impl::isLocal(ExchangeStream &Body) const {
  return Body.channel().peer().Id == Options.Node.value();
}

bool Gate::Impl::isShaped(ServerExchange &Exchange,
                          const ResponseHead &Head) const {
  constexpr auto Short = static_cast<std::int64_t>(EgressShaper::PieceBytes);
  bool Large = Head.BodyLength == UnknownLength || Head.BodyLength > Short;
  return Egress.isEnabled() && Large && !isLocal(Exchange.Body);
}

Gate::Impl::RefusalTask
Gate::Impl::forwardShapedBody(ExchangePtr Exchange,
                              std::shared_ptr<UpstreamCall> Call,
                              ResponseHead Head, Execution &State) {
  ExchangeStream &Body = Exchange->Body;
  auto Ahead = std::make_shared<ReadAheadBuffer>();
  if (Head.BodyLength != UnknownLength)
    Ahead->Unread = static_cast<std::size_t>(Head.BodyLength);
  postAndRecord(Body, MessageType::ResponseHead, encode(Head));
  asio::co_spawn(
      Executor,
      [KeepAlive = shared_from_this(), Exchange,
       Ahead]() -> asio::awaitable<void> {
        co_await sendBuffered(Exchange, Ahead, KeepAlive->Egress,
                              KeepAlive->Time);
      },
      asio::detached);
  OngoingSend Counted(*this);
  AbortUnlessComplete Guarded(Ahead);
  base::Bytes Buffer(EgressShaper::PieceBytes);
  while (!Ahead->Complete) {
    while (Ahead->Buffered > MaxReadAheadBytes && !Body.ended())
      co_await Body.changed().wait();
    std::size_t Count = co_await Call->readBody(Buffer);
    if (Body.ended())
      throw ExchangeAborted(Body.endCause());
    if (Count != 0)
      Ahead->add(base::Bytes(
          Buffer.begin(), Buffer.begin() + static_cast<std::ptrdiff_t>(Count)));
    Ahead->Complete = Count == 0;
    Body.changed().notifyAll();
  }
  ResponseSizes.add(Exchange->Head.Route, Ahead->Total);
  // The upstream has completed the request, so its slot is released while the
  // link is still sending.
  Exchange->ResponseRead = Time.now();
  State.Slot.release();
  if (State.Tracked)
    State.Tracked.reset();
  while (!Ahead->AllSent && !Ahead->Abandoned && !Body.ended() &&
         Time.now() < Exchange->Deadline) {
    Ahead->Abandoned = isTooLate(*Exchange, *Ahead,
                                 Egress.expectedCompletion(Body), Time.now());
    if (!Ahead->Abandoned)
      co_await Time.waitFor(Body.changed(), Exchange->Deadline);
  }
  if (Body.ended() && !Ahead->AllSent)
    throw ExchangeAborted(Body.endCause());
  Ahead->Aborted = !Ahead->AllSent;
  if (Ahead->Abandoned)
    co_return makeRefusal(ExecutionOutcome::Unknown, RefusalReason::LinkBusy,
                          "the link cannot carry the response before a node "
                          "ends");
  if (!Ahead->AllSent)
    co_return makeRefusal(ExecutionOutcome::Unknown,
                          RefusalReason::DeadlineExceeded,
                          "the link did not carry the response in time");
  co_return std::nullopt;
}

Headers Gate::Impl::requestFields(const ServerExchange &Exchange) const {
  Headers Fields = Exchange.Head.Fields;
  eraseConnectionHeaders(Fields);
  UpstreamMetadata Terms;
  Terms.Attempt = Exchange.Head.CallerAttempt;
  Terms.Remaining = std::max(base::Millis(0), Exchange.Deadline - Time.now());
  Terms.Instance =
      LastAnnouncement ? LastAnnouncement->Instance : std::string();
  Terms.CallerService = Exchange.Head.CallerService.value();
  Terms.Customer = Exchange.Head.Customer.value();
  Terms.CustomersInForce = Exchange.Head.CustomersInForce;
  Dialect.setUpstreamFields(Fields, Terms);
  if (!findHeader(Fields, "Host"))
    Fields.emplace_back("Host", Exchange.Head.Service.value());
  return Fields;
}

asio::awaitable<void> Gate::Impl::replayStored(ExchangePtr Exchange,
                                               control::StoredResponse Stored) {
  ResponseHead Head;
  Head.Status = Stored.Status;
  Head.Fields = std::move(Stored.Headers);
  Head.BodyLength = static_cast<std::int64_t>(Stored.Body.size());
  Head.Load = loadFor(Exchange->Head);
  ExchangeStream &Body = Exchange->Body;
  postAndRecord(Body, MessageType::ResponseHead, encode(Head));
  base::ByteView Data = base::asBytes(Stored.Body);
  base::Bytes Copy(Data.begin(), Data.end());
  co_await Body.sendData(std::move(Copy), true);
}

} // namespace amaranth::dataplane
