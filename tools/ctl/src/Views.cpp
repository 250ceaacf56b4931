#include "Views.h"

#include "JsonView.h"

#include <fmt/format.h>

namespace json = boost::json;

namespace amaranth::ctl {

std::vector<document::SectionText> readDocument(const std::string &Json) {
  json::value Root = parse(Json);
  std::vector<document::SectionText> Result;
  for (const json::value &Item : list(Root, "sections"))
    Result.push_back({text(Item, "section"),
                      text(Item, "body"),
                      {},
                      base::Revision(number(member(Item, "revision")))});
  return Result;
}

void printVersions(std::ostream &Out, const std::string &Json) {
  json::value Root = parse(Json);
  for (const json::value &Service : list(Root, "services")) {
    Out << text(Service, "service") << '\n';
    for (const json::value &Version : list(Service, "versions"))
      Out << fmt::format(
          "  {} {:g} %{}\n", text(Version, "version"), percent(Version),
          text(Version, "barred") == "true" ? " rolled back" : "");
    if (const json::value &Rollout = member(Service, "rollout");
        Rollout.is_object()) {
      Out << "  ";
      printRollout(Out, Rollout);
    }
  }
}

void printAudit(std::ostream &Out, const std::string &Json) {
  json::value Root = parse(Json);
  for (const json::value &Entry : list(Root, "entries"))
    Out << fmt::format(
        "{} #{} {} [{}] {} -> {} {} {} {}\n", text(Entry, "time"),
        text(Entry, "index"), text(Entry, "actor"), text(Entry, "section"),
        text(Entry, "old_revision"), text(Entry, "new_revision"),
        text(Entry, "result"), text(Entry, "operation"), text(Entry, "reason"));
}

bool isStale(const std::string &Json) {
  json::value Root = parse(Json);
  const json::value *Value = Root.get_object().if_contains("stale");
  return Value && Value->is_bool() && Value->get_bool();
}

std::string errorText(const std::string &Json) {
  boost::system::error_code Failure;
  json::value Root = json::parse(Json, Failure);
  if (Failure || !Root.is_object())
    return Json;
  const json::value *Value = Root.get_object().if_contains("error");
  return Value && Value->is_string() ? std::string(Value->get_string()) : Json;
}

ApplyResult readApplyResult(const std::string &Json) {
  json::value Root = parse(Json);
  ApplyResult Result;
  Result.Document = number(member(Root, "document"));
  for (const json::value &Message : list(Root, "messages"))
    if (Message.is_string())
      Result.Messages.emplace_back(Message.get_string());
  const json::value &Revisions = member(Root, "revisions");
  if (Revisions.is_object())
    for (const auto &Item : Revisions.get_object())
      Result.Revisions.emplace_back(std::string(Item.key()),
                                    number(Item.value()));
  return Result;
}

std::string applyBody(const std::string &Operation,
                      const std::vector<Change> &Changes) {
  json::object Root;
  Root["operation"] = Operation;
  json::array List;
  for (const Change &Each : Changes) {
    json::object Item;
    Item["section"] = Each.Section;
    Item["expected"] = Each.Expected;
    if (Each.Delete)
      Item["delete"] = true;
    else
      Item["body"] = Each.Body;
    List.push_back(std::move(Item));
  }
  Root["changes"] = std::move(List);
  return json::serialize(Root);
}

std::string fingerprintBody(const std::string &Fingerprint) {
  json::object Root;
  Root["fingerprint"] = Fingerprint;
  return json::serialize(Root);
}

std::string zoneBody(const std::string &Zone) {
  json::object Root;
  Root["zone"] = Zone;
  return json::serialize(Root);
}

std::string messageText(const std::string &Json) {
  json::value Root = parse(Json);
  const json::value *Value =
      Root.is_object() ? Root.get_object().if_contains("message") : nullptr;
  return Value && Value->is_string() ? std::string(Value->get_string()) : "";
}

std::string replacementBody(base::ReplicaId Lost, base::ReplicaId Replacement) {
  json::object Root;
  // Ids are sent as strings: they have 64 bits, and many JSON parsers keep only
  // 53 bits of a number.
  Root["lost"] = std::to_string(Lost.value());
  Root["replacement"] = std::to_string(Replacement.value());
  return json::serialize(Root);
}

std::string diffJson(const std::vector<document::SectionDiff> &Diff) {
  json::array Result;
  for (const document::SectionDiff &Section : Diff) {
    json::object Item;
    Item["section"] = Section.Name;
    Item["kind"] = Section.Kind == document::DiffKind::Added     ? "added"
                   : Section.Kind == document::DiffKind::Removed ? "removed"
                                                                 : "changed";
    json::array Lines;
    for (const document::DiffLine &Line : Section.Lines)
      Lines.emplace_back(fmt::format("{} {}", Line.Mark, Line.Text));
    Item["lines"] = std::move(Lines);
    Result.push_back(std::move(Item));
  }
  return json::serialize(Result);
}

std::string faultsJson(const std::vector<base::FileFault> &Faults) {
  json::array Result;
  for (const base::FileFault &Fault : Faults) {
    json::object Item;
    Item["file"] = Fault.File;
    Item["line"] = Fault.Line;
    Item["section"] = Fault.Section;
    Item["key"] = Fault.Key;
    Item["reason"] = Fault.Reason;
    Result.push_back(std::move(Item));
  }
  return json::serialize(Result);
}

} // namespace amaranth::ctl
