#include "EntryRequest.h"

#include "EntryRefusal.h"
#include "amaranth/base/Digest.h"
#include "amaranth/base/Invariant.h"
#include "amaranth/base/Log.h"
#include "amaranth/dataplane/ApiKey.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::dataplane {

namespace {

constexpr std::size_t MaxPrefixBytes = 64U << 10U;
/// Longer keys are refused. Control stores only a hash of the key.
constexpr std::size_t MaxKeyBytes = 256;
/// Percentage of the time until the objective that a request may wait for an
/// upstream of the local zone before it goes to another zone. A response within
/// the objective is as good for the caller, and the traffic stays in the zone.
/// Downloads, which cause most of the traffic, leave the zone only when they
/// would miss their objective there.
constexpr std::int64_t LocalWaitPercent = 15;
constexpr std::int64_t DownloadLocalWaitPercent = 100;
/// Responses up to this size are buffered completely while the node shuts down.
constexpr std::size_t MaxShutdownBufferBytes = 1U << 20U;
/// Longest wait for a decision about a customer's limit. A limiter asks at most
/// two other nodes, each for about 50 ms; a late process may take longer.
constexpr base::Millis MaxQuotaWait = base::Millis(500);
/// Applies when neither the route nor the caller sets a limit.
constexpr base::Millis DefaultTimeout = base::Millis::seconds(60);

std::string_view pathOf(const std::string &Target) {
  return std::string_view(Target).substr(0, Target.find_first_of("?#"));
}

/// The host name without port.
std::string hostOf(const Headers &Fields) {
  const std::string *Value = findHeader(Fields, "Host");
  if (!Value)
    return {};
  return Value->substr(0, Value->rfind(':'));
}

std::uint64_t hashOf(std::initializer_list<std::string_view> Parts) {
  std::string Joined;
  for (std::string_view Part : Parts) {
    Joined.append(Part);
    Joined.push_back('\0');
  }
  return base::hash64(base::asBytes(Joined));
}

Refusal notRun(RefusalReason Code, std::string Text) {
  return Refusal{ExecutionOutcome::NotRun, Code, std::move(Text)};
}

/// Cancels the exchange when its attempt returns early, which also ends the
/// task that sends the request body.
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

/// Counts the attempt as in flight at its endpoint.
class InFlightGuard {
public:
  InFlightGuard(Balancer &Owner, base::EndpointId Id,
                const base::RouteName &Route)
      : Owner(Owner), Id(std::move(Id)) {
    this->Owner.requestStarted(this->Id, Route);
  }
  ~InFlightGuard() { Owner.requestFinished(Id); }
  InFlightGuard(const InFlightGuard &) = delete;
  InFlightGuard &operator=(const InFlightGuard &) = delete;

private:
  Balancer &Owner;
  base::EndpointId Id;
};

} // namespace

EntryRequest::EntryRequest(std::shared_ptr<EntryContext> Context,
                           std::shared_ptr<HttpConnection> Caller,
                           HttpRequest Request)
    : Context(std::move(Context)), Caller(std::move(Caller)),
      Request(std::move(Request)) {
  this->Context->Requests.insert(this);
}

EntryRequest::~EntryRequest() { Context->Requests.erase(this); }

asio::awaitable<void> EntryRequest::run() {
  Arrived = Context->Time.now();
  Deadline = LastAttempt = Arrived;
  MaybeRefusal Refused = prepare();
  if (!Refused) {
    Refused = co_await readBodyPrefix();
  } else if (Refused->Reason == RefusalReason::Unauthenticated &&
             hasShortBody()) {
    co_await readBodyPrefix();
  }
  if (!Refused)
    Refused = quarantineRefusal();
  if (!Refused) {
    if (BodyPrefixComplete) {
      watchCaller();
      // An overloaded process may read the request and the end of the
      // connection together.
      CallerGone = Caller->closed();
    }
    Refused = co_await takeQuota();
  }
  if (!Refused) {
    // Requests above a customer's limit must not enlarge the retry budget.
    attributeCall();
    Allowance.emplace(Context->Budgets, Service, CallOfRepeat, Arrived);
    do
      Refused = co_await runAttempt();
    while (Refused && prepareRetry(*Refused));
  }
  Caller->stopWatchingForClose();
  if (!Refused)
    co_return;
  if (CallerGone) {
    logCompletion("caller-gone", 0);
    Context->Counters.countRequest(Service, "broken",
                                   Context->Time.now() - Arrived);
    countCustomer("broken");
    Caller->abort();
    co_return;
  }
  if (MayHaveRun)
    Refused->Outcome = ExecutionOutcome::Unknown;
  co_await sendRefusal(std::move(*Refused));
}

