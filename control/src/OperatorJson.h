#ifndef AMARANTH_CONTROL_SRC_OPERATORJSON_H
#define AMARANTH_CONTROL_SRC_OPERATORJSON_H

#include "amaranth/control/ControlState.h"
#include "amaranth/control/StatusSource.h"
#include "amaranth/replication/ReplicatedLog.h"

#include <string>
#include <string_view>

namespace amaranth::control::detail {

/// A request body is malformed. The message names the location.
class BadRequest : public base::Error {
public:
  using base::Error::Error;
};

/// Parses the body of `POST /v1/apply` into `Operation` and `Changes`. Throws
/// `BadRequest`.
ApplySections parseApply(std::string_view Text);

/// The body of `POST /v1/replace-voter`.
struct VoterReplacement {
  base::ReplicaId Lost;
  base::ReplicaId Replacement;
};
/// Throws `BadRequest`.
VoterReplacement parseReplacement(std::string_view Text);
std::string replacementJson(const VoterReplacement &Replaced);

/// Parses the body of `POST /v1/lift-quarantine`. Throws `BadRequest`.
std::uint64_t parseFingerprint(std::string_view Text);

/// Parses the body of `POST /v1/evacuate`. Throws `BadRequest`.
std::string parseZone(std::string_view Text);
/// Returns `{"result": "accepted"}`, with the member `message` if it is not
/// empty.
std::string acceptedJson(const std::string &Message);

/// Returns `{"error": TEXT}`, with the member `operation` if it is not empty.
std::string errorJson(std::string_view Text, std::string_view Operation = {});
std::string resultJson(const CommandResult &Result,
                       const std::string &Operation);

std::string documentJson(const ControlState &State, bool Stale);
std::string statusJson(const ControlState &State,
                       const replication::ReplicatedLog &Log,
                       const StatusSource &Nodes, bool Stale);
std::string versionsJson(const ControlState &State, bool Stale);
std::string auditJson(const ControlState &State, std::size_t Limit, bool Stale);

} // namespace amaranth::control::detail

#endif
