#include "amaranth/document/MeshDelta.h"
#include "amaranth/document/RouteIndex.h"
#include "amaranth/document/SnapshotCodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <string>

namespace amaranth::document {

namespace {

constexpr int Repetitions = 200;

MeshSnapshot makeMesh(int Routes, int Endpoints, int Customers) {
  constexpr int ServiceCount = 4;
  MeshSnapshot Mesh;
  for (int I = 0; I < ServiceCount; ++I) {
    Service Entry;
    Entry.Name = base::ServiceName(fmt::format("service-{}", I));
    Entry.Versions = {{base::VersionName("v1"), FullShare, false}};
    Mesh.Services[Entry.Name] = Entry;
  }
  for (int I = 0; I < Routes; ++I) {
    Route Entry;
    Entry.Name = base::RouteName(fmt::format("route-{}", I));
    Entry.Host = fmt::format("host{}.example", I % 9);
    Entry.PathPrefix = fmt::format("/prefix-{}/", I);
    Entry.Service =
        base::ServiceName(fmt::format("service-{}", I % ServiceCount));
    Mesh.Routes[Entry.Name] = Entry;
  }
  for (int I = 0; I < Endpoints; ++I) {
    Endpoint Entry;
    Entry.Id = base::EndpointId(fmt::format("node-of-zone-a-{}", I));
    Entry.Node = base::NodeId(Entry.Id.value());
    Entry.NodeAddress = {fmt::format("10.1.{}.{}", I / 250, I % 250), 7000};
    Entry.Service =
        base::ServiceName(fmt::format("service-{}", I % ServiceCount));
    Entry.Version = base::VersionName("v1");
    Entry.Slots = 8;
    Entry.State = EndpointState::Ready;
    Mesh.Endpoints[Entry.Id] = Entry;
  }
  for (int I = 0; I < Customers; ++I) {
    Customer Entry;
    Entry.Name = base::CustomerName(fmt::format("customer-{}", I));
    Entry.Keys = {digestOfKey(fmt::format("key-{}-a", I)),
                  digestOfKey(fmt::format("key-{}-b", I))};
    std::ranges::sort(Entry.Keys);
    Mesh.Customers[Entry.Name] = Entry;
  }
  return Mesh;
}

/// Prints the mean time in microseconds that a node spends on one delta, its
/// checks and its route index included. `Change` makes one change of the mesh.
template <typename Action>
void measure(const char *Name, MeshSnapshot Mesh, Action Change) {
  std::vector<base::Bytes> Deltas;
  auto Current = std::make_shared<const MeshSnapshot>(Mesh);
  for (int I = 1; I <= Repetitions; ++I) {
    MeshSnapshot Before = Mesh;
    Change(Mesh, I);
    Mesh.State = base::StateIndex(static_cast<std::uint64_t>(I));
    Deltas.push_back(encodeDelta(computeDelta(Before, Mesh)));
  }
  auto Index = std::make_shared<const RouteIndex>(Current);
  auto Start = std::chrono::steady_clock::now();
  for (const base::Bytes &Delta : Deltas) {
    auto Before = Current;
    Current = applyDelta(*Before, decodeDelta(Delta));
    if (!Current->faultsSince(*Before).empty())
      throw base::Error("the snapshot has faults");
    Index = std::make_shared<const RouteIndex>(Current, Index.get());
  }
  std::chrono::duration<double, std::micro> Taken =
      std::chrono::steady_clock::now() - Start;
  std::cout << fmt::format("{}: {:.0f} us per change\n", Name,
                           Taken.count() / Repetitions);
}

} // namespace

} // namespace amaranth::document

/// Usage: `amaranth-bench-apply ROUTES ENDPOINTS [CUSTOMERS]`.
int main(int Count, char **Arguments) {
  using namespace amaranth;
  if (Count != 3 && Count != 4) {
    std::cerr << "usage: amaranth-bench-apply ROUTES ENDPOINTS [CUSTOMERS]\n";
    return 2;
  }
  try {
    document::MeshSnapshot Mesh =
        document::makeMesh(std::stoi(Arguments[1]), std::stoi(Arguments[2]),
                           Count == 4 ? std::stoi(Arguments[3]) : 0);
    document::measure(
        "endpoint", Mesh, [](document::MeshSnapshot &Next, int I) {
          auto &Entries = Next.Endpoints.edit();
          Entries.begin()->second.Sequence = static_cast<std::uint64_t>(I);
        });
    document::measure("route", Mesh, [](document::MeshSnapshot &Next, int I) {
      Next.Routes.edit().begin()->second.Timeout = base::Millis(I);
    });
    if (!Mesh.Customers.empty())
      document::measure(
          "customer", Mesh, [](document::MeshSnapshot &Next, int I) {
            auto &Entries = Next.Customers.edit();
            Entries.begin()->second.Priority = static_cast<std::uint32_t>(I);
          });
  } catch (const std::exception &Failure) {
    std::cerr << Failure.what() << '\n';
    return 1;
  }
  return 0;
}
