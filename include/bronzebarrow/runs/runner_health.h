// Decides when one incarnation of a runner is quarantined because its runs fail
// or stall. Load pattern: a few runners fail or stall every run they start, but
// still renew their leases and answer calls. Their capacity is free again
// first, so without a quarantine they would be given the most work. Test:
// tests/dispatcher_test.cc.
#ifndef BRONZEBARROW_RUNS_RUNNER_HEALTH_H_
#define BRONZEBARROW_RUNS_RUNNER_HEALTH_H_

#include <vector>

#include "bronzebarrow/base/time.h"
#include "bronzebarrow/jobs.h"

namespace bronzebarrow::runs {

class RunnerHealth {
 public:
  /**
   * Records an end that the runner reported. The failures of a single job may
   * be caused by the job, so only failures of several jobs with no completed
   * run in between count against the runner.
   * @return whether the runner should be quarantined
   */
  bool RecordEnd(jobs::JobId job, wire::EndKind how);
  /**
   * Quarantines the runner for a time that doubles with each quarantine, up to
   * a limit. A completed run resets that time; a call during a quarantine has
   * no effect.
   */
  void Quarantine(Instant now);
  bool IsQuarantined(Instant now) const { return now < m_quarantined_until; }

 private:
  // Distinct jobs with a failed run since the last completed run.
  std::vector<jobs::JobId> m_failed_jobs;
  // Duration of the last quarantine; zero after a completed run.
  Duration m_quarantine_duration = Duration::zero();
  Instant m_quarantined_until;
};

}  // namespace bronzebarrow::runs

#endif  // BRONZEBARROW_RUNS_RUNNER_HEALTH_H_
