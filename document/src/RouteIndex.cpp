#include "amaranth/document/RouteIndex.h"

#include <algorithm>
#include <cctype>

namespace amaranth::document {

std::string normalizeHost(std::string_view Host) {
  std::string Result(Host);
  std::ranges::transform(Result, Result.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Result;
}

RouteIndex::RouteIndex(std::shared_ptr<const MeshSnapshot> Snapshot,
                       const RouteIndex *Earlier)
    : Mesh(std::move(Snapshot)) {
  if (Earlier && Earlier->Mesh->Routes.sharesWith(Mesh->Routes)) {
    Hosts = Earlier->Hosts;
    return;
  }
  std::unordered_map<std::string, PrefixMap> Index;
  for (const auto &[Name, Entry] : Mesh->Routes)
    Index[normalizeHost(Entry.Host)].emplace(Entry.PathPrefix, &Entry);
  Hosts = std::make_shared<const std::unordered_map<std::string, PrefixMap>>(
      std::move(Index));
}

const Route *RouteIndex::findLongestPrefix(const PrefixMap &Prefixes,
                                           std::string_view Path) {
  auto Find = [&Prefixes](std::string_view Prefix) -> const Route * {
    auto Found = Prefixes.find(std::string(Prefix));
    return Found == Prefixes.end() ? nullptr : Found->second;
  };
  if (const Route *Whole = Find(Path))
    return Whole;
  // A shorter prefix matches whole segments only if it ends with a slash or is
  // followed by one.
  for (auto Slash = Path.rfind('/'); Slash != std::string_view::npos;
       Slash = Slash == 0 ? std::string_view::npos
                          : Path.rfind('/', Slash - 1)) {
    if (const Route *Found = Find(Path.substr(0, Slash + 1)))
      return Found;
    if (const Route *Found = Find(Path.substr(0, Slash)))
      return Found;
  }
  return nullptr;
}

const Route *RouteIndex::match(std::string_view Host,
                               std::string_view Path) const {
  for (const std::string &Key : {normalizeHost(Host), std::string()}) {
    auto Found = Hosts->find(Key);
    if (Found == Hosts->end())
      continue;
    if (const Route *Best = findLongestPrefix(Found->second, Path))
      return Best;
  }
  return nullptr;
}

} // namespace amaranth::document
