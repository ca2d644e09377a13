// Suspects of a crash, their trial periods and the limit of crashes.
#include "bronzebarrow/jobs/crash_evidence.h"

#include <algorithm>

namespace bronzebarrow::jobs {
namespace {

// A task that crashes its runner does so soon after its start. A longer period
// makes more bystanders suspects and occupies a runner for longer with each.
constexpr Duration kTrialPeriod = Millis(30);
// From this number of crashes on, trials last longer: the task may crash its
// runners some time after its start.
constexpr std::size_t kCrashesToLongTrial = 3;
// A run past it is not suspected: long-running tasks are on many runners that
// crash for other reasons.
constexpr Duration kLongTrialPeriod = Millis(1000);
// Crashes just after the start before a task is given up. One may be caused by
// a neighbour or by the runner itself.
constexpr std::ptrdiff_t kCrashesInTrial = 2;
// As kCrashesInTrial while runners also crash without a cause: two such crashes
// may come just after starts of one task by chance.
constexpr std::ptrdiff_t kCrashesInTrialAmongOthers = 3;
// A task is given up after this many crashes even if none was conclusive: the
// users allow two further starts after three crashes.
constexpr std::size_t kMaxCrashes = 5;

bool BelongTogether(const RunAtCrash& a, const RunAtCrash& b) {
  return a.m_gang && b.m_gang && a.m_run.m_task.m_job == b.m_run.m_task.m_job &&
         a.m_run.m_task.m_occurrence == b.m_run.m_task.m_occurrence &&
         a.m_run.m_task.m_step == b.m_run.m_task.m_step;
}

std::ptrdiff_t CountInTrial(const std::vector<RunnerCrash>& crashes) {
  return std::count_if(
      crashes.begin(), crashes.end(),
      [](const RunnerCrash& crash) { return crash.m_just_started; });
}

}  // namespace

Duration TrialPeriod(const std::vector<RunnerCrash>& crashes) {
  return crashes.size() < kCrashesToLongTrial ? kTrialPeriod : kLongTrialPeriod;
}

bool HasCrashedAfterStart(const std::vector<RunnerCrash>& crashes) {
  return CountInTrial(crashes) > 0;
}

bool IsSuspect(const std::vector<RunnerCrash>& crashes) {
  return HasCrashedAfterStart(crashes) || crashes.size() >= kCrashesToLongTrial;
}

bool IsToBlame(const std::vector<RunnerCrash>& crashes, bool conclusive) {
  if (crashes.size() >= kMaxCrashes) {
    return true;
  }
  const std::ptrdiff_t in_trial = CountInTrial(crashes);
  return (conclusive && (in_trial >= kCrashesInTrial ||
                         crashes.size() > kCrashesToLongTrial)) ||
         (in_trial >= kCrashesInTrialAmongOthers && !crashes.empty() &&
          crashes.back().m_only_suspect);
}

void ClearSuspicion(std::vector<RunnerCrash>& crashes) {
  if (crashes.size() >= kCrashesToLongTrial) {
    crashes.clear();
    return;
  }
  for (RunnerCrash& crash : crashes) {
    crash.m_just_started = false;
    crash.m_only_suspect = false;
  }
}

CrashEvidence AssessCrash(const std::vector<RunAtCrash>& runs,
                          bool has_other_causes) {
  CrashEvidence evidence;
  const RunAtCrash* first_new = nullptr;
  for (const RunAtCrash& run : runs) {
    evidence.m_without_cause = evidence.m_without_cause && run.m_start_seen &&
                               run.m_seen_running >= run.m_trial_period;
    if (!run.m_start_seen || run.m_seen_running >= run.m_trial_period) {
      if (run.m_seen_running < kLongTrialPeriod) {
        evidence.m_older_runs.push_back(run.m_run);
      }
      if (run.m_has_crashes && run.m_seen_running >= run.m_trial_period) {
        evidence.m_cleared_runs.push_back(run.m_run);
      }
      continue;
    }
    evidence.m_conclusive =
        first_new == nullptr
            ? !has_other_causes
            : evidence.m_conclusive && BelongTogether(*first_new, run);
    first_new = first_new == nullptr ? &run : first_new;
    evidence.m_new_runs.push_back(run.m_run);
  }
  return evidence;
}

}  // namespace bronzebarrow::jobs
