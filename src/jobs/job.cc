// Progress of a job's steps and occurrences, and checks of specifications.
#include "bronzebarrow/jobs/job.h"

#include <algorithm>

namespace bronzebarrow::jobs {
bool Occurrence::IsDone() const {
  return std::all_of(m_steps.begin(), m_steps.end(),
                     [](const StepState& step) { return step.IsDone(); });
}

bool Job::IsLongRunning() const {
  return std::any_of(m_spec.steps.begin(), m_spec.steps.end(),
                     [](const auto& step) { return step->lasting; });
}

std::int64_t Job::CriticalPathMs(const Occurrence* occurrence) const {
  if (occurrence == nullptr) {
    return m_critical_path_ms;
  }
  // Reused to avoid an allocation: job ranking calls this for every active job.
  thread_local std::vector<std::int64_t> finish_ms;
  finish_ms.assign(m_spec.steps.size(), 0);
  std::int64_t longest_ms = 0;
  for (std::size_t number = 0; number < finish_ms.size(); ++number) {
    const wire::StepSpecT& step = *m_spec.steps[number];
    std::int64_t start_ms = 0;
    for (const std::uint32_t dependency : step.depends_on) {
      start_ms = std::max(start_ms, finish_ms[dependency]);
    }
    finish_ms[number] = start_ms + (occurrence->m_steps[number].IsDone()
                                        ? 0
                                        : std::int64_t{step.estimate_ms});
    longest_ms = std::max(longest_ms, finish_ms[number]);
  }
  return longest_ms;
}

void Job::SetSpec(wire::JobSpecT spec) {
  m_spec = std::move(spec);
  Occurrence new_occurrence;
  new_occurrence.m_steps.resize(m_spec.steps.size());
  for (StepState& step : new_occurrence.m_steps) {
    step.m_tasks.resize(1);
  }
  m_critical_path_ms = CriticalPathMs(&new_occurrence);
  std::vector<std::size_t> chain(m_spec.steps.size(), 1);
  m_longest_chain = 0;
  for (std::size_t i = 0; i < chain.size(); ++i) {
    for (const std::uint32_t dependency : m_spec.steps[i]->depends_on) {
      chain[i] = std::max(chain[i], chain[dependency] + 1);
    }
    m_longest_chain = std::max(m_longest_chain, chain[i]);
  }
}

wire::JobPhase Job::Phase() const {
  switch (m_state) {
    case JobState::kActive:
      return m_started ? wire::JobPhase::Running : wire::JobPhase::Queued;
    case JobState::kCompleted:
      return wire::JobPhase::Completed;
    case JobState::kFailed:
      return wire::JobPhase::Failed;
    case JobState::kCancelled:
      return wire::JobPhase::Cancelled;
  }
  return wire::JobPhase::Queued;
}

const Task* Job::FindTask(const TaskKey& key) const {
  const auto occurrence = m_occurrences.find(key.m_occurrence);
  if (occurrence == m_occurrences.end() ||
      key.m_step >= occurrence->second.m_steps.size()) {
    return nullptr;
  }
  const StepState& step = occurrence->second.m_steps[key.m_step];
  return key.m_index < step.m_tasks.size() ? &step.m_tasks[key.m_index]
                                           : nullptr;
}

Task* Job::FindTask(const TaskKey& key) {
  return const_cast<Task*>(std::as_const(*this).FindTask(key));
}

bool Job::IsStepReady(const Occurrence& occurrence, std::size_t number) const {
  const auto& depends_on = m_spec.steps[number]->depends_on;
  return std::all_of(depends_on.begin(), depends_on.end(),
                     [&](std::uint32_t dependency) {
                       return occurrence.m_steps[dependency].IsDone();
                     });
}

bool Job::IsInProgress() const {
  return m_started ||
         std::any_of(
             m_occurrences.begin(), m_occurrences.end(), [](const auto& item) {
               const auto& steps = item.second.m_steps;
               return std::any_of(
                   steps.begin(), steps.end(),
                   [](const StepState& step) { return step.m_assigned > 0; });
             });
}

bool Job::HasStartableTask() const {
  for (const auto& [number, occurrence] : m_occurrences) {
    for (std::size_t step = 0; step < occurrence.m_steps.size(); ++step) {
      if (occurrence.m_steps[step].m_waiting > 0 &&
          IsStepReady(occurrence, step)) {
        return true;
      }
    }
  }
  return false;
}

bool Job::HasWaitingTask(
    const std::function<bool(const Task&)>& condition) const {
  for (const auto& [number, occurrence] : m_occurrences) {
    for (const StepState& step : occurrence.m_steps) {
      if (std::any_of(
              step.m_tasks.begin(), step.m_tasks.end(), [&](const Task& task) {
                return task.m_state == TaskState::kWaiting && condition(task);
              })) {
        return true;
      }
    }
  }
  return false;
}

void Job::OpenOccurrence() {
  Occurrence& occurrence = m_occurrences[m_opened++];
  for (const auto& spec : m_spec.steps) {
    StepState& step = occurrence.m_steps.emplace_back();
    step.m_tasks.resize(spec->count);
    step.m_waiting = spec->count;
  }
}

std::string TextProblemOf(const wire::JobSpecT& spec) {
  if (spec.spec.size() > kMaxSpecBytes) {
    return "spec has more than " + std::to_string(kMaxSpecBytes) + " bytes";
  }
  const bool has_long_name =
      std::any_of(spec.steps.begin(), spec.steps.end(), [](const auto& step) {
        return step->required_label.size() > kMaxNameBytes ||
               step->data_rack.size() > kMaxNameBytes ||
               step->image.size() > kMaxNameBytes;
      });
  return has_long_name ? "a step has a name of more than " +
                             std::to_string(kMaxNameBytes) + " bytes"
                       : "";
}

std::string ProblemOf(const wire::JobSpecT& spec) {
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps) {
    return "a job has 1 to 1000 steps";
  }
  std::size_t tasks = 0;
  for (std::size_t number = 0; number < spec.steps.size(); ++number) {
    const wire::StepSpecT& step = *spec.steps[number];
    tasks += step.count;
    if (step.count == 0 || tasks > kMaxTasks) {
      return "a step has at least one task, a job at most 20000";
    }
    for (const std::uint32_t dependency : step.depends_on) {
      if (dependency >= number) {
        return "a step depends on earlier steps only";
      }
    }
  }
  return TextProblemOf(spec);
}

}  // namespace bronzebarrow::jobs
