#ifndef AMARANTH_DEMO_DEMONSTRATION_H
#define AMARANTH_DEMO_DEMONSTRATION_H

#include "amaranth/harness/Deployment.h"

#include <string>

namespace amaranth::demo {

/// The steps of the demonstration, in order. Each prints what happened and
/// whether it is what the design promises.
class Demonstration {
public:
  Demonstration(std::filesystem::path Programs, std::filesystem::path Folder);

  /// True when every step passed.
  bool run();
  /// Prints how to reach the running deployment and waits for a line.
  void waitForEnter();

private:
  void startEverything();
  void applyDocument();
  void sendRequests();
  void downloadSlowly();
  void changeTimeout();
  void resendWithKey();
  void runRollouts();
  void killAndRestart();
  void printControlBytes();

  void check(bool Passed, const std::string &What);
  void step(const std::string &Title);
  harness::HttpResponse request(const harness::UpstreamVm &Entry,
                                const std::string &Method,
                                const std::string &Target,
                                const std::string &Key = "");
  std::string changedDocument();
  void printConvergence();
  bool waitForPhase(const std::string &Service, const std::string &Phase);

  harness::Deployment Mesh;
  unsigned Failures = 0;
};

} // namespace amaranth::demo

#endif
