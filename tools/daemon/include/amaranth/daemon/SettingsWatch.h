#ifndef AMARANTH_DAEMON_SETTINGSWATCH_H
#define AMARANTH_DAEMON_SETTINGSWATCH_H

#include "amaranth/base/Clock.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace amaranth::daemon {

/// Polling interval for the settings file, which may change without a signal.
inline constexpr base::Millis SettingsInterval = base::Millis(500);

/// Calls `Reload` when the file has changed and after a SIGHUP, until
/// cancelled. A `base::Error` thrown by `Reload` is logged and the current
/// settings remain in effect.
boost::asio::awaitable<void> watchSettings(std::string Path, base::Clock &Time,
                                           std::function<void()> Reload);

} // namespace amaranth::daemon

#endif
