// The owner's side of running tasks: leases, fencing, starts, stops and the
// ends that runners list. It does no I/O and reads no clock.
#ifndef BRONZEBARROW_RUNS_DISPATCHER_H_
#define BRONZEBARROW_RUNS_DISPATCHER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bronzebarrow/jobs.h"
#include "bronzebarrow/runs/runner_call.h"
#include "bronzebarrow/runs/runner_link.h"

namespace bronzebarrow::runs {

struct DispatcherOptions {
  /** Lease given with each hold; see docs/decisions/0004. */
  Duration m_lease = Millis(4500);
  /** How long an owner that was cut off may go on extending leases. */
  Duration m_owner_overlap = Millis(1000);
  /** Longest time a runner keeps a hold open while nothing ends. */
  Duration m_hold_wait = Millis(1000);
  /** Pause between holds of a runner that runs nothing. */
  Duration m_idle_hold = Millis(1000);
  /** Pause after ends, so that several share one record and one hold. */
  Duration m_gather = Millis(15);
  /** Pause before a call that got no answer is tried again. */
  Duration m_retry = Millis(200);
  /** Runs that last no longer than their work show progress within this. */
  Duration m_stall = Millis(1500);
};

/**
 * Drives runners towards what the log says. Contract: every call taken is
 * answered once by OnAnswer, with kNoAnswer when none came; every command
 * taken is proposed, and its effect comes back through OnApplied.
 *
 * A run is declared lost only when it cannot run any more: its runner is
 * gone, its lease has lapsed, or a list made after the last order does not
 * show it.
 */
class Dispatcher {
 public:
  Dispatcher(const jobs::WorkState& state, DispatcherOptions options);

  /** Begins to own all pools under `epoch`. */
  void Lead(std::uint64_t epoch, Instant now);
  void StopLeading();
  bool leading() const { return m_epoch != 0; }

  void Tick(Instant now);
  void OnApplied(const jobs::Applied& applied, Instant now);
  void OnAnswer(const RunnerCall& call, const RunnerAnswer& answer,
                Instant now);
  /** Tickets go with the starts of the runs that are about to be assigned. */
  void SetTicket(const jobs::TaskKey& task, std::string ticket);
  /** Asks a run to work at a share of its pace. */
  void Pace(const std::string& runner, const jobs::TaskKey& task,
            std::uint32_t percent, Instant now);
  /** Stops a run that the log still wants; it is placed anew elsewhere. */
  void StopRun(const std::string& runner, const jobs::TaskKey& task,
               Instant now);

  std::vector<RunnerCall> TakeCalls();
  std::vector<wire::WorkBodyUnion> TakeCommands();
  /** @return addresses at which no runner of this owner is any more. */
  std::vector<std::string> TakeLeftAddresses();

  /** @return whether a runner may be given work now. */
  bool IsUsable(const std::string& runner, Instant now) const;
  const RunnerLink* FindLink(const std::string& runner) const;
  const std::map<std::string, RunnerLink>& links() const { return m_links; }

 private:
  void RefreshLink(const std::string& runner, Instant now);
  Instant LapseOf(const RunnerLink& link) const;
  RunnerCall MakeCall(CallKind kind, const std::string& runner,
                      RunnerLink& link, Instant now) const;
  void SendStart(const std::string& runner, RunnerLink& link,
                 const jobs::TaskKey& task, RunOrder& order, Instant now);
  void SendStop(const std::string& runner, RunnerLink& link,
                const jobs::RunKey& run, Instant now);
  void SendHold(const std::string& runner, RunnerLink& link, Instant now);
  void TickLink(const std::string& runner, RunnerLink& link, Instant now);
  void OnStart(const RunnerCall& call, const RunnerAnswer& answer,
               RunnerLink& link, Instant now);
  void OnStop(const RunnerCall& call, const RunnerAnswer& answer,
              RunnerLink& link, Instant now);
  void OnHold(const RunnerCall& call, const RunnerAnswer& answer,
              RunnerLink& link, Instant now);
  void Reconcile(const RunnerCall& call, const RunnerAnswer& answer,
                 RunnerLink& link, Instant now);
  void PutAside(const std::string& runner, RunnerLink& link, const char* cause,
                Instant now);
  void StopStalled(const std::string& runner, RunnerLink& link, Instant now);
  void Remove(const std::string& runner, const RunnerLink& link,
              AnswerKind cause);
  void LoseRuns(const std::string& runner, RunnerLink& link,
                const std::vector<jobs::RunKey>& runs, const char* cause);
  void StopEndedJob(jobs::JobId id, Instant now);
  /** @return whether the order for this very run was there. */
  static bool Forget(RunnerLink& link, const jobs::RunKey& run);

  const jobs::WorkState& m_state;
  DispatcherOptions m_options;
  std::uint64_t m_epoch = 0;                  // 0: not leading.
  std::map<std::string, RunnerLink> m_links;  // One for each known runner.
  std::unordered_map<jobs::TaskKey, std::string> m_tickets;
  std::vector<RunnerCall> m_calls;
  std::vector<wire::WorkBodyUnion> m_commands;
  std::vector<std::string> m_left_addresses;
};

}  // namespace bronzebarrow::runs

#endif  // BRONZEBARROW_RUNS_DISPATCHER_H_
