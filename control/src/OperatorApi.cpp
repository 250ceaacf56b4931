#include "amaranth/control/OperatorApi.h"

#include "OperatorJson.h"
#include "amaranth/base/Digest.h"
#include "amaranth/base/Invariant.h"
#include "amaranth/base/Log.h"
#include "amaranth/control/DocumentService.h"

#include <fmt/format.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <charconv>

namespace asio = boost::asio;

namespace amaranth::control {

namespace {

/// Leaves room for the frame overhead: a forwarded proposal is limited to
/// 1 MiB.
constexpr std::size_t MaxCommandBytes = 960U << 10U;
constexpr std::size_t DefaultAuditLimit = 100;
constexpr std::size_t MaxAuditLimit = 10'000;

struct Query {
  std::string Path;
  bool Stale = false;
  std::size_t Limit = DefaultAuditLimit;
  /// Error message for an unknown or malformed parameter, otherwise empty.
  std::string Fault;
};

void parseParameter(std::string_view Text, Query &Output) {
  if (Text == "stale=true" || Text == "stale=false") {
    Output.Stale = Text == "stale=true";
    return;
  }
  constexpr std::string_view Limit = "limit=";
  if (Text.starts_with(Limit) && Output.Path == "/v1/audit") {
    std::string_view Digits = Text.substr(Limit.size());
    auto [End, Code] = std::from_chars(
        Digits.data(), Digits.data() + Digits.size(), Output.Limit);
    if (Code == std::errc() && End == Digits.data() + Digits.size() &&
        Output.Limit > 0 && Output.Limit <= MaxAuditLimit)
      return;
    Output.Fault = fmt::format("limit: expected 1 to {}", MaxAuditLimit);
    return;
  }
  Output.Fault =
      "unknown query parameter; expected stale=true, and limit=N for "
      "/v1/audit";
}

Query parseTarget(std::string_view Target) {
  Query Result;
  auto QueryStart = std::min(Target.find('?'), Target.size());
  Result.Path = Target.substr(0, QueryStart);
  Target.remove_prefix(std::min(QueryStart + 1, Target.size()));
  while (!Target.empty()) {
    auto End = std::min(Target.find('&'), Target.size());
    parseParameter(Target.substr(0, End), Result);
    Target.remove_prefix(std::min(End + 1, Target.size()));
  }
  return Result;
}

ApiResponse errorResponse(unsigned Status, std::string_view Text,
                          std::string_view Operation = {}) {
  return {Status, "application/json", detail::errorJson(Text, Operation)};
}

unsigned httpStatus(ResultCode Code) {
  switch (Code) {
  case ResultCode::Accepted:
    return 200;
  case ResultCode::Conflict:
    return 409;
  case ResultCode::Forbidden:
    return 403;
  default:
    return 422;
  }
}

bool isPublicPath(std::string_view Path) {
  return Path == "/metrics" || Path == "/health" || Path == "/ready";
}

bool isVoter(const replication::ReplicatedLog &Log, base::ReplicaId Id) {
  auto Members = Log.members();
  return std::any_of(Members.begin(), Members.end(), [Id](const auto &Member) {
    return Member.Id == Id && Member.Voter;
  });
}

constexpr std::string_view EvacuatePath = "/v1/evacuate";
constexpr std::string_view FinishEvacuationPath = "/v1/evacuate/finish";

bool isWritePath(std::string_view Path) {
  return Path == "/v1/apply" || Path == "/v1/replace-voter" ||
         Path == "/v1/lift-quarantine" || Path == EvacuatePath ||
         Path == FinishEvacuationPath;
}

bool isReadPath(std::string_view Path) {
  return Path == "/v1/document" || Path == "/v1/status" ||
         Path == "/v1/versions" || Path == "/v1/audit";
}

} // namespace

OperatorApi::OperatorApi(replication::ReplicatedLog &Log,
                         const ControlState &State, const StatusSource &Nodes,
                         MembershipControl &Members, OperatorKeys Keys,
                         prometheus::Registry &Metrics, ApiTimeouts Timeouts)
    : Log(Log), State(State), Nodes(Nodes), Members(Members),
      Keys(std::move(Keys)), Metrics(Metrics), Timeouts(Timeouts),
      Requests(prometheus::BuildCounter()
                   .Name("amaranth_operator_requests_total")
                   .Help("Requests to the operators' interface by path and "
                         "status.")
                   .Register(Metrics)) {}

asio::awaitable<ApiResponse> OperatorApi::handle(ApiRequest Request) {
  ApiResponse Response = co_await route(Request);
  std::string Path = parseTarget(Request.Target).Path;
  // Clients choose the path, so unknown paths share one label value to bound
  // the number of time series.
  bool Known = isPublicPath(Path) || isReadPath(Path) || isWritePath(Path);
  Requests
      .Add({{"path", Known ? Path : "other"},
            {"status", std::to_string(Response.Status)}})
      .Increment();
  co_return Response;
}

asio::awaitable<ApiResponse> OperatorApi::route(const ApiRequest &Request) {
  Query Parsed = parseTarget(Request.Target);
  bool IsWrite = isWritePath(Parsed.Path);
  if (!IsWrite && !isReadPath(Parsed.Path) && !isPublicPath(Parsed.Path))
    co_return errorResponse(404, "unknown path");
  if (Request.Method != (IsWrite ? "POST" : "GET"))
    co_return errorResponse(405, IsWrite ? "expected POST" : "expected GET");
  if (isPublicPath(Parsed.Path))
    co_return servePublic(Parsed.Path);
  constexpr std::string_view Scheme = "Bearer ";
  std::optional<Operator> Requester;
  if (Request.Authorization.starts_with(Scheme))
    Requester = Keys.find(
        std::string_view(Request.Authorization).substr(Scheme.size()));
  if (!Requester)
    co_return errorResponse(401,
                            "expected 'Authorization: Bearer KEY' with the key "
                            "of an operator");
  if (Parsed.Path == "/v1/replace-voter")
    co_return co_await replaceVoter(Request, *Requester);
  if (Parsed.Path == "/v1/lift-quarantine")
    co_return co_await liftQuarantine(Request, *Requester);
  bool Active = Parsed.Path == EvacuatePath;
  if (Active || Parsed.Path == FinishEvacuationPath)
    co_return co_await setEvacuation(Request, *Requester, Active);
  if (IsWrite)
    co_return co_await apply(Request, *Requester);
  co_return co_await read(Request);
}

asio::awaitable<ApiResponse> OperatorApi::apply(const ApiRequest &Request,
                                                const Operator &Requester) {
  ApplySections Change;
  try {
    Change = detail::parseApply(Request.Body);
  } catch (const detail::BadRequest &Fault) {
    co_return errorResponse(400, Fault.what());
  }
  Change.Operator = Requester.Name;
  Change.Teams = Requester.Teams;
  std::string Operation = Change.Operation.value();
  base::Bytes Data = encodeCommand(Change);
  if (Data.size() > MaxCommandBytes)
    co_return errorResponse(413,
                            "the change is too large; apply fewer sections at "
                            "once");
  std::string Error;
  try {
    base::Bytes Answer =
        co_await Log.propose(std::move(Data), Timeouts.Propose);
    CommandResult Result = decodeResult(Answer);
    base::logger("operator")
        ->info("apply operator={} operation={} status={} document={}",
               Requester.Name.value(), Operation, httpStatus(Result.Code),
               Result.Document.value());
    co_return ApiResponse{httpStatus(Result.Code), "application/json",
                          detail::resultJson(Result, Operation)};
  } catch (const replication::NotLeader &Failure) {
    co_return errorResponse(
        503,
        fmt::format("the change was not applied: {}; send it "
                    "again or to another process",
                    Failure.what()),
        Operation);
  } catch (const base::Error &Failure) {
    Error = Failure.what();
  }
  co_return errorResponse(
      504,
      fmt::format("the outcome is unknown: {}; send the change "
                  "again with the same operation id",
                  Error),
      Operation);
}

asio::awaitable<ApiResponse>
OperatorApi::replaceVoter(const ApiRequest &Request,
                          const Operator &Requester) {
  detail::VoterReplacement Change;
  try {
    Change = detail::parseReplacement(Request.Body);
  } catch (const detail::BadRequest &Fault) {
    co_return errorResponse(400, Fault.what());
  }
  ApiResponse Answer;
  std::string ReadError;
  try {
    co_await Log.readIndex(Timeouts.Read);
  } catch (const base::Error &Failure) {
    ReadError = Failure.what();
  }
  if (!ReadError.empty())
    co_return errorResponse(503, "the voter was not replaced: " + ReadError);
  // Without this check the log would promote the replacement without removing a
  // voter.
  if (!isVoter(Log, Change.Lost))
    co_return errorResponse(
        409, fmt::format("replica {} is not a voter; nothing was "
                         "changed",
                         Change.Lost.value()));
  try {
    co_await Members.replaceVoter(Change.Lost, Change.Replacement,
                                  Timeouts.Membership);
    Answer.Body = detail::replacementJson(Change);
  } catch (const MembershipRefused &Refusal) {
    Answer = errorResponse(409, Refusal.what());
  } catch (const replication::NotLeader &Failure) {
    Answer =
        errorResponse(503, fmt::format("the voter was not replaced: {}; send "
                                       "it again or to another process",
                                       Failure.what()));
  } catch (const base::Error &Failure) {
    Answer =
        errorResponse(504, fmt::format("the outcome is unknown: {}; check the "
                                       "members with status",
                                       Failure.what()));
  }
  base::logger("operator")
      ->info("replace voter operator={} lost={} replacement={} status={}",
             Requester.Name.value(), Change.Lost.value(),
             Change.Replacement.value(), Answer.Status);
  co_return Answer;
}

asio::awaitable<ApiResponse>
OperatorApi::liftQuarantine(const ApiRequest &Request,
                            const Operator &Requester) {
  LiftQuarantine Change;
  try {
    Change = {Requester.Name, detail::parseFingerprint(Request.Body)};
  } catch (const detail::BadRequest &Fault) {
    co_return errorResponse(400, Fault.what());
  }
  ApiResponse Answer;
  try {
    base::Bytes Applied =
        co_await Log.propose(encodeCommand(Change), Timeouts.Propose);
    CommandResult Result = decodeResult(Applied);
    Answer =
        Result.Code == ResultCode::Accepted
            ? ApiResponse{200, "application/json",
                          detail::resultJson(Result, "")}
            : errorResponse(httpStatus(Result.Code),
                            Result.Messages.empty() ? "the command was refused"
                                                    : Result.Messages.front());
  } catch (const replication::NotLeader &Failure) {
    Answer = errorResponse(503, fmt::format("the quarantine was not lifted: "
                                            "{}; send it again or to another "
                                            "process",
                                            Failure.what()));
  } catch (const base::Error &Failure) {
    Answer = errorResponse(504, fmt::format("the outcome is unknown: {}; check "
                                            "the quarantine with status",
                                            Failure.what()));
  }
  base::logger("operator")
      ->info("lift quarantine operator={} fingerprint={} status={}",
             Requester.Name.value(), base::hex64(Change.Fingerprint),
             Answer.Status);
  co_return Answer;
}

asio::awaitable<ApiResponse>
OperatorApi::setEvacuation(const ApiRequest &Request, const Operator &Requester,
                           bool Active) {
  base::AvailabilityZone Zone;
  try {
    Zone = base::AvailabilityZone(detail::parseZone(Request.Body));
  } catch (const detail::BadRequest &Fault) {
    co_return errorResponse(400, Fault.what());
  }
  DocumentService Orders(Log, State, Nodes, {},
                         {Timeouts.Read, Timeouts.Propose});
  base::OperatorName Name = Requester.Name;
  ChangeResult Result =
      co_await Orders.setEvacuation(std::move(Name), std::move(Zone), Active);
  switch (Result.Outcome) {
  case ChangeOutcome::Accepted:
    co_return ApiResponse{200, "application/json",
                          detail::acceptedJson(Result.Reason)};
  case ChangeOutcome::Unavailable:
    co_return errorResponse(
        503, fmt::format("nothing was changed: {}; send the order again or to "
                         "another process",
                         Result.Reason));
  case ChangeOutcome::Unknown:
    co_return errorResponse(
        504, fmt::format("the outcome is unknown: {}; send the order again",
                         Result.Reason));
  default:
    co_return errorResponse(422, Result.Reason);
  }
}

asio::awaitable<ApiResponse> OperatorApi::read(const ApiRequest &Request) {
  Query Parsed = parseTarget(Request.Target);
  if (!Parsed.Fault.empty())
    co_return errorResponse(400, Parsed.Fault);
  if (!Parsed.Stale) {
    std::string Reason;
    try {
      base::LogIndex Index = co_await Log.readIndex(Timeouts.Read);
      AMARANTH_INVARIANT(Log.appliedIndex() >= Index,
                         "a read was served before its read index was applied");
    } catch (const base::Error &Failure) {
      Reason = Failure.what();
    }
    if (!Reason.empty())
      co_return errorResponse(
          503, fmt::format("this process cannot prove that it is "
                           "current: {}; ask another process, or add "
                           "?stale=true for its last known state",
                           Reason));
  }
  co_return ApiResponse{200, "application/json",
                        responseBody(Parsed.Path, Parsed.Limit, Parsed.Stale)};
}

std::string OperatorApi::responseBody(const std::string &Path,
                                      std::size_t Limit, bool Stale) const {
  if (Path == "/v1/document")
    return detail::documentJson(State, Stale);
  if (Path == "/v1/status")
    return detail::statusJson(State, Log, Nodes, Stale);
  if (Path == "/v1/versions")
    return detail::versionsJson(State, Stale);
  return detail::auditJson(State, Limit, Stale);
}

ApiResponse OperatorApi::servePublic(const std::string &Path) const {
  if (Path == "/ready")
    return ready();
  if (Path == "/health")
    return {200, "text/plain", "ok\n"};
  return {200, "text/plain; version=0.0.4",
          prometheus::TextSerializer().Serialize(Metrics.Collect())};
}

ApiResponse OperatorApi::ready() const {
  base::Millis Age = Log.staleness();
  if (Age <= Timeouts.MaxStaleness)
    return {200, "text/plain", "ready\n"};
  return {503, "text/plain",
          fmt::format("not ready: not current for {} ms\n", Age.count())};
}

} // namespace amaranth::control
