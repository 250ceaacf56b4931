#ifndef AMARANTH_FOLLOWER_SRC_ENDPOINTPUBLISHER_H
#define AMARANTH_FOLLOWER_SRC_ENDPOINTPUBLISHER_H

#include "amaranth/base/Millis.h"
#include "amaranth/control/FollowMessages.h"
#include "amaranth/document/MeshSnapshot.h"

#include <map>
#include <vector>

namespace amaranth::follower::detail {

/// Tracks the published state of the local upstreams until it is committed.
class EndpointPublisher {
public:
  /// An update without a result is resent after this time.
  static constexpr base::Millis ResendDelay = base::Millis::seconds(2);

  void publish(document::Endpoint Entry);

  /// Returns the uncommitted updates to send now and marks them as sent. If
  /// `Reconnected`, those sent over an earlier connection are included even
  /// before `ResendDelay` has passed.
  std::vector<document::Endpoint> takeDueUpdates(base::TimePoint Now,
                                                 bool Reconnected);

  /// Records the result of an update. Results of superseded updates are
  /// ignored.
  void handleResult(const control::EndpointResult &Result);

  /// Republishes an endpoint with a higher sequence number if it was committed
  /// but is missing or unreachable in `Mesh`, or if it was refused and `Mesh`
  /// holds the same or a higher sequence number of its incarnation.
  void reconcile(const document::MeshSnapshot &Mesh);

  bool allCommitted() const;

private:
  struct PublishedEndpoint {
    document::Endpoint Entry;
    bool Committed = false;
    /// Refused permanently: resending the same update cannot succeed.
    bool Refused = false;
    bool Sent = false;
    base::TimePoint SentAt;
    /// A snapshot from this index on reflects the committed update.
    base::LogIndex CommittedAtOrBefore;
  };

  /// Implements the conditions documented at `reconcile`.
  static bool needsRepublish(const PublishedEndpoint &Published,
                             const document::MeshSnapshot &Mesh);

  std::map<base::EndpointId, PublishedEndpoint> Entries;
};

} // namespace amaranth::follower::detail

#endif
