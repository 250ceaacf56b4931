#ifndef AMARANTH_DATAPLANE_UPSTREAMRUNS_H
#define AMARANTH_DATAPLANE_UPSTREAMRUNS_H

#include "amaranth/base/Clock.h"

#include <cstdint>
#include <map>

namespace amaranth::dataplane {

/// The requests that the local upstream is running, to tell the calls that it
/// makes for repeated ones. Single-threaded.
///
/// A call does not say which request it is made for, and callers on this VM
/// send requests to the same address. But a call ends no later than the request
/// that it is made for, while a caller that has just sent a request waits
/// longer than the running ones. So a request of this VM is attributed in equal
/// parts to the running requests that end after it.
class UpstreamRuns {
public:
  /// Time by which a call seems to end later than its request, because both
  /// messages were on their way and were read late.
  static constexpr base::Millis MaxDelay = base::Millis(100);

  /// What is known of a request when its run begins.
  struct Request {
    base::TimePoint Deadline;
    /// Probability that the run would not exist without a repeat.
    double RepeatShare = 0;
  };

  /// Counts a request as running while the object lives.
  class Run {
  public:
    Run(UpstreamRuns &Owner, Request Started)
        : Owner(Owner), Id(Owner.NextId++) {
      Owner.Running.emplace(Id, Started);
    }
    ~Run() { Owner.Running.erase(Id); }
    Run(const Run &) = delete;
    Run &operator=(const Run &) = delete;

  private:
    UpstreamRuns &Owner;
    std::uint64_t Id;
  };

  /// Attributes a request by a process of this VM, which waits until
  /// `Deadline`. Returns the probability that it is a call of a repeat.
  double recordCall(base::TimePoint Deadline) const;

private:
  std::map<std::uint64_t, Request> Running;
  std::uint64_t NextId = 0;
};

} // namespace amaranth::dataplane

#endif
