#ifndef AMARANTH_BASE_ACCEPT_H
#define AMARANTH_BASE_ACCEPT_H

#include <boost/asio/ip/tcp.hpp>

#include <utility>

namespace amaranth::base {

/// Most connections that are accepted in one turn of the event loop. Leaves
/// time for the open connections while many peers connect.
inline constexpr unsigned MaxAcceptsPerTurn = 64;

/// Accepts the connections in the accept queue without suspending, and passes
/// each socket to `Start`. `Acceptor` must be non-blocking. Stops at the first
/// error, which the next asynchronous accept reports.
template <typename Callback>
void acceptWaiting(boost::asio::ip::tcp::acceptor &Acceptor, Callback Start) {
  for (unsigned I = 0; I < MaxAcceptsPerTurn && Acceptor.is_open(); ++I) {
    boost::asio::ip::tcp::socket Socket(Acceptor.get_executor());
    boost::system::error_code Failure;
    Acceptor.accept(Socket, Failure);
    if (Failure)
      return;
    Start(std::move(Socket));
  }
}

} // namespace amaranth::base

#endif
