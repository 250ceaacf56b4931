#ifndef AMARANTH_CONTROL_MESHHISTORY_H
#define AMARANTH_CONTROL_MESHHISTORY_H

#include "amaranth/control/EncodedUpdate.h"
#include "amaranth/document/MeshDelta.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace amaranth::control {

/// Holds the newest mesh snapshot of a control process, the changes that led to
/// it, and a cache of encoded messages for nodes. Stores the keys of changed
/// entries instead of older snapshots, because a snapshot at the target size
/// takes megabytes.
class MeshHistory {
public:
  /// Services that a node subscribed to; empty means all.
  using ServiceFilter = std::set<base::ServiceName>;
  using EncodedMessage = std::shared_ptr<const EncodedUpdate>;

  /// A node that is more log entries behind than this receives a full snapshot.
  static constexpr std::uint64_t MaxEntriesBehind = 512;
  /// Limit on the stored keys of changed entries. The oldest changes are
  /// dropped, and nodes that need them receive a full snapshot, which is not
  /// much larger than a delta of so many entries. A key takes about 100 bytes.
  static constexpr std::size_t MaxKeys = 65'536;
  /// Limit on the encoded messages in the cache, in bytes.
  static constexpr std::size_t MaxCachedBytes = 16U << 20U;

  /// Makes `Newest` the current snapshot unless it is null or not newer than
  /// the current one. Returns whether the current snapshot changed.
  bool add(std::shared_ptr<const document::MeshSnapshot> Newest);

  /// Null before the first `add`.
  const std::shared_ptr<const document::MeshSnapshot> &current() const {
    return Current;
  }

  /// Digest of the current snapshot, restricted to the given services.
  std::uint64_t digest(const ServiceFilter &Services);

  /// Encoded delta from the given state to the current one, or null if a full
  /// snapshot is required. Encoded once and shared between nodes.
  EncodedMessage deltaFrom(base::DocumentVersion Document,
                           base::StateIndex State,
                           const ServiceFilter &Services);

  /// Encoded current snapshot, split into pieces. Encoded once and shared
  /// between nodes.
  std::shared_ptr<const std::vector<EncodedUpdate>>
  pieces(const ServiceFilter &Services);

  /// Number of deltas encoded so far, not counting cache hits.
  std::uint64_t encodedDeltas() const { return EncodedDeltas; }
  /// Number of stored keys of changed entries.
  std::size_t keyCount() const { return KeyCount; }
  /// Size of the encoded messages in the cache, in bytes.
  std::size_t cachedBytes() const { return CachedBytes; }

private:
  struct View {
    std::shared_ptr<const document::MeshSnapshot> Mesh;
    std::uint64_t Digest = 0;
    std::shared_ptr<const std::vector<EncodedUpdate>> Pieces;
  };
  struct Transition {
    base::StateIndex From;
    document::MeshKeys Changed;
  };
  using DeltaKey = std::tuple<std::uint64_t, std::uint64_t, ServiceFilter>;

  View &viewOf(const ServiceFilter &Services);
  /// Makes room for a message in the cache. Invalidates references to views.
  void reserveCache(std::size_t Bytes);
  void clearCache();
  std::optional<document::MeshKeys> changedSince(base::StateIndex State) const;

  std::shared_ptr<const document::MeshSnapshot> Current;
  /// In ascending order; the last transition leads to the current snapshot.
  std::deque<Transition> Transitions;
  std::size_t KeyCount = 0;
  std::size_t CachedBytes = 0;
  std::map<ServiceFilter, View> Views;
  std::map<DeltaKey, EncodedMessage> Deltas;
  std::uint64_t EncodedDeltas = 0;
};

} // namespace amaranth::control

#endif
