#ifndef AMARANTH_DOCUMENT_WHOLEDOCUMENT_H
#define AMARANTH_DOCUMENT_WHOLEDOCUMENT_H

#include "amaranth/document/MeshDelta.h"
#include "amaranth/document/MeshSnapshot.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amaranth::document {

/// A document that operators replace in one step instead of editing its
/// sections.
///
/// The sources are the texts of the entries as the operator sent them. They
/// are kept beside the decoded values so that a read returns what was sent.
struct WholeDocument {
  base::DocumentLabel Label;
  /// Routes, services without versions, and limits; all else is empty.
  MeshSnapshot Content;
  std::map<base::RouteName, std::string> RouteSources;
  std::map<base::ServiceName, std::string> ServiceSources;
  /// The rest of the operator's text, which belongs to no route or service.
  std::string Source;

  /// Hash of the sources. Distinguishes a repeated request from a different
  /// document with the same label.
  std::uint64_t digest() const;

  /// All reasons to reject the document, empty if it is valid: the label must
  /// not be 0, and no route or service may be malformed, refer to a missing
  /// service, or have the host and path prefix of another route.
  std::vector<std::string> faults() const;

  /// `faults` and further reasons to reject a new document: two routes whose
  /// hosts differ only in case, and a missing service that a route names beside
  /// its split. Not for documents that were accepted before:
  /// logs and snapshots may contain such documents.
  std::vector<std::string> submissionFaults() const;
};

/// The difference between two versions of a whole document.
struct WholeDocumentChange {
  base::DocumentLabel Label;
  base::DocumentLabel Base;
  /// `WholeDocument::digest` of the result.
  std::uint64_t Digest = 0;
  MeshDelta Changes;
  /// Sources of the routes and services in `Changes`, in the same order.
  std::vector<std::string> RouteSources;
  std::vector<std::string> ServiceSources;
  std::string Source;
};

/// Returns the change that turns `Base` into `Next`.
WholeDocumentChange computeChange(const WholeDocument &Base,
                                  const WholeDocument &Next);

/// Applies a change to a copy of `Base`. Throws `DeltaMismatch` if the
/// change has another base, lacks sources, or yields another digest.
WholeDocument applyChange(const WholeDocument &Base,
                          const WholeDocumentChange &Change);

} // namespace amaranth::document

#endif
