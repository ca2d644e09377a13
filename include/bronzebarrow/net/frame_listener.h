// Accepts connections of frames and bounds their number.
#ifndef BRONZEBARROW_NET_FRAME_LISTENER_H_
#define BRONZEBARROW_NET_FRAME_LISTENER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <vector>

#include "bronzebarrow/base/address.h"
#include "bronzebarrow/base/failure.h"
#include "bronzebarrow/base/time.h"
#include "bronzebarrow/net/acceptor.h"
#include "bronzebarrow/net/connection_table.h"
#include "bronzebarrow/net/frame_connection.h"

namespace bronzebarrow::net {

struct FrameListenerLimits {
  std::size_t m_max_connections = 500;
  /** Of all connections: frames that are received or not sent yet. */
  std::size_t m_max_bytes = std::size_t{256} << 20;
  /** SO_RCVBUF of each connection; 0: the system's. */
  std::size_t m_receive_buffer_bytes = 0;
};

/**
 * A peer sends its first frame as soon as it is connected. Connections without
 * one at several checks are closed; at the limit, the oldest of them give way
 * to new ones. Checks are counted instead of time, because frames that arrived
 * while this process did not run are read after the first of them. Beyond the
 * limit on bytes, connections that send a large frame or do not read theirs are
 * closed, the one that has taken longest first. Runs on one executor that
 * handles one event at a time.
 */
class FrameListener : public std::enable_shared_from_this<FrameListener> {
 public:
  static constexpr Duration kCheckInterval = Millis(500);
  static constexpr int kChecksForFirstFrame = 4;

  static Result<std::shared_ptr<FrameListener>> Listen(
      boost::asio::any_io_executor executor, const Address& address,
      FrameListenerLimits limits, FrameConnection::OnReceived on_received,
      FrameConnection::OnClose on_close);

  FrameListener(boost::asio::any_io_executor executor,
                FrameListenerLimits limits,
                FrameConnection::OnReceived on_received,
                FrameConnection::OnClose on_close);

 private:
  struct Peer {
    ConnectionTable::Id m_id = 0;
    // Checks that are left until its first frame; 0 once it has sent one.
    int m_checks_left = kChecksForFirstFrame;
    ConnectionState m_state = ConnectionState::kIdle;  // As in m_table.
  };

  void Close(const std::vector<ConnectionTable::Id>& ids);
  void OnFirstFrame(const FrameConnectionPtr& from);
  bool OnHeld(const FrameConnectionPtr& from,
              const FrameConnection::Held& held);
  void SetState(Peer& peer, ConnectionState state);
  void Accept(FrameConnection::Socket socket);
  void Remove(const FrameConnectionPtr& connection);
  void ScheduleCheck();

  ConnectionTable m_table;
  // Connections that are open, by their id in m_table, and the other way round.
  std::map<ConnectionTable::Id, FrameConnectionPtr> m_connections;
  std::map<FrameConnectionPtr, Peer> m_peers;
  FrameConnection::OnReceived m_on_received;
  FrameConnection::OnClose m_on_close;
  boost::asio::steady_timer m_check_timer;
  std::shared_ptr<Acceptor> m_acceptor;
};

}  // namespace bronzebarrow::net

#endif  // BRONZEBARROW_NET_FRAME_LISTENER_H_
