#ifndef AMARANTH_FOLLOWER_SRC_CONTROLCHOOSER_H
#define AMARANTH_FOLLOWER_SRC_CONTROLCHOOSER_H

#include "amaranth/follower/Follower.h"

#include <optional>
#include <vector>

namespace amaranth::follower::detail {

/// Selects the control process that a node connects to next.
class ControlChooser {
public:
  /// After a failed or abandoned connection, a process is avoided for this time
  /// as long as another one is available.
  static constexpr base::Millis AvoidDuration = base::Millis::seconds(10);

  /// Processes in the zone of the node come first. Within a group, rendezvous
  /// hashing orders them by node and address, so that the nodes of a failed
  /// process spread evenly over the others.
  ControlChooser(const base::NodeId &Node, const base::AvailabilityZone &Zone,
                 std::vector<ControlProcess> Processes);

  /// Adds the processes that are not known yet. Processes are never removed, so
  /// indexes stay valid; connecting to one that no longer exists just fails.
  void add(const std::vector<ControlProcess> &Processes);

  std::size_t size() const { return Entries.size(); }
  const ControlProcess &process(std::size_t Index) const {
    return Entries[Index].Process;
  }

  /// Returns the most preferred process that is not avoided. If all are,
  /// returns the one whose avoidance ends first. Never returns `Excluded`.
  std::optional<std::size_t>
  next(base::TimePoint Now,
       std::optional<std::size_t> Excluded = std::nullopt) const;

  /// Avoids a process for `AvoidDuration`.
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
  /// Indexes into `Entries`, most preferred first.
  std::vector<std::size_t> PreferenceOrder;
};

} // namespace amaranth::follower::detail

#endif