EntryRequest::MaybeRefusal EntryRequest::prepare() {
  CallerMetadata Terms;
  try {
    Terms = Context->Dialect.callerMetadata(Request.Fields);
  } catch (const HttpError &Fault) {
    return notRun(RefusalReason::Malformed, Fault.what());
  }
  RequestId = Terms.Attempt;
  ApiKey = Terms.ApiKey;
  // Only processes of this VM connect from the address that they connect to.
  // The address is unspecified if the caller has left.
  auto Peer = Caller->peer().address();
  FromThisVm = !Peer.is_unspecified() && Peer == Caller->local().address();
  // A refusal without a route has a Retry-After time too.
  Deadline = Arrived + Terms.Timeout.value_or(DefaultTimeout);
  if (Terms.Timeout)
    CallerDeadline = Deadline;
  if (auto Refused = findRoute())
    return Refused;
  if (auto Refused = authenticate(Routes->mesh()))
    return Refused;
  if (auto Refused = checkLimits())
    return Refused;
  computeDeadlines(Terms);
  if (Deadline <= Arrived)
    return notRun(RefusalReason::DeadlineExceeded, "the deadline has passed");
  if (EndsWithNode && Arrived > Context->IntakeEnd)
    return notRun(RefusalReason::NodeDraining,
                  "the node may shut down before the response");
  chooseSplitService();
  return std::nullopt;
}

EntryRequest::MaybeRefusal EntryRequest::findRoute() {
  Routes = Context->routes();
  if (!Routes)
    return notRun(RefusalReason::NoConfiguration,
                  "this node has no configuration");
  const document::Route *Found =
      Routes->match(hostOf(Request.Fields), pathOf(Request.Target));
  if (!Found)
    return notRun(RefusalReason::NoRoute, "no route matches the host and path");
  MatchedRoute = *Found;
  Service = MatchedRoute.Service;
  return std::nullopt;
}

void EntryRequest::attributeCall() {
  if (!FromThisVm || !CallerDeadline)
    return;
  double Share =
      Context->Runs.recordCall({Service, MatchedRoute.Name, *CallerDeadline});
  // Which of the calls are those of repeats is not known, but how many.
  CallOfRepeat = std::bernoulli_distribution(Share)(Context->Random);
  if (CallOfRepeat)
    Context->Counters.countCallOfRepeat(Service);
}

Sender EntryRequest::identify(const CustomerIndex &Index) const {
  return Index.identify(ApiKey, MatchedRoute.Public, FromThisVm);
}

EntryRequest::MaybeRefusal
EntryRequest::authenticate(const document::MeshSnapshot &Snapshot) {
  auto Index = Context->customers(Snapshot);
  if (Index == Customers)
    return std::nullopt;
  Sender Found = identify(*Index);
  if (Found.Who == Sender::Kind::Refused)
    return notRun(RefusalReason::Unauthenticated, std::string(Found.Fault));
  From = Found;
  Customers = std::move(Index);
  return std::nullopt;
}

