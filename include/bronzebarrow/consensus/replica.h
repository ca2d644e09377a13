// Core of the replicated log (a variant of Raft): elections, replication,
// membership changes, snapshots and leadership confirmation. It does no I/O and
// reads no clock.
#ifndef BRONZEBARROW_CONSENSUS_REPLICA_H_
#define BRONZEBARROW_CONSENSUS_REPLICA_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bronzebarrow/base/time.h"
#include "bronzebarrow/consensus/durable.h"
#include "bronzebarrow/consensus/membership.h"
#include "bronzebarrow/consensus/role.h"
#include "wire_generated.h"

namespace bronzebarrow::consensus {

struct ReplicaOptions {
  ReplicaId m_id;
  /** Replicas that receive join requests while this one is not a member. */
  std::vector<std::string> m_peers;
  /** Each election timeout is drawn at random from [1, 2) times this. */
  Duration m_election_timeout = Millis(500);
  Duration m_heartbeat_interval = Millis(100);
  /** A snapshot that was not acknowledged is sent again after this time. */
  Duration m_snapshot_retry_interval = Millis(2000);
  std::size_t m_max_append_entries = 512;
  std::size_t m_max_append_bytes = 1 << 20;
  std::uint64_t m_seed = 1;
  /** Whether the leader removes members that have become unresponsive. */
  bool m_removes_unresponsive = false;
  /**
   * Voters that the group needs: 2 f + 1 to tolerate f failures. An
   * unresponsive voter is removed only while there are more, or when a learner
   * is ready to take its place.
   */
  std::size_t m_min_voters = 3;
};

/** Message to one replica; generation 0 addresses any generation of it. */
struct Outgoing {
  ReplicaId m_to;
  wire::BodyUnion m_body;
};

/**
 * Position of a proposal in the log. The proposal is committed only when the
 * entry committed at m_index has the term m_term.
 */
struct LogPosition {
  std::uint64_t m_index = 0;
  std::uint64_t m_term = 0;
};

/**
 * One replica. The caller passes in events with the current time and then
 * processes the output of TakeMessages, TakeBatch, TakeInstalledSnapshot and
 * TakeCommitted.
 *
 * Contract: the caller syncs the batch that TakeBatch returned to disk before
 * it calls BatchSynced; at most one batch is in flight. Messages that depend on
 * durable state (votes, acknowledgements of entries) are withheld until the
 * batch with that state is synced.
 */
class Replica {
 public:
  Replica(ReplicaOptions options, DurableState durable, Instant now);

  void Tick(Instant now);
  void Receive(const ReplicaId& from, const wire::BodyUnion& body, Instant now);
  /**
   * This process did not run for `span` up to now, so messages that arrived
   * meanwhile may not have been received: postpones the election and the
   * silence of other members by `span`, but to at most one election timeout
   * after now if they were due by now, and by at most one if not. Confirmed
   * rounds and the grounds on which votes are refused are not extended.
   */
  void OnUnattended(Duration span, Instant now);

  /**
   * Appends a command to the log.
   * @return its log position, or nothing when this replica is not the leader.
   */
  std::optional<LogPosition> Propose(std::vector<std::uint8_t> payload,
                                     Instant now);

  /**
   * Requests a leadership confirmation (as for a Raft read index): a round of
   * append requests that is sent after this call and acknowledged by a quorum.
   * @return the round's number; the leadership is confirmed when
   * confirmed_round() reaches it. Nothing when this is not a ready leader.
   */
  std::optional<std::uint64_t> RequestLeadershipConfirmation();
  /**
   * @return the newest confirmed round: a quorum has acknowledged it. When this
   * replica becomes leader, the rounds of its earlier terms count as confirmed.
   */
  std::uint64_t confirmed_round() const { return m_confirmed_round; }
  /**
   * @return when the newest confirmed round was sent: no later leader was
   * elected before that time. Nothing when no round of this term is confirmed.
   */
  std::optional<Instant> confirmed_at() const { return m_confirmed_at; }

  /** Replaces ReplicaOptions::m_peers. */
  void SetPeers(std::vector<std::string> peers);
  /**
   * Sends a leadership transfer to the voter with the highest match index,
   * which then starts an election without waiting for its election timeout.
   * @return whether a transfer was sent.
   */
  bool TransferLeadership();

