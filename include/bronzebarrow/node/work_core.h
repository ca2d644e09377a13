// One member's core: the replicated log, the state of work, calls to the
// leader and the leader's decisions. It does no I/O and reads no clock.
#ifndef BRONZEBARROW_NODE_WORK_CORE_H_
#define BRONZEBARROW_NODE_WORK_CORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bronzebarrow/base/time.h"
#include "bronzebarrow/consensus.h"
#include "bronzebarrow/jobs.h"
#include "bronzebarrow/node/advice_book.h"
#include "bronzebarrow/node/machine_planner.h"
#include "bronzebarrow/runs.h"

namespace bronzebarrow::node {

struct WorkCoreOptions {
  consensus::ReplicaOptions m_replica;
  runs::DispatcherOptions m_dispatcher;
  MachineOptions m_machines;
  /** A leader that was not confirmed for this long answers no calls. */
  Duration m_lead_lease = Millis(1000);
  /** Entries between two snapshots, and entries kept before one. */
  std::uint64_t m_snapshot_entries = 3000;
  std::uint64_t m_kept_entries = 500;
  /** How long a job that ended can be read. */
  Duration m_retention = Millis(150'000);
  std::uint64_t m_first_token = 1;
};

/** Names a connection or coroutine that waits for a reply. */
using CallSource = std::uint64_t;

struct ReplyOut {
  CallSource m_source = 0;
  wire::CallReplyT m_reply;
};

/**
 * Contract: feed events, then drain the Take functions; a batch taken is
 * synced before BatchSynced.
 */
class WorkCore {
 public:
  WorkCore(WorkCoreOptions options, consensus::DurableState durable,
           Moment moment);
  WorkCore(const WorkCore&) = delete;
  WorkCore& operator=(const WorkCore&) = delete;

  // Events.
  void Tick(Moment moment);
  void OnPeerMessage(const consensus::ReplicaId& from,
                     const wire::BodyUnion& body, Moment moment);
  void BatchSynced(Moment moment);
  void OnCall(CallSource source, const wire::CallT& call, Moment moment);
  void OnRunnerAnswer(const runs::RunnerCall& call,
                      const runs::RunnerAnswer& answer, Moment moment);
  void OnMachineList(std::vector<fleet::Machine> machines, Moment moment);
  void OnMachineAnswer(const fleet::MachineOrder& order,
                       fleet::MachineAnswer answer, Moment moment);
  void OnAdvice(const AdviceRequest& request,
                const std::map<std::string, std::string>* tickets,
                std::uint32_t valid_ms, Moment moment);
  void SetPeers(std::vector<std::string> peers);
  /** Hands the leadership over before a planned stop. */
  void OfferLeadership(Moment moment);

  // Actions.
  std::vector<consensus::Outgoing> TakePeerMessages();
  bool HasBatch() const { return m_replica.HasBatch(); }
  consensus::DurableBatchOut TakeBatch(Instant now);
  std::vector<ReplyOut> TakeReplies();
  std::vector<runs::RunnerCall> TakeRunnerCalls();
  /** @return addresses at which no runner of this member is any more. */
  std::vector<std::string> TakeLeftAddresses() {
    return m_dispatcher.TakeLeftAddresses();
  }
  std::vector<fleet::MachineOrder> TakeMachineOrders();
  std::vector<AdviceRequest> TakeAdviceRequests();
  /** @return whether the list of machines should be read now. */
  bool TakeListWish(Instant now) { return m_machines.TakeListWish(now); }

  /** @return whether this member leads, owns the pools and was confirmed. */
  bool CanServe(Instant now) const;
  wire::GroupViewT View(Instant now) const;
  const consensus::Replica& replica() const { return m_replica; }
  const jobs::WorkState& state() const { return m_state; }
  const runs::Dispatcher& dispatcher() const { return m_dispatcher; }
  std::uint64_t applied_index() const { return m_applied_index; }

