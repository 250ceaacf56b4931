#include "WorkOrder.h"

#include <tuple>

namespace amaranth::dataplane {

bool goesFirst(const WaitingWork &Left, const WaitingWork &Right,
               base::TimePoint Now, base::Millis Service) {
  base::TimePoint End = Now + Service;
  auto Key = [End](const WaitingWork &Work) {
    bool Late = End > Work.Objective;
    return std::tuple(Work.Priority, Late,
                      Late ? Work.Deadline : Work.Objective, Work.Sequence);
  };
  return Key(Left) < Key(Right);
}

base::Millis expectedWait(std::size_t Ahead, std::uint32_t Running,
                          std::uint32_t Slots, base::Millis Service) {
  if (Slots == 0)
    return Service;
  if (Running + Ahead < Slots)
    return base::Millis(0);
  auto Before =
      static_cast<std::int64_t>(Ahead + Running) - Slots + std::int64_t{1};
  return Service * Before / Slots;
}

} // namespace amaranth::dataplane
