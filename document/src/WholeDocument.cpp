#include "amaranth/document/WholeDocument.h"

#include "amaranth/base/Digest.h"
#include "amaranth/document/CustomerFaults.h"
#include "amaranth/document/Document.h"
#include "amaranth/document/RouteIndex.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace amaranth::document {

namespace {

/// Maximum total length of host and path prefix of a route.
constexpr std::size_t MaxHostAndPathBytes = 1024;
/// An objective this far above the time limit of its route is considered a
/// mistake.
constexpr base::Millis MaxObjectiveExcess = base::Millis::seconds(60);

void appendText(std::string &Into, std::string_view Text) {
  Into += fmt::format("{}:", Text.size());
  Into += Text;
}

template <typename Sources>
void appendSources(std::string &Into, const Sources &Values) {
  for (const auto &[Name, Entry] : Values) {
    appendText(Into, Name.value());
    appendText(Into, Entry);
  }
}

/// Adds the names of entries in `Next` whose source is new or differs from
/// `Base` to `Changed`.
template <typename Sources, typename Names>
void collectChangedSources(const Sources &Base, const Sources &Next,
                           Names &Changed) {
  for (const auto &[Name, Entry] : Next)
    if (auto Old = Base.find(Name); Old == Base.end() || Old->second != Entry)
      Changed.insert(Name);
}

/// The platform's operators choose names freely, as nodes use them only as keys
/// and metric labels. So any printable ASCII without spaces is accepted.
bool isValidOperatorName(const std::string &Name) {
  return !Name.empty() && Name.size() <= MaxNameBytes &&
         std::all_of(Name.begin(), Name.end(),
                     [](char C) { return C > ' ' && C < 0x7f; });
}

void checkService(const Service &Entry, std::vector<std::string> &Faults) {
  auto Fault = [&](std::string_view Text) {
    Faults.push_back(fmt::format("service {}: {}", Entry.Name.value(), Text));
  };
  if (!isValidOperatorName(Entry.Name.value()))
    Fault("malformed name");
  if (Entry.ColdPeriod < base::Millis(0))
    Fault("negative cold period");
  if (!std::isfinite(Entry.ColdRequestsPerSecond) ||
      Entry.ColdRequestsPerSecond < 0)
    Fault("the rate while cold is not finite or is negative");
}

void checkRoute(const Route &Entry, const MeshSnapshot &Content,
                std::vector<std::string> &Faults) {
  auto Fault = [&](std::string_view Text) {
    Faults.push_back(fmt::format("route {}: {}", Entry.Name.value(), Text));
  };
  if (!isValidOperatorName(Entry.Name.value()))
    Fault("malformed name");
  if (Entry.PathPrefix.empty() || Entry.PathPrefix.front() != '/' ||
      Entry.PathPrefix.size() + Entry.Host.size() > MaxHostAndPathBytes)
    Fault("malformed path prefix");
  if (Entry.Timeout < base::Millis(0))
    Fault("negative time limit");
  if (Entry.Timeout > base::Millis(0) &&
      Entry.Objective >= Entry.Timeout + MaxObjectiveExcess)
    Fault("the objective is a minute or more above the time limit");
  if (Entry.Split.empty() && !Content.Services.contains(Entry.Service))
    Fault("unknown service " + Entry.Service.value());
  std::uint64_t Weights = 0;
  for (const WeightedService &Part : Entry.Split) {
    Weights += Part.Weight;
    if (!Content.Services.contains(Part.Service))
      Fault("unknown service " + Part.Service.value());
  }
  if (!Entry.Split.empty() && Weights == 0)
    Fault("the weights of the split sum up to 0");
}

} // namespace

CustomerSource::CustomerSource(const base::CustomerName &Name, std::string Text)
    : Text(std::make_shared<const std::string>(std::move(Text))) {
  std::string Hashed;
  appendText(Hashed, Name.value());
  appendText(Hashed, *this->Text);
  Hash = base::hash64(base::asBytes(Hashed));
}

std::uint64_t WholeDocument::digest() const {
  std::string Text;
  appendText(Text, Source);
  appendSources(Text, RouteSources);
  Text += '|';
  appendSources(Text, ServiceSources);
  // Without customers the digest is the one of earlier versions. The hashes of
  // the customers are added up, because each of them covers its own name.
  if (!CustomerSources.empty()) {
    std::uint64_t Sum = 0;
    for (const auto &[Name, Entry] : CustomerSources)
      Sum += Entry.hash();
    Text += fmt::format("|{}:{:016x}", CustomerSources.size(), Sum);
  }
  return base::hash64(base::asBytes(Text));
}

std::vector<std::string> WholeDocument::faults() const {
  return faultsSince(WholeDocument());
}

std::vector<std::string>
WholeDocument::faultsSince(const WholeDocument &Valid) const {
  std::vector<std::string> Faults;
  if (Label.value() == 0)
    Faults.emplace_back("the label must not be 0");
  std::map<std::pair<std::string, std::string>, base::RouteName>
      RouteByHostAndPath;
  for (const auto &[Name, Entry] : Content.Routes) {
    checkRoute(Entry, Content, Faults);
    auto [Other, Inserted] =
        RouteByHostAndPath.try_emplace({Entry.Host, Entry.PathPrefix}, Name);
    if (!Inserted)
      Faults.push_back(fmt::format("routes {} and {} have the same host and "
                                   "path prefix",
                                   Other->second.value(), Name.value()));
  }
  for (const auto &[Name, Entry] : Content.Services)
    checkService(Entry, Faults);
  for (const auto &[Name, Entry] : Content.Customers)
    if (!isValidOperatorName(Name.value()))
      Faults.push_back(
          fmt::format("customer {}: malformed name", Name.value()));
  for (std::string &Fault :
       customerFaults(Content.Customers, Valid.Content.Customers))
    Faults.push_back(std::move(Fault));
  return Faults;
}

