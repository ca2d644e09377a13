// The replicated log's decision core: elections, replication, membership,
// snapshots and proofs of leadership. It does no I/O and reads no clock.
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
  /** Names of the other replicas, for joining before a membership is known. */
  std::vector<std::string> m_peers;
  Duration m_election_timeout = Millis(500);  // Drawn from [1, 2) times this.
  Duration m_heartbeat_interval = Millis(100);
  Duration m_snapshot_retry = Millis(2000);
  std::size_t m_max_append_entries = 512;
  std::size_t m_max_append_bytes = 1 << 20;
  std::uint64_t m_seed = 1;
  /** A member unheard for this long is removed; zero: never. */
  Duration m_remove_after = Millis(0);
  /** Voters that are kept even when unheard: 2 f + 1 for f losses. */
  std::size_t m_min_voters = 3;
};

/** A message to one replica; generation 0 addresses any generation. */
struct Outgoing {
  ReplicaId m_to;
  wire::BodyUnion m_body;
};

/** Place of a proposal in the log; it is committed only at this very term. */
struct LogPosition {
  std::uint64_t m_index = 0;
  std::uint64_t m_term = 0;
};

/**
 * One replica. The caller feeds events with the current time and then drains
 * TakeMessages, TakeBatch, TakeInstalledSnapshot and TakeCommitted.
 *
 * Contract: a batch taken is synced before BatchSynced is called; at most one
 * batch is outstanding. Messages that promise something durable are withheld
 * until then.
 */
class Replica {
 public:
  Replica(ReplicaOptions options, DurableState durable, Instant now);

  void Tick(Instant now);
  void Receive(const ReplicaId& from, const wire::BodyUnion& body, Instant now);

  /** @return the log position, or nothing when this is not the leader. */
  std::optional<LogPosition> Propose(std::vector<std::uint8_t> payload,
                                     Instant now);

  /**
   * Asks for a proof that this replica still leads after this call.
   * @return the round to compare with proven_round(); nothing if not leading.
   */
  std::optional<std::uint64_t> RequestProof();
  std::uint64_t proven_round() const { return m_proven_round; }
  /**
   * @return when the last proven round was sent: no other replica led before
   * that; nothing when none was proven in this term.
   */
  std::optional<Instant> proven_at() const { return m_proven_at; }

  /** Names that a replica outside the group asks to let it join. */
  void SetPeers(std::vector<std::string> peers);
  /**
   * Asks the voter with the longest log to lead instead.
   * @return whether one was asked.
   */
  bool OfferLeadership();

  std::vector<Outgoing> TakeMessages(Instant now);
  bool HasBatch() const;
  DurableBatchOut TakeBatch();
  void BatchSynced(Instant now);
  std::vector<wire::LogEntryT> TakeCommitted();
  SnapshotPtr TakeInstalledSnapshot();

  /**
   * Replaces the log up to `index` by the state machine's image.
   * @param trailing entries kept before `index` for replicas that lag
   */
  void Compact(std::uint64_t index, std::vector<std::uint8_t> image,
               std::uint64_t trailing);

  Role role() const { return m_role.Current(); }
  std::uint64_t term() const { return m_term; }
  std::uint64_t commit_index() const { return m_commit; }
  std::uint64_t last_index() const;
  std::uint64_t log_size() const { return m_log.size(); }
  const std::optional<ReplicaId>& leader() const { return m_leader; }
  const Membership& membership() const { return m_memberships.back().second; }
  const ReplicaId& id() const { return m_options.m_id; }
  /** @return whether this leads and has committed an entry of its term. */
  bool IsReadyLeader() const;

 private:
  struct Progress {
    std::uint64_t m_next = 1;
    std::uint64_t m_match = 0;
    std::uint64_t m_round = 0;
    Instant m_last_ack;
    std::optional<Instant> m_snapshot_sent;
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
  void BeginTerm(Instant now, bool transfer);
  void CheckVotes(Instant now);
  void BecomeLeader(Instant now);
  void CheckQuorumContact(Instant now);
  void ResetElectionDeadline(Instant now);
  void OnTransferLead(const ReplicaId& from, std::uint64_t term, Instant now);
  void RemoveLostMember(Instant now);
  void SendJoinRequests();
  void BroadcastVoteRequest(std::uint64_t term, bool pre_vote, bool transfer);

