#include "JsonView.h"

#include "amaranth/base/Error.h"

#include <fmt/format.h>

namespace json = boost::json;

namespace amaranth::ctl {

json::value parse(const std::string &Text) {
  boost::system::error_code Failure;
  json::value Result = json::parse(Text, Failure);
  if (Failure || !Result.is_object())
    throw base::Error("the server's response is not a JSON object");
  return Result;
}

const json::value &member(const json::value &From, const char *Name) {
  if (From.is_object())
    if (const json::value *Value = From.get_object().if_contains(Name))
      return *Value;
  throw base::Error(
      fmt::format("the server's response has no member \"{}\"", Name));
}

const json::array &list(const json::value &From, const char *Name) {
  const json::value &Value = member(From, Name);
  if (!Value.is_array())
    throw base::Error(fmt::format(
        "the member \"{}\" of the server's response is not an array", Name));
  return Value.get_array();
}

std::uint64_t number(const json::value &Value) {
  if (Value.is_uint64())
    return Value.get_uint64();
  if (Value.is_int64() && Value.get_int64() >= 0)
    return static_cast<std::uint64_t>(Value.get_int64());
  throw base::Error(
      "the server's response contains a value that is not a non-negative "
      "integer");
}

std::string text(const json::value &From, const char *Name) {
  const json::value &Value = member(From, Name);
  if (Value.is_string())
    return std::string(Value.get_string());
  return json::serialize(Value);
}

double percent(const json::value &From) {
  const json::value &Value = member(From, "share_percent");
  return Value.is_number() ? Value.to_number<double>() : 0;
}

bool flag(const json::value &From, const char *Name) {
  const json::value &Value = member(From, Name);
  return Value.is_bool() && Value.get_bool();
}

void printRollout(std::ostream &Out, const json::value &Rollout) {
  Out << fmt::format("rollout {} -> {}: {} at {:g} %, deadline {}, since {}",
                     text(Rollout, "from"), text(Rollout, "to"),
                     text(Rollout, "phase"), percent(Rollout),
                     text(Rollout, "deadline"), text(Rollout, "since"));
  std::string Reason = text(Rollout, "reason");
  Out << (Reason.empty() ? "" : ": " + Reason) << '\n';
}

} // namespace amaranth::ctl
