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

/// Part of a response that is passed on at once. Most responses fit into it.
constexpr std::size_t ResponsePieceBytes = 16U << 10U;
/// Headers of the frame, of TCP and of IP around one message.
constexpr std::size_t MessageOverheadBytes = 64;
/// Bytes of a response that are read ahead of a narrow link. Larger responses
/// keep the upstream's slot until the rest fits.
constexpr std::size_t MaxReadAhead = 1U << 20U;

/// Sends the request body to the upstream while the response is read. Ends
/// with the exchange or the call.
asio::awaitable<void> pumpRequest(std::shared_ptr<ServerExchange> Exchange,
                                  std::shared_ptr<UpstreamCall> Call) {
  // An entry node sends no data messages for an empty body.
  std::int64_t Left = Exchange->Head.BodyLength;
  try {
    for (bool End = Left == 0; !End;) {
      BodyPiece Piece = co_await Exchange->Body.readData();
      End = Piece.End;
      // Bytes beyond the length would be taken for another request.
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
  } catch (const ExchangeEnded &) {
    // The upstream must not take the part that arrived for the whole request.
    Call->abort();
  } catch (const UpstreamError &) {
    // An early response may still be readable; reading it reports the
    // failure otherwise.
  }
}

/// Collects a response for a later replay, as long as it is small enough.
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
  /// Bytes of the fields and of the body so far.
  std::size_t Size = 0;
};

/// A response body between the upstream and a narrow link. The reader and the
/// sender wake each other through the exchange.
struct ReadAhead {
  std::deque<base::Bytes> Pieces;
  std::size_t Buffered = 0;
  /// Bytes of the whole body that were read.
  std::size_t Total = 0;
  /// Bytes that are still to be read, as far as the head announced them.
  std::size_t Unread = 0;
  bool Complete = false;
  /// The reader gave up; the rest is not sent.
  bool Broken = false;
  bool Sent = false;

  void add(base::Bytes Piece) {
    Buffered += Piece.size();
    Total += Piece.size();
    Unread -= std::min(Unread, Piece.size());
    Pieces.push_back(std::move(Piece));
  }
  base::Bytes take() {
    base::Bytes Piece = std::move(Pieces.front());
    Pieces.pop_front();
    Buffered -= Piece.size();
    return Piece;
  }
};

/// Sends what is read ahead as the link has room for it.
asio::awaitable<void> sendAhead(std::shared_ptr<ServerExchange> Exchange,
                                std::shared_ptr<ReadAhead> From,
                                EgressShaper &Egress) {
  ExchangeEnd &Body = Exchange->Body;
  std::shared_ptr<ExchangeEnd> Sender(Exchange, &Body);
  WaitingWork Work{Exchange->Head.Priority, Exchange->Objective,
                   Exchange->Deadline, base::Millis(0), 0};
  try {
    while (!From->Sent && !From->Broken && !Body.ended()) {
      if (From->Pieces.empty() && !From->Complete) {
        co_await Body.changed().wait();
        continue;
      }
      base::Bytes Piece;
      if (!From->Pieces.empty()) {
        std::size_t Left = From->Buffered + From->Unread;
        co_await Egress.acquire(Sender, Work, From->Pieces.front().size(),
                                Left);
        if (From->Broken || Body.ended())
          co_return;
        Piece = From->take();
        Exchange->BytesSent += Piece.size();
      }
      bool End = From->Complete && From->Pieces.empty();
      co_await Body.sendData(std::move(Piece), End);
      From->Sent = End;
      Body.changed().notifyAll();
    }
  } catch (const ExchangeEnded &) {
    // The reader sees the end of the exchange too.
  }
}

/// Tells the sender to stop unless the whole body was read.
class BrokenUnlessRead {
public:
  explicit BrokenUnlessRead(std::shared_ptr<ReadAhead> Buffer)
      : Buffer(std::move(Buffer)) {}
  ~BrokenUnlessRead() { Buffer->Broken = !Buffer->Complete; }
  BrokenUnlessRead(const BrokenUnlessRead &) = delete;
  BrokenUnlessRead &operator=(const BrokenUnlessRead &) = delete;

private:
  std::shared_ptr<ReadAhead> Buffer;
};

} // namespace

