#include "amaranth/dataplane/ExchangeEnd.h"

#include "amaranth/base/Invariant.h"

namespace asio = boost::asio;
using amaranth::protocol::MessageType;

namespace amaranth::dataplane {

ExchangeEnd::ExchangeEnd(const asio::any_io_executor &Executor,
                         std::shared_ptr<protocol::Channel> Link,
                         std::uint64_t Stream, Side Here)
    : Link(std::move(Link)), Stream(Stream), Here(Here), Changed(Executor) {}

asio::awaitable<void> ExchangeEnd::sendData(base::Bytes Data, bool End) {
  AMARANTH_INVARIANT(Data.size() <= MaxPieceBytes, "piece is too large");
  std::size_t Size = Data.size();
  while (!Ending && Credit < Size)
    co_await Changed.wait();
  if (Ending)
    throw ExchangeEnded(*Ending);
  Credit -= Size;
  bool FromEntry = Here == Side::Entry;
  base::Bytes Payload =
      FromEntry ? encodeRequestData(Data, End) : encodeResponseData(Data, End);
  try {
    co_await Link->send(FromEntry ? MessageType::RequestData
                                  : MessageType::ResponseData,
                        Stream, std::move(Payload));
  } catch (const protocol::ChannelClosed &Failure) {
    end({Outcome::Unknown, Reason::ConnectionLost, Failure.what()});
  }
  if (Ending)
    throw ExchangeEnded(*Ending);
}

asio::awaitable<BodyPiece> ExchangeEnd::readData() {
  while (Inbox.empty() && !Ending)
    co_await Changed.wait();
  // Pieces that arrived before a break are not delivered: the message is
  // incomplete in any case. A complete message is delivered whole.
  if (Ending && !LastReceived)
    throw ExchangeEnded(*Ending);
  AMARANTH_INVARIANT(!Inbox.empty(), "read after the end of a body");
  BodyPiece Piece = std::move(Inbox.front());
  Inbox.pop_front();
  Buffered -= Piece.Data.size();
  LastSeen = Piece.End;
  if (!Piece.Data.empty() && !Piece.End && !Ending)
    Link->post(MessageType::Window, Stream,
               encodeWindow(static_cast<std::uint32_t>(Piece.Data.size())));
  co_return Piece;
}

void ExchangeEnd::onData(BodyPiece Piece) {
  if (Ending)
    return;
  if (LastReceived)
    throw base::ProtocolError("data after the end of a body");
  Buffered += Piece.Data.size();
  if (Buffered > WindowBytes)
    throw base::ProtocolError("peer exceeded the window of an exchange");
  LastReceived = Piece.End;
  Inbox.push_back(std::move(Piece));
  Changed.notifyAll();
}

void ExchangeEnd::onWindow(std::uint32_t Bytes) {
  if (Bytes > WindowBytes - std::min(Credit, WindowBytes))
    throw base::ProtocolError("peer granted more than the window");
  Credit += Bytes;
  Changed.notifyAll();
}

void ExchangeEnd::end(Refusal Why) {
  if (Ending)
    return;
  Ending = std::move(Why);
  Changed.notifyAll();
}

} // namespace amaranth::dataplane
