// Replica: replication of entries and snapshots, commit index, leadership
// confirmation.
#include <algorithm>
#include <functional>

#include "bronzebarrow/base/check.h"
#include "bronzebarrow/consensus/replica.h"
#include "consensus/replica_messages.h"

namespace bronzebarrow::consensus {

bool Replica::IsReadyLeader() const {
  return role() == Role::kLeader && m_commit_index >= m_term_start_index;
}

std::optional<LogPosition> Replica::Propose(std::vector<std::uint8_t> payload,
                                            Instant) {
  if (role() != Role::kLeader) {
    return std::nullopt;
  }
  return AppendAsLeader(wire::EntryKind::Command, std::move(payload));
}

std::optional<std::uint64_t> Replica::RequestLeadershipConfirmation() {
  if (!IsReadyLeader()) {
    return std::nullopt;
  }
  m_confirmation_pending = true;
  return m_last_round + 1;
}

LogPosition Replica::AppendAsLeader(wire::EntryKind kind,
                                    std::vector<std::uint8_t> payload) {
  wire::LogEntryT entry;
  entry.index = last_index() + 1;
  entry.term = m_term;
  entry.kind = kind;
  entry.payload = std::move(payload);
  m_log.push_back(std::move(entry));
  m_append_pending = true;
  ApplyMembershipEntry(m_log.back());
  return {last_index(), m_term};
}

void Replica::StartRound(Instant now) {
  ++m_last_round;
  m_unconfirmed_rounds.emplace_back(m_last_round, now);
  m_confirmation_pending = false;
  m_append_pending = false;
  m_next_heartbeat = now + m_options.m_heartbeat_interval;
  for (auto& [peer, progress] : m_progress) {
    SendAppend(peer, progress, now);
  }
  AdvanceConfirmedRound();
}

void Replica::SendAppend(const ReplicaId& to, Progress& progress, Instant now) {
  if (progress.m_next_index <= m_base_index) {
    SendSnapshot(to, progress, now);
    return;
  }
  wire::AppendRequestT request;
  request.term = m_term;
  request.prev_index = progress.m_next_index - 1;
  request.prev_term = TermAt(request.prev_index);
  request.commit = m_commit_index;
  request.round = m_last_round;
  const std::uint64_t window = 4 * m_options.m_max_append_entries;
  std::size_t bytes = 0;
  while (progress.m_next_index <= last_index() &&
         request.entries.size() < m_options.m_max_append_entries &&
         bytes < m_options.m_max_append_bytes &&
         progress.m_next_index <= progress.m_match_index + window) {
    const wire::LogEntryT& entry = EntryAt(progress.m_next_index);
    bytes += entry.payload.size();
    request.entries.push_back(std::make_unique<wire::LogEntryT>(entry));
    ++progress.m_next_index;
  }
  m_messages.push_back(MakeMessage(to, std::move(request)));
}

void Replica::SendSnapshot(const ReplicaId& to, Progress& progress,
                           Instant now) {
  const bool awaiting_reply =
      progress.m_snapshot_sent_at &&
      now < *progress.m_snapshot_sent_at + m_options.m_snapshot_retry_interval;
  if (awaiting_reply) {
    return;
  }
  BRONZEBARROW_INVARIANT(m_snapshot != nullptr);
  progress.m_snapshot_sent_at = now;
  progress.m_snapshot_index = m_snapshot->last_index;
  wire::SnapshotRequestT request;
  request.term = m_term;
  request.round = m_last_round;
  request.snapshot = std::make_unique<wire::SnapshotFileT>(*m_snapshot);
  m_messages.push_back(MakeMessage(to, std::move(request)));
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
  SendWhenDurable(MakeMessage(to, reply));
}

std::uint64_t Replica::ConflictHint(std::uint64_t index) const {
  if (index > last_index()) {
    return last_index();
  }
  const std::uint64_t term = TermAt(index);
  std::uint64_t hint = index;
  while (hint > m_commit_index && hint > m_base_index && TermAt(hint) == term) {
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
    ReplyAppend(from, false, 0, ConflictHint(request.prev_index),
                request.round);
    return;
  }
  const std::uint64_t match =
      std::max(request.prev_index + request.entries.size(), m_base_index);
  m_commit_index = std::max(m_commit_index, std::min(request.commit, match));
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
  BRONZEBARROW_INVARIANT(index > m_commit_index);
  while (last_index() >= index) {
    m_log.pop_back();
  }
  if (index < m_first_unbatched_index) {
    m_truncate_from =
        m_truncate_from == 0 ? index : std::min(m_truncate_from, index);
    m_first_unbatched_index = index;
  }
  m_synced_index = std::min(m_synced_index, index - 1);
  m_in_flight_last_index = std::min(m_in_flight_last_index, index - 1);
  while (m_memberships.size() > 1 && m_memberships.back().first >= index) {
    m_memberships.pop_back();
  }
  UpdateVotingRole();
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
  progress.m_last_reply_at = now;
  progress.m_acked_round = std::max(progress.m_acked_round, reply.round);
  AdvanceConfirmedRound();
  if (!reply.success) {
    if (reply.round <= progress.m_rejected_round &&
        reply.hint_index + 1 >= progress.m_resent_from) {
      return;  // Answers a request from before the entries were sent again.
    }
    progress.m_next_index =
        std::max(progress.m_match_index + 1,
                 std::min(progress.m_next_index, reply.hint_index + 1));
    progress.m_rejected_round = m_last_round;
    progress.m_resent_from = progress.m_next_index;
    SendAppend(from, progress, now);
    return;
  }
  if (reply.match_index >= progress.m_snapshot_index) {
    progress.m_snapshot_sent_at.reset();
  }
  progress.m_match_index = std::max(progress.m_match_index, reply.match_index);
  progress.m_next_index =
      std::max(progress.m_next_index, progress.m_match_index + 1);
  AdvanceCommit();
  PromoteCaughtUpLearner(now);
  if (role() != Role::kLeader) {
    return;
  }
  const auto still_tracked = m_progress.find(from);
  if (still_tracked != m_progress.end() &&
      still_tracked->second.m_next_index <= last_index()) {
    SendAppend(from, still_tracked->second, now);
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
  if (snapshot.last_index > m_commit_index) {
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
    m_commit_index = snapshot.last_index;
    m_delivered_index = snapshot.last_index;
    m_synced_index = std::clamp(m_synced_index, m_base_index, last_index());
    m_in_flight_last_index = std::min(m_in_flight_last_index, last_index());
    m_first_unbatched_index = m_base_index + 1;
    m_truncate_from = 0;
    m_snapshot = std::make_shared<wire::SnapshotFileT>(snapshot);
    m_installed_snapshot = m_snapshot;
    m_snapshot_dirty = true;
    UpdateVotingRole();
  }
  ReplyAppend(from, true, m_commit_index, m_commit_index, request.round);
}

void Replica::AdvanceCommit() {
  std::vector<std::uint64_t> matches;
  for (const Member& member : membership().members()) {
    if (!member.m_voter) {
      continue;
    }
    const auto progress = m_progress.find(member.m_id);
    const std::uint64_t peer_match =
        progress == m_progress.end() ? 0 : progress->second.m_match_index;
    matches.push_back(member.m_id == id() ? m_synced_index : peer_match);
  }
  if (matches.empty()) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const std::uint64_t quorum_match = matches[membership().Quorum() - 1];
  if (quorum_match > m_commit_index && TermAt(quorum_match) == m_term) {
    m_commit_index = quorum_match;
    UpdateVotingRole();
  }
}

void Replica::AdvanceConfirmedRound() {
  std::vector<std::uint64_t> rounds;
  for (const Member& member : membership().members()) {
    if (!member.m_voter) {
      continue;
    }
    const auto progress = m_progress.find(member.m_id);
    const std::uint64_t peer_round =
        progress == m_progress.end() ? 0 : progress->second.m_acked_round;
    rounds.push_back(member.m_id == id() ? m_last_round : peer_round);
  }
  if (rounds.empty()) {
    return;
  }
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  const std::uint64_t quorum_round = rounds[membership().Quorum() - 1];
  m_confirmed_round = std::max(m_confirmed_round, quorum_round);
  BRONZEBARROW_INVARIANT(m_confirmed_round <= m_last_round);
  while (!m_unconfirmed_rounds.empty() &&
         m_unconfirmed_rounds.front().first <= m_confirmed_round) {
    m_confirmed_at = m_unconfirmed_rounds.front().second;
    m_unconfirmed_rounds.pop_front();
  }
}

}  // namespace bronzebarrow::consensus
