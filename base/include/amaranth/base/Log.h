#ifndef AMARANTH_BASE_LOG_H
#define AMARANTH_BASE_LOG_H

#include <spdlog/logger.h>

#include <memory>
#include <string>

namespace amaranth::base {

/// Sets up logging to standard error for the whole process. `Level` is one
/// of trace, debug, info, warn, error, off. Call once before `logger`.
///
/// A line is `time level component message key=value...`. Credentials and
/// bodies never appear in a log line.
void setUpLogging(const std::string &Level);

/// The logger of a component, created on first use. Thread-safe.
std::shared_ptr<spdlog::logger> logger(const std::string &Component);

} // namespace amaranth::base

#endif
