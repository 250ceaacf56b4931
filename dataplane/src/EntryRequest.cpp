#include "EntryRequest.h"

#include "EntryRefusal.h"
#include "amaranth/base/Digest.h"
#include "amaranth/base/Invariant.h"
#include "amaranth/base/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::dataplane {

namespace {

/// Body bytes kept for retries and for the fingerprint.
constexpr std::size_t PrefixBytes = 64U << 10U;
/// Longer keys are refused; control keeps a hash of the key only.
constexpr std::size_t MaxKeyBytes = 256;
/// Part of the time until the objective that a request may wait for an
/// upstream of its own zone before it is sent to another one. The response is
/// as good for the caller, and the bytes stay in the zone. A download, whose
/// bytes count most, leaves the zone only when it would be late there.
constexpr std::int64_t LocalWaitPercent = 15;
constexpr std::int64_t LocalWaitDownload = 100;
/// Without any limit of the route or the caller.
constexpr base::Millis DefaultTimeout = base::Millis::seconds(60);

std::string_view pathOf(const std::string &Target) {
  return std::string_view(Target).substr(0, Target.find_first_of("?#"));
}

/// Host names are compared without their port and in lower case.
std::string hostOf(const Headers &Fields) {
  const std::string *Value = findHeader(Fields, "Host");
  if (!Value)
    return {};
  std::string Host = Value->substr(0, Value->rfind(':'));
  std::ranges::transform(Host, Host.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Host;
}

std::uint64_t hashOf(std::initializer_list<std::string_view> Parts) {
  std::string Joined;
  for (std::string_view Part : Parts) {
    Joined.append(Part);
    Joined.push_back('\0');
  }
  return base::hash64(base::asBytes(Joined));
}

Refusal notRun(RefusalReason Why, std::string Text) {
  return Refusal{ExecutionOutcome::NotRun, Why, std::move(Text)};
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
  Deadline = Arrived;
  MaybeRefusal Refused = prepare();
  if (!Refused) {
    Shared->budget(Service).request(Arrived);
    Refused = co_await readPrefix();
  }
  if (!Refused) {
    if (PrefixComplete) {
      watchCaller();
      // A process that fell behind reads the request and its end together.
      CallerGone = Caller->closed();
    }
    do
      Refused = co_await attempt();
    while (Refused && tryAgain(*Refused));
  }
  Caller->stopWatchingForClose();
  if (!Refused)
    co_return;
  if (CallerGone) {
    finished("caller-gone", 0);
    Shared->Counters.countRequest(Service, "broken",
                                  Shared->Time.now() - Arrived);
    Caller->abort();
    co_return;
  }
  if (MayHaveRun)
    Refused->Outcome = ExecutionOutcome::Unknown;
  co_await refuse(std::move(*Refused));
}

EntryRequest::MaybeRefusal EntryRequest::prepare() {
  CallerMetadata Terms;
  try {
    Terms = Shared->Dialect.callerMetadata(Request.Fields);
  } catch (const HttpError &Fault) {
    return notRun(RefusalReason::Malformed, Fault.what());
  }
  Id = Terms.Attempt;
  // A refusal without a route also tells when to come back.
  Deadline = Arrived + Terms.Timeout.value_or(DefaultTimeout);
  if (auto Refused = findRoute())
    return Refused;
  if (auto Refused = checkLimits())
    return Refused;
  setTimes(Terms);
  if (Deadline <= Arrived)
    return notRun(RefusalReason::DeadlineExceeded, "the deadline has passed");
  chooseService();
  return std::nullopt;
}

EntryRequest::MaybeRefusal EntryRequest::findRoute() {
  Routes = Shared->routes();
  if (!Routes)
    return notRun(RefusalReason::NoConfiguration,
                  "this node has no configuration");
  const document::Route *Found =
      Routes->match(hostOf(Request.Fields), pathOf(Request.Target));
  if (!Found)
    return notRun(RefusalReason::NoRoute, "no route matches the host and path");
  Via = *Found;
  Service = Via.Service;
  return std::nullopt;
}

EntryRequest::MaybeRefusal EntryRequest::checkLimits() {
  if (const std::string *Value = findHeader(Request.Fields, "Idempotency-Key"))
    Key = *Value;
  if (Via.Kind != document::RequestKind::ByMethod)
    Key.reset();
  if (Key && (Key->empty() || Key->size() > MaxKeyBytes))
    return notRun(RefusalReason::Malformed, "malformed Idempotency-Key");
  if (!Key && Via.RequireIdempotencyKey && !isIdempotent(Request.Method))
    return notRun(RefusalReason::KeyRequired,
                  "this route needs an Idempotency-Key");
  auto Limit = static_cast<std::int64_t>(Routes->mesh().Limits.MaxBodyBytes);
  if (Limit == 0)
    Limit = Shared->Options.MaxBodyBytes;
  if (Request.BodyLength > Limit)
    return notRun(RefusalReason::TooLarge, "request body is too large");
  return std::nullopt;
}

void EntryRequest::setTimes(const CallerMetadata &Terms) {
  base::Millis Limit = DefaultTimeout;
  if (Via.Timeout > base::Millis(0))
    Limit = Via.Timeout;
  if (Terms.Timeout)
    Limit = std::min(Limit, *Terms.Timeout);
  Deadline = Arrived + Limit;
  Objective = Via.Objective > base::Millis(0)
                  ? std::min(Deadline, Arrived + Via.Objective)
                  : Deadline;
}

void EntryRequest::chooseService() {
  if (Via.Split.empty())
    return;
  std::uint64_t Sum = 0;
  for (const document::WeightedService &Part : Via.Split)
    Sum += Part.Weight;
  if (Sum == 0)
    return;
  std::uniform_int_distribution<std::uint64_t> Any(0, Sum - 1);
  std::uint64_t Draw = Any(Shared->Random);
  for (const document::WeightedService &Part : Via.Split) {
    if (Draw < Part.Weight) {
      Service = Part.Service;
      return;
    }
    Draw -= Part.Weight;
  }
}

asio::awaitable<EntryRequest::MaybeRefusal> EntryRequest::readPrefix() {
  base::Bytes Buffer(Request.BodyLength == 0 ? 0 : PrefixBytes);
  std::size_t Filled = 0;
  std::string Malformed;
  try {
    while (!Caller->bodyComplete() && Filled < Buffer.size()) {
      std::span<std::uint8_t> Rest(Buffer.data() + Filled,
                                   Buffer.size() - Filled);
      std::size_t Count = co_await Caller->readBody(Rest);
      if (Count == 0)
        break;
      Filled += Count;
    }
  } catch (const HttpError &Fault) {
    Malformed = Fault.what();
  }
  if (!Malformed.empty()) {
    Caller->closeAfterResponse();
    co_return notRun(RefusalReason::Malformed, std::move(Malformed));
  }
  PrefixComplete = Caller->bodyComplete();
  Buffer.resize(Filled);
  Prefix = std::move(Buffer);
  RequestHash = hashOf({Request.Method, Request.Target});
  Fingerprint = hashOf(
      {Service.value(), Request.Method, Request.Target, base::asText(Prefix)});
  co_return std::nullopt;
}

const document::Endpoint *
EntryRequest::choose(const document::MeshSnapshot &Current) {
  auto Entry = Current.Services.find(Service);
  if (Entry == Current.Services.end())
    return nullptr;
  std::set<base::VersionName> Empty;
  Balancer::Demand Needed{localWait(), isLarge()};
  // A version without a usable endpoint is left out and the choice repeated.
  while (const document::VersionShare *Version = chooseVersion(
             Entry->second, Shared->Guard, Empty, Shared->Random)) {
    if (const auto *Found = Shared->Endpoints.choose(
            Current, Service, Version->Version, Plan.avoided(), Needed))
      return Found;
    Empty.insert(Version->Version);
  }
  return nullptr;
}

asio::awaitable<EntryRequest::MaybeRefusal> EntryRequest::attempt() {
  // A retry uses the newest configuration.
  Mesh Current = Shared->Snapshots.current();
  const document::Endpoint *Found = choose(*Current);
  if (!Found && Plan.exhausted())
    Found = choose(*Current);
  if (!Found)
    co_return notRun(RefusalReason::NoEndpoint, "no endpoint takes requests");
  document::Endpoint Target = *Found;
  Plan.begin(Target.Id);
  Counted = false;
  InFlight Placed(Shared->Endpoints, Target.Id);
  base::TimePoint Started = Shared->Time.now();
  Trail += fmt::format("{}{}@{}", Trail.empty() ? "" : ",",
                       Target.Version.value(), Target.Id.value());
  MaybeRefusal Refused = co_await exchange(Current, Target);
  if (Refused) {
    Trail += fmt::format(":{}:{}ms", reasonText(Refused->Reason),
                         (Shared->Time.now() - Started).count());
    learn(*Current, Target, *Refused, Started);
    Refused->Endpoint = Target.Id;
  }
  co_return Refused;
}

base::Millis EntryRequest::localWait() const {
  base::TimePoint Now = Shared->Time.now();
  // Every upstream would answer a download late. Another zone gains nothing.
  if (!Plan.patient() && isLarge())
    return std::max(base::Millis(0), Deadline - Now);
  if (!Plan.patient() || Objective >= Deadline)
    return base::Millis(0);
  base::Millis Left = Objective - Now;
  return std::max(base::Millis(0), Left) *
         (isLarge() ? LocalWaitDownload : LocalWaitPercent) / 100;
}

RequestHead EntryRequest::headFor(const document::Endpoint &Target) const {
  RequestHead Head;
  Head.Service = Service;
  Head.Version = Target.Version;
  Head.Method = Request.Method;
  Head.Target = Request.Target;
  Head.Fields = Request.Fields;
  eraseConnectionHeaders(Head.Fields);
  // Only a claim needs an id of its own for each attempt.
  Head.Attempt = Key ? base::randomHexId() : Id;
  Head.IdempotencyKey = Key;
  Head.RequestHash = RequestHash;
  Head.Fingerprint = Fingerprint;
  Head.BodyLength = Request.BodyLength;
  Head.CallerService = Shared->Options.CallerService;
  Head.Route = Via.Name;
  Head.CallerAttempt = Id;
  Head.Objective = Objective - Shared->Time.now();
  Head.Priority = Via.Priority;
  Head.AtMostOnce = !repeatable();
  if (Plan.patient() && Objective < Deadline) {
    base::Millis Service = Shared->Endpoints.expectedService(Target.Id);
    base::Millis Patience = Objective - Shared->Time.now() - Service;
    if (Target.Zone == Shared->Options.Balance.Zone)
      Patience = std::min(Patience, localWait());
    Head.MaxQueueWait = std::max(base::Millis(0), Patience);
  }
  return Head;
}

asio::awaitable<EntryRequest::MaybeRefusal>
EntryRequest::exchange(Mesh InForce, document::Endpoint Target) {
  base::TimePoint Started = Shared->Time.now();
  MaybeRefusal Refused;
  try {
    co_await Shared->Peers.reach(Target.NodeAddress);
    // A dial takes its time, and nobody may want the response any more.
    if (CallerGone)
      co_return notRun(RefusalReason::Cancelled, "caller went away");
    RequestHead Outgoing = headFor(Target);
    Exchange Running = co_await Shared->Peers.open(
        Target.NodeAddress, std::move(Outgoing), Deadline);
    CancelOnExit Guarded(Running);
    Current = Running;
    if (CallerGone)
      Running->cancel("caller went away");
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
      co_return Refusal{ExecutionOutcome::Unknown,
                        RefusalReason::DeadlineExceeded,
                        "no response before the deadline"};
    }
    bool Error = Head->Status >= 500;
    Shared->Endpoints.reported(Target.Id, Head->Load);
    countEvidence(*InForce, Target, Error, Started);
    Counted = true;
    if (Error)
      Shared->Endpoints.failed(*InForce, Target.Id, false);
    else
      Shared->Endpoints.succeeded(Target.Id);
    Refused = co_await forward(Running, std::move(*Head));
  } catch (const ExchangeAborted &Failure) {
    Refused = Failure.refusal();
  }
  co_return Refused;
}

asio::awaitable<EntryRequest::MaybeRefusal>
EntryRequest::forward(Exchange Running, ResponseHead Head) {
  if (retryStatus(Head.Status)) {
    Running->cancel("retried");
    co_return Refusal{ExecutionOutcome::Unknown, RefusalReason::UpstreamBroken,
                      "upstream answered " + std::to_string(Head.Status)};
  }
  eraseConnectionHeaders(Head.Fields);
  Shared->Dialect.removeInternalFields(Head.Fields);
  unsigned Status = Head.Status;
  // A response that breaks off while it is held may be retried; the exception
  // says so to the caller of this function.
  base::Bytes Held;
  bool End = false;
  while (!End && Held.size() <= Shared->Options.HoldBytes) {
    BodyPiece Piece = co_await Running->Body.readData();
    End = Piece.End;
    Held.insert(Held.end(), Piece.Data.begin(), Piece.Data.end());
  }
  bool Whole = End;
  if (End && Request.Method != "HEAD") {
    // Ends the pump of a request body that the upstream did not want.
    Running->Body.end(
        {ExecutionOutcome::Unknown, RefusalReason::Cancelled, "finished"});
    Caller->stopWatchingForClose();
    co_await Caller->respond(Status, std::move(Head.Fields),
                             std::string(base::asText(Held)));
  } else if (End) {
    Caller->stopWatchingForClose();
    co_await Caller->writeHead(Status, std::move(Head.Fields), Head.BodyLength);
    co_await Caller->writeEnd();
  } else {
    Whole = co_await stream(Running, std::move(Head), std::move(Held));
  }
  base::Millis Took = Shared->Time.now() - Arrived;
  std::string Class =
      Whole ? std::to_string(Status / 100) + "xx" : std::string("broken");
  Shared->Counters.countRequest(Service, Class, Took);
  finished(Whole ? "answered" : "broken", Status);
  co_return std::nullopt;
}

asio::awaitable<bool> EntryRequest::stream(Exchange Running, ResponseHead Head,
                                           base::Bytes First) {
  co_await Caller->writeHead(Head.Status, std::move(Head.Fields),
                             Head.BodyLength);
  bool Broken = false;
  try {
    co_await Caller->writeBody(First);
    for (bool End = false; !End;) {
      BodyPiece Piece = co_await Running->Body.readData();
      End = Piece.End;
      co_await Caller->writeBody(Piece.Data);
    }
  } catch (const ExchangeAborted &) {
    Broken = true;
  }
  if (Broken) {
    // The caller sees a reset and cannot take the part for the whole.
    Caller->abort();
    co_return false;
  }
  AMARANTH_INVARIANT(Running->Body.bodyComplete(),
                     "incomplete response passed as complete");
  Running->Body.end(
      {ExecutionOutcome::Unknown, RefusalReason::Cancelled, "finished"});
  co_await Caller->writeEnd();
  co_return true;
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
      watchCaller();
  } catch (const ExchangeAborted &) {
    // The task that waits for the response reports it.
  } catch (const std::exception &Failure) {
    Failed = Failure.what();
  }
  if (Failed.empty())
    co_return;
  CallerGone = true;
  To->cancel(Failed);
}

