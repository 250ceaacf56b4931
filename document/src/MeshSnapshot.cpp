#include "amaranth/document/MeshSnapshot.h"

#include "amaranth/base/Digest.h"
#include "amaranth/document/CustomerFaults.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace amaranth::document {

namespace {

/// Hashes a sequence of fields. Each text is preceded by its length, so that
/// different sequences of fields never give the same bytes.
class DigestBuilder {
public:
  DigestBuilder() = default;
  explicit DigestBuilder(const base::Hasher64 &Start) : Hash(Start) {}

  DigestBuilder &number(std::uint64_t Value) {
    constexpr std::size_t NumberBytes = 8;
    if (Buffered + NumberBytes > Buffer.size())
      flush();
    for (std::size_t I = 0; I < NumberBytes; ++I)
      Buffer[Buffered + I] = static_cast<std::uint8_t>(Value >> (I * 8));
    Buffered += NumberBytes;
    return *this;
  }
  DigestBuilder &text(std::string_view Value) {
    return number(Value.size()).bytes(base::asBytes(Value));
  }
  /// Appends bytes whose number is known from the fields before.
  DigestBuilder &bytes(base::ByteView Value) {
    if (Buffered + Value.size() > Buffer.size())
      flush();
    if (Value.size() > Buffer.size()) {
      Hash.update(Value);
      return *this;
    }
    std::copy(Value.begin(), Value.end(),
              Buffer.begin() + static_cast<std::ptrdiff_t>(Buffered));
    Buffered += Value.size();
    return *this;
  }
  /// -0 counts as 0, because an encoded snapshot does not keep its sign.
  DigestBuilder &real(double Value) {
    return text(fmt::format("{}", Value == 0 ? 0.0 : Value));
  }
  /// The hash of the fields so far.
  const base::Hasher64 &hasher() {
    flush();
    return Hash;
  }

private:
  void flush() {
    Hash.update({Buffer.data(), Buffered});
    Buffered = 0;
  }

  base::Hasher64 Hash;
  std::array<std::uint8_t, 4096> Buffer{};
  std::size_t Buffered = 0;
};

// Fields that were added later change the digest only if they are set, so that
// nodes of earlier versions compute the same digest for the same content.
constexpr std::uint64_t LaterField = 2;

void addService(DigestBuilder &Out, const Service &Entry) {
  Out.text(Entry.Name.value()).number(Entry.Versions.size());
  for (const VersionShare &Version : Entry.Versions)
    Out.text(Version.Version.value())
        .number(Version.Share)
        .number(Version.Barred ? 1 : 0);
  Out.text(Entry.HealthPath).number(Entry.MaxConnections);
  bool LimitsCold =
      Entry.ColdPeriod != base::Millis(0) || Entry.ColdRequestsPerSecond != 0;
  Out.number((Entry.HasRollout ? 1 : 0) | (LimitsCold ? LaterField : 0));
  if (LimitsCold)
    Out.number(static_cast<std::uint64_t>(Entry.ColdPeriod.count()))
        .real(Entry.ColdRequestsPerSecond);
  if (!Entry.HasRollout)
    return;
  const ActiveRollout &Rollout = Entry.Rollout;
  Out.text(Rollout.From.value())
      .text(Rollout.To.value())
      .number(Rollout.Section.value())
      .number(Rollout.Epoch)
      .real(Rollout.MaxErrorIncrease)
      .real(Rollout.MaxLatencyRatio);
}

void addEndpoint(DigestBuilder &Out, const Endpoint &Entry) {
  Out.text(Entry.Id.value())
      .text(Entry.Node.value())
      .text(Entry.NodeAddress.text())
      .text(Entry.Service.value())
      .text(Entry.Version.value())
      .text(Entry.Zone.value())
      .number(Entry.Slots)
      .number(static_cast<std::uint64_t>(Entry.State))
      .number(Entry.Incarnation)
      .number(Entry.Sequence)
      .number(static_cast<std::uint64_t>(Entry.ReadySince));
}

void addRoute(DigestBuilder &Out, const Route &Entry) {
  Out.text(Entry.Name.value())
      .text(Entry.PathPrefix)
      .text(Entry.Service.value())
      .number(static_cast<std::uint64_t>(Entry.Timeout.count()))
      .number((Entry.RequireIdempotencyKey ? 1 : 0) |
              (Entry.Public ? LaterField : 0))
      .text(Entry.Host)
      .number(static_cast<std::uint64_t>(Entry.Kind))
      .number(static_cast<std::uint64_t>(Entry.Objective.count()))
      .number(Entry.Priority)
      .number(Entry.MaxAttempts)
      .number(Entry.Split.size());
  for (const WeightedService &Part : Entry.Split)
    Out.text(Part.Service.value()).number(Part.Weight);
}

void addLimits(DigestBuilder &Out, const CallerLimits &Value) {
  Out.number(Value.MaxHeaderBytes)
      .number(Value.MaxBodyBytes)
      .number(static_cast<std::uint64_t>(Value.HeaderTimeout.count()))
      .number(static_cast<std::uint64_t>(Value.IdleTimeout.count()));
}

std::uint64_t
hashCustomers(const SharedMap<base::CustomerName, Customer> &Customers) {
  DigestBuilder Out;
  Out.number(Customers.size());
  for (const auto &[Name, Entry] : Customers) {
    Out.text(Name.value())
        .number(Entry.Priority)
        .real(Entry.RequestsPerSecond)
        .real(Entry.Burst)
        .number(Entry.Keys.size());
    for (const KeyDigest &Key : Entry.Keys)
      Out.bytes(Key);
  }
  return Out.hasher().digest();
}

std::string shareFault(const Service &Entry) {
  if (Entry.Versions.empty())
    return {};
  std::uint64_t Sum = 0;
  for (const VersionShare &Version : Entry.Versions) {
    Sum += Version.Share;
    if (Version.Barred && Version.Share != 0)
      return fmt::format("service {}: barred version {} has a share",
                         Entry.Name.value(), Version.Version.value());
  }
  if (Sum == FullShare)
    return {};
  return fmt::format("service {}: shares sum up to {}, expected {}",
                     Entry.Name.value(), Sum, FullShare);
}

std::string missingService(const Route &Entry, const base::ServiceName &Name) {
  return fmt::format("route {} refers to service {}, which does not exist",
                     Entry.Name.value(), Name.value());
}

} // namespace

