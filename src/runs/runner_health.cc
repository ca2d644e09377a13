// When a runner is quarantined, and for how long.
#include "bronzebarrow/runs/runner_health.h"

#include <algorithm>

namespace bronzebarrow::runs {
namespace {

// Jobs that must fail on a runner in a row before it is quarantined. Apart from
// the 3% of all jobs that always fail, the users' jobs fail by their own fault
// in at most 3% of their runs.
constexpr std::size_t kFailedJobs = 3;
// First and longest quarantine. The users' runners have faults of this kind for
// 6 to 8 s; one run after each quarantine shows whether the fault is over.
constexpr Duration kFirstPause = Millis(1500);
constexpr Duration kLongestPause = Millis(6000);

}  // namespace

bool RunnerHealth::NoteEnd(jobs::JobId job, wire::EndKind how) {
  if (how == wire::EndKind::Done) {
    m_failed.clear();
    m_pause = Duration::zero();
    return false;
  }
  if (how != wire::EndKind::Failed) {
    return false;
  }
  if (m_failed.size() < kFailedJobs &&
      std::find(m_failed.begin(), m_failed.end(), job) == m_failed.end()) {
    m_failed.push_back(job);
  }
  return m_failed.size() >= kFailedJobs;
}

void RunnerHealth::PutAside(Instant now) {
  if (IsAside(now)) {
    return;  // The end of a run that was started before the quarantine.
  }
  m_pause = std::clamp(m_pause * 2, kFirstPause, kLongestPause);
  m_aside_until = now + m_pause;
}

}  // namespace bronzebarrow::runs
