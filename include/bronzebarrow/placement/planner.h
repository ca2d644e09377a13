// Assigns waiting tasks to runners. Load pattern: bursts of steps of 6 to 30
// tasks on pools of about ten runners, four per rack, that also run
// long-running tasks. Test: tests/placement_test.cc.
#ifndef BRONZEBARROW_PLACEMENT_PLANNER_H_
#define BRONZEBARROW_PLACEMENT_PLANNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "bronzebarrow/base/time.h"
#include "bronzebarrow/jobs.h"
#include "bronzebarrow/placement/gap_reservation.h"
#include "bronzebarrow/placement/job_order.h"

namespace bronzebarrow::placement {

/** A runner that may be given work, with its free capacity. */
struct Candidate {
  const jobs::Runner* m_runner = nullptr;
  jobs::Resources m_free;
  // What is free once all tasks that end on their own have ended.
  jobs::Resources m_free_without_finite;
  bool m_goes_down_soon = false;    // Its machine goes down soon for upkeep.
  std::int64_t m_long_running = 0;  // Long-running tasks on it.
  std::string_view m_rack;
  bool m_reserved = false;  // For a long-running task that does not fit yet.
  std::uint32_t m_step_tasks = 0;       // Its tasks of the step being placed.
  std::optional<GapReservation> m_gap;  // For a large task.
  // Runs the trial of a suspect, or will: gets nothing else.
  bool m_kept_for_trial = false;
  // Suspects that this pass starts there together: those without a crash just
  // after a start. Their trials last a second each, too long for one by one.
  std::size_t m_shared_trials = 0;
  // While jobs are kept apart: the only job that may start there now, if any
  // has just started.
  std::optional<jobs::JobId> m_starting_job;
};

/** Runs to assign to one runner. */
struct Placement {
  std::string m_runner;
  std::uint64_t m_born_ms = 0;
  std::vector<jobs::RunKey> m_runs;
};

/** Decides which runners may run a step; its ticket is sent with each start. */
class Adviser {
 public:
  virtual ~Adviser() = default;
  /**
   * @return the ticket for the runner, empty when none is needed; nullopt when
   * the runner may not run the step or the adviser has not decided yet
   */
  virtual std::optional<std::string> TicketFor(const jobs::TaskKey& step,
                                               const std::string& runner) = 0;
};

struct PlanInput {
  explicit PlanInput(const jobs::WorkState& state) : m_state(state) {}

  const jobs::WorkState& m_state;
  std::uint64_t m_now_ms = 0;
  const TypicalSteps* m_typical = nullptr;  // Null: none is known.
  std::function<bool(const jobs::Runner& runner)> m_is_usable;
  /**
   * Whether the machine goes down soon for upkeep; long-running tasks are
   * placed elsewhere if possible.
   */
  std::function<bool(const std::string& machine)> m_goes_down_soon;
  /**
   * Whether a suspect is tried on the runner, and whether any run there is
   * younger than jobs::kSettlingTime.
   */
  std::function<bool(const jobs::Runner& runner)> m_is_trying;
  std::function<bool(const jobs::Runner& runner)> m_has_unsettled_run;
  /**
   * Whether tasks are likely to have crashed runners of the pool lately. Then
   * runs of one job only start on a runner at a time, so that a further crash
   * has one suspect and no bystander of it needs a trial.
   */
  std::function<bool(const std::string& pool)> m_keeps_jobs_apart;
  /** Jobs with runs that were assigned to it within their trial period. */
  std::function<std::set<jobs::JobId>(const jobs::Runner& runner)>
      m_starting_jobs;
  /** The pool's runners that crashed and may not be back yet. */
  std::function<std::size_t(const std::string& pool)> m_count_crashed;
  /**
   * Time since the run was assigned; nothing if an earlier owner assigned it.
   * Empty: no room is kept for large tasks.
   */
  std::function<std::optional<std::int64_t>(const jobs::Runner& runner,
                                            const jobs::TaskKey& task)>
      m_run_age_ms;
  Adviser* m_adviser = nullptr;  // Null: queues that need advice get no runs.
  // Limit per plan, which bounds its log record. A gang is placed whole and may
  // exceed it.
  std::size_t m_max_runs = 400;
};

/** What one plan has looked at, as a measure of its processor time. */
struct PlanCost {
  std::size_t m_jobs = 0;        // Ranked.
  std::size_t m_runners = 0;     // Of the pools with startable tasks.
  std::size_t m_candidates = 0;  // Compared for a task, once for each task.
  std::size_t m_gaps = 0;        // Runners kept for large tasks.
};

/**
 * @return time from the start of a plan of this cost to that of the next one,
 * so that plans take a bounded share of a processor
 */
Duration PauseAfterPlan(const PlanCost& cost);

/** Pauses after the cheapest and after the most expensive plans. */
constexpr Duration kMinPlanInterval = Millis(15);
constexpr Duration kMaxPlanInterval = Millis(100);

/**
 * @param cost if not null, is set to the cost of the plan
 * @return runs to assign; all of them fit into the runners' free capacity
 */
std::vector<Placement> PlanAssignments(const PlanInput& input,
                                       PlanCost* cost = nullptr);

}  // namespace bronzebarrow::placement

#endif  // BRONZEBARROW_PLACEMENT_PLANNER_H_
