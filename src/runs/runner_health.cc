// When a runner is put aside, and for how long.
#include "bronzebarrow/runs/runner_health.h"

#include <algorithm>

namespace bronzebarrow::runs {
namespace {

// Jobs that must fail on a runner in a row. The users' jobs fail by their own
// fault in 3% of runs or less, but for jobs that always fail, 3% of all.
constexpr std::size_t kFailedJobs = 3;
// The first pause, and the longest: the users' faults of this kind last 6 to
// 8 s; one run after each pause tells whether it is over.
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
    return;  // Ends of what was started before.
  }
  m_pause = std::clamp(m_pause * 2, kFirstPause, kLongestPause);
  m_aside_until = now + m_pause;
}

}  // namespace bronzebarrow::runs