  std::vector<Outgoing> TakeMessages(Instant now);
  /** @return whether a batch can be taken; false while one is in flight. */
  bool HasBatch() const;
  DurableBatchOut TakeBatch();
  void BatchSynced(Instant now);
  /** @return the entries to apply: committed, and durable on this replica. */
  std::vector<wire::LogEntryT> TakeCommitted();
  /** @return the snapshot to load into the state machine; null if none. */
  SnapshotPtr TakeInstalledSnapshot();

  /**
   * Compacts the log with a snapshot of the state machine after `index`.
   * @param image serialized state machine
   * @param trailing number of entries up to `index` that stay in the log, so
   * that lagging replicas can catch up without the snapshot
   */
  void Compact(std::uint64_t index, std::vector<std::uint8_t> image,
               std::uint64_t trailing);

  Role role() const { return m_role.Current(); }
  std::uint64_t term() const { return m_term; }
  std::uint64_t commit_index() const { return m_commit_index; }
  std::uint64_t last_index() const;
  std::uint64_t log_size() const { return m_log.size(); }
  const std::optional<ReplicaId>& leader() const { return m_leader; }
  const Membership& membership() const { return m_memberships.back().second; }
  const ReplicaId& id() const { return m_options.m_id; }
  /**
   * @return whether this replica is the leader and has committed an entry of
   * its term.
   */
  bool IsReadyLeader() const;

 private:
  // Replication state of one other member, kept by the leader.
  struct Progress {
    std::uint64_t m_next_index = 1;   // Index of the next entry to send.
    std::uint64_t m_match_index = 0;  // The logs are equal up to here.
    std::uint64_t m_acked_round = 0;  // Newest acknowledged round.
    // The round of the last rejection that was handled, and the index from
    // which entries were sent again.
    std::uint64_t m_rejected_round = 0;
    std::uint64_t m_resent_from = 0;
    // Time of the last reply in this term. Initially the time of the election
    // or, for a member added later, of the next heartbeat. OnUnattended moves
    // it forward.
    Instant m_last_reply_at;
    // When a snapshot was sent; empty once the log reaches up to its index.
    std::optional<Instant> m_snapshot_sent_at;
    std::uint64_t m_snapshot_index = 0;
  };

  void OnVoteRequest(const ReplicaId& from, const wire::VoteRequestT& request,
                     Instant now);
  void OnVoteReply(const ReplicaId& from, const wire::VoteReplyT& reply,
                   Instant now);
  void OnAppendRequest(const ReplicaId& from,
                       const wire::AppendRequestT& request, Instant now);
  void OnAppendReply(const ReplicaId& from, const wire::AppendReplyT& reply,
                     Instant now);
  void OnSnapshotRequest(const ReplicaId& from,
                         const wire::SnapshotRequestT& request, Instant now);
  void OnJoinRequest(const ReplicaId& from, Instant now);

  void AdoptTerm(std::uint64_t term, Instant now);
  void FollowLeader(const ReplicaId& leader, Instant now);
  void StartPreVote(Instant now);
  void StartElection(Instant now);
  void RequestVotesInNewTerm(Instant now, bool transfer);
  void CheckVotes(Instant now);
  void BecomeLeader(Instant now);
  void CheckQuorumContact(Instant now);
  void ResetElectionDeadline(Instant now);
  Instant Postponed(Instant due, Duration span, Instant now) const;
  void OnTransferLead(const ReplicaId& from, std::uint64_t term, Instant now);
  void RemoveUnresponsiveMember(Instant now);
  bool IsOutsideGroup(Instant now) const;
  void SendJoinRequests();
  void BroadcastVoteRequest(std::uint64_t term, bool pre_vote, bool transfer);

  LogPosition AppendAsLeader(wire::EntryKind kind,
                             std::vector<std::uint8_t> payload);
  bool AppendFromLeader(const wire::AppendRequestT& request);
  void TruncateFrom(std::uint64_t index);
  void ApplyMembershipEntry(const wire::LogEntryT& entry);
  void UpdateVotingRole();
  void StartRound(Instant now);
  void SendAppend(const ReplicaId& to, Progress& progress, Instant now);
  void SendSnapshot(const ReplicaId& to, Progress& progress, Instant now);
  void AdvanceCommit();
  void AdvanceConfirmedRound();
  void ProposeMembership(const Membership& membership);
  bool IsMembershipCommitted() const;
  void PromoteCaughtUpLearner(Instant now);
  // A peer that was not heard for this long counts as unreachable.
  Duration ContactTimeout() const { return 2 * m_options.m_election_timeout; }
  bool IsResponsive(const Progress& progress, Instant now) const;
  const Member* FindUnresponsiveVoter(Instant now) const;
  bool MayRemoveVoter() const;
  bool HasLearner() const;
  bool HasJustReplied(const ReplicaId& peer, Instant now) const;

