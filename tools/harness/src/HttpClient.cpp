#include "amaranth/harness/HttpClient.h"

#include "amaranth/base/Digest.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <mutex>
#include <set>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace amaranth::harness {

namespace {

constexpr std::size_t ReadPieceBytes = 256U << 10U;
constexpr std::uint64_t MaxBodyBytes = 512ULL << 20U;

std::string lowerCase(std::string_view Text) {
  std::string Result(Text);
  std::transform(Result.begin(), Result.end(), Result.begin(), [](char C) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  });
  return Result;
}

http::request<http::string_body> buildRequest(const base::Address &Server,
                                              const HttpRequest &Request,
                                              bool KeepAlive) {
  http::request<http::string_body> Message;
  Message.version(11);
  Message.method_string(Request.Method);
  Message.target(Request.Target);
  Message.set(http::field::host, Server.text());
  Message.keep_alive(KeepAlive);
  for (const auto &[Name, Value] : Request.Headers)
    Message.set(Name, Value);
  Message.body() = Request.Body;
  Message.prepare_payload();
  return Message;
}

/// Sends requests to one server on one connection at a time.
class Connection {
public:
  Connection(base::Address Server, bool KeepAlive)
      : Server(std::move(Server)), KeepAlive(KeepAlive), Stream(Context) {}

  HttpResponse send(const HttpRequest &Request, base::Millis Limit) {
    HttpResponse Response;
    asio::co_spawn(Context, exchange(Request, Limit, Response),
                   [&](std::exception_ptr Failure) {
                     try {
                       if (Failure)
                         std::rethrow_exception(Failure);
                     } catch (const std::exception &Error) {
                       Response.Status = 0;
                       Response.Failure = Error.what();
                       Open = false;
                     }
                   });
    Context.restart();
    Context.run();
    if (!Open)
      Stream.close();
    return Response;
  }

private:
  asio::awaitable<void> exchange(const HttpRequest &Request, base::Millis Limit,
                                 HttpResponse &Response) {
    Stream.expires_after(std::chrono::milliseconds(Limit.count()));
    if (!Open) {
      asio::ip::tcp::endpoint Remote(asio::ip::make_address(Server.Ip),
                                     Server.Port);
      co_await Stream.async_connect(Remote, asio::use_awaitable);
      Buffer.clear();
    }
    Open = KeepAlive;
    auto Message = buildRequest(Server, Request, KeepAlive);
    co_await http::async_write(Stream, Message, asio::use_awaitable);
    co_await readResponse(Request, Response);
  }

  asio::awaitable<void> readResponse(const HttpRequest &Request,
                                     HttpResponse &Response) {
    http::response_parser<http::string_body> Parser;
    Parser.body_limit(MaxBodyBytes);
    if (Request.Method == "HEAD")
      Parser.skip(true);
    co_await http::async_read_header(Stream, Buffer, Parser,
                                     asio::use_awaitable);
    std::size_t SincePause = 0;
    while (!Parser.is_done()) {
      SincePause += co_await http::async_read_some(Stream, Buffer, Parser,
                                                   asio::use_awaitable);
      if (Request.ReadPause.count() == 0 || SincePause < ReadPieceBytes)
        continue;
      SincePause = 0;
      asio::steady_timer Timer(
          Context, std::chrono::milliseconds(Request.ReadPause.count()));
      co_await Timer.async_wait(asio::use_awaitable);
    }
    Open = Open && Parser.get().keep_alive();
    Response.Status = Parser.get().result_int();
    for (const auto &Field : Parser.get())
      Response.Headers[lowerCase(
          {Field.name_string().data(), Field.name_string().size()})] =
          std::string(Field.value());
    Response.Body = std::move(Parser.get().body());
  }

  base::Address Server;
  bool KeepAlive;
  bool Open = false;
  asio::io_context Context{1};
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer{ReadPieceBytes};
};

} // namespace

std::string HttpResponse::header(const std::string &LowerCaseName) const {
  auto It = Headers.find(LowerCaseName);
  return It == Headers.end() ? std::string() : It->second;
}

HttpResponse sendRequest(const base::Address &Server,
                         const HttpRequest &Request, base::Millis Limit) {
  return Connection(Server, false).send(Request, Limit);
}

struct KeepAliveClient::Impl {
  Connection Link;
};

KeepAliveClient::KeepAliveClient(base::Address Server)
    : Self(new Impl{Connection(std::move(Server), true)}) {}

KeepAliveClient::~KeepAliveClient() = default;

HttpResponse KeepAliveClient::send(const HttpRequest &Request,
                                   base::Millis Limit) {
  return Self->Link.send(Request, Limit);
}

base::Address freeLoopbackAddress() {
  // Below the ports that the kernel gives to outgoing connections: such a
  // connection could take the port of a process that is down for a moment.
  constexpr std::uint16_t FirstPort = 10'000;
  constexpr std::uint16_t PortCount = 22'000;
  static std::mutex Mutex;
  static std::set<std::uint16_t> Used;
  std::lock_guard<std::mutex> Lock(Mutex);
  asio::io_context Context;
  for (;;) {
    auto Port =
        static_cast<std::uint16_t>(FirstPort + base::randomU64() % PortCount);
    if (!Used.insert(Port).second)
      continue;
    asio::ip::tcp::acceptor Acceptor(Context, asio::ip::tcp::v4());
    boost::system::error_code Taken;
    Acceptor.bind({asio::ip::address_v4::loopback(), Port}, Taken);
    if (!Taken)
      return {"127.0.0.1", Port};
  }
}

} // namespace amaranth::harness
