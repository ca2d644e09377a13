// A runner: one life of a machine that runs tasks.
#ifndef BRONZEBARROW_JOBS_RUNNER_H_
#define BRONZEBARROW_JOBS_RUNNER_H_

#include <cstdint>
#include <map>

#include "bronzebarrow/jobs/task_key.h"
#include "wire_generated.h"

namespace bronzebarrow::jobs {

/** Amounts of a runner's capacity. */
struct Room {
  std::int64_t m_cpu_milli = 0;
  std::int64_t m_memory_mb = 0;
  std::int64_t m_gpu = 0;

  void Add(const Room& other, std::int64_t times) {
    m_cpu_milli += other.m_cpu_milli * times;
    m_memory_mb += other.m_memory_mb * times;
    m_gpu += other.m_gpu * times;
  }
  bool Fits(const Room& need) const {
    return need.m_cpu_milli <= m_cpu_milli && need.m_memory_mb <= m_memory_mb &&
           need.m_gpu <= m_gpu;
  }
  bool operator==(const Room&) const = default;
};

/** @return what a task of the step takes; fill work takes no processor. */
Room RoomOf(const wire::StepSpecT& step);

struct Runner {
  wire::RunnerRecordT m_record;
  std::uint64_t m_seen = 0;  // Ends up to this number are recorded.
  // Runs assigned and not known to have ended, also those being stopped.
  std::map<TaskKey, std::uint32_t> m_assigned;
  Room m_used;                // By m_assigned.
  std::size_t m_lasting = 0;  // Of m_assigned, runs of tasks that last.

  bool HasShort() const { return m_assigned.size() > m_lasting; }

  Room Free() const;
};

}  // namespace bronzebarrow::jobs

#endif  // BRONZEBARROW_JOBS_RUNNER_H_
