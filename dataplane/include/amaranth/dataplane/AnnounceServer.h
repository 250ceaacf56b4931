#ifndef AMARANTH_DATAPLANE_ANNOUNCESERVER_H
#define AMARANTH_DATAPLANE_ANNOUNCESERVER_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/Settings.h"
#include "amaranth/dataplane/Gate.h"
#include "amaranth/dataplane/HttpConnection.h"

#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <string>

namespace amaranth::dataplane {

struct AnnounceSettings {
  /// A loopback address for announcements, `/health`, `/ready`, `/metrics`.
  base::Address Listen;
  /// Announcements need this bearer key when it is not empty.
  std::string Key;
};

/// Local HTTP interface of a node: the upstream's announcements, and the
/// node's health and metrics.
///
/// `POST /v1/announce` takes JSON with service, version, address, slots,
/// state (starting, ready, draining, stopped), incarnation and sequence. It
/// answers 204, 400 with the fault, 401, 403, or 409 for an announcement that
/// is out of date. Announcements are taken from loopback peers only.
class AnnounceServer {
public:
  /// Binds at once. `Ready` tells whether the node takes requests. The
  /// references must outlive the server.
  AnnounceServer(const boost::asio::any_io_executor &Executor,
                 AnnounceSettings Options, base::Clock &Time, Gate &Upstream,
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
