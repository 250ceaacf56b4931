#include "amaranth/dataplane/CustomerShares.h"

#include "SchedulingOrder.h"
#include "amaranth/base/Digest.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace amaranth::dataplane {

namespace {

/// Service counts for about this time. One of 78 customers sends a request to
/// an upstream every three seconds; a shorter time would forget whether a
/// customer sends more than others.
constexpr double MemoryMs = 10'000;
/// Entries above this number are removed once their service has decayed.
constexpr std::size_t MaxEntries = 1024;
constexpr double NegligibleService = 0.1;

/// In milliseconds. A request of unknown duration counts as a short one.
double costOf(const SchedulingParams &Work) {
  return static_cast<double>(
      std::max<std::int64_t>(Work.ServiceTime.count(), 1));
}

} // namespace

ShareId shareIdOf(const base::CustomerName &Name) {
  return Name.value().empty() ? NoCustomer
                              : base::hash64(base::asBytes(Name.value()));
}

double CustomerShares::Service::at(base::TimePoint Now) const {
  return Amount * std::exp(-static_cast<double>((Now - At).count()) / MemoryMs);
}

void CustomerShares::recordService(const SchedulingParams &Work,
                                   base::TimePoint Now) {
  Service &Entry = Services[{Work.Priority, Work.Customer}];
  Entry = {Entry.at(Now) + costOf(Work), Now};
  if (Services.size() > MaxEntries)
    std::erase_if(Services, [Now](const auto &Each) {
      return Each.second.at(Now) < NegligibleService;
    });
}

void CustomerShares::assignTurns(std::vector<SchedulingParams> &Waiting,
                                 base::TimePoint Now) const {
  if (std::ranges::all_of(Waiting, [](const SchedulingParams &Work) {
        return Work.Customer == NoCustomer;
      }))
    return;
  for (SchedulingParams &Work : Waiting)
    Work.Turn = 0;
  // The requests of one customer keep their order among themselves.
  std::vector<std::size_t> Order(Waiting.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::ranges::sort(Order, [&](std::size_t Left, std::size_t Right) {
    return precedes(Waiting[Left], Waiting[Right], Now);
  });
  std::map<Key, double> NextTurns;
  for (std::size_t Index : Order) {
    SchedulingParams &Work = Waiting[Index];
    Key Id{Work.Priority, Work.Customer};
    auto [Next, IsFirst] = NextTurns.try_emplace(Id, 0);
    if (IsFirst)
      if (auto Found = Services.find(Id); Found != Services.end())
        Next->second = Found->second.at(Now);
    Work.Turn = Next->second;
    Next->second += costOf(Work);
  }
}

} // namespace amaranth::dataplane
