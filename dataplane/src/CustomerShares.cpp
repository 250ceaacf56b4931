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
/// Customers with up to this multiple of the mean service have the same turn,
/// so that the objectives order their requests. In trials with 78 customers at
/// their usual load, ordering by any difference cost 2 % of the requests.
constexpr double FairMultiple = 1.5;
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

double CustomerShares::fairService(std::uint32_t Rank, std::size_t Unserved,
                                   base::TimePoint Now) const {
  double Sum = 0;
  std::size_t Count = Unserved;
  for (auto It = Services.lower_bound({Rank, NoCustomer});
       It != Services.end() && It->first.first == Rank; ++It) {
    double Amount = It->second.at(Now);
    if (Amount < NegligibleService)
      continue;
    Sum += Amount;
    ++Count;
  }
  return Count == 0 ? 0 : Sum / static_cast<double>(Count) * FairMultiple;
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
  // The service of each waiting customer with the requests looked at so far.
  std::map<Key, double> Amounts;
  std::map<std::uint32_t, std::size_t> Unserved;
  for (const SchedulingParams &Work : Waiting) {
    Key Id{Work.Priority, Work.Customer};
    auto Found = Services.find(Id);
    double Amount = Found == Services.end() ? 0 : Found->second.at(Now);
    if (Amounts.emplace(Id, Amount).second)
      Unserved[Work.Priority] += Amount < NegligibleService ? 1 : 0;
  }
  std::map<std::uint32_t, double> Fair;
  for (const auto &[Rank, Count] : Unserved)
    Fair[Rank] = fairService(Rank, Count, Now);
  for (std::size_t Index : Order) {
    SchedulingParams &Work = Waiting[Index];
    double &Amount = Amounts[{Work.Priority, Work.Customer}];
    Work.Turn = std::max(0.0, Amount - Fair[Work.Priority]);
    Amount += costOf(Work);
  }
}

} // namespace amaranth::dataplane