std::vector<std::string> WholeDocument::submissionFaults() const {
  std::vector<std::string> Faults = faults();
  std::map<std::pair<std::string, std::string>, const Route *> Known;
  for (const auto &[Name, Entry] : Content.Routes) {
    bool NamesService = !Entry.Service.value().empty();
    if (!Entry.Split.empty() && NamesService &&
        !Content.Services.contains(Entry.Service))
      Faults.push_back(fmt::format("route {}: unknown service {}", Name.value(),
                                   Entry.Service.value()));
    auto [Other, Inserted] = Known.try_emplace(
        {normalizeHost(Entry.Host), Entry.PathPrefix}, &Entry);
    // Routes with equal hosts are already among the faults.
    if (!Inserted && Other->second->Host != Entry.Host)
      Faults.push_back(
          fmt::format("the hosts of the routes {} and {} differ only in case, "
                      "and they have the same path prefix",
                      Other->second->Name.value(), Name.value()));
  }
  if (Content.Customers.size() > MaxCustomers)
    Faults.push_back(
        fmt::format("the document has {} customers, the limit is {}",
                    Content.Customers.size(), MaxCustomers));
  return Faults;
}

WholeDocumentChange computeChange(const WholeDocument &Base,
                                  const WholeDocument &Next) {
  MeshKeys Keys = changedKeys(Base.Content, Next.Content);
  // Entries with equal content may still have different sources.
  collectChangedSources(Base.RouteSources, Next.RouteSources, Keys.Routes);
  collectChangedSources(Base.ServiceSources, Next.ServiceSources,
                        Keys.Services);
  if (!Base.CustomerSources.sharesWith(Next.CustomerSources))
    collectChangedSources(Base.CustomerSources, Next.CustomerSources,
                          Keys.Customers);
  WholeDocumentChange Change;
  Change.Label = Next.Label;
  Change.Base = Base.Label;
  Change.Digest = Next.digest();
  Change.Changes = makeDelta(Keys, Next.Content, 0);
  for (const Route &Entry : Change.Changes.Routes)
    Change.RouteSources.push_back(Next.RouteSources.at(Entry.Name));
  for (const Service &Entry : Change.Changes.Services)
    Change.ServiceSources.push_back(Next.ServiceSources.at(Entry.Name));
  for (const Customer &Entry : Change.Changes.Customers)
    Change.CustomerSources.push_back(Next.CustomerSources.at(Entry.Name));
  Change.Source = Next.Source;
  return Change;
}

WholeDocument applyChange(const WholeDocument &Base,
                          const WholeDocumentChange &Change) {
  const MeshDelta &Changes = Change.Changes;
  if (Change.Base != Base.Label)
    throw DeltaMismatch(fmt::format("the change builds on document {}, but {} "
                                    "is current",
                                    Change.Base.value(), Base.Label.value()));
  if (Changes.Routes.size() != Change.RouteSources.size() ||
      Changes.Services.size() != Change.ServiceSources.size() ||
      Changes.Customers.size() != Change.CustomerSources.size())
    throw DeltaMismatch("the change lacks the sources of some parts");
  WholeDocument Next = Base;
  Next.Label = Change.Label;
  Next.Source = Change.Source;
  Next.Content.Limits = Changes.Limits;
  for (const base::RouteName &Name : Changes.RemovedRoutes) {
    Next.Content.Routes.erase(Name);
    Next.RouteSources.erase(Name);
  }
  for (const base::ServiceName &Name : Changes.RemovedServices) {
    Next.Content.Services.erase(Name);
    Next.ServiceSources.erase(Name);
  }
  for (std::size_t I = 0; I < Changes.Routes.size(); ++I) {
    const Route &Entry = Changes.Routes[I];
    Next.Content.Routes.edit().insert_or_assign(Entry.Name, Entry);
    Next.RouteSources.insert_or_assign(Entry.Name, Change.RouteSources[I]);
  }
  for (std::size_t I = 0; I < Changes.Services.size(); ++I) {
    const Service &Entry = Changes.Services[I];
    Next.Content.Services.edit().insert_or_assign(Entry.Name, Entry);
    Next.ServiceSources.insert_or_assign(Entry.Name, Change.ServiceSources[I]);
  }
  for (const base::CustomerName &Name : Changes.RemovedCustomers) {
    Next.Content.Customers.erase(Name);
    Next.CustomerSources.erase(Name);
  }
  for (std::size_t I = 0; I < Changes.Customers.size(); ++I) {
    const Customer &Entry = Changes.Customers[I];
    Next.Content.Customers.edit().insert_or_assign(Entry.Name, Entry);
    Next.CustomerSources.edit().insert_or_assign(Entry.Name,
                                                 Change.CustomerSources[I]);
  }
  if (Next.digest() != Change.Digest)
    throw DeltaMismatch(fmt::format("the change to document {} gives another "
                                    "digest",
                                    Change.Label.value()));
  return Next;
}

} // namespace amaranth::document
