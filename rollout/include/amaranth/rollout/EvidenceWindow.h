#ifndef AMARANTH_ROLLOUT_EVIDENCEWINDOW_H
#define AMARANTH_ROLLOUT_EVIDENCEWINDOW_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"
#include "amaranth/rollout/Evidence.h"

#include <cstdint>
#include <map>

namespace amaranth::rollout {

/// Results on one route, of both versions over the same time.
struct RouteWindow {
  EvidenceCounts Old;
  EvidenceCounts New;
};

/// Results for one service over one second, summed over all entry nodes.
struct EvidenceWindow {
  base::WallTime Start;
  std::map<base::RouteName, RouteWindow> Routes;
  /// Slots of the ready upstreams of the new version; 0 when unknown.
  std::uint32_t NewSlots = 0;
};

/// Length of a window.
inline constexpr base::Millis WindowLength = base::Millis::seconds(1);

} // namespace amaranth::rollout

#endif
