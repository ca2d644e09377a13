// Dispatcher: crashes of runners, and the trials of tasks that may have caused
// one.
#include <algorithm>
#include <utility>

#include "bronzebarrow/base/event_log.h"
#include "bronzebarrow/runs/dispatcher.h"

namespace bronzebarrow::runs {
namespace {

// The time between the confirmed start of the run and the last sign that its
// runner's process ran; zero if the start was not confirmed.
Duration SeenRunning(const RunnerLink& link, const TrackedRun& run) {
  return run.m_started_at == Instant()
             ? Duration::zero()
             : std::max(link.m_alive_until - run.m_started_at,
                        Duration::zero());
}

bool MayBeRunning(const TrackedRun& run) {
  return run.m_state != TrackedRunState::kRejected &&
         run.m_state != TrackedRunState::kEndProposed;
}

// Whether the run was there when its runner crashed. A start that timed out
// does not show it: the runner may have been down before. An earlier owner may
// have seen the start of an inherited run.
bool WasThere(const TrackedRun& run) {
  return MayBeRunning(run) &&
         (run.m_state == TrackedRunState::kInherited ||
          run.m_started_at != Instant() || run.m_start_interrupted);
}

// Whether the run may be running and has not been for `span`.
bool IsYoungerThan(Duration span, const TrackedRun& run, Instant now) {
  return MayBeRunning(run) &&
         (run.m_started_at == Instant() || now < run.m_started_at + span);
}

}  // namespace

void Dispatcher::AddTrial(RunnerLink& link, const jobs::TaskKey& task) const {
  if (m_state.suspects().contains(task)) {
    link.m_trials.push_back(task);
  }
}

std::vector<jobs::RunnerCrash> Dispatcher::CrashesOf(
    const jobs::TaskKey& key) const {
  const jobs::Job* const job = m_state.FindJob(key.m_job);
  const jobs::Task* const task = job == nullptr ? nullptr : job->FindTask(key);
  return task == nullptr ? std::vector<jobs::RunnerCrash>() : task->m_crashes;
}

Duration Dispatcher::TrialPeriodOf(const jobs::TaskKey& key) const {
  return jobs::TrialPeriod(CrashesOf(key));
}

bool Dispatcher::IsTrying(const std::string& runner, Instant now) const {
  const RunnerLink* const link = FindLink(runner);
  return link != nullptr &&
         std::any_of(link->m_trials.begin(), link->m_trials.end(),
                     [&](const jobs::TaskKey& task) {
                       const auto run = link->m_tracked_runs.find(task);
                       return run != link->m_tracked_runs.end() &&
                              IsYoungerThan(TrialPeriodOf(task), run->second,
                                            now);
                     });
}

bool Dispatcher::HasUnsettledRun(const std::string& runner, Instant now) const {
  const RunnerLink* const link = FindLink(runner);
  return link != nullptr &&
         std::any_of(link->m_tracked_runs.begin(), link->m_tracked_runs.end(),
                     [&](const auto& item) {
                       return IsYoungerThan(jobs::kSettlingTime, item.second,
                                            now);
                     });
}

std::set<jobs::JobId> Dispatcher::StartingJobs(const std::string& runner,
                                               Instant now) const {
  std::set<jobs::JobId> jobs;
  const RunnerLink* const link = FindLink(runner);
  if (link != nullptr) {
    for (const auto& [task, run] : link->m_tracked_runs) {
      if (MayBeRunning(run) && run.m_assigned_at != Instant() &&
          now < run.m_assigned_at + TrialPeriodOf(task)) {
        jobs.insert(task.m_job);
      }
    }
  }
  return jobs;
}

void Dispatcher::ProposeRemoval(const std::string& runner, RunnerLink& link,
                                RemovalCause cause, Instant now) {
  if (link.m_removal_proposed) {
    return;
  }
  link.m_removal_proposed = true;
  const jobs::Runner* const known = m_state.FindRunner(runner);
  EventLine(Event::kRunnerRemoved, Severity::kWarning)
      .Field("runner", runner)
      .Field("cause", NameOf(cause))
      .Field("draining", known != nullptr && known->m_record.draining)
      .Field("silent_ms", ToMillis(now - link.m_last_answer))
      .Field("runs", link.m_tracked_runs.size());
  if (!link.m_tracked_runs.empty()) {
    m_lost_runs[std::string(NameOf(cause))] += link.m_tracked_runs.size();
  }
  for (const auto& [task, tracked] : link.m_tracked_runs) {
    EventLine(Event::kRunEnded)
        .Field("task", jobs::TaskText(task))
        .Field("run", tracked.m_run)
        .Field("runner", runner)
        .Field("how", "lost")
        .Field("cause", NameOf(cause))
        .Field("state", NameOf(tracked.m_state))
        .Field("seen_running_ms", ToMillis(SeenRunning(link, tracked)));
  }
  wire::RemoveRunnerT remove;
  remove.runner = runner;
  remove.born_ms = link.m_born_ms;
  const bool has_crashed =
      known != nullptr && !known->m_record.draining &&
      cause != RemovalCause::kListedBusy && cause != RemovalCause::kLeft &&
      !(m_is_down_as_requested && m_is_down_as_requested(*known));
  if (has_crashed) {
    const std::string& pool = known->m_record.pool;
    const jobs::CrashEvidence evidence =
        AssessCrash(link, m_crash_history.HasOtherCauses(pool, now));
    m_crash_history.Record(pool, evidence.m_without_cause, now);
    for (const jobs::RunKey& run : evidence.m_new_runs) {
      remove.new_runs.push_back(jobs::ToWire(run));
    }
    for (const jobs::RunKey& run : evidence.m_older_runs) {
      remove.older_runs.push_back(jobs::ToWire(run));
    }
    for (const jobs::RunKey& run : evidence.m_cleared_runs) {
      remove.cleared_runs.push_back(jobs::ToWire(run));
    }
    remove.conclusive = evidence.m_conclusive;
  }
  m_commands.emplace_back().Set(std::move(remove));
}

jobs::CrashEvidence Dispatcher::AssessCrash(const RunnerLink& link,
                                            bool has_other_causes) const {
  std::vector<jobs::RunAtCrash> runs;
  for (const auto& [task, tracked] : link.m_tracked_runs) {
    if (!WasThere(tracked)) {
      continue;
    }
    jobs::RunAtCrash& run = runs.emplace_back();
    run.m_run = {task, tracked.m_run};
    const std::vector<jobs::RunnerCrash> crashes = CrashesOf(task);
    run.m_trial_period = jobs::TrialPeriod(crashes);
    run.m_has_crashes = !crashes.empty();
    const wire::StepSpecT* const step = m_state.FindStep(task);
    run.m_gang = step != nullptr && step->gang;
    run.m_start_seen = tracked.m_state != TrackedRunState::kInherited;
    run.m_seen_running = SeenRunning(link, tracked);
  }
  return jobs::AssessCrash(runs, has_other_causes);
}

bool Dispatcher::OnRestarted(const std::string& runner, Instant now) {
  const auto found = m_links.find(runner);
  if (!leading() || found == m_links.end()) {
    return true;
  }
  RunnerLink& link = found->second;
  link.m_tick_due = Instant();
  link.MarkSuperseded(now);
  // If the machine's clock has gone back, a delayed report of an earlier
  // incarnation names a later start.
  const bool may_run =
      std::any_of(link.m_tracked_runs.begin(), link.m_tracked_runs.end(),
                  [](const auto& item) { return MayBeRunning(item.second); });
  if (may_run && !link.m_removal_proposed) {
    StopRunsAtNextIncarnation(runner, link, now, now);
    link.m_next_hold = std::min(link.m_next_hold, now);
    return false;
  }
  ProposeRemoval(runner, link, RemovalCause::kRestarted, now);
  return true;
}

}  // namespace bronzebarrow::runs
