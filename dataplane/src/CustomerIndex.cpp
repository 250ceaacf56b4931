#include "amaranth/dataplane/CustomerIndex.h"

#include "amaranth/dataplane/ApiKey.h"

#include <algorithm>

namespace amaranth::dataplane {

CustomerIndex::CustomerIndex(Customers From) : Content(std::move(From)) {
  for (const auto &[Name, Customer] : Content) {
    LowestPriority = std::max(LowestPriority, Customer.Priority);
    for (const document::KeyDigest &Digest : Customer.Keys)
      ByDigest.emplace(Digest, &Customer);
  }
}

Sender CustomerIndex::identify(std::string_view Key, bool PublicRoute,
                               bool FromLocalUpstream) const {
  if (!inForce())
    return {};
  bool IsCall = FromLocalUpstream && (Key.empty() || PublicRoute);
  if (IsCall)
    return {Sender::Kind::LocalUpstream, nullptr, {}};
  if (PublicRoute)
    return {Sender::Kind::Public, nullptr, {}};
  if (Key.empty())
    return {Sender::Kind::Refused, nullptr, "this route needs an API key"};
  if (!isApiKey(Key))
    return {Sender::Kind::Refused, nullptr, "the API key cannot be read"};
  auto Found = ByDigest.find(document::digestOfKey(Key));
  if (Found == ByDigest.end())
    return {Sender::Kind::Refused, nullptr, "no customer has this API key"};
  return {Sender::Kind::Customer, Found->second, {}};
}

std::uint32_t CustomerIndex::rank(const Sender &From,
                                  std::uint32_t RoutePriority) const {
  if (!inForce())
    return RoutePriority;
  std::uint32_t Route = std::min(RoutePriority, MaxPriority);
  if (From.Who == Sender::Kind::LocalUpstream)
    return Route;
  std::uint32_t Customer = std::min(
      From.Customer ? From.Customer->Priority : LowestPriority, MaxPriority);
  constexpr std::uint32_t RoutePriorities = MaxPriority + 1;
  // The first `RoutePriorities` ranks are those of calls.
  return (Customer + 1) * RoutePriorities + Route;
}

} // namespace amaranth::dataplane
