// The owner's side of running tasks: renews the leases of runners, fences
// earlier owners, starts and stops runs, and records the ends that runners
// report. Does no I/O and reads no clock.
#ifndef BRONZEBARROW_RUNS_DISPATCHER_H_
#define BRONZEBARROW_RUNS_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bronzebarrow/jobs.h"
#include "bronzebarrow/runs/crash_history.h"
#include "bronzebarrow/runs/runner_call.h"
#include "bronzebarrow/runs/runner_link.h"
#include "bronzebarrow/runs/start_recorder.h"

namespace bronzebarrow::runs {

struct DispatcherOptions {
  /**
   * Lease duration granted by each hold (described at Dispatcher); see
   * docs/decisions/0004.
   */
  Duration m_lease = Millis(4500);
  /** How long a partitioned former owner may still extend leases. */
  Duration m_owner_overlap = Millis(1000);
  /** Longest time a runner delays its response to a hold while no run ends. */
  Duration m_hold_wait = Millis(1000);
  /**
   * Interval between holds to a runner without runs, which needs no lease. Most
   * runners are idle between demand peaks, so their holds would be half of all
   * calls at an interval of a second.
   */
  Duration m_idle_hold_interval = Millis(3000);
  /**
   * Delay of the next hold after reported ends, so that several ends share one
   * log record and one hold.
   */
  Duration m_end_batch_delay = Millis(15);
  /** Delay before a call that timed out is sent again. */
  Duration m_retry_delay = Millis(200);
  /**
   * A run of a task that is not long-running counts as stalled after this time
   * without progress, or later if its estimate is long.
   */
  Duration m_stall_timeout = Millis(1500);
};

/**
 * Reconciles the runs on the runners with the assignments in the replicated
 * log. A hold is a long poll that renews a runner's lease and returns its run
 * list: the runs that are running and those that have ended.
 *
 * Contract: the caller sends every call of TakeOutgoingCalls and passes its
 * result to OnAnswer exactly once, with kNoAnswer after a timeout and kNotSent
 * if it was not permitted to send it; it proposes every command of
 * TakeCommands, and the applied command comes back through OnApplied.
 *
 * Invariant: a run is declared lost only when it can no longer be running. Its
 * start was never sent, its lease has expired, it is missing from a run list
 * made after its last start or stop, or its runner has ended. A refused or
 * broken connection does not show that: the runner may be cut off. Another
 * incarnation at its address, a later runner of its machine and the platform's
 * machine inventory do. See docs/decisions/0009-ends-of-runners.md.
 */
class Dispatcher {
 public:
  Dispatcher(const jobs::WorkState& state, DispatcherOptions options);

  /** Starts to own all pools; `epoch` is the fencing token of its calls. */
  void BecomeLeader(std::uint64_t epoch, Instant now);
  void StepDown();
  bool leading() const { return m_epoch != 0; }

  void Tick(Instant now);
  void OnApplied(const jobs::ApplyResult& applied, Instant now);
  void OnAnswer(const RunnerCall& call, const RunnerAnswer& answer,
                Instant now);
  /**
   * Sets the adviser's ticket that is sent with the start of the next run of
   * `task`. Called before the run is assigned.
   */
  void SetTicket(const jobs::TaskKey& task, std::string ticket);
  /**
   * The runner reports a later start than the registered one. If it has runs,
   * its next run list decides: a delayed report of an earlier incarnation is no
   * restart. A new incarnation has the same id and carries out calls that were
   * sent before; the old one is removed once none of its runs can be there.
   * @return whether it is removed now
   */
  bool OnRestarted(const std::string& runner, Instant now);
  /**
   * The runner is about to end. That it says so does not show that it has: its
   * runs are stopped, and it is removed once none is left. Has no effect if it
   * is not registered or if `born_ms` is that of another incarnation; 0 if the
   * runner did not name its own.
   */
  void OnLeaving(const std::string& runner, std::uint64_t born_ms, Instant now);
  /**
   * @return whether the machine inventory should be read now, because it may
   * show that silent runners have ended
   */
  bool TakeInventoryRequest(Instant now);
  /**
   * The platform lists the runner's machine as not in service, or with another
   * runner. Has no effect unless the runner was silent when the list was
   * requested.
   * @param crashed false if the machine is being moved or maintained
   */
  void OnEndListed(const std::string& runner, Instant requested_at,
                   bool crashed, Instant now);
  /**
   * @param check whether the runner's machine may be down because the owner
   * requested a move or an upkeep, so that its end is no crash
   */
  void SetDownAsRequested(std::function<bool(const jobs::Runner&)> check) {
    m_is_down_as_requested = std::move(check);
  }
  /** Throttles a run to `percent` of its full rate. */
  void Throttle(const std::string& runner, const jobs::TaskKey& task,
                std::uint32_t percent, Instant now);
  /**
   * Stops a run that the log still assigns to the runner. Its task is assigned
   * again unless its job has ended.
   */
  void StopRun(const std::string& runner, const jobs::TaskKey& task,
               Instant now);

