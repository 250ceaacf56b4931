#include "NodeStatistics.h"

#include "amaranth/base/Log.h"

#include <fmt/ranges.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace amaranth::control::detail {

namespace {

constexpr std::size_t MaxVersions = 1000;
constexpr base::Millis RecordRetention = base::Millis::seconds(600);
/// Nodes that have not acknowledged a version by then are logged.
constexpr base::Millis LaggardDelay = base::Millis(1000);
constexpr std::size_t MaxLoggedLaggards = 8;
/// Upper bounds in milliseconds. The target for convergence is 18 s; the last
/// buckets show by how much a version missed it.
const prometheus::Histogram::BucketBoundaries ConvergenceBuckets = {
    50, 100, 200, 500, 1000, 2000, 5000, 10'000, 18'000, 60'000};

prometheus::Counter &counter(prometheus::Registry &Metrics, const char *Name,
                             const char *Help) {
  return prometheus::BuildCounter().Name(Name).Help(Help).Register(Metrics).Add(
      {});
}

} // namespace

NodeStatistics::NodeStatistics(base::Clock &Time, prometheus::Registry &Metrics)
    : Time(Time), Bytes(&counter(Metrics, "amaranth_control_bytes_total",
                                 "Bytes sent to nodes")),
      Snapshots(&counter(Metrics, "amaranth_control_snapshots_total",
                         "Snapshots sent to nodes")),
      Deltas(&counter(Metrics, "amaranth_control_deltas_total",
                      "Deltas sent to nodes")),
      RetryAfters(&counter(Metrics, "amaranth_control_retry_after_total",
                           "Nodes told to come back later")),
      Refusals(&counter(Metrics, "amaranth_control_refused_updates_total",
                        "Updates that nodes refused")),
      NodeCount(&prometheus::BuildGauge()
                     .Name("amaranth_control_nodes")
                     .Help("Connected nodes")
                     .Register(Metrics)
                     .Add({})),
      Convergence(&prometheus::BuildHistogram()
                       .Name("amaranth_control_convergence_ms")
                       .Help("Time from commit to the last acknowledgement")
                       .Register(Metrics)
                       .Add({}, ConvergenceBuckets)) {}

std::uint64_t NodeStatistics::recordConnection(const protocol::Identity &Node) {
  Record &Entry = Records[base::NodeId(Node.Id)];
  if (Entry.Status.Connected)
    removeFromVersion(Entry.Status.Document);
  else
    NodeCount->Increment();
  Entry.Status.Node = base::NodeId(Node.Id);
  Entry.Status.Zone = Node.Zone;
  Entry.Status.Connected = true;
  Entry.Status.Document = {};
  Entry.Status.State = {};
  Entry.LastHeard = Time.now();
  Entry.Connection = ++Connections;
  return Entry.Connection;
}

void NodeStatistics::recordDisconnection(const base::NodeId &Node,
                                         std::uint64_t Connection) {
  Record &Entry = Records[Node];
  if (Entry.Connection != Connection)
    return;
  Entry.Status.Connected = false;
  removeFromVersion(Entry.Status.Document);
  NodeCount->Decrement();
  updateConvergence();
}

void NodeStatistics::recordMessage(const base::NodeId &Node) {
  Records[Node].LastHeard = Time.now();
}

void NodeStatistics::recordAcknowledgement(const base::NodeId &Node,
                                           base::DocumentVersion Document,
                                           base::StateIndex State) {
  ServedNode &Status = Records[Node].Status;
  removeFromVersion(Status.Document);
  Status.Document = Document;
  Status.State = State;
  if (Document.value() != 0)
    ++NodesByVersion[Document];
  updateConvergence();
}

void NodeStatistics::recordRefusal(const base::NodeId &Node,
                                   const std::string &Reason) {
  ServedNode &Status = Records[Node].Status;
  ++Status.Failures;
  Status.LastFailure = Reason;
  Refusals->Increment();
}

void NodeStatistics::recordSentBytes(const base::NodeId &Node,
                                     std::uint64_t Count) {
  Records[Node].Status.BytesSent += Count;
  Bytes->Increment(static_cast<double>(Count));
}

void NodeStatistics::countSnapshot() { Snapshots->Increment(); }
void NodeStatistics::countDelta() { Deltas->Increment(); }
void NodeStatistics::countRetryAfter() { RetryAfters->Increment(); }

void NodeStatistics::recordCommit(base::DocumentVersion Document) {
  if (!Versions.empty() && Versions.back().Document >= Document)
    return;
  Versions.push_back({Document, Time.now(), std::nullopt, false});
  if (Versions.size() > MaxVersions)
    Versions.pop_front();
}

void NodeStatistics::removeFromVersion(base::DocumentVersion Document) {
  auto Found = NodesByVersion.find(Document);
  if (Found != NodesByVersion.end() && --Found->second == 0)
    NodesByVersion.erase(Found);
}

void NodeStatistics::updateConvergence() {
  if (NodesByVersion.empty())
    return;
  base::DocumentVersion Oldest = NodesByVersion.begin()->first;
  for (auto It = Versions.rbegin(); It != Versions.rend(); ++It) {
    if (It->Document > Oldest)
      continue;
    if (It->Duration)
      return;
    It->Duration = Time.now() - It->SeenAt;
    base::logger("control")->info(
        "document acknowledged by all nodes document={} duration_ms={}",
        It->Document.value(), It->Duration->count());
    Convergence->Observe(static_cast<double>(It->Duration->count()));
  }
}

std::vector<ServedNode> NodeStatistics::nodes(base::StateIndex Newest) const {
  std::vector<ServedNode> All;
  for (const auto &[Node, Entry] : Records) {
    ServedNode Status = Entry.Status;
    if (Newest > Status.State)
      Status.EntriesBehind = Newest.value() - Status.State.value();
    Status.SinceHeard = Time.now() - Entry.LastHeard;
    All.push_back(std::move(Status));
  }
  return All;
}

std::vector<VersionConvergence> NodeStatistics::convergence() const {
  std::vector<VersionConvergence> All;
  for (const Version &Entry : Versions)
    All.push_back({Entry.Document, Entry.Duration});
  return All;
}

void NodeStatistics::reportLaggards() {
  for (Version &Entry : Versions) {
    if (Entry.Reported || Entry.Duration ||
        Time.now() - Entry.SeenAt < LaggardDelay)
      continue;
    Entry.Reported = true;
    std::vector<std::string> Names;
    std::size_t Count = 0;
    for (const auto &[Node, Record] : Records) {
      const ServedNode &Status = Record.Status;
      if (!Status.Connected || Status.Document >= Entry.Document)
        continue;
      if (++Count <= MaxLoggedLaggards)
        Names.push_back(
            fmt::format("{}:{}", Node.value(), Status.Document.value()));
    }
    if (Count != 0)
      base::logger("control")->warn(
          "document not acknowledged by all nodes document={} since_ms={} "
          "missing={} nodes={}",
          Entry.Document.value(), (Time.now() - Entry.SeenAt).count(), Count,
          fmt::join(Names, ","));
  }
}

void NodeStatistics::prune() {
  std::erase_if(Records, [&](const auto &Entry) {
    return !Entry.second.Status.Connected &&
           Time.now() - Entry.second.LastHeard > RecordRetention;
  });
}

} // namespace amaranth::control::detail