  bool IsLogUpToDate(std::uint64_t other_last_index,
                     std::uint64_t other_last_term) const;
  std::uint64_t TermAt(std::uint64_t index) const;
  std::uint64_t LastTerm() const;
  const wire::LogEntryT& EntryAt(std::uint64_t index) const;
  std::uint64_t ConflictHint(std::uint64_t index) const;
  void ReplyAppend(const ReplicaId& to, bool success, std::uint64_t match,
                   std::uint64_t hint, std::uint64_t round);
  template <typename Message>
  Outgoing MakeMessage(const ReplicaId& to, Message message) const;
  // Sends the message once all state that it may depend on is durable.
  void SendWhenDurable(Outgoing message);

  ReplicaOptions m_options;
  std::mt19937_64 m_random;
  RoleMachine m_role;

  std::uint64_t m_term = 0;              // Never decreases.
  std::optional<ReplicaId> m_voted_for;  // Vote given in m_term.
  std::optional<ReplicaId> m_leader;
  Instant m_election_deadline;
  Instant m_last_leader_contact;  // Last message from a leader.
  // When a learner takes itself to be outside the group. Kept apart from
  // m_last_leader_contact, on which votes are refused.
  Instant m_leader_silent_at;
  bool m_had_leader_contact = false;
  // Replicas that granted the vote or pre-vote of the current election.
  std::set<ReplicaId> m_votes_received;

  // Entries m_base_index + 1 .. last_index(), consecutive.
  std::deque<wire::LogEntryT> m_log;
  std::uint64_t m_base_index = 0;
  std::uint64_t m_base_term = 0;
  SnapshotPtr m_snapshot;            // Newest snapshot; null if none.
  SnapshotPtr m_installed_snapshot;  // Not yet taken by TakeInstalledSnapshot.
  // Never decreases; entries up to it are final.
  std::uint64_t m_commit_index = 0;
  // Last entry returned by TakeCommitted or covered by an installed snapshot;
  // <= min(m_commit_index, m_synced_index).
  std::uint64_t m_delivered_index = 0;
  // Memberships with the index of the entry that set each; the first is the
  // membership at m_base_index, the last is in force, committed or not.
  std::vector<std::pair<std::uint64_t, Membership>> m_memberships;

  // Durability. Entries up to m_synced_index are on disk.
  std::uint64_t m_synced_index = 0;
  // First entry not yet in any batch.
  std::uint64_t m_first_unbatched_index = 1;
  std::uint64_t m_truncate_from = 0;  // For the next batch; 0: no truncation.
  // Last entry of the batch in flight; a truncation lowers it.
  std::uint64_t m_in_flight_last_index = 0;
  // m_term or m_voted_for is not yet in a batch.
  bool m_hard_state_dirty = false;
  bool m_snapshot_dirty = false;   // m_snapshot is not yet in a batch.
  bool m_batch_in_flight = false;  // A batch was taken and is not synced.
  // Messages withheld until the next batch is synced.
  std::vector<Outgoing> m_withheld_for_next_batch;
  // Messages withheld until the batch in flight is synced.
  std::vector<Outgoing> m_withheld_for_batch_in_flight;
  std::vector<Outgoing> m_messages;  // Ready for TakeMessages.

  // State of the leader, except m_next_join. A round is one append or snapshot
  // request to every other member; the acknowledgement repeats its number.
  std::map<ReplicaId, Progress> m_progress;
  // Index of the no-op that began the term.
  std::uint64_t m_term_start_index = 0;
  std::uint64_t m_last_round = 0;  // Last round sent; never decreases.
  // <= m_last_round; acknowledged by a quorum.
  std::uint64_t m_confirmed_round = 0;
  // Rounds sent but not confirmed, each with the time when it was sent.
  std::deque<std::pair<std::uint64_t, Instant>> m_unconfirmed_rounds;
  std::optional<Instant> m_confirmed_at;  // When m_confirmed_round was sent.
  bool m_confirmation_pending = false;  // A confirmation needs one more round.
  bool m_append_pending = false;  // Entries were appended and not yet sent.
  Instant m_next_heartbeat;
  Instant m_next_join;  // Next join requests while not a member.
};

}  // namespace bronzebarrow::consensus

#endif  // BRONZEBARROW_CONSENSUS_REPLICA_H_
