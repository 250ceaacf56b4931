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

/// Change of one section of the document.
struct SectionChange {
  /// Name as in the document, for example `route booking`.
  std::string Section;
  /// Revision that the operator saw; 0 creates the section.
  base::Revision Expected;
  /// Body lines without the `[section]` line; empty optional deletes.
  std::optional<std::string> Body;
};

/// An operator's change of some sections; all or nothing.
struct ApplySections {
  base::OperatorName Operator;
  /// Teams of the operator, from the keys file of the process that
  /// authenticated the request.
  std::vector<base::TeamName> Teams;
  base::OperationId Operation;
  std::vector<SectionChange> Changes;
};

/// A node's report about its upstream.
struct PutEndpoint {
  document::Endpoint Entry;
};

/// The leases of these endpoints ran out. An entry with a higher incarnation
/// or sequence than the one named is not touched.
struct ExpireEndpoints {
  struct Item {
    base::EndpointId Id;
    std::uint64_t Incarnation = 0;
    std::uint64_t Sequence = 0;
  };
  std::vector<Item> Items;
};

/// Takes the right to run a non-idempotent request.
struct Claim {
  base::ServiceName Service;
  std::string IdempotencyKey;
  /// Hash of method and target; a key used for another request is refused.
  std::uint64_t RequestHash = 0;
  /// Unique for one attempt at one upstream.
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

/// Stores the response of a claimed request for replay. Without a response
/// the claim stays taken and later resends get "outcome unknown".
struct FinishClaim {
  base::ServiceName Service;
  std::string IdempotencyKey;
  std::string Attempt;
  std::optional<StoredResponse> Response;
};

/// Gives a claim back; only sent when no byte reached the upstream.
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
  /// Revision of the `rollout` section that the decision is about.
  base::Revision Section;
  /// Epoch before the decision; a decision made on an older one is refused.
  std::uint64_t ExpectedEpoch = 0;
  RolloutPhase Phase = RolloutPhase::Waiting;
  /// Share of the new version in millionths.
  std::uint32_t Share = 0;
  std::uint32_t Step = 0;
  std::string Reason;
};

/// Requests in flight at an upstream when it died.
struct ReportCrash {
  base::ServiceName Service;
  base::EndpointId Upstream;
  std::vector<std::uint64_t> Fingerprints;
};

/// Takes the right to run a suspect, one at a time for a service. The lease
/// ends by `EndSuspectRun` or after `SuspectLeaseDuration`.
struct BeginSuspectRun {
  base::ServiceName Service;
  std::uint64_t Fingerprint = 0;
  std::string Attempt;
};
inline constexpr base::Millis SuspectLeaseDuration = base::Millis::seconds(30);

/// Result of a suspect that ran alone: it crashed the upstream, or it is
/// cleared.
struct EndSuspectRun {
  base::ServiceName Service;
  std::uint64_t Fingerprint = 0;
  std::string Attempt;
  bool Crashed = false;
};
/// How long a convicted request is refused.
inline constexpr base::Millis ConvictionDuration = base::Millis::seconds(600);

/// Replaces the whole document by one that builds on `Change.Base`. Refused
/// while the document consists of sections.
struct ReplaceDocument {
  base::OperatorName Operator;
  document::WholeChange Change;
};

/// Moves the traffic of a service to the upstreams of a version within
/// `Duration`, or back. Sending the same order again is harmless.
struct StartRollout {
  base::OperatorName Operator;
  base::ServiceName Service;
  base::VersionName To;
  base::Millis Duration;
};

/// A `StartRollout` of the same version within this time of the first one is
/// taken for a resend.
inline constexpr base::Millis RolloutResendWindow = base::Millis::seconds(30);

enum class TimedRolloutPhase : std::uint8_t {
  /// The new version gets a share of the traffic.
  Active = 1,
  /// All traffic goes to the new version; nodes may still have requests at
  /// the old one.
  Finishing = 2,
  Complete = 3,
  RolledBack = 4,
};

/// Whether decisions about the rollout may still follow.
inline bool isRunning(TimedRolloutPhase Phase) {
  return Phase == TimedRolloutPhase::Active ||
         Phase == TimedRolloutPhase::Finishing;
}

/// A decision about a rollout that `StartRollout` began.
struct TimedDecision {
  base::ServiceName Service;
  /// Log index of the `StartRollout`.
  base::LogIndex Order;
  /// Epoch before the decision; a decision made on an older one is refused.
  std::uint64_t ExpectedEpoch = 0;
  TimedRolloutPhase Phase = TimedRolloutPhase::Active;
  /// Share of the new version in millionths.
  std::uint32_t Share = 0;
  /// Time since the start, for a leader that does not know it.
  base::Millis Elapsed;
  std::string Reason;
};

/// The order is that of the union in the schema.
using Command = std::variant<ApplySections, PutEndpoint, ExpireEndpoints, Claim,
                             FinishClaim, ReleaseClaim, RolloutDecision,
                             ReportCrash, BeginSuspectRun, EndSuspectRun,
                             ReplaceDocument, StartRollout, TimedDecision>;

/// Outcome of a command in the order of severity.
enum class ResultCode : std::uint8_t {
  Accepted = 1,
  /// `Claim`: finished earlier, `Stored` has the response.
  Replay = 2,
  /// `Claim`: taken by another attempt; the outcome is unknown.
  Taken = 3,
  /// The expected revision, epoch or sequence is not the current one.
  Conflict = 4,
  /// The operator does not own a section.
  Forbidden = 5,
  /// The resulting document would be invalid.
  Invalid = 6,
  /// `BeginSuspectRun`: another suspect of the service runs.
  Busy = 7,
  /// The command could not be decoded.
  Malformed = 8,
};

struct CommandResult {
  ResultCode Code = ResultCode::Malformed;
  /// For operators: what was refused and why, one line each.
  std::vector<std::string> Messages;
  /// `ApplySections`: version of the document after the change; `Conflict`:
  /// the current one.
  base::DocumentVersion Document;
  /// `ApplySections`: new or current revision of each section named.
  std::vector<std::pair<std::string, base::Revision>> Revisions;
  std::optional<StoredResponse> Stored;
};

/// Binary forms. The decoders throw `base::ProtocolError` on malformed input.
base::Bytes encodeCommand(const Command &Value);
Command decodeCommand(base::ByteView Data);
base::Bytes encodeResult(const CommandResult &Value);
CommandResult decodeResult(base::ByteView Data);

} // namespace amaranth::control

#endif
