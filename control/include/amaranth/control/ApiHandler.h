#ifndef AMARANTH_CONTROL_APIHANDLER_H
#define AMARANTH_CONTROL_APIHANDLER_H

#include <boost/asio/awaitable.hpp>

#include <string>
#include <utility>
#include <vector>

namespace amaranth::control {

/// An HTTP request, independent of the transport.
struct ApiRequest {
  std::string Method;
  /// Path and query.
  std::string Target;
  /// Value of the `Authorization` header. It must never be logged.
  std::string Authorization;
  std::string Body;
};

struct ApiResponse {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
};

/// Handles HTTP requests independently of the transport.
class ApiHandler {
public:
  virtual ~ApiHandler() = default;

  /// Returns a 4xx response for invalid input instead of throwing.
  virtual boost::asio::awaitable<ApiResponse> handle(ApiRequest Request) = 0;
};

} // namespace amaranth::control

#endif
