// Replica: construction, timers, message dispatch, durability and compaction.
#include "bronzebarrow/consensus/replica.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

#include "bronzebarrow/base/check.h"
#include "consensus/replica_messages.h"

namespace bronzebarrow::consensus {
namespace {

// A join request is ignored while the leader changes or another change of the
// membership is not committed, so it is repeated soon.
constexpr int kHeartbeatsPerJoinRequest = 2;

}  // namespace

Replica::Replica(ReplicaOptions options, DurableState durable, Instant now)
    : m_options(std::move(options)),
      m_random(m_options.m_seed),
      m_term(durable.m_hard_state.term),
      m_leader_silent_at(m_last_leader_contact + ContactTimeout()),
      m_log(std::move(durable.m_entries)),
      m_base_index(durable.m_base_index),
      m_base_term(durable.m_base_term),
      m_snapshot(std::move(durable.m_snapshot)),
      m_installed_snapshot(m_snapshot),
      m_next_heartbeat(now),
      m_next_join(now) {
  if (!durable.m_hard_state.voted_for.empty()) {
    m_voted_for = ReplicaId{durable.m_hard_state.voted_for,
                            durable.m_hard_state.voted_generation};
  }
  m_commit_index = m_snapshot ? m_snapshot->last_index : m_base_index;
  m_delivered_index = m_commit_index;
  BRONZEBARROW_INVARIANT(m_commit_index >= m_base_index);
  BRONZEBARROW_INVARIANT(m_commit_index <= last_index());
  m_synced_index = last_index();
  m_first_unbatched_index = last_index() + 1;
  m_memberships.emplace_back(m_base_index, durable.m_base_membership);
  for (const wire::LogEntryT& entry : m_log) {
    ApplyMembershipEntry(entry);
  }
  UpdateVotingRole();
  ResetElectionDeadline(now);
}

void Replica::Tick(Instant now) {
  switch (role()) {
    case Role::kLeader:
      CheckQuorumContact(now);
      if (role() == Role::kLeader) {
        RemoveUnresponsiveMember(now);
        if (now >= m_next_heartbeat) {
          StartRound(now);
        }
      }
      break;
    case Role::kFollower:
    case Role::kPreCandidate:
    case Role::kCandidate:
      if (now >= m_election_deadline) {
        StartPreVote(now);
      }
      break;
    case Role::kLearner:
      break;
  }
  if (IsOutsideGroup(now) && now >= m_next_join) {
    m_next_join =
        now + kHeartbeatsPerJoinRequest * m_options.m_heartbeat_interval;
    SendJoinRequests();
  }
}

// A learner that no leader contacts may have been added by an entry that was
// never committed.
bool Replica::IsOutsideGroup(Instant now) const {
  return !membership().Contains(id()) ||
         (role() == Role::kLearner && now > m_leader_silent_at);
}

void Replica::OnUnattended(Duration span, Instant now) {
  m_election_deadline = Postponed(m_election_deadline, span, now);
  m_leader_silent_at = Postponed(m_leader_silent_at, span, now);
  for (auto& [peer, progress] : m_progress) {
    Instant& last_reply_at = progress.m_last_reply_at;
    const Instant silent_at =
        Postponed(last_reply_at + ContactTimeout(), span, now);
    last_reply_at =
        std::max(last_reply_at, std::min(silent_at - ContactTimeout(), now));
  }
}

Instant Replica::Postponed(Instant due, Duration span, Instant now) const {
  return std::min(due + span,
                  std::max(due, now) + m_options.m_election_timeout);
}

void Replica::Receive(const ReplicaId& from, const wire::BodyUnion& body,
                      Instant now) {
  switch (body.type) {
    case wire::Body::VoteRequest:
      OnVoteRequest(from, *body.AsVoteRequest(), now);
      break;
    case wire::Body::VoteReply:
      OnVoteReply(from, *body.AsVoteReply(), now);
      break;
    case wire::Body::AppendRequest:
      OnAppendRequest(from, *body.AsAppendRequest(), now);
      break;
    case wire::Body::AppendReply:
      OnAppendReply(from, *body.AsAppendReply(), now);
      break;
    case wire::Body::SnapshotRequest:
      OnSnapshotRequest(from, *body.AsSnapshotRequest(), now);
      break;
    case wire::Body::TransferLead:
      OnTransferLead(from, body.AsTransferLead()->term, now);
      break;
    case wire::Body::JoinRequest:
      OnJoinRequest(from, now);
      break;
    default:
      break;
  }
}

std::vector<Outgoing> Replica::TakeMessages(Instant now) {
  if (role() == Role::kLeader) {
    if (m_confirmation_pending && m_confirmed_round == m_last_round) {
      StartRound(now);
    } else if (m_append_pending) {
      for (auto& [peer, progress] : m_progress) {
        if (progress.m_next_index <= last_index()) {
          SendAppend(peer, progress, now);
        }
      }
    }
    m_append_pending = false;
  }
  return std::exchange(m_messages, {});
}

bool Replica::HasBatch() const {
  const bool dirty = m_hard_state_dirty || m_snapshot_dirty ||
                     m_truncate_from != 0 ||
                     m_first_unbatched_index <= last_index();
  return !m_batch_in_flight && (dirty || !m_withheld_for_next_batch.empty());
}

DurableBatchOut Replica::TakeBatch() {
  BRONZEBARROW_INVARIANT(HasBatch());
  DurableBatchOut out;
  wire::DurableBatchT& batch = out.m_batch;
  batch.hard_state = std::make_unique<wire::HardStateT>();
  batch.hard_state->term = m_term;
  if (m_voted_for) {
    batch.hard_state->voted_for = m_voted_for->m_name;
    batch.hard_state->voted_generation = m_voted_for->m_generation;
  }
  std::uint64_t first = m_first_unbatched_index;
  if (m_snapshot_dirty) {
    out.m_snapshot = m_snapshot;
    batch.base_index = m_base_index;
    batch.base_term = m_base_term;
    batch.base_membership = std::make_unique<wire::MembershipT>(
        m_memberships.front().second.ToWire());
    first = m_base_index + 1;
  } else {
    batch.truncate_from = m_truncate_from;
  }
  for (std::uint64_t index = first; index <= last_index(); ++index) {
    batch.entries.push_back(std::make_unique<wire::LogEntryT>(EntryAt(index)));
  }
  m_first_unbatched_index = last_index() + 1;
  m_in_flight_last_index = last_index();
  m_truncate_from = 0;
  m_hard_state_dirty = false;
  m_snapshot_dirty = false;
  m_batch_in_flight = true;
  m_withheld_for_batch_in_flight = std::exchange(m_withheld_for_next_batch, {});
  return out;
}

void Replica::BatchSynced(Instant now) {
  BRONZEBARROW_INVARIANT(m_batch_in_flight);
  m_batch_in_flight = false;
  m_synced_index = std::max(m_synced_index, m_in_flight_last_index);
  std::move(m_withheld_for_batch_in_flight.begin(),
            m_withheld_for_batch_in_flight.end(),
            std::back_inserter(m_messages));
  m_withheld_for_batch_in_flight.clear();
  if (role() == Role::kPreCandidate || role() == Role::kCandidate) {
    CheckVotes(now);
  }
  if (role() == Role::kLeader) {
    AdvanceCommit();
  }
}

std::vector<wire::LogEntryT> Replica::TakeCommitted() {
  std::vector<wire::LogEntryT> committed;
  const std::uint64_t limit = std::min(m_commit_index, m_synced_index);
  while (m_delivered_index < limit) {
    ++m_delivered_index;
    committed.push_back(EntryAt(m_delivered_index));
  }
  return committed;
}

SnapshotPtr Replica::TakeInstalledSnapshot() {
  return std::exchange(m_installed_snapshot, nullptr);
}

void Replica::Compact(std::uint64_t index, std::vector<std::uint8_t> image,
                      std::uint64_t trailing) {
  BRONZEBARROW_INVARIANT(index <= m_delivered_index && index >= m_base_index);
  auto snapshot = std::make_shared<wire::SnapshotFileT>();
  snapshot->last_index = index;
  snapshot->last_term = TermAt(index);
  const Membership* membership_at_index = &m_memberships.front().second;
  for (const auto& [set_at, membership] : m_memberships) {
    if (set_at <= index) {
      membership_at_index = &membership;
    }
  }
  snapshot->membership =
      std::make_unique<wire::MembershipT>(membership_at_index->ToWire());
  snapshot->data = std::move(image);
  m_snapshot = std::move(snapshot);
  const std::uint64_t new_base_index = index > trailing ? index - trailing : 0;
  while (m_base_index < new_base_index) {
    ++m_base_index;
    m_base_term = m_log.front().term;
    m_log.pop_front();
  }
  while (m_memberships.size() > 1 && m_memberships[1].first <= m_base_index) {
    m_memberships.erase(m_memberships.begin());
  }
  m_snapshot_dirty = true;
}

std::uint64_t Replica::last_index() const {
  return m_base_index + m_log.size();
}

std::uint64_t Replica::TermAt(std::uint64_t index) const {
  return index == m_base_index ? m_base_term : EntryAt(index).term;
}

std::uint64_t Replica::LastTerm() const { return TermAt(last_index()); }

const wire::LogEntryT& Replica::EntryAt(std::uint64_t index) const {
  BRONZEBARROW_INVARIANT(index > m_base_index && index <= last_index());
  return m_log[index - m_base_index - 1];
}

void Replica::SendWhenDurable(Outgoing message) {
  const bool nothing_pending = !m_batch_in_flight && !m_hard_state_dirty &&
                               !m_snapshot_dirty && m_truncate_from == 0 &&
                               m_first_unbatched_index > last_index();
  (nothing_pending ? m_messages : m_withheld_for_next_batch)
      .push_back(std::move(message));
}

}  // namespace bronzebarrow::consensus
