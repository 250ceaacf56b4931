#ifndef AMARANTH_DATAPLANE_SRC_SCHEDULINGORDER_H
#define AMARANTH_DATAPLANE_SRC_SCHEDULINGORDER_H

#include "amaranth/base/Millis.h"
#include "amaranth/dataplane/SlotQueue.h"

#include <cstddef>
#include <cstdint>

namespace amaranth::dataplane {

/// Service time to reserve for a request, as a percentage of its expected
/// service time. The expected time is a median: without a margin, half of the
/// requests that start at the latest possible moment would miss their
/// objective.
inline constexpr std::int64_t ServiceMarginPercent = 140;

/// Latest time at which `Work` can start and still be expected to meet its
/// objective.
inline base::TimePoint latestTimelyStart(const SchedulingParams &Work) {
  return Work.Objective - Work.ServiceTime * ServiceMarginPercent / 100;
}

/// Returns true if `Work` is expected to miss its objective when it starts at
/// `Now`.
inline bool isLate(const SchedulingParams &Work, base::TimePoint Now) {
  return Now > latestTimelyStart(Work);
}

/// Returns true if `Left` is scheduled before `Right`.
///
/// Orders by priority first. Within a priority, requests that can still meet
/// their objective precede late ones. Among them, a customer with more recent
/// service yields, and the requests with an equal turn are ordered by earliest
/// objective; late requests follow in order of deadline. Without this rule,
/// late requests would make every later request late as well under sustained
/// overload. Calls that a running request makes have a priority of their own
/// because they hold the slot of their caller.
bool precedes(const SchedulingParams &Left, const SchedulingParams &Right,
              base::TimePoint Now);

/// Returns true if a queue of `QueueLength` requests for `Slots` slots keeps
/// requests that can no longer meet their objective.
///
/// Under sustained overload a late request would wait behind newer requests
/// until its deadline and be refused then, so it is refused immediately. A
/// short queue, as after a burst, is still served late.
bool acceptsLateRequests(std::size_t QueueLength, std::uint32_t Slots);

/// Returns true if a new request with the expected queueing time `Wait` may
/// join a queue of `QueueLength` requests.
///
/// Under sustained overload, a request that would be late is refused on
/// arrival so that its caller has time to try another endpoint.
bool admitsToQueue(const SchedulingParams &Work, base::TimePoint Now,
                   base::Millis Wait, std::size_t QueueLength,
                   std::uint32_t Slots);

} // namespace amaranth::dataplane

#endif
