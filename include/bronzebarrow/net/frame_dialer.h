// Keeps one outgoing frame connection to a peer alive.
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
 * Dials, and dials again with a pause after a loss. Frames sent while there is
 * no connection are dropped: the protocols above repeat what matters.
 */
class FrameDialer : public std::enable_shared_from_this<FrameDialer> {
 public:
  struct Options {
    std::string m_peer_name;
    Address m_address;
    Duration m_retry_pause = Millis(150);
  };
  using OnFrame = std::function<void(std::unique_ptr<wire::FrameT>)>;
  using OnConnect = std::function<void()>;

  FrameDialer(const boost::asio::any_io_executor& executor, Options options);

  void Start(OnFrame on_frame, OnConnect on_connect);
  void Stop();
  /** Gives the current connection up, e.g. because it has gone silent. */
  void Reset();
  /** @return whether there was a connection to send on. */
  bool Send(const wire::FrameT& frame);

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<FrameConnectionPtr> Dial();
  boost::asio::awaitable<void> Watch(FrameConnectionPtr connection);

  boost::asio::any_io_executor m_executor;  // A strand.
  Options m_options;
  OnFrame m_on_frame;
  OnConnect m_on_connect;
  mutable std::mutex m_mutex;  // Guards m_connection, m_stopped; a leaf lock.
  FrameConnectionPtr m_connection;
  bool m_stopped = false;
};

}  // namespace bronzebarrow::net

#endif  // BRONZEBARROW_NET_FRAME_DIALER_H_
