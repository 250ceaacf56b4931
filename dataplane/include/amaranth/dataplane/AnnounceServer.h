#ifndef AMARANTH_DATAPLANE_ANNOUNCESERVER_H
#define AMARANTH_DATAPLANE_ANNOUNCESERVER_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/Settings.h"
#include "amaranth/dataplane/Gate.h"
#include "amaranth/dataplane/HttpConnection.h"

#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace amaranth::dataplane {

/// Request to the local interface, including its complete body.
struct LocalRequest {
  std::string Method;
  std::string Target;
  /// Value of the `Authorization` header; never logged.
  std::string Authorization;
  std::string Body;
  /// True if the peer has a loopback address.
  bool Loopback = false;
};

struct LocalReply {
  unsigned Status = 200;
  std::string Body;
  std::string Type = "text/plain";
};

/// Handles the requests in which the local upstream announces its state.
class LocalHandler {
public:
  virtual ~LocalHandler() = default;

  /// Returns `std::nullopt` for a path that this handler does not serve.
  /// Malformed input results in an error reply, never in an exception.
  virtual std::optional<LocalReply> handle(const LocalRequest &Request) = 0;
};

/// Native announcement protocol: `POST /v1/announce` with a JSON object that
/// contains service, version, address, slots, state (starting, ready, draining,
/// stopped), incarnation and sequence; optionally `cold-ms`, how much longer
/// the upstream is cold. Replies with 204, 400 and an error
/// message, 401, 403, or 409 for an outdated announcement. Accepts loopback
/// peers only and requires `Key` as a bearer token unless it is empty.
class AnnounceHandler final : public LocalHandler {
public:
  AnnounceHandler(Gate &Upstream, std::string Key)
      : Upstream(Upstream), Key(std::move(Key)) {}

  std::optional<LocalReply> handle(const LocalRequest &Request) override;

private:
  bool authorized(const LocalRequest &Request) const;

  Gate &Upstream;
  std::string Key;
};

/// Local HTTP interface of a node: upstream announcements, `/health`, `/ready`
/// and `/metrics`.
class AnnounceServer {
public:
  /// Binds immediately. `Ready` returns whether the node accepts requests.
  /// A null `Handler` serves only `/health`, `/ready` and `/metrics`. The
  /// references must outlive the server.
  AnnounceServer(const boost::asio::any_io_executor &Executor,
                 base::Address Listen, base::Clock &Time, LocalHandler *Handler,
                 prometheus::Registry &Registry, std::function<bool()> Ready);
  ~AnnounceServer();

  base::Address local() const;
  boost::asio::awaitable<void> serve();
  void stop();

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace amaranth::dataplane

#endif