  std::vector<RunnerCall> TakeOutgoingCalls();
  std::vector<wire::WorkBodyUnion> TakeCommands();
  /** Records of starts, which the caller proposes as it does TakeCommands. */
  StartRecorder& start_recorder() { return m_start_recorder; }
  /** @return the number of runs ended as lost since the last call, by cause. */
  std::map<std::string, std::uint64_t> TakeLostRuns();
  /** @return addresses that no runner of this owner uses any longer. */
  std::vector<std::string> TakeUnusedAddresses();

  /** @return whether new runs may be assigned to the runner now. */
  bool IsUsable(const std::string& runner, Instant now) const;
  /**
   * @return whether the run of a suspect (jobs::IsSuspect) is in its trial
   * period there, so that no other run may be assigned to the runner
   */
  bool IsTrying(const std::string& runner, Instant now) const;
  /** @return whether any run there is younger than jobs::kSettlingTime. */
  bool HasUnsettledRun(const std::string& runner, Instant now) const;
  /** As CrashHistory::CrashesFollowStarts. */
  bool CrashesFollowStarts(const std::string& pool, Instant now) const {
    return m_crash_history.CrashesFollowStarts(pool, now);
  }
  /**
   * @return jobs with runs that were assigned to the runner within their trial
   * period; a run planned after it starts when they are past theirs
   */
  std::set<jobs::JobId> StartingJobs(const std::string& runner,
                                     Instant now) const;
  /** @return runners of the pool that crashed and may not be back yet. */
  std::size_t CountCrashed(const std::string& pool, Instant now) const {
    return m_crash_history.CountNotBack(pool, now);
  }
  const RunnerLink* FindLink(const std::string& runner) const;

