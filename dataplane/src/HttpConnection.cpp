#include "amaranth/dataplane/HttpConnection.h"

#include "HttpText.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <array>
#include <sys/socket.h>

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace amaranth::dataplane {

using Parser = http::request_parser<http::buffer_body>;

struct HttpConnection::Impl {
  Impl(tcp::socket Socket, base::Clock &Time, base::Millis StallTimeout)
      : Socket(std::move(Socket)), Time(Time), StallTimeout(StallTimeout) {}

  asio::awaitable<void> write(std::string Text) {
    WriteDeadline = Time.now() + StallTimeout;
    co_await asio::async_write(Socket, asio::buffer(Text), asio::use_awaitable);
    WriteDeadline = base::TimePoint::max();
  }

  bool closed() {
    char Byte = 0;
    auto Count =
        ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Count == 0 || (Count < 0 && errno != EAGAIN);
  }

  /// Moves bytes of the next request from the socket to `Buffer`. Returns false
  /// if there are none or `Buffer` holds enough of them.
  bool readAhead();
  /// Closing a socket with unread bytes resets the connection, and the client
  /// may then lose the response that was written before.
  void discardReceived();
  /// Selects the framing of the response and returns its serialized head.
  std::string beginResponse(unsigned Status, Headers Fields,
                            std::int64_t BodyLength);

  tcp::socket Socket;
  base::Clock &Time;
  base::Millis StallTimeout;
  boost::beast::flat_buffer Buffer{MaxHeaderBytes + MaxPieceBytes};
  std::optional<Parser> Incoming;
  base::TimePoint ReadDeadline = base::TimePoint::max();
  base::TimePoint WriteDeadline = base::TimePoint::max();
  std::uint64_t WatchGeneration = 0;
  bool Watching = false;
  bool ContinueWanted = false;
  bool KeepAlive = true;
  bool HeadRequest = false;
  bool Http10 = false;
  bool HeadWritten = false;
  bool EndWritten = false;
  bool Chunked = false;
  bool NoBody = false;
  std::int64_t Remaining = 0;
};

bool HttpConnection::Impl::readAhead() {
  constexpr std::size_t MaxReadAheadBytes = 16U << 10U;
  if (Buffer.size() >= MaxReadAheadBytes)
    return false;
  auto Space = Buffer.prepare(MaxReadAheadBytes - Buffer.size());
  auto Count =
      ::recv(Socket.native_handle(), Space.data(), Space.size(), MSG_DONTWAIT);
  if (Count <= 0)
    return false;
  Buffer.commit(static_cast<std::size_t>(Count));
  return true;
}

void HttpConnection::Impl::discardReceived() {
  // More than the receive buffer of a socket usually holds.
  constexpr std::size_t MaxDiscardedBytes = 1U << 20U;
  std::array<char, 16U << 10U> Discarded{};
  for (std::size_t Total = 0; Total < MaxDiscardedBytes;) {
    auto Count = ::recv(Socket.native_handle(), Discarded.data(),
                        Discarded.size(), MSG_DONTWAIT);
    if (Count <= 0)
      return;
    Total += static_cast<std::size_t>(Count);
  }
}

namespace {

HttpRequest requestFrom(const Parser &Incoming) {
  const auto &Message = Incoming.get();
  HttpRequest Request;
  Request.Method = std::string(Message.method_string());
  Request.Target = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Fields.emplace_back(std::string(Field.name_string()),
                                std::string(Field.value()));
  if (Incoming.chunked())
    Request.BodyLength = UnknownLength;
  else if (auto Length = Incoming.content_length())
    Request.BodyLength = static_cast<std::int64_t>(*Length);
  return Request;
}

bool isChunked(std::string_view Value) {
  return boost::beast::iequals(Value, "chunked");
}

} // namespace

void checkFraming(const HttpRequest &Request) {
  std::size_t Hosts = 0;
  std::size_t Encodings = 0;
  for (const auto &[Name, Value] : Request.Fields) {
    Hosts += boost::beast::iequals(Name, "Host") ? 1 : 0;
    if (!boost::beast::iequals(Name, "Transfer-Encoding"))
      continue;
    ++Encodings;
    // With any other coding the body length is ambiguous, and bytes of the body
    // could be parsed as another request.
    if (!isChunked(Value))
      throw HttpError(400, "unsupported Transfer-Encoding");
  }
  if (Encodings > 1)
    throw HttpError(400, "multiple Transfer-Encoding fields");
  if (Encodings == 1 && findHeader(Request.Fields, "Content-Length"))
    throw HttpError(400,
                    "both Transfer-Encoding and Content-Length are present");
  if (Hosts != 1)
    throw HttpError(400,
                    Hosts == 0 ? "missing Host field" : "multiple Host fields");
}

namespace {

[[noreturn]] void throwParseError(boost::system::error_code Failure) {
  if (Failure.category() !=
      http::make_error_code(http::error::bad_method).category())
    throw boost::system::system_error(Failure);
  if (Failure == http::error::partial_message)
    throw boost::system::system_error(asio::error::eof);
  bool TooLarge = Failure == http::error::header_limit ||
                  Failure == http::error::buffer_overflow;
  throw HttpError(TooLarge ? 431 : 400, Failure.message());
}

} // namespace

HttpConnection::HttpConnection(tcp::socket Socket, base::Clock &Time,
                               base::Millis StallTimeout)
    : Self(std::make_shared<Impl>(std::move(Socket), Time, StallTimeout)) {
  boost::system::error_code Ignored;
  Self->Socket.set_option(tcp::no_delay(true), Ignored);
}

HttpConnection::~HttpConnection() = default;

asio::awaitable<std::optional<HttpRequest>>
HttpConnection::readRequest(base::Millis Timeout) {
  auto Keep = Self;
  Keep->Incoming.emplace();
  Keep->Incoming->header_limit(MaxHeaderBytes);
  Keep->Incoming->body_limit(boost::none);
  Keep->ReadDeadline = Keep->Time.now() + Timeout;
  Keep->HeadWritten = Keep->EndWritten = false;
  boost::system::error_code Failure;
  co_await http::async_read_header(
      Keep->Socket, Keep->Buffer, *Keep->Incoming,
      asio::redirect_error(asio::use_awaitable, Failure));
  Keep->ReadDeadline = base::TimePoint::max();
  if (Failure == http::error::end_of_stream)
    co_return std::nullopt;
  if (Failure)
    throwParseError(Failure);
  const auto &Message = Keep->Incoming->get();
  Keep->KeepAlive = Message.keep_alive();
  Keep->HeadRequest = Message.method() == http::verb::head;
  Keep->Http10 = Message.version() < 11;
  HttpRequest Request = requestFrom(*Keep->Incoming);
  const std::string *Expect = findHeader(Request.Fields, "Expect");
  Keep->ContinueWanted = Expect && *Expect == "100-continue";
  if (!withinLimits(Request.Fields))
    throw HttpError(431, "too many header fields");
  checkFraming(Request);
  co_return Request;
}

asio::awaitable<std::size_t>
HttpConnection::readBody(std::span<std::uint8_t> Into) {
  auto Keep = Self;
  if (std::exchange(Keep->ContinueWanted, false) && !bodyComplete())
    co_await Keep->write("HTTP/1.1 100 Continue\r\n\r\n");
  auto &Incoming = *Keep->Incoming;
  while (!Incoming.is_done()) {
    Incoming.get().body().data = Into.data();
    Incoming.get().body().size = Into.size();
    Keep->ReadDeadline = Keep->Time.now() + Keep->StallTimeout;
    boost::system::error_code Failure;
    co_await http::async_read_some(
        Keep->Socket, Keep->Buffer, Incoming,
        asio::redirect_error(asio::use_awaitable, Failure));
    Keep->ReadDeadline = base::TimePoint::max();
    if (Failure && Failure != http::error::need_buffer)
      throwParseError(Failure);
    std::size_t Count = Into.size() - Incoming.get().body().size;
    if (Count != 0)
      co_return Count;
  }
  co_return 0;
}

bool HttpConnection::bodyComplete() const { return Self->Incoming->is_done(); }

std::string HttpConnection::Impl::beginResponse(unsigned Status, Headers Fields,
                                                std::int64_t BodyLength) {
  bool StatusWithoutBody = Status == 204 || Status == 304 || Status < 200;
  NoBody = HeadRequest || StatusWithoutBody;
  Chunked = false;
  Remaining = BodyLength;
  if (BodyLength == UnknownLength && !NoBody) {
    Chunked = !Http10;
    if (Http10)
      KeepAlive = false;
  }
  // An unread body would be parsed as the next request.
  if (!Incoming->is_done())
    KeepAlive = false;
  if (BodyLength >= 0 && Status != 204 && Status >= 200)
    Fields.emplace_back("Content-Length", std::to_string(BodyLength));
  if (Chunked)
    Fields.emplace_back("Transfer-Encoding", "chunked");
  if (!KeepAlive)
    Fields.emplace_back("Connection", "close");
  else if (Http10)
    Fields.emplace_back("Connection", "keep-alive");
  HeadWritten = true;
  return responseText(Status, Fields);
}

asio::awaitable<void> HttpConnection::writeHead(unsigned Status, Headers Fields,
                                                std::int64_t BodyLength) {
  auto Keep = Self;
  std::string Text = Keep->beginResponse(Status, std::move(Fields), BodyLength);
  co_await Keep->write(std::move(Text));
}

asio::awaitable<void> HttpConnection::writeBody(base::ByteView Data) {
  auto Keep = Self;
  if (Keep->NoBody || Data.empty())
    co_return;
  std::string Size = Keep->Chunked ? chunkHeader(Data.size()) : std::string();
  if (!Keep->Chunked && Keep->Remaining != UnknownLength) {
    if (Data.size() > static_cast<std::size_t>(Keep->Remaining))
      throw base::ProtocolError("response body exceeds its declared length");
    Keep->Remaining -= static_cast<std::int64_t>(Data.size());
  }
  // Splits the data so that a slow reader makes progress within one piece: each
  // write of at most this size restarts the stall timeout.
  constexpr std::size_t WriteBytes = 16U << 10U;
  std::string_view Rest = base::asText(Data);
  if (!Size.empty())
    co_await Keep->write(Size);
  while (!Rest.empty()) {
    std::string_view Part = Rest.substr(0, WriteBytes);
    Keep->WriteDeadline = Keep->Time.now() + Keep->StallTimeout;
    co_await asio::async_write(Keep->Socket,
                               asio::buffer(Part.data(), Part.size()),
                               asio::use_awaitable);
    Keep->WriteDeadline = base::TimePoint::max();
    Rest.remove_prefix(Part.size());
  }
  if (Keep->Chunked)
    co_await Keep->write("\r\n");
}

asio::awaitable<void> HttpConnection::writeEnd() {
  auto Keep = Self;
  if (!Keep->NoBody && !Keep->Chunked && Keep->Remaining > 0)
    throw base::ProtocolError(
        "response body is shorter than its declared length");
  if (Keep->Chunked && !Keep->NoBody)
    co_await Keep->write("0\r\n\r\n");
  Keep->EndWritten = true;
}

asio::awaitable<void> HttpConnection::respond(unsigned Status, Headers Fields,
                                              std::string Body) {
  auto Keep = Self;
  // One write for head and body saves a system call and a packet.
  std::string Text = Keep->beginResponse(
      Status, std::move(Fields), static_cast<std::int64_t>(Body.size()));
  if (!Keep->NoBody) {
    Text += Body;
    Keep->Remaining = 0;
  }
  co_await Keep->write(std::move(Text));
  co_await writeEnd();
}

bool HttpConnection::closed() const { return Self->closed(); }

void HttpConnection::watchForClose(std::function<void()> OnClosed) {
  Self->Watching = true;
  asio::co_spawn(
      Self->Socket.get_executor(),
      [Keep = Self, Generation = ++Self->WatchGeneration,
       OnClosed = std::move(OnClosed)]() -> asio::awaitable<void> {
        boost::system::error_code Failure;
        do {
          co_await Keep->Socket.async_wait(
              tcp::socket::wait_read,
              asio::redirect_error(asio::use_awaitable, Failure));
          if (Generation != Keep->WatchGeneration || !Keep->Watching)
            co_return;
        } while (!Failure && Keep->readAhead());
        Keep->Watching = false;
        if (Failure || Keep->closed())
          OnClosed();
      },
      asio::detached);
}

void HttpConnection::stopWatchingForClose() {
  if (!std::exchange(Self->Watching, false))
    return;
  ++Self->WatchGeneration;
  boost::system::error_code Ignored;
  Self->Socket.cancel(Ignored);
}

bool HttpConnection::hasPendingData() const {
  boost::system::error_code Ignored;
  return Self->Buffer.size() != 0 || Self->Socket.available(Ignored) != 0;
}

void HttpConnection::limitRequestWait(base::Millis Timeout) {
  Self->ReadDeadline = std::min(Self->ReadDeadline, Self->Time.now() + Timeout);
}

bool HttpConnection::reusable() const {
  return Self->KeepAlive && Self->EndWritten && bodyComplete() &&
         Self->Socket.is_open();
}

bool HttpConnection::headWritten() const { return Self->HeadWritten; }

void HttpConnection::closeAfterResponse() { Self->KeepAlive = false; }

void HttpConnection::abort() {
  boost::system::error_code Ignored;
  if (Self->HeadWritten && !Self->EndWritten)
    Self->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  else if (Self->EndWritten && Self->Socket.is_open())
    Self->discardReceived();
  Self->Socket.close(Ignored);
}

void HttpConnection::abortIfStalled() {
  if (std::min(Self->ReadDeadline, Self->WriteDeadline) <= Self->Time.now())
    abort();
}

tcp::endpoint HttpConnection::local() const {
  boost::system::error_code Ignored;
  return Self->Socket.local_endpoint(Ignored);
}

tcp::endpoint HttpConnection::peer() const {
  boost::system::error_code Ignored;
  return Self->Socket.remote_endpoint(Ignored);
}

} // namespace amaranth::dataplane
