#ifndef AMARANTH_DATAPLANE_MESSAGES_H
#define AMARANTH_DATAPLANE_MESSAGES_H

#include "amaranth/base/Bytes.h"
#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace amaranth::dataplane {

/// HTTP header fields in the order of the message.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Limits of one message head, in both directions.
inline constexpr std::size_t MaxHeaderCount = 100;
inline constexpr std::size_t MaxHeaderBytes = 64U << 10U;
/// Largest piece of a body in one message, in bytes.
inline constexpr std::size_t MaxPieceBytes = 64U << 10U;
/// Body bytes that may be under way in one direction of an exchange.
inline constexpr std::size_t WindowBytes = 256U << 10U;
/// Length of a body that is not known in advance.
inline constexpr std::int64_t UnknownLength = -1;

/// What is known about a request that got no response of the upstream.
enum class ExecutionOutcome : std::uint8_t { NotRun = 1, Unknown = 2 };

/// Why a request was refused. The numbers are those of the inner protocol.
enum class RefusalReason : std::uint8_t {
  NoConfiguration = 1,
  NoRoute = 2,
  NoVersion = 3,
  NoEndpoint = 4,
  PeerUnreachable = 5,
  ConnectionLost = 6,
  DeadlineExceeded = 7,
  DeadlineUnreachable = 8,
  QueueFull = 9,
  UpstreamAbsent = 10,
  UpstreamStarting = 11,
  UpstreamDraining = 12,
  UpstreamCrashed = 13,
  UpstreamUnreachable = 14,
  UpstreamBroken = 15,
  UpstreamSilent = 16,
  NodeDraining = 17,
  WrongUpstream = 18,
  ClaimUnavailable = 19,
  ClaimTaken = 20,
  KeyConflict = 21,
  KeyRequired = 22,
  Quarantined = 23,
  SuspectBusy = 24,
  TooLarge = 25,
  Malformed = 26,
  Cancelled = 27,
  Overloaded = 28,
  /// A slot is not expected to be free within the request's patience.
  WaitTooLong = 29,
  /// The upstream refused the request without running it.
  UpstreamShed = 30,
  /// Another process has the upstream's address.
  UpstreamReplaced = 31,
};

/// `queue-full` and the like, for headers, logs and metrics.
std::string reasonText(RefusalReason Reason);
std::string_view outcomeText(ExecutionOutcome Outcome);

/// Work at an upstream.
struct UpstreamLoad {
  std::uint32_t InFlight = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Slots = 0;
  /// Expected time of a request that has a slot; 0 when unknown.
  base::Millis ServiceTime;
  /// Expected wait of a new request for a slot.
  base::Millis QueueWait;
  /// Time that the node's link needs for the large responses that wait for it.
  base::Millis LinkBacklog;
};

struct Refusal {
  ExecutionOutcome Outcome = ExecutionOutcome::Unknown;
  RefusalReason Reason = RefusalReason::Malformed;
  std::string Text;
  base::Millis RetryAfter;
  UpstreamLoad Load;
  /// The endpoint that refused, at the entry node.
  base::EndpointId Endpoint;
};

struct RequestHead {
  base::ServiceName Service;
  base::VersionName Version;
  std::string Method;
  std::string Target;
  Headers Fields;
  /// Time left until the response head is due.
  base::Millis Remaining;
  /// Unique for one attempt at one upstream.
  std::string Attempt;
  std::optional<std::string> IdempotencyKey;
  std::uint64_t RequestHash = 0;
  std::uint64_t Fingerprint = 0;
  std::int64_t BodyLength = UnknownLength;
  /// Service that runs beside the entry node; empty when unknown.
  base::ServiceName CallerService;
  base::RouteName Route;
  /// Id of the caller's attempt, the same at every upstream.
  std::string CallerAttempt;
  /// Time left in which a response is wanted; may be negative.
  base::Millis Objective;
  /// Rank under load; 0 is served first.
  std::uint32_t Priority = 0;
  /// Longest acceptable wait for a slot; nothing for any.
  std::optional<base::Millis> MaxQueueWait;
  /// The request may run at most once.
  bool AtMostOnce = false;
};

struct ResponseHead {
  unsigned Status = 0;
  Headers Fields;
  std::int64_t BodyLength = UnknownLength;
  UpstreamLoad Load;
};

struct BodyPiece {
  base::Bytes Data;
  bool End = false;
};

/// Wire forms. The decoders throw `base::ProtocolError` on malformed input,
/// on header fields above the limits, and on control characters in them.
base::Bytes encode(const RequestHead &Head);
base::Bytes encode(const ResponseHead &Head);
base::Bytes encode(const Refusal &Value);
base::Bytes encodeRequestData(base::ByteView Data, bool End);
base::Bytes encodeResponseData(base::ByteView Data, bool End);
base::Bytes encodeWindow(std::uint32_t Bytes);
base::Bytes encodeCancel();
RequestHead decodeRequestHead(base::ByteView Payload);
ResponseHead decodeResponseHead(base::ByteView Payload);
Refusal decodeRefusal(base::ByteView Payload);
BodyPiece decodeRequestData(base::ByteView Payload);
BodyPiece decodeResponseData(base::ByteView Payload);
std::uint32_t decodeWindow(base::ByteView Payload);

/// True when `Fields` respects the limits of a message head.
bool withinLimits(const Headers &Fields);

/// The value of the first field with this name (any case), or null.
const std::string *findHeader(const Headers &Fields, std::string_view Name);
/// Removes all fields with this name (any case).
void eraseHeader(Headers &Fields, std::string_view Name);
/// Removes the fields that concern one HTTP connection only, `Content-Length`
/// and the fields that the system itself sets.
void eraseConnectionHeaders(Headers &Fields);

/// GET, HEAD, OPTIONS, TRACE, PUT, DELETE.
bool isIdempotent(std::string_view Method);

} // namespace amaranth::dataplane

#endif
