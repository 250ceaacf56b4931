#include "amaranth/base/Error.h"
#include "amaranth/control/EvidenceTable.h"
#include "amaranth/control/FollowMessages.h"
#include "amaranth/control/LeaseTable.h"
#include "amaranth/control/MeshHistory.h"
#include "amaranth/document/SnapshotCodec.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <random>

namespace amaranth::control {

class DistributionTablesTest {
protected:
  void putEndpoints(int Count) {
    for (int I = 0; I < Count; ++I) {
      document::Endpoint Entry;
      Entry.Id = base::EndpointId(fmt::format("u{:04}", I));
      Entry.Node = node(I);
      Entry.State = document::EndpointState::Ready;
      Mesh.Endpoints[Entry.Id] = Entry;
    }
  }
  static base::NodeId node(int I) {
    return base::NodeId(fmt::format("n{:04}", I));
  }
  static base::TimePoint at(std::int64_t Ms) { return base::TimePoint(Ms); }

  document::MeshSnapshot Mesh;
  LeaseTable Leases;
  EvidenceTable Evidence;
};

// Guards against a new leader that expires all endpoints because it has not
// heard from any node yet.
TEST_CASE_METHOD(DistributionTablesTest,
                 "LeaseTable of a new leader grants a full lease") {
  putEndpoints(3);
  Leases.reset(at(100'000));
  CHECK(Leases.expired(Mesh, at(107'999)).Items.empty());
  Leases.renew(node(1), at(104'000));
  auto Expired = Leases.expired(Mesh, at(108'000)).Items;
  REQUIRE(Expired.size() == 2);
  CHECK(Expired[0].Id.value() == "u0000");
  CHECK(Leases.expired(Mesh, at(112'000)).Items.size() == 3);
}

TEST_CASE_METHOD(DistributionTablesTest,
                 "LeaseTable expires at most 200 and skips unreachable ones") {
  putEndpoints(500);
  Leases.reset(at(0));
  auto First = Leases.expired(Mesh, at(8000)).Items;
  REQUIRE(First.size() == 200);
  for (const auto &Item : First)
    Mesh.Endpoints[Item.Id].State = document::EndpointState::Unreachable;
  CHECK(Leases.expired(Mesh, at(9000)).Items.front().Id.value() == "u0200");
}

TEST_CASE_METHOD(DistributionTablesTest,
                 "EvidenceTable sums windows and rollout totals") {
  base::ServiceName Service("plati");
  Mesh.Services[Service].HasRollout = true;
  Mesh.Services[Service].Rollout.Section = base::Revision(4);
  rollout::EvidenceReport Report;
  rollout::EvidenceKey Key{Service, base::VersionName("v2"),
                           base::RouteName("pay")};
  Report.Counts[Key].add(true, base::Millis(10));
  Evidence.add(Report, Mesh, at(1200));
  Evidence.add(Report, Mesh, at(1900));
  Evidence.add(Report, Mesh, at(2100));
  CHECK(Evidence.windows().size() == 2);
  CHECK(Evidence.countsSince(Service, at(1000))[Key].Errors == 3);
  CHECK(Evidence.countsSince(Service, at(2000))[Key].Errors == 1);
  CHECK(Evidence.rolloutTotals(Service, base::Revision(4))[Key].Requests == 3);
  Evidence.add(Report, Mesh, at(700'000));
  CHECK(Evidence.windows().size() == 1);
  Mesh.Services[Service].Rollout.Section = base::Revision(9);
  Evidence.add(Report, Mesh, at(710'000));
  CHECK(Evidence.rolloutTotals(Service, base::Revision(4)).empty());
}

TEST_CASE_METHOD(DistributionTablesTest,
                 "LeaderReport is decoded as it was encoded") {
  LeaderReport Report;
  Report.Nodes = {node(1), node(2)};
  rollout::EvidenceKey Key{base::ServiceName("s"), base::VersionName("v"),
                           base::RouteName("r")};
  Report.Evidence.Counts[Key].add(false, base::Millis(70));
  base::Bytes Encoded = encode(Report);
  LeaderReport Decoded = decodeLeaderReport(Encoded);
  CHECK(Decoded.Nodes == Report.Nodes);
  CHECK(Decoded.Evidence.Counts[Key].Latency ==
        Report.Evidence.Counts[Key].Latency);
  Encoded.resize(Encoded.size() / 2);
  CHECK_THROWS_AS(decodeLeaderReport(Encoded), base::ProtocolError);
}

// Guards against a history that exceeds the memory of the process because each
// of its changes concerns all routes.
TEST_CASE_METHOD(DistributionTablesTest,
                 "MeshHistory drops old changes above the limit of keys") {
  constexpr std::uint64_t Endpoints = 2'000;
  putEndpoints(Endpoints);
  MeshHistory History;
  for (std::uint64_t State = 1; State <= 100; ++State) {
    Mesh.State = base::StateIndex(State);
    for (auto &[Id, Entry] : Mesh.Endpoints.edit())
      ++Entry.Sequence;
    History.add(std::make_shared<document::MeshSnapshot>(Mesh));
    REQUIRE(History.keyCount() <= MeshHistory::MaxKeys);
    History.deltaFrom({}, base::StateIndex(State - 1), {});
    History.pieces({});
    REQUIRE(History.cachedBytes() <= MeshHistory::MaxCachedBytes);
  }
  CHECK(History.keyCount() > MeshHistory::MaxKeys - Endpoints);
  CHECK_FALSE(History.deltaFrom({}, base::StateIndex(60), {}));
  CHECK(History.deltaFrom({}, base::StateIndex(99), {}));
}

// Guards against encoding work that grows with the number of nodes.
TEST_CASE_METHOD(DistributionTablesTest,
                 "MeshHistory encodes a delta once for all nodes") {
  putEndpoints(50);
  MeshHistory History;
  auto Advance = [&](std::uint64_t State) {
    Mesh.State = base::StateIndex(State);
    ++Mesh.Endpoints.edit().begin()->second.Sequence;
    History.add(std::make_shared<document::MeshSnapshot>(Mesh));
  };
  Advance(10);
  document::MeshSnapshot Base = Mesh;
  Advance(20);
  auto First = History.deltaFrom({}, base::StateIndex(10), {});
  REQUIRE(First);
  CHECK(First == History.deltaFrom({}, base::StateIndex(10), {}));
  CHECK(History.encodedDeltas() == 1);
  CHECK(*document::applyDelta(Base, document::decodeDelta(First->message())) ==
        Mesh);
  // Another process may have taken the same content at a different index.
  Base.State = base::StateIndex(13);
  auto Between = History.deltaFrom({}, base::StateIndex(13), {});
  CHECK(*document::applyDelta(
            Base, document::decodeDelta(Between->message())) == Mesh);
  CHECK_FALSE(History.deltaFrom({}, base::StateIndex(9), {}));
  CHECK_FALSE(History.deltaFrom({}, base::StateIndex(21), {}));
  Advance(523);
  CHECK(History.deltaFrom({}, base::StateIndex(20), {}));
  CHECK_FALSE(History.deltaFrom({}, base::StateIndex(10), {}));
  Advance(533);
  CHECK_FALSE(History.deltaFrom({}, base::StateIndex(20), {}));
}

// Guards against nodes of an earlier version that receive a message type which
// they do not know, and against compression that makes a message larger.
TEST_CASE_METHOD(DistributionTablesTest,
                 "EncodedUpdate is compressed only where that is useful") {
  base::Bytes Long(20'000, 'a');
  EncodedUpdate Large(protocol::MessageType::Delta, Long);
  CHECK(Large.frame(false).Type == protocol::MessageType::Delta);
  CHECK(Large.frame(false).Payload == Long);
  const protocol::Frame &Compressed = Large.frame(true);
  REQUIRE(Compressed.Type == protocol::MessageType::CompressedUpdate);
  CHECK(Compressed.Payload.size() < 500);
  CompressedUpdate Decoded = decodeCompressedUpdate(Compressed.Payload);
  CHECK(Decoded.Type == protocol::MessageType::Delta);
  CHECK(Decoded.Payload == Long);
  EncodedUpdate Small(protocol::MessageType::Delta, base::Bytes(100, 'a'));
  CHECK(Small.frame(true).Type == protocol::MessageType::Delta);
  base::Bytes Random(20'000);
  std::mt19937 Generator(3);
  for (std::uint8_t &Each : Random)
    Each = static_cast<std::uint8_t>(Generator());
  EncodedUpdate Incompressible(protocol::MessageType::Snapshot, Random);
  CHECK(Incompressible.frame(true).Type == protocol::MessageType::Snapshot);
}

TEST_CASE_METHOD(DistributionTablesTest,
                 "CompressedUpdate of another type is refused") {
  CompressedUpdate Nested{protocol::MessageType::CompressedUpdate,
                          base::Bytes(2000, 'a')};
  CHECK_THROWS_AS(decodeCompressedUpdate(encode(Nested)), base::ProtocolError);
}

} // namespace amaranth::control
