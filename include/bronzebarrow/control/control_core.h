// The core of one control member, without I/O: the consensus replica, the
// replicated state, the entries' leases and the periodic duties of the leader.
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

/** Identifies an entry's connection; assigned by the I/O layer. */
using SessionId = std::uint64_t;

/** A message to be sent on an entry's connection. */
struct SessionMessage {
  SessionId m_session = 0;
  wire::BodyUnion m_body;
};

struct ControlCoreOptions {
  consensus::ReplicaOptions m_replica;
  LeaseKeeperOptions m_leases;
  /** Number of applied log entries after which a snapshot compacts the log. */
  std::uint64_t m_snapshot_entries = 8192;
  /**
   * Command tokens are counted up from this value. It must differ between
   * processes, because the token matches a committed command to its callback.
   */
  std::uint64_t m_first_token = 0;
};

/**
 * The I/O layer passes in events and then calls TakePeerMessages, TakeBatch
 * and TakeSessionMessages. Callbacks run inside the event that completes or
 * aborts their operation.
 */
class ControlCore {
 public:
  /**
   * Receives the result of an applied command, or null when the role or term
   * changed first: whether the command is committed is then unknown.
   */
  using OnApplied = std::function<void(const ApplyResult*)>;
  /** Receives whether a quorum confirmed this member as the leader. */
  using OnLeadershipConfirmed = std::function<void(bool confirmed)>;

  ControlCore(ControlCoreOptions options, consensus::DurableState durable,
              Moment moment);

  // Events. A session message carries the name of the entry that sent it.
  void Tick(Moment moment);
  void OnPeerMessage(const consensus::ReplicaId& from,
                     const wire::BodyUnion& body, Moment moment);
  void OnSessionMessage(SessionId session, const std::string& sender,
                        const wire::BodyUnion& body, Moment moment);
  void OnSessionClosed(SessionId session);
  void BatchSynced(Moment moment);

  /**
   * Proposes a command; `on_applied` is called only if it was proposed.
   * @return whether it was proposed; false if this member is not the leader.
   */
  bool Propose(wire::CommandBodyUnion body, Moment moment,
               OnApplied on_applied);
  /**
   * Starts a leadership confirmation. Calls `done` with true once a quorum has
   * confirmed this leader and every log entry committed before the call is
   * applied; with false if IsReadyLeader() is false or the role or term
   * changes.
   */
  void RequestLeadershipConfirmation(Moment moment, OnLeadershipConfirmed done);

  // Outputs to carry out.
  std::vector<consensus::Outgoing> TakePeerMessages();
  std::vector<SessionMessage> TakeSessionMessages();
  bool HasBatch() const { return m_replica.HasBatch(); }
  consensus::DurableBatchOut TakeBatch() { return m_replica.TakeBatch(); }

  /** @return whether this leads and has committed an entry of its own term. */
  bool IsReadyLeader() const;
  const consensus::Replica& replica() const { return m_replica; }
  const ControlState& state() const { return m_state; }
  /** Set while this member is the leader. */
  const std::optional<LeaseKeeper>& lease_keeper() const { return m_keeper; }
  std::uint64_t applied_index() const { return m_applied_index; }

 private:
  /** An entry's connection and the state versions last sent on it. */
  struct Session {
    std::string m_entry;
    std::uint64_t m_pushed_config = 0;
    std::uint64_t m_pushed_fleet = 0;
  };
  /** An action that waits for a leadership confirmation. */
  struct PendingConfirmation {
    std::uint64_t m_round = 0;       // Round that must be confirmed.
    std::uint64_t m_read_index = 0;  // Log index that must be applied.
    OnLeadershipConfirmed m_done;
  };

  void ProcessReplicaOutput();
  void HandleRoleChange();
  void ApplyCommitted();
  void ApplyEntry(const wire::LogEntryT& entry);
  void CompactLogIfDue();
  void CompleteConfirmations();
  void AbortPending();
  bool ProposeCommand(wire::CommandBodyUnion body, OnApplied on_applied);
  void StartLeadershipConfirmation(OnLeadershipConfirmed done);

  // Requests from entries and state updates to them.
  void OnLeaseRequest(SessionId session, const std::string& entry,
                      const wire::LeaseRequestT& request);
  void OnLedgerRequest(SessionId session, const wire::LedgerRequestT& request);
  void ReplyNotLeader(SessionId session, std::uint64_t request_id);
  void PushState(SessionId id, Session& session);
  void PushStateToAll();
  wire::StateUpdateT MakeStateUpdate(bool with_lists) const;
  template <typename Message>
  void Send(SessionId session, Message message);

  // Periodic duties of the leader.
  void RunDuties();
  void ProposeDuty(wire::CommandBodyUnion body);
  void AdvanceStops();
  void AdvanceWaves();
  void RecordObservations();
  wire::ObserveInstancesT ChangedObservations();

  ControlCoreOptions m_options;
  consensus::Replica m_replica;
  ControlState m_state;
  Moment m_moment;                           // Time of the event being handled.
  std::uint64_t m_applied_index = 0;         // Never decreases.
  std::uint64_t m_last_compacted_index = 0;  // Log index of the last snapshot.
  consensus::Role m_last_role = consensus::Role::kLearner;
  std::uint64_t m_last_term = 0;

  std::optional<LeaseKeeper> m_keeper;  // Set while this is the leader.
  // Callbacks of commands proposed and not yet applied, by command token.
  std::map<std::uint64_t, OnApplied> m_pending_commands;
  std::vector<PendingConfirmation> m_pending_confirmations;
  std::uint64_t m_next_token = 0;
  Instant m_next_duty_time;
  int m_duties_in_flight = 0;  // Duty commands proposed and not yet applied.
  // Instances announced for another pool than recorded; each is logged once.
  std::set<std::string> m_logged_pool_mismatches;

  std::map<SessionId, Session> m_sessions;
  std::vector<SessionMessage> m_session_messages;
};

}  // namespace bronzebarrow::control

#endif  // BRONZEBARROW_CONTROL_CONTROL_CORE_H_
