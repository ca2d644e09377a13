// TCP acceptor on one address.
#ifndef BRONZEBARROW_NET_ACCEPTOR_H_
#define BRONZEBARROW_NET_ACCEPTOR_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <cstddef>
#include <functional>
#include <memory>

#include "bronzebarrow/base/address.h"
#include "bronzebarrow/base/failure.h"

namespace bronzebarrow::net {

class Acceptor {
 public:
  using OnSocket = std::function<void(boost::asio::ip::tcp::socket)>;

  /**
   * Binds and listens. Calls `on_socket` for each new connection, whose
   * executor is a new strand.
   * @param receive_buffer_bytes SO_RCVBUF of the connections; 0: the system's
   */
  static Result<std::shared_ptr<Acceptor>> Listen(
      boost::asio::any_io_executor executor, const Address& address,
      OnSocket on_socket, std::size_t receive_buffer_bytes = 0);

  Acceptor(boost::asio::any_io_executor executor, OnSocket on_socket);
  void Close();
  /** @return the bound port; the assigned one if port 0 was requested. */
  std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

 private:
  void AcceptNext(const std::shared_ptr<Acceptor>& self);

  boost::asio::any_io_executor m_executor;
  boost::asio::ip::tcp::acceptor m_acceptor;
  OnSocket m_on_socket;
};

}  // namespace bronzebarrow::net

#endif  // BRONZEBARROW_NET_ACCEPTOR_H_
