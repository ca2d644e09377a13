// Applies the registration and the removal of runners to the work state, and
// records the crashes that tasks may have caused.
#include <algorithm>
#include <utility>

#include "bronzebarrow/jobs/work_state.h"

namespace bronzebarrow::jobs {

void WorkState::EndRunsAsLost(Runner& runner, ApplyResult& applied) {
  const auto assigned = runner.m_assigned;
  for (const auto& [task, run] : assigned) {
    EndRun({task, run}, runner.m_record.id, wire::EndKind::Lost, "", applied);
  }
}

void WorkState::RegisterRunner(const wire::WorkBodyUnion& body,
                               ApplyResult& applied) {
  const auto& record = body.AsRegisterRunner()->runner;
  if (!record) {
    return;
  }
  applied.m_runner = record->id;
  auto existing = m_runners.find(record->id);
  if (existing != m_runners.end()) {
    const wire::RunnerRecordT& current = existing->second.m_record;
    if (record->born_ms < current.born_ms ||
        (record->born_ms == current.born_ms &&
         record->sequence < current.sequence)) {
      return;
    }
    if (record->born_ms > current.born_ms) {
      EndRunsAsLost(existing->second, applied);
      existing->second.m_last_recorded_end = 0;
    }
  } else {
    existing = m_runners.emplace(record->id, Runner()).first;
  }
  RemoveFromPoolIndex(existing->second);
  RemoveFromMachineIndex(existing->second);
  existing->second.m_record = *record;
  m_runners_by_pool[record->pool][record->id] = &existing->second;
  AddToMachineIndex(existing->second);
  applied.m_changed = true;
}

void WorkState::RemoveRunner(const wire::WorkBodyUnion& body,
                             ApplyResult& applied) {
  const wire::RemoveRunnerT& remove = *body.AsRemoveRunner();
  applied.m_runner = remove.runner;
  applied.m_born_ms = remove.born_ms;
  const auto runner = m_runners.find(remove.runner);
  if (runner == m_runners.end() ||
      runner->second.m_record.born_ms != remove.born_ms) {
    return;
  }
  ClearRuns(remove.cleared_runs, runner->second);
  RecordCrash(remove.new_runs, true, runner->second);
  RecordCrash(remove.older_runs, false, runner->second);
  EndRunsAsLost(runner->second, applied);
  GiveUpTasksToBlame(remove, applied);
  RemoveFromPoolIndex(runner->second);
  RemoveFromMachineIndex(runner->second);
  m_runners.erase(runner);
  applied.m_changed = true;
}

void WorkState::RecordCrash(const std::vector<wire::TaskRef>& runs,
                            bool just_started, const Runner& runner) {
  const bool only_suspect =
      just_started && std::all_of(runs.begin(), runs.end(), [&](const auto& r) {
        return r.job() == runs.front().job();
      });
  for (const wire::TaskRef& ref : runs) {
    const RunKey run = FromWire(ref);
    if (Task* const task = FindActiveTask(run, runner)) {
      task->m_crashes.push_back(
          {runner.m_record.id, m_time_ms, just_started, only_suspect});
      UpdateSuspects(m_jobs.at(run.m_task.m_job), run.m_task);
    }
  }
}

void WorkState::ClearRuns(const std::vector<wire::TaskRef>& runs,
                          const Runner& runner) {
  for (const wire::TaskRef& ref : runs) {
    const RunKey run = FromWire(ref);
    if (Task* const task = FindActiveTask(run, runner)) {
      ClearSuspicion(task->m_crashes);
      UpdateSuspects(m_jobs.at(run.m_task.m_job), run.m_task);
    }
  }
}

Task* WorkState::FindActiveTask(const RunKey& run, const Runner& runner) {
  const auto assigned = runner.m_assigned.find(run.m_task);
  const auto job = m_jobs.find(run.m_task.m_job);
  return assigned == runner.m_assigned.end() || assigned->second != run.m_run ||
                 job == m_jobs.end() || job->second.m_state != JobState::kActive
             ? nullptr
             : job->second.FindTask(run.m_task);
}

void WorkState::GiveUpTasksToBlame(const wire::RemoveRunnerT& remove,
                                   ApplyResult& applied) {
  for (const auto* runs : {&remove.new_runs, &remove.older_runs}) {
    const bool conclusive = remove.conclusive && runs == &remove.new_runs;
    for (const wire::TaskRef& ref : *runs) {
      const RunKey run = FromWire(ref);
      const auto job = m_jobs.find(run.m_task.m_job);
      if (job == m_jobs.end() || job->second.m_state != JobState::kActive) {
        continue;
      }
      const Task* const task = job->second.FindTask(run.m_task);
      if (task != nullptr && task->m_state == TaskState::kWaiting &&
          IsToBlame(task->m_crashes, conclusive)) {
        applied.m_given_up.push_back(run);
        EndJob(job->second, JobState::kFailed, applied);
      }
    }
  }
}

// A gang has no trial: its tasks start together.
void WorkState::UpdateSuspects(const Job& job, const TaskKey& key) {
  const Task* const task = job.FindTask(key);
  if (task != nullptr && job.m_state == JobState::kActive &&
      task->m_state != TaskState::kDone &&
      !job.m_spec.steps[key.m_step]->gang && IsSuspect(task->m_crashes)) {
    m_suspects.insert(key);
  } else {
    m_suspects.erase(key);
  }
}

}  // namespace bronzebarrow::jobs
