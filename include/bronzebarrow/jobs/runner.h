// A runner, the process on a machine that runs tasks, and its resources.
#ifndef BRONZEBARROW_JOBS_RUNNER_H_
#define BRONZEBARROW_JOBS_RUNNER_H_

#include <cstdint>
#include <map>

#include "bronzebarrow/base/resources.h"
#include "bronzebarrow/jobs/task_key.h"
#include "wire_generated.h"

namespace bronzebarrow::jobs {

using bronzebarrow::Resources;

/** @return the resources of one task; a best-effort task reserves no CPU. */
Resources ResourcesOf(const wire::StepSpecT& step);

/** The replicated state of one registered runner. */
struct Runner {
  wire::RunnerRecordT m_record;
  // Each incarnation numbers the ends of its runs; those up to this number are
  // recorded.
  std::uint64_t m_last_recorded_end = 0;
  // Assigned runs whose end is not recorded, including those being stopped.
  std::map<TaskKey, std::uint32_t> m_assigned;
  Resources m_used;                // Sum of the resources of m_assigned.
  std::size_t m_long_running = 0;  // Long-running tasks among m_assigned.
  Resources m_long_running_used;   // Sum of the resources of these.
  std::size_t m_budgeted = 0;      // Of m_assigned, in steps with a may_miss.

  /** @return whether a task that ends on its own is assigned. */
  bool HasFiniteTasks() const { return m_assigned.size() > m_long_running; }

  /** @return the registered resources. */
  Resources TotalResources() const;
  /** @return the registered resources minus those of m_assigned. */
  Resources FreeResources() const;
};

}  // namespace bronzebarrow::jobs

#endif  // BRONZEBARROW_JOBS_RUNNER_H_
