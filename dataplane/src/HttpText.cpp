#include "HttpText.h"

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include <iterator>

namespace amaranth::dataplane {

namespace {

void appendFields(std::string &Text, const Headers &Fields) {
  for (const auto &[Name, Value] : Fields)
    fmt::format_to(std::back_inserter(Text), "{}: {}\r\n", Name, Value);
  Text += "\r\n";
}

} // namespace

std::string responseText(unsigned Status, const Headers &Fields) {
  auto Phrase = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(Status));
  std::string Text =
      fmt::format("HTTP/1.1 {} {}\r\n", Status, std::string(Phrase));
  appendFields(Text, Fields);
  return Text;
}

std::string requestText(const std::string &Method, const std::string &Target,
                        const Headers &Fields) {
  std::string Text = fmt::format("{} {} HTTP/1.1\r\n", Method, Target);
  appendFields(Text, Fields);
  return Text;
}

std::string chunkHeader(std::size_t Bytes) {
  return fmt::format("{:x}\r\n", Bytes);
}

} // namespace amaranth::dataplane
