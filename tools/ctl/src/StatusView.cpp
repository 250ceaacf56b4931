#include "JsonView.h"
#include "Views.h"

#include <fmt/format.h>

#include <map>

namespace json = boost::json;

namespace amaranth::ctl {

namespace {

/// Lists each node once. A node that switched to another control process may
/// be in two lists; the entry heard most recently is kept.
json::array mergeNodes(const std::vector<json::value> &Bodies) {
  std::map<std::string, const json::value *> Newest;
  for (const json::value &Body : Bodies) {
    for (const json::value &Node : list(member(Body, "nodes"), "list")) {
      const json::value *&Known = Newest[text(Node, "node")];
      if (!Known || number(member(Node, "since_heard_ms")) <
                        number(member(*Known, "since_heard_ms")))
        Known = &Node;
    }
  }
  json::array Result;
  for (const auto &[Name, Node] : Newest)
    Result.push_back(*Node);
  return Result;
}

json::object serverEntry(const StatusResponse &Response,
                         const json::value *Body) {
  json::object Result;
  Result["server"] = Response.Server;
  Result["answered"] = Body != nullptr;
  if (!Body) {
    Result["problem"] = errorText(Response.Problem);
    return Result;
  }
  const json::value &Nodes = member(*Body, "nodes");
  Result["self"] = member(*Body, "self");
  for (const char *Name :
       {"following", "applied", "document", "converged_after_ms"})
    Result[Name] = member(Nodes, Name);
  return Result;
}

void printServer(std::ostream &Out, const json::value &Server) {
  if (!flag(Server, "answered")) {
    Out << fmt::format("server {} did not answer: {}\n", text(Server, "server"),
                       text(Server, "problem"));
    return;
  }
  Out << fmt::format("server {}: {} follow this process, {} have document {}",
                     text(Server, "server"), text(Server, "following"),
                     text(Server, "applied"), text(Server, "document"));
  if (!member(Server, "converged_after_ms").is_null())
    Out << fmt::format(", all after {} ms", text(Server, "converged_after_ms"));
  Out << '\n';
}

void printMembers(std::ostream &Out, const json::value &Root) {
  // Only the leader knows how far the log of each member matches its own.
  bool Known = flag(Root, "is_leader");
  for (const json::value &Item : list(Root, "members"))
    Out << fmt::format("member {} {} {} match {}\n", text(Item, "id"),
                       text(Item, "address"),
                       flag(Item, "voter") ? "voter" : "learner",
                       Known ? text(Item, "match") : "known to the leader");
}

} // namespace

std::string mergeStatus(const std::vector<StatusResponse> &Responses) {
  std::vector<json::value> Bodies;
  json::array Servers;
  for (const StatusResponse &Response : Responses) {
    if (Response.Json.empty()) {
      Servers.push_back(serverEntry(Response, nullptr));
      continue;
    }
    Bodies.push_back(parse(Response.Json));
    Servers.push_back(serverEntry(Response, &Bodies.back()));
  }
  json::value Root = Bodies.at(0);
  for (const json::value &Body : Bodies) {
    if (flag(Body, "is_leader")) {
      Root = Body;
      break;
    }
  }
  json::object Nodes;
  Nodes["list"] = mergeNodes(Bodies);
  Root.get_object()["nodes"] = std::move(Nodes);
  Root.get_object()["servers"] = std::move(Servers);
  return json::serialize(Root);
}

void printStatus(std::ostream &Out, const std::string &Json) {
  json::value Root = parse(Json);
  Out << fmt::format("document {}, state {}, applied {} of {}, term {}\n",
                     text(Root, "document"), text(Root, "state"),
                     text(Root, "applied"), text(Root, "commit"),
                     text(Root, "term"));
  Out << fmt::format("leader {}, this process {}, current {} ms ago\n",
                     text(Root, "leader"), text(Root, "self"),
                     text(Root, "since_current_ms"));
  printMembers(Out, Root);
  for (const json::value &Server : list(Root, "servers"))
    printServer(Out, Server);
  for (const json::value &Item : list(member(Root, "nodes"), "list"))
    Out << fmt::format("node {} zone {} document {} heard {} ms ago\n",
                       text(Item, "node"), text(Item, "zone"),
                       text(Item, "document"), text(Item, "since_heard_ms"));
  for (const json::value &Item : list(Root, "rollouts")) {
    Out << text(Item, "service") << ": ";
    printRollout(Out, Item);
  }
  // Absent in the responses of earlier versions.
  if (Root.get_object().contains("evacuated"))
    for (const json::value &Item : list(Root, "evacuated"))
      Out << fmt::format("zone {} is evacuated since {} by {}\n",
                         text(Item, "zone"), text(Item, "since"),
                         text(Item, "operator"));
  for (const json::value &Item : list(Root, "quarantine"))
    Out << fmt::format("quarantine {} service {} {} until {}\n",
                       text(Item, "fingerprint"), text(Item, "service"),
                       flag(Item, "convicted") ? "convicted" : "suspect",
                       text(Item, "until"));
}

} // namespace amaranth::ctl
