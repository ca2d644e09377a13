// The decision core of one member: the replicated log, the replicated state of
// jobs and runners, the calls that a leader serves and the leader's decisions.
// It does no I/O and reads no clock.
#ifndef BRONZEBARROW_NODE_WORK_CORE_H_
#define BRONZEBARROW_NODE_WORK_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bronzebarrow/base/time.h"
#include "bronzebarrow/consensus.h"
#include "bronzebarrow/jobs.h"
#include "bronzebarrow/node/advice_book.h"
#include "bronzebarrow/node/machine_planner.h"
#include "bronzebarrow/placement.h"
#include "bronzebarrow/runs.h"

namespace bronzebarrow::node {

struct WorkCoreOptions {
  consensus::ReplicaOptions m_replica;
  runs::DispatcherOptions m_dispatcher;
  MachineOptions m_machines;
  placement::AdmissionOptions m_admission;
  /**
   * A leader whose leadership was last confirmed longer ago than this serves no
   * calls.
   */
  Duration m_leader_lease = Millis(1000);
  /**
   * Log entries between two snapshots, and log entries that are kept before a
   * snapshot for replicas that lag.
   */
  std::uint64_t m_snapshot_entries = 3000;
  std::uint64_t m_trailing_entries = 500;
  /** How long a job can be read after its end. */
  Duration m_ended_job_retention = Millis(150'000);
  /** Whether placement keeps room for large tasks beside small ones. */
  bool m_keeps_gaps = false;
  /** Of all jobs, as jobs::StoredBytes; 0: no limit. */
  std::size_t m_max_job_bytes = 0;
  /** Token of the first command that this process proposes. */
  std::uint64_t m_first_token = 1;
};

/** Identifies the caller of one call; the reply is returned under it. */
using CallSource = std::uint64_t;

/** What an organisation has running. */
struct OrganisationUse {
  std::string m_name;
  Resources m_used;
  double m_weighted_share = 0;  // As FairShares::WeightedShare.
};

struct OutgoingReply {
  CallSource m_source = 0;
  wire::CallReplyT m_reply;
};

/**
 * Contract: the caller passes in events and drains the Take functions after
 * each one. A batch that was taken must be on disk before BatchSynced.
 */
class WorkCore {
 public:
  WorkCore(WorkCoreOptions options, consensus::DurableState durable,
           Moment moment);
  WorkCore(const WorkCore&) = delete;
  WorkCore& operator=(const WorkCore&) = delete;

  // Events. Each one passes the time at which it is handled.
  void Tick(Moment moment);
  /** As Replica::OnUnattended. */
  void OnUnattended(Duration span, Moment moment);
  void OnPeerMessage(const consensus::ReplicaId& from,
                     const wire::BodyUnion& body, Moment moment);
  void BatchSynced(Moment moment);
  void OnCall(CallSource source, const wire::CallT& call, Moment moment);
  void OnRunnerAnswer(const runs::RunnerCall& call,
                      const runs::RunnerAnswer& answer, Moment moment);
  /** @param requested_at when the first page of the list was requested */
  void OnMachineInventory(std::vector<fleet::Machine> machines,
                          Instant requested_at, Moment moment);
  void OnMachineAnswer(const fleet::MachineRequest& request,
                       fleet::MachineResponse answer, Moment moment);
  /** @param tickets null when no usable answer came */
  void OnAdvice(const AdviceRequest& request,
                const std::map<std::string, std::string>* tickets,
                std::uint32_t valid_ms, Moment moment);
  void SetPeers(std::vector<std::string> peers);
  /**
   * Puts off what follows from events (applying entries, plans, proposals and
   * messages) until ProcessDeferredUpdates, which must be called before the
   * actions are taken. A change of the role is handled at once.
   */
  void DeferUpdates() { m_defers_updates = true; }
  void ProcessDeferredUpdates(Moment moment);
  /** Asks another voter to take over the leadership before a planned stop. */
  void TransferLeadership(Moment moment);

  // Actions.
  std::vector<consensus::Outgoing> TakePeerMessages();
  bool HasBatch() const { return m_replica.HasBatch(); }
  consensus::DurableBatchOut TakeBatch(Instant now);
  std::vector<OutgoingReply> TakeReplies();
  std::vector<runs::RunnerCall> TakeRunnerCalls();
  /** @return addresses that no longer belong to a runner of this owner. */
  std::vector<std::string> TakeUnusedAddresses() {
    return m_dispatcher.TakeUnusedAddresses();
  }
  std::vector<fleet::MachineRequest> TakeMachineRequests();
  std::vector<AdviceRequest> TakeAdviceRequests();
  /** @return whether the machine inventory should be read now. */
  bool TakeInventoryRequest(Instant now);

