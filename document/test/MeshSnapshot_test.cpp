#include "amaranth/document/MeshSnapshot.h"
#include "amaranth/document/RouteIndex.h"

#include <catch2/catch.hpp>

namespace amaranth::document {

class MeshSnapshotTest {
protected:
  MeshSnapshotTest() {
    addRoute("all", "/");
    addRoute("book", "/book");
    addRoute("admin", "/book/admin");
    Service Entry;
    Entry.Name = base::ServiceName("s");
    Entry.Versions = {{base::VersionName("v1"), FullShare, false}};
    Mesh.Services[Entry.Name] = Entry;
  }

  void addRoute(const std::string &Name, const std::string &Prefix) {
    Route Entry{base::RouteName(Name), Prefix, base::ServiceName("s"),
                base::Millis(1000), false};
    Mesh.Routes[Entry.Name] = Entry;
  }

  std::string matched(const std::string &Path) {
    RouteIndex Index(std::make_shared<MeshSnapshot>(Mesh));
    const Route *Found = Index.match("", Path);
    return Found ? Found->Name.value() : "none";
  }

  MeshSnapshot Mesh;
};

TEST_CASE_METHOD(MeshSnapshotTest, "match longest segment prefix wins") {
  CHECK(matched("/book/7") == "book");
  CHECK(matched("/book/admin/x") == "admin");
  CHECK(matched("/bookshop") == "all");
  Mesh.Routes.erase(base::RouteName("all"));
  CHECK(matched("/bookshop") == "none");
}

TEST_CASE_METHOD(MeshSnapshotTest,
                 "faults route to a missing service is reported") {
  CHECK(Mesh.faults().empty());
  Mesh.Services.clear();
  CHECK(Mesh.faults().size() == 3);
}

TEST_CASE_METHOD(MeshSnapshotTest,
                 "faults shares that do not sum up are reported") {
  Mesh.Services[base::ServiceName("s")].Versions[0].Share = 5;
  CHECK(Mesh.faults().size() == 1);
}

TEST_CASE_METHOD(MeshSnapshotTest, "digest differs for any changed field") {
  auto Before = Mesh.digest();
  CHECK(MeshSnapshot(Mesh).digest() == Before);
  Mesh.Routes[base::RouteName("book")].Timeout = base::Millis(999);
  CHECK(Mesh.digest() != Before);
}

} // namespace amaranth::document