EntryRequest::MaybeRefusal EntryRequest::checkLimits() {
  if (const std::string *Value = findHeader(Request.Fields, "Idempotency-Key"))
    IdempotencyKey = *Value;
  if (MatchedRoute.Kind != document::RequestKind::ByMethod)
    IdempotencyKey.reset();
  if (IdempotencyKey &&
      (IdempotencyKey->empty() || IdempotencyKey->size() > MaxKeyBytes))
    return notRun(RefusalReason::Malformed, "malformed Idempotency-Key");
  if (!IdempotencyKey && MatchedRoute.RequireIdempotencyKey &&
      !isIdempotent(Request.Method))
    return notRun(RefusalReason::KeyRequired,
                  "this route needs an Idempotency-Key");
  auto Limit = static_cast<std::int64_t>(Routes->mesh().Limits.MaxBodyBytes);
  if (Limit == 0)
    Limit = Context->Options.MaxBodyBytes;
  if (Request.BodyLength > Limit)
    return notRun(RefusalReason::TooLarge, "request body is too large");
  return std::nullopt;
}

void EntryRequest::computeDeadlines(const CallerMetadata &Terms) {
  base::Millis Limit = DefaultTimeout;
  if (MatchedRoute.Timeout > base::Millis(0))
    Limit = MatchedRoute.Timeout;
  if (Terms.Timeout)
    Limit = std::min(Limit, *Terms.Timeout);
  Deadline = Arrived + Limit;
  Objective = MatchedRoute.Objective > base::Millis(0)
                  ? std::min(Deadline, Arrived + MatchedRoute.Objective)
                  : Deadline;
  limitToShutdown();
}

void EntryRequest::limitToShutdown() {
  if (Deadline <= Context->ShutdownEnd)
    return;
  // A gate that cannot respond before this node ends refuses the request, and
  // its caller can repeat it elsewhere.
  Deadline = Context->ShutdownEnd;
  Objective = std::min(Objective, Deadline);
  EndsWithNode = true;
  if (auto Running = CurrentExchange.lock())
    Running->endBy(Deadline);
}

void EntryRequest::abandonAttempt() {
  if (auto Running = CurrentExchange.lock())
    Running->cancel("no response before the node ends",
                    RefusalReason::DeadlineExceeded);
}

void EntryRequest::chooseSplitService() {
  if (MatchedRoute.Split.empty())
    return;
  std::uint64_t TotalWeight = 0;
  for (const document::WeightedService &Part : MatchedRoute.Split)
    TotalWeight += Part.Weight;
  if (TotalWeight == 0)
    return;
  std::uniform_int_distribution<std::uint64_t> Distribution(0, TotalWeight - 1);
  std::uint64_t Draw = Distribution(Context->Random);
  for (const document::WeightedService &Part : MatchedRoute.Split) {
    if (Draw < Part.Weight) {
      Service = Part.Service;
      return;
    }
    Draw -= Part.Weight;
  }
}

bool EntryRequest::hasShortBody() const {
  return Request.BodyLength >= 0 &&
         Request.BodyLength <= static_cast<std::int64_t>(MaxPrefixBytes) &&
         !findHeader(Request.Fields, "Expect");
}

asio::awaitable<EntryRequest::MaybeRefusal> EntryRequest::readBodyPrefix() {
  base::Bytes Buffer(Request.BodyLength == 0 ? 0 : MaxPrefixBytes);
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
  BodyPrefixComplete = Caller->bodyComplete();
  Buffer.resize(Filled);
  BodyPrefix = std::move(Buffer);
  // A stored response must not go to another customer that uses the same
  // idempotency key.
  RequestHash = From.Customer ? hashOf({Request.Method, Request.Target,
                                        From.Customer->Name.value()})
                              : hashOf({Request.Method, Request.Target});
  // Covers what the upstream may base its work on. An answer to the same path
  // and body from another caller says nothing about this request.
  Fingerprint =
      hashOf({Service.value(), Request.Method, Request.Target,
              Context->Options.CallerService.value(),
              From.Customer ? From.Customer->Name.value() : std::string(),
              base::asText(BodyPrefix)});
  co_return std::nullopt;
}

