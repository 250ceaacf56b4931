#ifndef AMARANTH_HARNESS_HTTPCLIENT_H
#define AMARANTH_HARNESS_HTTPCLIENT_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/Settings.h"

#include <map>
#include <memory>
#include <string>

namespace amaranth::harness {

struct HttpRequest {
  std::string Method = "GET";
  std::string Target = "/";
  std::map<std::string, std::string> Headers;
  std::string Body;
  /// Pause after each 256 KiB of the response body, to stand for a caller
  /// that reads slowly.
  base::Millis ReadPause;
};

struct HttpResponse {
  /// 0 when no complete response arrived; `Failure` tells why.
  unsigned Status = 0;
  std::string Failure;
  /// Names in lower case.
  std::map<std::string, std::string> Headers;
  std::string Body;

  std::string header(const std::string &LowerCaseName) const;
};

/// Sends one request on a new connection and waits for the whole response,
/// at most `Limit`. Never throws: failures are part of what tests observe.
HttpResponse sendRequest(const base::Address &Server,
                         const HttpRequest &Request, base::Millis Limit);

/// Sends requests one after the other on one connection, which it keeps until
/// the server closes it or a request fails.
class KeepAliveClient {
public:
  explicit KeepAliveClient(base::Address Server);
  ~KeepAliveClient();
  KeepAliveClient(const KeepAliveClient &) = delete;
  KeepAliveClient &operator=(const KeepAliveClient &) = delete;

  /// Like `sendRequest`, on the open connection if there is one.
  HttpResponse send(const HttpRequest &Request, base::Millis Limit);

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

/// A port on 127.0.0.1 that was free a moment ago, and that the kernel gives to
/// no outgoing connection by default.
base::Address freeLoopbackAddress();

} // namespace amaranth::harness

#endif
