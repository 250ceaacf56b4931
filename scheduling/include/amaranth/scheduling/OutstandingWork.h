#ifndef AMARANTH_SCHEDULING_OUTSTANDINGWORK_H
#define AMARANTH_SCHEDULING_OUTSTANDINGWORK_H

#include "amaranth/scheduling/CostModel.h"

#include <cstdint>
#include <vector>

namespace amaranth::scheduling {

/// What an upstream still has to do, and when a new request gets a slot.
/// Answers queues whose length says little, because requests differ in cost and
/// running ones differ in what is left of them.
///
/// The model and the route names must outlive the object.
class OutstandingWork {
public:
  OutstandingWork(const CostModel &Costs, std::uint32_t Slots,
                  base::TimePoint Now)
      : Costs(Costs), Slots(Slots), Now(Now) {}

  void addRunning(const base::RouteName &Route, base::Millis Elapsed);
  /// Adds a request that gets a slot before a new one, in order.
  void addWaiting(base::Millis Expected);

  /// Expected remaining time of all requests, summed.
  base::Millis total() const { return base::Millis(TotalMs); }
  /// Expected time until a new request gets a slot, found by simulation of the
  /// slots.
  base::Millis untilSlot() const;

private:
  struct RunningRequest {
    const base::RouteName *Route;
    base::Millis Elapsed;
    base::Millis Remaining;
  };

  std::int64_t simulate(const std::vector<double> &Fractions) const;

  const CostModel &Costs;
  std::uint32_t Slots;
  base::TimePoint Now;
  std::vector<RunningRequest> Running;
  std::vector<base::Millis> Waiting;
  std::int64_t TotalMs = 0;
};

} // namespace amaranth::scheduling

#endif
