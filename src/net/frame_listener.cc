// Accept loop and limits of connections of frames.
#include "bronzebarrow/net/frame_listener.h"

#include <utility>
#include <vector>

#include "bronzebarrow/base/event_log.h"

namespace bronzebarrow::net {
namespace {

namespace asio = boost::asio;

// A peer that holds less than this is served as it sends and reads.
constexpr std::size_t kSmallHeldBytes = std::size_t{64} << 10;

}  // namespace

FrameListener::FrameListener(asio::any_io_executor executor,
                             FrameListenerLimits limits,
                             FrameConnection::OnReceived on_received,
                             FrameConnection::OnClose on_close)
    : m_table(limits.m_max_connections, limits.m_max_bytes),
      m_on_received(std::move(on_received)),
      m_on_close(std::move(on_close)),
      m_check_timer(executor) {}

Result<std::shared_ptr<FrameListener>> FrameListener::Listen(
    asio::any_io_executor executor, const Address& address,
    FrameListenerLimits limits, FrameConnection::OnReceived on_received,
    FrameConnection::OnClose on_close) {
  auto listener = std::make_shared<FrameListener>(
      executor, limits, std::move(on_received), std::move(on_close));
  const std::weak_ptr<FrameListener> weak = listener;
  BOOST_LEAF_ASSIGN(listener->m_acceptor,
                    Acceptor::Listen(
                        executor, address,
                        [weak](FrameConnection::Socket socket) {
                          if (const auto self = weak.lock()) {
                            self->Accept(std::move(socket));
                          }
                        },
                        limits.m_receive_buffer_bytes));
  listener->ScheduleCheck();
  return listener;
}

void FrameListener::Close(const std::vector<ConnectionTable::Id>& ids) {
  for (const ConnectionTable::Id id : ids) {
    const auto found = m_connections.find(id);
    if (found != m_connections.end()) {
      found->second->Close();
    }
  }
}

void FrameListener::Accept(FrameConnection::Socket socket) {
  std::vector<ConnectionTable::Id> to_close;
  const ConnectionTable::Id id = m_table.Add(Now(), to_close);
  Close(to_close);
  if (!m_table.Contains(id)) {
    EventLine(Event::kFrameRefused, Severity::kWarning)
        .Field("why", "too many connections")
        .Field("connections", m_table.size());
    return;
  }
  const auto connection = std::make_shared<FrameConnection>(std::move(socket));
  m_connections[id] = connection;
  m_peers[connection].m_id = id;
  const auto self = shared_from_this();
  connection->LimitPeer([self](const FrameConnectionPtr& from,
                               const FrameConnection::Held& held) {
    return self->OnHeld(from, held);
  });
  connection->StartReceiving(
      [self](const FrameConnectionPtr& from, ReceivedFrame frame) {
        self->OnFirstFrame(from);
        self->m_on_received(from, std::move(frame));
      },
      [self](const FrameConnectionPtr& from) {
        self->Remove(from);
        self->m_on_close(from);
      });
}

// A connection that has sent a frame counts as served and keeps its place.
void FrameListener::OnFirstFrame(const FrameConnectionPtr& from) {
  const auto peer = m_peers.find(from);
  if (peer != m_peers.end() && peer->second.m_checks_left > 0) {
    peer->second.m_checks_left = 0;
    SetState(peer->second, ConnectionState::kServing);
  }
}

bool FrameListener::OnHeld(const FrameConnectionPtr& from,
                           const FrameConnection::Held& held) {
  const auto found = m_peers.find(from);
  if (found == m_peers.end()) {
    return true;
  }
  Peer& peer = found->second;
  if (held.m_unsent > kSmallHeldBytes) {
    SetState(peer, ConnectionState::kWriting);
  } else if (held.m_received > kSmallHeldBytes) {
    SetState(peer, ConnectionState::kReading);
  } else if (peer.m_checks_left == 0) {
    SetState(peer, ConnectionState::kServing);
  }
  const std::vector<ConnectionTable::Id> to_close =
      m_table.SetBytes(peer.m_id, held.m_memory, Now());
  if (!to_close.empty()) {
    EventLine(Event::kFrameRefused, Severity::kWarning)
        .Field("why", "too many bytes are held")
        .Field("closed", to_close.size());
  }
  const bool may_stay = m_table.Contains(peer.m_id);
  Close(to_close);
  return may_stay;
}

void FrameListener::SetState(Peer& peer, ConnectionState state) {
  if (peer.m_state != state) {
    peer.m_state = state;
    m_table.SetState(peer.m_id, state, Now());
  }
}

void FrameListener::Remove(const FrameConnectionPtr& connection) {
  const auto peer = m_peers.find(connection);
  if (peer != m_peers.end()) {
    m_table.Remove(peer->second.m_id);
    m_connections.erase(peer->second.m_id);
    m_peers.erase(peer);
  }
}

void FrameListener::ScheduleCheck() {
  m_check_timer.expires_after(kCheckInterval);
  m_check_timer.async_wait([weak = weak_from_this()](const auto& error) {
    const auto self = weak.lock();
    if (error || !self) {
      return;
    }
    for (auto& [connection, peer] : self->m_peers) {
      if (peer.m_checks_left > 0 && --peer.m_checks_left == 0) {
        connection->Close();
      }
    }
    self->ScheduleCheck();
  });
}

}  // namespace bronzebarrow::net
