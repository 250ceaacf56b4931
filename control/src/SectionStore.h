#ifndef AMARANTH_CONTROL_SRC_SECTIONSTORE_H
#define AMARANTH_CONTROL_SRC_SECTIONSTORE_H

#include "AuditLog.h"
#include "RolloutTable.h"
#include "amaranth/document/Document.h"

#include <map>

namespace amaranth::control::detail {

/// Most sections in one change.
inline constexpr std::size_t MaxChanges = 1000;

/// Position and time of the entry that is applied.
struct EntryContext {
  base::LogIndex Index;
  base::WallTime Time;
};

using SectionMap = std::map<std::string, StoredSection>;

/// The sections of the accepted document.
class SectionStore {
public:
  /// Applies all changes or none. Accepted changes of rollout sections go to
  /// `Rollouts`, one audit entry for each change to `Audit`.
  CommandResult apply(const ApplySections &Request, EntryContext Context,
                      RolloutTable &Rollouts, AuditLog &Audit);

  const SectionMap &records() const { return Sections; }
  const document::Document &document() const { return Parsed; }
  base::DocumentVersion version() const { return Version; }

  Offset<flatbuffers::Vector<Offset<wire::SectionRecord>>>
  write(Builder &Out) const;
  void read(const wire::ControlSnapshot &From);

private:
  void commit(const ApplySections &Request, SectionMap NextSections,
              document::Document NextDocument, EntryContext Context,
              RolloutTable &Rollouts);

  SectionMap Sections;
  document::Document Parsed;
  base::DocumentVersion Version;
};

/// The sections as text, in name order.
std::vector<document::SectionText> textsOf(const SectionMap &Sections);

} // namespace amaranth::control::detail

#endif