void EntryRequest::watchCaller() {
  Caller->watchForClose([Keep = weak_from_this()] {
    auto Self = Keep.lock();
    if (!Self)
      return;
    Self->CallerGone = true;
    if (auto Running = Self->Current.lock())
      Running->cancel("caller went away");
  });
}

bool EntryRequest::repeatable() const {
  switch (Via.Kind) {
  case document::RequestKind::Idempotent:
  case document::RequestKind::Download:
    return true;
  case document::RequestKind::NonIdempotent:
    return false;
  case document::RequestKind::ByMethod:
    break;
  }
  // Control grants a key to one attempt only, so a keyed request may be sent
  // again without running twice.
  return Key.has_value() || isIdempotent(Request.Method);
}

unsigned EntryRequest::maxAttempts() const {
  return Via.MaxAttempts != 0 ? Via.MaxAttempts : Shared->Options.MaxAttempts;
}

bool EntryRequest::retryStatus(unsigned Status) {
  bool Temporary =
      Status == 500 || Status == 502 || Status == 503 || Status == 504;
  // An upstream of a route that is decided by the method may answer 500 to
  // what it will never serve.
  if (Status == 500 && Via.Kind == document::RequestKind::ByMethod)
    return false;
  // A keyed request that got a response keeps it: the response is stored.
  if (!Temporary || Key || !repeatable() || !replayable() ||
      Plan.sends() + 1 >= maxAttempts() || Shared->Time.now() >= Deadline ||
      !Shared->budget(Service).available(Shared->Time.now()))
    return false;
  auto Current = Shared->Snapshots.current();
  return choose(*Current) != nullptr;
}

