#ifndef AMARANTH_DOCUMENT_WHOLEDOCUMENT_H
#define AMARANTH_DOCUMENT_WHOLEDOCUMENT_H

#include "amaranth/document/MeshDelta.h"
#include "amaranth/document/MeshSnapshot.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace amaranth::document {

/// The text of a customer as the operator sent it. It contains the customer's
/// keys, so it must not appear in a message. Copies share the text: with 2,000
/// customers and a change of one each 60 ms, the others are neither copied nor
/// hashed again.
class CustomerSource {
public:
  CustomerSource(const base::CustomerName &Name, std::string Text);

  const std::string &text() const { return *Text; }
  /// Hash of name and text.
  std::uint64_t hash() const { return Hash; }

  bool operator==(const CustomerSource &Other) const {
    return Hash == Other.Hash && *Text == *Other.Text;
  }

private:
  std::shared_ptr<const std::string> Text;
  std::uint64_t Hash;
};

/// A document that operators replace in one step instead of editing its
/// sections.
///
/// The sources are the texts of the entries as the operator sent them. They
/// are kept beside the decoded values so that a read returns what was sent.
struct WholeDocument {
  base::DocumentLabel Label;
  /// Routes, services without versions, customers and limits; all else is
  /// empty.
  MeshSnapshot Content;
  std::map<base::RouteName, std::string> RouteSources;
  std::map<base::ServiceName, std::string> ServiceSources;
  SharedMap<base::CustomerName, CustomerSource> CustomerSources;
  /// The rest of the operator's text, which belongs to no route, service or
  /// customer.
  std::string Source;

  /// Hash of the sources. Distinguishes a repeated request from a different
  /// document with the same label.
  std::uint64_t digest() const;

  /// All reasons to reject the document, empty if it is valid: the label must
  /// not be 0, no route, service or customer may be malformed, no route may
  /// refer to a missing service or have the host and path prefix of another
  /// route, and no customer may have a key of another customer. A reason names
  /// both customers and never the key.
  std::vector<std::string> faults() const;
  /// The same for a document that follows `Valid`, which has no faults. Does
  /// not check the customers that both contain.
  std::vector<std::string> faultsSince(const WholeDocument &Valid) const;

  /// `faults` and further reasons to reject a new document: two routes whose
  /// hosts differ only in case, a missing service that a route names beside
  /// its split, and more than `MaxCustomers` customers. Not for documents that
  /// were accepted before: logs and snapshots may contain such documents.
  std::vector<std::string> submissionFaults() const;
};

/// The difference between two versions of a whole document.
struct WholeDocumentChange {
  base::DocumentLabel Label;
  base::DocumentLabel Base;
  /// `WholeDocument::digest` of the result.
  std::uint64_t Digest = 0;
  MeshDelta Changes;
  /// Sources of the routes, services and customers in `Changes`, in the same
  /// order.
  std::vector<std::string> RouteSources;
  std::vector<std::string> ServiceSources;
  std::vector<CustomerSource> CustomerSources;
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
