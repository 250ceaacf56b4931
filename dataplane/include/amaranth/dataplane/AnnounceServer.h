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

/// A request to the local interface, with its whole body.
struct LocalRequest {
  std::string Method;
  std::string Target;
  /// Value of the `Authorization` header; never logged.
  std::string Authorization;
  std::string Body;
  /// It came over a loopback address.
  bool Loopback = false;
};

struct LocalReply {
  unsigned Status = 200;
  std::string Body;
  std::string Type = "text/plain";
};

/// The form in which the local upstream announces itself.
class LocalHandler {
public:
  virtual ~LocalHandler() = default;

  /// Nothing when the path is not one of its own. Never throws on bad input.
  virtual std::optional<LocalReply> handle(const LocalRequest &Request) = 0;
};

/// The project's own form: `POST /v1/announce` with JSON that has service,
/// version, address, slots, state (starting, ready, draining, stopped),
/// incarnation and sequence. It answers 204, 400 with the fault, 401, 403, or
/// 409 for an announcement that is out of date. Announcements are taken from
/// loopback peers only, and need `Key` as a bearer key when it is not empty.
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

/// Local HTTP interface of a node: the upstream's announcements, and
/// `/health`, `/ready` and `/metrics`.
class AnnounceServer {
public:
  /// Binds at once. `Ready` tells whether the node takes requests. `Handler`
  /// may be null for an address that serves the pages only. The references
  /// must outlive the server.
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