asio::awaitable<void> Gate::Impl::serve(Shared Exchange) {
  auto Keep = shared_from_this();
  std::optional<Refusal> Refused;
  try {
    Refused = co_await attempt(Exchange);
  } catch (const ExchangeEnded &) {
    // The entry node has gone or has cancelled; nobody waits for an answer.
  } catch (const std::exception &Failure) {
    base::logger("gate")->error("exchange failed id={} error=\"{}\"",
                                Exchange->Head.CallerAttempt, Failure.what());
    Refused = refusal(Outcome::Unknown, Reason::UpstreamBroken, "internal");
  }
  Counters.gateLoad(load());
  Exchange->OnEnd = nullptr;
  logEnd(*Exchange, Refused);
  if (!Refused || Exchange->Body.ended())
    co_return;
  Counters.refusal("gate", *Refused);
  postCounted(Exchange->Body, MessageType::Refusal, encode(*Refused));
}

void Gate::Impl::countSent(ExchangeEnd &Body, std::size_t Bytes) {
  if (!isOwn(Body))
    Egress.took(Bytes + MessageOverheadBytes);
}

void Gate::Impl::postCounted(ExchangeEnd &Body, MessageType Type,
                             base::Bytes Payload) {
  countSent(Body, Payload.size());
  Body.link().post(Type, Body.stream(), std::move(Payload));
}

void Gate::Impl::logEnd(const ServerExchange &Exchange,
                        const std::optional<Refusal> &Refused) const {
  base::TimePoint Now = Time.now();
  base::TimePoint Started = Exchange.Started.value_or(Now);
  std::string Outcome = "answered";
  if (Exchange.Body.ended())
    Outcome = "cancelled";
  if (Refused)
    Outcome = std::string(outcomeText(Refused->What)) + " " +
              reasonText(Refused->Why);
  Load Work = load();
  base::logger(base::RequestLog)
      ->info("exchange id={} route={} priority={} waited_ms={} ran_ms={} "
             "link_ms={} bytes={} link_backlog_ms={} left_ms={} in_flight={} "
             "queued={} slots={} service_ms={} "
             "instance={} outcome=\"{}\" detail=\"{}\"",
             Exchange.Head.CallerAttempt, Exchange.Head.Route.value(),
             Exchange.Head.Priority, (Started - Exchange.Arrived).count(),
             (Exchange.Read.value_or(Now) - Started).count(),
             (Now - Exchange.Read.value_or(Now)).count(), Exchange.BytesSent,
             Work.Link.count(), (Exchange.Deadline - Now).count(),
             Work.InFlight, Work.Queued, Slots.limit(),
             expectedService(Exchange.Head).count(),
             Last ? Last->Instance : std::string(), Outcome,
             Refused ? Refused->Text : std::string());
}

Gate::Impl::Answer Gate::Impl::attempt(Shared Exchange) {
  if (auto Refused = admission(*Exchange))
    co_return Refused;
  PendingResponse Response(*this, expectedLarge(*Exchange));
  bool Suspect = isSuspect(Exchange->Head);
  if (Suspect)
    if (auto Refused = co_await beginSuspect(Exchange))
      co_return Refused;
  // The exchange owns the object that the queue waits on.
  std::shared_ptr<ExchangeEnd> Waiting(Exchange, &Exchange->Body);
  auto Granted = co_await Slots.acquire(std::move(Waiting), workOf(*Exchange),
                                        latestStart(*Exchange), Suspect);
  if (Granted == SlotQueue::Result::Granted)
    co_return co_await runWithSlot(Exchange, Suspect, Response);
  if (Suspect)
    co_await endSuspect(Exchange, false);
  if (Granted == SlotQueue::Result::Ended)
    co_return std::nullopt;
  if (Granted == SlotQueue::Result::Expired)
    co_return refusal(Outcome::NotRun, Reason::DeadlineExceeded,
                      "no slot was free early enough for the deadline");
  auto Refused = stateRefusal();
  co_return Refused ? Refused
                    : refusal(Outcome::NotRun, Reason::Overloaded,
                              "upstream changed its state");
}

