#ifndef AMARANTH_CTL_SRC_VIEWS_H
#define AMARANTH_CTL_SRC_VIEWS_H

#include "amaranth/document/Diff.h"
#include "amaranth/document/SectionText.h"

#include <ostream>
#include <string>
#include <vector>

namespace amaranth::ctl {

/// Server texts and JSON for people. All throw `base::Error` when the answer
/// of a server is not what it should be.

/// Sections of `GET /v1/document`, with their revisions.
std::vector<document::SectionText> readDocument(const std::string &Json);

/// Status answers of several servers.
struct StatusResponse {
  std::string Server;
  /// Body of the answer; empty when there was none.
  std::string Json;
  /// Why there was none.
  std::string Problem;
};
/// One object: the answer of the leader, or else the first one, with the
/// nodes of all answers and a member `servers`. At least one answer must have
/// a body.
std::string mergeStatus(const std::vector<StatusResponse> &Responses);
/// Prints what `mergeStatus` returned.
void printStatus(std::ostream &Out, const std::string &Json);
void printVersions(std::ostream &Out, const std::string &Json);
void printAudit(std::ostream &Out, const std::string &Json);

/// Whether a server marked its answer as possibly old.
bool isStale(const std::string &Json);
/// The `error` member, or the whole text.
std::string errorText(const std::string &Json);

struct ApplyResult {
  std::vector<std::string> Messages;
  std::vector<std::pair<std::string, std::uint64_t>> Revisions;
  std::uint64_t Document = 0;
};
ApplyResult readApplyResult(const std::string &Json);

/// Body of `POST /v1/apply`.
struct Change {
  std::string Section;
  std::uint64_t Expected = 0;
  std::string Body;
  bool Delete = false;
};
std::string applyBody(const std::string &Operation,
                      const std::vector<Change> &Changes);

/// Body of `POST /v1/replace-voter`.
std::string replacementBody(base::ReplicaId Lost, base::ReplicaId Replacement);

std::string diffJson(const std::vector<document::SectionDiff> &Diff);
std::string faultsJson(const std::vector<base::FileFault> &Faults);

} // namespace amaranth::ctl

#endif
