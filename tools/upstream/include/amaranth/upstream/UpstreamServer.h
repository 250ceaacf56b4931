#ifndef AMARANTH_UPSTREAM_UPSTREAMSERVER_H
#define AMARANTH_UPSTREAM_UPSTREAMSERVER_H

#include "amaranth/base/Clock.h"
#include "amaranth/dataplane/HttpConnection.h"
#include "amaranth/upstream/Faults.h"

#include <map>
#include <memory>
#include <string>

namespace amaranth::upstream {

/// The program's HTTP server.
///
/// `/size/N` answers with N bytes, `/executions` with the number of runs for
/// each Idempotency-Key as JSON, `/health` with its state, and every other
/// path with the method, the target and a hash of the body.
class UpstreamServer {
public:
  /// Binds at once. The references must outlive the server.
  UpstreamServer(const boost::asio::any_io_executor &Executor,
                 const Options &Given, base::Clock &Time);

  base::Address local() const { return Server.local(); }
  boost::asio::awaitable<void> serve();
  /// Stops accepting and waits for the requests in flight, at most `Limit`.
  boost::asio::awaitable<void> drain(base::Millis Limit);
  std::uint32_t running() const { return Running; }

private:
  using Link = std::shared_ptr<dataplane::HttpConnection>;

  boost::asio::awaitable<void> handle(Link Caller,
                                      dataplane::HttpRequest Request);
  boost::asio::awaitable<void> work(Link Caller,
                                    dataplane::HttpRequest Request);
  boost::asio::awaitable<void> download(Link Caller, std::int64_t Bytes);
  dataplane::Headers fields() const;
  std::string executions() const;
  void countExecution(const std::string &Key);

  Options Given;
  base::Clock &Time;
  dataplane::HttpServer Server;
  Faults Behaviour;
  base::TimePoint Started;
  std::uint32_t Running = 0;
  bool Draining = false;
  std::map<std::string, std::uint64_t> Executions;
};

} // namespace amaranth::upstream

#endif
