#ifndef AMARANTH_CONTROL_SRC_SECTIONSTORE_H
#define AMARANTH_CONTROL_SRC_SECTIONSTORE_H

#include "AuditLog.h"
#include "RolloutTable.h"
#include "amaranth/document/Document.h"

#include <map>

namespace amaranth::control::detail {

/// Maximum number of sections in one change.
inline constexpr std::size_t MaxChanges = 1000;

/// Index and time of the log entry being applied.
struct EntryContext {
  base::LogIndex Index;
  base::WallTime Time;
};

using SectionMap = std::map<std::string, StoredSection>;

/// Stores the sections of the accepted document.
class SectionStore {
public:
  /// Applies all changes or none. Updates `Rollouts` for accepted changes of
  /// rollout sections and adds one entry to `Audit` for each change.
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

/// Converts sections to text, in name order.
std::vector<document::SectionText> textsOf(const SectionMap &Sections);

} // namespace amaranth::control::detail

#endif
