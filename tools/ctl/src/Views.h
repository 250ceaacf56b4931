#ifndef AMARANTH_CTL_SRC_VIEWS_H
#define AMARANTH_CTL_SRC_VIEWS_H

#include "amaranth/document/Diff.h"
#include "amaranth/document/SectionText.h"

#include <ostream>
#include <string>
#include <vector>

namespace amaranth::ctl {

/// Conversion between the JSON of the servers and the output of the commands.
/// The functions that read a response throw `base::Error` when a member is
/// missing or has the wrong type.

/// Returns the sections of a `GET /v1/document` response with their revisions.
std::vector<document::SectionText> readDocument(const std::string &Json);

/// Response of one server to a status request.
struct StatusResponse {
  std::string Server;
  /// Response body; empty when there was no usable response.
  std::string Json;
  /// Why there was no usable response.
  std::string Problem;
};
/// Merges the responses into one object: the response of the leader, or the
/// first one without a leader, with the nodes of all responses and a member
/// `servers`. At least one response must have a body.
std::string mergeStatus(const std::vector<StatusResponse> &Responses);
/// Prints the result of `mergeStatus`.
void printStatus(std::ostream &Out, const std::string &Json);
void printVersions(std::ostream &Out, const std::string &Json);
void printAudit(std::ostream &Out, const std::string &Json);

/// Returns whether a server marked its response as possibly stale.
bool isStale(const std::string &Json);
/// Returns the `error` member, or the whole text when there is none.
std::string errorText(const std::string &Json);

struct ApplyResult {
  std::vector<std::string> Messages;
  std::vector<std::pair<std::string, std::uint64_t>> Revisions;
  std::uint64_t Document = 0;
};
ApplyResult readApplyResult(const std::string &Json);

/// One section change in the body of `POST /v1/apply`.
struct Change {
  std::string Section;
  std::uint64_t Expected = 0;
  std::string Body;
  bool Delete = false;
};
std::string applyBody(const std::string &Operation,
                      const std::vector<Change> &Changes);

/// Returns the body of `POST /v1/lift-quarantine`.
std::string fingerprintBody(const std::string &Fingerprint);
/// Returns the body of `POST /v1/evacuate`.
std::string zoneBody(const std::string &Zone);
/// Returns the `message` member; empty when there is none.
std::string messageText(const std::string &Json);
/// Returns the body of `POST /v1/replace-voter`.
std::string replacementBody(base::ReplicaId Lost, base::ReplicaId Replacement);

std::string diffJson(const std::vector<document::SectionDiff> &Diff);
std::string faultsJson(const std::vector<base::FileFault> &Faults);

} // namespace amaranth::ctl

#endif
