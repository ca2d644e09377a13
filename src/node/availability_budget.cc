// Counts of unavailable tasks by step, kept for one tick.
#include "bronzebarrow/node/availability_budget.h"

namespace bronzebarrow::node {
namespace {

// A long-running task is available when its runner reported it at full progress
// within this time. Runners report at least once a second: a hold call (lease
// renewal, long poll) returns after at most that time.
constexpr Duration kMaxReportAge = Millis(2500);
constexpr std::uint32_t kFullProgressPercent = 100;

jobs::TaskKey FirstTaskOfStep(const jobs::TaskKey& task) {
  jobs::TaskKey first = task;
  first.m_index = 0;
  return first;
}

}  // namespace

void AvailabilityBudget::BeginTick(Instant now) {
  m_now = now;
  m_unavailable.clear();
}

bool AvailabilityBudget::MayEvict(const jobs::TaskKey& task) {
  const jobs::Job* const job = m_state.FindJob(task.m_job);
  if (job == nullptr || task.m_step >= job->m_spec.steps.size() ||
      job->m_spec.steps[task.m_step]->may_miss == 0 ||
      job->m_state != jobs::JobState::kActive) {
    return true;
  }
  const auto& tasks =
      job->m_occurrences.at(task.m_occurrence).m_steps[task.m_step].m_tasks;
  const auto [count, is_new] =
      m_unavailable.try_emplace(FirstTaskOfStep(task), 0);
  if (is_new) {
    jobs::TaskKey key = task;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
      key.m_index = static_cast<std::uint16_t>(index);
      count->second += IsAvailable(key, tasks[index]) ? 0 : 1;
    }
  }
  const std::uint32_t may_miss = job->m_spec.steps[task.m_step]->may_miss;
  if (count->second < may_miss) {
    return true;
  }
  // The task itself matters only if it is the one that fills the budget.
  return count->second == may_miss && !IsAvailable(task, tasks[task.m_index]);
}

void AvailabilityBudget::Evict(const std::string& runner,
                               const jobs::TaskKey& task) {
  const auto count = m_unavailable.find(FirstTaskOfStep(task));
  const jobs::Job* const job = m_state.FindJob(task.m_job);
  const jobs::Task* const state = count == m_unavailable.end() || job == nullptr
                                      ? nullptr
                                      : job->FindTask(task);
  const bool was_available = state != nullptr && IsAvailable(task, *state);
  m_dispatcher.StopRun(runner, task, m_now);
  if (was_available && !IsAvailable(task, *state)) {
    ++count->second;
  }
}

bool AvailabilityBudget::IsAvailable(const jobs::TaskKey& key,
                                     const jobs::Task& task) {
  ++m_checked_tasks;
  const runs::RunnerLink* const link =
      task.m_state == jobs::TaskState::kAssigned
          ? m_dispatcher.FindLink(task.m_runner)
          : nullptr;
  if (link == nullptr) {
    return false;
  }
  const auto tracked_run = link->m_tracked_runs.find(key);
  return tracked_run != link->m_tracked_runs.end() &&
         !tracked_run->second.m_stop_requested &&
         tracked_run->second.m_state == runs::TrackedRunState::kStarted &&
         tracked_run->second.m_progress >= kFullProgressPercent &&
         m_now < tracked_run->second.m_reported_at + kMaxReportAge;
}

}  // namespace bronzebarrow::node
