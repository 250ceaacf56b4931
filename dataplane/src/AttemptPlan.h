#ifndef AMARANTH_DATAPLANE_SRC_ATTEMPTPLAN_H
#define AMARANTH_DATAPLANE_SRC_ATTEMPTPLAN_H

#include "amaranth/base/Millis.h"
#include "amaranth/dataplane/Messages.h"

#include <optional>
#include <set>

namespace amaranth::dataplane {

/// Decides what follows a failed attempt of one request.
///
/// A gate that expects no slot in time refuses at once, which reaches no
/// upstream and so costs none of the retry budget. A request therefore asks
/// up to `PatientTries` gates for a slot within its objective, which spreads
/// a burst over all upstreams although the entry nodes know their load only
/// from the past. If all refuse, it takes the shortest queue, late. A gate
/// that refuses it there too ends it: under overload a caller is told at once
/// when to come back instead of waiting in vain.
class AttemptPlan {
public:
  enum class Step : std::uint8_t {
    /// Another endpoint, which reaches an upstream for the first time.
    Redirect,
    /// Another endpoint, after an upstream was reached. Needs the budget.
    Retry,
    Stop,
  };

  /// Gates that are asked for a slot within the objective.
  static constexpr unsigned PatientTries = 3;
  /// Gates that are asked at all; bounds the time that a request is passed
  /// around while every endpoint fails.
  static constexpr unsigned MaxTries = 8;

  /// An attempt at `Endpoint` begins.
  void begin(const base::EndpointId &Endpoint) {
    ++Tries;
    Avoided.insert(Endpoint);
  }

  /// The attempt was refused. `Repeatable`: the request may run again.
  Step refused(const base::EndpointId &Endpoint, const Refusal &Why,
               bool Repeatable, unsigned MaxAttempts);

  /// No endpoint outside of `avoided` is left. True when those that were only
  /// busy may be asked again, now without patience.
  bool exhausted();

  /// Whether a gate should refuse when it cannot meet the objective.
  bool patient() const { return !AnyWait; }
  const std::set<base::EndpointId> &avoided() const { return Avoided; }
  unsigned tries() const { return Tries; }
  /// Attempts that reached an upstream.
  unsigned sends() const { return Sends; }
  /// When there may be room, from the refusals so far; empty when unknown.
  std::optional<base::Millis> room() const { return Room; }

private:
  std::set<base::EndpointId> Avoided;
  /// Endpoints that refused for lack of room only.
  std::set<base::EndpointId> Busy;
  unsigned Tries = 0;
  unsigned Sends = 0;
  bool AnyWait = false;
  std::optional<base::Millis> Room;
};

/// When there may be room for a request that was refused for `Why`; `Known` is
/// what the gates said. Empty when nothing is known.
std::optional<base::Millis> roomAfter(RefusalReason Why,
                                      std::optional<base::Millis> Known);

/// When a refused caller should come back: when room is expected, spread by
/// `Jitter` of -1 to 1 so that refused callers do not return together, and
/// early enough that the request can still be served. Callers wait at most a
/// third of what they have left.
base::Millis retryAfter(std::optional<base::Millis> Room, base::Millis Left,
                        double Jitter);

} // namespace amaranth::dataplane

#endif