  /**
   * @return whether this member is the leader, owns the pools and had its
   * leadership confirmed within the leader lease.
   */
  bool CanServe(Instant now) const;
  /**
   * @return whether the report repeats what is registered, so that a member
   * that is in contact with the leader can acknowledge it itself
   */
  bool IsRepeatedReport(const wire::ReportRunnerCallT& report) const;
  /**
   * @return false only if this member holds no job of this id and has not
   * proposed one
   */
  bool MayHaveJob(std::string_view id) const;
  /** @return until when CanServe holds without a further confirmation. */
  Instant ServesUntil() const;
  /** @return the term, the leader and the members as this member sees them. */
  wire::GroupViewT View(Instant now) const;
  const consensus::Replica& replica() const { return m_replica; }
  const jobs::WorkState& state() const { return m_state; }
  const runs::Dispatcher& dispatcher() const { return m_dispatcher; }
  std::uint64_t applied_index() const { return m_applied_index; }
  /**
   * @return the number of runs that this owner ended as lost since the last
   * call, by the cause that its log names
   */
  std::map<std::string, std::uint64_t> TakeLostRuns();
  /**
   * @return how many tasks the applied commands have given up since the last
   * call because they crash runners; zero on a member that does not lead
   */
  std::uint64_t TakeTasksGivenUp() {
    return std::exchange(m_tasks_given_up, 0);
  }
  /**
   * @return organisations with the largest weighted shares of all runners,
   * largest first; at most ten
   */
  std::vector<OrganisationUse> LargestOrganisations() const;
  /** @return how often room was kept for a large task since the last call. */
  std::uint64_t TakeGapsKept() { return std::exchange(m_gaps_kept, 0); }
  /** @return how many calls were refused for their key since the last call. */
  std::uint64_t TakeKeysRefused() { return std::exchange(m_keys_refused, 0); }

 private:
  /** A call that is answered once its command is applied. */
  struct PendingCall {
    CallSource m_source = 0;
    std::uint64_t m_call_id = 0;
    wire::WorkBody m_kind = wire::WorkBody::NONE;
  };
  /** A report that a runner leaves, which is not answered yet. */
  struct PendingLeave {
    CallSource m_source = 0;
    std::uint64_t m_call_id = 0;
    Instant m_answer_at;  // At the latest.
  };
  /** The latest heartbeat of a runner: its incarnation and sequence number. */
  struct Heartbeat {
    std::uint64_t m_born_ms = 0;
    std::uint64_t m_sequence = 0;
  };
  using CallHandler = void (WorkCore::*)(CallSource, std::uint64_t,
                                         const wire::CallBodyUnion&);

  static const std::map<wire::CallBody, CallHandler>& CallHandlers();
  void Submit(CallSource source, std::uint64_t call_id,
              const wire::CallBodyUnion& body);
  /** The organisation that makes a call. */
  struct Caller {
    std::string m_organisation;  // Empty: none, at a public queue.
    const wire::QueueSpecT* m_queue = nullptr;
  };
  // Whether the call's queue exists and its key permits the call. If not, the
  // call has been answered.
  bool Authorise(CallSource source, std::uint64_t call_id,
                 const std::string& host, const std::string& path,
                 const std::string& key_digest, Caller& caller);
  // The job, if it is visible to the caller; null otherwise.
  const jobs::Job* FindJobOf(const Caller& caller, jobs::JobId id) const;
  void ReadJob(CallSource source, std::uint64_t call_id,
               const wire::CallBodyUnion& body);
  void Cancel(CallSource source, std::uint64_t call_id,
              const wire::CallBodyUnion& body);
  void PutConfig(CallSource source, std::uint64_t call_id,
                 const wire::CallBodyUnion& body);
  void ReadConfig(CallSource source, std::uint64_t call_id,
                  const wire::CallBodyUnion& body);
  void ReportRunner(CallSource source, std::uint64_t call_id,
                    const wire::CallBodyUnion& body);
  // Answers the reports that the runner leaves.
  void AnswerLeaves(const std::string& runner);
  void AnswerOverdueLeaves();
  void StartUpkeep(CallSource source, std::uint64_t call_id,
                   const wire::CallBodyUnion& body);
  void ReadUpkeep(CallSource source, std::uint64_t call_id,
                  const wire::CallBodyUnion& body);

  void Reply(CallSource source, std::uint64_t call_id,
             wire::CallOutcome outcome, std::string text = {},
             std::uint32_t retry_after_ms = 0);
  void ReplyCommitted(const PendingCall& waiting,
                      const jobs::ApplyResult& applied);
  void ClearLeaderState();
  std::uint64_t AddCommand(wire::WorkBodyUnion body);
  void AddPendingCall(std::uint64_t token, CallSource source,
                      std::uint64_t call_id, wire::WorkBody kind);