Gate::Impl::Answer Gate::Impl::runWithSlot(Shared Exchange, bool Suspect,
                                           PendingResponse &Response) {
  SlotHold Hold(Slots);
  Exchange->Started = Time.now();
  auto Refused = lastRefusal(*Exchange);
  if (!Refused)
    Refused = quarantineRefusal(Exchange->Head);
  // A request that became a suspect while it waited must run alone.
  if (!Refused && !Suspect && isSuspect(Exchange->Head))
    Refused = refusal(Outcome::NotRun, Reason::SuspectBusy,
                      "request is suspected of crashing upstreams");
  Run State{Hold, Response, Suspect || Exchange->Head.IdempotencyKey, Suspect};
  if (!Refused)
    Refused = co_await claimAndRun(Exchange, State);
  State.Tracked.reset();
  if (Suspect)
    co_await endSuspect(Exchange, State.Crashed);
  co_return Refused;
}

Gate::Impl::Answer Gate::Impl::claimAndRun(Shared Exchange, Run &State) {
  const RequestHead &Head = Exchange->Head;
  if (!Head.IdempotencyKey)
    co_return co_await execute(Exchange, State);
  base::Millis Limit =
      std::min(Options.ClaimTimeout, Exchange->Deadline - Time.now());
  auto Claimed = co_await Claims.claim(Head, Limit);
  if (Claimed.Refused) {
    Claimed.Refused->Work = load();
    co_return Claimed.Refused;
  }
  if (Claimed.Stored) {
    co_await replay(Exchange, std::move(*Claimed.Stored));
    co_return std::nullopt;
  }
  if (auto Refused = lastRefusal(*Exchange)) {
    Claims.release(Head);
    co_return Refused;
  }
  co_return co_await execute(Exchange, State);
}

asio::awaitable<std::shared_ptr<UpstreamCall>>
Gate::Impl::begin(Shared Exchange) {
  const RequestHead &Head = Exchange->Head;
  Headers Fields = requestFields(*Exchange);
  std::string Method = Head.Method;
  std::string Target = Head.Target;
  co_return co_await Client.begin(std::move(Method), std::move(Target),
                                  std::move(Fields), Head.BodyLength,
                                  Head.RunsOnce);
}

Gate::Impl::Answer Gate::Impl::execute(Shared Exchange, Run &State) {
  AMARANTH_INVARIANT(Lifecycle.state() == UpstreamState::Ready,
                     "work for an upstream that is not ready");
  std::optional<CrashGuard::Tracked> &Tracked = State.Tracked;
  Tracked.emplace(Crashes, Exchange->Head.Fingerprint);
  std::optional<UpstreamError> Failure;
  std::shared_ptr<UpstreamCall> Call;
  std::exception_ptr Ended;
  std::optional<Refusal> Refused;
  try {
    Call = co_await begin(Exchange);
    Call->setDeadline(Exchange->Deadline);
    if (!State.RunsToEnd)
      Exchange->OnEnd = [Call] { Call->abort(); };
    if (Exchange->Body.ended() && !State.RunsToEnd)
      Call->abort();
    asio::co_spawn(Executor, pumpRequest(Exchange, Call), asio::detached);
    Refused = co_await forward(Exchange, Call, State);
    Tracked.reset();
  } catch (const UpstreamError &Error) {
    Failure = Error;
  } catch (const ExchangeEnded &) {
    Ended = std::current_exception();
  }
  Exchange->OnEnd = nullptr;
  if (Call)
    Call->abort();
  // The upstream may go on with a request that was given up here. One whose
  // connection broke is examined at once instead.
  bool Cancelled = Exchange->Body.ended() && !State.RunsToEnd;
  bool Late = Failure && (Failure->why() == Reason::UpstreamSilent ||
                          Failure->why() == Reason::DeadlineExceeded);
  if (Tracked && Call && (Ended || Cancelled || Late))
    Tracked->abandon();
  if (Ended)
    std::rethrow_exception(Ended);
  if (!Failure)
    co_return Refused;
  if (!Failure->sent())
    Tracked.reset();
  co_return co_await failed(Exchange, *Failure, State);
}

