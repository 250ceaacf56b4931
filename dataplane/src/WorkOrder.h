#ifndef AMARANTH_DATAPLANE_SRC_WORKORDER_H
#define AMARANTH_DATAPLANE_SRC_WORKORDER_H

#include "amaranth/base/Millis.h"
#include "amaranth/dataplane/SlotQueue.h"

#include <cstddef>
#include <cstdint>

namespace amaranth::dataplane {

/// True when `Work` would miss its objective if it got a slot at `Now`.
inline bool isLate(const WaitingWork &Work, base::TimePoint Now) {
  return Now + Work.Service > Work.Objective;
}

/// True when `Left` should get a free slot before `Right`.
///
/// Answers bursts and sustained overload. The rank comes first. Within a rank,
/// requests that can still meet their objective go first, the earliest one
/// ahead: under sustained overload the others would otherwise make every later
/// request late as well. Late ones use what is left. Calls of running work
/// have a rank of their own, because they hold the slot of their caller.
bool goesFirst(const WaitingWork &Left, const WaitingWork &Right,
               base::TimePoint Now);

/// Whether a request that can no longer meet its objective is kept in a queue
/// of `Waiting` requests for `Slots` slots.
///
/// Answers sustained overload, in which a late request would wait behind ever
/// newer ones until its deadline and then be refused. Its caller learns at
/// once that there is no room. A short queue, as after a burst, is served
/// late.
bool holdsLate(std::size_t Waiting, std::uint32_t Slots);

} // namespace amaranth::dataplane

#endif
