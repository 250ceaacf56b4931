#ifndef AMARANTH_CONTROL_MEMBERSHIPCONTROL_H
#define AMARANTH_CONTROL_MEMBERSHIPCONTROL_H

#include "amaranth/base/Error.h"
#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"

#include <boost/asio/awaitable.hpp>

namespace amaranth::control {

/// The membership change is not allowed now; nothing was changed. The message
/// is for the operator.
class MembershipRefused : public base::Error {
public:
  using base::Error::Error;
};

/// Changes the members of the replicated log. The calls return once the
/// change is committed. They throw `MembershipRefused`,
/// `replication::NotLeader` (not applied) or `base::TimeoutError` (may be
/// applied now or later).
class MembershipControl {
public:
  virtual ~MembershipControl() = default;

  /// Makes the learner a voter and then removes the lost voter. Returns after
  /// the first step; the second follows under any leader.
  virtual boost::asio::awaitable<void> replaceVoter(base::ReplicaId Lost,
                                                    base::ReplicaId Replacement,
                                                    base::Millis Timeout) = 0;
  /// Removes a member that is not the leader.
  virtual boost::asio::awaitable<void> removeMember(base::ReplicaId Id,
                                                    base::Millis Timeout) = 0;
};

} // namespace amaranth::control

#endif
