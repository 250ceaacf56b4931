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

/// HTTP header fields in message order.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Limits of one request or response head.
inline constexpr std::size_t MaxHeaderCount = 100;
inline constexpr std::size_t MaxHeaderBytes = 64U << 10U;
/// Maximum body bytes in one message.
inline constexpr std::size_t MaxPieceBytes = 64U << 10U;
/// Flow control window: body bytes in flight in one direction of an exchange.
inline constexpr std::size_t WindowBytes = 256U << 10U;
inline constexpr std::uint32_t HighestPriority = 0;
/// Length of a body that is not known in advance.
inline constexpr std::int64_t UnknownLength = -1;

/// Whether a request without an upstream response was executed, as far as
/// known.
enum class ExecutionOutcome : std::uint8_t { NotRun = 1, Unknown = 2 };

/// Why a request was refused. The values match `wire::RefusalReason`.
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
  /// No slot is expected to become free within `RequestHead::MaxQueueWait`.
  WaitTooLong = 29,
  /// The upstream refused the request without executing it.
  UpstreamShed = 30,
  /// Another process has the upstream's address.
  UpstreamReplaced = 31,
  /// The gate's link cannot carry the response before one of the two nodes
  /// ends.
  LinkBusy = 32,
  /// No customer has the API key, or the request has none and needs one.
  Unauthenticated = 33,
  /// The customer has used up its quota at all nodes.
  QuotaExceeded = 34,
  /// The zone of the upstream is evacuated.
  ZoneEvacuated = 35,
  /// The upstream is cold and bears no further request yet.
  UpstreamCold = 36,
  /// The retry budgets allow no further repeat, or not the calls that a repeat
  /// is expected to make.
  RetryBudgetUsed = 37,
};

/// Returns the reason in kebab case, such as `queue-full`, for headers, logs
/// and metrics.
std::string reasonText(RefusalReason Reason);
std::string_view outcomeText(ExecutionOutcome Outcome);

/// Load of one upstream.
struct UpstreamLoad {
  std::uint32_t InFlight = 0;
  std::uint32_t Queued = 0;
  /// Requests that the upstream can run at a time; fewer than it has slots if
  /// it limits its requests.
  std::uint32_t Slots = 0;
  /// Expected execution time of a request that has a slot; 0 if unknown.
  base::Millis ServiceTime;
  /// Expected time for which a new request waits for a slot and for the
  /// upstream's limit.
  base::Millis QueueWait;
  /// Time that the node's link needs for the large responses queued for it.
  base::Millis LinkBacklog;
  /// Expected time for which the running and the waiting requests will hold
  /// slots, summed; empty if the gate does not report it.
  std::optional<base::Millis> Work;
  /// Expected execution time of a request of the route of the one that this
  /// load was reported for; 0 if unknown.
  base::Millis RouteServiceTime;
  /// Recent mean of the time that requests are on their way to the node. Rises
  /// when more arrives for its link than that carries.
  base::Millis Transit;
};

struct Refusal {
  ExecutionOutcome Outcome = ExecutionOutcome::Unknown;
  RefusalReason Reason = RefusalReason::Malformed;
  std::string Text;
  base::Millis RetryAfter;
  UpstreamLoad Load;
  /// The request may have crashed the upstream.
  bool Suspect = false;
  /// Endpoint that refused; set by the entry node.
  base::EndpointId Endpoint;
};

struct RequestHead {
  base::ServiceName Service;
  base::VersionName Version;
  std::string Method;
  std::string Target;
  Headers Fields;
  /// Time left until the deadline of the response head.
  base::Millis Remaining;
  /// Unique id of one attempt at one upstream.
  std::string Attempt;
  std::optional<std::string> IdempotencyKey;
  std::uint64_t RequestHash = 0;
  std::uint64_t Fingerprint = 0;
  std::int64_t BodyLength = UnknownLength;
  /// Service that runs beside the entry node; empty if unknown.
  base::ServiceName CallerService;
  base::RouteName Route;
  /// Id of the caller's attempt, the same at every upstream.
  std::string CallerAttempt;
  /// Time left until the latency objective; negative once it is missed.
  base::Millis Objective;
  /// Queueing priority; 0 is the highest.
  std::uint32_t Priority = 0;
  /// Longest acceptable wait for a slot; unlimited if empty.
  std::optional<base::Millis> MaxQueueWait;
  /// The request must not be executed more than once.
  bool AtMostOnce = false;
  /// When `Remaining` and `Objective` were counted, on the clock of the entry
  /// node's machine; 0 if unknown.
  base::BootTime Sent;
  /// The request was running at an upstream that crashed.
  bool Suspect = false;
  /// Customer whose API key the request has; empty without a key.
  base::CustomerName Customer;
  /// The document names customers, so that the node tells the upstream which
  /// one sent the request, whatever the caller says.
  bool CustomersInForce = false;
  /// The request has reached an upstream before, or counts as a call of a
  /// repeat.
  bool Repeat = false;
};

struct ResponseHead {
  unsigned Status = 0;
  Headers Fields;
  std::int64_t BodyLength = UnknownLength;
  UpstreamLoad Load;
};

/// Flow control and, at the shutdown of the entry node, the end of the
/// exchange.
struct WindowUpdate {
  /// Further body bytes that may be sent.
  std::uint32_t Bytes = 0;
  /// Time left until the entry node ends; empty if it does not shut down.
  std::optional<base::Millis> EndsIn;
};

struct BodyPiece {
  base::Bytes Data;
  bool End = false;
};

/// Wire encoding. The decoders throw `base::ProtocolError` on malformed input,
/// on header fields that exceed the limits or contain CR, LF or NUL.
base::Bytes encode(const RequestHead &Head);
base::Bytes encode(const ResponseHead &Head);
base::Bytes encode(const Refusal &Value);
base::Bytes encodeRequestData(base::ByteView Data, bool End);
base::Bytes encodeResponseData(base::ByteView Data, bool End);
base::Bytes encode(const WindowUpdate &Value);
base::Bytes encodeCancel();
RequestHead decodeRequestHead(base::ByteView Payload);
ResponseHead decodeResponseHead(base::ByteView Payload);
Refusal decodeRefusal(base::ByteView Payload);
BodyPiece decodeRequestData(base::ByteView Payload);
BodyPiece decodeResponseData(base::ByteView Payload);
WindowUpdate decodeWindow(base::ByteView Payload);

/// True if `Fields` is within the limits of a message head.
bool withinLimits(const Headers &Fields);

/// Returns the value of the first field with this name, or null. Names compare
/// case-insensitively.
const std::string *findHeader(const Headers &Fields, std::string_view Name);
/// Returns the values of all fields with this name, in message order.
std::vector<std::string> findHeaders(const Headers &Fields,
                                     std::string_view Name);
/// Removes all fields with this name, compared case-insensitively.
void eraseHeader(Headers &Fields, std::string_view Name);
/// Removes the hop-by-hop fields, including those that `Connection` lists,
/// `Content-Length` and `Expect`.
void eraseConnectionHeaders(Headers &Fields);

/// True for GET, HEAD, OPTIONS, TRACE, PUT and DELETE.
bool isIdempotent(std::string_view Method);

} // namespace amaranth::dataplane

#endif
