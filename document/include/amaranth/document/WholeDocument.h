#ifndef AMARANTH_DOCUMENT_WHOLEDOCUMENT_H
#define AMARANTH_DOCUMENT_WHOLEDOCUMENT_H

#include "amaranth/document/MeshDelta.h"
#include "amaranth/document/MeshSnapshot.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amaranth::document {

/// A document that operators replace in one step, in place of editing
/// sections.
///
/// The sources are the operator's own form of the parts. They are kept
/// beside the decoded values so that a read returns what was sent.
struct WholeDocument {
  base::DocumentLabel Label;
  /// Routes, services without their versions, and limits; nothing else.
  MeshSnapshot Content;
  std::map<base::RouteName, std::string> RouteSources;
  std::map<base::ServiceName, std::string> ServiceSources;
  /// Everything of the operator's form that belongs to no route or service.
  std::string Source;

  /// Hash of the sources. Tells a resend from another document that has the
  /// same label.
  std::uint64_t digest() const;

  /// Every reason why the document cannot be put in force, empty for a valid
  /// one: no route or service may be malformed, refer to a missing service,
  /// or share host and path with another route.
  std::vector<std::string> faults() const;
};

/// The difference between two whole documents.
struct WholeDocumentChange {
  base::DocumentLabel Label;
  base::DocumentLabel Base;
  /// `WholeDocument::digest` of the result.
  std::uint64_t Digest = 0;
  MeshDelta Changes;
  /// Sources of the routes and services in `Changes`, in their order.
  std::vector<std::string> RouteSources;
  std::vector<std::string> ServiceSources;
  std::string Source;
};

/// The change that turns `Base` into `Next`.
WholeDocumentChange computeChange(const WholeDocument &Base,
                                  const WholeDocument &Next);

/// Applies a change to a copy of `Base`. Throws `DeltaMismatch` when the
/// change has another base or its result another digest.
WholeDocument applyChange(const WholeDocument &Base,
                          const WholeDocumentChange &Change);

} // namespace amaranth::document

#endif
