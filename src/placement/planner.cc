// Assigns tasks to runners, job by job in ranked order and step by step.
#include "bronzebarrow/placement/planner.h"

#include <algorithm>
#include <optional>
#include <set>
#include <span>
#include <tuple>
#include <utility>

#include "bronzebarrow/placement/job_order.h"

namespace bronzebarrow::placement {
namespace {

bool HasLabel(const jobs::Runner& runner, const std::string& label) {
  const auto& labels = runner.m_record.labels;
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

// Labels are the runner's kind and its rack, so the rack is the last label.
std::string_view RackOf(const jobs::Runner& runner) {
  return runner.m_record.labels.empty() ? std::string_view()
                                        : runner.m_record.labels.back();
}

// Pause for each look of a plan, a multiple of its processor time.
constexpr std::chrono::microseconds kPausePerJob{20};
constexpr std::chrono::microseconds kPausePerRunner{5};
constexpr std::chrono::microseconds kPausePerCandidate{1};

// Limit of suspects whose trials share a runner: if it crashes, all of them
// need a trial of their own.
constexpr std::size_t kMaxSharedTrials = 8;

// A task is large if it needs this many times the mean of what the pool's
// waiting tasks need. Room that is kept stays idle, so it is kept only where
// others would keep refilling a gap.
constexpr std::int64_t kLargeTaskFactor = 2;

// A trial is overdue if its task has waited this long since its last crash.
constexpr std::uint64_t kOverdueTrialMs = 5000;

/** One pass of planning over all pools. */
class PlanningPass {
 public:
  PlanningPass(const PlanInput& input, const std::vector<RankedJob>& ranking)
      : m_input(input),
        m_shares(input.m_state.organisations(), input.m_state.usage(),
                 CapacityOf(input.m_state, ranking)) {
    m_cost.m_jobs = ranking.size();
    for (const RankedJob& ranked : ranking) {
      m_pools[ranked.m_queue->pool].AddNeeds(*ranked.m_job);
    }
    for (auto& [name, pool] : m_pools) {
      AddCandidates(name, pool);
    }
  }

  // Suspects are placed before all other tasks: these would start anew on each
  // runner, so that no crash could be traced to one task.
  // Those that were the only suspect of a crash come last, because they are
  // likely to crash another runner, with the runs of others. Otherwise those
  // that have waited longest come first, so that none waits for ever.
  void PlaceSuspects() {
    const jobs::WorkState& state = m_input.m_state;
    std::vector<std::tuple<bool, std::uint64_t, jobs::TaskKey>> waiting;
    for (const jobs::TaskKey& key : state.suspects()) {
      const jobs::Job& job = *state.FindJob(key.m_job);
      const jobs::Task& task = *job.FindTask(key);
      Pool* const pool = FindPool(job);
      if (task.m_state != jobs::TaskState::kWaiting || pool == nullptr ||
          !job.IsStepReady(job.m_occurrences.at(key.m_occurrence),
                           key.m_step)) {
        continue;
      }
      const jobs::RunnerCrash& crash = task.m_crashes.back();
      if (crash.m_only_suspect) {
        const wire::StepSpecT& spec = *job.m_spec.steps[key.m_step];
        pool->m_waiting_need.Add(jobs::ResourcesOf(spec), -1);
      }
      waiting.emplace_back(crash.m_only_suspect, crash.m_time_ms, key);
    }
    std::sort(waiting.begin(), waiting.end());
    for (const auto& [only_suspect, crashed_ms, key] : waiting) {
      const jobs::Job& job = *state.FindJob(key.m_job);
      Pool& pool = *FindPool(job);
      PlaceSuspect({&job, state.FindQueue(job)}, key,
                   job.m_occurrences.at(key.m_occurrence).m_steps[key.m_step],
                   only_suspect && pool.m_keeps_jobs_apart, pool);
    }
  }

  // Places jobs that are equal in the order of placement but for their
  // acceptance. Those in progress go on in the order of acceptance, as many
  // jobs half done are late together. New ones follow start-time fair queueing:
  // each by the work of its organisation that waits before it, over the weight,
  // so that a deep backlog waits for shallow ones and is not passed for ever.
  void PlaceByShare(std::span<const RankedJob> equal) {
    std::vector<std::pair<double, const RankedJob*>> order;
    std::map<std::string_view, double> work_by_organisation;
    const bool are_in_progress = equal.front().m_in_progress;
    for (const RankedJob& ranked : equal) {
      const std::string& organisation = ranked.m_job->m_organisation;
      double& work_before = work_by_organisation[organisation];
      order.emplace_back(
          are_in_progress ? 0 : work_before / m_shares.WeightOf(organisation),
          &ranked);
      work_before += m_shares.DominantWork(ranked.m_job->m_spec);
    }
    std::stable_sort(
        order.begin(), order.end(),
        [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [start, ranked] : order) {
      if (HasReachedMaxRuns()) {
        return;
      }
      PlaceJob(*ranked);
    }
  }

  void PlaceJob(const RankedJob& ranked) {
    const jobs::Job& job = *ranked.m_job;
    const auto pool = m_pools.find(ranked.m_queue->pool);
    if (pool == m_pools.end() || pool->second.m_candidates.empty()) {
      return;
    }
    for (const auto& [number, occurrence] : job.m_occurrences) {
      for (std::size_t step = 0; step < occurrence.m_steps.size(); ++step) {
        if (occurrence.m_steps[step].m_waiting > 0 && !HasReachedMaxRuns() &&
            job.IsStepReady(occurrence, step)) {
          PlaceStep(ranked, number, occurrence.m_steps[step], step,
                    pool->second);
        }
      }
    }
  }

  std::vector<Placement> TakePlacements() {
    std::vector<Placement> placements;
    for (auto& [runner, placement] : m_placements) {
      placements.push_back(std::move(placement));
    }
    return placements;
  }

  const PlanCost& cost() const { return m_cost; }

  bool HasReachedMaxRuns() const { return m_runs >= m_input.m_max_runs; }

 private:
  // Of the pools with startable tasks, among whose runners the organisations
  // share.
  static Resources CapacityOf(const jobs::WorkState& state,
                              const std::vector<RankedJob>& ranking) {
    Resources total;
    if (state.organisations().empty()) {
      return total;
    }
    std::set<std::string_view> pools;
    for (const RankedJob& ranked : ranking) {
      if (pools.insert(ranked.m_queue->pool).second) {
        for (const auto& [id, runner] :
             state.RunnersOfPool(ranked.m_queue->pool)) {
          total.Add(runner->TotalResources(), 1);
        }
      }
    }
    return total;
  }

  /** The candidates of one pool, and needs that fit on none of them. */
  struct Pool {
    // The least of each resource that any startable task needs. Runners with
    // less are left out; all zero when a long-running task waits, because it
    // may reserve a full runner.
    std::optional<jobs::Resources> m_least_need;
    std::vector<Candidate> m_candidates;
    // Runs of one job only start on a runner at a time.
    bool m_keeps_jobs_apart = false;
    std::size_t m_runners = 0;  // Usable, whether they are candidates or not.
    std::size_t m_trials = 0;   // Runners that try a suspect, or will.
    std::size_t m_crashed = 0;  // Runners that may not be back yet.
    // What the startable tasks need, but for those that were the only suspect
    // of a crash.
    jobs::Resources m_waiting_need;
    std::int64_t m_waiting_tasks = 0;
    // Whether room for a large task was looked for in this pass. There is one
    // such task a pass at most: more would leave more room idle.
    bool m_has_kept_gap = false;
    // Needs of steps without further constraints that fit on no runner. Steps
    // that need at least as much per task are skipped, because free capacity
    // only shrinks during a pass.
    std::vector<jobs::Resources> m_unplaceable_needs;

    void AddNeeds(const jobs::Job& job) {
      for (const auto& [number, occurrence] : job.m_occurrences) {
        for (std::size_t step = 0; step < occurrence.m_steps.size(); ++step) {
          const wire::StepSpecT& spec = *job.m_spec.steps[step];
          if (occurrence.m_steps[step].m_waiting == 0 ||
              !job.IsStepReady(occurrence, step)) {
            continue;
          }
          m_waiting_need.Add(jobs::ResourcesOf(spec),
                             occurrence.m_steps[step].m_waiting);
          m_waiting_tasks += occurrence.m_steps[step].m_waiting;
          const jobs::Resources need =
              spec.lasting ? jobs::Resources() : jobs::ResourcesOf(spec);
          if (!m_least_need) {
            m_least_need = need;
          }
          m_least_need->m_cpu_milli =
              std::min(m_least_need->m_cpu_milli, need.m_cpu_milli);
          m_least_need->m_memory_mb =
              std::min(m_least_need->m_memory_mb, need.m_memory_mb);
          m_least_need->m_gpu = std::min(m_least_need->m_gpu, need.m_gpu);
        }
      }
    }

    bool IsLarge(const jobs::Resources& need) const {
      return need.m_cpu_milli * m_waiting_tasks >=
                 kLargeTaskFactor * m_waiting_need.m_cpu_milli ||
             need.m_memory_mb * m_waiting_tasks >=
                 kLargeTaskFactor * m_waiting_need.m_memory_mb;
    }

    bool IsKnownNotToFit(const jobs::Resources& need) const {
      return std::any_of(
          m_unplaceable_needs.begin(), m_unplaceable_needs.end(),
          [&](const jobs::Resources& failed) { return need.Fits(failed); });
    }
  };

  // Null if none of the pool's jobs can start.
  Pool* FindPool(const jobs::Job& job) {
    const wire::QueueSpecT* const queue = m_input.m_state.FindQueue(job);
    const auto pool =
        queue == nullptr ? m_pools.end() : m_pools.find(queue->pool);
    return pool == m_pools.end() ? nullptr : &pool->second;
  }

  void AddCandidates(const std::string& name, Pool& pool) {
    pool.m_crashed =
        m_input.m_count_crashed ? m_input.m_count_crashed(name) : 0;
    pool.m_keeps_jobs_apart =
        m_input.m_keeps_jobs_apart && m_input.m_keeps_jobs_apart(name);
    const auto& runners = m_input.m_state.RunnersOfPool(name);
    m_cost.m_runners += runners.size();
    for (const auto& [id, runner] : runners) {
      const jobs::Resources free = runner->FreeResources();
      if (runner->m_record.draining || !pool.m_least_need) {
        continue;
      }
      ++pool.m_runners;
      if (m_input.m_is_trying && m_input.m_is_trying(*runner)) {
        ++pool.m_trials;
        continue;
      }
      if (!free.Fits(*pool.m_least_need) || !m_input.m_is_usable(*runner)) {
        continue;
      }
      std::set<jobs::JobId> starting_jobs;
      if (pool.m_keeps_jobs_apart && m_input.m_starting_jobs) {
        starting_jobs = m_input.m_starting_jobs(*runner);
      }
      if (starting_jobs.size() > 1) {
        continue;  // They started before the crash.
      }
      const bool goes_down_soon =
          m_input.m_goes_down_soon &&
          m_input.m_goes_down_soon(runner->m_record.machine);
      jobs::Resources free_without_finite = runner->TotalResources();
      free_without_finite.Add(runner->m_long_running_used, -1);
      Candidate& candidate = pool.m_candidates.emplace_back();
      candidate.m_runner = runner;
      candidate.m_free = free;
      candidate.m_free_without_finite = free_without_finite;
      candidate.m_goes_down_soon = goes_down_soon;
      candidate.m_long_running =
          static_cast<std::int64_t>(runner->m_long_running);
      candidate.m_rack = RackOf(*runner);
      if (!starting_jobs.empty()) {
        candidate.m_starting_job = *starting_jobs.begin();
      }
    }
  }

  void PlaceStep(const RankedJob& ranked, std::uint32_t number,
                 const jobs::StepState& state, std::size_t step, Pool& pool) {
    const wire::StepSpecT& spec = *ranked.m_job->m_spec.steps[step];
    if (pool.IsKnownNotToFit(jobs::ResourcesOf(spec))) {
      KeepGap(ranked, spec, pool);
      return;
    }
    const std::string& organisation = ranked.m_job->m_organisation;
    std::vector<Candidate>& candidates = pool.m_candidates;
    const bool counts_per_runner = spec.lasting || spec.max_per_runner > 0;
    std::map<std::string_view, std::uint32_t> tasks_on_rack =
        CountStepTasks(spec, state, candidates);
    std::vector<std::pair<Candidate*, jobs::RunKey>> chosen;
    // Without a limit per runner, the candidate of the previous task stays the
    // best one until it is full: its rack and its fill only count for it.
    const bool keeps_best = !counts_per_runner && !ranked.m_queue->needs_advice;
    Candidate* previous = nullptr;
    const jobs::Resources need = jobs::ResourcesOf(spec);
    std::uint32_t gang_run = 0;
    if (spec.gang) {
      if (state.m_assigned > 0) {
        return;  // A gang starts only when no run of its step is left.
      }
      for (const jobs::Task& task : state.m_tasks) {
        gang_run = std::max(gang_run, task.m_run + 1);
      }
      jobs::Resources gang_need;
      gang_need.Add(need, state.m_waiting);
      if (!m_shares.MayStartGang(organisation, gang_need)) {
        return;
      }
    }
    for (std::size_t index = 0; index < state.m_tasks.size(); ++index) {
      const jobs::Task& task = state.m_tasks[index];
      if (task.m_state != jobs::TaskState::kWaiting ||
          (!spec.gang && jobs::IsSuspect(task.m_crashes))) {
        continue;
      }
      const jobs::TaskKey key = {ranked.m_job->m_id, number,
                                 static_cast<std::uint16_t>(step),
                                 static_cast<std::uint16_t>(index)};
      if (!spec.gang && !m_shares.MayStart(organisation, need)) {
        break;
      }
      const bool fits_previous =
          keeps_best && previous != nullptr && task.m_failures == 0 &&
          previous->m_free.Fits(need) && MayUseGap(*previous, spec, need);
      Candidate* const best =
          fits_previous ? previous
                        : FindBestCandidate(ranked, key, spec, task, need,
                                            tasks_on_rack, candidates);
      previous = task.m_failures == 0 ? best : nullptr;
      if (best == nullptr) {
        if (spec.lasting) {
          ReserveRunner(spec, need, candidates);
        } else if (!spec.gang) {
          KeepGap(ranked, spec, pool);
        }
        if (!spec.gang && spec.required_label.empty() &&
            spec.max_per_runner == 0 && !ranked.m_queue->needs_advice) {
          pool.m_unplaceable_needs.push_back(need);
        }
        if (spec.gang) {
          ReleaseCapacity(chosen, spec, need);
          m_shares.Add(organisation, need,
                       -static_cast<std::int64_t>(chosen.size()));
          return;
        }
        break;
      }
      const std::uint32_t run = spec.gang ? gang_run : task.m_run + 1;
      best->m_free.Add(need, -1);
      if (best->m_gap) {
        best->m_gap->Take(need, spec.estimate_ms);
      }
      m_shares.Add(organisation, need, 1);
      if (spec.lasting) {
        best->m_free_without_finite.Add(need, -1);
        ++best->m_long_running;
      }
      ++best->m_step_tasks;
      if (spec.same_rack) {
        ++tasks_on_rack[best->m_rack];
      }
      chosen.emplace_back(best, jobs::RunKey{key, run});
      if (m_runs + chosen.size() >= m_input.m_max_runs && !spec.gang) {
        break;
      }
    }
    for (const auto& [candidate, run] : chosen) {
      AddPlacement(*candidate, run);
      if (pool.m_keeps_jobs_apart) {
        candidate->m_starting_job = run.m_task.m_job;
      }
    }
  }

  void AddPlacement(const Candidate& candidate, const jobs::RunKey& run) {
    const wire::RunnerRecordT& record = candidate.m_runner->m_record;
    Placement& placement = m_placements[record.id];
    placement.m_runner = record.id;
    placement.m_born_ms = record.born_ms;
    placement.m_runs.push_back(run);
    ++m_runs;
  }

  // Places the suspect on a runner whose runs have all settled. If there is
  // none, keeps the best runner free of new runs until they have.
  void PlaceSuspect(const RankedJob& ranked, const jobs::TaskKey& key,
                    const jobs::StepState& state, bool is_likely_cause,
                    Pool& pool) {
    if (pool.m_candidates.empty() || HasReachedMaxRuns()) {
      return;
    }
    const wire::StepSpecT& spec = *ranked.m_job->m_spec.steps[key.m_step];
    const jobs::Task& task = state.m_tasks[key.m_index];
    const jobs::Resources need = jobs::ResourcesOf(spec);
    const std::string& organisation = ranked.m_job->m_organisation;
    if (!m_shares.MayStart(organisation, need)) {
      return;
    }
    const auto tasks_on_rack = CountStepTasks(spec, state, pool.m_candidates);
    // Without a crash just after a start it is probably a bystander.
    const bool may_share = !jobs::HasCrashedAfterStart(task.m_crashes);
    for (Candidate& candidate : pool.m_candidates) {
      if (!may_share || !CanJoinTrial(candidate, key)) {
        continue;
      }
      // The runner is kept for trials, and this is one.
      std::vector<Candidate> shared = {candidate};
      shared.front().m_kept_for_trial = false;
      if (FindBestCandidate(ranked, key, spec, task, need, tasks_on_rack,
                            shared) != nullptr) {
        AddPlacement(candidate, {key, task.m_run + 1});
        candidate.m_free.Add(need, -1);
        m_shares.Add(organisation, need, 1);
        ++candidate.m_shared_trials;
        return;
      }
    }
    // Suspects that crash their runners must leave the pool most of them, and
    // likely ones also when a new task crashes one more. Overdue trials may
    // take more runners that have no runs, if what else waits fits on others.
    const std::size_t runners = pool.m_runners + pool.m_crashed;
    const std::size_t limit = std::max<std::size_t>(
        is_likely_cause ? runners / 3 : (runners - 1) / 2, 1);
    const std::size_t occupied = pool.m_trials + pool.m_crashed;
    const bool exceeds_limit = occupied >= limit;
    if (exceeds_limit && (occupied >= 2 * runners / 3 ||
                          m_input.m_now_ms < task.m_crashes.back().m_time_ms +
                                                 kOverdueTrialMs)) {
      return;
    }
    std::vector<Candidate> settled;
    for (const Candidate& candidate : pool.m_candidates) {
      if (!candidate.m_kept_for_trial &&
          (!exceeds_limit || candidate.m_runner->m_assigned.empty()) &&
          !(m_input.m_has_unsettled_run &&
            m_input.m_has_unsettled_run(*candidate.m_runner))) {
        settled.push_back(candidate);
      }
    }
    const Candidate* const ready = FindBestCandidate(
        ranked, key, spec, task, need, tasks_on_rack, settled);
    const Candidate* const best =
        ready != nullptr || exceeds_limit
            ? ready
            : FindBestCandidate(ranked, key, spec, task, need, tasks_on_rack,
                                pool.m_candidates);
    if (best == nullptr || (exceeds_limit && !HasRoomWithout(*best, pool))) {
      return;
    }
    ++pool.m_trials;
    if (ready != nullptr) {
      AddPlacement(*ready, {key, task.m_run + 1});
      m_shares.Add(organisation, need, 1);
    }
    for (Candidate& candidate : pool.m_candidates) {
      if (candidate.m_runner == best->m_runner) {
        candidate.m_kept_for_trial = true;
        if (ready != nullptr && may_share) {
          candidate.m_free.Add(need, -1);
          candidate.m_shared_trials = 1;
        }
      }
    }
  }

  // Whether all that waits in the pool fits on other runners than the
  // candidate.
  static bool HasRoomWithout(const Candidate& candidate, const Pool& pool) {
    jobs::Resources room;
    for (const Candidate& other : pool.m_candidates) {
      if (!other.m_kept_for_trial && other.m_runner != candidate.m_runner) {
        room.Add(other.m_free, 1);
      }
    }
    return room.Fits(pool.m_waiting_need);
  }

  // Tasks of one step are tried apart: how many of them a runner may have is
  // only counted at the start of a pass.
  bool CanJoinTrial(const Candidate& candidate,
                    const jobs::TaskKey& key) const {
    if (candidate.m_shared_trials == 0 ||
        candidate.m_shared_trials >= kMaxSharedTrials) {
      return false;
    }
    const std::vector<jobs::RunKey>& runs =
        m_placements.at(candidate.m_runner->m_record.id).m_runs;
    return std::none_of(runs.begin(), runs.end(), [&](const jobs::RunKey& run) {
      return run.m_task.m_job == key.m_job && run.m_task.m_step == key.m_step;
    });
  }

  static void ReleaseCapacity(
      const std::vector<std::pair<Candidate*, jobs::RunKey>>& chosen,
      const wire::StepSpecT& spec, const jobs::Resources& need) {
    for (const auto& [candidate, run] : chosen) {
      candidate->m_free.Add(need, 1);
      if (spec.lasting) {
        candidate->m_free_without_finite.Add(need, 1);
        --candidate->m_long_running;
      }
    }
  }

  // Returns the candidate with the lowest score. Preferred are, in this order,
  // the data's rack, the rack with the most tasks of the step and, if the task
  // has failed before, another runner than that of its last run. Long-running
  // tasks avoid machines that go down soon, then runners reserved for another
  // one, then machines with tasks of the same step, and are otherwise packed on
  // the machines with the most long-running tasks, so that the remaining
  // machines can change their pool. Ties go to the fullest runner that fits, so
  // that other runners become idle and can leave the pool.
  Candidate* FindBestCandidate(
      const RankedJob& ranked, const jobs::TaskKey& key,
      const wire::StepSpecT& spec, const jobs::Task& task,
      const jobs::Resources& need,
      const std::map<std::string_view, std::uint32_t>& tasks_on_rack,
      std::vector<Candidate>& candidates) {
    using Score = std::tuple<bool, std::int64_t, bool, bool, bool,
                             std::uint32_t, std::int64_t, std::int64_t>;
    Candidate* best = nullptr;
    Score best_score;
    m_cost.m_candidates += candidates.size();
    for (Candidate& candidate : candidates) {
      const jobs::Runner& runner = *candidate.m_runner;
      const std::string& id = runner.m_record.id;
      const bool is_kept_free =
          candidate.m_kept_for_trial ||
          (candidate.m_reserved && !spec.lasting) ||
          (candidate.m_starting_job &&
           *candidate.m_starting_job != ranked.m_job->m_id);
      if (is_kept_free || !candidate.m_free.Fits(need) ||
          !MayUseGap(candidate, spec, need) ||
          !MeetsConstraints(spec, candidate)) {
        continue;
      }
      if (ranked.m_queue->needs_advice &&
          (m_input.m_adviser == nullptr ||
           !m_input.m_adviser->TicketFor(key, id))) {
        continue;
      }
      const bool off_data_rack =
          !spec.data_rack.empty() && candidate.m_rack != spec.data_rack;
      const auto rack_tasks = spec.same_rack
                                  ? tasks_on_rack.find(candidate.m_rack)
                                  : tasks_on_rack.end();
      const std::int64_t rack_score =
          rack_tasks == tasks_on_rack.end()
              ? 0
              : -static_cast<std::int64_t>(rack_tasks->second);
      const bool is_long_running = spec.lasting;
      const Score score = {off_data_rack,
                           rack_score,
                           task.m_failures > 0 && task.m_runner == id,
                           is_long_running && candidate.m_goes_down_soon,
                           candidate.m_reserved,
                           is_long_running ? candidate.m_step_tasks : 0,
                           is_long_running ? -candidate.m_long_running : 0,
                           candidate.m_free.m_cpu_milli};
      if (best == nullptr || score < best_score) {
        best = &candidate;
        best_score = score;
      }
    }
    return best;
  }

  // Keeps a runner free of new tasks that end on their own during this pass for
  // a long-running task that does not fit yet: in a backlog of small tasks no
  // runner would ever have enough free capacity for a large one. Takes the
  // runner with the most free CPU, which has more of it with each pass until
  // the task fits. A runner whose long-running tasks leave too little is of no
  // use: it would stay reserved for good.
  static void ReserveRunner(const wire::StepSpecT& spec,
                            const jobs::Resources& need,
                            std::vector<Candidate>& candidates) {
    Candidate* best = nullptr;
    for (Candidate& candidate : candidates) {
      if (candidate.m_reserved || candidate.m_kept_for_trial ||
          candidate.m_goes_down_soon ||
          !candidate.m_free_without_finite.Fits(need) ||
          !MeetsConstraints(spec, candidate)) {
        continue;
      }
      if (best == nullptr ||
          candidate.m_free.m_cpu_milli > best->m_free.m_cpu_milli) {
        best = &candidate;
      }
    }
    if (best != nullptr) {
      best->m_reserved = true;
    }
  }

  // Room that is kept for a large task gives way to tasks that last.
  static bool MayUseGap(const Candidate& candidate, const wire::StepSpecT& spec,
                        const jobs::Resources& need) {
    return !candidate.m_gap || spec.lasting ||
           candidate.m_gap->Permits(need, spec.estimate_ms);
  }

  // Keeps the runner on which the large task is expected to fit first. That may
  // be one that has no room for any task yet; later passes keep it once it has.
  void KeepGap(const RankedJob& ranked, const wire::StepSpecT& spec,
               Pool& pool) {
    const jobs::Resources need = jobs::ResourcesOf(spec);
    if (pool.m_has_kept_gap || !m_input.m_run_age_ms ||
        ranked.m_status != ObjectiveStatus::kOnTime || spec.lasting ||
        spec.gang || ranked.m_queue->needs_advice || !pool.IsLarge(need)) {
      return;
    }
    pool.m_has_kept_gap = true;
    const jobs::Runner* best = nullptr;
    std::optional<GapReservation> best_gap;
    for (const auto& [id, runner] :
         m_input.m_state.RunnersOfPool(ranked.m_queue->pool)) {
      if (runner->m_record.draining || !m_input.m_is_usable(*runner) ||
          (!spec.required_label.empty() &&
           !HasLabel(*runner, spec.required_label))) {
        continue;
      }
      const auto gap = GapReservation::Make(runner->FreeResources(),
                                            ExpectedEnds(*runner), need);
      if (gap && (!best_gap || gap->start_ms() < best_gap->start_ms())) {
        best = runner;
        best_gap = gap;
      }
    }
    for (Candidate& candidate : pool.m_candidates) {
      if (candidate.m_runner == best && best != nullptr) {
        candidate.m_gap = best_gap;
        ++m_cost.m_gaps;
      }
    }
  }

  std::vector<ExpectedEnd> ExpectedEnds(const jobs::Runner& runner) const {
    std::vector<ExpectedEnd> ends;
    for (const auto& [task, run] : runner.m_assigned) {
      const wire::StepSpecT* const step = m_input.m_state.FindStep(task);
      const auto age_ms = m_input.m_run_age_ms(runner, task);
      if (step != nullptr && !step->lasting && age_ms) {
        ends.push_back({ExpectedRemainingMs(step->estimate_ms, *age_ms),
                        jobs::ResourcesOf(*step)});
      }
    }
    return ends;
  }

  static bool MeetsConstraints(const wire::StepSpecT& spec,
                               const Candidate& candidate) {
    return (spec.required_label.empty() ||
            HasLabel(*candidate.m_runner, spec.required_label)) &&
           (spec.max_per_runner == 0 ||
            candidate.m_step_tasks < spec.max_per_runner);
  }

  // Counts the assigned tasks of the step by runner, if that matters to the
  // step. @return their number by rack
  std::map<std::string_view, std::uint32_t> CountStepTasks(
      const wire::StepSpecT& spec, const jobs::StepState& state,
      std::vector<Candidate>& candidates) const {
    std::map<std::string_view, std::uint32_t> tasks_on_rack;
    if (!spec.lasting && spec.max_per_runner == 0 && !spec.same_rack) {
      return tasks_on_rack;
    }
    for (Candidate& candidate : candidates) {
      candidate.m_step_tasks = 0;
    }
    if (state.m_assigned == 0) {
      return tasks_on_rack;
    }
    std::map<std::string_view, std::uint32_t> tasks_on_runner;
    for (const jobs::Task& task : state.m_tasks) {
      if (task.m_state == jobs::TaskState::kAssigned) {
        ++tasks_on_runner[task.m_runner];
        if (const auto* runner = m_input.m_state.FindRunner(task.m_runner)) {
          ++tasks_on_rack[RackOf(*runner)];
        }
      }
    }
    for (Candidate& candidate : candidates) {
      const auto count = tasks_on_runner.find(candidate.m_runner->m_record.id);
      candidate.m_step_tasks =
          count == tasks_on_runner.end() ? 0 : count->second;
    }
    return tasks_on_rack;
  }

  const PlanInput& m_input;
  organisations::FairShares m_shares;
  std::map<std::string, Pool> m_pools;
  std::map<std::string, Placement> m_placements;
  std::size_t m_runs = 0;
  PlanCost m_cost;
};

// @return the end of the jobs that rank equal to the one at `begin`
std::size_t EndOfEqual(const std::vector<RankedJob>& ranking,
                       std::size_t begin) {
  std::size_t end = begin + 1;
  while (end < ranking.size() && RanksEqual(ranking[begin], ranking[end])) {
    ++end;
  }
  return end;
}

}  // namespace

Duration PauseAfterPlan(const PlanCost& cost) {
  const Duration pause =
      kPausePerJob * static_cast<std::int64_t>(cost.m_jobs) +
      kPausePerRunner * static_cast<std::int64_t>(cost.m_runners) +
      kPausePerCandidate * static_cast<std::int64_t>(cost.m_candidates);
  return std::clamp(pause, kMinPlanInterval, kMaxPlanInterval);
}

std::vector<Placement> PlanAssignments(const PlanInput& input, PlanCost* cost) {
  if (cost != nullptr) {
    *cost = PlanCost();
  }
  static const TypicalSteps none_known;
  const std::vector<RankedJob> ranking =
      RankJobs(input.m_state, input.m_now_ms,
               input.m_typical == nullptr ? none_known : *input.m_typical);
  if (ranking.empty()) {
    return {};
  }
  PlanningPass pass(input, ranking);
  pass.PlaceSuspects();
  if (input.m_state.organisations().empty()) {
    for (const RankedJob& ranked : ranking) {
      if (pass.HasReachedMaxRuns()) {
        break;
      }
      pass.PlaceJob(ranked);
    }
  } else {
    for (std::size_t begin = 0; begin < ranking.size();) {
      const std::size_t end = EndOfEqual(ranking, begin);
      pass.PlaceByShare(std::span(ranking).subspan(begin, end - begin));
      begin = end;
    }
  }
  if (cost != nullptr) {
    *cost = pass.cost();
  }
  return pass.TakePlacements();
}

}  // namespace bronzebarrow::placement
