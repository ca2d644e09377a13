// Choosing runners, step by step in the order of the jobs.
#include "bronzebarrow/placement/planner.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include "bronzebarrow/placement/job_order.h"

namespace bronzebarrow::placement {
namespace {

bool HasLabel(const jobs::Runner& runner, const std::string& label) {
  const auto& labels = runner.m_record.labels;
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

// The rack is the last label (labels are the runner's kind and its rack).
std::string_view RackOf(const jobs::Runner& runner) {
  return runner.m_record.labels.empty() ? std::string_view()
                                        : runner.m_record.labels.back();
}

/** One pass of planning over all pools. */
class Pass {
 public:
  explicit Pass(const PlanInput& input) : m_input(input) {
    for (const auto& [id, runner] : input.m_state.runners()) {
      if (runner.m_record.draining || !input.m_is_usable(id)) {
        continue;
      }
      const bool due =
          input.m_is_due && input.m_is_due(runner.m_record.machine);
      m_pools[runner.m_record.pool].m_candidates.push_back(
          {&runner, runner.Free(), due,
           static_cast<std::int64_t>(runner.m_lasting), RackOf(runner)});
    }
  }

  void PlaceJob(const RankedJob& ranked) {
    const jobs::Job& job = *ranked.m_job;
    const auto pool = m_pools.find(ranked.m_queue->pool);
    if (pool == m_pools.end()) {
      return;
    }
    for (const auto& [number, occurrence] : job.m_occurrences) {
      for (std::size_t step = 0; step < occurrence.m_steps.size(); ++step) {
        if (occurrence.m_steps[step].m_waiting > 0 && !IsFull() &&
            job.IsStepOpen(occurrence, step)) {
          PlaceStep(ranked, number, occurrence.m_steps[step], step,
                    pool->second);
        }
      }
    }
  }

  std::vector<Placement> Take() {
    std::vector<Placement> placements;
    for (auto& [runner, placement] : m_placements) {
      placements.push_back(std::move(placement));
    }
    return placements;
  }

  bool IsFull() const { return m_runs >= m_input.m_max_runs; }

 private:
  /** The candidates of one pool, and what is known not to fit on any. */
  struct Pool {
    std::vector<Candidate> m_candidates;
    // Needs of steps without further conditions for which no runner had room;
    // room only shrinks during a pass.
    std::vector<jobs::Room> m_too_large;

    bool CannotFit(const jobs::Room& need) const {
      return std::any_of(
          m_too_large.begin(), m_too_large.end(),
          [&](const jobs::Room& failed) { return need.Fits(failed); });
    }
  };

  void PlaceStep(const RankedJob& ranked, std::uint32_t number,
                 const jobs::StepState& state, std::size_t step, Pool& pool) {
    const wire::StepSpecT& spec = *ranked.m_job->m_spec.steps[step];
    if (pool.CannotFit(jobs::RoomOf(spec))) {
      return;
    }
    std::vector<Candidate>& candidates = pool.m_candidates;
    std::map<std::string_view, std::uint32_t> on_rack;
    const bool counts_runners = spec.lasting || spec.max_per_runner > 0;
    if (counts_runners || spec.same_rack) {
      CountStep(state, candidates, on_rack);
    }
    std::vector<std::pair<Candidate*, jobs::RunKey>> chosen;
    const jobs::Room need = jobs::RoomOf(spec);
    std::uint32_t gang_run = 0;
    if (spec.gang) {
      if (state.m_assigned > 0) {
        return;  // Its last runs must all have ended first.
      }
      for (const jobs::Task& task : state.m_tasks) {
        gang_run = std::max(gang_run, task.m_run + 1);
      }
    }
    for (std::size_t index = 0; index < state.m_tasks.size(); ++index) {
      const jobs::Task& task = state.m_tasks[index];
      if (task.m_state != jobs::TaskState::kWaiting) {
        continue;
      }
      const jobs::TaskKey key = {ranked.m_job->m_id, number,
                                 static_cast<std::uint16_t>(step),
                                 static_cast<std::uint16_t>(index)};
      Candidate* const best =
          Best(ranked, key, spec, task, need, on_rack, candidates);
      if (best == nullptr) {
        if (spec.lasting) {
          Reserve(spec, need, candidates);
        }
        if (!spec.gang && spec.required_label.empty() &&
            spec.max_per_runner == 0 && !ranked.m_queue->needs_advice) {
          pool.m_too_large.push_back(need);
        }
        if (spec.gang) {
          Undo(chosen, need);
          return;
        }
        break;
      }
      const std::uint32_t run = spec.gang ? gang_run : task.m_run + 1;
      best->m_free.Add(need, -1);
      best->m_lasting += spec.lasting ? 1 : 0;
      ++best->m_of_step;
      if (spec.same_rack) {
        ++on_rack[best->m_rack];
      }
      chosen.emplace_back(best, jobs::RunKey{key, run});
      if (m_runs + chosen.size() >= m_input.m_max_runs && !spec.gang) {
        break;
      }
    }
    for (const auto& [candidate, run] : chosen) {
      const wire::RunnerRecordT& record = candidate->m_runner->m_record;
      Placement& placement = m_placements[record.id];
      placement.m_runner = record.id;
      placement.m_born_ms = record.born_ms;
      placement.m_runs.push_back(run);
      ++m_runs;
    }
  }

  static void Undo(
      const std::vector<std::pair<Candidate*, jobs::RunKey>>& chosen,
      const jobs::Room& need) {
    for (const auto& [candidate, run] : chosen) {
      candidate->m_free.Add(need, 1);
    }
  }

  // Lower is better: data and rack first, then away from the runner of the
  // last run. Tasks that last go where others do, one of a step each, so that
  // the remaining machines are free to change their pool. Then the fullest that
  // fits, so that others run empty and can leave.
  Candidate* Best(const RankedJob& ranked, const jobs::TaskKey& key,
                  const wire::StepSpecT& spec, const jobs::Task& task,
                  const jobs::Room& need,
                  const std::map<std::string_view, std::uint32_t>& on_rack,
                  std::vector<Candidate>& candidates) {
    using Score = std::tuple<bool, std::int64_t, bool, bool, std::uint32_t,
                             std::int64_t, std::int64_t>;
    Candidate* best = nullptr;
    Score best_score;
    for (Candidate& candidate : candidates) {
      const jobs::Runner& runner = *candidate.m_runner;
      const std::string& id = runner.m_record.id;
      if (candidate.m_reserved || !candidate.m_free.Fits(need) ||
          !Allows(spec, candidate)) {
        continue;
      }
      if (ranked.m_queue->needs_advice &&
          (m_input.m_adviser == nullptr ||
           !m_input.m_adviser->TicketFor(key, id))) {
        continue;
      }
      const bool far =
          !spec.data_rack.empty() && candidate.m_rack != spec.data_rack;
      const auto together =
          spec.same_rack ? on_rack.find(candidate.m_rack) : on_rack.end();
      const std::int64_t apart =
          together == on_rack.end()
              ? 0
              : -static_cast<std::int64_t>(together->second);
      const bool spreads = spec.lasting;
      const Score score = {far,
                           apart,
                           task.m_failures > 0 && task.m_runner == id,
                           spreads && candidate.m_is_due,
                           spreads ? candidate.m_of_step : 0,
                           spreads ? -candidate.m_lasting : 0,
                           candidate.m_free.m_cpu_milli};
      if (best == nullptr || score < best_score) {
        best = &candidate;
        best_score = score;
      }
    }
    return best;
  }

  // Keeps a runner free of new work until a task that lasts fits: in a backlog
  // of small tasks no runner would ever have room for a large one. The one with
  // the most room is taken; it gains room in each pass until the task fits.
  static void Reserve(const wire::StepSpecT& spec, const jobs::Room& need,
                      std::vector<Candidate>& candidates) {
    Candidate* best = nullptr;
    for (Candidate& candidate : candidates) {
      const wire::RunnerRecordT& record = candidate.m_runner->m_record;
      const jobs::Room whole = {record.cpu_milli, record.memory_mb, record.gpu};
      if (candidate.m_reserved || candidate.m_is_due || !whole.Fits(need) ||
          !Allows(spec, candidate)) {
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

  static bool Allows(const wire::StepSpecT& spec, const Candidate& candidate) {
    return (spec.required_label.empty() ||
            HasLabel(*candidate.m_runner, spec.required_label)) &&
           (spec.max_per_runner == 0 ||
            candidate.m_of_step < spec.max_per_runner);
  }

  // Notes where tasks of the step are, before more of them are placed.
  void CountStep(const jobs::StepState& state,
                 std::vector<Candidate>& candidates,
                 std::map<std::string_view, std::uint32_t>& on_rack) const {
    for (Candidate& candidate : candidates) {
      candidate.m_of_step = 0;
    }
    if (state.m_assigned == 0) {
      return;
    }
    std::map<std::string_view, std::uint32_t> on_runner;
    for (const jobs::Task& task : state.m_tasks) {
      if (task.m_state == jobs::TaskState::kAssigned) {
        ++on_runner[task.m_runner];
        if (const auto* runner = m_input.m_state.FindRunner(task.m_runner)) {
          ++on_rack[RackOf(*runner)];
        }
      }
    }
    for (Candidate& candidate : candidates) {
      const auto count = on_runner.find(candidate.m_runner->m_record.id);
      candidate.m_of_step = count == on_runner.end() ? 0 : count->second;
    }
  }

  const PlanInput& m_input;
  std::map<std::string, Pool> m_pools;
  std::map<std::string, Placement> m_placements;
  std::size_t m_runs = 0;
};

}  // namespace

std::vector<Placement> Plan(const PlanInput& input) {
  const std::vector<RankedJob> ranking =
      RankJobs(input.m_state, input.m_now_ms);
  if (ranking.empty()) {
    return {};
  }
  Pass pass(input);
  for (const RankedJob& ranked : ranking) {
    if (pass.IsFull()) {
      break;
    }
    pass.PlaceJob(ranked);
  }
  return pass.Take();
}

}  // namespace bronzebarrow::placement
