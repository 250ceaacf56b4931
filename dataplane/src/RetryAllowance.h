#ifndef AMARANTH_DATAPLANE_SRC_RETRYALLOWANCE_H
#define AMARANTH_DATAPLANE_SRC_RETRYALLOWANCE_H

#include "amaranth/dataplane/RetryBudgets.h"

namespace amaranth::dataplane {

/// What one request takes from the retry budget of its service.
class RetryAllowance {
public:
  /// `RepeatShare`: probability that the request is a call of a repeat.
  /// `Budgets` must outlive the object.
  RetryAllowance(RetryBudgets &Budgets, base::ServiceName Service,
                 double RepeatShare, base::TimePoint Now)
      : Budgets(Budgets), Service(std::move(Service)),
        RepeatShare(RepeatShare) {
    budget().recordRequest(Now);
  }

  /// Called when an attempt has ended without a response that is forwarded.
  void recordAttempt(bool ReachedUpstream) {
    Reached = Reached || ReachedUpstream;
  }

  /// Whether the budget allows another attempt after one that has reached an
  /// upstream.
  bool mayRepeat(base::TimePoint Now) { return budget().hasToken(Now); }

  /// Called before each attempt after the first one. Returns false if the
  /// budget does not allow the attempt.
  bool admitAttempt(base::TimePoint Now) {
    return !Reached || budget().tryAcquire(Now);
  }

  /// Whether the next attempt is a repeat: an earlier one has reached an
  /// upstream.
  bool isRepeat() const { return Reached; }
  /// Probability that the run of the next attempt would not exist without a
  /// repeat.
  double repeatShare() const { return Reached ? 1 : RepeatShare; }

private:
  RetryBudget &budget() { return Budgets.budgetOf(Service); }

  RetryBudgets &Budgets;
  base::ServiceName Service;
  double RepeatShare;
  bool Reached = false;
};

} // namespace amaranth::dataplane

#endif