bool EntryRequest::tryAgain(const Refusal &Why) {
  // A missing endpoint is no attempt, hence leaves what is known unchanged.
  if (Why.Outcome == ExecutionOutcome::Unknown)
    MayHaveRun = true;
  if (CallerGone || Plan.tries() == 0 || !replayable() ||
      Shared->Time.now() >= Deadline)
    return false;
  auto Next = Plan.refused(Why.Endpoint, Why, repeatable(), maxAttempts());
  if (Next == AttemptPlan::Step::Stop)
    return false;
  auto Current = Shared->Snapshots.current();
  if (!choose(*Current) && (!Plan.exhausted() || !choose(*Current)))
    return false;
  // What reached an upstream once counts as a retry at the second one.
  bool Repeats = Next == AttemptPlan::Step::Retry || Plan.sends() > 0;
  if (Repeats && !Shared->budget(Service).take(Shared->Time.now()))
    return false;
  if (Repeats)
    Shared->Counters.countRetry(Service);
  return true;
}

void EntryRequest::learn(const document::MeshSnapshot &Current,
                         const document::Endpoint &Target, const Refusal &Why,
                         base::TimePoint Started) {
  if (Why.Load.Slots != 0)
    Shared->Endpoints.reported(Target.Id, Why.Load);
  if (CallerGone)
    return;
  if (isEndpointFault(Why.Reason))
    Shared->Endpoints.failed(Current, Target.Id, isCertainFault(Why.Reason));
  if (reachedUpstream(Why) && !Counted && isVersionFault(Why.Reason))
    countEvidence(Current, Target, true, Started);
}

