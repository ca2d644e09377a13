// Decides which machines are drained for upkeep or moved to another pool, and
// when the platform is asked to do so. A wave of upkeep proceeds within its
// cap and the availability budgets of long-running tasks; machines are
// rebalanced between pools by demand. Load pattern: half of all machines are
// due for upkeep within 26 s, several at once, while one queue after another
// has a demand peak of several times its mean.
#ifndef BRONZEBARROW_NODE_MACHINE_PLANNER_H_
#define BRONZEBARROW_NODE_MACHINE_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bronzebarrow/base/time.h"
#include "bronzebarrow/fleet/machine.h"
#include "bronzebarrow/jobs.h"
#include "bronzebarrow/node/availability_budget.h"
#include "bronzebarrow/placement.h"
#include "bronzebarrow/runs.h"

namespace bronzebarrow::node {

struct MachineOptions {
  std::string m_holder;  // Holder name in requests to the platform.
  /**
   * Pause between the requests of two owners for one machine; must exceed the
   * platform's lease on the machine.
   */
  Duration m_handover_pause = Millis(3300);
  /** Time that short tasks get to finish before their machine's upkeep. */
  Duration m_drain_timeout = Millis(2500);
  /**
   * Duration of an upkeep. A machine with a runner this long after the platform
   * accepted the request counts as returned.
   */
  Duration m_upkeep_duration = Millis(2000);
  /** Pause before a request or a command is repeated. */
  Duration m_retry_interval = Millis(400);
  /** Time that a machine needs to move to another pool. */
  Duration m_move_duration = Millis(1500);
  /** A move is abandoned when draining its machine takes longer than this. */
  Duration m_move_drain_timeout = Millis(3000);
  Duration m_balance_interval = Millis(100);  // Between rebalances of pools.
  /** Pause between reads of the platform's machine inventory. */
  Duration m_listing_interval = Millis(10'000);
  /** The platform's limit on requests per second of all members together. */
  double m_requests_per_s = 64;
  placement::BalanceOptions m_balance;
};

/**
 * Progress of the placement plans. It shows when every plan that was made
 * before a machine was closed to new work is in the log.
 */
struct PlanProgress {
  std::uint64_t m_next = 0;         // Number of the next plan.
  std::uint64_t m_oldest_open = 0;  // Plans with lower numbers are in the log.
};

/**
 * Part of the core: it does no I/O. The I/O layer sends the requests, and
 * commands in the log record each request before it is sent.
 */
class MachinePlanner {
 public:
  MachinePlanner(const jobs::WorkState& state, runs::Dispatcher& dispatcher,
                 MachineOptions options)
      : m_state(state),
        m_dispatcher(dispatcher),
        m_options(std::move(options)),
        m_budget(state, dispatcher) {}

  /** Starts to own all machines; `epoch` is the fencing token of requests. */
  void BecomeLeader(std::uint64_t epoch, Instant now);
  void StepDown();
  void Tick(Moment moment, PlanProgress plans);
  /**
   * Also called on members that are not the owner: a later owner must not send
   * requests too soon after those of an earlier one.
   */
  void OnApplied(const jobs::ApplyResult& applied, Instant now);
  /** Replaces the machine inventory by a complete listing. */
  void OnMachineInventory(std::vector<fleet::Machine> machines, Instant now);
  void OnAnswer(const fleet::MachineRequest& request,
                fleet::MachineResponse answer, Instant now);
  /** @return whether the runner may be assigned new runs. */
  bool AcceptsWork(const jobs::Runner& runner) const;
  /**
   * @return whether the runner may have ended because a move or an upkeep of
   * its machine was requested, by this owner or shortly before by an earlier
   * one
   */
  bool IsDownAsRequested(const jobs::Runner& runner) const;
  /** @return whether an upkeep of the machine is due in some wave. */
  bool IsUpkeepDue(const std::string& machine) const;

  /** @param milli by pool, as AdmissionControl::RejectedMilli */
  void SetDemandInputs(std::map<std::string, std::int64_t> milli,
                       placement::TypicalSteps typical) {
    m_rejected_milli = std::move(milli);
    m_typical = std::move(typical);
  }
  /** @return the outlook of all pools if it was computed since the last call.
   */
  std::optional<std::map<std::string, placement::PoolOutlook>> TakeOutlook() {
    return std::exchange(m_outlook, std::nullopt);
  }
  std::vector<fleet::MachineRequest> TakeRequests();
  std::vector<wire::WorkBodyUnion> TakeCommands();
  /** As Dispatcher::TakeLostRuns: runs that an upkeep or a move has ended. */
  std::map<std::string, std::uint64_t> TakeLostRuns();
  /**
   * @return whether the machine inventory is to be read now; the next read is
   * then due after the listing interval.
   */
  bool TakeInventoryRequest(Instant now);