 private:
  void RefreshLink(const std::string& runner, Instant now);
  // Adds the task to the link's trials if it is a suspect.
  void AddTrial(RunnerLink& link, const jobs::TaskKey& task) const;
  std::vector<jobs::RunnerCrash> CrashesOf(const jobs::TaskKey& task) const;
  Duration TrialPeriodOf(const jobs::TaskKey& task) const;
  jobs::CrashEvidence AssessCrash(const RunnerLink& link,
                                  bool has_other_causes) const;
  Instant LeaseExpiry(const RunnerLink& link) const;
  // Whether its last lease has expired since it last answered, so that its run
  // list shows what became of its runs.
  bool MayHaveLapsed(const RunnerLink& link, Instant now) const;
  Instant NextHold(const RunnerLink& link) const;
  // The earliest time at which TickLink has something to do if nothing changes.
  Instant NextTick(const RunnerLink& link) const;
  RunnerCall MakeCall(CallKind kind, const std::string& runner,
                      RunnerLink& link, Instant now) const;
  void SendStart(const std::string& runner, RunnerLink& link,
                 const jobs::TaskKey& task, TrackedRun& tracked, Instant now);
  void SendStop(const std::string& runner, RunnerLink& link,
                const jobs::RunKey& run, Instant now);
  void SendHold(const std::string& runner, RunnerLink& link, Instant now);
  void TickLink(const std::string& runner, RunnerLink& link, Instant now);
  void HandleByKind(const RunnerCall& call, const RunnerAnswer& answer,
                    RunnerLink& link, Instant now);
  void OnStart(const RunnerCall& call, const RunnerAnswer& answer,
               RunnerLink& link, Instant now);
  void OnStop(const RunnerCall& call, const RunnerAnswer& answer,
              RunnerLink& link, Instant now);
  void OnHold(const RunnerCall& call, const RunnerAnswer& answer,
              RunnerLink& link, Instant now);
  // An incarnation other than the registered one has answered.
  void OnOtherIncarnation(const RunnerCall& call, const RunnerAnswer& answer,
                          RunnerLink& link, Instant now);
  // Stops the runs whose start may have reached the next incarnation.
  // @return whether there are any that it had not confirmed as stopped by
  // `list_sent`, so that a list from then does not show that they have ended
  bool StopRunsAtNextIncarnation(const std::string& runner, RunnerLink& link,
                                 Instant list_sent, Instant now);
  // Records a call without an answer.
  void OnSilence(const RunnerCall& call, const RunnerAnswer& answer,
                 RunnerLink& link, Instant now);
  // Makes the call due again. Leases that it would have granted still count.
  void OnNotSent(const RunnerCall& call, RunnerLink& link, Instant now);
  // Stops the runs of a runner that leaves, and removes it when it has none.
  void EmptyLeavingRunner(const std::string& runner, RunnerLink& link,
                          Instant now);
  // Whether another runner of its machine or at its address was up after this
  // one last answered. The order of their start times does not show it: clocks
  // are set back.
  bool HasSuccessor(const std::string& runner, const RunnerLink& link) const;
  void ReconcileRunList(const RunnerCall& call, const RunnerAnswer& answer,
                        RunnerLink& link, Instant now);
  void Quarantine(const std::string& runner, RunnerLink& link,
                  const char* cause, Instant now);
  void StopStalled(const std::string& runner, RunnerLink& link, Instant now);
  void ProposeRemoval(const std::string& runner, RunnerLink& link,
                      RemovalCause cause, Instant now);
  void ProposeLostRuns(const std::string& runner, RunnerLink& link,
                       const std::vector<jobs::RunKey>& runs,
                       std::string_view cause);
  void StopRunsOfEndedJob(jobs::JobId id, Instant now);
  /** @return the run if exactly it is tracked, or null. */
  static TrackedRun* FindTracked(RunnerLink& link, const jobs::RunKey& run);
  /** @return whether exactly this run was tracked. */
  static bool StopTracking(RunnerLink& link, const jobs::RunKey& run);

  /** The runner was up at some time after the call was sent. */
  struct SignOfLife {
    std::string m_runner;
    Instant m_call_sent;
  };
  using SignsOfLife = std::unordered_map<std::string, SignOfLife>;

  const jobs::WorkState& m_state;
  DispatcherOptions m_options;
  std::function<bool(const jobs::Runner&)> m_is_down_as_requested;
  CrashHistory m_crash_history;
  StartRecorder m_start_recorder;
  std::uint64_t m_epoch = 0;  // Fencing token; 0: not the owner.
  // One per registered runner. Looked up for each candidate of each plan.
  std::unordered_map<std::string, RunnerLink> m_links;
  // The runner that last answered a hold, by machine and by address.
  SignsOfLife m_signs_by_machine;
  SignsOfLife m_signs_by_address;
  std::unordered_map<jobs::TaskKey, std::string> m_tickets;
  std::vector<RunnerCall> m_calls;
  std::vector<wire::WorkBodyUnion> m_commands;
  std::map<std::string, std::uint64_t> m_lost_runs;  // By cause; not yet taken.
  std::vector<std::string> m_unused_addresses;
  // When the inventory is read next if a runner is silent, and the pause after
  // that.
  Instant m_next_inventory;
  Duration m_inventory_pause = Duration::zero();
};

}  // namespace bronzebarrow::runs

#endif  // BRONZEBARROW_RUNS_DISPATCHER_H_
