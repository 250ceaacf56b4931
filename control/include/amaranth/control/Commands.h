#ifndef AMARANTH_CONTROL_COMMANDS_H
#define AMARANTH_CONTROL_COMMANDS_H

#include "amaranth/base/Bytes.h"
#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"
#include "amaranth/document/MeshSnapshot.h"
#include "amaranth/document/WholeDocument.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace amaranth::control {

/// A change to one section of the document.
struct SectionChange {
  /// Name as in the document, for example `route booking`.
  std::string Section;
  /// Revision that the change is based on; 0 creates the section.
  base::Revision Expected;
  /// Body lines without the `[section]` header; `nullopt` deletes the section.
  std::optional<std::string> Body;
};

/// Changes one or more sections on behalf of an operator. Either all changes
/// are applied or none.
struct ApplySections {
  base::OperatorName Operator;
  /// Teams of the operator, as listed in the keys file of the process that
  /// authenticated the request.
  std::vector<base::TeamName> Teams;
  base::OperationId Operation;
  std::vector<SectionChange> Changes;
};

/// Stores the endpoint that a node reported for its upstream.
struct PutEndpoint {
  document::Endpoint Entry;
};

/// Marks endpoints unreachable because their leases expired. An endpoint whose
/// incarnation or sequence is higher than the one given is left unchanged.
struct ExpireEndpoints {
  struct Item {
    base::EndpointId Id;
    std::uint64_t Incarnation = 0;
    std::uint64_t Sequence = 0;
  };
  std::vector<Item> Items;
};

/// Claims the exclusive right to execute a non-idempotent request.
struct Claim {
  base::ServiceName Service;
  std::string IdempotencyKey;
  /// Hash of method and target. A key that was used with a different hash is
  /// refused.
  std::uint64_t RequestHash = 0;
  /// Identifies one attempt at one upstream.
  std::string Attempt;
};

