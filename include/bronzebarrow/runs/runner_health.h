// Judges one life of a runner by what becomes of the runs it is given. Load
// pattern: a few runners fail or stall all they start while they beat and
// answer; they have room soonest and would be given the most work.
// Test: tests/dispatcher_test.cc.
#ifndef BRONZEBARROW_RUNS_RUNNER_HEALTH_H_
#define BRONZEBARROW_RUNS_RUNNER_HEALTH_H_

#include <vector>

#include "bronzebarrow/base/time.h"
#include "bronzebarrow/jobs.h"

namespace bronzebarrow::runs {

class RunnerHealth {
 public:
  /**
   * Notes an end that the runner listed. Failures of one job may be the job's
   * own fault; only those of several jobs, none done in between, count.
   * @return whether the runner should be put aside
   */
  bool NoteEnd(jobs::JobId job, wire::EndKind how);
  /** Gives the runner no work for a time that doubles with each call. */
  void PutAside(Instant now);
  bool IsAside(Instant now) const { return now < m_aside_until; }

 private:
  std::vector<jobs::JobId> m_failed;  // Jobs since a run was done; distinct.
  Duration m_pause = Duration::zero();
  Instant m_aside_until;
};

}  // namespace bronzebarrow::runs

#endif  // BRONZEBARROW_RUNS_RUNNER_HEALTH_H_
