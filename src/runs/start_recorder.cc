// Gathers the first starts of jobs into commands.
#include "bronzebarrow/runs/start_recorder.h"

#include <utility>

namespace bronzebarrow::runs {
namespace {

// Callers may read a state that is 2 s old (platform documentation). A shorter
// delay leaves fewer starts unrecorded when the owner ends.
constexpr Duration kMaxDelay = Millis(100);

}  // namespace

void StartRecorder::OnStarted(jobs::JobId id, Instant now) {
  const jobs::Job* const job = m_state.FindJob(id);
  if (job != nullptr && !job->m_started &&
      job->m_state == jobs::JobState::kActive && m_pending.insert(id).second) {
    if (m_new.empty()) {
      m_due_at = now + kMaxDelay;
    }
    m_new.push_back(id);
  }
}

void StartRecorder::OnApplied(const jobs::ApplyResult& applied) {
  for (const jobs::JobId job : applied.m_jobs_started) {
    m_pending.erase(job);
  }
}

std::optional<wire::RecordStartsT> StartRecorder::TakeCommand() {
  if (m_new.empty()) {
    return std::nullopt;
  }
  wire::RecordStartsT record;
  record.jobs = std::exchange(m_new, {});
  return record;
}

void StartRecorder::Clear() {
  m_new.clear();
  m_pending.clear();
}

}  // namespace bronzebarrow::runs
