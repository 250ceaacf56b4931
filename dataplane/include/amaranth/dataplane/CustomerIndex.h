#ifndef AMARANTH_DATAPLANE_CUSTOMERINDEX_H
#define AMARANTH_DATAPLANE_CUSTOMERINDEX_H

#include "amaranth/document/MeshSnapshot.h"

#include <cstdint>
#include <map>
#include <string_view>

namespace amaranth::dataplane {

/// What an entry node knows about the sender of a request.
struct Sender {
  enum class Kind : std::uint8_t {
    /// The document names no customers.
    Anyone,
    /// A customer with a valid API key.
    Customer,
    /// The upstream beside this node.
    LocalUpstream,
    /// Any caller on a route that needs no key.
    Public,
    /// The request must not be served; `Fault` says why.
    Refused,
  };

  Kind Who = Kind::Anyone;
  /// Set for `Kind::Customer`; belongs to the index.
  const document::Customer *Customer = nullptr;
  /// Does not contain the key.
  std::string_view Fault;
};

/// Authenticates requests by the digests of API keys.
///
/// Answers two loads: 78 customers send 1,850 requests a second, each of which
/// needs a lookup that does not depend on the number of keys; and keys are
/// revoked while their callers are connected, so that a lookup must use the
/// customers of the current snapshot. An index does not change; a new one is
/// needed only if `isFor` is false.
class CustomerIndex {
public:
  using Customers = document::SharedMap<base::CustomerName, document::Customer>;

  explicit CustomerIndex(Customers Content);
  CustomerIndex(const CustomerIndex &) = delete;
  CustomerIndex &operator=(const CustomerIndex &) = delete;

  /// True if `Current` is what the index was made from, unchanged since.
  bool isFor(const Customers &Current) const {
    return Content.sharesWith(Current);
  }
  /// The document names customers, so that requests need a key.
  bool inForce() const { return !Content.empty(); }

  /// Decides about a request with `Key`, which is as `apiKeyOf` returns it.
  /// `FromLocalUpstream`: the caller has this VM's address.
  Sender identify(std::string_view Key, bool PublicRoute,
                  bool FromLocalUpstream) const;

  /// Rank of a request in queues, 0 first: calls of upstreams, which hold the
  /// slot of their caller, by the priority of the route; then the requests of
  /// customers by the priority of the customer and, within it, of the route.
  /// Requests without a customer on public routes rank with the least urgent
  /// customers: callers whom nobody knows must not displace customers. Without
  /// customers, the rank is the priority of the route.
  std::uint32_t rank(const Sender &From, std::uint32_t RoutePriority) const;
  /// Larger priorities of a customer or a route rank like this one.
  static constexpr std::uint32_t MaxPriority = 1000;

private:
  /// Keeps the customers that the entries of `ByDigest` refer to.
  Customers Content;
  std::map<document::KeyDigest, const document::Customer *> ByDigest;
  std::uint32_t LowestPriority = 0;
};

} // namespace amaranth::dataplane

#endif
