#include "amaranth/document/RouteIndex.h"
#include "amaranth/document/SnapshotCodec.h"
#include "amaranth/protocol/Frame.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <iostream>
#include <random>

namespace amaranth::document {

class SnapshotCodecTest {
protected:
  SnapshotCodecTest() { fill(3, 4, 6); }

  void fill(int Services, int Routes, int Endpoints) {
    Mesh = {};
    Mesh.Document = base::DocumentVersion(7);
    Mesh.State = base::StateIndex(9);
    for (int I = 0; I < Services; ++I)
      putService(I, 1);
    for (int I = 0; I < Routes; ++I)
      putRoute(I, I % Services, 1000);
    for (int I = 0; I < Endpoints; ++I)
      putEndpoint(I, I % Services, 1);
    Mesh.Quarantine[5] = {5, serviceName(0), true, base::WallTime(99)};
    putCustomer(0, 1);
    putCustomer(1, 2);
    Mesh.EvacuatedZones = {base::AvailabilityZone("sve-mitt-3")};
  }

  static base::ServiceName serviceName(int I) {
    return base::ServiceName(fmt::format("service-{:04}", I));
  }
  void putService(int I, std::uint64_t Epoch) {
    Service Entry;
    Entry.Name = serviceName(I);
    Entry.Versions = {{base::VersionName("v1"), FullShare - 10'000, false},
                      {base::VersionName("v2"), 10'000, false}};
    Entry.HasRollout = I % 2 == 0;
    if (Entry.HasRollout)
      Entry.Rollout = {base::VersionName("v1"),
                       base::VersionName("v2"),
                       base::Revision(3),
                       Epoch,
                       0.02,
                       1.25};
    Mesh.Services[Entry.Name] = Entry;
  }
  void putRoute(int I, int Target, std::int64_t Timeout) {
    Route Entry{base::RouteName(fmt::format("route-{:04}", I)),
                fmt::format("/archive/section/{:04}", I), serviceName(Target),
                base::Millis(Timeout), I % 3 == 0};
    Mesh.Routes[Entry.Name] = Entry;
  }
  void putEndpoint(int I, int Target, std::uint64_t Sequence) {
    Endpoint Entry;
    Entry.Id = base::EndpointId(fmt::format("upstream-{:04}", I));
    Entry.Node = base::NodeId(fmt::format("node-{:04}", I));
    Entry.NodeAddress = {fmt::format("10.1.{}.{}", I / 250, I % 250), 7001};
    Entry.Service = serviceName(Target);
    Entry.Version = base::VersionName("v1");
    Entry.Zone = base::AvailabilityZone(fmt::format("sve-mitt-{}", I % 9));
    Entry.Slots = 12;
    Entry.State = EndpointState::Ready;
    Entry.Incarnation = 1'700'000'000'000;
    Entry.Sequence = Sequence;
    Entry.ReadySince = 1'700'000'000'000 + I;
    Mesh.Endpoints[Entry.Id] = Entry;
  }
  void putCustomer(int I, std::uint32_t Priority) {
    Customer Entry;
    Entry.Name = base::CustomerName(fmt::format("customer-{:04}", I));
    Entry.Keys = {digestOfKey(Entry.Name.value())};
    Entry.Priority = Priority;
    Entry.RequestsPerSecond = 610;
    Mesh.Customers[Entry.Name] = Entry;
  }
  /// Adds, changes or removes a random entry.
  void applyRandomChange(std::mt19937_64 &Random) {
    auto Pick = [&](int Bound) { return static_cast<int>(Random() % Bound); };
    switch (Pick(8)) {
    case 0:
      return putService(Pick(8), Random());
    case 1:
      return putRoute(Pick(10), Pick(3), Pick(1000));
    case 2:
      return putEndpoint(Pick(12), Pick(3), Random());
    case 3:
      Mesh.Endpoints.erase(
          base::EndpointId(fmt::format("upstream-{:04}", Pick(12))));
      return;
    case 4:
      return putCustomer(Pick(6), static_cast<std::uint32_t>(Pick(4)));
    case 5:
      Mesh.Customers.erase(
          base::CustomerName(fmt::format("customer-{:04}", Pick(6))));
      return;
    case 6: {
      base::AvailabilityZone Zone(fmt::format("sve-mitt-{}", Pick(3)));
      if (Mesh.EvacuatedZones.erase(Zone) == 0)
        Mesh.EvacuatedZones.insert(Zone);
      return;
    }
    default:
      std::uint64_t Fingerprint = Random() % 4;
      Mesh.Quarantine[Fingerprint] = {Fingerprint, serviceName(0), false,
                                      base::WallTime(Pick(9))};
    }
  }

  std::shared_ptr<const MeshSnapshot>
  assemble(std::vector<base::Bytes> Pieces) {
    SnapshotAssembler Assembler;
    std::shared_ptr<const MeshSnapshot> Result;
    for (const base::Bytes &Piece : Pieces)
      Result = Assembler.add(Piece);
    return Result;
  }

  /// Returns the result of `Run`, or null if it throws `base::Error`.
  template <typename Action>
  static std::shared_ptr<const MeshSnapshot> resultOrNull(Action Run) {
    try {
      return Run();
    } catch (const base::Error &) {
      return nullptr;
    }
  }

  MeshSnapshot Mesh;
};

TEST_CASE_METHOD(SnapshotCodecTest,
                 "snapshot of the target size is split into frames") {
  fill(260, 1000, 1800);
  auto Pieces = encodePieces(Mesh, Mesh.digest());
  std::size_t Total = 0;
  for (const base::Bytes &Piece : Pieces) {
    CHECK(Piece.size() < protocol::MaxPayloadBytes);
    Total += Piece.size();
  }
  std::cout << "snapshot of 1800 endpoints, 260 services, 1000 routes: "
            << Total << " bytes in " << Pieces.size() << " pieces\n";
  CHECK(*assemble(Pieces) == Mesh);
}

// Guards against a kept part of the digest that no longer fits the routes:
// nodes would refuse every update.
TEST_CASE_METHOD(SnapshotCodecTest,
                 "digest after changes equals the digest of a decoded copy") {
  constexpr std::uint64_t Seed = 11;
  INFO("seed " << Seed);
  std::mt19937_64 Random(Seed);
  fill(8, 10, 12);
  for (int I = 0; I < 300; ++I) {
    applyRandomChange(Random);
    if (I % 7 == 0)
      Mesh.Document = base::DocumentVersion(Mesh.Document.value() + 1);
    // Throws if the digest of the decoded content differs.
    CHECK(*decodeSnapshot(encodeSnapshot(Mesh, Mesh.digest())) == Mesh);
  }
}

// Guards against work that grows with the number of routes for each change of
// an endpoint.
TEST_CASE_METHOD(SnapshotCodecTest,
                 "delta without routes shares the routes and their index") {
  fill(8, 100, 12);
  auto Before = std::make_shared<MeshSnapshot>(Mesh);
  putEndpoint(3, 1, 77);
  auto After = applyDelta(*Before, computeDelta(*Before, Mesh));
  CHECK(After->Routes.sharesWith(Before->Routes));
  CHECK(After->Services.sharesWith(Before->Services));
  CHECK_FALSE(After->Endpoints.sharesWith(Before->Endpoints));
  RouteIndex Earlier(Before);
  CHECK(RouteIndex(After, &Earlier).sharesWith(Earlier));
  putRoute(1, 1, 500);
  auto Changed = applyDelta(*After, computeDelta(*After, Mesh));
  CHECK_FALSE(RouteIndex(Changed, &Earlier).sharesWith(Earlier));
}

TEST_CASE_METHOD(SnapshotCodecTest,
                 "snapshot pieces must be complete and in order") {
  fill(260, 4000, 9000);
  auto Pieces = encodePieces(Mesh, Mesh.digest());
  REQUIRE(Pieces.size() > 2);
  CHECK(*assemble(Pieces) == Mesh);
  std::swap(Pieces[0], Pieces[1]);
  CHECK_THROWS_AS(assemble(Pieces), base::ProtocolError);
  std::swap(Pieces[0], Pieces[1]);
  Pieces.erase(Pieces.begin() + 1);
  CHECK_THROWS_AS(assemble(Pieces), base::ProtocolError);
}

// Guards against a snapshot or delta that is corrupted in transit and then
// applied with different content.
TEST_CASE_METHOD(SnapshotCodecTest,
                 "snapshot with a corrupted byte never changes content") {
  base::Bytes Good = encodeSnapshot(Mesh, Mesh.digest());
  std::size_t Refused = 0;
  for (std::size_t I = 0; I < Good.size(); ++I) {
    base::Bytes Bad = Good;
    Bad[I] ^= 0x41;
    auto Decoded = resultOrNull([&] { return decodeSnapshot(Bad); });
    // Corrupted padding is not detected, but leaves the content unchanged.
    CHECK((!Decoded || *Decoded == Mesh));
    Refused += Decoded ? 0 : 1;
  }
  CHECK(Refused > Good.size() / 2);
}

TEST_CASE_METHOD(SnapshotCodecTest,
                 "delta with a corrupted byte never changes content") {
  MeshSnapshot Old = Mesh;
  putRoute(1, 2, 5);
  Mesh.State = base::StateIndex(10);
  base::Bytes Good = encodeDelta(computeDelta(Old, Mesh));
  std::size_t Refused = 0;
  for (std::size_t I = 0; I < Good.size(); ++I) {
    base::Bytes Bad = Good;
    Bad[I] ^= 0x41;
    auto Result =
        resultOrNull([&] { return applyDelta(Old, decodeDelta(Bad)); });
    CHECK((!Result || *Result == Mesh));
    Refused += Result ? 0 : 1;
  }
  CHECK(Refused > Good.size() / 2);
}

TEST_CASE_METHOD(SnapshotCodecTest, "delta with another base is rejected") {
  MeshSnapshot Old = Mesh;
  putRoute(1, 2, 5);
  Mesh.State = base::StateIndex(10);
  MeshDelta Delta = computeDelta(Old, Mesh);
  CHECK(*applyDelta(Old, Delta) == Mesh);
  MeshSnapshot OtherState = Old;
  OtherState.State = base::StateIndex(8);
  CHECK_THROWS_AS(applyDelta(OtherState, Delta), DeltaMismatch);
  MeshSnapshot OtherContent = Old;
  OtherContent.Endpoints.erase(OtherContent.Endpoints.begin()->first);
  CHECK_THROWS_AS(applyDelta(OtherContent, Delta), DeltaMismatch);
  Delta.Digest ^= 1;
  CHECK_THROWS_AS(applyDelta(Old, Delta), DeltaMismatch);
}

TEST_CASE_METHOD(SnapshotCodecTest,
                 "delta of random changes yields the target") {
  std::uint64_t Seed = 20'240'611;
  INFO("seed " << Seed);
  std::mt19937_64 Random(Seed);
  for (int Run = 0; Run < 300; ++Run) {
    MeshSnapshot Old = Mesh;
    for (auto Count = Random() % 6; Count > 0; --Count)
      applyRandomChange(Random);
    Mesh.State = base::StateIndex(Mesh.State.value() + 1);
    MeshDelta Delta = decodeDelta(encodeDelta(computeDelta(Old, Mesh)));
    REQUIRE(*applyDelta(Old, Delta) == Mesh);
  }
}

TEST_CASE_METHOD(SnapshotCodecTest, "delta of one endpoint is small") {
  fill(260, 1000, 1800);
  MeshSnapshot Old = Mesh;
  putEndpoint(900, 3, 2);
  Mesh.State = base::StateIndex(10);
  std::size_t Size = encodeDelta(computeDelta(Old, Mesh)).size();
  std::cout << "delta of one endpoint: " << Size << " bytes\n";
  CHECK(Size < 512);
}

TEST_CASE_METHOD(SnapshotCodecTest,
                 "filterServices keeps the entries of its services") {
  MeshSnapshot Part = filterServices(Mesh, {serviceName(1)});
  CHECK(Part.Services.size() == 1);
  CHECK(Part.Endpoints.size() == 2);
  CHECK(Part.Quarantine.empty());
  CHECK(Part.faults().empty());
}

TEST_CASE_METHOD(SnapshotCodecTest, "endpoint with unknown state is rejected") {
  Endpoint Entry = Mesh.Endpoints.begin()->second;
  Entry.UpstreamIncarnation = 77;
  Entry.UpstreamLeft = true;
  CHECK(decodeEndpoint(encodeEndpoint(Entry)) == Entry);
  Entry.State = static_cast<EndpointState>(9);
  CHECK_THROWS_AS(decodeEndpoint(encodeEndpoint(Entry)), base::ProtocolError);
}

} // namespace amaranth::document
