// Connecting, and reconnecting after the connection is lost.
#include "bronzebarrow/net/frame_dialer.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "bronzebarrow/base/event_log.h"

namespace bronzebarrow::net {
namespace {

namespace asio = boost::asio;

constexpr Duration kConnectTimeout = Millis(1000);

}  // namespace

FrameDialer::FrameDialer(const asio::any_io_executor& executor, Options options)
    : m_executor(asio::make_strand(executor)), m_options(std::move(options)) {}

void FrameDialer::Start(OnFrame on_frame, OnConnect on_connect) {
  m_on_frame = std::move(on_frame);
  m_on_connect = std::move(on_connect);
  asio::co_spawn(
      m_executor, [self = shared_from_this()] { return self->ConnectLoop(); },
      asio::detached);
}

void FrameDialer::Stop() {
  const std::lock_guard lock(m_mutex);
  m_stopped = true;
  if (m_connection) {
    m_connection->Close();
  }
}

void FrameDialer::CloseConnection() {
  const std::lock_guard lock(m_mutex);
  if (m_connection) {
    m_connection->Close();
  }
}

bool FrameDialer::Send(const wire::FrameT& frame) {
  FrameConnectionPtr connection;
  {
    const std::lock_guard lock(m_mutex);
    connection = m_connection;
  }
  if (!connection) {
    return false;
  }
  connection->Send(frame);
  return true;
}

std::size_t FrameDialer::unsent_bytes() const {
  const std::lock_guard lock(m_mutex);
  return m_connection ? m_connection->unsent_bytes() : 0;
}

asio::awaitable<FrameConnectionPtr> FrameDialer::Connect() {
  auto socket = std::make_shared<asio::ip::tcp::socket>(m_executor);
  asio::steady_timer timeout(m_executor, kConnectTimeout);
  timeout.async_wait([socket](const boost::system::error_code& error) {
    if (!error) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
  });
  boost::system::error_code error;
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(m_options.m_address.m_host),
      m_options.m_address.m_port);
  co_await socket->async_connect(
      endpoint, asio::redirect_error(asio::use_awaitable, error));
  timeout.cancel();
  if (error || !socket->is_open()) {
    co_return nullptr;
  }
  co_return std::make_shared<FrameConnection>(std::move(*socket));
}

asio::awaitable<void> FrameDialer::ConnectLoop() {
  const auto self = shared_from_this();
  asio::steady_timer reconnect_timer(m_executor);
  while (true) {
    {
      const std::lock_guard lock(m_mutex);
      if (m_stopped) {
        co_return;
      }
    }
    const FrameConnectionPtr connection = co_await Connect();
    if (connection) {
      co_await ReceiveUntilClosed(connection);
    }
    boost::system::error_code ignored;
    reconnect_timer.expires_after(m_options.m_reconnect_delay);
    co_await reconnect_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<void> FrameDialer::ReceiveUntilClosed(
    FrameConnectionPtr connection) {
  const auto closed_signal = std::make_shared<asio::steady_timer>(
      m_executor, asio::steady_timer::time_point::max());
  const auto is_closed = std::make_shared<std::atomic<bool>>(false);
  connection->Start(
      [self = shared_from_this()](const FrameConnectionPtr&,
                                  std::unique_ptr<wire::FrameT> frame) {
        self->m_on_frame(std::move(frame));
      },
      [closed_signal, is_closed](const FrameConnectionPtr&) {
        *is_closed = true;
        asio::post(closed_signal->get_executor(),
                   [closed_signal] { closed_signal->cancel(); });
      });
  {
    const std::lock_guard lock(m_mutex);
    m_connection = connection;
  }
  EventLine(Event::kPeerConnected).Field("peer", m_options.m_peer_name);
  m_on_connect();
  while (!*is_closed) {
    boost::system::error_code ignored;
    co_await closed_signal->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  {
    const std::lock_guard lock(m_mutex);
    m_connection.reset();
  }
  EventLine(Event::kPeerDisconnected, Severity::kWarning)
      .Field("peer", m_options.m_peer_name);
}

}  // namespace bronzebarrow::net
