#ifndef AMARANTH_FOLLOWER_SNAPSHOTSOURCE_H
#define AMARANTH_FOLLOWER_SNAPSHOTSOURCE_H

#include "amaranth/base/Signal.h"
#include "amaranth/document/MeshSnapshot.h"

#include <memory>

namespace amaranth::follower {

/// Provides the configuration that is in effect on a node.
class SnapshotSource {
public:
  virtual ~SnapshotSource() = default;

  /// Returns the snapshot in effect, or null before the first one. A snapshot
  /// is immutable, and a later call never returns an older version.
  virtual std::shared_ptr<const document::MeshSnapshot> current() const = 0;

  /// Signal that is notified whenever `current` returns a new snapshot.
  virtual base::Signal &changed() = 0;
};

} // namespace amaranth::follower

#endif
