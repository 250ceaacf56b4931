#ifndef AMARANTH_FOLLOWER_SRC_CONTROLCHOOSER_H
#define AMARANTH_FOLLOWER_SRC_CONTROLCHOOSER_H

#include "amaranth/follower/Follower.h"

#include <optional>
#include <vector>

namespace amaranth::follower::detail {

/// Order in which a node tries the control processes.
class ControlChooser {
public:
  /// A process that failed or was left is not tried again for this time while
  /// others remain.
  static constexpr base::Millis AvoidDuration = base::Millis::seconds(10);

  /// Own zone first, then by rendezvous hash of the node id, so that the
  /// nodes of a lost process spread over all others.
  ControlChooser(const base::NodeId &Node, const base::AvailabilityZone &Zone,
                 std::vector<ControlProcess> Processes);

  /// Adds processes that are not known yet; indexes stay valid. Others are
  /// kept: one that is gone is found out by the first attempt.
  void add(const std::vector<ControlProcess> &Processes);

  std::size_t size() const { return Entries.size(); }
  const ControlProcess &process(std::size_t Index) const {
    return Entries[Index].Process;
  }

  /// The first process that is not avoided; the one whose avoidance ends
  /// first when all are. `Excluded` is never chosen.
  std::optional<std::size_t>
  next(base::TimePoint Now,
       std::optional<std::size_t> Excluded = std::nullopt) const;

  void avoid(std::size_t Index, base::TimePoint Now);
  void stopAvoiding(std::size_t Index);

private:
  struct Entry {
    ControlProcess Process;
    std::uint64_t Weight = 0;
    base::TimePoint AvoidUntil = base::TimePoint(-1'000'000'000);
  };
  base::NodeId Node;
  base::AvailabilityZone Zone;
  std::vector<Entry> Entries;
  /// Indexes into `Entries` in the order of preference.
  std::vector<std::size_t> PreferenceOrder;
};

} // namespace amaranth::follower::detail

#endif
