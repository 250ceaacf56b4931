#include "Handshake.h"

#include "amaranth/base/Digest.h"
#include "channel_generated.h"

#include <fmt/format.h>

namespace asio = boost::asio;

namespace amaranth::protocol::detail {

namespace {

constexpr std::size_t NonceBytes = 16;
constexpr std::size_t MaxIdBytes = 128;

// The two proofs cover different labels, so that a proof cannot be sent back
// to its author.
constexpr std::string_view DialerLabel = "dialer";
constexpr std::string_view ListenerLabel = "listener";

base::Bytes encodeHello(const Identity &Self) {
  flatbuffers::FlatBufferBuilder Builder;
  base::Bytes Nonce = base::randomBytes(NonceBytes);
  auto Hello = wire::CreateHello(
      Builder, ProtocolVersion, static_cast<wire::Role>(Self.ProcessRole),
      Builder.CreateString(Self.Id), Builder.CreateString(Self.Zone.value()),
      Builder.CreateVector(Nonce));
  Builder.Finish(Hello);
  return takeBuffer(Builder);
}

Identity decodeHello(const Frame &Received) {
  if (Received.Type != MessageType::Hello)
    throw base::ProtocolError("expected a Hello");
  const auto &Hello = readTable<wire::Hello>(Received.Payload);
  if (Hello.protocol_version() != ProtocolVersion)
    throw base::ProtocolError(fmt::format("protocol version {}, expected {}",
                                          Hello.protocol_version(),
                                          ProtocolVersion));
  bool KnownRole =
      Hello.role() == wire::Role::Control || Hello.role() == wire::Role::Node;
  if (!KnownRole || Hello.nonce()->size() != NonceBytes ||
      Hello.id()->size() > MaxIdBytes ||
      Hello.availability_zone()->size() > MaxIdBytes)
    throw base::ProtocolError("malformed Hello");
  return {static_cast<Role>(Hello.role()), Hello.id()->str(),
          base::AvailabilityZone(Hello.availability_zone()->str())};
}

base::Bytes proof(const std::string &Key, std::string_view Label,
                  const base::Bytes &DialerHello,
                  const base::Bytes &ListenerHello) {
  base::Bytes Message(Label.begin(), Label.end());
  Message.insert(Message.end(), DialerHello.begin(), DialerHello.end());
  Message.insert(Message.end(), ListenerHello.begin(), ListenerHello.end());
  return base::hmacSha256(base::asBytes(Key), Message);
}

base::Bytes encodeProof(const base::Bytes &Mac) {
  flatbuffers::FlatBufferBuilder Builder;
  Builder.Finish(wire::CreateHelloProof(Builder, Builder.CreateVector(Mac)));
  return takeBuffer(Builder);
}

void checkProof(const Frame &Received, const base::Bytes &Expected) {
  if (Received.Type != MessageType::HelloProof)
    throw base::ProtocolError("expected a HelloProof");
  const auto &Message = readTable<wire::HelloProof>(Received.Payload);
  base::ByteView Mac(Message.mac()->data(), Message.mac()->size());
  if (!base::equalConstantTime(Mac, Expected))
    throw base::ProtocolError("the peer does not hold the shared key");
}

const std::string &keyOf(const SharedKeys &Keys, Role Dialer) {
  auto It = Keys.find(Dialer);
  if (It == Keys.end())
    throw base::ProtocolError("no shared key for the role of the dialer");
  return It->second;
}

} // namespace

asio::awaitable<void> openAsDialer(std::shared_ptr<SocketChannel> Link,
                                   const Identity &Self,
                                   const SharedKeys &Keys) {
  const std::string &Key = keyOf(Keys, Self.ProcessRole);
  base::Bytes Hello = encodeHello(Self);
  co_await Link->writeNow(MessageType::Hello, Hello);
  Frame Answer = co_await Link->readFrame();
  Identity Peer = decodeHello(Answer);
  co_await Link->writeNow(
      MessageType::HelloProof,
      encodeProof(proof(Key, DialerLabel, Hello, Answer.Payload)));
  checkProof(co_await Link->readFrame(),
             proof(Key, ListenerLabel, Hello, Answer.Payload));
  Link->start(std::move(Peer), Self.ProcessRole);
}

asio::awaitable<void> openAsListener(std::shared_ptr<SocketChannel> Link,
                                     const Identity &Self,
                                     const SharedKeys &Keys) {
  Frame Opening = co_await Link->readFrame();
  Identity Peer = decodeHello(Opening);
  const std::string &Key = keyOf(Keys, Peer.ProcessRole);
  base::Bytes Hello = encodeHello(Self);
  co_await Link->writeNow(MessageType::Hello, Hello);
  checkProof(co_await Link->readFrame(),
             proof(Key, DialerLabel, Opening.Payload, Hello));
  co_await Link->writeNow(
      MessageType::HelloProof,
      encodeProof(proof(Key, ListenerLabel, Opening.Payload, Hello)));
  Link->start(std::move(Peer), Self.ProcessRole);
}

} // namespace amaranth::protocol::detail
