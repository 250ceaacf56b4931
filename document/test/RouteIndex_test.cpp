#include "amaranth/document/RouteIndex.h"

#include <catch2/catch.hpp>

#include <random>

namespace amaranth::document {

namespace {

bool isSegmentPrefix(const std::string &Prefix, std::string_view Path) {
  if (!Path.starts_with(Prefix))
    return false;
  return Path.size() == Prefix.size() || Prefix.ends_with('/') ||
         Path[Prefix.size()] == '/';
}

/// Reference implementation that scans all routes.
const Route *findByScan(const MeshSnapshot &Mesh, const std::string &Host,
                        const std::string &Path) {
  const Route *Best = nullptr;
  auto Rank = [](const Route &Entry) {
    return std::pair(!Entry.Host.empty(), Entry.PathPrefix.size());
  };
  for (const auto &[Name, Candidate] : Mesh.Routes) {
    if (!isSegmentPrefix(Candidate.PathPrefix, Path))
      continue;
    if (!Candidate.Host.empty() && Candidate.Host != Host)
      continue;
    if (!Best || Rank(Candidate) > Rank(*Best))
      Best = &Candidate;
  }
  return Best;
}

} // namespace

class RouteIndexTest {
protected:
  void add(const std::string &Name, const std::string &Host,
           const std::string &Prefix) {
    Route Entry;
    Entry.Name = base::RouteName(Name);
    Entry.Host = Host;
    Entry.PathPrefix = Prefix;
    Mesh.Routes[Entry.Name] = Entry;
  }

  std::string find(const std::string &Host, const std::string &Path) {
    RouteIndex Index(std::make_shared<MeshSnapshot>(Mesh));
    const Route *Found = Index.match(Host, Path);
    return Found ? Found->Name.value() : "none";
  }

  MeshSnapshot Mesh;
};

TEST_CASE_METHOD(RouteIndexTest, "match takes the longest prefix of the host") {
  add("short", "a.example", "/x/");
  add("long", "a.example", "/x/y/");
  add("other", "b.example", "/x/y/z/");
  add("any", "", "/x/y/");
  CHECK(find("a.example", "/x/y/z/1") == "long");
  CHECK(find("a.example", "/x/yy") == "short");
  CHECK(find("a.example", "/x") == "none");
  CHECK(find("c.example", "/x/y/1") == "any");
  CHECK(find("c.example", "/") == "none");
}

// Guards against a route with a capital letter in its host that no request
// matches.
TEST_CASE_METHOD(RouteIndexTest, "match ignores the case of host names") {
  add("r", "Cluj.Studio.example", "/x/");
  CHECK(find("Cluj.Studio.example", "/x/1") == "r");
  CHECK(find("cluj.studio.example", "/x/1") == "r");
  CHECK(find("CLUJ.studio.EXAMPLE", "/x/1") == "r");
  CHECK(find("cluj.studio.example", "/X/1") == "none");
}

// Guards against an index that finds another route than a scan, which would
// send requests to a service that the configuration does not specify.
TEST_CASE_METHOD(RouteIndexTest, "match finds the same route as a scan") {
  constexpr std::uint64_t Seed = 11;
  std::mt19937_64 Random(Seed);
  INFO("seed " << Seed);
  auto Path = [&Random](bool Slash) {
    std::string Text;
    for (std::uint64_t I = Random() % 4; I > 0; --I)
      Text += "/" + std::string(1 + Random() % 2, "ab"[Random() % 2]);
    return Text.empty() || Slash ? Text + "/" : Text;
  };
  for (int Round = 0; Round < 50; ++Round) {
    Mesh.Routes.clear();
    std::set<std::pair<std::string, std::string>> UsedPrefixes;
    for (int I = 0; I < 12; ++I) {
      std::string Host =
          Random() % 3 == 0 ? "" : "h" + std::to_string(Random() % 2);
      std::string Prefix = Path(Random() % 2 == 0);
      if (UsedPrefixes.emplace(Host, Prefix).second)
        add("r" + std::to_string(I), Host, Prefix);
    }
    RouteIndex Index(std::make_shared<MeshSnapshot>(Mesh));
    for (int I = 0; I < 40; ++I) {
      std::string Host = "h" + std::to_string(Random() % 3);
      std::string Target = Path(Random() % 2 == 0);
      INFO(Host << Target);
      const Route *Expected = findByScan(Mesh, Host, Target);
      const Route *Found = Index.match(Host, Target);
      REQUIRE((Found ? Found->Name.value() : "none") ==
              (Expected ? Expected->Name.value() : "none"));
    }
  }
}

} // namespace amaranth::document
