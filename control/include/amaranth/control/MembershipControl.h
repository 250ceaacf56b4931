#ifndef AMARANTH_CONTROL_MEMBERSHIPCONTROL_H
#define AMARANTH_CONTROL_MEMBERSHIPCONTROL_H

#include "amaranth/base/Error.h"
#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"

#include <boost/asio/awaitable.hpp>

namespace amaranth::control {

/// The membership change is not allowed in the current state; nothing was
/// changed. The message is shown to the operator.
class MembershipRefused : public base::Error {
public:
  using base::Error::Error;
};

/// Changes the members of the replicated log. The calls return once the change
/// is committed. They throw `MembershipRefused`, `replication::NotLeader` if
/// the change was not applied, or `base::TimeoutError` if it may still be
/// applied.
class MembershipControl {
public:
  virtual ~MembershipControl() = default;

  /// Promotes the learner `Replacement` to a voter, then removes the voter
  /// `Lost`. Returns after the promotion; the removal is completed by this or
  /// any later leader.
  virtual boost::asio::awaitable<void> replaceVoter(base::ReplicaId Lost,
                                                    base::ReplicaId Replacement,
                                                    base::Millis Timeout) = 0;
  /// Removes a member other than the leader.
  virtual boost::asio::awaitable<void> removeMember(base::ReplicaId Id,
                                                    base::Millis Timeout) = 0;
};

} // namespace amaranth::control

#endif
