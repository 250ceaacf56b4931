#ifndef AMARANTH_DATAPLANE_HTTPDIALECT_H
#define AMARANTH_DATAPLANE_HTTPDIALECT_H

#include "amaranth/dataplane/Messages.h"

#include <optional>
#include <string>

namespace amaranth::dataplane {

/// What a caller says about its request besides method and path.
struct CallerMetadata {
  /// Id of this attempt of the caller; a new one when the caller gave none.
  std::string Attempt;
  /// How long the caller waits; nothing when it did not say.
  std::optional<base::Millis> Timeout;
};

/// What a node tells an upstream with a request.
struct UpstreamMetadata {
  std::string Attempt;
  /// Time until the response is of no more use.
  base::Millis Remaining;
  /// Id of the upstream's process; empty when it did not announce one.
  std::string Instance;
  /// Service that runs beside the entry node; empty when unknown.
  std::string CallerService;
};

/// What a response of an upstream says about itself.
enum class ResponseClass : std::uint8_t {
  /// The upstream ran the request.
  Executed,
  /// The upstream says that it did not run the request.
  NotExecuted,
  /// Another process has the upstream's address and ran nothing.
  OtherInstance,
  /// The response belongs to another request.
  Mismatched,
  /// It cannot be told from bytes that a broken upstream sent.
  Indeterminate,
};

/// Names and forms of the HTTP headers between callers, nodes and upstreams.
/// Makes no decisions.
class HttpDialect {
public:
  virtual ~HttpDialect() = default;

  /// Throws `HttpError` when a field is malformed.
  virtual CallerMetadata callerMetadata(const Headers &Fields) const = 0;

  /// Replaces the fields that the system sets itself.
  virtual void setUpstreamFields(Headers &Fields,
                                 const UpstreamMetadata &Metadata) const = 0;

  virtual ResponseClass classifyResponse(const ResponseHead &Head,
                                         const std::string &Attempt) const = 0;

  /// Removes fields of an upstream's response that are for the node only.
  virtual void removeInternalFields(Headers &Fields) const = 0;

  virtual unsigned statusOf(const Refusal &Refused) const = 0;
  virtual Headers refusalFields(const Refusal &Refused,
                                const std::string &Attempt) const = 0;
};

/// The project's own headers: `X-Request-Deadline-Ms`, `X-Amaranth-Outcome`
/// and `X-Amaranth-Reason`.
class NativeDialect final : public HttpDialect {
public:
  CallerMetadata callerMetadata(const Headers &Fields) const override;
  void setUpstreamFields(Headers &Fields,
                         const UpstreamMetadata &Metadata) const override;
  ResponseClass classifyResponse(const ResponseHead &Head,
                                 const std::string &Attempt) const override;
  void removeInternalFields(Headers &Fields) const override;
  unsigned statusOf(const Refusal &Refused) const override;
  Headers refusalFields(const Refusal &Refused,
                        const std::string &Attempt) const override;
};

/// Parses a number of milliseconds. Throws `HttpError` with 400, naming the
/// header, on anything else.
base::Millis parseMillisHeader(const std::string &Name,
                               const std::string &Value);

} // namespace amaranth::dataplane

#endif
