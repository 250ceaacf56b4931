#ifndef AMARANTH_DATAPLANE_SRC_WORKORDER_H
#define AMARANTH_DATAPLANE_SRC_WORKORDER_H

#include "amaranth/base/Millis.h"
#include "amaranth/dataplane/SlotQueue.h"

#include <cstdint>

namespace amaranth::dataplane {

/// True when `Left` should get a free slot before `Right`.
///
/// Answers bursts and sustained overload. The rank comes first, so that calls
/// of running work, which holds slots of its own, never wait behind new work.
/// Within a rank, requests that can still meet their objective go first, the
/// earliest one ahead: under sustained overload the others would otherwise
/// make every later request late as well. Late ones use what is left.
bool goesFirst(const WaitingWork &Left, const WaitingWork &Right,
               base::TimePoint Now, base::Millis Service);

/// Expected wait of a request for a slot: `Ahead` requests go before it,
/// `Slots` requests of `Service` each run at once. 0 when a slot is free.
base::Millis expectedWait(std::size_t Ahead, std::uint32_t Running,
                          std::uint32_t Slots, base::Millis Service);

} // namespace amaranth::dataplane

#endif
