// ControlNode: events, consensus I/O and application of commands.
#include "programs/control/control_node.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <cstdlib>
#include <random>
#include <utility>

#include "bronzebarrow/wire/codec.h"

namespace bronzebarrow::programs {
namespace {

namespace asio = boost::asio;

constexpr Duration kTickInterval = Millis(20);
constexpr std::uint64_t kTrailingEntries = 1024;

consensus::ReplicaOptions MakeReplicaOptions(
    const ControlSettings& settings,
    const consensus::LogStore::Recovered& from) {
  consensus::ReplicaOptions options;
  options.m_id = from.m_id;
  options.m_election_timeout = settings.m_election_timeout;
  options.m_heartbeat_interval = settings.m_heartbeat;
  options.m_seed = std::random_device()();
  for (const auto& [name, address] : settings.m_members) {
    if (name != settings.m_name) {
      options.m_peers.push_back(name);
    }
  }
  return options;
}

}  // namespace

ControlNode::ControlNode(asio::any_io_executor executor,
                         ControlSettings settings,
                         std::unique_ptr<consensus::LogStore> store)
    : m_settings(std::move(settings)),
      m_executor(executor),
      m_strand(asio::make_strand(executor)),
      m_tick(m_strand),
      m_store(std::move(store)),
      m_replica(MakeReplicaOptions(m_settings, m_store->recovered()),
                std::move(m_store->recovered().m_state), Now()) {
  std::random_device random;
  m_next_token = static_cast<std::uint64_t>(random()) << 32;
}

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
  const auto on_socket = [self](asio::ip::tcp::socket socket) {
    auto connection = std::make_shared<net::FrameConnection>(std::move(socket));
    connection->Start(
        [self](const net::FrameConnectionPtr& from,
               std::unique_ptr<wire::FrameT> frame) {
          auto shared =
              std::make_shared<std::unique_ptr<wire::FrameT>>(std::move(frame));
          asio::post(self->m_strand, [self, from, shared] {
            self->OnFrame(from, std::move(*shared));
          });
        },
        [self](const net::FrameConnectionPtr& from) {
          asio::post(self->m_strand,
                     [self, from] { self->m_sessions.erase(from); });
        });
  };
  BOOST_LEAF_ASSIGN(
      m_acceptor,
      net::Acceptor::Listen(m_executor, m_settings.m_listen, on_socket));
  BOOST_LEAF_ASSIGN(
      m_http, net::HttpServer::Listen(m_executor, m_settings.m_http,
                                      [self](const net::HttpRequest& request) {
                                        return self->Handle(request);
                                      }));
  asio::post(m_strand, [self] {
    self->Drain();
    self->ScheduleTick();
  });
  return {};
}

void ControlNode::Stop() {
  asio::post(m_strand, [self = shared_from_this()] {
    self->m_stopping = true;
    self->m_tick.cancel();
    self->m_acceptor->Close();
    self->m_http->StopAccepting();
    for (auto& [name, peer] : self->m_peers) {
      peer->Stop();
    }
  });
  m_disk.join();
}

void ControlNode::ScheduleTick() {
  m_tick.expires_after(kTickInterval);
  m_tick.async_wait([self = shared_from_this()](const auto& error) {
    if (error || self->m_stopping) {
      return;
    }
    const Instant now = Now();
    self->m_replica.Tick(now);
    self->Drain();
    self->RunDuties(now);
    self->ScheduleTick();
  });
}

void ControlNode::OnFrame(const net::FrameConnectionPtr& connection,
                          std::unique_ptr<wire::FrameT> frame) {
  if (m_stopping) {
    return;
  }
  switch (frame->body.type) {
    case wire::Body::LeaseRequest:
      OnLeaseRequest(connection, frame->sender, *frame->body.AsLeaseRequest());
      break;
    case wire::Body::LedgerRequest:
      OnLedgerRequest(connection, *frame->body.AsLedgerRequest());
      break;
    default:
      if (frame->receiver_generation == 0 ||
          frame->receiver_generation == m_replica.id().m_generation) {
        m_replica.Receive({frame->sender, frame->generation}, frame->body,
                          Now());
      }
      break;
  }
  Drain();
}

void ControlNode::Drain() {
  SendMessages();
  StartBatch();
  NoteRole();
  ApplyCommitted();
  SettleProofs();
}

void ControlNode::SendMessages() {
  for (consensus::Outgoing& message : m_replica.TakeMessages(Now())) {
    const auto peer = m_peers.find(message.m_to.m_name);
    if (peer == m_peers.end()) {
      continue;
    }
    wire::FrameT frame;
    frame.sender = m_replica.id().m_name;
    frame.generation = m_replica.id().m_generation;
    frame.receiver_generation = message.m_to.m_generation;
    frame.body = std::move(message.m_body);
    peer->second->Send(frame);
  }
}

