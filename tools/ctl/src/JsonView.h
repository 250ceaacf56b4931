#ifndef AMARANTH_CTL_SRC_JSONVIEW_H
#define AMARANTH_CTL_SRC_JSONVIEW_H

#include <boost/json.hpp>

#include <cstdint>
#include <ostream>
#include <string>

namespace amaranth::ctl {

/// Readers of server answers. All throw `base::Error` when the answer is not
/// what it should be.

/// An object.
boost::json::value parse(const std::string &Text);
const boost::json::value &member(const boost::json::value &From,
                                 const char *Name);
const boost::json::array &list(const boost::json::value &From,
                               const char *Name);
std::uint64_t number(const boost::json::value &Value);
/// A string as it is, another value as JSON.
std::string text(const boost::json::value &From, const char *Name);
bool flag(const boost::json::value &From, const char *Name);
/// The member `share_percent`.
double percent(const boost::json::value &From);
/// One line without indentation.
void printRollout(std::ostream &Out, const boost::json::value &Rollout);

} // namespace amaranth::ctl

#endif
