// ControlCore: events, application of commands and leadership confirmations.
#include "bronzebarrow/control/control_core.h"

#include <algorithm>
#include <utility>

#include "bronzebarrow/base/check.h"
#include "bronzebarrow/base/event_log.h"
#include "bronzebarrow/wire/codec.h"

namespace bronzebarrow::control {
namespace {

// Log entries that are kept although a snapshot contains them, so that a
// lagging member can catch up from the log instead of the snapshot.
constexpr std::uint64_t kTrailingEntries = 1024;

}  // namespace

ControlCore::ControlCore(ControlCoreOptions options,
                         consensus::DurableState durable, Moment moment)
    : m_options(std::move(options)),
      m_replica(m_options.m_replica, std::move(durable), moment.m_now),
      m_moment(moment),
      m_next_token(m_options.m_first_token) {
  ProcessReplicaOutput();
}

void ControlCore::Tick(Moment moment) {
  m_moment = moment;
  m_replica.Tick(moment.m_now);
  ProcessReplicaOutput();
  RunDuties();
  ProcessReplicaOutput();
}

void ControlCore::OnPeerMessage(const consensus::ReplicaId& from,
                                const wire::BodyUnion& body, Moment moment) {
  m_moment = moment;
  m_replica.Receive(from, body, moment.m_now);
  ProcessReplicaOutput();
}

void ControlCore::OnSessionMessage(SessionId session, const std::string& sender,
                                   const wire::BodyUnion& body, Moment moment) {
  m_moment = moment;
  if (body.type == wire::Body::LeaseRequest) {
    OnLeaseRequest(session, sender, *body.AsLeaseRequest());
  } else if (body.type == wire::Body::LedgerRequest) {
    OnLedgerRequest(session, *body.AsLedgerRequest());
  }
  ProcessReplicaOutput();
}

void ControlCore::OnSessionClosed(SessionId session) {
  m_sessions.erase(session);
}

void ControlCore::BatchSynced(Moment moment) {
  m_moment = moment;
  m_replica.BatchSynced(moment.m_now);
  ProcessReplicaOutput();
}

bool ControlCore::Propose(wire::CommandBodyUnion body, Moment moment,
                          OnApplied on_applied) {
  m_moment = moment;
  const bool proposed = ProposeCommand(std::move(body), std::move(on_applied));
  ProcessReplicaOutput();
  return proposed;
}

void ControlCore::RequestLeadershipConfirmation(Moment moment,
                                                OnLeadershipConfirmed done) {
  m_moment = moment;
  StartLeadershipConfirmation(std::move(done));
  ProcessReplicaOutput();
}

std::vector<consensus::Outgoing> ControlCore::TakePeerMessages() {
  return m_replica.TakeMessages(m_moment.m_now);
}

std::vector<SessionMessage> ControlCore::TakeSessionMessages() {
  return std::exchange(m_session_messages, {});
}

void ControlCore::ProcessReplicaOutput() {
  HandleRoleChange();
  ApplyCommitted();
  CompleteConfirmations();
}

void ControlCore::HandleRoleChange() {
  const consensus::Role role = m_replica.role();
  if (role == m_last_role && m_replica.term() == m_last_term) {
    return;
  }
  EventLine(Event::kRoleChanged)
      .Field("member", m_replica.id().m_name)
      .Field("role", NameOf(role))
      .Field("term", m_replica.term());
  m_last_role = role;
  m_last_term = m_replica.term();
  AbortPending();
  m_keeper.reset();
  if (role == consensus::Role::kLeader) {
    m_keeper.emplace(m_options.m_leases, m_moment.m_now);
  }
}

bool ControlCore::IsReadyLeader() const {
  return m_keeper.has_value() && m_replica.IsReadyLeader();
}

void ControlCore::ApplyCommitted() {
  if (const auto snapshot = m_replica.TakeInstalledSnapshot()) {
    const bool loaded = m_state.Load(snapshot->data);
    BRONZEBARROW_INVARIANT(loaded);
    m_applied_index = snapshot->last_index;
    m_last_compacted_index = m_applied_index;
    EventLine(Event::kSnapshotInstalled).Field("index", m_applied_index);
  }
  const std::uint64_t config_before = m_state.config_version();
  const std::uint64_t fleet_before = m_state.fleet().version();
  for (const wire::LogEntryT& entry : m_replica.TakeCommitted()) {
    ApplyEntry(entry);
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
  CompactLogIfDue();
}

void ControlCore::ApplyEntry(const wire::LogEntryT& entry) {
  BRONZEBARROW_INVARIANT(entry.index == m_applied_index + 1);
  m_applied_index = entry.index;
  if (entry.kind != wire::EntryKind::Command) {
    return;
  }
  const auto command = wire::Decode<wire::Command>(entry.payload);
  BRONZEBARROW_INVARIANT(command != nullptr);
  const ApplyResult result = m_state.Apply(*command);
  const auto pending = m_pending_commands.find(result.m_token);
  if (pending == m_pending_commands.end()) {
    return;
  }
  const OnApplied on_applied = std::move(pending->second);
  m_pending_commands.erase(pending);
  on_applied(&result);
}

void ControlCore::CompactLogIfDue() {
  if (m_applied_index < m_last_compacted_index + m_options.m_snapshot_entries) {
    return;
  }
  m_last_compacted_index = m_applied_index;
  std::vector<std::uint8_t> image = m_state.Image();
  EventLine(Event::kSnapshotWritten)
      .Field("index", m_applied_index)
      .Field("bytes", image.size());
  m_replica.Compact(m_applied_index, std::move(image), kTrailingEntries);
}

bool ControlCore::ProposeCommand(wire::CommandBodyUnion body,
                                 OnApplied on_applied) {
  wire::CommandT command;
  command.token = ++m_next_token;
  command.time_ms = std::max(m_moment.m_wall_ms, m_state.time_ms());
  command.body = std::move(body);
  const auto position =
      m_replica.Propose(wire::Encode<wire::Command>(command), m_moment.m_now);
  if (!position) {
    return false;
  }
  m_pending_commands[command.token] = std::move(on_applied);
  return true;
}

void ControlCore::StartLeadershipConfirmation(OnLeadershipConfirmed done) {
  const auto round = IsReadyLeader() ? m_replica.RequestLeadershipConfirmation()
                                     : std::nullopt;
  if (!round) {
    done(false);
    return;
  }
  m_pending_confirmations.push_back(
      {*round, m_replica.commit_index(), std::move(done)});
}

void ControlCore::CompleteConfirmations() {
  if (m_pending_confirmations.empty()) {
    return;
  }
  std::vector<PendingConfirmation> completed;
  std::vector<PendingConfirmation> pending;
  for (PendingConfirmation& confirmation : m_pending_confirmations) {
    const bool confirmed =
        confirmation.m_round <= m_replica.confirmed_round() &&
        confirmation.m_read_index <= m_applied_index;
    (confirmed ? completed : pending).push_back(std::move(confirmation));
  }
  m_pending_confirmations = std::move(pending);
  for (const PendingConfirmation& confirmation : completed) {
    confirmation.m_done(true);
  }
}

void ControlCore::AbortPending() {
  for (const PendingConfirmation& confirmation :
       std::exchange(m_pending_confirmations, {})) {
    confirmation.m_done(false);
  }
  for (const auto& [token, on_applied] :
       std::exchange(m_pending_commands, {})) {
    on_applied(nullptr);
  }
  m_duties_in_flight = 0;
}

}  // namespace bronzebarrow::control
