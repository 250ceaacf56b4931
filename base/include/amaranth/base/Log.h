#ifndef AMARANTH_BASE_LOG_H
#define AMARANTH_BASE_LOG_H

#include "amaranth/base/Clock.h"

#include <boost/asio/awaitable.hpp>
#include <spdlog/logger.h>

#include <cstdint>
#include <memory>
#include <string>

namespace amaranth::base {

/// Sets up logging for the whole process. `Level` is one of trace, debug,
/// info, warn, error, off. Call once before `logger`.
///
/// A line is `time level component message key=value...`. Credentials and
/// bodies never appear in a log line.
///
/// Lines go to standard output through a bounded buffer that `flushLogs`
/// writes out; a line that finds the buffer full, and request lines above
/// `MaxRequestLines` a second, are left out and counted. A process that runs
/// no `flushLogs` has its lines written at once.
void setUpLogging(const std::string &Level);

/// The logger of a component, created on first use. Thread-safe.
std::shared_ptr<spdlog::logger> logger(const std::string &Component);

/// Component of the lines about single requests, whose number depends on the
/// callers.
inline constexpr const char *RequestLog = "request";
/// Lines of `RequestLog` in one second. A node at its target load of 60
/// requests a second writes about 200.
inline constexpr std::uint64_t MaxRequestLines = 400;
/// Bytes that wait to be written; above this lines are left out.
inline constexpr std::size_t MaxLogBuffer = 1U << 20U;
inline constexpr Millis LogFlushInterval = Millis(100);

/// Writes the buffered lines without ever blocking, until cancelled. Says how
/// many lines were left out.
boost::asio::awaitable<void> flushLogs(Clock &Time);
/// Writes what is buffered, for the end of a process.
void flushLogsNow();
/// Lines that were left out so far.
std::uint64_t droppedLogLines();

} // namespace amaranth::base

#endif
