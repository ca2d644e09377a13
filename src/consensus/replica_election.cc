// Replica: terms, pre-votes, votes and leadership transfer.
#include <algorithm>

#include "bronzebarrow/base/check.h"
#include "bronzebarrow/consensus/replica.h"
#include "consensus/replica_messages.h"

namespace bronzebarrow::consensus {

void Replica::AdoptTerm(std::uint64_t term, Instant now) {
  if (term <= m_term) {
    return;
  }
  m_term = term;
  m_voted_for.reset();
  m_leader.reset();
  m_hard_state_dirty = true;
  if (m_role.Process(RoleEvent::kSteppedDown)) {
    ResetElectionDeadline(now);
  }
}

void Replica::FollowLeader(const ReplicaId& leader, Instant now) {
  BRONZEBARROW_INVARIANT(role() != Role::kLeader);
  BRONZEBARROW_INVARIANT(!m_leader || *m_leader == leader);
  m_role.Process(RoleEvent::kSteppedDown);
  m_leader = leader;
  m_last_leader_contact = now;
  m_leader_silent_at = now + ContactTimeout();
  m_had_leader_contact = true;
  ResetElectionDeadline(now);
}

void Replica::ResetElectionDeadline(Instant now) {
  const auto base = m_options.m_election_timeout.count();
  std::uniform_int_distribution<Duration::rep> jitter(0, base - 1);
  m_election_deadline = now + Duration(base + jitter(m_random));
}

void Replica::StartPreVote(Instant now) {
  if (!m_role.Process(RoleEvent::kElectionTimeout)) {
    return;
  }
  m_leader.reset();
  ResetElectionDeadline(now);
  m_votes_received = {id()};
  BroadcastVoteRequest(m_term + 1, true, false);
  CheckVotes(now);
}

void Replica::StartElection(Instant now) {
  if (m_role.Process(RoleEvent::kPreVoteWon)) {
    RequestVotesInNewTerm(now, false);
  }
}

void Replica::RequestVotesInNewTerm(Instant now, bool transfer) {
  ++m_term;
  m_voted_for = id();
  m_leader.reset();
  m_hard_state_dirty = true;
  m_votes_received = {id()};
  ResetElectionDeadline(now);
  BroadcastVoteRequest(m_term, false, transfer);
}

void Replica::OnTransferLead(const ReplicaId& from, std::uint64_t term,
                             Instant now) {
  const bool from_leader = term == m_term && m_leader && *m_leader == from;
  if (!from_leader || !m_role.Process(RoleEvent::kElectionTimeout)) {
    return;
  }
  m_role.Process(RoleEvent::kPreVoteWon);
  RequestVotesInNewTerm(now, true);
}

bool Replica::TransferLeadership() {
  if (!IsReadyLeader()) {
    return false;
  }
  const Progress* best_progress = nullptr;
  ReplicaId successor;
  for (const auto& [peer, progress] : m_progress) {
    const bool better = best_progress == nullptr ||
                        progress.m_match_index > best_progress->m_match_index;
    if (membership().IsVoter(peer) && better) {
      best_progress = &progress;
      successor = peer;
    }
  }
  if (best_progress == nullptr) {
    return false;
  }
  wire::TransferLeadT transfer;
  transfer.term = m_term;
  m_messages.push_back(MakeMessage(successor, transfer));
  return true;
}

void Replica::BroadcastVoteRequest(std::uint64_t term, bool pre_vote,
                                   bool transfer) {
  wire::VoteRequestT request;
  request.transfer = transfer;
  request.term = term;
  request.pre_vote = pre_vote;
  request.last_index = last_index();
  request.last_term = LastTerm();
  for (const Member& member : membership().members()) {
    if (member.m_voter && member.m_id != id()) {
      SendWhenDurable(MakeMessage(member.m_id, request));
    }
  }
}

bool Replica::IsLogUpToDate(std::uint64_t other_last_index,
                            std::uint64_t other_last_term) const {
  if (other_last_term != LastTerm()) {
    return other_last_term > LastTerm();
  }
  return other_last_index >= last_index();
}

void Replica::OnVoteRequest(const ReplicaId& from,
                            const wire::VoteRequestT& request, Instant now) {
  const bool leader_is_active =
      role() == Role::kLeader ||
      (m_leader && m_had_leader_contact &&
       now < m_last_leader_contact + m_options.m_election_timeout);
  if (role() == Role::kLeader && !membership().Contains(from)) {
    // A replica that was removed while it was unreachable still requests votes,
    // because it does not have the log entry that removed it. Its request is
    // handled as a join request.
    OnJoinRequest(from, now);
    return;
  }
  if (leader_is_active && request.term > m_term && !request.transfer) {
    return;
  }
  if (!request.pre_vote) {
    AdoptTerm(request.term, now);
  }
  wire::VoteReplyT reply;
  reply.pre_vote = request.pre_vote;
  reply.term = m_term;
  const bool log_up_to_date =
      IsLogUpToDate(request.last_index, request.last_term);
  if (request.pre_vote) {
    reply.granted = request.term > m_term && log_up_to_date;
    reply.term = reply.granted ? request.term : m_term;
  } else if (request.term == m_term && log_up_to_date &&
             (!m_voted_for || *m_voted_for == from)) {
    reply.granted = true;
    if (!m_voted_for) {
      m_voted_for = from;
      m_hard_state_dirty = true;
      ResetElectionDeadline(now);
    }
  }
  SendWhenDurable(MakeMessage(from, reply));
}

void Replica::OnVoteReply(const ReplicaId& from, const wire::VoteReplyT& reply,
                          Instant now) {
  if (!reply.granted) {
    AdoptTerm(reply.term, now);
    return;
  }
  const bool expected =
      (reply.pre_vote && role() == Role::kPreCandidate &&
       reply.term == m_term + 1) ||
      (!reply.pre_vote && role() == Role::kCandidate && reply.term == m_term);
  if (expected && membership().IsVoter(from)) {
    m_votes_received.insert(from);
    CheckVotes(now);
  }
}

void Replica::CheckVotes(Instant now) {
  const auto votes = static_cast<std::size_t>(std::count_if(
      m_votes_received.begin(), m_votes_received.end(),
      [&](const ReplicaId& id) { return membership().IsVoter(id); }));
  if (votes < membership().Quorum()) {
    return;
  }
  if (role() == Role::kPreCandidate) {
    StartElection(now);
  } else if (role() == Role::kCandidate && !m_hard_state_dirty &&
             !m_batch_in_flight) {
    BecomeLeader(now);
  }
}

void Replica::BecomeLeader(Instant now) {
  if (!m_role.Process(RoleEvent::kVoteWon)) {
    return;
  }
  m_leader = id();
  m_progress.clear();
  m_confirmed_round = m_last_round;
  m_unconfirmed_rounds.clear();
  m_confirmed_at.reset();
  m_confirmation_pending = false;
  for (const Member& member : membership().members()) {
    if (member.m_id != id()) {
      Progress& progress = m_progress[member.m_id];
      progress.m_next_index = last_index() + 1;
      progress.m_last_reply_at = now;
    }
  }
  m_term_start_index = AppendAsLeader(wire::EntryKind::Noop, {}).m_index;
  StartRound(now);
}

void Replica::CheckQuorumContact(Instant now) {
  std::size_t responsive_voters = 1;
  for (const auto& [peer, progress] : m_progress) {
    responsive_voters +=
        IsResponsive(progress, now) && membership().IsVoter(peer) ? 1 : 0;
  }
  if (responsive_voters < membership().Quorum()) {
    m_role.Process(RoleEvent::kSteppedDown);
    m_leader.reset();
    ResetElectionDeadline(now);
  }
}

}  // namespace bronzebarrow::consensus
