#ifndef AMARANTH_CONTROL_OPERATORAPI_H
#define AMARANTH_CONTROL_OPERATORAPI_H

#include "amaranth/base/Clock.h"
#include "amaranth/control/ApiHandler.h"
#include "amaranth/control/ControlState.h"
#include "amaranth/control/MembershipControl.h"
#include "amaranth/control/OperatorKeys.h"
#include "amaranth/control/StatusSource.h"
#include "amaranth/replication/ReplicatedLog.h"

#include <boost/asio/awaitable.hpp>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/registry.h>

#include <string>

namespace amaranth::control {

/// Time limits of the API for operations on the log.
struct ApiTimeouts {
  base::Millis Propose = base::Millis::seconds(5);
  base::Millis Read = base::Millis::seconds(2);
  base::Millis Membership = base::Millis::seconds(5);
  /// The process reports not ready if it has not heard from a leader or a
  /// majority for longer than this.
  base::Millis MaxStaleness = base::Millis::seconds(5);
};

/// The HTTP API for operators:
///
///     POST /v1/apply     {"operation": ID, "changes": [{"section": NAME,
///                         "expected": REVISION, "body": TEXT}]}, where
///                         `"delete": true` instead of `body` deletes
///     POST /v1/replace-voter {"lost": "ID", "replacement": "ID"}
///     POST /v1/lift-quarantine {"fingerprint": "16 hexadecimal digits"}
///     POST /v1/evacuate, /v1/evacuate/finish {"zone": NAME}
///     GET  /v1/document, /v1/status, /v1/versions, /v1/audit?limit=N
///     GET  /metrics, /health, /ready (without a key)
///
/// Reads are linearizable: the process first confirms that its state is up to
/// date. With `?stale=true`, reads are served from the local state without that
/// check and are marked `"stale": true`.
class OperatorApi final : public ApiHandler {
public:
  /// The references must outlive the object.
  OperatorApi(replication::ReplicatedLog &Log, const ControlState &State,
              const StatusSource &Nodes, MembershipControl &Members,
              OperatorKeys Keys, prometheus::Registry &Metrics,
              ApiTimeouts Timeouts);

  boost::asio::awaitable<ApiResponse> handle(ApiRequest Request) override;

private:
  boost::asio::awaitable<ApiResponse> route(const ApiRequest &Request);
  boost::asio::awaitable<ApiResponse> apply(const ApiRequest &Request,
                                            const Operator &Requester);
  boost::asio::awaitable<ApiResponse> replaceVoter(const ApiRequest &Request,
                                                   const Operator &Requester);
  boost::asio::awaitable<ApiResponse> liftQuarantine(const ApiRequest &Request,
                                                     const Operator &Requester);
  boost::asio::awaitable<ApiResponse> setEvacuation(const ApiRequest &Request,
                                                    const Operator &Requester,
                                                    bool Active);
  boost::asio::awaitable<ApiResponse> read(const ApiRequest &Request);
  ApiResponse servePublic(const std::string &Path) const;
  ApiResponse ready() const;
  std::string responseBody(const std::string &Path, std::size_t Limit,
                           bool Stale) const;

  replication::ReplicatedLog &Log;
  const ControlState &State;
  const StatusSource &Nodes;
  MembershipControl &Members;
  OperatorKeys Keys;
  prometheus::Registry &Metrics;
  ApiTimeouts Timeouts;
  prometheus::Family<prometheus::Counter> &Requests;
};

} // namespace amaranth::control

#endif
