#include "amaranth/document/MeshSnapshot.h"

#include "amaranth/base/Digest.h"

#include <fmt/format.h>

#include <array>
#include <string_view>

namespace amaranth::document {

namespace {

/// Collects fields in one buffer. Each text is preceded by its length, so that
/// different sequences of fields never give the same bytes.
class DigestBuilder {
public:
  DigestBuilder &number(std::uint64_t Value) {
    std::array<std::uint8_t, 8> Raw{};
    for (unsigned I = 0; I < Raw.size(); ++I)
      Raw[I] = static_cast<std::uint8_t>(Value >> (I * 8));
    Buffer.insert(Buffer.end(), Raw.begin(), Raw.end());
    return *this;
  }
  DigestBuilder &text(std::string_view Value) {
    number(Value.size());
    Buffer.insert(Buffer.end(), Value.begin(), Value.end());
    return *this;
  }
  DigestBuilder &real(double Value) { return text(fmt::format("{}", Value)); }
  std::uint64_t finish() const { return base::hash64(Buffer); }

private:
  base::Bytes Buffer;
};

void addService(DigestBuilder &Out, const Service &Entry) {
  Out.text(Entry.Name.value()).number(Entry.Versions.size());
  for (const VersionShare &Version : Entry.Versions)
    Out.text(Version.Version.value())
        .number(Version.Share)
        .number(Version.Barred ? 1 : 0);
  Out.text(Entry.HealthPath).number(Entry.MaxConnections);
  Out.number(Entry.HasRollout ? 1 : 0);
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
      .number(Entry.RequireIdempotencyKey ? 1 : 0)
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
  std::vector<std::string> Found;
  for (const auto &[Name, Entry] : Routes) {
    if (Entry.Split.empty() && !Services.contains(Entry.Service))
      Found.push_back(missingService(Entry, Entry.Service));
    for (const WeightedService &Part : Entry.Split)
      if (!Services.contains(Part.Service))
        Found.push_back(missingService(Entry, Part.Service));
  }
  for (const auto &[Name, Entry] : Services)
    if (std::string Fault = shareFault(Entry); !Fault.empty())
      Found.push_back(std::move(Fault));
  for (const auto &[Id, Entry] : Endpoints)
    if (Entry.Id != Id || Entry.Slots == 0)
      Found.push_back(fmt::format("endpoint {} is malformed", Id.value()));
  return Found;
}

std::uint64_t MeshSnapshot::digest() const {
  DigestBuilder Out;
  Out.number(Document.value()).number(Routes.size());
  for (const auto &[Name, Entry] : Routes)
    addRoute(Out, Entry);
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
  return Out.finish();
}

} // namespace amaranth::document
