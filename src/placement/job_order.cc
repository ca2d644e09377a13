// Ranking waiting jobs.
#include "bronzebarrow/placement/job_order.h"

#include <algorithm>
#include <tuple>

namespace bronzebarrow::placement {
namespace {

// Credit ends at this multiple of the objective (the platform's rules).
constexpr std::int64_t kWorthlessAfter = 3;

bool HasWaiting(const jobs::Job& job) {
  for (const auto& [number, occurrence] : job.m_occurrences) {
    for (const jobs::StepState& step : occurrence.m_steps) {
      if (step.m_waiting > 0) {
        return true;
      }
    }
  }
  return false;
}

Standing StandingOf(std::int64_t age, std::int64_t remaining,
                    std::int64_t objective) {
  if (age + remaining <= objective) {
    return Standing::kOnTime;
  }
  return age + remaining <= kWorthlessAfter * objective ? Standing::kLate
                                                        : Standing::kHopeless;
}

}  // namespace

std::vector<RankedJob> RankJobs(const jobs::WorkState& state,
                                std::uint64_t now_ms) {
  std::vector<RankedJob> ranked;
  for (const auto& [number, id] : state.active()) {
    const jobs::Job& job = *state.FindJob(id);
    if (!HasWaiting(job)) {
      continue;
    }
    const wire::QueueSpecT* const queue = state.queues().Find(job.m_queue);
    if (queue == nullptr) {
      continue;  // Its queue was taken out: nothing says where it may run.
    }
    RankedJob entry = {&job, queue, Standing::kLasting, 0};
    if (!job.IsLasting()) {
      const auto objective = static_cast<std::int64_t>(
          queue->slack_factor * static_cast<double>(job.ChainMs(nullptr)) +
          queue->objective_ms);
      for (const auto& [k, occurrence] : job.m_occurrences) {
        const std::int64_t age =
            static_cast<std::int64_t>(now_ms - std::min(now_ms, job.DueMs(k)));
        const std::int64_t remaining = job.ChainMs(&occurrence);
        const Standing standing = StandingOf(age, remaining, objective);
        if (entry.m_standing == Standing::kLasting ||
            standing < entry.m_standing) {
          entry.m_standing = standing;
          entry.m_slack_ms = objective - age - remaining;
        }
      }
    }
    ranked.push_back(entry);
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const RankedJob& a, const RankedJob& b) {
                     return std::tuple(a.m_standing, a.m_queue->priority,
                                       !a.m_job->m_started) <
                            std::tuple(b.m_standing, b.m_queue->priority,
                                       !b.m_job->m_started);
                   });
  return ranked;
}

std::map<std::string, std::int64_t> ReadyMilli(const jobs::WorkState& state,
                                               std::uint64_t now_ms) {
  std::map<std::string, std::int64_t> ready;
  for (const RankedJob& ranked : RankJobs(state, now_ms)) {
    if (ranked.m_standing == Standing::kHopeless) {
      continue;
    }
    const jobs::Job& job = *ranked.m_job;
    for (const auto& [number, occurrence] : job.m_occurrences) {
      for (std::size_t step = 0; step < occurrence.m_steps.size(); ++step) {
        const std::uint32_t waiting = occurrence.m_steps[step].m_waiting;
        if (waiting > 0 && job.IsStepOpen(occurrence, step)) {
          ready[ranked.m_queue->pool] +=
              waiting * jobs::RoomOf(*job.m_spec.steps[step]).m_cpu_milli;
        }
      }
    }
  }
  return ready;
}

}  // namespace bronzebarrow::placement
