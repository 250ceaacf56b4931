#ifndef AMARANTH_E2E_TEST_MESHTEST_H
#define AMARANTH_E2E_TEST_MESHTEST_H

#include "amaranth/harness/Deployment.h"

#include <boost/json/value.hpp>

#include <map>
#include <string>
#include <vector>

namespace amaranth::e2e {

/// Limits of waits that would otherwise never end. They say nothing about
/// speed.
constexpr base::Millis WaitLimit = base::Millis::seconds(60);
constexpr base::Millis RequestLimit = base::Millis::seconds(20);

/// Three control processes and some VMs of the service `bookings`, which is
/// reached below `/bookings`.
class MeshTest {
protected:
  MeshTest();

  /// Starts everything and waits until each node answers a request.
  void start(unsigned VmCount, const std::vector<std::string> &Options);

  harness::HttpResponse send(const harness::UpstreamVm &Entry,
                             const std::string &Method,
                             const std::string &Target,
                             const std::string &Key = "");
  /// Applies the document's route with another timeout and waits until the
  /// change is accepted. A resend has no second effect.
  void applyTimeout(unsigned Seconds);
  /// Text of the route's section with its revision line, or empty when no
  /// control process answers.
  std::string routeSection();

  /// Control process that says it leads, other than `Except`; null if none.
  harness::ControlProcess *
  leader(const harness::ControlProcess *Except = nullptr);
  /// Waits for a leader other than `Except`.
  harness::ControlProcess &
  waitForLeader(const harness::ControlProcess *Except = nullptr);
  boost::json::value status(const harness::ControlProcess &Control);

  /// Times that each key was executed, over all upstreams and their restarts.
  std::map<std::string, unsigned> executions() const;

  harness::Deployment Mesh;
};

/// `X-Amaranth-Outcome` or the failure, for messages.
std::string describe(const harness::HttpResponse &Answer);

} // namespace amaranth::e2e

#endif