Gate::Impl::Answer Gate::Impl::failed(Shared Exchange, UpstreamError Failure,
                                      Run &State) {
  const RequestHead &Head = Exchange->Head;
  if (Head.IdempotencyKey && !Failure.sent())
    Claims.release(Head);
  if (Head.IdempotencyKey && Failure.sent())
    Claims.finish(Head, std::nullopt);
  // A cancelled call ends its connection itself, which is no sign of a crash.
  bool Cancelled = Exchange->Body.ended() && !State.RunsToEnd;
  bool MayBeCrash = Failure.why() == Reason::UpstreamBroken ||
                    Failure.why() == Reason::UpstreamUnreachable;
  if (!Cancelled && MayBeCrash)
    State.Crashed = co_await Crashes.broken(
        Head.Service, Options.Endpoint, Head.Fingerprint, Options.CrashCommit);
  if (!Failure.sent()) {
    State.Crashed = false;
    co_return refusal(Outcome::NotRun, Reason::UpstreamUnreachable,
                      Failure.what());
  }
  co_return refusal(Outcome::Unknown,
                    State.Crashed ? Reason::UpstreamCrashed : Failure.why(),
                    Failure.what());
}

asio::awaitable<ResponseHead>
Gate::Impl::ownHead(Shared Exchange, std::shared_ptr<UpstreamCall> Call) {
  for (;;) {
    ResponseHead Answered = co_await Call->readHead();
    if (Dialect.verdict(Answered, Exchange->Head.CallerAttempt) !=
        UpstreamVerdict::Foreign)
      co_return Answered;
    base::logger("gate")->warn("response of another request skipped id={}",
                               Exchange->Head.CallerAttempt);
    co_await Call->skipResponse();
  }
}

asio::awaitable<void>
Gate::Impl::drainBody(std::shared_ptr<UpstreamCall> Call) {
  base::Bytes Buffer(MaxPieceBytes);
  while (co_await Call->readBody(Buffer) != 0)
    ;
}

Gate::Impl::Answer Gate::Impl::forward(Shared Exchange,
                                       std::shared_ptr<UpstreamCall> Call,
                                       Run &State) {
  base::TimePoint Started = Time.now();
  ResponseHead Head;
  std::exception_ptr Late;
  try {
    Head = co_await ownHead(Exchange, Call);
  } catch (const UpstreamError &) {
    Late = std::current_exception();
  }
  auto What = Late ? UpstreamVerdict::Ran
                   : Dialect.verdict(Head, Exchange->Head.CallerAttempt);
  // A request that ran into its deadline counts too, or else an upstream that
  // became slow would keep its good median. One that was not run says nothing.
  if (What == UpstreamVerdict::Ran)
    Times.add(Exchange->Head.Route, Time.now() - Started);
  if (Late)
    std::rethrow_exception(Late);
  if (What == UpstreamVerdict::Suspicious)
    throw UpstreamError(true, Reason::UpstreamBroken,
                        "response without a sign of this upstream");
  State.Answered = true;
  if (What == UpstreamVerdict::Ran) {
    auto Refused =
        co_await passBody(Exchange, std::move(Call), std::move(Head), State);
    co_return Refused;
  }
  if (Exchange->Head.IdempotencyKey)
    Claims.release(Exchange->Head);
  co_await drainBody(Call);
  if (What == UpstreamVerdict::NotRun)
    co_return refusal(Outcome::NotRun, Reason::UpstreamShed,
                      "upstream answered " + std::to_string(Head.Status) +
                          " without running the request");
  co_return refusal(Outcome::NotRun, Reason::UpstreamReplaced,
                    "another process has the upstream's address");
}

