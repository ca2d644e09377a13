// Ranks waiting jobs and sums up their demand.
#include "bronzebarrow/placement/job_order.h"

#include <algorithm>
#include <tuple>

namespace bronzebarrow::placement {
namespace {

// Finishing a job earns no credit after this multiple of its objective (the
// platform's rules).
constexpr std::int64_t kUsefulObjectiveMultiple = 3;

bool HasWaitingTask(const jobs::Job& job) {
  for (const auto& [number, occurrence] : job.m_occurrences) {
    for (const jobs::StepState& step : occurrence.m_steps) {
      if (step.m_waiting > 0) {
        return true;
      }
    }
  }
  return false;
}

ObjectiveStatus ObjectiveStatusOf(std::int64_t age, std::int64_t remaining,
                                  std::int64_t objective) {
  if (age + remaining <= objective) {
    return ObjectiveStatus::kOnTime;
  }
  return age + remaining <= kUsefulObjectiveMultiple * objective
             ? ObjectiveStatus::kLate
             : ObjectiveStatus::kExpired;
}

}  // namespace

std::vector<RankedJob> RankJobs(const jobs::WorkState& state,
                                std::uint64_t now_ms) {
  std::vector<RankedJob> ranked;
  for (const auto& [number, id] : state.active()) {
    const jobs::Job& job = *state.FindJob(id);
    if (!HasWaitingTask(job)) {
      continue;
    }
    const wire::QueueSpecT* const queue = state.queues().Find(job.m_queue);
    if (queue == nullptr) {
      // The queue was removed from the configuration: its pool is unknown.
      continue;
    }
    RankedJob entry = {&job, queue, ObjectiveStatus::kLongRunning, 0};
    if (!job.IsLongRunning()) {
      const auto objective = static_cast<std::int64_t>(
          queue->slack_factor *
              static_cast<double>(job.CriticalPathMs(nullptr)) +
          queue->objective_ms);
      for (const auto& [k, occurrence] : job.m_occurrences) {
        const std::int64_t age =
            static_cast<std::int64_t>(now_ms - std::min(now_ms, job.DueMs(k)));
        const std::int64_t remaining = job.CriticalPathMs(&occurrence);
        const ObjectiveStatus status =
            ObjectiveStatusOf(age, remaining, objective);
        if (entry.m_status == ObjectiveStatus::kLongRunning ||
            status < entry.m_status) {
          entry.m_status = status;
          entry.m_slack_ms = objective - age - remaining;
        }
      }
    }
    ranked.push_back(entry);
  }
  std::stable_sort(
      ranked.begin(), ranked.end(), [](const RankedJob& a, const RankedJob& b) {
        return std::tuple(a.m_status, a.m_queue->priority,
                          !a.m_job->m_started) <
               std::tuple(b.m_status, b.m_queue->priority, !b.m_job->m_started);
      });
  return ranked;
}

std::map<std::string, PoolDemand> DemandByPool(const jobs::WorkState& state,
                                               std::uint64_t now_ms) {
  std::map<std::string, PoolDemand> demands;
  for (const RankedJob& ranked : RankJobs(state, now_ms)) {
    if (ranked.m_status == ObjectiveStatus::kExpired) {
      continue;
    }
    const jobs::Job& job = *ranked.m_job;
    PoolDemand& demand = demands[ranked.m_queue->pool];
    for (const auto& [number, occurrence] : job.m_occurrences) {
      for (std::size_t step = 0; step < occurrence.m_steps.size(); ++step) {
        const jobs::StepState& tasks = occurrence.m_steps[step];
        const wire::StepSpecT& spec = *job.m_spec.steps[step];
        if (tasks.m_waiting == 0 || !job.IsStepReady(occurrence, step)) {
          continue;
        }
        demand.m_ready_milli +=
            tasks.m_waiting * jobs::ResourcesOf(spec).m_cpu_milli;
        if (spec.max_per_runner > 0) {
          const std::int64_t at_once = tasks.m_waiting + tasks.m_assigned;
          demand.m_spread_machines = std::max(
              demand.m_spread_machines,
              (at_once + spec.max_per_runner - 1) / spec.max_per_runner);
        }
      }
    }
  }
  return demands;
}

}  // namespace bronzebarrow::placement
