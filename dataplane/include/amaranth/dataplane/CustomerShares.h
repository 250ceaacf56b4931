#ifndef AMARANTH_DATAPLANE_CUSTOMERSHARES_H
#define AMARANTH_DATAPLANE_CUSTOMERSHARES_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace amaranth::dataplane {

struct SchedulingParams;

/// Hash of a customer's name.
using ShareId = std::uint64_t;
inline constexpr ShareId NoCustomer = 0;
ShareId shareIdOf(const base::CustomerName &Name);

/// The service that customers recently got from one upstream, and the order in
/// which their waiting requests take turns.
///
/// Answers the load in which one to three of 78 customers send five to seven
/// times their usual and the slots do not suffice: in order of arrival, every
/// customer would lose the same part of its requests. Here, customers that ask
/// for less than an equal part of the slots get all of it.
///
/// Shares are kept for each rank. The service time of calls, which have a rank
/// of their own, does not count against requests without a customer.
class CustomerShares {
public:
  /// Counts a request that gets a slot at `Now`.
  void recordService(const SchedulingParams &Work, base::TimePoint Now);

  /// Sets `SchedulingParams::Turn` of all waiting requests: how far the recent
  /// service of the customer, with the service that its requests before this
  /// one will get, is above a multiple of the mean of its rank. Leaves all
  /// turns as they are if no request has a customer.
  void assignTurns(std::vector<SchedulingParams> &Waiting,
                   base::TimePoint Now) const;

private:
  /// Rank and customer.
  using Key = std::pair<std::uint32_t, ShareId>;
  struct Service {
    double Amount = 0;
    base::TimePoint At;

    double at(base::TimePoint Now) const;
  };

  /// Service up to which a customer of the rank does not wait for others.
  /// `Unserved` customers are waiting and got none recently.
  double fairService(std::uint32_t Rank, std::size_t Unserved,
                     base::TimePoint Now) const;

  std::map<Key, Service> Services;
};

} // namespace amaranth::dataplane

#endif
