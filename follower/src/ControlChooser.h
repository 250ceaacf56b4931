#ifndef AMARANTH_FOLLOWER_SRC_CONTROLCHOOSER_H
#define AMARANTH_FOLLOWER_SRC_CONTROLCHOOSER_H

#include "amaranth/follower/Follower.h"

#include <optional>
#include <set>
#include <vector>

namespace amaranth::follower::detail {

/// Knows the control processes that a node may connect to, and the order in
/// which it dials them.
///
/// A process is known as a seed, because it is in the settings of the node, or
/// as a member, because it is in the newest list of members that a control
/// process sent. One that is neither is forgotten.
class ControlChooser {
public:
  /// After a failed or abandoned connection, a process is dialed after all
  /// others for this time.
  static constexpr base::Millis AvoidDuration = base::Millis::seconds(10);

  /// A process to dial, and why it was chosen.
  struct Choice {
    ControlProcess Process;
    bool IsMember = false;
    /// Whether a connection to it failed or was abandoned recently.
    bool IsAvoided = false;
  };

  /// Members come before other processes, and processes in the zone of the node
  /// before others. Within a group, rendezvous hashing orders them by node and
  /// address, so that the nodes of a failed process spread evenly over the
  /// others.
  ControlChooser(const base::NodeId &Node, const base::AvailabilityZone &Zone,
                 const std::vector<ControlProcess> &Seeds);

  /// Replaces the seeds. An empty list is ignored, because the seeds are the
  /// only way back for a node that knows only members that are gone.
  void setSeeds(const std::vector<ControlProcess> &Seeds);

  /// Replaces the members by those that the cluster had when the log index
  /// `Applied` was applied. Ignored if the list is older than the one in use,
  /// because the process that sent it may lag behind.
  void setMembers(base::LogIndex Applied,
                  const std::vector<base::Address> &Members);

  std::size_t size() const { return Entries.size(); }

  /// Returns the most preferred process that is not in `Excluded`. Processes to
  /// be avoided come last, the one that failed first before the others.
  std::optional<Choice> next(base::TimePoint Now,
                             const std::set<base::Address> &Excluded) const;

  /// Avoids a process for `AvoidDuration`. Ignored if it is not known.
  void avoid(const base::Address &Process, base::TimePoint Now);
  void stopAvoiding(const base::Address &Process);

private:
  struct Entry {
    ControlProcess Process;
    std::uint64_t Weight = 0;
    bool IsSeed = false;
    bool IsMember = false;
    base::TimePoint AvoidUntil = base::TimePoint(-1'000'000'000);
  };

  Entry *find(const base::Address &Address);
  Entry &findOrAdd(const ControlProcess &Process);
  /// Removes the entries that are neither seeds nor members, and sorts the
  /// others.
  void update();

  base::NodeId Node;
  base::AvailabilityZone Zone;
  /// Most preferred first.
  std::vector<Entry> Entries;
  /// Log index of the list of members in use.
  base::LogIndex MembersIndex;
};

} // namespace amaranth::follower::detail

#endif
