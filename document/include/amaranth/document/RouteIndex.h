#ifndef AMARANTH_DOCUMENT_ROUTEINDEX_H
#define AMARANTH_DOCUMENT_ROUTEINDEX_H

#include "amaranth/document/MeshSnapshot.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace amaranth::document {

/// Returns the host name in lower case: names that differ only in case are the
/// same host.
std::string normalizeHost(std::string_view Host);

/// Finds the route of a request in time that depends on the length of its path
/// and not on the number of routes.
class RouteIndex {
public:
  /// Shares ownership of `Mesh`. Takes over the index of `Earlier`, if given,
  /// unless the routes have changed since.
  explicit RouteIndex(std::shared_ptr<const MeshSnapshot> Mesh,
                      const RouteIndex *Earlier = nullptr);

  /// Returns the route, or null if none matches. The pointer is valid during
  /// the lifetime of the index. `Host` is compared without regard to case.
  /// `Path` must not contain a query.
  const Route *match(std::string_view Host, std::string_view Path) const;

  const MeshSnapshot &mesh() const { return *Mesh; }
  /// Whether both use one index.
  bool sharesWith(const RouteIndex &Other) const {
    return Hosts == Other.Hosts;
  }

private:
  using PrefixMap = std::unordered_map<std::string, const Route *>;

  static const Route *findLongestPrefix(const PrefixMap &Prefixes,
                                        std::string_view Path);

  std::shared_ptr<const MeshSnapshot> Mesh;
  std::shared_ptr<const std::unordered_map<std::string, PrefixMap>> Hosts;
};

} // namespace amaranth::document

#endif
