#include "LoadGenerator.h"

#include "amaranth/base/Digest.h"
#include "amaranth/base/Signal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

// Latencies are measured with std::chrono: the project's clock counts
// milliseconds, and the limit on added latency is 1.8 ms.
using SteadyClock = std::chrono::steady_clock;

namespace amaranth::bench {

namespace {

constexpr auto RequestTimeout = std::chrono::seconds(30);
constexpr std::uint64_t MaxResponseBytes = 256ULL << 20U;

/// A kept-alive connection to the target.
struct Connection {
  explicit Connection(const asio::any_io_executor &Executor)
      : Stream(Executor) {}

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
};

using ConnectionPtr = std::unique_ptr<Connection>;

class LoadRun {
public:
  LoadRun(LoadPlan Plan, const asio::any_io_executor &Executor)
      : Plan(std::move(Plan)), Executor(Executor), Finished(Executor),
        Random(this->Plan.Seed) {}

  asio::awaitable<LoadResult> run() {
    auto Start = SteadyClock::now();
    auto End = Start + toDuration(Plan.Seconds);
    std::exponential_distribution<double> Gap(Plan.RequestsPerSecond);
    asio::steady_timer Timer(Executor);
    auto Next = Start;
    while (Next < End) {
      Timer.expires_at(Next);
      co_await Timer.async_wait(asio::use_awaitable);
      startRequest(Next);
      Next += toDuration(Gap(Random));
    }
    while (InFlight != 0)
      co_await Finished.wait();
    Result.Seconds = Plan.Seconds;
    co_return std::move(Result);
  }

private:
  static SteadyClock::duration toDuration(double Seconds) {
    return std::chrono::duration_cast<SteadyClock::duration>(
        std::chrono::duration<double>(Seconds));
  }

  void startRequest(SteadyClock::time_point Intended) {
    if (InFlight >= Plan.MaxInFlight) {
      ++Result.Dropped;
      return;
    }
    ++InFlight;
    asio::co_spawn(Executor, request(Intended), asio::detached);
  }

  asio::awaitable<void> request(SteadyClock::time_point Intended) {
    unsigned Status = 0;
    try {
      Status = co_await exchange();
    } catch (const std::exception &) {
      Status = 0;
    }
    auto Took = std::chrono::duration_cast<std::chrono::microseconds>(
        SteadyClock::now() - Intended);
    ++Result.Statuses[Status];
    if (Status != 0)
      Result.Latencies.push_back(static_cast<std::uint32_t>(Took.count()));
    --InFlight;
    Finished.notifyAll();
  }

  asio::awaitable<ConnectionPtr> connect() {
    if (!Idle.empty()) {
      ConnectionPtr Taken = std::move(Idle.back());
      Idle.pop_back();
      co_return Taken;
    }
    auto New = std::make_unique<Connection>(Executor);
    New->Stream.expires_after(RequestTimeout);
    asio::ip::tcp::endpoint Remote(asio::ip::make_address(Plan.Target.Ip),
                                   Plan.Target.Port);
    co_await New->Stream.async_connect(Remote, asio::use_awaitable);
    New->Stream.socket().set_option(asio::ip::tcp::no_delay(true));
    co_return New;
  }

  asio::awaitable<unsigned> exchange() {
    ConnectionPtr Link = co_await connect();
    http::request<http::string_body> Request{http::string_to_verb(Plan.Method),
                                             Plan.Path, 11};
    Request.set(http::field::host, Plan.Target.text());
    if (Plan.WithIdempotencyKey)
      Request.set("Idempotency-Key", base::randomHexId());
    Request.body() = Plan.Body;
    Request.prepare_payload();
    Link->Stream.expires_after(RequestTimeout);
    co_await http::async_write(Link->Stream, Request, asio::use_awaitable);
    http::response_parser<http::string_body> Parser;
    Parser.body_limit(MaxResponseBytes);
    co_await http::async_read(Link->Stream, Link->Buffer, Parser,
                              asio::use_awaitable);
    unsigned Status = Parser.get().result_int();
    if (Parser.get().keep_alive())
      Idle.push_back(std::move(Link));
    co_return Status;
  }

  LoadPlan Plan;
  asio::any_io_executor Executor;
  base::Signal Finished;
  std::mt19937_64 Random;
  std::vector<ConnectionPtr> Idle;
  std::size_t InFlight = 0;
  LoadResult Result;
};

} // namespace

std::uint32_t LoadResult::quantile(double Q) const {
  if (Latencies.empty())
    return 0;
  std::vector<std::uint32_t> Sorted = Latencies;
  auto Position =
      static_cast<std::size_t>(Q * static_cast<double>(Sorted.size() - 1));
  auto Nth = Sorted.begin() + static_cast<std::ptrdiff_t>(Position);
  std::nth_element(Sorted.begin(), Nth, Sorted.end());
  return *Nth;
}

std::uint64_t LoadResult::succeeded() const {
  std::uint64_t Count = 0;
  for (const auto &[Status, Number] : Statuses)
    if (Status >= 200 && Status < 300)
      Count += Number;
  return Count;
}

asio::awaitable<LoadResult> runLoad(LoadPlan Plan) {
  LoadRun Run(std::move(Plan), co_await asio::this_coro::executor);
  co_return co_await Run.run();
}

} // namespace amaranth::bench
