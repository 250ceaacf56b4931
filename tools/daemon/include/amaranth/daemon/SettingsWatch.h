#ifndef AMARANTH_DAEMON_SETTINGSWATCH_H
#define AMARANTH_DAEMON_SETTINGSWATCH_H

#include "amaranth/base/Clock.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace amaranth::daemon {

/// How often the settings file is looked at; it may change without a signal.
inline constexpr base::Millis SettingsInterval = base::Millis(500);

/// Calls `Reload` after the content of the file changed, with or without a
/// SIGHUP, until cancelled. A `base::Error` of `Reload` is logged and the
/// settings in force stay.
boost::asio::awaitable<void> watchSettings(std::string Path, base::Clock &Time,
                                           std::function<void()> Reload);

} // namespace amaranth::daemon

#endif
