#ifndef AMARANTH_FOLLOWER_SRC_ENDPOINTPUBLISHER_H
#define AMARANTH_FOLLOWER_SRC_ENDPOINTPUBLISHER_H

#include "amaranth/base/Millis.h"
#include "amaranth/control/FollowMessages.h"
#include "amaranth/document/MeshSnapshot.h"

#include <map>
#include <vector>

namespace amaranth::follower::detail {

/// The state of the local upstreams and whether it is committed.
class EndpointPublisher {
public:
  /// An update without an answer is sent again after this time.
  static constexpr base::Millis ResendDelay = base::Millis::seconds(2);

  void publish(document::Endpoint Entry);

  /// The updates to send now; they count as sent. `Reconnected`: also those
  /// that were sent over an earlier connection.
  std::vector<document::Endpoint> takeDueUpdates(base::TimePoint Now,
                                                 bool Reconnected);

  void handleResult(const control::EndpointResult &Result);

  /// Publishes again, with a higher sequence, what the snapshot in force
  /// shows as unreachable or lacks although it was committed, and what was
  /// refused because the snapshot has the same sequence or a later one.
  void reconcile(const document::MeshSnapshot &Mesh);

  bool allCommitted() const;

private:
  struct PublishedEndpoint {
    document::Endpoint Entry;
    bool Committed = false;
    /// Refused in a way that sending again cannot change.
    bool Refused = false;
    bool Sent = false;
    base::TimePoint SentAt;
    base::LogIndex CommittedAtOrBefore;
  };

  /// Whether the snapshot shows that the entry must be published again.
  static bool needsRepublish(const PublishedEndpoint &Published,
                             const document::MeshSnapshot &Mesh);

  std::map<base::EndpointId, PublishedEndpoint> Entries;
};

} // namespace amaranth::follower::detail

#endif
