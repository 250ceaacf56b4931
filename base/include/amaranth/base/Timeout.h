#ifndef AMARANTH_BASE_TIMEOUT_H
#define AMARANTH_BASE_TIMEOUT_H

#include "amaranth/base/Clock.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <exception>
#include <optional>
#include <utility>

namespace amaranth::base {

namespace detail {

template <typename Result> struct Outcome {
  std::optional<Result> Value;
  std::exception_ptr Failure;
};

template <typename Result>
boost::asio::awaitable<void> capture(boost::asio::awaitable<Result> Operation,
                                     Outcome<Result> &Into) {
  try {
    Into.Value.emplace(co_await std::move(Operation));
  } catch (...) {
    Into.Failure = std::current_exception();
  }
}

inline boost::asio::awaitable<bool>
discardResult(boost::asio::awaitable<void> Operation) {
  co_await std::move(Operation);
  co_return true;
}

} // namespace detail

/// The result of `Operation`, or nothing when it took longer than `Limit`; it
/// is cancelled then. Exceptions of `Operation` pass through.
///
/// Needed because `operator||` of Asio goes on waiting for the timer when the
/// operation fails.
template <typename Result>
boost::asio::awaitable<std::optional<Result>>
withTimeout(Clock &Time, Millis Limit,
            boost::asio::awaitable<Result> Operation) {
  using namespace boost::asio::experimental::awaitable_operators;
  detail::Outcome<Result> Outcome;
  auto Winner = co_await (detail::capture(std::move(Operation), Outcome) ||
                          Time.sleepFor(Limit));
  if (Winner.index() == 1)
    co_return std::nullopt;
  if (Outcome.Failure)
    std::rethrow_exception(Outcome.Failure);
  co_return std::move(Outcome.Value);
}

/// As above; true when the operation finished in time.
inline boost::asio::awaitable<bool>
withTimeout(Clock &Time, Millis Limit, boost::asio::awaitable<void> Operation) {
  auto Done = co_await withTimeout(Time, Limit,
                                   detail::discardResult(std::move(Operation)));
  co_return Done.has_value();
}

} // namespace amaranth::base

#endif
