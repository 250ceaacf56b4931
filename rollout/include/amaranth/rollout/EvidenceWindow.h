#ifndef AMARANTH_ROLLOUT_EVIDENCEWINDOW_H
#define AMARANTH_ROLLOUT_EVIDENCEWINDOW_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"
#include "amaranth/rollout/Evidence.h"

#include <cstdint>
#include <map>

namespace amaranth::rollout {

/// Results of both versions on one route over the same period.
struct RouteWindow {
  EvidenceCounts Old;
  EvidenceCounts New;
};

/// Results of one service over one window, summed over all entry nodes.
struct EvidenceWindow {
  base::WallTime Start;
  std::map<base::RouteName, RouteWindow> Routes;
  /// Total slots of the ready upstreams of the new version; 0 if unknown.
  std::uint32_t NewSlots = 0;
};

/// Duration of one evidence window.
inline constexpr base::Millis WindowLength = base::Millis::seconds(1);

} // namespace amaranth::rollout

#endif
