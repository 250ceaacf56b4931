#ifndef AMARANTH_CTL_SRC_JSONVIEW_H
#define AMARANTH_CTL_SRC_JSONVIEW_H

#include <boost/json.hpp>

#include <cstdint>
#include <ostream>
#include <string>

namespace amaranth::ctl {

/// Accessors for JSON responses of servers. All throw `base::Error` when a
/// member is missing or has the wrong type.

/// Parses a response, which must be a JSON object.
boost::json::value parse(const std::string &Text);
const boost::json::value &member(const boost::json::value &From,
                                 const char *Name);
const boost::json::array &list(const boost::json::value &From,
                               const char *Name);
std::uint64_t number(const boost::json::value &Value);
/// Returns a string unquoted and any other value as JSON.
std::string text(const boost::json::value &From, const char *Name);
bool flag(const boost::json::value &From, const char *Name);
/// Returns the member `share_percent`, or 0 when it is not a number.
double percent(const boost::json::value &From);
/// Prints one line without indentation.
void printRollout(std::ostream &Out, const boost::json::value &Rollout);

} // namespace amaranth::ctl

#endif
