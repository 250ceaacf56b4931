#include "amaranth/document/CustomerFaults.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <functional>
#include <set>
#include <unordered_map>
#include <utility>

namespace amaranth::document {

namespace {

/// Digests are evenly distributed, so any part of them is a hash.
struct HashOfDigest {
  std::size_t operator()(const KeyDigest &Key) const noexcept {
    std::size_t Hash = 0;
    std::memcpy(&Hash, Key.data(), sizeof(Hash));
    return Hash;
  }
};

bool isLimit(double Value) { return std::isfinite(Value) && Value >= 0; }

std::string entryFault(const base::CustomerName &Name, const Customer &Entry) {
  if (Entry.Name != Name)
    return "the name differs from the key of the entry";
  if (std::ranges::adjacent_find(Entry.Keys, std::greater_equal<>()) !=
      Entry.Keys.end())
    return "the keys are not in ascending order";
  if (!isLimit(Entry.RequestsPerSecond) || !isLimit(Entry.Burst))
    return "the limit is not finite or is negative";
  return {};
}

/// Finds customers that share a key. Reports each pair of customers once.
class SharedKeySearch {
public:
  explicit SharedKeySearch(std::vector<std::string> &Faults) : Faults(Faults) {}

  /// Adds the keys of a customer to those that are searched for.
  void add(const Customer &Entry) {
    for (const KeyDigest &Key : Entry.Keys)
      if (auto [Owner, New] = Owners.try_emplace(Key, Entry.Name); !New)
        report(Owner->second, Entry.Name);
  }
  /// Compares the keys of a customer with the added ones.
  void compare(const Customer &Entry) {
    for (const KeyDigest &Key : Entry.Keys)
      if (auto Owner = Owners.find(Key); Owner != Owners.end())
        report(Owner->second, Entry.Name);
  }

private:
  void report(const base::CustomerName &A, const base::CustomerName &B) {
    // A repeated key of one customer is reported as a wrong order.
    if (A != B && Reported.insert(std::minmax(A, B)).second)
      Faults.push_back(fmt::format("customers {} and {} have the same key",
                                   std::min(A, B).value(),
                                   std::max(A, B).value()));
  }

  std::vector<std::string> &Faults;
  std::unordered_map<KeyDigest, base::CustomerName, HashOfDigest> Owners;
  std::set<std::pair<base::CustomerName, base::CustomerName>> Reported;
};

} // namespace

std::vector<std::string> customerFaults(const CustomerMap &Customers,
                                        const CustomerMap &Valid) {
  std::vector<std::string> Found;
  if (Customers.sharesWith(Valid))
    return Found;
  SharedKeySearch Search(Found);
  std::vector<const Customer *> Unchanged;
  auto Old = Valid.begin();
  for (const auto &[Name, Entry] : Customers) {
    while (Old != Valid.end() && Old->first < Name)
      ++Old;
    if (Old != Valid.end() && Old->first == Name && Old->second == Entry) {
      Unchanged.push_back(&Entry);
      continue;
    }
    if (std::string Fault = entryFault(Name, Entry); !Fault.empty())
      Found.push_back(fmt::format("customer {}: {}", Name.value(), Fault));
    Search.add(Entry);
  }
  for (const Customer *Entry : Unchanged)
    Search.compare(*Entry);
  return Found;
}

} // namespace amaranth::document
