#include "OperatorJson.h"

#include "ChangeValidator.h"
#include "RolloutTable.h"
#include "amaranth/base/Digest.h"
#include "amaranth/document/UtcTime.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <charconv>

namespace json = boost::json;

namespace amaranth::control::detail {

namespace {

std::string stringMember(const json::object &From, std::string_view Name,
                         const std::string &Where) {
  const json::value *Value = From.if_contains(Name);
  if (!Value || !Value->is_string())
    throw BadRequest(
        fmt::format("{}: the member \"{}\" must be a string", Where, Name));
  return std::string(Value->get_string());
}

std::uint64_t numberMember(const json::object &From, std::string_view Name,
                           const std::string &Where) {
  const json::value *Value = From.if_contains(Name);
  if (!Value)
    return 0;
  if (Value->is_uint64())
    return Value->get_uint64();
  if (Value->is_int64() && Value->get_int64() >= 0)
    return static_cast<std::uint64_t>(Value->get_int64());
  throw BadRequest(
      fmt::format("{}: the member \"{}\" must be a whole number", Where, Name));
}

void checkMembers(const json::object &From,
                  std::initializer_list<std::string_view> Allowed,
                  const std::string &Where) {
  for (const auto &Member : From) {
    std::string_view Name(Member.key().data(), Member.key().size());
    if (std::find(Allowed.begin(), Allowed.end(), Name) == Allowed.end())
      throw BadRequest(fmt::format("{}: unknown member \"{}\"", Where,
                                   Name.substr(0, document::MaxNameBytes)));
  }
}

SectionChange parseChange(const json::value &From, const std::string &Where) {
  if (!From.is_object())
    throw BadRequest(Where + " must be an object");
  const json::object &Item = From.get_object();
  checkMembers(Item, {"section", "expected", "body", "delete"}, Where);
  SectionChange Result;
  Result.Section = stringMember(Item, "section", Where);
  Result.Expected = base::Revision(numberMember(Item, "expected", Where));
  const json::value *Delete = Item.if_contains("delete");
  if (Delete && !Delete->is_bool())
    throw BadRequest(Where + ": the member \"delete\" must be true or false");
  bool Deletes = Delete && Delete->get_bool();
  if (Deletes == Item.contains("body"))
    throw BadRequest(Where + ": expected either \"body\" or \"delete\": true");
  if (!Deletes)
    Result.Body = stringMember(Item, "body", Where);
  return Result;
}

json::object responseHeader(const ControlState &State, bool Stale) {
  json::object Result;
  Result["document"] = State.documentVersion().value();
  Result["stale"] = Stale;
  return Result;
}

json::object parseObject(std::string_view Text) {
  boost::system::error_code Failure;
  json::value Root =
      json::parse(json::string_view(Text.data(), Text.size()), Failure);
  if (Failure)
    throw BadRequest("the body is not valid JSON: " + Failure.message());
  if (!Root.is_object())
    throw BadRequest("the body must be a JSON object");
  return std::move(Root.get_object());
}

base::ReplicaId replicaMember(const json::object &From, std::string_view Name) {
  std::string Text = stringMember(From, Name, "body");
  std::uint64_t Id = 0;
  const char *Last = Text.data() + Text.size();
  auto [End, Code] = std::from_chars(Text.data(), Last, Id);
  if (Code != std::errc() || End != Last || Id == 0)
    throw BadRequest(fmt::format(
        "body: the member \"{}\" must be the id of a replica", Name));
  return base::ReplicaId(Id);
}

double toPercent(std::uint32_t Millionths) {
  return Millionths * 100.0 / document::FullShare;
}

const char *resultCodeName(ResultCode Code) {
  switch (Code) {
  case ResultCode::Accepted:
    return "accepted";
  case ResultCode::Conflict:
    return "conflict";
  case ResultCode::Forbidden:
    return "forbidden";
  default:
    return "invalid";
  }
}

json::object rolloutJson(const RolloutStatus &Status) {
  json::object Result;
  Result["revision"] = Status.Section.value();
  Result["from"] = Status.From.value();
  Result["to"] = Status.To.value();
  Result["phase"] = phaseName(Status.Phase);
  Result["share_percent"] = toPercent(Status.Share);
  Result["step"] = Status.Step;
  Result["epoch"] = Status.Epoch;
  Result["reason"] = Status.Reason;
  Result["since"] = document::formatUtcTime(Status.Since);
  Result["last_change"] = document::formatUtcTime(Status.LastChange);
  std::vector<base::FileFault> Faults;
  auto Section = document::parseRollout(
      {"rollout " + Status.Service.value(), Status.Body, {}, {}}, "", Faults);
  Result["start"] = document::formatUtcTime(Section.Start);
  Result["deadline"] = document::formatUtcTime(Section.Deadline);
  return Result;
}

json::array runningRolloutsJson(const ControlState &State) {
  json::array Result;
  for (const RolloutStatus &Status : State.rollouts()) {
    if (Status.Phase == RolloutPhase::Done ||
        Status.Phase == RolloutPhase::RolledBack)
      continue;
    json::object Item = rolloutJson(Status);
    Item["service"] = Status.Service.value();
    Result.push_back(std::move(Item));
  }
  return Result;
}

json::array quarantineJson(const ControlState &State) {
  json::array Result;
  auto Mesh = State.mesh();
  for (const auto &[Fingerprint, Entry] : Mesh->Quarantine) {
    json::object Item;
    Item["fingerprint"] = base::hex64(Fingerprint);
    Item["service"] = Entry.Service.value();
    Item["convicted"] = Entry.Convicted;
    Item["until"] = document::formatUtcTime(Entry.Until);
    Result.push_back(std::move(Item));
  }
  return Result;
}

json::array evacuationsJson(const ControlState &State) {
  json::array Result;
  for (const Evacuation &Each : State.evacuations()) {
    json::object Item;
    Item["zone"] = Each.Zone.value();
    Item["operator"] = Each.Operator.value();
    Item["since"] = document::formatUtcTime(Each.Since);
    Result.push_back(std::move(Item));
  }
  return Result;
}

json::array membersJson(const replication::ReplicatedLog &Log) {
  json::array Result;
  for (const replication::MemberStatus &Member : Log.members()) {
    json::object Item;
    // A string, because ids have 64 bits and many JSON parsers keep only 53.
    Item["id"] = std::to_string(Member.Id.value());
    Item["address"] = Member.Address;
    Item["voter"] = Member.Voter;
    Item["match"] = Member.MatchIndex.value();
    if (Member.SinceHeard)
      Item["since_heard_ms"] = Member.SinceHeard->count();
    Result.push_back(std::move(Item));
  }
  return Result;
}

json::object nodesJson(const StatusSource &Nodes) {
  json::object Result;
  ConvergenceStatus Convergence = Nodes.convergence();
  Result["document"] = Convergence.Document.value();
  Result["following"] = Convergence.Following;
  Result["applied"] = Convergence.Applied;
  Result["converged_after_ms"] =
      Convergence.Duration ? json::value(Convergence.Duration->count())
                           : nullptr;
  json::array List;
  for (const NodeStatus &Node : Nodes.nodes()) {
    json::object Item;
    Item["node"] = Node.Node.value();
    Item["zone"] = Node.Zone.value();
    Item["document"] = Node.Document.value();
    Item["state"] = Node.State.value();
    Item["since_heard_ms"] = Node.SinceHeard.count();
    List.push_back(std::move(Item));
  }
  Result["list"] = std::move(List);
  return Result;
}

} // namespace

ApplySections parseApply(std::string_view Text) {
  json::object Root = parseObject(Text);
  checkMembers(Root, {"operation", "changes"}, "body");
  ApplySections Result;
  std::string Operation = stringMember(Root, "operation", "body");
  if (!isOperationId(Operation))
    throw BadRequest("body: the member \"operation\" must have 1 to 128 "
                     "printable characters without spaces");
  Result.Operation = base::OperationId(std::move(Operation));
  const json::value *Changes = Root.if_contains("changes");
  if (!Changes || !Changes->is_array())
    throw BadRequest("body: the member \"changes\" must be an array");
  for (const json::value &Item : Changes->get_array())
    Result.Changes.push_back(
        parseChange(Item, fmt::format("changes[{}]", Result.Changes.size())));
  return Result;
}

VoterReplacement parseReplacement(std::string_view Text) {
  json::object Root = parseObject(Text);
  checkMembers(Root, {"lost", "replacement"}, "body");
  return {replicaMember(Root, "lost"), replicaMember(Root, "replacement")};
}

std::uint64_t parseFingerprint(std::string_view Text) {
  json::object Root = parseObject(Text);
  checkMembers(Root, {"fingerprint"}, "body");
  std::string Digits = stringMember(Root, "fingerprint", "body");
  constexpr std::size_t FingerprintDigits = 16;
  std::uint64_t Result = 0;
  const char *Last = Digits.data() + Digits.size();
  auto [End, Code] = std::from_chars(Digits.data(), Last, Result, 16);
  if (Code != std::errc() || End != Last || Digits.size() != FingerprintDigits)
    throw BadRequest(
        "body: the member \"fingerprint\" must have 16 hexadecimal "
        "digits");
  return Result;
}

std::string parseZone(std::string_view Text) {
  json::object Root = parseObject(Text);
  checkMembers(Root, {"zone"}, "body");
  return stringMember(Root, "zone", "body");
}

std::string acceptedJson(const std::string &Message) {
  json::object Result;
  Result["result"] = "accepted";
  if (!Message.empty())
    Result["message"] = Message;
  return json::serialize(Result);
}

std::string replacementJson(const VoterReplacement &Replaced) {
  json::object Result;
  Result["result"] = "accepted";
  Result["lost"] = std::to_string(Replaced.Lost.value());
  Result["replacement"] = std::to_string(Replaced.Replacement.value());
  return json::serialize(Result);
}

std::string errorJson(std::string_view Text, std::string_view Operation) {
  json::object Result;
  Result["error"] = json::string_view(Text.data(), Text.size());
  if (!Operation.empty())
    Result["operation"] = json::string_view(Operation.data(), Operation.size());
  return json::serialize(Result);
}

std::string resultJson(const CommandResult &Result,
                       const std::string &Operation) {
  json::object Out;
  Out["result"] = resultCodeName(Result.Code);
  Out["operation"] = Operation;
  Out["document"] = Result.Document.value();
  json::array Messages;
  for (const std::string &Message : Result.Messages)
    Messages.emplace_back(Message);
  Out["messages"] = std::move(Messages);
  json::object Revisions;
  for (const auto &[Section, Rev] : Result.Revisions)
    Revisions[Section] = Rev.value();
  Out["revisions"] = std::move(Revisions);
  return json::serialize(Out);
}

std::string documentJson(const ControlState &State, bool Stale) {
  json::object Result = responseHeader(State, Stale);
  json::array Sections;
  for (const StoredSection &Section : State.sections()) {
    json::object Item;
    Item["section"] = Section.Name;
    Item["owner"] = Section.Owner.value();
    Item["revision"] = Section.Rev.value();
    Item["digest"] = base::hex64(Section.Digest);
    Item["body"] = Section.Body;
    Sections.push_back(std::move(Item));
  }
  Result["sections"] = std::move(Sections);
  return json::serialize(Result);
}

std::string statusJson(const ControlState &State,
                       const replication::ReplicatedLog &Log,
                       const StatusSource &Nodes, bool Stale) {
  json::object Result = responseHeader(State, Stale);
  Result["state"] = State.stateIndex().value();
  Result["self"] = std::to_string(Log.self().value());
  auto Leader = Log.leader();
  Result["leader"] =
      Leader ? json::value(std::to_string(Leader->value())) : nullptr;
  Result["is_leader"] = Log.isLeader();
  Result["term"] = Log.term().value();
  Result["applied"] = Log.appliedIndex().value();
  Result["commit"] = Log.commitIndex().value();
  Result["since_current_ms"] = Log.staleness().count();
  Result["claims"] = State.claimCount();
  Result["members"] = membersJson(Log);
  Result["nodes"] = nodesJson(Nodes);
  Result["evacuated"] = evacuationsJson(State);
  Result["quarantine"] = quarantineJson(State);
  Result["rollouts"] = runningRolloutsJson(State);
  return json::serialize(Result);
}

std::string versionsJson(const ControlState &State, bool Stale) {
  json::object Result = responseHeader(State, Stale);
  std::map<base::ServiceName, RolloutStatus> Rollouts;
  for (RolloutStatus &Status : State.rollouts())
    Rollouts.emplace(Status.Service, std::move(Status));
  json::array Services;
  auto Mesh = State.mesh();
  for (const auto &[Name, Service] : Mesh->Services) {
    json::object Item;
    Item["service"] = Name.value();
    json::array Versions;
    for (const document::VersionShare &Version : Service.Versions) {
      json::object Entry;
      Entry["version"] = Version.Version.value();
      Entry["share_percent"] = toPercent(Version.Share);
      Entry["barred"] = Version.Barred;
      Versions.push_back(std::move(Entry));
    }
    Item["versions"] = std::move(Versions);
    auto It = Rollouts.find(Name);
    Item["rollout"] = It == Rollouts.end()
                          ? json::value(nullptr)
                          : json::value(rolloutJson(It->second));
    Services.push_back(std::move(Item));
  }
  Result["services"] = std::move(Services);
  return json::serialize(Result);
}

std::string auditJson(const ControlState &State, std::size_t Limit,
                      bool Stale) {
  json::object Result = responseHeader(State, Stale);
  json::array Entries;
  for (const AuditEntry &Entry : State.audit(Limit)) {
    json::object Item;
    Item["index"] = Entry.Index.value();
    Item["time"] = document::formatUtcTime(Entry.Time);
    Item["actor"] = Entry.Actor;
    Item["section"] = Entry.Section;
    Item["old_revision"] = Entry.OldRevision.value();
    Item["new_revision"] = Entry.NewRevision.value();
    Item["digest"] = base::hex64(Entry.Digest);
    Item["operation"] = Entry.Operation;
    Item["result"] = Entry.Result;
    Item["reason"] = Entry.Reason;
    Entries.push_back(std::move(Item));
  }
  Result["entries"] = std::move(Entries);
  return json::serialize(Result);
}

} // namespace amaranth::control::detail