void ControlNode::StartBatch() {
  if (!m_replica.HasBatch()) {
    return;
  }
  auto batch =
      std::make_shared<consensus::DurableBatchOut>(m_replica.TakeBatch());
  asio::post(m_disk, [self = shared_from_this(), batch] {
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
      self->m_replica.BatchSynced(Now());
      self->Drain();
    });
  });
}

void ControlNode::ApplyCommitted() {
  if (const auto snapshot = m_replica.TakeInstalledSnapshot()) {
    const bool loaded = m_state.Load(snapshot->data);
    BRONZEBARROW_INVARIANT(loaded);
    m_applied_index = snapshot->last_index;
    m_last_compacted = m_applied_index;
    EventLine(Event::kSnapshotInstalled).Field("index", m_applied_index);
  }
  const std::uint64_t config_before = m_state.config_version();
  const std::uint64_t fleet_before = m_state.fleet().version();
  for (const wire::LogEntryT& entry : m_replica.TakeCommitted()) {
    BRONZEBARROW_INVARIANT(entry.index == m_applied_index + 1);
    m_applied_index = entry.index;
    if (entry.kind != wire::EntryKind::Command) {
      continue;
    }
    const auto command = wire::Decode<wire::Command>(entry.payload);
    BRONZEBARROW_INVARIANT(command != nullptr);
    const control::ApplyResult result = m_state.Apply(*command);
    const auto waiting = m_waiting.find(result.m_token);
    if (waiting != m_waiting.end()) {
      const OnApplied on_applied = std::move(waiting->second);
      m_waiting.erase(waiting);
      on_applied(&result);
    }
  }
  BRONZEBARROW_INVARIANT(m_state.config_version() >= config_before);
  if (m_state.config_version() != config_before ||
      m_state.fleet().version() != fleet_before) {
    PushStateToAll();
  }
  if (m_state.config_version() != config_before) {
    EventLine(Event::kChangeCommitted)
        .Field("version", m_state.config_version())
        .Field("index", m_applied_index);
  }
  CompactIfLong();
}

void ControlNode::CompactIfLong() {
  if (m_applied_index < m_last_compacted + m_settings.m_snapshot_entries) {
    return;
  }
  m_last_compacted = m_applied_index;
  std::vector<std::uint8_t> image = m_state.Image();
  EventLine(Event::kSnapshotWritten)
      .Field("index", m_applied_index)
      .Field("bytes", image.size());
  m_replica.Compact(m_applied_index, std::move(image), kTrailingEntries);
  StartBatch();
}

void ControlNode::NoteRole() {
  const consensus::Role role = m_replica.role();
  if (role == m_last_role && m_replica.term() == m_last_term) {
    return;
  }
  EventLine(Event::kRoleChanged)
      .Field("member", m_settings.m_name)
      .Field("role", NameOf(role))
      .Field("term", m_replica.term());
  m_last_role = role;
  m_last_term = m_replica.term();
  FailWaiting();
  m_keeper.reset();
  if (role == consensus::Role::kLeader) {
    control::LeaseKeeperOptions options;
    options.m_entries = m_settings.m_entries;
    options.m_lease = m_settings.m_lease;
    options.m_max_request = m_settings.m_max_request;
    m_keeper.emplace(std::move(options), Now());
  }
}

bool ControlNode::LeadsReady() const {
  return m_keeper.has_value() && m_replica.IsReadyLeader() &&
         m_replica.role() == consensus::Role::kLeader;
}

bool ControlNode::Propose(wire::CommandBodyUnion body, OnApplied on_applied) {
  wire::CommandT command;
  command.token = ++m_next_token;
  command.time_ms = std::max(WallMillis(), m_state.time_ms());
  command.body = std::move(body);
  const auto position =
      m_replica.Propose(wire::Encode<wire::Command>(command), Now());
  if (!position) {
    return false;
  }
  m_waiting[command.token] = std::move(on_applied);
  return true;
}

void ControlNode::RequestProof(std::function<void(bool proven)> done) {
  const auto round = LeadsReady() ? m_replica.RequestProof() : std::nullopt;
  if (!round) {
    done(false);
    return;
  }
  m_proofs.push_back({*round, m_replica.commit_index(), std::move(done)});
}

void ControlNode::SettleProofs() {
  if (m_proofs.empty()) {
    return;
  }
  std::vector<PendingProof> settled;
  std::vector<PendingProof> waiting;
  for (PendingProof& proof : m_proofs) {
    const bool proven = proof.m_round <= m_replica.proven_round() &&
                        proof.m_read_index <= m_applied_index;
    (proven ? settled : waiting).push_back(std::move(proof));
  }
  m_proofs = std::move(waiting);
  for (const PendingProof& proof : settled) {
    proof.m_done(true);
  }
}

void ControlNode::FailWaiting() {
  for (const PendingProof& proof : std::exchange(m_proofs, {})) {
    proof.m_done(false);
  }
  for (const auto& [token, on_applied] : std::exchange(m_waiting, {})) {
    on_applied(nullptr);
  }
  m_duties_in_flight = 0;
}

}  // namespace bronzebarrow::programs
