// When a runner is quarantined, and for how long.
#include "bronzebarrow/runs/runner_health.h"

#include <algorithm>

namespace bronzebarrow::runs {
namespace {

// Jobs that must fail on a runner in a row before it is quarantined. Apart from
// the 3% of all jobs that always fail, the users' jobs fail by their own fault
// in at most 3% of their runs.
constexpr std::size_t kQuarantineFailedJobs = 3;
// First and longest quarantine. The users' runners have faults of this kind for
// 6 to 8 s; one run after each quarantine shows whether the fault is over.
constexpr Duration kFirstQuarantine = Millis(1500);
constexpr Duration kLongestQuarantine = Millis(6000);

}  // namespace

bool RunnerHealth::RecordEnd(jobs::JobId job, wire::EndKind how) {
  if (how == wire::EndKind::Done) {
    m_failed_jobs.clear();
    m_quarantine_duration = Duration::zero();
    return false;
  }
  if (how != wire::EndKind::Failed) {
    return false;
  }
  if (m_failed_jobs.size() < kQuarantineFailedJobs &&
      std::find(m_failed_jobs.begin(), m_failed_jobs.end(), job) ==
          m_failed_jobs.end()) {
    m_failed_jobs.push_back(job);
  }
  return m_failed_jobs.size() >= kQuarantineFailedJobs;
}

void RunnerHealth::Quarantine(Instant now) {
  if (IsQuarantined(now)) {
    return;  // The end of a run that was started before the quarantine.
  }
  m_quarantine_duration = std::clamp(m_quarantine_duration * 2,
                                     kFirstQuarantine, kLongestQuarantine);
  m_quarantined_until = now + m_quarantine_duration;
}

}  // namespace bronzebarrow::runs
