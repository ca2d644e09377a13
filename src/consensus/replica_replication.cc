// Replica: replication of entries and snapshots, commit index, leadership
// confirmation.
#include <algorithm>
#include <functional>

#include "bronzebarrow/base/check.h"
#include "bronzebarrow/consensus/replica.h"
#include "consensus/replica_messages.h"

namespace bronzebarrow::consensus {

bool Replica::IsReadyLeader() const {
  return role() == Role::kLeader && m_commit >= m_term_start;
}

std::optional<LogPosition> Replica::Propose(std::vector<std::uint8_t> payload,
                                            Instant) {
  if (role() != Role::kLeader) {
    return std::nullopt;
  }
  return AppendLocal(wire::EntryKind::Command, std::move(payload));
}

std::optional<std::uint64_t> Replica::RequestProof() {
  if (!IsReadyLeader()) {
    return std::nullopt;
  }
  m_proof_wanted = true;
  return m_round + 1;
}

LogPosition Replica::AppendLocal(wire::EntryKind kind,
                                 std::vector<std::uint8_t> payload) {
  wire::LogEntryT entry;
  entry.index = last_index() + 1;
  entry.term = m_term;
  entry.kind = kind;
  entry.payload = std::move(payload);
  m_log.push_back(std::move(entry));
  m_append_wanted = true;
  ApplyMembershipEntry(m_log.back());
  return {last_index(), m_term};
}

void Replica::StartRound(Instant now) {
  ++m_round;
  m_rounds_sent.emplace_back(m_round, now);
  m_proof_wanted = false;
  m_append_wanted = false;
  m_next_heartbeat = now + m_options.m_heartbeat_interval;
  for (auto& [peer, progress] : m_progress) {
    SendAppend(peer, progress, now);
  }
  AdvanceProvenRound();
}

void Replica::SendAppend(const ReplicaId& to, Progress& progress, Instant now) {
  if (progress.m_next <= m_base_index) {
    SendSnapshot(to, progress, now);
    return;
  }
  wire::AppendRequestT request;
  request.term = m_term;
  request.prev_index = progress.m_next - 1;
  request.prev_term = TermAt(request.prev_index);
  request.commit = m_commit;
  request.round = m_round;
  const std::uint64_t window = 4 * m_options.m_max_append_entries;
  std::size_t bytes = 0;
  while (progress.m_next <= last_index() &&
         request.entries.size() < m_options.m_max_append_entries &&
         bytes < m_options.m_max_append_bytes &&
         progress.m_next <= progress.m_match + window) {
    const wire::LogEntryT& entry = EntryAt(progress.m_next);
    bytes += entry.payload.size();
    request.entries.push_back(std::make_unique<wire::LogEntryT>(entry));
    ++progress.m_next;
  }
  m_messages.push_back(Make(to, std::move(request)));
}

void Replica::SendSnapshot(const ReplicaId& to, Progress& progress,
                           Instant now) {
  const bool waiting =
      progress.m_snapshot_sent &&
      now < *progress.m_snapshot_sent + m_options.m_snapshot_retry;
  if (waiting) {
    return;
  }
  BRONZEBARROW_INVARIANT(m_snapshot != nullptr);
  progress.m_snapshot_sent = now;
  wire::SnapshotRequestT request;
  request.term = m_term;
  request.round = m_round;
  request.snapshot = std::make_unique<wire::SnapshotFileT>(*m_snapshot);
  m_messages.push_back(Make(to, std::move(request)));
}

void Replica::ReplyAppend(const ReplicaId& to, bool success,
                          std::uint64_t match, std::uint64_t hint,
                          std::uint64_t round) {
  wire::AppendReplyT reply;
  reply.term = m_term;
  reply.success = success;
  reply.match_index = match;
  reply.hint_index = hint;
  reply.round = round;
  Gate(Make(to, reply));
}

std::uint64_t Replica::HintFor(std::uint64_t index) const {
  if (index > last_index()) {
    return last_index();
  }
  const std::uint64_t term = TermAt(index);
  std::uint64_t hint = index;
  while (hint > m_commit && hint > m_base_index && TermAt(hint) == term) {
    --hint;
  }
  return hint;
}

void Replica::OnAppendRequest(const ReplicaId& from,
                              const wire::AppendRequestT& request,
                              Instant now) {
  if (request.term < m_term) {
    ReplyAppend(from, false, 0, last_index(), 0);
    return;
  }
  AdoptTerm(request.term, now);
  FollowLeader(from, now);
  if (!AppendFromLeader(request)) {
    ReplyAppend(from, false, 0, HintFor(request.prev_index), request.round);
    return;
  }
  const std::uint64_t match =
      std::max(request.prev_index + request.entries.size(), m_base_index);
  m_commit = std::max(m_commit, std::min(request.commit, match));
  ReplyAppend(from, true, match, match, request.round);
}

bool Replica::AppendFromLeader(const wire::AppendRequestT& request) {
  const std::uint64_t prev = request.prev_index;
  if (prev > last_index() ||
      (prev >= m_base_index && TermAt(prev) != request.prev_term)) {
    return false;
  }
  for (const auto& entry : request.entries) {
    if (entry->index <= m_base_index) {
      continue;
    }
    if (entry->index <= last_index()) {
      if (TermAt(entry->index) == entry->term) {
        continue;
      }
      TruncateFrom(entry->index);
    }
    BRONZEBARROW_INVARIANT(entry->index == last_index() + 1);
    m_log.push_back(*entry);
    ApplyMembershipEntry(m_log.back());
  }
  return true;
}

void Replica::TruncateFrom(std::uint64_t index) {
  BRONZEBARROW_INVARIANT(index > m_commit);
  while (last_index() >= index) {
    m_log.pop_back();
  }
  if (index < m_unsaved_from) {
    m_truncate_from =
        m_truncate_from == 0 ? index : std::min(m_truncate_from, index);
    m_unsaved_from = index;
  }
  m_synced = std::min(m_synced, index - 1);
  m_in_flight_last = std::min(m_in_flight_last, index - 1);
  while (m_memberships.size() > 1 && m_memberships.back().first >= index) {
    m_memberships.pop_back();
  }
  RefreshVotingRole();
}

void Replica::OnAppendReply(const ReplicaId& from,
                            const wire::AppendReplyT& reply, Instant now) {
  AdoptTerm(reply.term, now);
  const auto found = m_progress.find(from);
  if (role() != Role::kLeader || reply.term != m_term ||
      found == m_progress.end()) {
    return;
  }
  Progress& progress = found->second;
  progress.m_last_ack = now;
  progress.m_round = std::max(progress.m_round, reply.round);
  AdvanceProvenRound();
  if (!reply.success) {
    progress.m_next = std::max(progress.m_match + 1,
                               std::min(progress.m_next, reply.hint_index + 1));
    SendAppend(from, progress, now);
    return;
  }
  progress.m_snapshot_sent.reset();
  progress.m_match = std::max(progress.m_match, reply.match_index);
  progress.m_next = std::max(progress.m_next, progress.m_match + 1);
  AdvanceCommit();
  PromoteCaughtUpLearner();
  if (role() != Role::kLeader) {
    return;
  }
  const auto still = m_progress.find(from);
  if (still != m_progress.end() && still->second.m_next <= last_index()) {
    SendAppend(from, still->second, now);
  }
}

void Replica::OnSnapshotRequest(const ReplicaId& from,
                                const wire::SnapshotRequestT& request,
                                Instant now) {
  if (request.term < m_term || !request.snapshot ||
      !request.snapshot->membership) {
    ReplyAppend(from, false, 0, last_index(), 0);
    return;
  }
  AdoptTerm(request.term, now);
  FollowLeader(from, now);
  const wire::SnapshotFileT& snapshot = *request.snapshot;
  if (snapshot.last_index > m_commit) {
    const bool keeps_tail = snapshot.last_index <= last_index() &&
                            TermAt(snapshot.last_index) == snapshot.last_term;
    std::vector<std::pair<std::uint64_t, Membership>> memberships;
    memberships.emplace_back(snapshot.last_index,
                             Membership::FromWire(*snapshot.membership));
    if (keeps_tail) {
      m_log.erase(m_log.begin(),
                  m_log.begin() + static_cast<std::ptrdiff_t>(
                                      snapshot.last_index - m_base_index));
      for (const auto& later : m_memberships) {
        if (later.first > snapshot.last_index) {
          memberships.push_back(later);
        }
      }
    } else {
      m_log.clear();
    }
    m_memberships = std::move(memberships);
    m_base_index = snapshot.last_index;
    m_base_term = snapshot.last_term;
    m_commit = snapshot.last_index;
    m_delivered = snapshot.last_index;
    m_synced = std::clamp(m_synced, m_base_index, last_index());
    m_in_flight_last = std::min(m_in_flight_last, last_index());
    m_unsaved_from = m_base_index + 1;
    m_truncate_from = 0;
    m_snapshot = std::make_shared<wire::SnapshotFileT>(snapshot);
    m_installed = m_snapshot;
    m_snapshot_dirty = true;
    RefreshVotingRole();
  }
  ReplyAppend(from, true, m_commit, m_commit, request.round);
}

void Replica::AdvanceCommit() {
  std::vector<std::uint64_t> matches;
  for (const Member& member : membership().members()) {
    if (!member.m_voter) {
      continue;
    }
    const auto progress = m_progress.find(member.m_id);
    const std::uint64_t peer_match =
        progress == m_progress.end() ? 0 : progress->second.m_match;
    matches.push_back(member.m_id == id() ? m_synced : peer_match);
  }
  if (matches.empty()) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const std::uint64_t agreed = matches[membership().Quorum() - 1];
  if (agreed > m_commit && TermAt(agreed) == m_term) {
    m_commit = agreed;
    RefreshVotingRole();
  }
}

void Replica::AdvanceProvenRound() {
  std::vector<std::uint64_t> rounds;
  for (const Member& member : membership().members()) {
    if (!member.m_voter) {
      continue;
    }
    const auto progress = m_progress.find(member.m_id);
    const std::uint64_t peer_round =
        progress == m_progress.end() ? 0 : progress->second.m_round;
    rounds.push_back(member.m_id == id() ? m_round : peer_round);
  }
  if (rounds.empty()) {
    return;
  }
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  const std::uint64_t proven = rounds[membership().Quorum() - 1];
  m_proven_round = std::max(m_proven_round, proven);
  BRONZEBARROW_INVARIANT(m_proven_round <= m_round);
  while (!m_rounds_sent.empty() &&
         m_rounds_sent.front().first <= m_proven_round) {
    m_proven_at = m_rounds_sent.front().second;
    m_rounds_sent.pop_front();
  }
}

}  // namespace bronzebarrow::consensus
