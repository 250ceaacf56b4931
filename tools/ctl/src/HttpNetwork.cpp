#include "amaranth/ctl/HttpNetwork.h"

#include "amaranth/base/Clock.h"
#include "amaranth/base/Timeout.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <exception>
#include <thread>

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace amaranth::ctl {

namespace {

/// Large enough for a document of the maximum size with JSON escaping.
constexpr std::uint64_t MaxReplyBytes = 64ULL << 20U;
constexpr base::Millis ConnectTimeout = base::Millis::seconds(2);

http::request<http::string_body> toHttp(const HttpRequest &From,
                                        const base::Address &Server) {
  http::request<http::string_body> Result;
  Result.method_string(From.Method);
  Result.target(From.Target);
  Result.version(11);
  Result.set(http::field::host, Server.text());
  if (!From.Key.empty())
    Result.set(http::field::authorization, "Bearer " + From.Key);
  Result.keep_alive(false);
  Result.body() = From.Body;
  Result.prepare_payload();
  return Result;
}

/// One request and its response; owns the data that the coroutines refer to.
class Exchange {
public:
  Exchange(asio::io_context &Io, const base::Address &Server,
           const HttpRequest &Request)
      : Socket(Io), Server(Server), Output(toHttp(Request, Server)) {
    Input.body_limit(MaxReplyBytes);
  }

  asio::awaitable<void> run(base::Millis Timeout) {
    bool Connected = co_await base::withTimeout(
        Time, std::min(Timeout, ConnectTimeout), connect());
    if (!Connected)
      throw Unreachable("no connection in time");
    Sent = true;
    bool Answered = co_await base::withTimeout(Time, Timeout, sendAndReceive());
    if (!Answered)
      throw ResponseLost("no answer in time");
  }

  bool mayHaveArrived() const { return Sent; }

  HttpReply reply() {
    return {Input.get().result_int(), std::move(Input.get().body())};
  }

private:
  asio::awaitable<void> connect() {
    tcp::endpoint Peer(asio::ip::make_address(Server.Ip), Server.Port);
    co_await Socket.async_connect(Peer, asio::use_awaitable);
  }

  asio::awaitable<void> sendAndReceive() {
    co_await http::async_write(Socket, Output, asio::use_awaitable);
    co_await http::async_read(Socket, Buffer, Input, asio::use_awaitable);
  }

  base::SystemClock Time;
  tcp::socket Socket;
  base::Address Server;
  http::request<http::string_body> Output;
  http::response_parser<http::string_body> Input;
  boost::beast::flat_buffer Buffer;
  bool Sent = false;
};

} // namespace

HttpReply HttpNetwork::send(const base::Address &Server,
                            const HttpRequest &Request, base::Millis Timeout) {
  asio::io_context Io;
  Exchange Call(Io, Server, Request);
  std::exception_ptr Failure;
  asio::co_spawn(Io, Call.run(Timeout),
                 [&Failure](std::exception_ptr Result) { Failure = Result; });
  Io.run();
  if (!Failure)
    return Call.reply();
  try {
    std::rethrow_exception(Failure);
  } catch (const boost::system::system_error &Error) {
    std::string Text = Server.text() + ": " + Error.code().message();
    if (Call.mayHaveArrived())
      throw ResponseLost(Text);
    throw Unreachable(Text);
  }
}

base::TimePoint HttpNetwork::now() { return base::SystemClock().now(); }

void HttpNetwork::pause(base::Millis Span) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Span.count()));
}

} // namespace amaranth::ctl
