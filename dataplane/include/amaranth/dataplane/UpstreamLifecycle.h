#ifndef AMARANTH_DATAPLANE_UPSTREAMLIFECYCLE_H
#define AMARANTH_DATAPLANE_UPSTREAMLIFECYCLE_H

#include <cstdint>
#include <memory>

namespace amaranth::dataplane {

enum class UpstreamState : std::uint8_t {
  /// Never announced, or the announcements timed out.
  Absent,
  Starting,
  Ready,
  Draining,
  /// Refuses connections without having announced that it stops.
  Crashed,
  /// Announced that it stopped.
  Stopped,
};

enum class UpstreamEvent : std::uint8_t {
  AnnouncedStarting,
  AnnouncedReady,
  AnnouncedDraining,
  AnnouncedStopped,
  /// No announcement arrived within the timeout.
  AnnouncementTimeout,
  Crashed,
};

/// State machine of the local upstream. Ignores events that have no transition
/// from the current state.
class UpstreamLifecycle {
public:
  UpstreamLifecycle();
  ~UpstreamLifecycle();
  UpstreamLifecycle(UpstreamLifecycle &&) noexcept;
  UpstreamLifecycle &operator=(UpstreamLifecycle &&) noexcept;

  UpstreamState state() const;
  /// Returns true if the event changed the state.
  bool apply(UpstreamEvent Event);

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace amaranth::dataplane

#endif