  LogPosition AppendLocal(wire::EntryKind kind,
                          std::vector<std::uint8_t> payload);
  bool AppendFromLeader(const wire::AppendRequestT& request);
  void TruncateFrom(std::uint64_t index);
  void ApplyMembershipEntry(const wire::LogEntryT& entry);
  void RefreshVotingRole();
  void StartRound(Instant now);
  void SendAppend(const ReplicaId& to, Progress& progress, Instant now);
  void SendSnapshot(const ReplicaId& to, Progress& progress, Instant now);
  void AdvanceCommit();
  void AdvanceProvenRound();
  void ProposeMembership(const Membership& membership);
  bool MembershipSettled() const;
  void PromoteCaughtUpLearner();

  bool LogIsCurrent(std::uint64_t last_index, std::uint64_t last_term) const;
  std::uint64_t TermAt(std::uint64_t index) const;
  std::uint64_t LastTerm() const;
  const wire::LogEntryT& EntryAt(std::uint64_t index) const;
  std::uint64_t HintFor(std::uint64_t index) const;
  void ReplyAppend(const ReplicaId& to, bool success, std::uint64_t match,
                   std::uint64_t hint, std::uint64_t round);
  template <typename Message>
  Outgoing Make(const ReplicaId& to, Message message) const;
  void Gate(Outgoing message);

  ReplicaOptions m_options;
  std::mt19937_64 m_random;
  RoleMachine m_role;

  std::uint64_t m_term = 0;  // Never decreases.
  std::optional<ReplicaId> m_vote;
  std::optional<ReplicaId> m_leader;
  Instant m_election_deadline;
  Instant m_leader_heard;
  bool m_leader_ever_heard = false;
  std::set<ReplicaId> m_votes;

  // Entries m_base_index + 1 .. last_index(), consecutive.
  std::deque<wire::LogEntryT> m_log;
  std::uint64_t m_base_index = 0;
  std::uint64_t m_base_term = 0;
  SnapshotPtr m_snapshot;
  SnapshotPtr m_installed;
  std::uint64_t m_commit = 0;  // Never decreases; entries up to it are fixed.
  std::uint64_t m_delivered = 0;  // <= min(m_commit, m_synced).
  // Memberships by the log index that set them; the first is the base's.
  std::vector<std::pair<std::uint64_t, Membership>> m_memberships;

  // Durability. Entries up to m_synced are on disk.
  std::uint64_t m_synced = 0;
  std::uint64_t m_unsaved_from = 1;  // First entry not yet in any batch.
  std::uint64_t m_truncate_from = 0;
  std::uint64_t m_in_flight_last = 0;
  bool m_hard_dirty = false;
  bool m_snapshot_dirty = false;
  bool m_in_flight = false;
  std::vector<Outgoing> m_gated;
  std::vector<Outgoing> m_in_flight_gated;
  std::vector<Outgoing> m_messages;

  // Leader only.
  std::map<ReplicaId, Progress> m_progress;
  std::uint64_t m_term_start = 0;
  std::uint64_t m_round = 0;         // Last round sent; never decreases.
  std::uint64_t m_proven_round = 0;  // <= m_round; acked by a quorum.
  // Rounds sent and not proven, with the time they were sent.
  std::deque<std::pair<std::uint64_t, Instant>> m_rounds_sent;
  std::optional<Instant> m_proven_at;
  bool m_proof_wanted = false;
  bool m_append_wanted = false;
  Instant m_next_heartbeat;
  Instant m_next_join;
};

}  // namespace bronzebarrow::consensus

#endif  // BRONZEBARROW_CONSENSUS_REPLICA_H_
