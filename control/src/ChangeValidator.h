#ifndef AMARANTH_CONTROL_SRC_CHANGEVALIDATOR_H
#define AMARANTH_CONTROL_SRC_CHANGEVALIDATOR_H

#include "SectionStore.h"

namespace amaranth::control::detail {

/// Whether `Text` consists of 1 to 128 printable characters without spaces.
bool isOperationId(std::string_view Text);

/// Validates an `ApplySections` command against the current state without
/// changing it.
class ChangeValidator {
public:
  ChangeValidator(const ApplySections &Request, const SectionStore &Store,
                  const RolloutTable &Rollouts, EntryContext Context);

  /// Returns `Accepted` or the reason for the refusal. After `Accepted`,
  /// `NextSections` and `NextDocument` contain the changes.
  ResultCode validate();

  struct Message {
    /// Empty if the message applies to the whole command.
    std::string Section;
    std::string Text;
  };
  std::vector<Message> Messages;
  SectionMap NextSections;
  document::Document NextDocument;

private:
  bool isWellFormed();
  void checkAccess(const SectionChange &Change);
  void checkCreate(const SectionChange &Change);
  void checkExisting(const SectionChange &Change,
                     const StoredSection &Existing);
  void buildNextSections();
  bool validateDocument();
  void checkTrafficVersions(std::vector<base::FileFault> &Faults);
  void checkRollout(const document::RolloutSection &Section,
                    const base::VersionName &CurrentVersion,
                    std::vector<base::FileFault> &Faults);
  bool isInTeam(const base::TeamName &Team) const;
  bool isNewRevision(const std::string &Section) const;
  void forbid(const std::string &Section, const std::string &Text);
  void conflict(const std::string &Section, const std::string &Text);

  const ApplySections &Request;
  const SectionStore &Store;
  const RolloutTable &Rollouts;
  EntryContext Context;
  bool Forbidden = false;
  bool Conflicting = false;
};

} // namespace amaranth::control::detail

#endif