/// Largest response body that is stored with a claim, in bytes.
inline constexpr std::size_t MaxStoredBodyBytes = 16U << 10U;
/// How long claims are kept.
inline constexpr base::Millis ClaimRetention = base::Millis::seconds(86'400);

struct StoredResponse {
  std::uint16_t Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
};

/// Finishes a claim and stores the response for replay. Without a response the
/// claim is kept, and retries are told that the outcome is unknown.
struct FinishClaim {
  base::ServiceName Service;
  std::string IdempotencyKey;
  std::string Attempt;
  std::optional<StoredResponse> Response;
};

/// Releases a claim. Sent only when no byte of the request reached the
/// upstream.
struct ReleaseClaim {
  base::ServiceName Service;
  std::string IdempotencyKey;
  std::string Attempt;
};

enum class RolloutPhase : std::uint8_t {
  Waiting = 1,
  Stepping = 2,
  Watching = 3,
  Done = 4,
  RolledBack = 5,
};

/// A decision of the rollout controller.
struct RolloutDecision {
  base::ServiceName Service;
  /// Revision of the `rollout` section that the decision applies to.
  base::Revision Section;
  /// Epoch before the decision; a decision made on an older one is refused.
  std::uint64_t ExpectedEpoch = 0;
  RolloutPhase Phase = RolloutPhase::Waiting;
  /// Share of the new version in millionths.
  std::uint32_t Share = 0;
  std::uint32_t Step = 0;
  std::string Reason;
};

/// Reports the requests that may have crashed an upstream, because they were
/// running there. Safe to retry.
struct ReportCrash {
  base::ServiceName Service;
  base::EndpointId Upstream;
  std::vector<std::uint64_t> Fingerprints;
  /// Random id of the crash. A report with a known id has no further effect.
  std::uint64_t Crash = 0;
};

/// Has no effect. Logs of earlier versions contain it.
struct BeginSuspectRun {
  base::ServiceName Service;
  std::uint64_t Fingerprint = 0;
  std::string Attempt;
};

/// Reports the result of a suspect's run: the suspect either crashed an
/// upstream at which no other suspect was running, and is convicted, or is
/// cleared. Safe to retry. A convicted request is not cleared.
struct EndSuspectRun {
  base::ServiceName Service;
  std::uint64_t Fingerprint = 0;
  std::string Attempt;
  bool Crashed = false;
};
/// How long a convicted request is refused. Suspects are kept for the same
/// time.
inline constexpr base::Millis ConvictionDuration = base::Millis::seconds(600);

/// Ends the quarantine of a request before its time. A request that is not in
/// quarantine is a `Conflict`.
struct LiftQuarantine {
  base::OperatorName Operator;
  std::uint64_t Fingerprint = 0;
};

/// Replaces the whole document by one based on `Change.Base`. Refused while the
/// document consists of sections.
struct ReplaceDocument {
  base::OperatorName Operator;
  document::WholeDocumentChange Change;
};

/// Starts a rollout that moves the traffic of a service to the upstreams of a
/// version within `Duration` or is rolled back. Safe to retry.
struct StartRollout {
  base::OperatorName Operator;
  base::ServiceName Service;
  base::VersionName To;
  base::Millis Duration;
};

/// A repeated `StartRollout` of the same version within this time after the
/// first one is treated as a retry, even when the rollout was rolled back.
inline constexpr base::Millis RolloutResendWindow = base::Millis::seconds(30);

enum class TimedRolloutPhase : std::uint8_t {
  /// The new version receives a share of the traffic.
  Active = 1,
  /// All traffic goes to the new version; requests may still be in flight at
  /// the old one.
  Finishing = 2,
  Complete = 3,
  RolledBack = 4,
};

/// Whether a rollout in this phase accepts further decisions.
inline bool isRunning(TimedRolloutPhase Phase) {
  return Phase == TimedRolloutPhase::Active ||
         Phase == TimedRolloutPhase::Finishing;
}

/// A decision about a rollout that was started by `StartRollout`.
struct TimedDecision {
  base::ServiceName Service;
  /// Log index of the `StartRollout` command.
  base::LogIndex Order;
  /// Epoch before the decision; a decision made on an older one is refused.
  std::uint64_t ExpectedEpoch = 0;
  TimedRolloutPhase Phase = TimedRolloutPhase::Active;
  /// Share of the new version in millionths.
  std::uint32_t Share = 0;
  /// Time since the start, for leaders that did not observe the start.
  base::Millis Elapsed;
  std::string Reason;
};

/// Orders that the upstreams of a zone get no requests, or takes that back.
/// Safe to retry.
struct SetEvacuation {
  base::OperatorName Operator;
  base::AvailabilityZone Zone;
  bool Active = false;
  /// Log index that the process had applied when it received the order, after
  /// it had confirmed that it was current. An order that was under way while
  /// the opposite one was committed has no effect.
  base::LogIndex Seen;
  /// The process knows a node or control process of the zone.
  bool ZoneKnown = false;
};

/// A repeated order has no effect within this time after the first one if
/// another operator has ordered the opposite since.
inline constexpr base::Millis EvacuationResendWindow =
    base::Millis::seconds(30);

/// The alternatives are in the order of the `CommandBody` union in the schema.
using Command =
    std::variant<ApplySections, PutEndpoint, ExpireEndpoints, Claim,
                 FinishClaim, ReleaseClaim, RolloutDecision, ReportCrash,
                 BeginSuspectRun, EndSuspectRun, ReplaceDocument, StartRollout,
                 TimedDecision, LiftQuarantine, SetEvacuation>;

/// Outcome of a command, in order of severity.
enum class ResultCode : std::uint8_t {
  Accepted = 1,
  /// `Claim`: the request is finished; `Stored` holds the response.
  Replay = 2,
  /// `Claim`: held by another attempt; the outcome is unknown.
  Taken = 3,
  /// The expected revision, epoch or sequence does not match the current one.
  Conflict = 4,
  /// The operator does not own a section.
  Forbidden = 5,
  /// The resulting document would be invalid.
  Invalid = 6,
  /// A table is full.
  Busy = 7,
  /// The command could not be decoded.
  Malformed = 8,
};

struct CommandResult {
  ResultCode Code = ResultCode::Malformed;
  /// Messages for operators: what was refused and why, one line each.
  std::vector<std::string> Messages;
  /// `ApplySections` and `ReplaceDocument`: current document version, which
  /// includes an accepted change.
  base::DocumentVersion Document;
  /// `ApplySections`: new or current revision of each section in the change.
  std::vector<std::pair<std::string, base::Revision>> Revisions;
  std::optional<StoredResponse> Stored;
};

/// Binary encodings. The decoders throw `base::ProtocolError` on malformed
/// input.
base::Bytes encodeCommand(const Command &Value);
Command decodeCommand(base::ByteView Data);
base::Bytes encodeResult(const CommandResult &Value);
CommandResult decodeResult(base::ByteView Data);

} // namespace amaranth::control

#endif
