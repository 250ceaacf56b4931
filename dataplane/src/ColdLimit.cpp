#include "amaranth/dataplane/ColdLimit.h"

#include <algorithm>
#include <cmath>

namespace amaranth::dataplane {

namespace {

/// Only the latest requests can fill the window of a cold upstream. Bounds the
/// memory for fast upstreams; no service is expected to bear more while cold.
constexpr std::size_t MaxRecorded = 4096;
/// Requests left in the window when the rate starts: with the burst of the rate
/// limit they stay below `maxPerSecond`.
constexpr std::size_t MaxLeftover = 3;
/// Retry time while the rate of the service is unknown.
constexpr base::Millis UnknownRateDelay = base::Millis(500);

} // namespace

void ColdLimit::recordMessage(base::Millis ColdFor, base::TimePoint MadeAfter,
                              base::TimePoint Now) {
  bool Overtaken = LastSign && MadeAfter < *LastSign;
  if (ColdFor > base::Millis(0)) {
    SaidUntil = Overtaken ? std::max(SaidUntil, Now + ColdFor) : Now + ColdFor;
    if (!Suspected || MadeAfter >= *Suspected)
      Suspected.reset();
    LastSign = Now;
  } else if (!Overtaken) {
    SaidUntil = base::TimePoint(0);
    Suspected.reset();
    LastSign.reset();
  }
}

void ColdLimit::reset(base::TimePoint Now) {
  SaidUntil = base::TimePoint(0);
  recordEvent(Now);
}

void ColdLimit::recordSent(base::TimePoint Now) {
  while (!Sent.empty() &&
         (Sent.front() + Window <= Now || Sent.size() >= MaxRecorded))
    Sent.pop_front();
  Sent.push_back(Now);
}

bool ColdLimit::isCold(base::TimePoint Now) const {
  if (Current && Current->PerSecond <= 0)
    return false;
  return Now < SaidUntil ||
         (Suspected && (!Current || Now < *Suspected + Current->Period));
}

std::optional<RequestRate>
ColdLimit::lowerRate(std::optional<RequestRate> Named,
                     base::TimePoint Now) const {
  std::optional<RequestRate> Lower = Named;
  if (Current && isCold(Now) &&
      (!Lower || Current->PerSecond < Lower->PerSecond))
    Lower = RequestRate{Current->PerSecond};
  if (Lower)
    Lower->PerSecond =
        std::max(Lower->PerSecond, RequestRateLimit::MinRate.PerSecond);
  return Lower;
}

base::Millis ColdLimit::timeUntilSend(base::TimePoint Now) const {
  if (!isCold(Now))
    return base::Millis(0);
  if (!Current)
    return UnknownRateDelay;
  auto Max = static_cast<std::size_t>(maxPerSecond(Current->PerSecond));
  return timeUntilAtMost(Max - 1, Now);
}

base::Millis ColdLimit::timeUntilPaced(base::TimePoint Now) const {
  return isCold(Now) ? timeUntilAtMost(MaxLeftover, Now) : base::Millis(0);
}

base::Millis ColdLimit::timeUntilAtMost(std::size_t Count,
                                        base::TimePoint Now) const {
  if (Sent.size() <= Count)
    return base::Millis(0);
  base::TimePoint Leaves = Sent[Sent.size() - Count - 1] + Window;
  return std::max(base::Millis(0), Leaves - Now);
}

} // namespace amaranth::dataplane
