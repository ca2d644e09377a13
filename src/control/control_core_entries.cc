// ControlCore: lease and ledger requests from entries, and state updates to
// them.
#include <utility>

#include "bronzebarrow/base/event_log.h"
#include "bronzebarrow/control/control_core.h"

namespace bronzebarrow::control {

template <typename Message>
void ControlCore::Send(SessionId session, Message message) {
  SessionMessage outgoing;
  outgoing.m_session = session;
  outgoing.m_body.Set(std::move(message));
  m_session_messages.push_back(std::move(outgoing));
}

void ControlCore::ReplyNotLeader(SessionId session, std::uint64_t request_id) {
  wire::NotLeaderT reply;
  reply.request_id = request_id;
  reply.leader = m_replica.leader() ? m_replica.leader()->m_name : "";
  Send(session, std::move(reply));
}

void ControlCore::OnLeaseRequest(SessionId id, const std::string& entry,
                                 const wire::LeaseRequestT& request) {
  if (!IsReadyLeader()) {
    ReplyNotLeader(id, 0);
    return;
  }
  if (!m_keeper->IsConfigured(entry)) {
    EventLine(Event::kFrameRefused, Severity::kWarning)
        .Field("reason", "entry_not_in_settings")
        .Field("entry", entry);
    return;
  }
  const bool need_full_view =
      m_keeper->OnReport(entry, request, m_moment.m_now);
  Session& session = m_sessions[id];
  session.m_entry = entry;
  PushState(id, session);
  const std::uint64_t sequence = request.sequence;
  StartLeadershipConfirmation(
      [this, id, entry, sequence, need_full_view](bool confirmed) {
        if (!confirmed) {
          return;
        }
        wire::LeaseGrantT grant;
        grant.sequence = sequence;
        grant.need_full_view = need_full_view;
        grant.config_version = m_state.config_version();
        grant.fleet_version = m_state.fleet().version();
        if (!need_full_view) {
          m_keeper->OnGrant(entry, m_moment.m_now);
          grant.duration_ms = static_cast<std::uint32_t>(
              std::chrono::duration_cast<Millis>(m_keeper->lease()).count());
        }
        Send(id, grant);
      });
}

void ControlCore::OnLedgerRequest(SessionId id,
                                  const wire::LedgerRequestT& request) {
  const std::uint64_t request_id = request.request_id;
  if (!IsReadyLeader() || !request.command) {
    ReplyNotLeader(id, request_id);
    return;
  }
  wire::CommandBodyUnion command;
  command.Set(wire::LedgerCommandT(*request.command));
  ProposeCommand(std::move(command),
                 [this, id, request_id](const ApplyResult* result) {
                   if (result == nullptr) {
                     return;
                   }
                   wire::LedgerReplyT reply;
                   reply.request_id = request_id;
                   reply.verdict = result->m_ledger.m_verdict;
                   reply.status = result->m_ledger.m_status;
                   reply.body = result->m_ledger.m_body;
                   Send(id, std::move(reply));
                 });
}

wire::StateUpdateT ControlCore::MakeStateUpdate(bool with_lists) const {
  wire::StateUpdateT update;
  update.config_version = m_state.config_version();
  update.fleet_version = m_state.fleet().version();
  update.has_lists = with_lists;
  if (with_lists) {
    update.plans = m_state.plans_text();
    update.uses = m_state.uses_text();
  }
  for (const auto& [stop_id, stop] : m_state.fleet().stops()) {
    if (fleet::IsOpen(stop.m_state)) {
      auto notice = std::make_unique<wire::StopNoticeT>();
      notice->stop_id = stop_id;
      notice->instance = stop.m_instance;
      notice->incarnation = stop.m_incarnation;
      notice->state = static_cast<std::int8_t>(stop.m_state);
      update.stops.push_back(std::move(notice));
    }
  }
  return update;
}

void ControlCore::PushState(SessionId id, Session& session) {
  const std::uint64_t config = m_state.config_version();
  const std::uint64_t fleet = m_state.fleet().version();
  if (session.m_pushed_config == config && session.m_pushed_fleet == fleet) {
    return;
  }
  const bool with_lists = session.m_pushed_config != config;
  session.m_pushed_config = config;
  session.m_pushed_fleet = fleet;
  Send(id, MakeStateUpdate(with_lists));
}

void ControlCore::PushStateToAll() {
  if (!IsReadyLeader()) {
    return;
  }
  for (auto& [id, session] : m_sessions) {
    if (!session.m_entry.empty()) {
      PushState(id, session);
    }
  }
}

}  // namespace bronzebarrow::control
