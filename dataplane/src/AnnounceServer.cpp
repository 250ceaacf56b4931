#include "amaranth/dataplane/AnnounceServer.h"

#include "amaranth/base/Digest.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <prometheus/text_serializer.h>

#include <array>
#include <sstream>

namespace asio = boost::asio;
namespace json = boost::json;

namespace amaranth::dataplane {

namespace {

constexpr std::size_t MaxBodyBytes = 16U << 10U;
/// A longer time is an error, and would keep the upstream from its load.
constexpr std::uint64_t MaxColdMillis = 3'600'000;

std::string requireText(const json::object &Fields, const char *Name) {
  const json::value *Found = Fields.if_contains(Name);
  if (!Found || !Found->is_string() || Found->get_string().empty())
    throw base::Error(std::string("field '") + Name +
                      "' must be a non-empty string");
  return std::string(Found->get_string());
}

std::uint64_t requireNumber(const json::object &Fields, const char *Name) {
  const json::value *Found = Fields.if_contains(Name);
  boost::system::error_code Fault;
  std::uint64_t Value = 0;
  if (Found)
    Value = Found->to_number<std::uint64_t>(Fault);
  if (!Found || Fault)
    throw base::Error(std::string("field '") + Name +
                      "' must be a non-negative integer");
  return Value;
}

Announcement::State parseState(const std::string &Name) {
  if (Name == "starting")
    return Announcement::State::Starting;
  if (Name == "ready")
    return Announcement::State::Ready;
  if (Name == "draining")
    return Announcement::State::Draining;
  if (Name == "stopped")
    return Announcement::State::Stopped;
  throw base::Error("unknown state '" + Name + "'");
}

Announcement parseAnnouncement(const std::string &Body) {
  boost::system::error_code Fault;
  json::value Parsed = json::parse(Body, Fault);
  if (Fault || !Parsed.is_object())
    throw base::Error("announcement is not a JSON object");
  const json::object &Fields = Parsed.get_object();
  Announcement Result;
  Result.Service = base::ServiceName(requireText(Fields, "service"));
  Result.Version = base::VersionName(requireText(Fields, "version"));
  auto Address = base::parseAddress(requireText(Fields, "address"));
  if (!Address)
    throw base::Error("field 'address' must be an IP address and port");
  Result.Upstream = *Address;
  std::uint64_t Slots = requireNumber(Fields, "slots");
  if (Slots == 0 || Slots > 100'000)
    throw base::Error("field 'slots' must be between 1 and 100000");
  Result.Slots = static_cast<std::uint32_t>(Slots);
  Result.ReportedState = parseState(requireText(Fields, "state"));
  Result.Incarnation = requireNumber(Fields, "incarnation");
  Result.Sequence = requireNumber(Fields, "sequence");
  if (Fields.if_contains("cold-ms")) {
    std::uint64_t Left = requireNumber(Fields, "cold-ms");
    if (Left > MaxColdMillis)
      throw base::Error("field 'cold-ms' must be at most " +
                        std::to_string(MaxColdMillis));
    Result.ColdFor = base::Millis(static_cast<std::int64_t>(Left));
  }
  return Result;
}

asio::awaitable<std::string>
readWholeBody(std::shared_ptr<HttpConnection> Connection) {
  std::string Body;
  std::array<std::uint8_t, 4096> Buffer{};
  while (std::size_t Count = co_await Connection->readBody(Buffer)) {
    Body.append(base::asText({Buffer.data(), Count}));
    if (Body.size() > MaxBodyBytes)
      throw HttpError(413, "announcement is too large");
  }
  co_return Body;
}

} // namespace

bool AnnounceHandler::authorized(const LocalRequest &Request) const {
  if (Key.empty())
    return true;
  std::string Expected = "Bearer " + Key;
  return base::equalConstantTime(base::asBytes(Request.Authorization),
                                 base::asBytes(Expected));
}

std::optional<LocalReply> AnnounceHandler::handle(const LocalRequest &Request) {
  if (Request.Target != "/v1/announce" || Request.Method != "POST")
    return std::nullopt;
  if (!Request.Loopback)
    return LocalReply{403, "announcements are accepted from this VM only\n"};
  if (!authorized(Request))
    return LocalReply{401, "invalid or missing key\n"};
  try {
    if (Upstream.announce(parseAnnouncement(Request.Body)))
      return LocalReply{204, ""};
  } catch (const base::Error &Fault) {
    return LocalReply{400, std::string(Fault.what()) + "\n"};
  }
  return LocalReply{409, "announcement is outdated\n"};
}

struct AnnounceServer::Impl {
  Impl(const asio::any_io_executor &Executor, const base::Address &Listen,
       base::Clock &Time, LocalHandler *Handler, prometheus::Registry &Registry,
       std::function<bool()> Ready)
      : Server(Executor, Listen, {}, Time), Handler(Handler),
        Registry(Registry), Ready(std::move(Ready)) {}

