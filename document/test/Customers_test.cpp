#include "amaranth/base/Digest.h"
#include "amaranth/document/CustomerFaults.h"
#include "amaranth/document/SnapshotCodec.h"
#include "follow_generated.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <set>

namespace amaranth::document {

class CustomersTest {
protected:
  static Customer customer(int I) {
    Customer Entry;
    Entry.Name = base::CustomerName(fmt::format("customer-{:04}", I));
    Entry.Keys = {digestOfKey(fmt::format("key-{}-a", I)),
                  digestOfKey(fmt::format("key-{}-b", I))};
    std::ranges::sort(Entry.Keys);
    Entry.Priority = 1;
    Entry.RequestsPerSecond = 610.5;
    Entry.Burst = 20;
    return Entry;
  }
  Customer &put(int I) {
    Customer Entry = customer(I);
    return Mesh.Customers[Entry.Name] = Entry;
  }

  /// Content that earlier versions have as well.
  static MeshSnapshot earlierContent() {
    MeshSnapshot Mesh;
    Mesh.Document = base::DocumentVersion(7);
    Mesh.State = base::StateIndex(9);
    Service Entry;
    Entry.Name = base::ServiceName("s");
    Entry.Versions = {{base::VersionName("v1"), FullShare, false}};
    Entry.HealthPath = "/health";
    Mesh.Services[Entry.Name] = Entry;
    Route First{base::RouteName("r"), "/x/", Entry.Name, base::Millis(800),
                true};
    First.Split = {{Entry.Name, 3}};
    Mesh.Routes[First.Name] = First;
    Mesh.Quarantine[5] = {5, Entry.Name, true, base::WallTime(99)};
    Mesh.Limits.MaxHeaderBytes = 16'384;
    return Mesh;
  }

  static std::shared_ptr<const MeshSnapshot> copied(const MeshSnapshot &Value) {
    return decodeSnapshot(encodeSnapshot(Value, Value.digest()));
  }

  MeshSnapshot Mesh = earlierContent();
};

// Guards against a mixed fleet that refuses every update: content without
// customers, zones and cold limits must keep digest and encoding.
TEST_CASE_METHOD(CustomersTest,
                 "digest and encoding of earlier content are unchanged") {
  // Written by the version before customers were added.
  CHECK(base::hex64(Mesh.digest()) == "2b2b97fddeac48fd");
  CHECK(base::hex64(base::hash64(encodeSnapshot(Mesh, Mesh.digest()))) ==
        "2fb31151f989d4ff");
  MeshSnapshot Empty;
  CHECK(base::hex64(base::hash64(encodeDelta(computeDelta(Empty, Mesh)))) ==
        "cbc3b68ce3fc9b28");
}

TEST_CASE_METHOD(CustomersTest,
                 "each new field is part of digest, snapshot and delta") {
  const MeshSnapshot Before = Mesh;
  const std::vector<std::function<void()>> Changes = {
      [&] { Mesh.Routes.edit().begin()->second.Public = true; },
      [&] {
        Mesh.Services.edit().begin()->second.ColdPeriod = base::Millis(1500);
      },
      [&] { Mesh.Services.edit().begin()->second.ColdRequestsPerSecond = 2.5; },
      [&] { put(1); },
      [&] { put(1).Keys.pop_back(); },
      [&] { put(1).Priority = 2; },
      [&] { put(1).RequestsPerSecond = 0.25; },
      [&] { put(1).Burst = 7; },
      [&] { Mesh.EvacuatedZones.insert(base::AvailabilityZone("zone-1")); },
  };
  std::set<std::uint64_t> Digests = {Before.digest()};
  for (std::size_t I = 0; I < Changes.size(); ++I) {
    INFO("change " << I);
    Mesh = Before;
    Changes[I]();
    CHECK(Digests.insert(Mesh.digest()).second);
    CHECK(*copied(Mesh) == Mesh);
    MeshDelta There = decodeDelta(encodeDelta(computeDelta(Before, Mesh)));
    CHECK(*applyDelta(Before, There) == Mesh);
    MeshDelta Back = decodeDelta(encodeDelta(computeDelta(Mesh, Before)));
    CHECK(*applyDelta(Mesh, Back) == Before);
    CHECK(filterServices(Mesh, {}).Customers == Mesh.Customers);
    CHECK(filterServices(Mesh, {}).EvacuatedZones == Mesh.EvacuatedZones);
  }
  // An encoding does not keep the sign of 0.
  Mesh = Before;
  put(1).Burst = -0.0;
  CHECK(*copied(Mesh) == Mesh);
}

// Guards against nodes that get all customers for a change of one.
TEST_CASE_METHOD(CustomersTest,
                 "delta of one of 2,000 customers contains one customer") {
  for (int I = 0; I < 2000; ++I)
    put(I);
  const MeshSnapshot Before = Mesh;
  put(1234).Priority = 3;
  MeshDelta Delta = computeDelta(Before, Mesh);
  CHECK(Delta.Customers.size() == 1);
  CHECK(encodeDelta(Delta).size() < 400);
  CHECK(changedKeys(Before, Mesh).size() == 1);
}

TEST_CASE_METHOD(CustomersTest, "faults names customers that share a key") {
  put(1);
  put(2);
  CHECK(Mesh.faults().empty());
  const MeshSnapshot Valid = Mesh;
  put(3).Keys = customer(1).Keys;
  for (const auto &Faults : {Mesh.faults(), Mesh.faultsSince(Valid)})
    CHECK(Faults ==
          std::vector<std::string>{
              "customers customer-0001 and customer-0003 have the same key"});
}

TEST_CASE_METHOD(CustomersTest, "faults reports malformed customers") {
  put(1).Keys = {digestOfKey("x"), digestOfKey("x")};
  std::ranges::reverse(put(2).Keys);
  put(3).Burst = std::numeric_limits<double>::infinity();
  put(4).RequestsPerSecond = -1;
  put(5).Name = base::CustomerName("other");
  CHECK(Mesh.faults().size() == 5);
}

TEST_CASE_METHOD(CustomersTest, "decoding rejects invalid sizes and limits") {
  put(1).Burst = -1;
  CHECK_THROWS_AS(copied(Mesh), base::ProtocolError);
  put(1).RequestsPerSecond = std::numeric_limits<double>::quiet_NaN();
  CHECK_THROWS_AS(copied(Mesh), base::ProtocolError);
  Mesh = earlierContent();
  Mesh.Services.edit().begin()->second.ColdRequestsPerSecond = -1;
  CHECK_THROWS_AS(copied(Mesh), base::ProtocolError);
  for (std::size_t Bytes : {31U, 33U, 64U}) {
    namespace wire = protocol::wire;
    flatbuffers::FlatBufferBuilder Out;
    std::vector<std::uint8_t> Keys(Bytes);
    std::vector<flatbuffers::Offset<wire::Customer>> Entries = {
        wire::CreateCustomerDirect(Out, "c", &Keys)};
    auto Customers = Out.CreateVector(Entries);
    wire::DeltaBuilder Delta(Out);
    // Checksum of five versions and digests that are 0.
    Delta.add_check(base::hash64(base::Bytes(40)));
    Delta.add_customers(Customers);
    Out.Finish(Delta.Finish());
    base::ByteView Data(Out.GetBufferPointer(), Out.GetSize());
    if (Bytes % 32 == 0)
      CHECK(decodeDelta(Data).Customers.at(0).Keys.size() == Bytes / 32);
    else
      CHECK_THROWS_WITH(decodeDelta(Data), Catch::Contains("key digests"));
  }
}

} // namespace amaranth::document
