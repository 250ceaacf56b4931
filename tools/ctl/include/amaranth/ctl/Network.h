#ifndef AMARANTH_CTL_NETWORK_H
#define AMARANTH_CTL_NETWORK_H

#include "amaranth/base/Error.h"
#include "amaranth/base/Millis.h"
#include "amaranth/base/Settings.h"

#include <string>

namespace amaranth::ctl {

struct HttpRequest {
  std::string Method;
  /// Path and query string.
  std::string Target;
  /// Bearer token; no `Authorization` header is sent when empty.
  std::string Key;
  std::string Body;
};

struct HttpReply {
  unsigned Status = 0;
  std::string Body;
};

/// Connecting to the server failed, so it cannot have received the request.
class Unreachable : public base::Error {
public:
  using base::Error::Error;
};

/// The connection failed before a complete response arrived. The server may
/// have received the request.
class ResponseLost : public base::Error {
public:
  using base::Error::Error;
};

/// Network and clock used by the client; tests substitute their own.
class Network {
public:
  virtual ~Network() = default;

  /// Sends one request on a new connection. Throws `Unreachable` or
  /// `ResponseLost`.
  virtual HttpReply send(const base::Address &Server,
                         const HttpRequest &Request, base::Millis Timeout) = 0;
  virtual base::TimePoint now() = 0;
  virtual void pause(base::Millis Span) = 0;
};

} // namespace amaranth::ctl

#endif
