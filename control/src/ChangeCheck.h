#ifndef AMARANTH_CONTROL_SRC_CHANGECHECK_H
#define AMARANTH_CONTROL_SRC_CHANGECHECK_H

#include "SectionBook.h"

namespace amaranth::control::detail {

/// 1 to 128 printable characters without spaces.
bool isOperationId(std::string_view Text);

/// Checks one `ApplySections` against the present state. Changes nothing.
class ChangeCheck {
public:
  ChangeCheck(const ApplySections &Request, const SectionBook &Book,
              const RolloutTable &Rollouts, EntryPlace Place);

  /// `Accepted` or the reason of the refusal. After `Accepted`, `Next` and
  /// `Valid` are the sections and the document with the changes.
  ResultCode run();

  struct Message {
    /// Empty when the message concerns the whole change.
    std::string Section;
    std::string Text;
  };
  std::vector<Message> Messages;
  SectionMap Next;
  document::Document Valid;

private:
  bool hasForm();
  void checkAccess(const SectionChange &Change);
  void checkCreate(const SectionChange &Change);
  void checkExisting(const SectionChange &Change, const StoredSection &Known);
  void buildNext();
  bool isValid();
  void checkTraffic(std::vector<base::FileFault> &Faults);
  void checkRollout(const document::RolloutSection &Section,
                    const base::VersionName &Carrying,
                    std::vector<base::FileFault> &Faults);
  bool inTeam(const base::TeamName &Team) const;
  bool isNewRevision(const std::string &Section) const;
  void forbid(const std::string &Section, const std::string &Text);
  void conflict(const std::string &Section, const std::string &Text);

  const ApplySections &Request;
  const SectionBook &Book;
  const RolloutTable &Rollouts;
  EntryPlace Place;
  bool Forbidden = false;
  bool Conflicting = false;
};

} // namespace amaranth::control::detail

#endif
