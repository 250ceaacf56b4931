#ifndef AMARANTH_DATAPLANE_COLDLIMIT_H
#define AMARANTH_DATAPLANE_COLDLIMIT_H

#include "amaranth/base/Clock.h"
#include "amaranth/dataplane/RequestRateLimit.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace amaranth::dataplane {

/// Decides whether an upstream is cold, until when, and how many requests may
/// be sent to it meanwhile. Answers a zone that returns at full traffic with
/// all upstreams cold, and an upstream that restarts under load: a cold
/// upstream crashes above its rate, and the next ones with it.
///
/// The bound is `maxPerSecond` in each second that ends with a request, and
/// counts the requests that were sent while the upstream was warm. Only what
/// the gate cannot know is outside of it: an upstream that becomes cold without
/// a restart, until it says so. Single-threaded.
class ColdLimit {
public:
  /// What the document says about the upstreams of a service.
  struct Terms {
    base::Millis Period;
    /// 0 without a limit.
    double PerSecond = 0;

    bool operator==(const Terms &) const = default;
  };

  /// Time for which an announcement may be under way. One that arrives sooner
  /// after an event may have been sent before it, by the earlier process.
  static constexpr base::Millis MaxAnnouncementDelay = base::Millis(1000);
  static constexpr base::Millis Window = base::Millis(1000);

  /// Requests that an upstream with this rate may get in any second. An
  /// upstream bears 1.5 times its rate and 8 more; what is left covers requests
  /// that arrive closer together than they were sent. At least the rate and
  /// the burst of a `RequestRateLimit`, so that its grants are not refused.
  static double maxPerSecond(double Rate) { return 1.25 * Rate + 4; }

  /// `Known` is empty until the configuration names the service. A cold
  /// upstream gets no requests then, as its rate is unknown.
  void setTerms(std::optional<Terms> Known) { Current = Known; }

  /// The upstream has said for how long it is cold; 0 if it is warm. The
  /// message was not made before `MadeAfter`. One that may be older than the
  /// latest event or than the last message that says "cold" does not end the
  /// cold period, since it may have been overtaken.
  void recordMessage(base::Millis ColdFor, base::TimePoint MadeAfter,
                     base::TimePoint Now);
  /// The upstream may have restarted or may have become cold unseen: it is cold
  /// for the period of its service, unless it says otherwise later.
  void recordEvent(base::TimePoint Now) { Suspected = LastSign = Now; }
  /// Forgets what the previous process said.
  void reset(base::TimePoint Now);
  /// A request is being sent.
  void recordSent(base::TimePoint Now);

  bool isCold(base::TimePoint Now) const;
  /// The lower one of the rate of a cold upstream and the limit `Named` by the
  /// upstream itself; empty without a limit.
  std::optional<RequestRate> lowerRate(std::optional<RequestRate> Named,
                                       base::TimePoint Now) const;
  /// Time until the next request may be sent; 0 if it may be sent now.
  base::Millis timeUntilSend(base::TimePoint Now) const;
  /// Time until requests sent at the rate keep the bound together with those
  /// that were sent before.
  base::Millis timeUntilPaced(base::TimePoint Now) const;

private:
  /// Time until at most `Count` of the requests sent are in the window.
  base::Millis timeUntilAtMost(std::size_t Count, base::TimePoint Now) const;

  std::optional<Terms> Current;
  /// End of the cold period by the last message.
  base::TimePoint SaidUntil{0};
  /// The last event that no later message has answered.
  std::optional<base::TimePoint> Suspected;
  /// The last event or message that says "cold".
  std::optional<base::TimePoint> LastSign;
  /// Times of the requests in the window, at most `MaxRecorded`.
  std::deque<base::TimePoint> Sent;
};

} // namespace amaranth::dataplane

#endif
