#include "amaranth/dataplane/UpstreamRuns.h"

namespace amaranth::dataplane {

double UpstreamRuns::recordCall(base::TimePoint Deadline) const {
  double RepeatShare = 0;
  unsigned Candidates = 0;
  for (const auto &[Id, Each] : Running) {
    if (Each.Deadline + MaxDelay < Deadline)
      continue;
    RepeatShare += Each.RepeatShare;
    ++Candidates;
  }
  return Candidates == 0 ? 0 : RepeatShare / Candidates;
}

} // namespace amaranth::dataplane
