#include "amaranth/dataplane/UpstreamClient.h"

#include "HttpText.h"
#include "IdleLimit.h"
#include "amaranth/base/Timeout.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <sys/socket.h>

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace amaranth::dataplane {

namespace {

/// What one call accepts before the response to its request: a faulty upstream
/// may send such responses without end.
constexpr unsigned MaxInformationalResponses = 16;
constexpr unsigned MaxSkippedResponses = 8;
constexpr std::size_t MaxSkippedBytes = 1U << 20U;

/// A further response follows. 101 is none of these: no request asks for
/// another protocol.
bool isInformational(unsigned Status) {
  return Status >= 100 && Status < 200 && Status != 101;
}

/// RFC 9110 defines no status beyond 599.
bool isFinalStatus(unsigned Status) { return Status >= 200 && Status <= 599; }

struct PooledConnection {
  explicit PooledConnection(tcp::socket Connected)
      : Socket(std::move(Connected)) {}

  /// False if the upstream has closed the connection or sent data that belongs
  /// to no request.
  bool usable() { return Socket.is_open() && peek() == Peeked::Nothing; }

  /// False if the upstream has closed the connection and all data was read.
  bool isOpen() { return Socket.is_open() && peek() != Peeked::End; }

  /// Must be called with the result of each operation on the socket. A reset is
  /// reported to one operation only; the others see the end of the data.
  void recordResult(const boost::system::error_code &Failure) {
    // EPIPE: the upstream closed its side in order before it reset the
    // connection, so all that it sent has arrived. An operation is cancelled
    // only when this process closes the socket.
    bool AfterOrderlyEnd = Failure == asio::error::broken_pipe;
    if (Failure && !AfterOrderlyEnd && Failure != asio::error::eof &&
        Failure != asio::error::operation_aborted &&
        Failure.category() == asio::error::get_system_category())
      Reset = true;
  }
  /// True if any operation has seen that the connection did not end in order.
  bool wasReset() const { return Reset; }

  tcp::socket Socket;
  base::TimePoint LastUsed;

private:
  enum class Peeked : std::uint8_t { Nothing, Data, End };

  Peeked peek() {
    char Byte = 0;
    auto Count =
        ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (Count > 0)
      return Peeked::Data;
    if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return Peeked::Nothing;
    if (Count < 0)
      recordResult({errno, asio::error::get_system_category()});
    return Peeked::End;
  }

  bool Reset = false;
};

using Parser = http::response_parser<http::buffer_body>;

} // namespace

struct UpstreamClient::Impl {
  Impl(asio::any_io_executor Executor, Settings Options, base::Clock &Time)
      : Executor(std::move(Executor)), Options(Options), Time(Time) {}

  asio::awaitable<std::shared_ptr<PooledConnection>> connect();
  bool hasOpenConnection() const;

  asio::any_io_executor Executor;
  Settings Options;
  base::Clock &Time;
  base::Address Upstream;
  /// Incremented on each change of the address. Connections of an earlier
  /// generation do not return to the pool.
  std::uint64_t Generation = 0;
  std::deque<std::shared_ptr<PooledConnection>> IdleConnections;
  bool ConnectionsLost = false;
  std::shared_ptr<ActiveCalls> Calls = std::make_shared<ActiveCalls>();
};

namespace {

class Call;

} // namespace

struct UpstreamClient::ActiveCalls {
  std::set<Call *> Open;
  IdleLimit ReuseLimit;
};

namespace {

class Call final : public UpstreamCall,
                   public std::enable_shared_from_this<Call> {
public:
  Call(std::shared_ptr<PooledConnection> Connection, base::Clock &Time,
       base::Millis ReadTimeout, bool Head, bool Chunked,
       std::optional<base::Millis> IdleFor,
       std::shared_ptr<UpstreamClient::ActiveCalls> Calls,
       std::function<void(std::shared_ptr<PooledConnection>)> ReturnToPool)
      : Connection(std::move(Connection)), Time(Time), ReadTimeout(ReadTimeout),
        Head(Head), Chunked(Chunked), IdleFor(IdleFor), Started(Time.now()),
        Calls(std::move(Calls)), ReturnToPool(std::move(ReturnToPool)) {
    this->Calls->Open.insert(this);
  }
  ~Call() override {
    Calls->Open.erase(this);
    abort();
  }

  void setDeadline(base::TimePoint Value) override { Deadline = Value; }

  bool isOpen() const { return Connection && Connection->isOpen(); }

  void abortIfExpired() {
    base::TimePoint Now = Time.now();
    if (Now < std::min(Deadline, ReadDeadline))
      return;
    TimedOut = true;
    abort();
  }

  asio::awaitable<std::size_t> writeRaw(std::string Text) {
    auto Keep = shared_from_this();
    boost::system::error_code Failure;
    std::size_t Written = co_await asio::async_write(
        Connection->Socket, asio::buffer(Text),
        asio::redirect_error(asio::use_awaitable, Failure));
    Connection->recordResult(Failure);
    if (Failure)
      throw UpstreamError(Written != 0, RefusalReason::UpstreamBroken,
                          Failure.message());
    co_return Written;
  }

  asio::awaitable<void> writeBody(base::ByteView Data) override;
  asio::awaitable<void> writeEnd() override;
  asio::awaitable<ResponseHead> readHead() override;
  asio::awaitable<std::size_t> readBody(std::span<std::uint8_t> Into) override;
  asio::awaitable<void> skipResponse() override;
  bool isFirstResponse() const override {
    return !IdleFor && SkippedResponses == 0;
  }

  void abort() override {
    if (!Connection)
      return;
    boost::system::error_code Ignored;
    Connection->Socket.close(Ignored);
  }

private:
  asio::awaitable<void> readSome(bool HeadOnly);
  void release();
  [[noreturn]] void fail(boost::system::error_code Failure) {
    abort();
    if (IdleFor && !TimedOut && !Answered)
      Calls->ReuseLimit.recordReset(Time.now(), *IdleFor, Time.now() - Started);
    if (TimedOut && Time.now() >= Deadline)
      throw UpstreamError(true, RefusalReason::DeadlineExceeded,
                          "no response before the deadline");
    if (TimedOut)
      throw UpstreamError(true, RefusalReason::UpstreamSilent,
                          fmt::format("no data from the upstream for {} ms",
                                      ReadTimeout.count()));
    throw UpstreamError(true, RefusalReason::UpstreamBroken, Failure.message());
  }

  std::shared_ptr<PooledConnection> Connection;
  base::Clock &Time;
  base::Millis ReadTimeout;
  bool Head;
  bool Chunked;
  /// Idle time of the connection before this call; empty for a new one.
  std::optional<base::Millis> IdleFor;
  base::TimePoint Started;
  std::shared_ptr<UpstreamClient::ActiveCalls> Calls;
  std::function<void(std::shared_ptr<PooledConnection>)> ReturnToPool;
  base::TimePoint Deadline = base::TimePoint::max();
  base::TimePoint ReadDeadline = base::TimePoint::max();
  boost::beast::flat_buffer Buffer{MaxHeaderBytes + MaxPieceBytes};
  std::optional<Parser> Incoming;
  bool RequestWritten = false;
  bool ResponseRead = false;
  bool TimedOut = false;
  /// The response head has been received.
  bool Answered = false;
  /// Responses to other requests, and the bytes of their bodies.
  unsigned SkippedResponses = 0;
  std::size_t SkippedBytes = 0;
};

asio::awaitable<void> Call::writeBody(base::ByteView Data) {
  auto Keep = shared_from_this();
  if (Data.empty())
    co_return;
  std::string Text;
  if (Chunked)
    Text = chunkHeader(Data.size());
  Text.append(base::asText(Data));
  if (Chunked)
    Text += "\r\n";
  co_await writeRaw(std::move(Text));
}

asio::awaitable<void> Call::writeEnd() {
  auto Keep = shared_from_this();
  if (Chunked) {
    std::string Last = "0\r\n\r\n";
    co_await writeRaw(std::move(Last));
  }
  RequestWritten = true;
  release();
}

asio::awaitable<void> Call::readSome(bool HeadOnly) {
  boost::system::error_code Failure;
  auto Token = asio::redirect_error(asio::use_awaitable, Failure);
  ReadDeadline = Time.now() + ReadTimeout;
  if (HeadOnly)
    co_await http::async_read_header(Connection->Socket, Buffer, *Incoming,
                                     Token);
  else
    co_await http::async_read_some(Connection->Socket, Buffer, *Incoming,
                                   Token);
  ReadDeadline = base::TimePoint::max();
  Connection->recordResult(Failure);
  if (Failure && Failure != http::error::need_buffer)
    fail(Failure);
  // The end of the connection is the end of such a body only if the connection
  // was not reset. The write of the request may have consumed the error.
  if (Incoming->is_done() && Incoming->need_eof() && Connection->wasReset())
    fail(asio::error::connection_reset);
}

asio::awaitable<ResponseHead> Call::readHead() {
  auto Keep = shared_from_this();
  unsigned HeadsRead = 0;
  do {
    if (HeadsRead++ > MaxInformationalResponses)
      throw UpstreamError(true, RefusalReason::UpstreamBroken,
                          fmt::format("more than {} informational responses",
                                      MaxInformationalResponses));
    Incoming.emplace();
    Incoming->header_limit(MaxHeaderBytes);
    Incoming->body_limit(boost::none);
    Incoming->skip(Head);
    co_await readSome(true);
  } while (isInformational(Incoming->get().result_int()));
  // What follows such a head may be a body, so the connection is not used
  // again.
  if (!isFinalStatus(Incoming->get().result_int())) {
    abort();
    throw UpstreamError(true, RefusalReason::UpstreamBroken,
                        fmt::format("response with the undefined status {:03}",
                                    Incoming->get().result_int()));
  }
  Answered = true;
  const auto &Message = Incoming->get();
  ResponseHead Result;
  Result.Status = Message.result_int();
  for (const auto &Field : Message)
    Result.Fields.emplace_back(std::string(Field.name_string()),
                               std::string(Field.value()));
  if (!withinLimits(Result.Fields))
    throw UpstreamError(true, RefusalReason::UpstreamBroken,
                        "response head exceeds the size limits");
  const std::string *Length = findHeader(Result.Fields, "Content-Length");
  if (Length)
    Result.BodyLength = std::strtoll(Length->c_str(), nullptr, 10);
  co_return Result;
}

asio::awaitable<void> Call::skipResponse() {
  auto Keep = shared_from_this();
  ++SkippedResponses;
  base::Bytes Discarded(MaxPieceBytes);
  while (!Incoming->is_done() && SkippedBytes <= MaxSkippedBytes) {
    Incoming->get().body().data = Discarded.data();
    Incoming->get().body().size = Discarded.size();
    co_await readSome(false);
    SkippedBytes += Discarded.size() - Incoming->get().body().size;
  }
  if (SkippedResponses > MaxSkippedResponses || !Incoming->is_done())
    throw UpstreamError(
        true, RefusalReason::UpstreamBroken,
        fmt::format("{} responses with {} bytes belong to other requests",
                    SkippedResponses, SkippedBytes));
}

asio::awaitable<std::size_t> Call::readBody(std::span<std::uint8_t> Into) {
  auto Keep = shared_from_this();
  while (!Incoming->is_done()) {
    Incoming->get().body().data = Into.data();
    Incoming->get().body().size = Into.size();
    co_await readSome(false);
    std::size_t Count = Into.size() - Incoming->get().body().size;
    if (Count != 0)
      co_return Count;
  }
  ResponseRead = true;
  release();
  co_return 0;
}

void Call::release() {
  if (!RequestWritten || !ResponseRead || !Connection)
    return;
  // Data after the response belongs to no request.
  if (SkippedResponses != 0 || Buffer.size() != 0 || !Incoming->keep_alive()) {
    abort();
    return;
  }
  ReturnToPool(std::exchange(Connection, nullptr));
}

} // namespace

asio::awaitable<std::shared_ptr<PooledConnection>>
UpstreamClient::Impl::connect() {
  tcp::socket Socket(Executor);
  boost::system::error_code Failure;
  auto Connect = [&]() -> asio::awaitable<void> {
    tcp::endpoint Peer(asio::ip::make_address(Upstream.Ip), Upstream.Port);
    co_await Socket.async_connect(
        Peer, asio::redirect_error(asio::use_awaitable, Failure));
  };
  if (!co_await base::withTimeout(Time, Options.ConnectTimeout, Connect()))
    Failure = asio::error::timed_out;
  if (Failure)
    throw UpstreamError(
        false, RefusalReason::UpstreamUnreachable,
        fmt::format("cannot connect to the upstream: {}", Failure.message()));
  boost::system::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  co_return std::make_shared<PooledConnection>(std::move(Socket));
}

UpstreamClient::UpstreamClient(const asio::any_io_executor &Executor,
                               Settings Options, base::Clock &Time)
    : Shared(std::make_shared<Impl>(Executor, Options, Time)) {}

UpstreamClient::~UpstreamClient() = default;

void UpstreamClient::setAddress(const base::Address &Upstream) {
  if (Shared->Upstream == Upstream)
    return;
  Shared->Upstream = Upstream;
  closeIdleConnections();
}

namespace {

/// Adds the field that defines the length of a request body.
Headers withFraming(Headers Fields, const std::string &Method,
                    std::int64_t BodyLength) {
  if (BodyLength == UnknownLength)
    Fields.emplace_back("Transfer-Encoding", "chunked");
  else if (BodyLength != 0 || !isIdempotent(Method))
    Fields.emplace_back("Content-Length", std::to_string(BodyLength));
  return Fields;
}

} // namespace

asio::awaitable<std::shared_ptr<UpstreamCall>>
UpstreamClient::begin(std::string Method, std::string Target,
                      FieldSource Fields, std::int64_t BodyLength,
                      bool AtMostOnce) {
  auto Keep = Shared;
  base::Millis MaxAge = AtMostOnce ? Keep->Options.MaxIdleAgeAtMostOnce
                                   : Keep->Options.MaxIdleAge;
  bool Chunked = BodyLength == UnknownLength;
  for (;;) {
    std::shared_ptr<PooledConnection> Connection;
    std::optional<base::Millis> IdleFor;
    bool Closed = false;
    while (!Keep->IdleConnections.empty() && !Connection) {
      // The most recently used connection is the least likely to be closed.
      Connection = std::move(Keep->IdleConnections.back());
      Keep->IdleConnections.pop_back();
      base::TimePoint Now = Keep->Time.now();
      IdleFor = Now - Connection->LastUsed;
      bool Usable = Connection->usable();
      // When it was closed is not known, however long it was idle.
      Closed = Closed || !Usable;
      if (*IdleFor > MaxAge || !Keep->Calls->ReuseLimit.allows(Now, *IdleFor) ||
          !Usable)
        Connection.reset();
    }
    if (Closed && !Connection && !Keep->hasOpenConnection())
      Keep->ConnectionsLost = true;
    bool Reused = Connection != nullptr;
    if (!Reused)
      IdleFor.reset();
    if (!Connection)
      Connection = co_await Keep->connect();
    std::string Text =
        requestText(Method, Target, withFraming(Fields(), Method, BodyLength));
    auto ReturnToPool = [Keep, Generation = Keep->Generation](
                            std::shared_ptr<PooledConnection> Done) {
      Done->LastUsed = Keep->Time.now();
      if (Generation == Keep->Generation &&
          Keep->IdleConnections.size() < Keep->Options.MaxIdleConnections)
        Keep->IdleConnections.push_back(std::move(Done));
    };
    auto Started = std::make_shared<Call>(
        Connection, Keep->Time, Keep->Options.ReadTimeout, Method == "HEAD",
        Chunked, IdleFor, Keep->Calls, std::move(ReturnToPool));
    std::optional<UpstreamError> Failure;
    try {
      co_await Started->writeRaw(std::move(Text));
    } catch (const UpstreamError &Error) {
      Failure = Error;
    }
    if (!Failure)
      co_return Started;
    // Retries on another connection only if the pooled one accepted no data.
    if (Failure->sent() || !Reused)
      throw UpstreamError(*Failure);
  }
}

bool UpstreamClient::Impl::hasOpenConnection() const {
  return std::ranges::any_of(IdleConnections,
                             [](const auto &Idle) { return Idle->usable(); }) ||
         std::ranges::any_of(Calls->Open,
                             [](const Call *Each) { return Each->isOpen(); });
}

bool UpstreamClient::hasOpenConnection() const {
  return Shared->hasOpenConnection();
}

bool UpstreamClient::takeConnectionsLost() {
  return std::exchange(Shared->ConnectionsLost, false);
}

asio::awaitable<bool> UpstreamClient::refusesConnections() {
  auto Keep = Shared;
  tcp::endpoint Peer(asio::ip::make_address(Keep->Upstream.Ip),
                     Keep->Upstream.Port);
  base::TimePoint End = Keep->Time.now() + Keep->Options.ConnectTimeout;
  while (Keep->Time.now() < End) {
    tcp::socket Socket(Keep->Executor);
    boost::system::error_code Failure;
    auto Connect = [&]() -> asio::awaitable<void> {
      co_await Socket.async_connect(
          Peer, asio::redirect_error(asio::use_awaitable, Failure));
    };
    bool Connected = co_await base::withTimeout(
        Keep->Time, End - Keep->Time.now(), Connect());
    if (!Connected || Failure)
      co_return Connected &&Failure == asio::error::connection_refused;
    // An exiting process may close its connections before its listening socket.
    // Until then the accept queue still takes connections, which are reset when
    // that socket is closed.
    char Byte = 0;
    auto WaitForReset = [&]() -> asio::awaitable<void> {
      co_await Socket.async_read_some(
          asio::buffer(&Byte, 1),
          asio::redirect_error(asio::use_awaitable, Failure));
    };
    bool Ended = co_await base::withTimeout(
        Keep->Time, Keep->Options.ListenerCloseTimeout, WaitForReset());
    if (!Ended || !Failure)
      co_return false;
  }
  co_return false;
}

void UpstreamClient::closeIdleConnections() {
  ++Shared->Generation;
  Shared->IdleConnections.clear();
}

void UpstreamClient::abortExpiredCalls() {
  auto Keep = Shared;
  for (Call *ActiveCall : std::set<Call *>(Keep->Calls->Open))
    ActiveCall->abortIfExpired();
}

std::size_t UpstreamClient::idleConnections() const {
  return Shared->IdleConnections.size();
}

} // namespace amaranth::dataplane