std::vector<std::string> MeshSnapshot::faults() const {
  return faultsSince(MeshSnapshot());
}

std::vector<std::string>
MeshSnapshot::faultsSince(const MeshSnapshot &Valid) const {
  std::vector<std::string> Found;
  bool SameServices = Services.sharesWith(Valid.Services);
  if (!SameServices || !Routes.sharesWith(Valid.Routes))
    for (const auto &[Name, Entry] : Routes) {
      if (Entry.Split.empty() && !Services.contains(Entry.Service))
        Found.push_back(missingService(Entry, Entry.Service));
      for (const WeightedService &Part : Entry.Split)
        if (!Services.contains(Part.Service))
          Found.push_back(missingService(Entry, Part.Service));
    }
  if (!SameServices)
    for (const auto &[Name, Entry] : Services)
      if (std::string Fault = shareFault(Entry); !Fault.empty())
        Found.push_back(std::move(Fault));
  if (!Endpoints.sharesWith(Valid.Endpoints))
    for (const auto &[Id, Entry] : Endpoints)
      if (Entry.Id != Id || Entry.Slots == 0)
        Found.push_back(fmt::format("endpoint {} is malformed", Id.value()));
  for (std::string &Fault : customerFaults(Customers, Valid.Customers))
    Found.push_back(std::move(Fault));
  return Found;
}

struct MeshSnapshot::RoutesDigest {
  base::DocumentVersion Document;
  /// Keeps the routes alive, so that `sharesWith` identifies them.
  decltype(MeshSnapshot::Routes) Routes;
  base::Hasher64 Hash;
  /// The customers are kept in the same way, because a change of an endpoint
  /// would otherwise hash the keys of 2,000 customers.
  decltype(MeshSnapshot::Customers) Customers;
  std::uint64_t CustomersHash = 0;
};

std::uint64_t MeshSnapshot::digest() const {
  auto Start = Cache.Value;
  bool SameRoutes =
      Start && Start->Document == Document && Start->Routes.sharesWith(Routes);
  bool SameCustomers = Start && Start->Customers.sharesWith(Customers);
  if (!SameRoutes || !SameCustomers) {
    std::uint64_t CustomersHash =
        SameCustomers ? Start->CustomersHash : hashCustomers(Customers);
    DigestBuilder Prefix;
    if (!SameRoutes) {
      Prefix.number(Document.value()).number(Routes.size());
      for (const auto &[Name, Entry] : Routes)
        addRoute(Prefix, Entry);
    }
    Start = std::make_shared<const RoutesDigest>(RoutesDigest{
        Document, Routes, SameRoutes ? Start->Hash : Prefix.hasher(), Customers,
        CustomersHash});
    Cache.Value = Start;
  }
  DigestBuilder Out(Start->Hash);
  addLimits(Out, Limits);
  Out.number(Services.size());
  for (const auto &[Name, Entry] : Services)
    addService(Out, Entry);
  Out.number(Endpoints.size());
  for (const auto &[Id, Entry] : Endpoints)
    addEndpoint(Out, Entry);
  Out.number(Quarantine.size());
  for (const auto &[Fingerprint, Entry] : Quarantine)
    Out.number(Fingerprint)
        .text(Entry.Service.value())
        .number(Entry.Convicted ? 1 : 0)
        .number(static_cast<std::uint64_t>(Entry.Until.count()));
  if (!Customers.empty() || !EvacuatedZones.empty()) {
    Out.number(Start->CustomersHash).number(EvacuatedZones.size());
    for (const base::AvailabilityZone &Zone : EvacuatedZones)
      Out.text(Zone.value());
  }
  return Out.hasher().digest();
}

} // namespace amaranth::document
