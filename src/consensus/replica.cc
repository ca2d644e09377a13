// Replica: construction, timers, message dispatch, durability and compaction.
#include "bronzebarrow/consensus/replica.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

#include "bronzebarrow/base/check.h"
#include "consensus/replica_messages.h"

namespace bronzebarrow::consensus {

Replica::Replica(ReplicaOptions options, DurableState durable, Instant now)
    : m_options(std::move(options)),
      m_random(m_options.m_seed),
      m_term(durable.m_hard_state.term),
      m_log(std::move(durable.m_entries)),
      m_base_index(durable.m_base_index),
      m_base_term(durable.m_base_term),
      m_snapshot(std::move(durable.m_snapshot)),
      m_installed(m_snapshot),
      m_next_heartbeat(now),
      m_next_join(now) {
  if (!durable.m_hard_state.voted_for.empty()) {
    m_vote = ReplicaId{durable.m_hard_state.voted_for,
                       durable.m_hard_state.voted_generation};
  }
  m_commit = m_snapshot ? m_snapshot->last_index : m_base_index;
  m_delivered = m_commit;
  BRONZEBARROW_INVARIANT(m_commit >= m_base_index);
  BRONZEBARROW_INVARIANT(m_commit <= last_index());
  m_synced = last_index();
  m_unsaved_from = last_index() + 1;
  m_memberships.emplace_back(m_base_index, durable.m_base_membership);
  for (const wire::LogEntryT& entry : m_log) {
    ApplyMembershipEntry(entry);
  }
  RefreshVotingRole();
  ResetElectionDeadline(now);
}

void Replica::Tick(Instant now) {
  switch (role()) {
    case Role::kLeader:
      CheckQuorumContact(now);
      if (role() == Role::kLeader && now >= m_next_heartbeat) {
        StartRound(now);
        RemoveLostMember(now);
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
  if (!membership().Contains(id()) && now >= m_next_join) {
    m_next_join = now + 2 * m_options.m_election_timeout;
    SendJoinRequests();
  }
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
    if (m_proof_wanted && m_proven_round == m_round) {
      StartRound(now);
    } else if (m_append_wanted) {
      for (auto& [peer, progress] : m_progress) {
        if (progress.m_next <= last_index()) {
          SendAppend(peer, progress, now);
        }
      }
    }
    m_append_wanted = false;
  }
  return std::exchange(m_messages, {});
}

bool Replica::HasBatch() const {
  const bool dirty = m_hard_dirty || m_snapshot_dirty || m_truncate_from != 0 ||
                     m_unsaved_from <= last_index();
  return !m_in_flight && (dirty || !m_gated.empty());
}

DurableBatchOut Replica::TakeBatch() {
  BRONZEBARROW_INVARIANT(HasBatch());
  DurableBatchOut out;
  wire::DurableBatchT& batch = out.m_batch;
  batch.hard_state = std::make_unique<wire::HardStateT>();
  batch.hard_state->term = m_term;
  if (m_vote) {
    batch.hard_state->voted_for = m_vote->m_name;
    batch.hard_state->voted_generation = m_vote->m_generation;
  }
  std::uint64_t first = m_unsaved_from;
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
  m_unsaved_from = last_index() + 1;
  m_in_flight_last = last_index();
  m_truncate_from = 0;
  m_hard_dirty = false;
  m_snapshot_dirty = false;
  m_in_flight = true;
  m_in_flight_gated = std::exchange(m_gated, {});
  return out;
}

void Replica::BatchSynced(Instant now) {
  BRONZEBARROW_INVARIANT(m_in_flight);
  m_in_flight = false;
  m_synced = std::max(m_synced, m_in_flight_last);
  std::move(m_in_flight_gated.begin(), m_in_flight_gated.end(),
            std::back_inserter(m_messages));
  m_in_flight_gated.clear();
  if (role() == Role::kPreCandidate || role() == Role::kCandidate) {
    CheckVotes(now);
  }
  if (role() == Role::kLeader) {
    AdvanceCommit();
  }
}

std::vector<wire::LogEntryT> Replica::TakeCommitted() {
  std::vector<wire::LogEntryT> committed;
  const std::uint64_t limit = std::min(m_commit, m_synced);
  while (m_delivered < limit) {
    ++m_delivered;
    committed.push_back(EntryAt(m_delivered));
  }
  return committed;
}

SnapshotPtr Replica::TakeInstalledSnapshot() {
  return std::exchange(m_installed, nullptr);
}

void Replica::Compact(std::uint64_t index, std::vector<std::uint8_t> image,
                      std::uint64_t trailing) {
  BRONZEBARROW_INVARIANT(index <= m_delivered && index >= m_base_index);
  auto snapshot = std::make_shared<wire::SnapshotFileT>();
  snapshot->last_index = index;
  snapshot->last_term = TermAt(index);
  const Membership* at_index = &m_memberships.front().second;
  for (const auto& [set_at, membership] : m_memberships) {
    if (set_at <= index) {
      at_index = &membership;
    }
  }
  snapshot->membership =
      std::make_unique<wire::MembershipT>(at_index->ToWire());
  snapshot->data = std::move(image);
  m_snapshot = std::move(snapshot);
  const std::uint64_t keep_from = index > trailing ? index - trailing : 0;
  while (m_base_index < keep_from) {
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

void Replica::Gate(Outgoing message) {
  const bool clean = !m_in_flight && !m_hard_dirty && !m_snapshot_dirty &&
                     m_truncate_from == 0 && m_unsaved_from > last_index();
  (clean ? m_messages : m_gated).push_back(std::move(message));
}

}  // namespace bronzebarrow::consensus
