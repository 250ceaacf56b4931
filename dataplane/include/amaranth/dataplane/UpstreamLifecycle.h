#ifndef AMARANTH_DATAPLANE_UPSTREAMLIFECYCLE_H
#define AMARANTH_DATAPLANE_UPSTREAMLIFECYCLE_H

#include <cstdint>
#include <memory>

namespace amaranth::dataplane {

enum class UpstreamState : std::uint8_t {
  /// Never announced, or silent for too long.
  Absent,
  Starting,
  Ready,
  Draining,
  /// Its connections are refused without a notice that it leaves.
  Crashed,
  /// Announced its own end.
  Stopped,
};

enum class UpstreamEvent : std::uint8_t {
  AnnouncedStarting,
  AnnouncedReady,
  AnnouncedDraining,
  AnnouncedStopped,
  /// No announcement for the limit.
  AnnouncementTimeout,
  Crashed,
};

/// Lifecycle of the local upstream. Events without a transition are ignored.
class UpstreamLifecycle {
public:
  UpstreamLifecycle();
  ~UpstreamLifecycle();
  UpstreamLifecycle(UpstreamLifecycle &&) noexcept;
  UpstreamLifecycle &operator=(UpstreamLifecycle &&) noexcept;

  UpstreamState state() const;
  /// True when the event changed the state.
  bool apply(UpstreamEvent Event);

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace amaranth::dataplane

#endif
