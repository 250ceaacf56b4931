#ifndef AMARANTH_CONTROL_FOLLOWMESSAGES_H
#define AMARANTH_CONTROL_FOLLOWMESSAGES_H

#include "amaranth/base/Bytes.h"
#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"
#include "amaranth/rollout/Evidence.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace amaranth::control {

/// Messages between a node and its control process, apart from snapshots and
/// deltas (`document/SnapshotCodec.h`). Every decoder throws
/// `base::ProtocolError` on malformed or oversized input.

/// What a node has applied and wants to follow.
struct Subscribe {
  base::DocumentVersion Document;
  base::StateIndex State;
  std::uint64_t Digest = 0;
  /// The node never applied a snapshot since it started.
  bool Fresh = true;
  /// Empty: all services.
  std::set<base::ServiceName> Services;
};

struct Acknowledge {
  base::DocumentVersion Document;
  base::StateIndex State;
};

/// The update to `State` was refused whole.
struct ApplyFailure {
  base::StateIndex State;
  std::string Reason;
};

/// The control process is busy; the node subscribes again after the delay.
struct RetryAfter {
  base::Millis Delay;
};

/// Sent twice a second.
struct Currency {
  base::LogIndex Applied;
  /// Since the control process last heard from a leader or a majority.
  base::Millis SinceCurrent;
  /// Addresses of all control processes; empty when they have not changed
  /// since the last message of the connection.
  std::vector<std::string> Controls;
};
/// Largest accepted number of control processes in one message.
inline constexpr std::size_t MaxControlAddresses = 64;

/// Answer to an endpoint update.
struct EndpointResult {
  base::EndpointId Id;
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  bool Committed = false;
  /// False on a refusal that sending the same update again cannot change.
  bool Retry = true;
  /// Log index applied at the control process when it answered.
  base::LogIndex Applied;
  std::string Reason;
};

/// A command of a node; the correlation id is the stream of the frame.
struct CallRequest {
  base::Millis Timeout;
  base::Bytes Command;
};

enum class CallStatus : std::uint8_t { Done = 1, NotApplied = 2, Unknown = 3 };

struct CallReply {
  CallStatus Status = CallStatus::Unknown;
  /// An encoded `CommandResult` when done.
  base::Bytes Result;
  std::string Reason;
};

/// From a control process to the leader, each second.
struct LeaderReport {
  std::vector<base::NodeId> Nodes;
  rollout::EvidenceReport Evidence;
};

/// Largest accepted number of services in a subscription.
inline constexpr std::size_t MaxSubscribedServices = 10'000;
/// Largest accepted number of evidence entries in one message. An entry with
/// the longest names and a full histogram takes about 600 bytes.
inline constexpr std::size_t MaxEvidenceEntries = 1'000;
/// Evidence entries that a process collects for one second; further keys are
/// dropped.
inline constexpr std::size_t MaxCollectedEvidence = 10'000;
/// Largest accepted number of nodes in a report to the leader.
inline constexpr std::size_t MaxReportedNodes = 20'000;

/// Adds a report to a sum, within `MaxCollectedEvidence`.
void mergeEvidence(rollout::EvidenceReport &Total,
                   const rollout::EvidenceReport &Report);
/// Parts that each fit into one message; none for an empty report.
std::vector<rollout::EvidenceReport>
splitEvidence(const rollout::EvidenceReport &Report);

base::Bytes encode(const Subscribe &Value);
base::Bytes encode(const Acknowledge &Value);
base::Bytes encode(const ApplyFailure &Value);
base::Bytes encode(const RetryAfter &Value);
base::Bytes encode(const Currency &Value);
base::Bytes encode(const EndpointResult &Value);
base::Bytes encode(const CallRequest &Value);
base::Bytes encode(const CallReply &Value);
base::Bytes encode(const rollout::EvidenceReport &Value);
base::Bytes encode(const LeaderReport &Value);

Subscribe decodeSubscribe(base::ByteView Data);
Acknowledge decodeAcknowledge(base::ByteView Data);
ApplyFailure decodeApplyFailure(base::ByteView Data);
RetryAfter decodeRetryAfter(base::ByteView Data);
Currency decodeCurrency(base::ByteView Data);
EndpointResult decodeEndpointResult(base::ByteView Data);
CallRequest decodeCallRequest(base::ByteView Data);
CallReply decodeCallReply(base::ByteView Data);
rollout::EvidenceReport decodeEvidenceReport(base::ByteView Data);
LeaderReport decodeLeaderReport(base::ByteView Data);

} // namespace amaranth::control

#endif
