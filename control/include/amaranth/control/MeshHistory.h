#ifndef AMARANTH_CONTROL_MESHHISTORY_H
#define AMARANTH_CONTROL_MESHHISTORY_H

#include "amaranth/base/Bytes.h"
#include "amaranth/document/MeshDelta.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace amaranth::control {

/// The newest snapshot of a control process and what changed before it, with
/// the encoded messages for nodes. Keeps keys of changed entries instead of
/// older snapshots: a snapshot at the target size takes megabytes.
class MeshHistory {
public:
  /// A set of services; empty means all.
  using ServiceFilter = std::set<base::ServiceName>;
  using EncodedMessage = std::shared_ptr<const base::Bytes>;

  /// A node that is more log entries behind gets a snapshot.
  static constexpr std::uint64_t MaxEntriesBehind = 512;

  /// Makes `Newest` the current snapshot. Ignored when it is the current one
  /// or not newer. Returns whether the current snapshot changed.
  bool add(std::shared_ptr<const document::MeshSnapshot> Newest);

  /// Null before the first `add`.
  const std::shared_ptr<const document::MeshSnapshot> &current() const {
    return Current;
  }

  /// Digest of the current snapshot as seen through a filter.
  std::uint64_t digest(const ServiceFilter &Services);

  /// The encoded delta from the given state to the current one, or null when
  /// only a snapshot will do. Encoded once and shared.
  EncodedMessage deltaFrom(base::DocumentVersion Document,
                           base::StateIndex State,
                           const ServiceFilter &Services);

  /// The current snapshot in pieces. Encoded once and shared.
  std::shared_ptr<const std::vector<base::Bytes>>
  pieces(const ServiceFilter &Services);

  /// Number of deltas encoded so far.
  std::uint64_t encodedDeltas() const { return EncodedDeltas; }

private:
  struct View {
    std::shared_ptr<const document::MeshSnapshot> Mesh;
    std::uint64_t Digest = 0;
    std::shared_ptr<const std::vector<base::Bytes>> Pieces;
  };
  struct Transition {
    base::StateIndex From;
    document::MeshKeys Changed;
  };
  using DeltaKey = std::tuple<std::uint64_t, std::uint64_t, ServiceFilter>;

  View &viewOf(const ServiceFilter &Services);
  std::optional<document::MeshKeys> changedSince(base::StateIndex State) const;

  std::shared_ptr<const document::MeshSnapshot> Current;
  /// Ascending; the last step leads to the current snapshot.
  std::deque<Transition> Transitions;
  std::map<ServiceFilter, View> Views;
  std::map<DeltaKey, EncodedMessage> Deltas;
  std::uint64_t EncodedDeltas = 0;
};

} // namespace amaranth::control

#endif