void EntryRequest::countEvidence(const document::MeshSnapshot &Current,
                                 const document::Endpoint &Target, bool Error,
                                 base::TimePoint Started) {
  auto Entry = Current.Services.find(Service);
  if (Entry == Current.Services.end() || !Entry->second.HasRollout)
    return;
  base::Millis Took = Shared->Time.now() - Started;
  rollout::EvidenceKey Place{Service, Target.Version, Via.Name};
  Shared->Evidence.Counts[Place].add(Error, Took);
  Shared->Guard.observe(Entry->second, Target.Version, Error);
}

asio::awaitable<void> EntryRequest::refuse(Refusal Why) {
  if (Why.Outcome == ExecutionOutcome::NotRun &&
      Why.Reason != RefusalReason::NoRoute) {
    std::uniform_real_distribution<double> Jitter(-1, 1);
    Why.RetryAfter =
        retryAfter(roomAfter(Why.Reason, Plan.room()),
                   Deadline - Shared->Time.now(), Jitter(Shared->Random));
  }
  unsigned Status = Shared->Dialect.statusOf(Why);
  Shared->Counters.countRefusal("entry", Why);
  Shared->Counters.countRequest(Service, "refused",
                                Shared->Time.now() - Arrived);
  finished(fmt::format("{} {} \"{}\"", outcomeText(Why.Outcome),
                       reasonText(Why.Reason), Why.Text),
           Status);
  if (!Caller->bodyComplete())
    Caller->closeAfterResponse();
  std::string Body = reasonText(Why.Reason) + ": " + Why.Text + "\n";
  Headers Fields = Shared->Dialect.refusalFields(Why, Id);
  co_await Caller->respond(Status, std::move(Fields), std::move(Body));
}

void EntryRequest::finished(const std::string &Outcome, unsigned Status) {
  auto Log = base::logger(base::RequestLog);
  const document::MeshSnapshot *Mesh = Routes ? &Routes->mesh() : nullptr;
  Log->info("request id={} from={} route={} service={} method={} document={} "
            "state={} "
            "attempts={} trail={} took_ms={} left_ms={} status={} outcome={}",
            Id, Caller->peer().address().to_string(), Via.Name.value(),
            Service.value(), Request.Method, Mesh ? Mesh->Document.value() : 0,
            Mesh ? Mesh->State.value() : 0, Plan.tries(), Trail,
            (Shared->Time.now() - Arrived).count(),
            (Deadline - Shared->Time.now()).count(), Status, Outcome);
}

} // namespace amaranth::dataplane
