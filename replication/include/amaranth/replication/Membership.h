#ifndef AMARANTH_REPLICATION_MEMBERSHIP_H
#define AMARANTH_REPLICATION_MEMBERSHIP_H

#include "amaranth/base/Bytes.h"
#include "amaranth/base/StrongId.h"

#include <string>
#include <vector>

namespace amaranth::replication {

/// One process that gets the log.
struct Member {
  base::ReplicaId Id;
  /// `ip:port` of its inner listener.
  std::string Address;
  /// Learners get the log without counting for majorities.
  bool Voter = false;

  bool operator==(const Member &) const = default;
};

/// The members as of one log entry.
struct Membership {
  std::vector<Member> Members;
  /// A voter that the leader removes next; id 0 for none. It is the second
  /// step of a replacement and survives a change of the leader.
  base::ReplicaId PendingRemoval;

  const Member *find(base::ReplicaId Id) const;
  Member *find(base::ReplicaId Id);
  bool isVoter(base::ReplicaId Id) const;
  std::size_t voterCount() const;
  /// Smallest number of voters that is a majority.
  std::size_t majority() const { return voterCount() / 2 + 1; }

  base::Bytes encode() const;
  /// Throws `base::ProtocolError`.
  static Membership decode(base::ByteView Data);
};

} // namespace amaranth::replication

#endif
