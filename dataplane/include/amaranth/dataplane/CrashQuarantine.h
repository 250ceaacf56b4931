#ifndef AMARANTH_DATAPLANE_CRASHQUARANTINE_H
#define AMARANTH_DATAPLANE_CRASHQUARANTINE_H

#include "amaranth/base/Clock.h"
#include "amaranth/follower/SnapshotSource.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace amaranth::dataplane {

/// The requests that may have caused one crash of an upstream.
struct CrashAttribution {
  /// The request that caused it, if that is known.
  std::optional<std::uint64_t> Culprit;
  /// Without a culprit: the requests that may have caused it.
  std::vector<std::uint64_t> Suspects;
};

/// The requests, by fingerprint, that this node refuses or suspects because
/// they crash upstreams: those of the snapshot, and what the node has seen
/// itself and control may not have committed. Entry server and gate of a node
/// share it. Single-threaded.
///
/// A request that an upstream has answered is no suspect of the next crash,
/// because a crashing request crashes every upstream that runs it. An answer
/// excuses one crash only, since the request may have begun to crash upstreams
/// after it, or crash those of another version.
class CrashQuarantine {
public:
  /// How long the node's own observations count, like those in the snapshot.
  static constexpr base::Millis EntryLifetime = base::Millis::seconds(600);
  /// How long an answered request is no suspect.
  static constexpr base::Millis AnsweredLifetime = base::Millis::seconds(60);
  /// Limits of the node's own observations; the oldest are dropped.
  static constexpr std::size_t MaxEntries = 10'000;
  static constexpr std::size_t MaxAnswered = 8'192;

  /// The references must outlive the object.
  CrashQuarantine(base::Clock &Time, follower::SnapshotSource &Snapshots)
      : Time(Time), Snapshots(Snapshots) {}

  /// Time for which the request is still refused; empty if it is not convicted.
  /// From the first snapshot with the conviction on, the snapshot decides, so
  /// that an operator can lift it.
  std::optional<base::Millis> convictedFor(std::uint64_t Fingerprint);
  /// True if the request was running during a crash and has not been answered
  /// since. A convicted request is no suspect.
  bool isSuspect(std::uint64_t Fingerprint);

  /// Adds a suspect that another node has named. An answer that this node has
  /// recorded still excuses it.
  void addSuspect(std::uint64_t Fingerprint);
  /// Adds a suspect of a crash that this node has seen. Answers recorded before
  /// no longer excuse it.
  void recordCrash(std::uint64_t Fingerprint);
  void convict(std::uint64_t Fingerprint);
  /// Records that an upstream has answered the request.
  void recordAnswer(std::uint64_t Fingerprint);

  /// Finds the cause of a crash among the `Running` requests, which are
  /// distinct. Convicts the only suspect among them, or makes suspects of all
  /// that have not been answered since their last crash.
  CrashAttribution attributeCrash(const std::vector<std::uint64_t> &Running);

private:
  /// Fingerprints with a limited lifetime; the oldest are dropped first.
  class RecentSet {
  public:
    RecentSet(base::Millis Lifetime, std::size_t Limit)
        : Lifetime(Lifetime), Limit(Limit) {}
    void insert(std::uint64_t Fingerprint, base::TimePoint Now);
    void erase(std::uint64_t Fingerprint) { Expiry.erase(Fingerprint); }
    /// Time until the entry expires; empty if there is none.
    std::optional<base::Millis> remaining(std::uint64_t Fingerprint,
                                          base::TimePoint Now) const;

  private:
    base::Millis Lifetime;
    std::size_t Limit;
    std::unordered_map<std::uint64_t, base::TimePoint> Expiry;
    /// Insertions in order of time. A fingerprint may occur more than once.
    std::deque<std::pair<base::TimePoint, std::uint64_t>> Order;
  };

  bool wasAnswered(std::uint64_t Fingerprint) const {
    return Answered.remaining(Fingerprint, Time.now()).has_value();
  }

  base::Clock &Time;
  follower::SnapshotSource &Snapshots;
  RecentSet Suspects{EntryLifetime, MaxEntries};
  RecentSet Convicted{EntryLifetime, MaxEntries};
  RecentSet Answered{AnsweredLifetime, MaxAnswered};
};

} // namespace amaranth::dataplane

#endif
