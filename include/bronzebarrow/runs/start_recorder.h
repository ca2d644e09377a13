// Which jobs have begun: an owner records the first start of each job that a
// runner confirms. Assignments do not show it, since the runner may be lost
// before it carries out the start.
#ifndef BRONZEBARROW_RUNS_START_RECORDER_H_
#define BRONZEBARROW_RUNS_START_RECORDER_H_

#include <optional>
#include <unordered_set>
#include <vector>

#include "bronzebarrow/base/time.h"
#include "bronzebarrow/jobs.h"

namespace bronzebarrow::runs {

/**
 * Proposes RecordStarts for jobs that the log does not show as started. A start
 * without an answer counts once a run list shows its run.
 */
class StartRecorder {
 public:
  explicit StartRecorder(const jobs::WorkState& state) : m_state(state) {}

  /** A runner has started a task of the job. */
  void OnStarted(jobs::JobId job, Instant now);
  void OnApplied(const jobs::ApplyResult& applied);
  /**
   * @return whether the command should be proposed now. Before that it should
   * go with others: a log entry of its own delays those behind it.
   */
  bool IsDue(Instant now) const { return !m_new.empty() && now >= m_due_at; }
  /** @return the command for all starts since the last call, if any. */
  std::optional<wire::RecordStartsT> TakeCommand();
  /** Drops what was not applied, when the owner changes. */
  void Clear();

 private:
  const jobs::WorkState& m_state;
  std::vector<jobs::JobId> m_new;  // Not yet proposed.
  Instant m_due_at;                // Of m_new, if it is not empty.
  // Those of m_new, and those whose command is not yet applied.
  std::unordered_set<jobs::JobId> m_pending;
};

}  // namespace bronzebarrow::runs

#endif  // BRONZEBARROW_RUNS_START_RECORDER_H_