const document::Endpoint *
EntryRequest::chooseEndpoint(const document::MeshSnapshot &Snapshot) {
  auto Entry = Snapshot.Services.find(Service);
  if (Entry == Snapshot.Services.end())
    return nullptr;
  std::set<base::VersionName> WithoutEndpoint;
  // Downloads stay in their zone; see `DownloadLocalWaitPercent`.
  Balancer::RequestTraits Traits{maxLocalWait(), isDownload(),
                                 !isDownload() && Retries.asksAllZones(), false,
                                 MatchedRoute.Name};
  Traits.AvoidedZones = &EvacuatedZones;
  const document::Service &Wanted = Entry->second;
  // Repeats the selection without the versions that have no usable endpoint.
  while (const document::VersionShare *Version = chooseVersion(
             Wanted, Context->Guard, WithoutEndpoint, Context->Random)) {
    // Large responses would fill the links of a few nodes.
    Traits.Concentrate = Wanted.HasRollout && !isDownload() &&
                         Version->Version == Wanted.Rollout.To;
    if (const auto *Found = Context->LoadBalancer.choose(
            Snapshot, Service, Version->Version, Retries.excluded(), Traits))
      return Found;
    WithoutEndpoint.insert(Version->Version);
  }
  return nullptr;
}

asio::awaitable<EntryRequest::MaybeRefusal> EntryRequest::takeQuota() {
  // The key may have been taken away, or the limit changed, while the body was
  // read.
  SnapshotPtr Snapshot = Context->Snapshots.current();
  if (auto Refused = authenticate(*Snapshot))
    co_return Refused;
  if (!From.Customer || From.Customer->RequestsPerSecond <= 0 || CallerGone)
    co_return std::nullopt;
  base::Millis Left = Deadline - Context->Time.now();
  if (Left <= base::Millis(0))
    co_return notRun(RefusalReason::DeadlineExceeded,
                     "the deadline passed before the request was sent");
  QuotaLimiter::Verdict Verdict = co_await Context->Quotas.admit(
      *From.Customer, std::min(Left, MaxQuotaWait));
  if (Verdict.Admitted)
    co_return std::nullopt;
  Refusal Refused = notRun(
      RefusalReason::QuotaExceeded,
      fmt::format("customer {} has used up its limit of {:g} requests a second",
                  From.Customer->Name.value(),
                  From.Customer->RequestsPerSecond));
  Refused.RetryAfter = Verdict.RetryAfter;
  co_return Refused;
}

asio::awaitable<EntryRequest::MaybeRefusal> EntryRequest::runAttempt() {
  // A retry uses the newest configuration.
  SnapshotPtr Snapshot = Context->Snapshots.current();
  // The key may have been taken away while the body was read or an earlier
  // attempt was running.
  if (auto Refused = authenticate(*Snapshot))
    co_return Refused;
  if (Retries.attempts() == 0 &&
      Context->Odds[Service].advice(Context->Time.now()) ==
          SlotOdds::Advice::AskAllZones)
    Retries.askAllZones();
  const document::Endpoint *Found = chooseEndpoint(*Snapshot);
  if (!Found && Retries.readmitBusyEndpoints())
    Found = chooseEndpoint(*Snapshot);
  if (!Found)
    co_return notRun(RefusalReason::NoEndpoint, "no endpoint takes requests");
  document::Endpoint Target = *Found;
  Retries.beginAttempt(Target.Id);
  EvidenceCounted = false;
  InFlightGuard Tracked(Context->LoadBalancer, Target.Id, MatchedRoute.Name);
  base::TimePoint Started = Context->Time.now();
  LastAttempt = Started;
  AttemptHistory += fmt::format("{}{}@{}", AttemptHistory.empty() ? "" : ",",
                                Target.Version.value(), Target.Id.value());
  bool BoundedWait = Retries.limitsQueueWait();
  MaybeRefusal Refused = co_await runExchange(Snapshot, Target);
  if (BoundedWait)
    Context->Odds[Service].record(
        Target.Zone == Context->Options.LoadBalancing.Zone,
        !Refused || !isBusy(Refused->Reason), Context->Time.now());
  if (Refused) {
    AttemptHistory += fmt::format(":{}:{}ms", reasonText(Refused->Reason),
                                  (Context->Time.now() - Started).count());
    recordRefusal(*Snapshot, Target, *Refused, Started);
    Refused->Endpoint = Target.Id;
  }
  co_return Refused;
}

