// Replica: join requests, promotion of learners and removal of members, one
// membership change at a time.
#include <utility>

#include "bronzebarrow/base/check.h"
#include "bronzebarrow/consensus/replica.h"
#include "bronzebarrow/wire/codec.h"
#include "consensus/replica_messages.h"

namespace bronzebarrow::consensus {

void Replica::SendJoinRequests() {
  for (const std::string& peer : m_options.m_peers) {
    m_messages.push_back(MakeMessage(ReplicaId{peer, 0}, wire::JoinRequestT()));
  }
}

void Replica::OnJoinRequest(const ReplicaId& from, Instant) {
  const bool can_change = IsReadyLeader() && IsMembershipCommitted();
  if (!can_change || membership().Contains(from)) {
    return;
  }
  const auto same_name = membership().FindByName(from.m_name);
  if (!same_name) {
    ProposeMembership(membership().WithLearner(from));
  } else if (same_name->m_id.m_generation < from.m_generation) {
    ProposeMembership(membership().Without(from.m_name));
  }
}

void Replica::SetPeers(std::vector<std::string> peers) {
  m_options.m_peers = std::move(peers);
}

// An unresponsive voter is removed only while the group has more than
// m_min_voters voters, so that it still tolerates the planned number of
// failures. An unresponsive learner is always removed: it only costs messages.
void Replica::RemoveUnresponsiveMember(Instant now) {
  if (m_options.m_remove_unresponsive_after == Duration::zero() ||
      !IsReadyLeader() || !IsMembershipCommitted()) {
    return;
  }
  for (const auto& [peer, progress] : m_progress) {
    const bool unresponsive =
        now > progress.m_last_reply_at + m_options.m_remove_unresponsive_after;
    const bool voter = membership().IsVoter(peer);
    if (unresponsive &&
        (!voter || membership().VoterCount() > m_options.m_min_voters)) {
      ProposeMembership(membership().Without(peer.m_name));
      return;
    }
  }
}

void Replica::ProposeMembership(const Membership& membership) {
  AppendAsLeader(wire::EntryKind::Membership,
                 wire::Encode<wire::Membership>(membership.ToWire()));
}

bool Replica::IsMembershipCommitted() const {
  return m_memberships.back().first <= m_commit_index;
}

void Replica::PromoteCaughtUpLearner() {
  if (!IsReadyLeader() || !IsMembershipCommitted()) {
    return;
  }
  for (const Member& member : membership().members()) {
    const auto progress = m_progress.find(member.m_id);
    if (!member.m_voter && progress != m_progress.end() &&
        progress->second.m_match_index >= m_commit_index) {
      ProposeMembership(membership().WithVoter(member.m_id));
      return;
    }
  }
}

void Replica::ApplyMembershipEntry(const wire::LogEntryT& entry) {
  if (entry.kind != wire::EntryKind::Membership) {
    return;
  }
  const auto message = wire::Decode<wire::Membership>(entry.payload);
  BRONZEBARROW_INVARIANT(message != nullptr);
  m_memberships.emplace_back(entry.index, Membership::FromWire(*message));
  if (role() == Role::kLeader) {
    std::erase_if(m_progress, [&](const auto& item) {
      return !membership().Contains(item.first);
    });
    for (const Member& member : membership().members()) {
      if (member.m_id != id() && !m_progress.contains(member.m_id)) {
        Progress& progress = m_progress[member.m_id];
        progress.m_next_index = last_index();
        progress.m_last_reply_at = m_next_heartbeat;
      }
    }
    return;
  }
  UpdateVotingRole();
}

void Replica::UpdateVotingRole() {
  const bool is_voter = membership().IsVoter(id());
  if (is_voter) {
    m_role.Process(RoleEvent::kBecameVoter);
  } else if (role() != Role::kLeader || IsMembershipCommitted()) {
    m_role.Process(RoleEvent::kNoLongerVoter);
  }
}

}  // namespace bronzebarrow::consensus