Gate::Impl::Answer Gate::Impl::passBody(Shared Exchange,
                                        std::shared_ptr<UpstreamCall> Call,
                                        ResponseHead Head, Run &State) {
  eraseConnectionHeaders(Head.Fields);
  Dialect.cleanResponse(Head.Fields);
  Head.Work = load();
  State.Response.arrived();
  if (isShaped(*Exchange, Head) && !State.RunsToEnd) {
    auto Refused = co_await passShaped(std::move(Exchange), std::move(Call),
                                       std::move(Head), State);
    co_return Refused;
  }
  bool Keyed = Exchange->Head.IdempotencyKey.has_value();
  ResponseRecorder Recorder(Head);
  ExchangeEnd &Body = Exchange->Body;
  bool Attached = !Body.ended();
  if (Attached)
    postCounted(Body, MessageType::ResponseHead, encode(Head));
  base::Bytes Buffer(ResponsePieceBytes);
  std::optional<ExchangeEnded> Gone;
  for (;;) {
    std::size_t Count = co_await Call->readBody(Buffer);
    base::ByteView Part(Buffer.data(), Count);
    if (Keyed)
      Recorder.add(Part);
    if (Count == 0 && Keyed)
      Claims.finish(Exchange->Head, Recorder.take());
    if (Attached) {
      base::Bytes Copy(Part.begin(), Part.end());
      countSent(Body, Count);
      Exchange->BytesSent += Count;
      try {
        co_await Body.sendData(std::move(Copy), Count == 0);
      } catch (const ExchangeEnded &Why) {
        Gone = Why;
      }
      Attached = !Gone;
    }
    if (Count == 0) {
      Sizes.add(Exchange->Head.Route, Exchange->BytesSent);
      co_return std::nullopt;
    }
    // A response that is too large to be stored is of no use to a resend.
    if (Attached || State.Suspect || (Keyed && Recorder.fits()))
      continue;
    if (Keyed)
      Claims.finish(Exchange->Head, std::nullopt);
    throw ExchangeEnded(Body.ending());
  }
}

bool Gate::Impl::isOwn(ExchangeEnd &Body) const {
  return Body.link().peer().Id == Options.Node.value();
}

bool Gate::Impl::isShaped(ServerExchange &Exchange,
                          const ResponseHead &Head) const {
  constexpr auto Short = static_cast<std::int64_t>(EgressShaper::PieceBytes);
  bool Large = Head.BodyLength == UnknownLength || Head.BodyLength > Short;
  return Egress.shapes() && Large && !isOwn(Exchange.Body);
}