base::Millis EntryRequest::maxLocalWait() const {
  base::TimePoint Now = Context->Time.now();
  // Every upstream would miss the objective, so another zone has no advantage.
  if (!Retries.limitsQueueWait() && isDownload())
    return std::max(base::Millis(0), Deadline - Now);
  if (!Retries.limitsQueueWait() || Objective >= Deadline)
    return base::Millis(0);
  base::Millis Left = Objective - Now;
  return std::max(base::Millis(0), Left) *
         (isDownload() ? DownloadLocalWaitPercent : LocalWaitPercent) / 100;
}

RequestHead
EntryRequest::makeRequestHead(const document::Endpoint &Target) const {
  RequestHead Head;
  Head.Service = Service;
  Head.Version = Target.Version;
  Head.Method = Request.Method;
  Head.Target = Request.Target;
  Head.Fields = Request.Fields;
  eraseConnectionHeaders(Head.Fields);
  Head.CustomersInForce = Customers->inForce();
  if (Head.CustomersInForce)
    eraseHeader(Head.Fields, ApiKeyField);
  if (From.Customer)
    Head.Customer = From.Customer->Name;
  // Only a claim needs a separate id for each attempt.
  Head.Attempt = IdempotencyKey ? base::randomHexId() : RequestId;
  Head.IdempotencyKey = IdempotencyKey;
  Head.RequestHash = RequestHash;
  Head.Fingerprint = Fingerprint;
  Head.BodyLength = Request.BodyLength;
  Head.CallerService = Context->Options.CallerService;
  Head.Route = MatchedRoute.Name;
  Head.CallerAttempt = RequestId;
  Head.Objective = Objective - Context->Time.now();
  // At its gate, a response that is late waits for the link behind all that are
  // not, and would be cut off by the end of this node.
  Head.Priority = EndsWithNode ? HighestPriority
                               : Customers->rank(From, MatchedRoute.Priority);
  Head.AtMostOnce = !isRepeatable();
  Head.Suspect = Context->Quarantine.isSuspect(Fingerprint);
  Head.Repeat = Allowance->isRepeatedWork();
  if (Retries.limitsQueueWait() && Objective < Deadline) {
    base::Millis ServiceTime =
        Context->LoadBalancer.expectedServiceTime(Target.Id, MatchedRoute.Name);
    base::Millis Patience = Objective - Context->Time.now() - ServiceTime;
    if (Target.Zone == Context->Options.LoadBalancing.Zone)
      Patience = std::min(Patience, maxLocalWait());
    Head.MaxQueueWait = std::max(base::Millis(0), Patience);
  }
  return Head;
}

asio::awaitable<EntryRequest::MaybeRefusal>
EntryRequest::runExchange(SnapshotPtr Snapshot, document::Endpoint Target) {
  base::TimePoint Started = Context->Time.now();
  MaybeRefusal Refused;
  try {
    co_await Context->Peers.ensureConnected(Target.NodeAddress);
    // The caller may have disconnected while the connection was opened.
    if (CallerGone)
      co_return notRun(RefusalReason::Cancelled, "caller went away");
    RequestHead Outgoing = makeRequestHead(Target);
    base::TimePoint SentDeadline = Deadline;
    ExchangePtr Running = co_await Context->Peers.open(
        Target.NodeAddress, std::move(Outgoing), SentDeadline);
    CancelOnExit CancelGuard(Running);
    CurrentExchange = Running;
    // The shutdown may have begun while the head was sent.
    if (Deadline < SentDeadline)
      Running->endBy(Deadline);
    if (CallerGone)
      Running->cancel("caller went away");
    if (Request.BodyLength != 0)
      asio::co_spawn(
          Context->Executor,
          [Keep = shared_from_this(), Running]() -> asio::awaitable<void> {
            co_await Keep->sendRequestBody(Running);
          },
          asio::detached);
    auto Head = co_await Running->readHead(Deadline);
    if (!Head) {
      Running->cancel("deadline");
      co_return Refusal{ExecutionOutcome::Unknown,
                        RefusalReason::DeadlineExceeded,
                        "no response before the deadline"};
    }
    if (Context->Quarantine.isSuspect(Fingerprint))
      Context->Quarantine.recordAnswer(Fingerprint);
    bool Error = Head->Status >= 500;
    Context->LoadBalancer.recordLoad(Target.Id, Head->Load, MatchedRoute.Name);
    countEvidence(*Snapshot, Target, Error, Started);
    EvidenceCounted = true;
    if (Error)
      Context->LoadBalancer.recordFailure(*Snapshot, Target.Id, false);
    else
      Context->LoadBalancer.recordSuccess(Target.Id);
    Refused = co_await forwardResponse(Running, std::move(*Head));
  } catch (const ExchangeAborted &Failure) {
    Refused = Failure.refusal();
  }
  co_return Refused;
}

