#ifndef AMARANTH_DATAPLANE_SRC_SLOTODDS_H
#define AMARANTH_DATAPLANE_SRC_SLOTODDS_H

#include "amaranth/base/Clock.h"

#include <cmath>

namespace amaranth::dataplane {

/// How often the gates of one service granted a slot in time lately, in the
/// local zone and in all others. Tells a request that was refused for lack of a
/// slot whether another gate is worth a message.
///
/// Answers a service whose gates are all full: a redirect then takes a slot
/// only from a request that would have used it, and the messages delay the
/// responses on narrow links, which keeps the slots of their callers busy. An
/// entry node hears from each single gate too seldom to know that all are full.
/// Also answers a load that is high in one zone only: its requests leave the
/// zone without asking full gates first. Single-threaded.
class SlotOdds {
public:
  enum class Advice : std::uint8_t { AskLocalZone, AskAllZones, AcceptAnyWait };

  /// Records the answer of a gate that was asked for a slot within the
  /// objective.
  void record(bool LocalZone, bool Granted, base::TimePoint Now) {
    (LocalZone ? Local : Remote).record(Granted, Now);
  }

  Advice advice(base::TimePoint Now) {
    if (Local.isLikely(Now))
      return Advice::AskLocalZone;
    return Remote.isLikely(Now) ? Advice::AskAllZones : Advice::AcceptAnyWait;
  }

private:
  class Share {
  public:
    void record(bool Granted, base::TimePoint Now) {
      decay(Now);
      Grants += Granted ? 1 : 0;
      Asked += 1;
    }
    bool isLikely(base::TimePoint Now) {
      decay(Now);
      return Grants >= MinShare * Asked;
    }

  private:
    static constexpr double MinShare = 0.6;
    /// Time after which an answer counts half. A burst fills a service within
    /// about one service time.
    static constexpr double HalfLifeMs = 300;
    /// Grants that are assumed, so that single refusals at little traffic do
    /// not look like a full service.
    static constexpr double PriorGrants = 4;

    void decay(base::TimePoint Now) {
      double Factor = std::exp2(
          -static_cast<double>((Now - UpdatedAt).count()) / HalfLifeMs);
      Grants = PriorGrants + (Grants - PriorGrants) * Factor;
      Asked = PriorGrants + (Asked - PriorGrants) * Factor;
      UpdatedAt = Now;
    }

    double Grants = PriorGrants;
    double Asked = PriorGrants;
    base::TimePoint UpdatedAt;
  };

  Share Local;
  Share Remote;
};

} // namespace amaranth::dataplane

#endif
