// ControlNode: connections, timer and disk writes.
#include "programs/control/control_node.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <cstdlib>
#include <random>
#include <utility>

namespace bronzebarrow::programs {
namespace {

namespace asio = boost::asio;

constexpr Duration kTickInterval = Millis(20);

control::ControlCoreOptions MakeCoreOptions(const ControlSettings& settings,
                                            const consensus::ReplicaId& id) {
  std::random_device random;
  control::ControlCoreOptions options;
  options.m_replica.m_id = id;
  options.m_replica.m_election_timeout = settings.m_election_timeout;
  options.m_replica.m_heartbeat_interval = settings.m_heartbeat;
  options.m_replica.m_seed = random();
  for (const auto& [name, address] : settings.m_members) {
    if (name != settings.m_name) {
      options.m_replica.m_peers.push_back(name);
    }
  }
  options.m_leases.m_entries = settings.m_entries;
  options.m_leases.m_lease = settings.m_lease;
  options.m_leases.m_max_request = settings.m_max_request;
  options.m_snapshot_entries = settings.m_snapshot_entries;
  options.m_first_token = static_cast<std::uint64_t>(random()) << 32;
  return options;
}

}  // namespace

ControlNode::ControlNode(asio::any_io_executor executor,
                         ControlSettings settings,
                         std::unique_ptr<consensus::LogStore> store)
    : m_settings(std::move(settings)),
      m_executor(executor),
      m_strand(asio::make_strand(executor)),
      m_tick_timer(m_strand),
      m_store(std::move(store)),
      m_id(m_store->recovered().m_id),
      m_core(MakeCoreOptions(m_settings, m_id),
             std::move(m_store->recovered().m_state), CurrentMoment()) {}

Result<void> ControlNode::Start() {
  const auto self = shared_from_this();
  for (const auto& [name, address] : m_settings.m_members) {
    if (name == m_settings.m_name) {
      continue;
    }
    auto peer = std::make_shared<net::FrameDialer>(
        m_executor, net::FrameDialer::Options{name, address});
    peer->Start([](std::unique_ptr<wire::FrameT>) {}, [] {});
    m_peers[name] = std::move(peer);
  }
  const auto on_accept = [self](asio::ip::tcp::socket socket) {
    auto connection = std::make_shared<net::FrameConnection>(std::move(socket));
    connection->Start(
        [self](const net::FrameConnectionPtr& from,
               std::unique_ptr<wire::FrameT> frame) {
          auto shared_frame =
              std::make_shared<std::unique_ptr<wire::FrameT>>(std::move(frame));
          asio::post(self->m_strand, [self, from, shared_frame] {
            self->OnFrame(from, std::move(*shared_frame));
          });
        },
        [self](const net::FrameConnectionPtr& from) {
          asio::post(self->m_strand, [self, from] { self->OnClosed(from); });
        });
  };
  BOOST_LEAF_ASSIGN(
      m_acceptor,
      net::Acceptor::Listen(m_executor, m_settings.m_listen, on_accept));
  BOOST_LEAF_ASSIGN(
      m_http, net::HttpServer::Listen(m_executor, m_settings.m_http,
                                      [self](const net::HttpRequest& request) {
                                        return self->Handle(request);
                                      }));
  asio::post(m_strand, [self] {
    self->Flush();
    self->ScheduleTick();
  });
  return {};
}

void ControlNode::Stop() {
  asio::post(m_strand, [self = shared_from_this()] {
    self->m_stopping = true;
    self->m_tick_timer.cancel();
    self->m_acceptor->Close();
    self->m_http->StopAccepting();
    for (auto& [name, peer] : self->m_peers) {
      peer->Stop();
    }
  });
  m_disk_thread.join();
}

void ControlNode::ScheduleTick() {
  m_tick_timer.expires_after(kTickInterval);
  m_tick_timer.async_wait([self = shared_from_this()](const auto& error) {
    if (error || self->m_stopping) {
      return;
    }
    self->m_core.Tick(CurrentMoment());
    self->Flush();
    self->ScheduleTick();
  });
}

void ControlNode::OnFrame(const net::FrameConnectionPtr& connection,
                          std::unique_ptr<wire::FrameT> frame) {
  if (m_stopping) {
    return;
  }
  const bool is_entry_request = frame->body.type == wire::Body::LeaseRequest ||
                                frame->body.type == wire::Body::LedgerRequest;
  if (is_entry_request) {
    const auto [session, inserted] =
        m_session_ids.emplace(connection, m_next_session);
    if (inserted) {
      m_connections[m_next_session++] = connection;
    }
    m_core.OnSessionMessage(session->second, frame->sender, frame->body,
                            CurrentMoment());
  } else if (frame->receiver_generation == 0 ||
             frame->receiver_generation == m_id.m_generation) {
    m_core.OnPeerMessage({frame->sender, frame->generation}, frame->body,
                         CurrentMoment());
  }
  Flush();
}

void ControlNode::OnClosed(const net::FrameConnectionPtr& connection) {
  const auto session = m_session_ids.find(connection);
  if (session != m_session_ids.end()) {
    m_core.OnSessionClosed(session->second);
    m_connections.erase(session->second);
    m_session_ids.erase(session);
  }
}

void ControlNode::Flush() {
  for (consensus::Outgoing& message : m_core.TakePeerMessages()) {
    SendToPeer(std::move(message));
  }
  StartDiskWrite();
  for (control::SessionMessage& message : m_core.TakeSessionMessages()) {
    const auto connection = m_connections.find(message.m_session);
    if (connection != m_connections.end()) {
      wire::FrameT frame;
      frame.sender = m_id.m_name;
      frame.body = std::move(message.m_body);
      connection->second->Send(frame);
    }
  }
}

void ControlNode::SendToPeer(consensus::Outgoing message) {
  const auto peer = m_peers.find(message.m_to.m_name);
  if (peer == m_peers.end()) {
    return;
  }
  wire::FrameT frame;
  frame.sender = m_id.m_name;
  frame.generation = m_id.m_generation;
  frame.receiver_generation = message.m_to.m_generation;
  frame.body = std::move(message.m_body);
  peer->second->Send(frame);
}

void ControlNode::StartDiskWrite() {
  if (!m_core.HasBatch()) {
    return;
  }
  auto batch = std::make_shared<consensus::DurableBatchOut>(m_core.TakeBatch());
  asio::post(m_disk_thread, [self = shared_from_this(), batch] {
    const auto written = Capture<bool>([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(self->m_store->Write(*batch));
      return true;
    });
    if (const auto* failure = std::get_if<Failure>(&written)) {
      EventLine(Event::kProcessStopped, Severity::kError)
          .Field("code", failure->m_code)
          .Field("context", failure->m_context);
      std::_Exit(EXIT_FAILURE);
    }
    asio::post(self->m_strand, [self] {
      self->m_core.BatchSynced(CurrentMoment());
      self->Flush();
    });
  });
}

}  // namespace bronzebarrow::programs
