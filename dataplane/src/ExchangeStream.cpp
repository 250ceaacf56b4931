#include "amaranth/dataplane/ExchangeStream.h"

#include "amaranth/base/Invariant.h"

namespace asio = boost::asio;
using amaranth::protocol::MessageType;

namespace amaranth::dataplane {

ExchangeStream::ExchangeStream(const asio::any_io_executor &Executor,
                               std::shared_ptr<protocol::Channel> Channel,
                               std::uint64_t StreamId, Role LocalRole)
    : Channel(std::move(Channel)), StreamId(StreamId), LocalRole(LocalRole),
      Changed(Executor) {}

asio::awaitable<void> ExchangeStream::sendData(base::Bytes Data, bool End) {
  AMARANTH_INVARIANT(Data.size() <= MaxPieceBytes,
                     "body piece exceeds the limit");
  std::size_t Size = Data.size();
  while (!EndCause && SendWindow < Size)
    co_await Changed.wait();
  if (EndCause)
    throw ExchangeAborted(*EndCause);
  SendWindow -= Size;
  bool IsRequest = LocalRole == Role::Entry;
  base::Bytes Payload =
      IsRequest ? encodeRequestData(Data, End) : encodeResponseData(Data, End);
  try {
    co_await Channel->send(IsRequest ? MessageType::RequestData
                                     : MessageType::ResponseData,
                           StreamId, std::move(Payload));
  } catch (const protocol::ChannelClosed &Error) {
    end({ExecutionOutcome::Unknown, RefusalReason::ConnectionLost,
         Error.what()});
  }
  if (EndCause)
    throw ExchangeAborted(*EndCause);
}

asio::awaitable<BodyPiece> ExchangeStream::readData() {
  while (ReceiveQueue.empty() && !EndCause)
    co_await Changed.wait();
  // Discards the pieces of an incomplete message. A message that was received
  // completely is delivered even after the exchange has ended.
  if (EndCause && !EndReceived)
    throw ExchangeAborted(*EndCause);
  AMARANTH_INVARIANT(!ReceiveQueue.empty(), "read past the end of the body");
  BodyPiece Piece = std::move(ReceiveQueue.front());
  ReceiveQueue.pop_front();
  Buffered -= Piece.Data.size();
  EndDelivered = Piece.End;
  if (!Piece.Data.empty() && !Piece.End && !EndCause)
    Channel->post(MessageType::Window, StreamId,
                  encode(WindowUpdate{
                      static_cast<std::uint32_t>(Piece.Data.size()), {}}));
  co_return Piece;
}

void ExchangeStream::onData(BodyPiece Piece) {
  if (EndCause)
    return;
  if (EndReceived)
    throw base::ProtocolError("data received past the end of the body");
  Buffered += Piece.Data.size();
  if (Buffered > WindowBytes)
    throw base::ProtocolError("peer exceeded the flow control window");
  EndReceived = Piece.End;
  ReceiveQueue.push_back(std::move(Piece));
  Changed.notifyAll();
}

void ExchangeStream::onWindow(std::uint32_t Bytes) {
  if (Bytes > WindowBytes - std::min(SendWindow, WindowBytes))
    throw base::ProtocolError("window update exceeds the flow control window");
  SendWindow += Bytes;
  Changed.notifyAll();
}

void ExchangeStream::end(Refusal Cause) {
  if (EndCause)
    return;
  EndCause = std::move(Cause);
  Changed.notifyAll();
}

} // namespace amaranth::dataplane
