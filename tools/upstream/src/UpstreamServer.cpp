#include "amaranth/upstream/UpstreamServer.h"

#include "amaranth/base/Digest.h"
#include "amaranth/base/Log.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>

namespace asio = boost::asio;
using amaranth::dataplane::Headers;
using amaranth::dataplane::HttpRequest;

namespace amaranth::upstream {

namespace {

constexpr std::int64_t MaxDownload = std::int64_t{1} << 34U;
constexpr base::Millis DrainPoll = base::Millis(20);

/// Counts one request as running.
class RunningCount {
public:
  explicit RunningCount(std::uint32_t &Count) : Count(Count) { ++Count; }
  ~RunningCount() { --Count; }
  RunningCount(const RunningCount &) = delete;
  RunningCount &operator=(const RunningCount &) = delete;

private:
  std::uint32_t &Count;
};

/// N of `/size/N`, or -1.
std::int64_t downloadSize(const std::string &Target) {
  const std::string Prefix = "/size/";
  auto At = Target.find(Prefix);
  if (At == std::string::npos)
    return -1;
  std::int64_t Size = -1;
  const char *First = Target.data() + At + Prefix.size();
  auto [Rest, Fault] =
      std::from_chars(First, Target.data() + Target.size(), Size);
  return Fault == std::errc() && Size >= 0 && Size <= MaxDownload ? Size : -1;
}

std::string quoted(const std::string &Text) {
  std::string Result = "\"";
  for (char Letter : Text) {
    if (Letter == '"' || Letter == '\\')
      Result.push_back('\\');
    Result.push_back(Letter);
  }
  return Result + "\"";
}

} // namespace

UpstreamServer::UpstreamServer(const asio::any_io_executor &Executor,
                               const Options &Given, base::Clock &Time)
    : Given(Given), Time(Time), Server(Executor, Given.Listen, {}, Time),
      Behaviour(Given.Fault, Given.Time, Given.Seed), Started(Time.now()) {}

asio::awaitable<void> UpstreamServer::serve() {
  // A capturing temporary inside `co_await` is destroyed twice by g++ 12.
  dataplane::HttpServer::Handler Handle = [this](Link Caller,
                                                 HttpRequest Request) {
    return handle(std::move(Caller), std::move(Request));
  };
  co_await Server.serve(std::move(Handle));
}

asio::awaitable<void> UpstreamServer::drain(base::Millis Limit) {
  Draining = true;
  base::TimePoint End = Time.now() + Limit;
  while (Running != 0 && Time.now() < End)
    co_await Time.sleepFor(DrainPoll);
  Server.stop();
}

Headers UpstreamServer::fields() const {
  return {{"Content-Type", "text/plain"},
          {"X-Upstream-Version", Given.Self.Version.value()},
          {"X-Upstream-Id", Given.Id}};
}

std::string UpstreamServer::executions() const {
  std::string Text = "{";
  for (const auto &[Key, Count] : Executions)
    Text +=
        fmt::format("{}{}:{}", Text.size() == 1 ? "" : ",", quoted(Key), Count);
  return Text + "}\n";
}

void UpstreamServer::countExecution(const std::string &Key) {
  ++Executions[Key];
  if (Given.ExecutionsFile.empty())
    return;
  // One flushed line for each execution: the system keeps it when this
  // process is killed.
  std::ofstream(Given.ExecutionsFile, std::ios::app) << Key + "\n";
}

asio::awaitable<void> UpstreamServer::handle(Link Caller, HttpRequest Request) {
  if (Request.Target == "/executions") {
    Headers Json = fields();
    Json[0].second = "application/json";
    std::string Counts = executions();
    co_await Caller->respond(200, std::move(Json), std::move(Counts));
    co_return;
  }
  if (Request.Target == "/health") {
    bool Healthy = Draining == Given.WrongHealth;
    Headers Fields = fields();
    std::string Text = Healthy ? "ok\n" : "not ready\n";
    co_await Caller->respond(Healthy ? 200 : 503, std::move(Fields),
                             std::move(Text));
    co_return;
  }
  if (Given.Shed && Running >= Given.Self.Slots) {
    Headers Fields = fields();
    Fields.emplace_back("Retry-After", "1");
    co_await Caller->respond(503, std::move(Fields), "shed\n");
    co_return;
  }
  co_await work(std::move(Caller), std::move(Request));
}

asio::awaitable<void> UpstreamServer::work(Link Caller, HttpRequest Request) {
  RunningCount Counted(Running);
  if (!Given.CrashMarker.empty() &&
      Request.Target.find(Given.CrashMarker) != std::string::npos) {
    base::logger("upstream")->error("crash requested");
    std::abort();
  }
  if (const auto *Key =
          dataplane::findHeader(Request.Fields, "Idempotency-Key"))
    countExecution(*Key);
  std::string Body;
  base::Bytes Buffer(dataplane::MaxPieceBytes);
  std::uint64_t Hash = 0;
  std::uint64_t Size = 0;
  // A running hash over pieces of fixed size keeps memory bounded and does
  // not depend on how the network cut the body.
  while (std::size_t Count = co_await Caller->readBody(Buffer)) {
    Size += Count;
    Body.append(base::asText({Buffer.data(), Count}));
    while (Body.size() >= Buffer.size()) {
      std::string Part =
          fmt::format("{}{}", Hash, Body.substr(0, Buffer.size()));
      Hash = base::hash64(base::asBytes(Part));
      Body.erase(0, Buffer.size());
    }
  }
  std::string Last = fmt::format("{}{}", Hash, Body);
  Hash = base::hash64(base::asBytes(Last));
  auto Decision =
      Behaviour.decide(Request.Target, Running, Time.now() - Started);
  if (Decision.Took > base::Millis(0))
    co_await Time.sleepFor(Decision.Took);
  if (Decision.Fail) {
    Headers Fields = fields();
    co_await Caller->respond(500, std::move(Fields), "fault\n");
    co_return;
  }
  std::int64_t Bytes = downloadSize(Request.Target);
  if (Bytes >= 0) {
    co_await download(std::move(Caller), Bytes);
    co_return;
  }
  std::string Text = fmt::format("{} {} bytes={} hash={}\n", Request.Method,
                                 Request.Target, Size, base::hex64(Hash));
  co_await Caller->respond(200, fields(), std::move(Text));
}

asio::awaitable<void> UpstreamServer::download(Link Caller,
                                               std::int64_t Bytes) {
  co_await Caller->writeHead(200, fields(), Bytes);
  base::Bytes Piece(dataplane::MaxPieceBytes);
  for (std::size_t I = 0; I < Piece.size(); ++I)
    Piece[I] = static_cast<std::uint8_t>('a' + I % 26);
  while (Bytes > 0) {
    auto Size =
        std::min<std::int64_t>(Bytes, static_cast<std::int64_t>(Piece.size()));
    base::ByteView Part(Piece.data(), static_cast<std::size_t>(Size));
    co_await Caller->writeBody(Part);
    Bytes -= Size;
  }
  co_await Caller->writeEnd();
}

} // namespace amaranth::upstream
