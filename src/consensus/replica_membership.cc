// Replica: join requests, promotion of learners and removal of members, one
// membership change at a time.
#include <algorithm>
#include <utility>
#include <vector>

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

// A member that has lost its disk rejoins as a new generation. Its learner
// takes the place of the voter in one change; the voter is lost in any case.
// The learner before it is promoted first if the quorum would become too small.
void Replica::OnJoinRequest(const ReplicaId& from, Instant now) {
  if (!IsReadyLeader() || !IsMembershipCommitted() ||
      membership().Contains(from)) {
    return;
  }
  const auto same_name = membership().FindByName(from.m_name);
  if (same_name && HasJustReplied(same_name->m_id, now)) {
    return;  // The request was sent by an earlier generation.
  }
  const bool removes_voter = same_name && same_name->m_voter;
  if (removes_voter && !MayRemoveVoter() && HasLearner()) {
    return;
  }
  ProposeMembership(membership().WithLearner(from));
}

void Replica::SetPeers(std::vector<std::string> peers) {
  m_options.m_peers = std::move(peers);
}

bool Replica::IsResponsive(const Progress& progress, Instant now) const {
  return now < progress.m_last_reply_at + ContactTimeout();
}

const Member* Replica::FindUnresponsiveVoter(Instant now) const {
  for (const Member& member : membership().members()) {
    const auto progress = m_progress.find(member.m_id);
    if (member.m_voter && progress != m_progress.end() &&
        !IsResponsive(progress->second, now)) {
      return &member;
    }
  }
  return nullptr;
}

// With one voter less, the quorum must stay as large as f + 1, so that f lost
// disks never hold all copies of an entry, or as large as it is.
bool Replica::MayRemoveVoter() const {
  const std::size_t voters = membership().VoterCount();
  return voters > m_options.m_min_voters || voters % 2 == 1;
}

// A member that runs replies to each round, at least once a heartbeat.
bool Replica::HasJustReplied(const ReplicaId& peer, Instant now) const {
  const auto progress = m_progress.find(peer);
  return progress != m_progress.end() &&
         now < progress->second.m_last_reply_at +
                   2 * m_options.m_heartbeat_interval;
}

bool Replica::HasLearner() const {
  const std::vector<Member>& members = membership().members();
  return std::any_of(members.begin(), members.end(),
                     [](const Member& member) { return !member.m_voter; });
}

// A voter that does not reply still counts for the quorum, so it is removed
// before further members can fail. It rejoins as a learner if it returns. An
// unresponsive learner only costs messages and is always removed.
void Replica::RemoveUnresponsiveMember(Instant now) {
  if (!m_options.m_removes_unresponsive || !IsReadyLeader() ||
      !IsMembershipCommitted()) {
    return;
  }
  for (const auto& [peer, progress] : m_progress) {
    if (!IsResponsive(progress, now) &&
        (!membership().IsVoter(peer) ||
         membership().VoterCount() > m_options.m_min_voters)) {
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

// A learner takes the place of an unresponsive voter: the voter is removed
// first, because one voter more would raise the quorum while one is missing.
void Replica::PromoteCaughtUpLearner(Instant now) {
  if (!IsReadyLeader() || !IsMembershipCommitted()) {
    return;
  }
  for (const Member& member : membership().members()) {
    const auto progress = m_progress.find(member.m_id);
    if (member.m_voter || progress == m_progress.end() ||
        progress->second.m_match_index < m_commit_index) {
      continue;
    }
    const Member* const unresponsive =
        m_options.m_removes_unresponsive && MayRemoveVoter()
            ? FindUnresponsiveVoter(now)
            : nullptr;
    ProposeMembership(unresponsive != nullptr
                          ? membership().Without(unresponsive->m_id.m_name)
                          : membership().WithVoter(member.m_id));
    return;
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
