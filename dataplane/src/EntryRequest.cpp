#include "EntryRequest.h"

#include "EntryRefusal.h"
#include "amaranth/base/Digest.h"
#include "amaranth/base/Invariant.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <charconv>

namespace asio = boost::asio;

namespace amaranth::dataplane {

namespace {

/// Body bytes kept for retries and for the fingerprint.
constexpr std::size_t PrefixBytes = 64U << 10U;
/// Longer keys are refused; control keeps a hash of the key only.
constexpr std::size_t MaxKeyBytes = 256;

std::string pathOf(const std::string &Target) {
  return Target.substr(0, Target.find_first_of("?#"));
}

std::uint64_t hashOf(std::initializer_list<std::string_view> Parts) {
  std::string Joined;
  for (std::string_view Part : Parts) {
    Joined.append(Part);
    Joined.push_back('\0');
  }
  return base::hash64(base::asBytes(Joined));
}

Refusal notRun(Reason Why, std::string Text) {
  return Refusal{Outcome::NotRun, Why, std::move(Text)};
}

/// Ends an exchange that its attempt leaves early, and thereby the task that
/// sends the request body.
class CancelOnExit {
public:
  explicit CancelOnExit(std::shared_ptr<ClientExchange> Running)
      : Running(std::move(Running)) {}
  ~CancelOnExit() { Running->cancel("attempt ended"); }
  CancelOnExit(const CancelOnExit &) = delete;
  CancelOnExit &operator=(const CancelOnExit &) = delete;

private:
  std::shared_ptr<ClientExchange> Running;
};

/// Counts one attempt as in flight at its endpoint.
class InFlight {
public:
  InFlight(Balancer &Owner, base::EndpointId Id)
      : Owner(Owner), Id(std::move(Id)) {
    this->Owner.started(this->Id);
  }
  ~InFlight() { Owner.finished(Id); }
  InFlight(const InFlight &) = delete;
  InFlight &operator=(const InFlight &) = delete;

private:
  Balancer &Owner;
  base::EndpointId Id;
};

} // namespace

asio::awaitable<void> EntryRequest::run() {
  Arrived = Shared->Time.now();
  MaybeRefusal Refused = prepare();
  if (!Refused) {
    Shared->budget(Via.Service).request(Arrived);
    co_await readPrefix();
    do
      Refused = co_await attempt();
    while (Refused && retryAllowed(*Refused));
  }
  Caller->stopWatch();
  if (!Refused)
    co_return;
  if (CallerGone) {
    Shared->Counters.request(Via.Service, "broken",
                             Shared->Time.now() - Arrived);
    Caller->abort();
    co_return;
  }
  if (MayHaveRun)
    Refused->What = Outcome::Unknown;
  co_await refuse(std::move(*Refused));
}

EntryRequest::MaybeRefusal EntryRequest::prepare() {
  auto Current = Shared->Snapshots.current();
  if (!Current)
    return notRun(Reason::NoConfiguration, "this node has no configuration");
  const document::Route *Found = Current->match(pathOf(Request.Target));
  if (!Found)
    return notRun(Reason::NoRoute, "no route matches the path");
  Via = *Found;
  if (const std::string *Value = findHeader(Request.Fields, "Idempotency-Key"))
    Key = *Value;
  if (Key && (Key->empty() || Key->size() > MaxKeyBytes))
    return notRun(Reason::Malformed, "malformed Idempotency-Key");
  if (!Key && Via.RequireIdempotencyKey && !isIdempotent(Request.Method))
    return notRun(Reason::KeyRequired, "this route needs an Idempotency-Key");
  if (Request.BodyLength > Shared->Options.MaxBodyBytes)
    return notRun(Reason::TooLarge, "request body is too large");
  return readDeadline();
}

EntryRequest::MaybeRefusal EntryRequest::readDeadline() {
  base::Millis Limit = Via.Timeout;
  if (const std::string *Value =
          findHeader(Request.Fields, "X-Request-Deadline-Ms")) {
    std::int64_t Asked = 0;
    auto [Rest, Fault] =
        std::from_chars(Value->data(), Value->data() + Value->size(), Asked);
    if (Fault != std::errc() || Rest != Value->data() + Value->size())
      return notRun(Reason::Malformed, "malformed X-Request-Deadline-Ms");
    Limit = std::min(Limit, base::Millis(Asked));
  }
  Deadline = Arrived + Limit;
  if (Limit <= base::Millis(0))
    return notRun(Reason::DeadlineExceeded, "the deadline has passed");
  return std::nullopt;
}

asio::awaitable<void> EntryRequest::readPrefix() {
  base::Bytes Buffer(Request.BodyLength == 0 ? 0 : PrefixBytes);
  std::size_t Filled = 0;
  while (!Caller->bodyComplete() && Filled < Buffer.size()) {
    std::span<std::uint8_t> Rest(Buffer.data() + Filled,
                                 Buffer.size() - Filled);
    std::size_t Count = co_await Caller->readBody(Rest);
    if (Count == 0)
      break;
    Filled += Count;
  }
  PrefixComplete = Caller->bodyComplete();
  Buffer.resize(Filled);
  Prefix = std::move(Buffer);
  RequestHash = hashOf({Request.Method, Request.Target});
  Fingerprint = hashOf({Via.Service.value(), Request.Method, Request.Target,
                        base::asText(Prefix)});
}

const document::Endpoint *
EntryRequest::choose(const document::MeshSnapshot &Current) {
  auto Entry = Current.Services.find(Via.Service);
  if (Entry == Current.Services.end())
    return nullptr;
  std::set<base::VersionName> Empty;
  // A version without a usable endpoint is left out and the choice repeated.
  while (const document::VersionShare *Version = chooseVersion(
             Entry->second, Shared->Guard, Empty, Shared->Random)) {
    if (const auto *Found = Shared->Endpoints.choose(Current, Via.Service,
                                                     Version->Version, Avoid))
      return Found;
    Empty.insert(Version->Version);
  }
  return nullptr;
}

asio::awaitable<EntryRequest::MaybeRefusal> EntryRequest::attempt() {
  // A retry uses the newest configuration.
  Mesh Current = Shared->Snapshots.current();
  const document::Endpoint *Found = choose(*Current);
  if (!Found)
    co_return notRun(Reason::NoEndpoint, "no endpoint takes requests");
  ++Attempts;
  document::Endpoint Target = *Found;
  Avoid.insert(Target.Id);
  Counted = false;
  InFlight Placed(Shared->Endpoints, Target.Id);
  base::TimePoint Started = Shared->Time.now();
  MaybeRefusal Refused = co_await exchange(Current, Target);
  if (Refused)
    learn(*Current, Target, *Refused, Started);
  co_return Refused;
}

RequestHead EntryRequest::headFor(const document::Endpoint &Target) const {
  RequestHead Head;
  Head.Service = Via.Service;
  Head.Version = Target.Version;
  Head.Method = Request.Method;
  Head.Target = Request.Target;
  Head.Fields = Request.Fields;
  eraseConnectionHeaders(Head.Fields);
  Head.Attempt = base::randomHexId();
  Head.IdempotencyKey = Key;
  Head.RequestHash = RequestHash;
  Head.Fingerprint = Fingerprint;
  Head.BodyLength = Request.BodyLength;
  return Head;
}

asio::awaitable<EntryRequest::MaybeRefusal>
EntryRequest::exchange(Mesh Current, document::Endpoint Target) {
  base::TimePoint Started = Shared->Time.now();
  RequestHead Outgoing = headFor(Target);
  MaybeRefusal Refused;
  try {
    Exchange Running = co_await Shared->Peers.open(
        Target.NodeAddress, std::move(Outgoing), Deadline);
    CancelOnExit Guarded(Running);
    if (PrefixComplete)
      watchCaller(Running);
    if (Request.BodyLength != 0)
      asio::co_spawn(
          Shared->Executor,
          [Keep = shared_from_this(), Running]() -> asio::awaitable<void> {
            co_await Keep->pump(Running);
          },
          asio::detached);
    auto Head = co_await Running->readHead(Deadline);
    if (!Head) {
      Running->cancel("deadline");
      co_return Refusal{Outcome::Unknown, Reason::DeadlineExceeded,
                        "no response before the deadline"};
    }
    bool Error = Head->Status >= 500;
    Shared->Endpoints.reported(Target.Id, Head->Work);
    countEvidence(*Current, Target, Error, Started);
    Counted = true;
    if (Error)
      Shared->Endpoints.failed(*Current, Target.Id, false);
    else
      Shared->Endpoints.succeeded(Target.Id);
    Refused = co_await forward(Running, std::move(*Head));
  } catch (const ExchangeEnded &Failure) {
    Refused = Failure.refusal();
  }
  Caller->stopWatch();
  co_return Refused;
}

asio::awaitable<EntryRequest::MaybeRefusal>
EntryRequest::forward(Exchange Running, ResponseHead Head) {
  if (retryStatus(Head.Status)) {
    Running->cancel("retried");
    co_return Refusal{Outcome::Unknown, Reason::UpstreamBroken,
                      "upstream answered " + std::to_string(Head.Status)};
  }
  eraseConnectionHeaders(Head.Fields);
  std::string Class = std::to_string(Head.Status / 100) + "xx";
  co_await Caller->writeHead(Head.Status, std::move(Head.Fields),
                             Head.BodyLength);
  std::optional<ExchangeEnded> Broken;
  try {
    for (bool End = false; !End;) {
      BodyPiece Piece = co_await Running->Body.readData();
      End = Piece.End;
      co_await Caller->writeBody(Piece.Data);
    }
  } catch (const ExchangeEnded &Failure) {
    Broken = Failure;
  }
  base::Millis Took = Shared->Time.now() - Arrived;
  if (Broken) {
    // The caller sees a reset and cannot take the part for the whole.
    Shared->Counters.request(Via.Service, "broken", Took);
    Caller->abort();
    co_return std::nullopt;
  }
  AMARANTH_INVARIANT(Running->Body.bodyComplete(),
                     "incomplete response passed as complete");
  // Ends the pump of a request body that the upstream did not want.
  Running->Body.end({Outcome::Unknown, Reason::Cancelled, "finished"});
  co_await Caller->writeEnd();
  Shared->Counters.request(Via.Service, Class, Took);
  co_return std::nullopt;
}

asio::awaitable<void> EntryRequest::pump(Exchange To) {
  std::string Failed;
  try {
    bool End = PrefixComplete;
    base::Bytes First = Prefix;
    co_await To->Body.sendData(std::move(First), End);
    base::Bytes Buffer(End ? 0 : MaxPieceBytes);
    while (!End) {
      ReadBeyondPrefix = true;
      std::size_t Count = co_await Caller->readBody(Buffer);
      End = Count == 0;
      auto Last = Buffer.begin() + static_cast<std::ptrdiff_t>(Count);
      base::Bytes Piece(Buffer.begin(), Last);
      co_await To->Body.sendData(std::move(Piece), End);
    }
    if (!PrefixComplete && !To->Body.ended())
      watchCaller(To);
  } catch (const ExchangeEnded &) {
    // The task that waits for the response reports it.
  } catch (const std::exception &Failure) {
    Failed = Failure.what();
  }
  if (Failed.empty())
    co_return;
  CallerGone = true;
  To->cancel(Failed);
}

void EntryRequest::watchCaller(const Exchange &Running) {
  std::weak_ptr<ClientExchange> Weak = Running;
  Caller->watch([Weak, Keep = weak_from_this()] {
    if (auto Self = Keep.lock())
      Self->CallerGone = true;
    if (auto Exchange = Weak.lock())
      Exchange->cancel("caller went away");
  });
}

bool EntryRequest::repeatable() const {
  // Control grants a key to one attempt only, so a keyed request may be sent
  // again without running twice.
  return Key.has_value() || isIdempotent(Request.Method);
}

bool EntryRequest::retryStatus(unsigned Status) {
  bool Temporary = Status == 502 || Status == 503 || Status == 504;
  // A keyed request that got a response keeps it: the response is stored.
  if (!Temporary || Key || !isIdempotent(Request.Method) || !replayable() ||
      Attempts >= Shared->Options.MaxAttempts ||
      Shared->Time.now() >= Deadline ||
      !Shared->budget(Via.Service).available(Shared->Time.now()))
    return false;
  auto Current = Shared->Snapshots.current();
  return choose(*Current) != nullptr;
}

bool EntryRequest::retryAllowed(const Refusal &Why) {
  // A missing endpoint is no attempt, hence leaves what is known unchanged.
  if (Why.What == Outcome::Unknown)
    MayHaveRun = true;
  if (CallerGone || Attempts == 0 || Attempts >= Shared->Options.MaxAttempts ||
      !replayable() || Shared->Time.now() >= Deadline || isFinal(Why))
    return false;
  if (Why.What == Outcome::Unknown && !repeatable())
    return false;
  auto Current = Shared->Snapshots.current();
  if (!choose(*Current) ||
      !Shared->budget(Via.Service).take(Shared->Time.now()))
    return false;
  Shared->Counters.retry(Via.Service);
  return true;
}

void EntryRequest::learn(const document::MeshSnapshot &Current,
                         const document::Endpoint &Target, const Refusal &Why,
                         base::TimePoint Started) {
  if (Why.Work.Slots != 0)
    Shared->Endpoints.reported(Target.Id, Why.Work);
  if (CallerGone)
    return;
  if (isEndpointFault(Why.Why))
    Shared->Endpoints.failed(Current, Target.Id, isCertainFault(Why.Why));
  if (Why.What == Outcome::Unknown && !Counted && isVersionFault(Why.Why))
    countEvidence(Current, Target, true, Started);
}

void EntryRequest::countEvidence(const document::MeshSnapshot &Current,
                                 const document::Endpoint &Target, bool Error,
                                 base::TimePoint Started) {
  auto Entry = Current.Services.find(Via.Service);
  if (Entry == Current.Services.end() || !Entry->second.HasRollout)
    return;
  base::Millis Took = Shared->Time.now() - Started;
  rollout::EvidenceKey Place{Via.Service, Target.Version, Via.Name};
  Shared->Evidence.Counts[Place].add(Error, Took);
  Shared->Guard.observe(Entry->second, Target.Version, Error);
}

asio::awaitable<void> EntryRequest::refuse(Refusal Why) {
  Shared->Counters.refusal("entry", Why);
  Shared->Counters.request(Via.Service, "refused",
                           Shared->Time.now() - Arrived);
  if (!Caller->bodyComplete())
    Caller->closeAfterResponse();
  std::string Body = reasonText(Why.Why) + ": " + Why.Text + "\n";
  Headers Fields = refusalFields(Why);
  co_await Caller->respond(statusOf(Why), std::move(Fields), std::move(Body));
}

} // namespace amaranth::dataplane
