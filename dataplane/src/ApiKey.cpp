#include "amaranth/dataplane/ApiKey.h"

#include <algorithm>
#include <cctype>

namespace amaranth::dataplane {

namespace {

constexpr std::string_view Malformed = "malformed credentials";

bool isControlOrSpace(char Character) {
  auto Code = static_cast<unsigned char>(Character);
  return Code <= ' ' || Code == 0x7f;
}

bool isBearer(std::string_view Scheme) {
  constexpr std::string_view Expected = "bearer";
  return std::ranges::equal(Scheme, Expected, [](char Given, char Wanted) {
    return std::tolower(static_cast<unsigned char>(Given)) == Wanted;
  });
}

} // namespace

std::string apiKeyOf(const Headers &Fields) {
  std::vector<std::string> Values = findHeaders(Fields, ApiKeyField);
  if (Values.empty())
    return {};
  std::string_view Value = Values.front();
  std::size_t SchemeEnd = Value.find(' ');
  if (Values.size() > 1 || SchemeEnd == std::string_view::npos ||
      !isBearer(Value.substr(0, SchemeEnd)))
    return std::string(Malformed);
  Value.remove_prefix(SchemeEnd);
  while (!Value.empty() && isControlOrSpace(Value.front()))
    Value.remove_prefix(1);
  while (!Value.empty() && isControlOrSpace(Value.back()))
    Value.remove_suffix(1);
  return std::string(isApiKey(Value) ? Value : Malformed);
}

bool isApiKey(std::string_view Key) {
  return !Key.empty() && std::ranges::none_of(Key, isControlOrSpace);
}

} // namespace amaranth::dataplane
