#ifndef AMARANTH_DATAPLANE_SRC_RETRYALLOWANCE_H
#define AMARANTH_DATAPLANE_SRC_RETRYALLOWANCE_H

#include "amaranth/dataplane/RetryBudgets.h"

#include <optional>

namespace amaranth::dataplane {

/// What one request takes from the retry budget of its service.
///
/// The first arrival at an upstream needs no token. A token is used up by an
/// arrival; an attempt that ends before it reaches an upstream leaves its token
/// to the next one.
class RetryAllowance {
public:
  /// `CallOfRepeat`: the request counts as a call of a repeat. The call was
  /// charged when the repeat began, and does not enlarge the budget.
  /// `Budgets` must outlive the object, unless nothing but the destructor is
  /// called.
  RetryAllowance(RetryBudgets &Budgets, base::ServiceName Service,
                 bool CallOfRepeat, base::TimePoint Now)
      : Budgets(Budgets), BudgetsLifetime(Budgets.lifetime()),
        Service(std::move(Service)), CallOfRepeat(CallOfRepeat) {
    if (!CallOfRepeat)
      budget().recordRequest(Now);
  }
  ~RetryAllowance() {
    if (Token && !InAttempt && !BudgetsLifetime.expired())
      budget().giveBack(*Token);
  }
  RetryAllowance(const RetryAllowance &) = delete;
  RetryAllowance &operator=(const RetryAllowance &) = delete;

  /// Called when an attempt has ended without a response that is forwarded.
  void recordAttempt(bool ReachedUpstream) {
    InAttempt = false;
    if (!ReachedUpstream)
      return;
    Reached = true;
    Token.reset();
  }

  /// Whether the budget allows another attempt after one that has reached an
  /// upstream.
  bool mayRepeat(base::TimePoint Now) { return budget().hasToken(Now); }

  /// Called before each attempt after the first one. Returns false if the
  /// budget does not allow the attempt.
  bool admitAttempt(base::TimePoint Now) {
    if (Reached && !Token)
      Token = budget().tryAcquire(Now);
    InAttempt = !Reached || Token;
    return InAttempt;
  }

  /// Whether the next attempt is a repeat: an earlier one has reached an
  /// upstream.
  bool isRepeat() const { return Reached; }
  /// Whether the calls of the next attempt count as calls of a repeat.
  bool isRepeatedWork() const { return Reached || CallOfRepeat; }

private:
  RetryBudget &budget() { return Budgets.budgetOf(Service); }

  RetryBudgets &Budgets;
  std::weak_ptr<const void> BudgetsLifetime;
  base::ServiceName Service;
  bool CallOfRepeat;
  /// Paid for the next arrival at an upstream.
  std::optional<RetryBudget::Token> Token;
  /// An attempt is running and may have reached an upstream.
  bool InAttempt = false;
  bool Reached = false;
};

} // namespace amaranth::dataplane

#endif
