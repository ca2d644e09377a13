// A job: its specification, and what became of each of its tasks.
#ifndef BRONZEBARROW_JOBS_JOB_H_
#define BRONZEBARROW_JOBS_JOB_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bronzebarrow/jobs/task_key.h"
#include "wire_generated.h"

namespace bronzebarrow::jobs {

enum class TaskState : std::uint8_t {
  kWaiting,   // No run, or its last run ended and it may be started again.
  kAssigned,  // A run was given to a runner and is not known to have ended.
  kDone,
};

struct Task {
  TaskState m_state = TaskState::kWaiting;
  std::uint32_t m_failures = 0;  // Runs that ended as failed.
  std::uint32_t m_run = 0;       // Number of the last run; never decreases.
  std::string m_runner;          // Of the last run.
  std::string m_checkpoint;      // Empty: none.
};

struct StepState {
  std::vector<Task> m_tasks;
  // Counts of m_tasks by state; they add up to its size.
  std::uint32_t m_waiting = 0;
  std::uint32_t m_assigned = 0;
  std::uint32_t m_done = 0;

  bool IsDone() const { return m_done == m_tasks.size(); }
};

/** One of the times that a job's steps run. */
struct Occurrence {
  std::vector<StepState> m_steps;

  bool IsDone() const;
};

enum class JobState : std::uint8_t { kActive, kCompleted, kFailed, kCancelled };

struct Job {
  JobId m_id = 0;
  std::string m_queue;
  wire::JobSpecT m_spec;
  JobState m_state = JobState::kActive;
  bool m_started = false;  // A run was assigned once.
  std::uint64_t m_accepted_ms = 0;
  std::uint64_t m_ended_ms = 0;
  // Of the longest chain of all steps by the callers' estimates; follows from
  // m_spec and is set with it.
  std::int64_t m_chain_ms = 0;
  std::uint32_t m_opened = 0;    // Occurrences below this number have begun.
  std::uint32_t m_finished = 0;  // Occurrences that are done.
  std::map<std::uint32_t, Occurrence> m_occurrences;  // Begun and not done.

  std::uint32_t OccurrenceCount() const {
    return m_spec.times == 0 ? 1 : m_spec.times;
  }
  /** @return the time in Unix milliseconds from which occurrence K may run. */
  std::uint64_t DueMs(std::uint32_t occurrence) const {
    return m_spec.times == 0
               ? m_accepted_ms
               : m_spec.start_at_ms + occurrence * m_spec.interval_ms;
  }
  bool IsLasting() const;
  /**
   * @return the estimated ms of the longest chain of steps that are not done
   * in the occurrence; of all steps when it is null
   */
  std::int64_t ChainMs(const Occurrence* occurrence) const;
  void SetSpec(wire::JobSpecT spec);
  /** @return the state as callers see it. */
  wire::JobPhase Phase() const;
  Task* Find(const TaskKey& key);
  const Task* Find(const TaskKey& key) const;
  /** @return whether every step that step `number` depends on is done. */
  bool IsStepOpen(const Occurrence& occurrence, std::size_t number) const;
  void OpenOccurrence();
};

/** @return nothing, or what makes the specification unusable. */
std::string ProblemOf(const wire::JobSpecT& spec);

}  // namespace bronzebarrow::jobs

#endif  // BRONZEBARROW_JOBS_JOB_H_
