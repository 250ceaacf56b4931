#ifndef AMARANTH_DATAPLANE_HTTPDIALECT_H
#define AMARANTH_DATAPLANE_HTTPDIALECT_H

#include "amaranth/dataplane/Messages.h"
#include "amaranth/dataplane/RequestRateLimit.h"

#include <optional>
#include <string>

namespace amaranth::dataplane {

/// Request metadata from the headers that a caller sends.
struct CallerMetadata {
  /// Id of the caller's attempt; a new one if the caller sent none.
  std::string Attempt;
  /// Time that the caller waits for the response, if it sent one.
  std::optional<base::Millis> Timeout;
  /// API key of the caller; empty if it sent none. Never logged.
  std::string ApiKey;
};

/// Request metadata that a node sends to an upstream.
struct UpstreamMetadata {
  std::string Attempt;
  /// Time left until the deadline.
  base::Millis Remaining;
  /// Id of the upstream's process; empty if it announced none.
  std::string Instance;
  /// Service that runs beside the entry node; empty if unknown.
  std::string CallerService;
  /// Customer that sent the request; empty if none. Used if
  /// `CustomersInForce`.
  std::string Customer;
  /// The document names customers: the upstream learns the customer from this
  /// node only, and never sees an API key.
  bool CustomersInForce = false;
};

/// What an upstream says about itself in a response.
struct UpstreamNotice {
  /// Requests that it takes from all callers together; empty without a limit.
  std::optional<RequestRate> Limit;
  /// The fields about the limit that cannot be read; empty if there are none. A
  /// limit that was named before stays then.
  std::string MalformedLimit;
  /// Current service times of the upstream in percent of its usual ones; empty
  /// if it names none that can be read.
  std::optional<double> Slowness;
  /// The upstream leaves and takes no new requests.
  bool Leaving = false;
  /// How much longer the upstream is cold, 0 if it is warm; empty if the
  /// response does not say.
  std::optional<base::Millis> ColdFor;
};

/// Classification of an upstream response by its headers.
enum class ResponseClass : std::uint8_t {
  /// The upstream executed the request.
  Executed,
  /// The upstream reports that it did not execute the request.
  NotExecuted,
  /// Another process has the upstream's address; it executed nothing.
  OtherInstance,
  /// The response belongs to another request.
  Mismatched,
  /// Indistinguishable from arbitrary output of a faulty upstream.
  Indeterminate,
};

/// Maps request metadata and refusals to the HTTP headers that callers, nodes
/// and upstreams exchange. Contains no policy.
class HttpDialect {
public:
  virtual ~HttpDialect() = default;

  /// Throws `HttpError` if a field is malformed.
  virtual CallerMetadata callerMetadata(const Headers &Fields) const = 0;

  /// Replaces the fields that the node sets itself.
  virtual void setUpstreamFields(Headers &Fields,
                                 const UpstreamMetadata &Metadata) const = 0;

  /// `FirstOnConnection`: no other response can precede this one, so that it
  /// belongs to the request even if it does not name it.
  virtual ResponseClass classifyResponse(const ResponseHead &Head,
                                         const std::string &Attempt,
                                         bool FirstOnConnection) const = 0;

  virtual UpstreamNotice upstreamNotice(const ResponseHead &Head) const = 0;

  /// Removes the fields of an upstream's response that only the node uses.
  virtual void removeInternalFields(Headers &Fields) const = 0;

  virtual unsigned statusOf(const Refusal &Refused) const = 0;
  virtual Headers refusalFields(const Refusal &Refused,
                                const std::string &Attempt) const = 0;
};

/// Native headers: `X-Request-Deadline-Ms`, `X-Amaranth-Outcome` and
/// `X-Amaranth-Reason`.
class NativeDialect final : public HttpDialect {
public:
  CallerMetadata callerMetadata(const Headers &Fields) const override;
  void setUpstreamFields(Headers &Fields,
                         const UpstreamMetadata &Metadata) const override;
  ResponseClass classifyResponse(const ResponseHead &Head,
                                 const std::string &Attempt,
                                 bool FirstOnConnection) const override;
  UpstreamNotice upstreamNotice(const ResponseHead &Head) const override;
  void removeInternalFields(Headers &Fields) const override;
  unsigned statusOf(const Refusal &Refused) const override;
  Headers refusalFields(const Refusal &Refused,
                        const std::string &Attempt) const override;
};

/// Parses an integer number of milliseconds. Throws `HttpError` with status 400
/// and the header name if `Value` is anything else.
base::Millis parseMillisHeader(const std::string &Name,
                               const std::string &Value);

} // namespace amaranth::dataplane

#endif
