#include "SchedulingOrder.h"

#include <tuple>

namespace amaranth::dataplane {

bool precedes(const SchedulingParams &Left, const SchedulingParams &Right,
              base::TimePoint Now) {
  auto Key = [Now](const SchedulingParams &Work) {
    bool Late = isLate(Work, Now);
    return std::tuple(Work.Priority, Late, Work.Turn,
                      Late ? Work.Deadline : Work.Objective, Work.Sequence);
  };
  return Key(Left) < Key(Right);
}

bool admitsToQueue(const SchedulingParams &Work, base::TimePoint Now,
                   base::Millis Wait, std::size_t QueueLength,
                   std::uint32_t Slots) {
  // The sum of the median service times underestimates the total time of the
  // queued requests.
  constexpr std::int64_t WaitMarginPercent = 115;
  return !isLate(Work, Now + Wait * WaitMarginPercent / 100) ||
         acceptsLateRequests(QueueLength, Slots);
}

bool acceptsLateRequests(std::size_t QueueLength, std::uint32_t Slots) {
  // While at most half as many requests wait as there are slots, a late
  // request gets a slot within half a service time.
  return QueueLength * 2 <= Slots;
}

} // namespace amaranth::dataplane