Gate::Impl::Answer Gate::Impl::passShaped(Shared Exchange,
                                          std::shared_ptr<UpstreamCall> Call,
                                          ResponseHead Head, Run &State) {
  ExchangeEnd &Body = Exchange->Body;
  auto Ahead = std::make_shared<ReadAhead>();
  if (Head.BodyLength != UnknownLength)
    Ahead->Unread = static_cast<std::size_t>(Head.BodyLength);
  postCounted(Body, MessageType::ResponseHead, encode(Head));
  asio::co_spawn(
      Executor,
      [Keep = shared_from_this(), Exchange, Ahead]() -> asio::awaitable<void> {
        co_await sendAhead(Exchange, Ahead, Keep->Egress);
      },
      asio::detached);
  Sending Counted(*this);
  BrokenUnlessRead Guarded(Ahead);
  base::Bytes Buffer(EgressShaper::PieceBytes);
  while (!Ahead->Complete) {
    while (Ahead->Buffered > MaxReadAhead && !Body.ended())
      co_await Body.changed().wait();
    std::size_t Count = co_await Call->readBody(Buffer);
    if (Body.ended())
      throw ExchangeEnded(Body.ending());
    if (Count != 0)
      Ahead->add(base::Bytes(
          Buffer.begin(), Buffer.begin() + static_cast<std::ptrdiff_t>(Count)));
    Ahead->Complete = Count == 0;
    Body.changed().notifyAll();
  }
  Sizes.add(Exchange->Head.Route, Ahead->Total);
  // The upstream is done with the request while the link is not.
  Exchange->Read = Time.now();
  State.Slot.release();
  if (State.Tracked)
    State.Tracked.reset();
  while (!Ahead->Sent && !Body.ended() && Time.now() < Exchange->Deadline)
    co_await Time.waitFor(Body.changed(), Exchange->Deadline);
  if (Body.ended() && !Ahead->Sent)
    throw ExchangeEnded(Body.ending());
  Ahead->Broken = !Ahead->Sent;
  if (!Ahead->Sent)
    co_return refusal(Outcome::Unknown, Reason::DeadlineExceeded,
                      "the link did not carry the response in time");
  co_return std::nullopt;
}

Headers Gate::Impl::requestFields(const ServerExchange &Exchange) const {
  Headers Fields = Exchange.Head.Fields;
  eraseConnectionHeaders(Fields);
  UpstreamTerms Terms;
  Terms.Attempt = Exchange.Head.CallerAttempt;
  Terms.Remaining = std::max(base::Millis(0), Exchange.Deadline - Time.now());
  Terms.Instance = Last ? Last->Instance : std::string();
  Terms.CallerService = Exchange.Head.CallerService.value();
  Dialect.setUpstreamFields(Fields, Terms);
  if (!findHeader(Fields, "Host"))
    Fields.emplace_back("Host", Exchange.Head.Service.value());
  return Fields;
}

Gate::Impl::Answer Gate::Impl::beginSuspect(Shared Exchange) {
  const RequestHead &Head = Exchange->Head;
  control::Command Request =
      control::BeginSuspectRun{Head.Service, Head.Fingerprint, Head.Attempt};
  base::Millis Limit =
      std::min(Options.ClaimTimeout, Exchange->Deadline - Time.now());
  auto Result = co_await Claims.commit(Request, Limit);
  if (Result && Result->Code == control::ResultCode::Accepted)
    co_return std::nullopt;
  if (!Result)
    co_await endSuspect(Exchange, false);
  auto Refused = refusal(Outcome::NotRun, Reason::SuspectBusy,
                         Result ? "another suspect request is running"
                                : "no majority of the control processes");
  Refused->RetryAfter = base::Millis::seconds(1);
  co_return Refused;
}

asio::awaitable<void> Gate::Impl::endSuspect(Shared Exchange, bool Crashed) {
  const RequestHead &Head = Exchange->Head;
  control::Command Request = control::EndSuspectRun{
      Head.Service, Head.Fingerprint, Head.Attempt, Crashed};
  if (!Crashed) {
    Claims.commitInBackground(std::move(Request));
    co_return;
  }
  // The conviction must be committed before the caller can resend.
  auto Result = co_await Claims.commit(Request, Options.CrashCommit);
  if (!Result)
    Claims.commitInBackground(std::move(Request));
}

asio::awaitable<void> Gate::Impl::replay(Shared Exchange,
                                         control::StoredResponse Stored) {
  ResponseHead Head;
  Head.Status = Stored.Status;
  Head.Fields = std::move(Stored.Headers);
  Head.BodyLength = static_cast<std::int64_t>(Stored.Body.size());
  Head.Work = load();
  ExchangeEnd &Body = Exchange->Body;
  postCounted(Body, MessageType::ResponseHead, encode(Head));
  base::ByteView Data = base::asBytes(Stored.Body);
  base::Bytes Copy(Data.begin(), Data.end());
  co_await Body.sendData(std::move(Copy), true);
}

} // namespace amaranth::dataplane
