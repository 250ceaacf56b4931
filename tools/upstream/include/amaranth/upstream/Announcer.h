#ifndef AMARANTH_UPSTREAM_ANNOUNCER_H
#define AMARANTH_UPSTREAM_ANNOUNCER_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/Signal.h"
#include "amaranth/dataplane/Gate.h"

namespace amaranth::upstream {

/// Announces the program to the local node each second and after each change
/// of its state.
class Announcer {
public:
  /// `Self` holds everything but the sequence, which the announcer counts.
  Announcer(const boost::asio::any_io_executor &Executor,
            dataplane::Announcement Self, base::Address Node, std::string Key,
            base::Clock &Time);

  /// States only move forward; an earlier one than the present is ignored.
  void setState(dataplane::Announcement::State What);
  /// Runs until cancelled. Failures are logged and tried again.
  boost::asio::awaitable<void> run();
  /// Sends the present state once, within a second.
  boost::asio::awaitable<void> announceNow();

private:
  boost::asio::awaitable<void> post(std::string Text);

  dataplane::Announcement Self;
  base::Address Node;
  std::string Key;
  base::Clock &Time;
  base::Signal Changed;
};

} // namespace amaranth::upstream

#endif