 private:
  /** A call that waits for its command to be committed. */
  struct Waiting {
    CallSource m_source = 0;
    std::uint64_t m_call = 0;
    wire::WorkBody m_kind = wire::WorkBody::NONE;
  };
  struct Heartbeat {
    std::uint64_t m_born_ms = 0;
    std::uint64_t m_sequence = 0;
  };
  using CallHandler = void (WorkCore::*)(CallSource, std::uint64_t,
                                         const wire::CallBodyUnion&);

  static const std::map<wire::CallBody, CallHandler>& CallHandlers();
  void Submit(CallSource source, std::uint64_t call,
              const wire::CallBodyUnion& body);
  void ReadJob(CallSource source, std::uint64_t call,
               const wire::CallBodyUnion& body);
  void Cancel(CallSource source, std::uint64_t call,
              const wire::CallBodyUnion& body);
  void PutConfig(CallSource source, std::uint64_t call,
                 const wire::CallBodyUnion& body);
  void ReadConfig(CallSource source, std::uint64_t call,
                  const wire::CallBodyUnion& body);
  void ReportRunner(CallSource source, std::uint64_t call,
                    const wire::CallBodyUnion& body);
  void StartUpkeep(CallSource source, std::uint64_t call,
                   const wire::CallBodyUnion& body);
  void ReadUpkeep(CallSource source, std::uint64_t call,
                  const wire::CallBodyUnion& body);

  void Reply(CallSource source, std::uint64_t call, wire::CallOutcome outcome,
             std::string text = {}, std::uint32_t retry_after_ms = 0);
  void ReplyCommitted(const Waiting& waiting, const jobs::Applied& applied);
  void FailWaiting();
  std::uint64_t AddCommand(wire::WorkBodyUnion body);
  void Wait(std::uint64_t token, CallSource source, std::uint64_t call,
            wire::WorkBody kind);

  void Settle();
  void NoteRole();
  void LeaveStalledDisk();
  void ApplyCommitted();
  void ApplyEntry(const wire::LogEntryT& entry);
  void CompactIfLong();
  void TakeDispatcherCommands();
  void PlanWork();
  void OpenDueOccurrences();
  void ForgetOldJobs();
  void ProposeCommands();
  void LogSummary();

  WorkCoreOptions m_options;
  consensus::Replica m_replica;
  jobs::WorkState m_state;
  runs::Dispatcher m_dispatcher;
  MachinePlanner m_machines;
  AdviceBook m_advice;
  Moment m_moment;                       // Of the event being handled.
  std::optional<Instant> m_batch_since;  // A batch is being synced.
  Instant m_next_offer;
  std::uint64_t m_applied_index = 0;
  std::uint64_t m_last_compacted = 0;
  std::uint64_t m_last_term = 0;
  consensus::Role m_last_role = consensus::Role::kLearner;

  // Leader only; cleared when the leadership ends.
  std::optional<std::uint64_t> m_ownership_token;
  std::vector<std::unique_ptr<wire::WorkCommandT>> m_commands;
  std::unordered_map<std::uint64_t, std::vector<Waiting>> m_waiting;
  std::unordered_map<jobs::JobId, std::uint64_t> m_submitting;  // To tokens.
  std::set<std::uint64_t> m_assigning;  // Tokens of plans not yet applied.
  std::set<jobs::JobId> m_opening;      // Jobs with occurrences on their way.
  std::map<std::string, Heartbeat> m_heartbeats;
  std::map<std::string, Heartbeat> m_removed;  // Runners removed as gone.
  std::uint64_t m_batches_out = 0;             // Proposed and not applied.
  bool m_plan_wanted = false;
  Instant m_next_plan;
  Instant m_last_plan;
  Instant m_next_second;
  std::uint64_t m_next_token = 1;

  std::vector<ReplyOut> m_replies;
  std::vector<consensus::Outgoing> m_messages;
};

}  // namespace bronzebarrow::node

#endif  // BRONZEBARROW_NODE_WORK_CORE_H_