asio::awaitable<EntryRequest::MaybeRefusal>
EntryRequest::forwardResponse(ExchangePtr Running, ResponseHead Head) {
  if (shouldRetryStatus(Head.Status)) {
    Running->cancel("retried");
    co_return Refusal{ExecutionOutcome::Unknown, RefusalReason::UpstreamBroken,
                      "upstream answered " + std::to_string(Head.Status)};
  }
  eraseConnectionHeaders(Head.Fields);
  Context->Dialect.removeInternalFields(Head.Fields);
  unsigned Status = Head.Status;
  // A response that ends early while it is buffered may be retried. The
  // exception propagates to the calling function for that.
  base::Bytes Buffered;
  bool End = false;
  while (!End && Buffered.size() <= responseBufferBytes()) {
    BodyPiece Piece = co_await Running->Body.readData();
    End = Piece.End;
    Buffered.insert(Buffered.end(), Piece.Data.begin(), Piece.Data.end());
  }
  bool Complete = End;
  if (End && Request.Method != "HEAD") {
    // Ends the task that sends a request body which the upstream did not read.
    Running->Body.end(
        {ExecutionOutcome::Unknown, RefusalReason::Cancelled, "finished"});
    Caller->stopWatchingForClose();
    co_await Caller->respond(Status, std::move(Head.Fields),
                             std::string(base::asText(Buffered)));
  } else if (End) {
    Caller->stopWatchingForClose();
    co_await Caller->writeHead(Status, std::move(Head.Fields), Head.BodyLength);
    co_await Caller->writeEnd();
  } else {
    Complete =
        co_await streamResponse(Running, std::move(Head), std::move(Buffered));
  }
  base::Millis Elapsed = Context->Time.now() - Arrived;
  std::string StatusClass =
      Complete ? std::to_string(Status / 100) + "xx" : std::string("broken");
  Context->Counters.countRequest(Service, StatusClass, Elapsed);
  countCustomer(Complete ? "answered" : "broken");
  logCompletion(Complete ? "answered" : "broken", Status);
  co_return std::nullopt;
}

std::size_t EntryRequest::responseBufferBytes() const {
  // Once a part has been forwarded, a response that does not arrive in time can
  // only be cut off.
  return EndsWithNode ? std::max(Context->Options.ResponseBufferBytes,
                                 MaxShutdownBufferBytes)
                      : Context->Options.ResponseBufferBytes;
}

asio::awaitable<bool> EntryRequest::streamResponse(ExchangePtr Running,
                                                   ResponseHead Head,
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
    // A reset keeps the caller from accepting the incomplete response as
    // complete.
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

asio::awaitable<void> EntryRequest::sendRequestBody(ExchangePtr To) {
  std::string Failed;
  try {
    bool End = BodyPrefixComplete;
    base::Bytes First = BodyPrefix;
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
    if (!BodyPrefixComplete && !To->Body.ended())
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
    if (auto Running = Self->CurrentExchange.lock())
      Running->cancel("caller went away");
  });
}

bool EntryRequest::isRepeatable() const {
  switch (MatchedRoute.Kind) {
  case document::RequestKind::Idempotent:
  case document::RequestKind::Download:
    return true;
  case document::RequestKind::NonIdempotent:
    return false;
  case document::RequestKind::ByMethod:
    break;
  }
  // Control grants a key to one attempt only, so a request with a key can be
  // resent without running twice.
  return IdempotencyKey.has_value() || isIdempotent(Request.Method);
}

