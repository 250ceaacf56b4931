#ifndef AMARANTH_REPLICATION_MEMBERSHIP_H
#define AMARANTH_REPLICATION_MEMBERSHIP_H

#include "amaranth/base/Bytes.h"
#include "amaranth/base/StrongId.h"

#include <string>
#include <vector>

namespace amaranth::replication {

/// A process that receives the replicated log.
struct Member {
  base::ReplicaId Id;
  /// Address of its inner listener, as `ip:port`.
  std::string Address;
  /// Voters count towards majorities; learners only receive the log.
  bool Voter = false;

  bool operator==(const Member &) const = default;
};

/// The members of the cluster as of one log entry.
struct Membership {
  std::vector<Member> Members;
  /// The voter that the leader removes once this membership is committed, as
  /// the second step of a replacement; id 0 for none. It is stored in the log,
  /// so that a new leader completes the replacement.
  base::ReplicaId PendingRemoval;

  const Member *find(base::ReplicaId Id) const;
  Member *find(base::ReplicaId Id);
  bool isVoter(base::ReplicaId Id) const;
  std::size_t voterCount() const;
  /// The smallest number of voters that form a majority.
  std::size_t majority() const { return voterCount() / 2 + 1; }

  base::Bytes encode() const;
  /// Throws `base::ProtocolError` if `Data` is malformed.
  static Membership decode(base::ByteView Data);
};

} // namespace amaranth::replication

#endif
