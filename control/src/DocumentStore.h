#ifndef AMARANTH_CONTROL_SRC_DOCUMENTSTORE_H
#define AMARANTH_CONTROL_SRC_DOCUMENTSTORE_H

#include "ServiceVersions.h"
#include "WireConversion.h"
#include "amaranth/document/WholeDocument.h"

#include <map>
#include <memory>
#include <optional>

namespace amaranth::control::detail {

/// Maximum number of accepted labels kept to detect retried replacements.
/// Covers four weeks at 3,600 changes a day.
inline constexpr std::size_t MaxAcceptedLabels = 100'000;

/// The document that operators replace as a whole.
class DocumentStore {
public:
  DocumentStore() : Current(std::make_shared<document::WholeDocument>()) {}

  /// Checks a replacement by its labels and digest alone. Detects a replacement
  /// that was already accepted or is not based on the current document. Returns
  /// `nullopt` if its content must be checked.
  std::optional<CommandResult> checkLabels(base::DocumentLabel Label,
                                           base::DocumentLabel Base,
                                           std::uint64_t Digest) const;
  /// Returns `Accepted` also for a change that was already accepted.
  CommandResult replace(const document::WholeDocumentChange &Change,
                        base::LogIndex Index);

  const std::shared_ptr<const document::WholeDocument> &current() const {
    return Current;
  }
  std::optional<std::uint64_t> acceptedDigest(base::DocumentLabel Label) const;
  /// Log index of the last accepted replacement; 0 before the first one.
  base::DocumentVersion version() const { return Version; }

  void fillMesh(document::MeshSnapshot &Mesh,
                const ServiceVersions &Versions) const;

  Offset<wire::WholeDocumentRecord> write(Builder &Out) const;
  Offset<flatbuffers::Vector<Offset<wire::AcceptedLabel>>>
  writeLabels(Builder &Out) const;
  /// Throws `base::ProtocolError`.
  void read(const wire::ControlSnapshot &From);

private:
  std::shared_ptr<const document::WholeDocument> Current;
  std::map<base::DocumentLabel, std::uint64_t> Labels;
  base::DocumentVersion Version;
};

} // namespace amaranth::control::detail

#endif
