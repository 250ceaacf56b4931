#ifndef AMARANTH_CONTROL_SRC_OPERATORJSON_H
#define AMARANTH_CONTROL_SRC_OPERATORJSON_H

#include "amaranth/control/ControlState.h"
#include "amaranth/control/StatusSource.h"
#include "amaranth/replication/ReplicatedLog.h"

#include <string>
#include <string_view>

namespace amaranth::control::detail {

/// The request of `POST /v1/apply` is malformed. The message says where.
class BadRequest : public base::Error {
public:
  using base::Error::Error;
};

/// Fills `Operation` and `Changes`. Throws `BadRequest`.
ApplySections parseApply(std::string_view Text);

/// The body of `POST /v1/replace-voter`.
struct VoterReplacement {
  base::ReplicaId Lost;
  base::ReplicaId Replacement;
};
/// Throws `BadRequest`.
VoterReplacement parseReplacement(std::string_view Text);
std::string replacementJson(const VoterReplacement &Replaced);

/// `{"error": TEXT}`, with the operation when it is not empty.
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
