#include "amaranth/dataplane/Messages.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace amaranth::dataplane {

namespace {

bool equalIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::ranges::equal(Left, Right, [](unsigned char A, unsigned char B) {
    return std::tolower(A) == std::tolower(B);
  });
}

/// Splits the comma-separated value of a `Connection` field.
std::vector<std::string> splitConnectionOptions(std::string_view Value) {
  std::vector<std::string> Options;
  std::string Option;
  for (char Character : Value) {
    if (Character == ',') {
      Options.push_back(std::exchange(Option, {}));
      continue;
    }
    if (Character != ' ' && Character != '\t')
      Option.push_back(Character);
  }
  Options.push_back(Option);
  return Options;
}

// Hop-by-hop fields (RFC 9110, section 7.6.1), and Content-Length, which the
// messages carry separately as `BodyLength`.
constexpr std::array<std::string_view, 11> ConnectionHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Expect",
    "Proxy-Connection"};

} // namespace

const std::string *findHeader(const Headers &Fields, std::string_view Name) {
  for (const auto &[Key, Value] : Fields)
    if (equalIgnoringCase(Key, Name))
      return &Value;
  return nullptr;
}

std::vector<std::string> findHeaders(const Headers &Fields,
                                     std::string_view Name) {
  std::vector<std::string> Values;
  for (const auto &[FieldName, Value] : Fields)
    if (equalIgnoringCase(FieldName, Name))
      Values.push_back(Value);
  return Values;
}

void eraseHeader(Headers &Fields, std::string_view Name) {
  std::erase_if(Fields, [Name](const auto &Field) {
    return equalIgnoringCase(Field.first, Name);
  });
}

void eraseConnectionHeaders(Headers &Fields) {
  std::vector<std::string> ListedFields;
  for (const auto &[Key, Value] : Fields)
    if (equalIgnoringCase(Key, "Connection"))
      for (std::string &Option : splitConnectionOptions(Value))
        ListedFields.push_back(std::move(Option));
  for (std::string_view Name : ConnectionHeaders)
    eraseHeader(Fields, Name);
  for (const std::string &Name : ListedFields)
    eraseHeader(Fields, Name);
}

bool withinLimits(const Headers &Fields) {
  std::size_t Size = 0;
  for (const auto &[Key, Value] : Fields)
    Size += Key.size() + Value.size() + 4;
  return Fields.size() <= MaxHeaderCount && Size <= MaxHeaderBytes;
}

bool isIdempotent(std::string_view Method) {
  constexpr std::array<std::string_view, 6> Methods = {
      "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};
  return std::ranges::find(Methods, Method) != Methods.end();
}

} // namespace amaranth::dataplane
