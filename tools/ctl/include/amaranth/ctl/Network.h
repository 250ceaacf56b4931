#ifndef AMARANTH_CTL_NETWORK_H
#define AMARANTH_CTL_NETWORK_H

#include "amaranth/base/Error.h"
#include "amaranth/base/Millis.h"
#include "amaranth/base/Settings.h"

#include <string>

namespace amaranth::ctl {

struct HttpRequest {
  std::string Method;
  /// Path and query.
  std::string Target;
  /// Empty: no `Authorization` header.
  std::string Key;
  std::string Body;
};

struct HttpReply {
  unsigned Status = 0;
  std::string Body;
};

/// No connection to the server: it did not get the request.
class Unreachable : public base::Error {
public:
  using base::Error::Error;
};

/// The connection ended without a whole answer: the server may have got the
/// request.
class ResponseLost : public base::Error {
public:
  using base::Error::Error;
};

/// Network and time of the client; replaced in tests.
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
