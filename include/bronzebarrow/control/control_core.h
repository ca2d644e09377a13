// One control member without I/O: the replica, the state it replicates, the
// entries' leases and the leader's duties.
#ifndef BRONZEBARROW_CONTROL_CONTROL_CORE_H_
#define BRONZEBARROW_CONTROL_CONTROL_CORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bronzebarrow/base/time.h"
#include "bronzebarrow/consensus.h"
#include "bronzebarrow/control/control_state.h"
#include "bronzebarrow/control/lease_keeper.h"
#include "wire_generated.h"

namespace bronzebarrow::control {

/** A connection of an entry, named by the shell. */
using SessionId = std::uint64_t;

struct SessionMessage {
  SessionId m_session = 0;
  wire::BodyUnion m_body;
};

struct ControlCoreOptions {
  consensus::ReplicaOptions m_replica;
  LeaseKeeperOptions m_leases;
  /** Log entries after which a snapshot replaces them. */
  std::uint64_t m_snapshot_entries = 8192;
  /** Start of this process's command tokens; differs between processes. */
  std::uint64_t m_first_token = 0;
};

/**
 * The shell feeds events and then drains TakePeerMessages, TakeBatch and
 * TakeSessionMessages. Callbacks run inside the event that settles them.
 */
class ControlCore {
 public:
  /** Null when leadership was lost: the outcome is not known. */
  using OnApplied = std::function<void(const ApplyResult*)>;
  using OnProof = std::function<void(bool proven)>;

  ControlCore(ControlCoreOptions options, consensus::DurableState durable,
              Moment moment);

  // Events.
  void Tick(Moment moment);
  void OnPeerMessage(const consensus::ReplicaId& from,
                     const wire::BodyUnion& body, Moment moment);
  void OnSessionMessage(SessionId session, const std::string& sender,
                        const wire::BodyUnion& body, Moment moment);
  void OnSessionClosed(SessionId session);
  void BatchSynced(Moment moment);

  /** @return whether the command was proposed: this member leads. */
  bool Propose(wire::CommandBodyUnion body, Moment moment,
               OnApplied on_applied);
  /** Calls `done` once this member has proven that it still leads. */
  void RequestProof(Moment moment, OnProof done);

  // Actions.
  std::vector<consensus::Outgoing> TakePeerMessages();
  std::vector<SessionMessage> TakeSessionMessages();
  bool HasBatch() const { return m_replica.HasBatch(); }
  consensus::DurableBatchOut TakeBatch() { return m_replica.TakeBatch(); }

  /** @return whether this member leads and may act for the group. */
  bool LeadsReady() const;
  const consensus::Replica& replica() const { return m_replica; }
  const ControlState& state() const { return m_state; }
  /** Set while this member leads. */
  const std::optional<LeaseKeeper>& keeper() const { return m_keeper; }
  std::uint64_t applied_index() const { return m_applied_index; }

 private:
  /** An entry's connection, and what it was last sent. */
  struct Session {
    std::string m_entry;
    std::uint64_t m_pushed_config = 0;
    std::uint64_t m_pushed_fleet = 0;
  };
  /** An action that waits for a proof of leadership. */
  struct PendingProof {
    std::uint64_t m_round = 0;
    std::uint64_t m_read_index = 0;
    OnProof m_done;
  };

  void Settle();
  void NoteRole();
  void ApplyCommitted();
  void ApplyEntry(const wire::LogEntryT& entry);
  void CompactIfLong();
  void SettleProofs();
  void FailWaiting();
  bool ProposeNow(wire::CommandBodyUnion body, OnApplied on_applied);
  void RequestProofNow(OnProof done);

  // Entries.
  void OnLeaseRequest(SessionId session, const std::string& entry,
                      const wire::LeaseRequestT& request);
  void OnLedgerRequest(SessionId session, const wire::LedgerRequestT& request);
  void RefuseNotLeader(SessionId session, std::uint64_t request_id);
  void PushState(SessionId id, Session& session);
  void PushStateToAll();
  wire::StateUpdateT MakeUpdate(bool with_lists) const;
  template <typename Message>
  void Send(SessionId session, Message message);

  // Leader's duties.
  void RunDuties();
  void ProposeDuty(wire::CommandBodyUnion body);
  void WatchStops();
  void WatchWaves();
  void WatchInstances();
  wire::ObserveInstancesT NewObservations();

  ControlCoreOptions m_options;
  consensus::Replica m_replica;
  ControlState m_state;
  Moment m_moment;                    // Of the event being handled.
  std::uint64_t m_applied_index = 0;  // Never decreases.
  std::uint64_t m_last_compacted = 0;
  consensus::Role m_last_role = consensus::Role::kLearner;
  std::uint64_t m_last_term = 0;

  std::optional<LeaseKeeper> m_keeper;           // While leading.
  std::map<std::uint64_t, OnApplied> m_waiting;  // By command token.
  std::vector<PendingProof> m_proofs;
  std::uint64_t m_next_token = 0;
  Instant m_next_duty;
  int m_duties_in_flight = 0;
  std::set<std::string> m_refused_observations;  // Logged once each.

  std::map<SessionId, Session> m_sessions;
  std::vector<SessionMessage> m_session_messages;
};

}  // namespace bronzebarrow::control

#endif  // BRONZEBARROW_CONTROL_CONTROL_CORE_H_