unsigned EntryRequest::maxAttempts() const {
  return MatchedRoute.MaxAttempts != 0 ? MatchedRoute.MaxAttempts
                                       : Context->Options.MaxAttempts;
}

bool EntryRequest::shouldRetryStatus(unsigned Status) {
  bool Temporary =
      Status == 500 || Status == 502 || Status == 503 || Status == 504;
  // Where the method decides about retries, 500 may be the upstream's permanent
  // answer to this request.
  if (Status == 500 && MatchedRoute.Kind == document::RequestKind::ByMethod)
    return false;
  // The response to a request with a key is stored and thus final.
  if (!Temporary || IdempotencyKey || !isRepeatable() || !isBodyReplayable() ||
      Retries.upstreamAttempts() + 1 >= maxAttempts() ||
      Context->Time.now() >= Deadline ||
      !Allowance->mayRepeat(Context->Time.now()))
    return false;
  auto Snapshot = Context->Snapshots.current();
  // The response is worth more than the refusal of a repeat whose key was taken
  // away.
  return identify(*Context->customers(*Snapshot)).Who !=
             Sender::Kind::Refused &&
         chooseEndpoint(*Snapshot) != nullptr;
}

bool EntryRequest::prepareRetry(const Refusal &Refused) {
  // A refusal for lack of an endpoint is not an attempt and does not change
  // what is known about earlier ones.
  if (Refused.Outcome == ExecutionOutcome::Unknown)
    MayHaveRun = true;
  Allowance->recordAttempt(reachedUpstream(Refused));
  if (CallerGone || Retries.attempts() == 0 || !isBodyReplayable() ||
      Context->Time.now() >= Deadline || quarantineRefusal())
    return false;
  bool NoSlotInTime = isBusy(Refused.Reason) && Retries.limitsQueueWait();
  auto Next = Retries.onRefusal(Refused.Endpoint, Refused, isRepeatable(),
                                maxAttempts());
  if (Next == RetryState::Step::Stop)
    return false;
  if (NoSlotInTime) {
    auto Advice = Context->Odds[Service].advice(Context->Time.now());
    // No other gate is expected to have a slot in time. A short queue may still
    // serve the request late.
    if (Advice == SlotOdds::Advice::AcceptAnyWait)
      Retries.readmitBusyEndpoints();
    if (Advice == SlotOdds::Advice::AskAllZones)
      Retries.askAllZones();
  }
  auto Snapshot = Context->Snapshots.current();
  if (!chooseEndpoint(*Snapshot) &&
      (!Retries.readmitBusyEndpoints() || !chooseEndpoint(*Snapshot)))
    return false;
  // After an upstream was reached once, a redirect counts as a retry too.
  if (!Allowance->admitAttempt(Context->Time.now()))
    return false;
  if (Allowance->isRepeat())
    Context->Counters.countRetry(Service);
  return true;
}

void EntryRequest::recordRefusal(const document::MeshSnapshot &Snapshot,
                                 const document::Endpoint &Target,
                                 const Refusal &Refused,
                                 base::TimePoint Started) {
  if (Refused.Load.Slots != 0)
    Context->LoadBalancer.recordLoad(Target.Id, Refused.Load,
                                     MatchedRoute.Name);
  // The other gates of the zone would refuse too, each at the cost of a hop.
  if (Refused.Reason == RefusalReason::ZoneEvacuated)
    EvacuatedZones.insert(Target.Zone);
  recordCrash(Refused);
  if (CallerGone)
    return;
  if (Refused.Reason == RefusalReason::UpstreamShed)
    Context->LoadBalancer.recordShed(Target.Id);
  else if (isEndpointFault(Refused.Reason))
    Context->LoadBalancer.recordFailure(Snapshot, Target.Id,
                                        isHardFault(Refused.Reason));
  if (reachedUpstream(Refused) && !EvidenceCounted &&
      isVersionFault(Refused.Reason))
    countEvidence(Snapshot, Target, true, Started);
}

