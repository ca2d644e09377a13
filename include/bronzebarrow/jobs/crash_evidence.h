// Decides which runs may have caused the crash of their runner and when a task
// is given up for it. Load pattern: tasks that crash each runner soon after
// they start, on runners with a dozen runs each, so that most tasks under a
// crash are bystanders. Test: tests/crash_replay_test.cc.
#ifndef BRONZEBARROW_JOBS_CRASH_EVIDENCE_H_
#define BRONZEBARROW_JOBS_CRASH_EVIDENCE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bronzebarrow/base/time.h"
#include "bronzebarrow/jobs/task_key.h"

namespace bronzebarrow::jobs {

/** A crash of a runner under a run of a task. */
struct RunnerCrash {
  std::string m_runner;
  std::uint64_t m_time_ms = 0;  // Unix time at which it was recorded.
  // Whether the run was in its trial period.
  bool m_just_started = false;
  // Whether it was, and no run of another job was.
  bool m_only_suspect = false;
};

/**
 * @return the time after its start in which a run is the first suspect if its
 * runner crashes. While a suspect is in it, its runner starts nothing else, so
 * that a crash can have only one cause.
 */
Duration TrialPeriod(const std::vector<RunnerCrash>& crashes);

/**
 * A suspect is tried on a runner whose other runs have been running for this
 * long, so that they are unlikely to be the cause of a crash.
 */
constexpr Duration kSettlingTime = Millis(500);

/** @return whether any of the crashes came just after a start of the task. */
bool HasCrashedAfterStart(const std::vector<RunnerCrash>& crashes);

/** @return whether the next run of a task with these crashes needs a trial. */
bool IsSuspect(const std::vector<RunnerCrash>& crashes);

/**
 * @param conclusive whether no other run could have caused the last crash
 * @return whether the task may not run again
 */
bool IsToBlame(const std::vector<RunnerCrash>& crashes, bool conclusive);

/**
 * Updates the crashes of a task one of whose runs was seen past its trial
 * period.
 */
void ClearSuspicion(std::vector<RunnerCrash>& crashes);

/** A run that ended with its runner. */
struct RunAtCrash {
  RunKey m_run;
  // For how long it was seen running; zero if its start was not confirmed.
  Duration m_seen_running = Duration::zero();
  Duration m_trial_period = Duration::zero();  // Of its task.
  bool m_has_crashes = false;                  // Whether its task has.
  // False if an earlier owner started it, perhaps long ago.
  bool m_start_seen = true;
  // Whether its task is started together with the others of its step.
  bool m_gang = false;
};

struct CrashEvidence {
  std::vector<RunKey> m_new_runs;  // In their trial period.
  // Past it, or of unknown age, but not beyond suspicion.
  std::vector<RunKey> m_older_runs;
  // Runs of tasks with earlier crashes that were seen past it, which shows that
  // the task did not cause these.
  std::vector<RunKey> m_cleared_runs;
  // Whether m_new_runs are those of one task or of one gang, and the crash is
  // unlikely to be a coincidence.
  bool m_conclusive = false;
  // Whether each run was seen past its trial period, so that the runner has
  // probably crashed by itself.
  bool m_without_cause = true;
};

/**
 * @param has_other_causes whether runners also crash without a new run, so that
 * the crash may have come just after a start by chance
 */
CrashEvidence AssessCrash(const std::vector<RunAtCrash>& runs,
                          bool has_other_causes);

}  // namespace bronzebarrow::jobs

#endif  // BRONZEBARROW_JOBS_CRASH_EVIDENCE_H_
