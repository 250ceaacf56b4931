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

/// A response without header fields other than its type.
struct Reply {
  unsigned Status = 200;
  std::string Body;
  std::string Type = "text/plain";
};

std::string text(const json::object &Fields, const char *Name) {
  const json::value *Found = Fields.if_contains(Name);
  if (!Found || !Found->is_string() || Found->get_string().empty())
    throw base::Error(std::string("field '") + Name + "' must be a text");
  return std::string(Found->get_string());
}

std::uint64_t number(const json::object &Fields, const char *Name) {
  const json::value *Found = Fields.if_contains(Name);
  boost::system::error_code Fault;
  std::uint64_t Value = 0;
  if (Found)
    Value = Found->to_number<std::uint64_t>(Fault);
  if (!Found || Fault)
    throw base::Error(std::string("field '") + Name +
                      "' must be a whole number");
  return Value;
}

Announcement::State stateOf(const std::string &Word) {
  if (Word == "starting")
    return Announcement::State::Starting;
  if (Word == "ready")
    return Announcement::State::Ready;
  if (Word == "draining")
    return Announcement::State::Draining;
  if (Word == "stopped")
    return Announcement::State::Stopped;
  throw base::Error("state '" + Word + "' is not known");
}

Announcement parse(const std::string &Body) {
  boost::system::error_code Fault;
  json::value Parsed = json::parse(Body, Fault);
  if (Fault || !Parsed.is_object())
    throw base::Error("the announcement is no JSON object");
  const json::object &Fields = Parsed.get_object();
  Announcement News;
  News.Service = base::ServiceName(text(Fields, "service"));
  News.Version = base::VersionName(text(Fields, "version"));
  auto Address = base::parseAddress(text(Fields, "address"));
  if (!Address)
    throw base::Error("field 'address' must be an IP address and port");
  News.Upstream = *Address;
  std::uint64_t Slots = number(Fields, "slots");
  if (Slots == 0 || Slots > 100'000)
    throw base::Error("field 'slots' must be between 1 and 100000");
  News.Slots = static_cast<std::uint32_t>(Slots);
  News.What = stateOf(text(Fields, "state"));
  News.Incarnation = number(Fields, "incarnation");
  News.Sequence = number(Fields, "sequence");
  return News;
}

asio::awaitable<std::string> readAll(std::shared_ptr<HttpConnection> Link) {
  std::string Body;
  std::array<std::uint8_t, 4096> Buffer{};
  while (std::size_t Count = co_await Link->readBody(Buffer)) {
    Body.append(base::asText({Buffer.data(), Count}));
    if (Body.size() > MaxBodyBytes)
      throw HttpError(413, "announcement is too large");
  }
  co_return Body;
}

} // namespace

struct AnnounceServer::Impl {
  Impl(const asio::any_io_executor &Executor, AnnounceSettings Settings,
       base::Clock &Time, Gate &Upstream, prometheus::Registry &Registry,
       std::function<bool()> Ready)
      : Server(Executor, Settings.Listen, {}, Time),
        Options(std::move(Settings)), Upstream(Upstream), Registry(Registry),
        Ready(std::move(Ready)) {}

  asio::awaitable<void> handle(std::shared_ptr<HttpConnection> Link,
                               HttpRequest Request);
  asio::awaitable<Reply> announce(std::shared_ptr<HttpConnection> Link,
                                  const HttpRequest &Request);
  Reply status(const HttpRequest &Request) const;
  bool authorized(const HttpRequest &Request) const;

  HttpServer Server;
  AnnounceSettings Options;
  Gate &Upstream;
  prometheus::Registry &Registry;
  std::function<bool()> Ready;
};

bool AnnounceServer::Impl::authorized(const HttpRequest &Request) const {
  if (Options.Key.empty())
    return true;
  const std::string *Value = findHeader(Request.Fields, "Authorization");
  std::string Expected = "Bearer " + Options.Key;
  return Value && base::equalConstantTime(base::asBytes(*Value),
                                          base::asBytes(Expected));
}

asio::awaitable<Reply>
AnnounceServer::Impl::announce(std::shared_ptr<HttpConnection> Link,
                               const HttpRequest &Request) {
  if (!Link->peer().address().is_loopback())
    co_return Reply{403, "announcements are taken from this VM only\n"};
  if (!authorized(Request))
    co_return Reply{401, "wrong or missing key\n"};
  std::string Body = co_await readAll(Link);
  try {
    if (Upstream.announce(parse(Body)))
      co_return Reply{204, ""};
  } catch (const base::Error &Fault) {
    co_return Reply{400, std::string(Fault.what()) + "\n"};
  }
  co_return Reply{409, "announcement is out of date\n"};
}

Reply AnnounceServer::Impl::status(const HttpRequest &Request) const {
  if (Request.Method != "GET" && Request.Method != "HEAD")
    return {405, "method is not allowed\n"};
  if (Request.Target == "/health")
    return {200, "ok\n"};
  if (Request.Target == "/ready")
    return Ready() ? Reply{200, "ready\n"} : Reply{503, "not ready\n"};
  if (Request.Target != "/metrics")
    return {404, "no such page\n"};
  std::ostringstream Text;
  prometheus::TextSerializer().Serialize(Text, Registry.Collect());
  return {200, Text.str(), "text/plain; version=0.0.4"};
}

asio::awaitable<void>
AnnounceServer::Impl::handle(std::shared_ptr<HttpConnection> Link,
                             HttpRequest Request) {
  Reply Answer;
  std::optional<HttpError> Fault;
  try {
    if (Request.Target == "/v1/announce" && Request.Method == "POST")
      Answer = co_await announce(Link, Request);
    else
      Answer = status(Request);
  } catch (const HttpError &Failure) {
    Fault = Failure;
  }
  if (Fault)
    Answer = Reply{Fault->status(), Fault->what()};
  Headers Fields = {{"Content-Type", Answer.Type}};
  co_await Link->respond(Answer.Status, std::move(Fields),
                         std::move(Answer.Body));
}

AnnounceServer::AnnounceServer(const asio::any_io_executor &Executor,
                               AnnounceSettings Options, base::Clock &Time,
                               Gate &Upstream, prometheus::Registry &Registry,
                               std::function<bool()> Ready)
    : Self(std::make_shared<Impl>(Executor, std::move(Options), Time, Upstream,
                                  Registry, std::move(Ready))) {}

AnnounceServer::~AnnounceServer() { stop(); }

base::Address AnnounceServer::local() const { return Self->Server.local(); }

asio::awaitable<void> AnnounceServer::serve() {
  auto Keep = Self;
  // A capturing temporary inside `co_await` is destroyed twice by g++ 12.
  HttpServer::Handler Handle = [Keep](std::shared_ptr<HttpConnection> Link,
                                      HttpRequest Request) {
    return Keep->handle(std::move(Link), std::move(Request));
  };
  co_await Keep->Server.serve(std::move(Handle));
}

void AnnounceServer::stop() { Self->Server.stop(); }

} // namespace amaranth::dataplane
