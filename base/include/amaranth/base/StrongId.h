#ifndef AMARANTH_BASE_STRONGID_H
#define AMARANTH_BASE_STRONGID_H

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace amaranth::base {

/// A value that does not convert to values with another tag. `Tag` is an
/// incomplete type that only names the id.
template <typename Tag, typename Rep> class StrongId {
public:
  StrongId() = default;
  explicit StrongId(Rep Value) : Value(std::move(Value)) {}

  const Rep &value() const { return Value; }

  auto operator<=>(const StrongId &) const = default;
  friend std::ostream &operator<<(std::ostream &Out, const StrongId &Id) {
    return Out << Id.Value;
  }

private:
  Rep Value{};
};

/// Name of a service, unique in the document.
using ServiceName = StrongId<struct ServiceNameTag, std::string>;
/// Name of a version of one service, unique in that service.
using VersionName = StrongId<struct VersionNameTag, std::string>;
/// Name of a route, unique in the document.
using RouteName = StrongId<struct RouteNameTag, std::string>;
/// Name of a customer, unique in the document.
using CustomerName = StrongId<struct CustomerNameTag, std::string>;
/// Name of a team that owns sections.
using TeamName = StrongId<struct TeamNameTag, std::string>;
/// Name of an operator, from the keys file of the control processes.
using OperatorName = StrongId<struct OperatorNameTag, std::string>;
/// Name of an availability zone, from the settings of a process.
using AvailabilityZone = StrongId<struct AvailabilityZoneTag, std::string>;
/// Name of a node, from its settings; unique in the mesh.
using NodeId = StrongId<struct NodeIdTag, std::string>;
/// Identity of one upstream as its node announces it.
using EndpointId = StrongId<struct EndpointIdTag, std::string>;
/// Chosen by the operator's client; a resend carries the same id.
using OperationId = StrongId<struct OperationIdTag, std::string>;
/// Random identity of a control process, created with its data folder.
using ReplicaId = StrongId<struct ReplicaIdTag, std::uint64_t>;
/// Position in the replicated log; 0 is before the first entry.
using LogIndex = StrongId<struct LogIndexTag, std::uint64_t>;
/// Term of a leader.
using Term = StrongId<struct TermTag, std::uint64_t>;
/// Log index of the last accepted change of the document.
using DocumentVersion = StrongId<struct DocumentVersionTag, std::uint64_t>;
/// Version label that an operator gave to a whole document; 0 for none.
using DocumentLabel = StrongId<struct DocumentLabelTag, std::uint64_t>;
/// Log index that a node's snapshot reflects, endpoints included.
using StateIndex = StrongId<struct StateIndexTag, std::uint64_t>;
/// Log index of the last change of one section; 0 for an absent section.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;

} // namespace amaranth::base

template <typename Tag, typename Rep>
struct std::hash<amaranth::base::StrongId<Tag, Rep>> {
  std::size_t
  operator()(const amaranth::base::StrongId<Tag, Rep> &Id) const noexcept {
    return std::hash<Rep>()(Id.value());
  }
};

#endif
