// Maintains one outgoing frame connection to a peer.
#ifndef BRONZEBARROW_NET_FRAME_DIALER_H_
#define BRONZEBARROW_NET_FRAME_DIALER_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "bronzebarrow/base/address.h"
#include "bronzebarrow/net/frame_connection.h"

namespace bronzebarrow::net {

/**
 * Connects to a peer, and reconnects after a delay when the connection is lost
 * or cannot be made. Frames sent without a connection are dropped: the
 * protocols above retransmit what they need.
 */
class FrameDialer : public std::enable_shared_from_this<FrameDialer> {
 public:
  struct Options {
    std::string m_peer_name;
    Address m_address;
    Duration m_reconnect_delay = Millis(150);
  };
  using OnFrame = std::function<void(std::unique_ptr<wire::FrameT>)>;
  using OnConnect = std::function<void()>;

  FrameDialer(const boost::asio::any_io_executor& executor, Options options);

  void Start(OnFrame on_frame, OnConnect on_connect);
  void Stop();
  /**
   * Closes the current connection, e.g. because the peer is unresponsive, and
   * reconnects after the delay.
   */
  void CloseConnection();
  /** @return whether there was a connection; does not confirm delivery. */
  bool Send(const wire::FrameT& frame);
  /** @return bytes that wait to be sent; 0 without a connection. */
  std::size_t unsent_bytes() const;

 private:
  /** Connects and reconnects until stopped. */
  boost::asio::awaitable<void> ConnectLoop();
  /** @return a new connection, or null after an error or a timeout. */
  boost::asio::awaitable<FrameConnectionPtr> Connect();
  /** Receives on `connection` until it is closed. */
  boost::asio::awaitable<void> ReceiveUntilClosed(
      FrameConnectionPtr connection);

  boost::asio::any_io_executor m_executor;  // A strand of this dialer.
  Options m_options;
  OnFrame m_on_frame;
  OnConnect m_on_connect;
  // Guards m_connection and m_stopped; a leaf lock.
  mutable std::mutex m_mutex;
  FrameConnectionPtr m_connection;
  bool m_stopped = false;
};

}  // namespace bronzebarrow::net

#endif  // BRONZEBARROW_NET_FRAME_DIALER_H_
