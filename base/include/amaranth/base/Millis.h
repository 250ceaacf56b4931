#ifndef AMARANTH_BASE_MILLIS_H
#define AMARANTH_BASE_MILLIS_H

#include <compare>
#include <cstdint>
#include <limits>

namespace amaranth::base {

/// A span of time in whole milliseconds. May be negative.
class Millis {
public:
  constexpr Millis() = default;
  constexpr explicit Millis(std::int64_t Count) : Count(Count) {}

  constexpr std::int64_t count() const { return Count; }
  static constexpr Millis seconds(std::int64_t Seconds) {
    return Millis(Seconds * 1000);
  }

  constexpr auto operator<=>(const Millis &) const = default;
  constexpr Millis operator+(Millis Other) const {
    return Millis(Count + Other.Count);
  }
  constexpr Millis operator-(Millis Other) const {
    return Millis(Count - Other.Count);
  }
  constexpr Millis operator*(std::int64_t Factor) const {
    return Millis(Count * Factor);
  }
  constexpr Millis operator/(std::int64_t Divisor) const {
    return Millis(Count / Divisor);
  }

private:
  std::int64_t Count = 0;
};

namespace detail {

/// A point on one time scale. Points of different scales do not mix.
template <typename Scale> class Point {
public:
  constexpr Point() = default;
  constexpr explicit Point(std::int64_t Value) : Value(Value) {}

  /// Milliseconds since the origin of the scale.
  constexpr std::int64_t count() const { return Value; }
  static constexpr Point max() {
    return Point(std::numeric_limits<std::int64_t>::max());
  }

  constexpr auto operator<=>(const Point &) const = default;
  constexpr Point operator+(Millis Span) const {
    return Point(Value + Span.count());
  }
  constexpr Point operator-(Millis Span) const {
    return Point(Value - Span.count());
  }
  constexpr Millis operator-(Point Other) const {
    return Millis(Value - Other.Value);
  }

private:
  std::int64_t Value = 0;
};

struct MonotonicScale;
struct WallScale;
struct BootScale;

} // namespace detail

/// Monotonic time of this process; the origin has no meaning outside it.
using TimePoint = detail::Point<detail::MonotonicScale>;

/// Milliseconds since the Unix epoch, UTC.
using WallTime = detail::Point<detail::WallScale>;

/// Milliseconds since the start of the machine. Unlike `TimePoint`, it counts
/// the time in which the machine was suspended.
using BootTime = detail::Point<detail::BootScale>;

} // namespace amaranth::base

#endif
