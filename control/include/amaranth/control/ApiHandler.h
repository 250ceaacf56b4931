#ifndef AMARANTH_CONTROL_APIHANDLER_H
#define AMARANTH_CONTROL_APIHANDLER_H

#include <boost/asio/awaitable.hpp>

#include <string>
#include <utility>
#include <vector>

namespace amaranth::control {

/// An HTTP request without its transport.
struct ApiRequest {
  std::string Method;
  /// Path and query.
  std::string Target;
  /// Value of the `Authorization` header; never logged.
  std::string Authorization;
  std::string Body;
};

struct ApiResponse {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
};

/// An HTTP interface as a function from requests to responses.
class ApiHandler {
public:
  virtual ~ApiHandler() = default;

  /// Never throws on bad input; such requests get a 4xx response.
  virtual boost::asio::awaitable<ApiResponse> handle(ApiRequest Request) = 0;
};

} // namespace amaranth::control

#endif