 private:
  enum class Phase {
    kDraining,    // Waits until no run keeps the machine from its request.
    kRecording,   // Waits until the request is recorded in the log.
    kRequesting,  // Sends the request until the platform accepts it.
    kDown         // Accepted; waits until the machine is back in service.
  };
  /** The last recorded request for a machine. */
  struct LastRequest {
    std::uint64_t m_epoch = 0;
    Instant m_applied_at;  // When its command was applied on this member.
    std::string m_runner;  // Of the machine at that time; empty: none.
    std::uint64_t m_born_ms = 0;
  };
  /** An upkeep or a move in progress. */
  struct Operation {
    fleet::MachineAction m_action = fleet::MachineAction::kUpkeep;
    std::uint64_t m_wave = 0;  // The wave of an upkeep; 0 for a move.
    std::string m_pool;  // The destination of a move; empty for an upkeep.
    // The first placement plan made after the machine was closed to new work;
    // earlier plans may have assigned runs to the machine.
    std::uint64_t m_first_plan_after_close = 0;
    Phase m_phase = Phase::kDraining;
    Instant m_timer_start;  // Start of the drain; in kDown, time of acceptance.
    Instant m_next_try;     // Earliest time of the next request or command.
    bool m_request_in_flight = false;
    bool m_request_sent = false;  // At least once.
    // Incarnation of the runner that is drained and then removed, by its id
    // and start time; the id is empty when the machine has no runner.
    std::string m_runner;
    std::uint64_t m_born_ms = 0;
  };

  std::uint32_t CountProtectedTasks(const jobs::Runner& runner);
  bool EvictLongRunningTasks(const jobs::Runner& runner);
  void SelectForUpkeep(const jobs::UpkeepWave& wave, Instant now);
  Operation& StartOperation(const std::string& machine,
                            const jobs::Runner* runner, Instant now);
  /** @return whether the operation has ended. */
  bool Advance(const std::string& machine, Operation& operation, Instant now);
  bool IsHandoverOver(const std::string& machine) const;
  /** @return whether the operation drains, or drained, this incarnation. */
  static bool IsDrainedIncarnation(const Operation& operation,
                                   const jobs::Runner& runner);
  bool Drain(const std::string& machine, Operation& operation, Instant now);
  void SendRequest(const std::string& machine, Operation& operation,
                   Instant now);
  void RemoveEndedRunner(const Operation& operation,
                         const fleet::MachineRequest& request);
  bool HasReturned(const std::string& machine, const Operation& operation,
                   Instant now) const;
  bool IsLostOnMove(const std::string& machine, const Operation& operation,
                    Instant now) const;
  bool IsBeingFenced(const std::string& runner) const;
  void BalancePools(Moment moment);
  static void LogPools(const std::vector<placement::PoolLoad>& loads);
  std::vector<placement::PoolLoad> ComputePoolLoads(Moment moment);
  void RecordUpkeepStep(std::uint64_t wave, const std::string& machine,
                        bool done, bool skipped);

  const jobs::WorkState& m_state;
  runs::Dispatcher& m_dispatcher;
  MachineOptions m_options;
  AvailabilityBudget m_budget;
  std::uint64_t m_epoch = 0;  // 0: this member is not the owner.
  Instant m_now;              // Time of the last tick.
  PlanProgress m_plans;       // Progress at the last tick.
  std::map<std::string, Operation> m_operations;  // By machine.
  // By machine; kept on every member, also while it is not the owner.
  std::map<std::string, LastRequest> m_last_requests;
  // Machine inventory, by name: the last listing and the moves accepted since.
  std::map<std::string, fleet::Machine> m_inventory;
  // By machine: a machine in standby is not moved before this time.
  std::map<std::string, Instant> m_not_movable_before;
  // By pool: when it was last short of capacity.
  std::map<std::string, Instant> m_last_shortage;
  // By pool: when it last had more than half of all demand, its demand peak.
  std::map<std::string, Instant> m_last_peak;
  std::map<std::string, std::int64_t> m_rejected_milli;  // By pool.
  placement::TypicalSteps m_typical;
  std::optional<std::map<std::string, placement::PoolOutlook>> m_outlook;
  double m_allowed_moves = 0;  // Moves that the platform's rate permits now.
  std::int64_t m_largest_machine_milli = 0;  // CPU of the largest machine.
  Instant m_next_balance;
  Instant m_next_listing;
  Instant m_next_log;
  std::vector<fleet::MachineRequest> m_requests;
  std::vector<wire::WorkBodyUnion> m_commands;
  std::map<std::string, std::uint64_t> m_lost_runs;  // By cause; not yet taken.
};

}  // namespace bronzebarrow::node

#endif  // BRONZEBARROW_NODE_MACHINE_PLANNER_H_
