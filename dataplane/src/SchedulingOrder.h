#ifndef AMARANTH_DATAPLANE_SRC_SCHEDULINGORDER_H
#define AMARANTH_DATAPLANE_SRC_SCHEDULINGORDER_H

#include "amaranth/base/Millis.h"
#include "amaranth/dataplane/SlotQueue.h"

#include <cstddef>
#include <cstdint>

namespace amaranth::dataplane {

/// Part of the expected time that a request may take before it counts as
/// late, in percent. The expected time is a median: without a margin every
/// second request that starts at the last moment would miss its objective.
inline constexpr std::int64_t ServiceMarginPercent = 140;

/// The last moment at which `Work` can get a slot and meet its objective.
inline base::TimePoint latestTimelyStart(const SchedulingParams &Work) {
  return Work.Objective - Work.ServiceTime * ServiceMarginPercent / 100;
}

/// True when `Work` would probably miss its objective if it got a slot at
/// `Now`.
inline bool isLate(const SchedulingParams &Work, base::TimePoint Now) {
  return Now > latestTimelyStart(Work);
}

/// True when `Left` should get a free slot before `Right`.
///
/// Answers bursts and sustained overload. The rank comes first. Within a rank,
/// requests that can still meet their objective go first, the earliest one
/// ahead: under sustained overload the others would otherwise make every later
/// request late as well. Late ones use what is left. Calls of running work
/// have a rank of their own, because they hold the slot of their caller.
bool precedes(const SchedulingParams &Left, const SchedulingParams &Right,
              base::TimePoint Now);

/// Whether a request that can no longer meet its objective is kept in a queue
/// of `QueueLength` requests for `Slots` slots.
///
/// Answers sustained overload, in which a late request would wait behind ever
/// newer ones until its deadline and then be refused. Its caller learns at
/// once that there is no room. A short queue, as after a burst, is served
/// late.
bool acceptsLateRequests(std::size_t QueueLength, std::uint32_t Slots);

/// Whether a new request that is expected to wait for `Wait` joins a queue of
/// `QueueLength` requests.
///
/// Answers sustained overload: a request that would be late there is refused
/// on arrival, so that its caller can go elsewhere while there is time.
bool admitsToQueue(const SchedulingParams &Work, base::TimePoint Now,
                   base::Millis Wait, std::size_t QueueLength,
                   std::uint32_t Slots);

} // namespace amaranth::dataplane

#endif
