#ifndef AMARANTH_FOLLOWER_SNAPSHOTSOURCE_H
#define AMARANTH_FOLLOWER_SNAPSHOTSOURCE_H

#include "amaranth/base/Signal.h"
#include "amaranth/document/MeshSnapshot.h"

#include <memory>

namespace amaranth::follower {

/// The configuration that a node has in force.
class SnapshotSource {
public:
  virtual ~SnapshotSource() = default;

  /// The applied snapshot, or null before the first one. The value never
  /// changes; a later call may return a newer one, never an older one.
  virtual std::shared_ptr<const document::MeshSnapshot> current() const = 0;

  /// Notified after each change of `current`.
  virtual base::Signal &changed() = 0;
};

} // namespace amaranth::follower

#endif