  // Does nothing while updates are put off.
  void ProcessUpdates();
  void HandleRoleChange();
  void LogMembershipChange();
  void HandOffIfDiskStalled();
  void ApplyCommitted();
  void ApplyEntry(const wire::LogEntryT& entry);
  void LogGivenUp(const jobs::RunKey& run);
  // Makes delayed heartbeats of the removed runner known as such.
  void RecordRemoval(const std::string& runner, std::uint64_t born_ms);
  // Registers the incarnation that reported while the one that is removed now
  // was still registered.
  void RegisterNextIncarnation(const std::string& runner,
                               std::uint64_t born_ms);
  void CompactIfDue();
  void TakeDispatcherCommands();
  // Passes on which silent runners have ended according to the inventory.
  void CheckSilentRunners(const std::vector<fleet::Machine>& machines,
                          Instant requested_at);
  void PlanAssignments();
  // Time since this owner assigned the run.
  std::optional<std::int64_t> RunAgeMs(const jobs::Runner& runner,
                                       const jobs::TaskKey& task) const;
  void OpenDueOccurrences();
  bool IsEndedJob(jobs::JobId id) const;
  void RecordEndedJob(jobs::JobId id);
  void PurgeEndedJobs();
  void ProposeCommands();
  void LogSummary();
  void LogOrganisations() const;

  WorkCoreOptions m_options;
  consensus::Replica m_replica;
  jobs::WorkState m_state;
  runs::Dispatcher m_dispatcher;
  MachinePlanner m_machine_planner;
  placement::AdmissionControl m_admission;
  AdviceCache m_advice_cache;
  Moment m_moment;  // Time of the event being handled.
  bool m_defers_updates = false;
  // When the batch that is being synced was taken; empty when there is none.
  std::optional<Instant> m_sync_started;
  Instant m_next_leadership_offer;
  std::uint64_t m_applied_index = 0;
  std::uint64_t m_tasks_given_up = 0;  // Not yet taken.
  std::uint64_t m_keys_refused = 0;    // Not yet taken.
  std::uint64_t m_gaps_kept = 0;       // Not yet taken.
  std::uint64_t m_last_compacted = 0;
  std::uint64_t m_last_term = 0;
  consensus::Role m_last_role = consensus::Role::kLearner;
  consensus::Membership m_logged_membership;
  // Jobs that have ended, with the time at which this member applied the end or
  // the snapshot that holds it; the earliest first. Retention counts from then:
  // wall clocks jump and differ between members. May hold forgotten jobs.
  std::deque<std::pair<Instant, jobs::JobId>> m_ended_jobs;

  // Used by the leader only; reset when the leadership ends.
  std::optional<std::uint64_t> m_ownership_token;
  std::vector<std::unique_ptr<wire::WorkCommandT>> m_commands;
  std::unordered_map<std::uint64_t, std::vector<PendingCall>> m_pending_calls;
  /** An AcceptJob command that is not yet applied. */
  struct PendingSubmit {
    std::uint64_t m_token = 0;
    std::string m_organisation;
  };
  std::unordered_map<jobs::JobId, PendingSubmit> m_pending_submits;
  // Tokens of the AssignRuns commands that are not yet applied.
  std::set<std::uint64_t> m_pending_assignments;
  // Jobs whose OpenOccurrences command is not yet applied.
  std::set<jobs::JobId> m_pending_openings;
  placement::JobRoom m_job_room;
  std::map<std::string, Heartbeat> m_heartbeats;  // By runner.
  // By runner; no entry is empty.
  std::map<std::string, std::vector<PendingLeave>> m_pending_leaves;
  // By removed runner: its latest heartbeat before the removal.
  std::map<std::string, Heartbeat> m_removed_runners;
  // The last report of each runner with a later start than the registered one,
  // until that one is removed.
  std::map<std::string, wire::RunnerRecordT> m_next_incarnations;
  // The next inventory is for the machine planner too. Others are read only to
  // find runners that have ended.
  bool m_planner_awaits_inventory = false;
  // Log entries proposed and not yet applied.
  std::uint64_t m_batches_in_flight = 0;
  bool m_plan_needed = false;
  Instant m_next_plan;
  Instant m_last_plan;
  Duration m_plan_pause = placement::kMinPlanInterval;  // After m_last_plan.
  Instant m_next_housekeeping;
  std::uint64_t m_next_token = 1;

  std::vector<OutgoingReply> m_replies;
  std::vector<consensus::Outgoing> m_messages;
};

}  // namespace bronzebarrow::node

#endif  // BRONZEBARROW_NODE_WORK_CORE_H_