  asio::awaitable<void> handle(std::shared_ptr<HttpConnection> Connection,
                               HttpRequest Request);
  LocalReply status(const LocalRequest &Request) const;

  HttpServer Server;
  LocalHandler *Handler;
  prometheus::Registry &Registry;
  std::function<bool()> Ready;
};

LocalReply AnnounceServer::Impl::status(const LocalRequest &Request) const {
  if (Request.Method != "GET" && Request.Method != "HEAD")
    return {405, "method not allowed\n"};
  if (Request.Target == "/health")
    return {200, "ok\n"};
  if (Request.Target == "/ready")
    return Ready() ? LocalReply{200, "ready\n"}
                   : LocalReply{503, "not ready\n"};
  if (Request.Target != "/metrics")
    return {404, "not found\n"};
  std::ostringstream Text;
  prometheus::TextSerializer().Serialize(Text, Registry.Collect());
  return {200, Text.str(), "text/plain; version=0.0.4"};
}

asio::awaitable<void>
AnnounceServer::Impl::handle(std::shared_ptr<HttpConnection> Connection,
                             HttpRequest Request) {
  LocalReply Answer;
  std::optional<HttpError> Fault;
  LocalRequest Local;
  Local.Method = Request.Method;
  Local.Target = Request.Target;
  Local.Loopback = Connection->peer().address().is_loopback();
  if (const std::string *Value = findHeader(Request.Fields, "Authorization"))
    Local.Authorization = *Value;
  try {
    Local.Body = co_await readWholeBody(Connection);
  } catch (const HttpError &Failure) {
    Fault = Failure;
  }
  if (Fault) {
    Connection->closeAfterResponse();
    Answer = LocalReply{Fault->status(), Fault->what()};
  } else {
    auto HandlerReply = Handler ? Handler->handle(Local) : std::nullopt;
    Answer = HandlerReply ? std::move(*HandlerReply) : status(Local);
  }
  Headers Fields = {{"Content-Type", Answer.Type}};
  co_await Connection->respond(Answer.Status, std::move(Fields),
                               std::move(Answer.Body));
}

AnnounceServer::AnnounceServer(const asio::any_io_executor &Executor,
                               base::Address Listen, base::Clock &Time,
                               LocalHandler *Handler,
                               prometheus::Registry &Registry,
                               std::function<bool()> Ready)
    : Self(std::make_shared<Impl>(Executor, Listen, Time, Handler, Registry,
                                  std::move(Ready))) {}

AnnounceServer::~AnnounceServer() { stop(); }

base::Address AnnounceServer::local() const { return Self->Server.local(); }

asio::awaitable<void> AnnounceServer::serve() {
  auto Keep = Self;
  // Not passed as a temporary: g++ 12 destroys a capturing temporary inside
  // `co_await` twice.
  HttpServer::Handler Handle =
      [Keep](std::shared_ptr<HttpConnection> Connection, HttpRequest Request) {
        return Keep->handle(std::move(Connection), std::move(Request));
      };
  co_await Keep->Server.serve(std::move(Handle));
}

void AnnounceServer::stop() { Self->Server.stop(); }

} // namespace amaranth::dataplane
