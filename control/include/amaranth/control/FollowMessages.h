#ifndef AMARANTH_CONTROL_FOLLOWMESSAGES_H
#define AMARANTH_CONTROL_FOLLOWMESSAGES_H

#include "amaranth/base/Bytes.h"
#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"
#include "amaranth/protocol/Frame.h"
#include "amaranth/rollout/Evidence.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace amaranth::control {

/// Messages between a node and its control process. Snapshots and deltas are
/// defined in `document/SnapshotCodec.h`. Every decoder throws
/// `base::ProtocolError` on malformed or oversized input.

/// Subscribes a node to updates and reports the state that it has applied.
struct Subscribe {
  base::DocumentVersion Document;
  base::StateIndex State;
  std::uint64_t Digest = 0;
  /// The node has not applied a snapshot since it started.
  bool Fresh = true;
  /// Services to subscribe to; empty means all.
  std::set<base::ServiceName> Services;
  /// Updates may be sent as `CompressedUpdate`. Nodes of earlier versions do
  /// not set it.
  bool AcceptsCompressed = false;
};

/// A snapshot piece or a delta in compressed form.
struct CompressedUpdate {
  protocol::MessageType Type = protocol::MessageType::Delta;
  /// The message itself.
  base::Bytes Payload;
};

struct Acknowledge {
  base::DocumentVersion Document;
  base::StateIndex State;
};

/// The node rejected the update to `State` and applied no part of it.
struct ApplyFailure {
  base::StateIndex State;
  std::string Reason;
};

/// The control process cannot serve the subscription now. The node subscribes
/// again after the delay.
struct RetryAfter {
  base::Millis Delay;
};

/// Tells a node how up to date its control process is. Sent first on each
/// connection, every 500 ms, and after each subscription.
struct Currency {
  base::LogIndex Applied;
  /// Time since the control process last heard from a leader or, as the leader,
  /// from a majority.
  base::Millis SinceCurrent;
  /// Addresses of the members of the cluster when `Applied` was applied, so
  /// that lists can be ordered. Empty if they are unchanged since the last time
  /// they were sent on this connection.
  std::vector<std::string> Controls;
};
/// Maximum number of control process addresses in a message.
inline constexpr std::size_t MaxControlAddresses = 64;

/// Response to an endpoint update.
struct EndpointResult {
  base::EndpointId Id;
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  bool Committed = false;
  /// False if the update was rejected permanently, so that a retry would fail
  /// in the same way.
  bool Retry = true;
  /// Log index that the control process had applied when it responded.
  base::LogIndex Applied;
  std::string Reason;
};

/// A command from a node. The stream id of the frame correlates the reply.
struct CallRequest {
  base::Millis Timeout;
  base::Bytes Command;
};

enum class CallStatus : std::uint8_t { Done = 1, NotApplied = 2, Unknown = 3 };

struct CallReply {
  CallStatus Status = CallStatus::Unknown;
  /// The encoded `CommandResult` if the status is `Done`.
  base::Bytes Result;
  std::string Reason;
};

/// Periodic report from a control process to the leader: the connected nodes
/// and the rollout evidence that they sent.
struct LeaderReport {
  std::vector<base::NodeId> Nodes;
  rollout::EvidenceReport Evidence;
};

/// Maximum number of services in a subscription.
inline constexpr std::size_t MaxSubscribedServices = 10'000;
/// Maximum number of evidence entries in a message. An entry with the longest
/// names and a full histogram takes about 600 bytes.
inline constexpr std::size_t MaxEvidenceEntries = 1'000;
/// Maximum number of evidence entries that a process accumulates between two
/// reports. Entries with further keys are dropped.
inline constexpr std::size_t MaxCollectedEvidence = 10'000;
/// Maximum number of nodes in a report to the leader.
inline constexpr std::size_t MaxReportedNodes = 20'000;

/// Adds the counts of `Report` to `Total`, up to `MaxCollectedEvidence` keys.
void mergeEvidence(rollout::EvidenceReport &Total,
                   const rollout::EvidenceReport &Report);
/// Splits a report into parts that each fit into one message. Returns no parts
/// for an empty report.
std::vector<rollout::EvidenceReport>
splitEvidence(const rollout::EvidenceReport &Report);

base::Bytes encode(const Subscribe &Value);
base::Bytes encode(const CompressedUpdate &Value);
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
CompressedUpdate decodeCompressedUpdate(base::ByteView Data);
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