EntryRequest::MaybeRefusal EntryRequest::quarantineRefusal() const {
  auto Left = Context->Quarantine.convictedFor(Fingerprint);
  if (!Left)
    return std::nullopt;
  Refusal Refused =
      notRun(RefusalReason::Quarantined, quarantineText(Fingerprint));
  Refused.RetryAfter = *Left;
  return Refused;
}

void EntryRequest::recordCrash(const Refusal &Refused) {
  if (Refused.Outcome != ExecutionOutcome::Unknown)
    return;
  if (Refused.Reason == RefusalReason::Quarantined)
    Context->Quarantine.convict(Fingerprint);
  if (Refused.Suspect)
    Context->Quarantine.recordCrash(Fingerprint);
}

void EntryRequest::countEvidence(const document::MeshSnapshot &Snapshot,
                                 const document::Endpoint &Target, bool Error,
                                 base::TimePoint Started) {
  auto Entry = Snapshot.Services.find(Service);
  if (Entry == Snapshot.Services.end() || !Entry->second.HasRollout)
    return;
  base::Millis Elapsed = Context->Time.now() - Started;
  rollout::EvidenceKey Place{Service, Target.Version, MatchedRoute.Name};
  Context->Evidence.Counts[Place].add(Error, Elapsed);
  Context->Guard.observe(Entry->second, Target.Version, Error);
}

asio::awaitable<void> EntryRequest::sendRefusal(Refusal Refused) {
  // A convicted request and one above a limit are refused for a known time, and
  // time does not help a request without a valid key.
  if (Refused.Outcome == ExecutionOutcome::NotRun &&
      Refused.Reason != RefusalReason::NoRoute &&
      Refused.Reason != RefusalReason::Unauthenticated &&
      Refused.Reason != RefusalReason::QuotaExceeded &&
      Refused.Reason != RefusalReason::Quarantined) {
    std::uniform_real_distribution<double> Jitter(-1, 1);
    Refused.RetryAfter =
        retryAfter(capacityDelayAfter(Refused.Reason, Retries.capacityDelay()),
                   Deadline - Context->Time.now(), Jitter(Context->Random));
  }
  unsigned Status = Context->Dialect.statusOf(Refused);
  Context->Counters.countRefusal("entry", Refused);
  Context->Counters.countRequest(Service, "refused",
                                 Context->Time.now() - Arrived);
  countCustomer(Refused.Reason == RefusalReason::QuotaExceeded ? "over-limit"
                                                               : "refused");
  logCompletion(fmt::format("{} {} \"{}\"", outcomeText(Refused.Outcome),
                            reasonText(Refused.Reason), Refused.Text),
                Status);
  if (!Caller->bodyComplete())
    Caller->closeAfterResponse();
  std::string Body = reasonText(Refused.Reason) + ": " + Refused.Text + "\n";
  Headers Fields = Context->Dialect.refusalFields(Refused, RequestId);
  co_await Caller->respond(Status, std::move(Fields), std::move(Body));
}

void EntryRequest::countCustomer(const std::string &Outcome) {
  if (From.Customer)
    Context->Counters.countCustomerRequest(From.Customer->Name, Outcome);
}

void EntryRequest::logCompletion(const std::string &Outcome, unsigned Status) {
  auto Log = base::logger(base::RequestLog);
  const document::MeshSnapshot *Snapshot = Routes ? &Routes->mesh() : nullptr;
  Log->info("request id={} from={} customer={} route={} service={} method={} "
            "repeat={} document={} "
            "state={} "
            "attempts={} trail={} last_attempt_ms={} took_ms={} left_ms={} "
            "status={} outcome={}",
            RequestId, Caller->peer().address().to_string(),
            From.Customer ? From.Customer->Name.value() : std::string(),
            MatchedRoute.Name.value(), Service.value(), Request.Method,
            CallOfRepeat, Snapshot ? Snapshot->Document.value() : 0,
            Snapshot ? Snapshot->State.value() : 0, Retries.attempts(),
            AttemptHistory, (LastAttempt - Arrived).count(),
            (Context->Time.now() - Arrived).count(),
            (Deadline - Context->Time.now()).count(), Status, Outcome);
}

} // namespace amaranth::dataplane
