#include "amaranth/upstream/Announcer.h"

#include "amaranth/base/Log.h"
#include "amaranth/base/Timeout.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <array>

namespace asio = boost::asio;
using amaranth::dataplane::Announcement;
using asio::ip::tcp;

namespace amaranth::upstream {

namespace {

constexpr base::Millis Interval = base::Millis(1000);
constexpr base::Millis PostTimeout = base::Millis(1000);

const char *stateName(Announcement::State What) {
  switch (What) {
  case Announcement::State::Starting:
    return "starting";
  case Announcement::State::Ready:
    return "ready";
  case Announcement::State::Draining:
    return "draining";
  case Announcement::State::Stopped:
    break;
  }
  return "stopped";
}

} // namespace

Announcer::Announcer(const asio::any_io_executor &Executor, Announcement Self,
                     base::Address Node, std::string Key, base::Clock &Time)
    : Self(std::move(Self)), Node(std::move(Node)), Key(std::move(Key)),
      Time(Time), Changed(Executor) {}

void Announcer::setState(Announcement::State What) {
  // A cold start that ends after the signal to stop must not undo draining.
  if (What <= Self.ReportedState)
    return;
  Self.ReportedState = What;
  Changed.notifyAll();
}

asio::awaitable<void> Announcer::run() {
  for (;;) {
    co_await announceNow();
    co_await base::withTimeout(Time, Interval, Changed.wait());
  }
}

asio::awaitable<void> Announcer::announceNow() {
  std::string Body = fmt::format(
      R"({{"service":"{}","version":"{}","address":"{}","slots":{},)"
      R"("state":"{}","incarnation":{},"sequence":{}}})",
      Self.Service.value(), Self.Version.value(), Self.Upstream.text(),
      Self.Slots, stateName(Self.ReportedState), Self.Incarnation,
      ++Self.Sequence);
  std::string Authorization =
      Key.empty() ? "" : fmt::format("Authorization: Bearer {}\r\n", Key);
  std::string Text = fmt::format(
      "POST /v1/announce HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n{}"
      "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
      Node.text(), Authorization, Body.size(), Body);
  std::string Failure;
  try {
    if (!co_await base::withTimeout(Time, PostTimeout, post(std::move(Text))))
      Failure = "no answer";
  } catch (const boost::system::system_error &Error) {
    Failure = Error.code().message();
  } catch (const base::Error &Error) {
    Failure = Error.what();
  }
  if (!Failure.empty())
    base::logger("upstream")
        ->warn("announcement failed node={} error=\"{}\"", Node.text(),
               Failure);
}

asio::awaitable<void> Announcer::post(std::string Text) {
  tcp::socket Socket(co_await asio::this_coro::executor);
  tcp::endpoint Peer(asio::ip::make_address(Node.Ip), Node.Port);
  co_await Socket.async_connect(Peer, asio::use_awaitable);
  co_await asio::async_write(Socket, asio::buffer(Text), asio::use_awaitable);
  std::array<char, 512> Answer{};
  std::size_t Count = co_await Socket.async_read_some(asio::buffer(Answer),
                                                      asio::use_awaitable);
  std::string_view Line(Answer.data(), Count);
  if (!Line.starts_with("HTTP/1.1 204"))
    throw base::Error("node refused the announcement: " +
                      std::string(Line.substr(0, Line.find('\r'))));
}

} // namespace amaranth::upstream
