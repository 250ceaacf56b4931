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

/// The comma-separated words of a `Connection` field.
std::vector<std::string> words(std::string_view Value) {
  std::vector<std::string> Found;
  std::string Word;
  for (char Letter : Value) {
    if (Letter == ',') {
      Found.push_back(std::exchange(Word, {}));
      continue;
    }
    if (Letter != ' ' && Letter != '\t')
      Word.push_back(Letter);
  }
  Found.push_back(Word);
  return Found;
}

// Fields of one connection (RFC 9110, section 7.6.1), and the length, which
// is carried beside the fields.
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

void eraseHeader(Headers &Fields, std::string_view Name) {
  std::erase_if(Fields, [Name](const auto &Field) {
    return equalIgnoringCase(Field.first, Name);
  });
}

void eraseConnectionHeaders(Headers &Fields) {
  std::vector<std::string> Named;
  for (const auto &[Key, Value] : Fields)
    if (equalIgnoringCase(Key, "Connection"))
      for (std::string &Word : words(Value))
        Named.push_back(std::move(Word));
  for (std::string_view Name : ConnectionHeaders)
    eraseHeader(Fields, Name);
  for (const std::string &Name : Named)
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
