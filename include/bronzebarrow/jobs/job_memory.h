// Memory that jobs take: as calls that wait for their reply, and as accepted
// work. The estimates are upper bounds for what clients can submit; the slopes
// that they rest on are in docs/CAPACITY.md.
#ifndef BRONZEBARROW_JOBS_JOB_MEMORY_H_
#define BRONZEBARROW_JOBS_JOB_MEMORY_H_

#include <cstddef>
#include <unordered_map>

#include "bronzebarrow/jobs/task_key.h"
#include "wire_generated.h"

namespace bronzebarrow::jobs {

/**
 * One task of an occurrence, in bytes: its state, the identity and checkpoint
 * of its run, and half of its part of a snapshot while one is written.
 */
constexpr std::size_t kTaskBytes = 384;

/** @return the bytes of the specification in its object form. */
std::size_t SpecBytes(const wire::JobSpecT& spec);

/** @return the bytes of one open occurrence, with all its tasks. */
std::size_t OccurrenceBytes(const wire::JobSpecT& spec);

/**
 * @return the bytes of a call that submits the job until its reply comes: the
 * specification and the frame that it is sent in
 */
std::size_t CallBytes(const wire::JobSpecT& spec);

/**
 * @return the bytes of the accepted job with `open` open occurrences, as it is
 * stored and in a snapshot
 */
std::size_t StoredBytes(const wire::JobSpecT& spec, std::size_t open);

/** Stored bytes of jobs. */
struct JobBytes {
  std::size_t m_all = 0;
  /** Of m_all, those of jobs that have not ended. */
  std::size_t m_active = 0;

  bool operator==(const JobBytes&) const = default;
};

/** Sum of the stored bytes of jobs. */
class JobMemory {
 public:
  /** Adds the job, or replaces what was counted for it. */
  void Set(JobId job, std::size_t bytes, bool is_active);
  /** No effect on jobs that are not counted. */
  void Remove(JobId job);
  void Clear();
  const JobBytes& bytes() const { return m_bytes; }

 private:
  std::unordered_map<JobId, JobBytes> m_bytes_by_job;
  JobBytes m_bytes;  // Sum over m_bytes_by_job.
};

}  // namespace bronzebarrow::jobs

#endif  // BRONZEBARROW_JOBS_JOB_MEMORY_H_
