// ControlNode: leases, ledger requests and updates of the entries.
#include <utility>

#include "programs/control/control_node.h"

namespace bronzebarrow::programs {

void ControlNode::Reply(const net::FrameConnectionPtr& connection,
                        wire::BodyUnion body) {
  wire::FrameT frame;
  frame.sender = m_settings.m_name;
  frame.body = std::move(body);
  connection->Send(frame);
}

void ControlNode::OnLeaseRequest(const net::FrameConnectionPtr& connection,
                                 const std::string& entry,
                                 const wire::LeaseRequestT& request) {
  wire::BodyUnion body;
  if (!LeadsReady()) {
    wire::NotLeaderT not_leader;
    not_leader.leader =
        m_replica.leader() ? m_replica.leader()->m_name : std::string();
    body.Set(std::move(not_leader));
    Reply(connection, std::move(body));
    return;
  }
  if (!m_keeper->Knows(entry)) {
    EventLine(Event::kFrameRefused, Severity::kWarning)
        .Field("reason", "entry_not_in_settings")
        .Field("entry", entry);
    return;
  }
  const bool need_full_view = m_keeper->OnReport(entry, request, Now());
  Session& session = m_sessions[connection];
  session.m_entry = entry;
  if (request.config_version < session.m_pushed_config && request.full_view) {
    session.m_pushed_config = 0;
  }
  PushState(connection, session);
  const std::uint64_t sequence = request.sequence;
  RequestProof(
      [this, connection, entry, sequence, need_full_view](bool proven) {
        if (!proven) {
          return;
        }
        wire::LeaseGrantT grant;
        grant.sequence = sequence;
        grant.need_full_view = need_full_view;
        grant.config_version = m_state.config_version();
        grant.fleet_version = m_state.fleet().version();
        if (!need_full_view) {
          m_keeper->OnGrant(entry, Now());
          grant.duration_ms = static_cast<std::uint32_t>(
              std::chrono::duration_cast<Millis>(m_keeper->lease()).count());
        }
        wire::BodyUnion granted;
        granted.Set(std::move(grant));
        Reply(connection, std::move(granted));
      });
}

void ControlNode::OnLedgerRequest(const net::FrameConnectionPtr& connection,
                                  const wire::LedgerRequestT& request) {
  const std::uint64_t request_id = request.request_id;
  if (!LeadsReady() || !request.command) {
    wire::NotLeaderT not_leader;
    not_leader.request_id = request_id;
    not_leader.leader =
        m_replica.leader() ? m_replica.leader()->m_name : std::string();
    wire::BodyUnion body;
    body.Set(std::move(not_leader));
    Reply(connection, std::move(body));
    return;
  }
  wire::CommandBodyUnion command;
  command.Set(wire::LedgerCommandT(*request.command));
  Propose(std::move(command),
          [this, connection, request_id](const control::ApplyResult* result) {
            if (result == nullptr) {
              return;
            }
            wire::LedgerReplyT reply;
            reply.request_id = request_id;
            reply.verdict = result->m_ledger.m_verdict;
            reply.status = result->m_ledger.m_status;
            reply.body = result->m_ledger.m_body;
            wire::BodyUnion body;
            body.Set(std::move(reply));
            Reply(connection, std::move(body));
          });
}

wire::StateUpdateT ControlNode::MakeUpdate(bool with_lists) const {
  wire::StateUpdateT update;
  update.config_version = m_state.config_version();
  update.fleet_version = m_state.fleet().version();
  update.has_lists = with_lists;
  if (with_lists) {
    update.plans = m_state.plans_text();
    update.uses = m_state.uses_text();
  }
  for (const auto& [id, stop] : m_state.fleet().stops()) {
    if (fleet::IsOpen(stop.m_state)) {
      auto notice = std::make_unique<wire::StopNoticeT>();
      notice->stop_id = id;
      notice->instance = stop.m_instance;
      notice->incarnation = stop.m_incarnation;
      notice->state = static_cast<std::int8_t>(stop.m_state);
      update.stops.push_back(std::move(notice));
    }
  }
  return update;
}

void ControlNode::PushState(const net::FrameConnectionPtr& connection,
                            Session& session) {
  const std::uint64_t config = m_state.config_version();
  const std::uint64_t fleet = m_state.fleet().version();
  if (session.m_pushed_config == config && session.m_pushed_fleet == fleet) {
    return;
  }
  const bool with_lists = session.m_pushed_config != config;
  session.m_pushed_config = config;
  session.m_pushed_fleet = fleet;
  wire::BodyUnion body;
  body.Set(MakeUpdate(with_lists));
  Reply(connection, std::move(body));
}

void ControlNode::PushStateToAll() {
  if (!LeadsReady()) {
    return;
  }
  for (auto& [connection, session] : m_sessions) {
    if (!session.m_entry.empty()) {
      PushState(connection, session);
    }
  }
}

}  // namespace bronzebarrow::programs
