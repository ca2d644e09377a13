// Listening and the accept loop.
#include "bronzebarrow/net/acceptor.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "bronzebarrow/base/time.h"

namespace bronzebarrow::net {
namespace {

namespace asio = boost::asio;

// Delay before the next accept after a failed one, e.g. when no file descriptor
// is available.
constexpr Duration kAcceptRetryDelay = Millis(50);

}  // namespace

Acceptor::Acceptor(asio::any_io_executor executor, OnSocket on_socket)
    : m_executor(executor),
      m_acceptor(executor),
      m_on_socket(std::move(on_socket)) {}

Result<std::shared_ptr<Acceptor>> Acceptor::Listen(
    asio::any_io_executor executor, const Address& address, OnSocket on_socket,
    std::size_t receive_buffer_bytes) {
  auto acceptor = std::make_shared<Acceptor>(executor, std::move(on_socket));
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.m_host),
                                         address.m_port);
  try {
    acceptor->m_acceptor.open(endpoint.protocol());
    acceptor->m_acceptor.set_option(asio::socket_base::reuse_address(true));
    if (receive_buffer_bytes > 0) {
      // Connections inherit it. Set later, it would not bound the window that
      // they have announced by then.
      acceptor->m_acceptor.set_option(asio::socket_base::receive_buffer_size(
          static_cast<int>(receive_buffer_bytes)));
    }
    acceptor->m_acceptor.bind(endpoint);
    acceptor->m_acceptor.listen();
  } catch (const boost::system::system_error& error) {
    return Fail(ErrorCode::kAddressUnusable,
                address.Text() + ": " + error.code().message());
  }
  acceptor->AcceptNext(acceptor);
  return acceptor;
}

void Acceptor::Close() {
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
}

void Acceptor::AcceptNext(const std::shared_ptr<Acceptor>& self) {
  m_acceptor.async_accept(
      asio::make_strand(m_executor),
      [this, self](const boost::system::error_code& error,
                   asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open() || error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          m_on_socket(std::move(socket));
          AcceptNext(self);
          return;
        }
        auto retry_timer =
            std::make_shared<asio::steady_timer>(m_executor, kAcceptRetryDelay);
        retry_timer->async_wait(
            [this, self, retry_timer](const auto&) { AcceptNext(self); });
      });
}

}  // namespace bronzebarrow::net
