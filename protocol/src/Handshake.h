#ifndef AMARANTH_PROTOCOL_HANDSHAKE_H
#define AMARANTH_PROTOCOL_HANDSHAKE_H

#include "SocketChannel.h"
#include "amaranth/protocol/Connection.h"

namespace amaranth::protocol::detail {

/// Version of the frame layout and the message schemas. Both sides must have
/// the same one.
inline constexpr std::uint16_t ProtocolVersion = 1;

/// Both throw `ChannelClosed`, `base::ProtocolError` or
/// `boost::system::system_error`. On success the identity of the peer has
/// been proved and the channel is started.
boost::asio::awaitable<void> openAsDialer(std::shared_ptr<SocketChannel> Link,
                                          const Identity &Self,
                                          const SharedKeys &Keys);
boost::asio::awaitable<void> openAsListener(std::shared_ptr<SocketChannel> Link,
                                            const Identity &Self,
                                            const SharedKeys &Keys);

} // namespace amaranth::protocol::detail

#endif
