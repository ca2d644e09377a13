// A job: its specification and the state of its occurrences, steps and tasks.
#ifndef BRONZEBARROW_JOBS_JOB_H_
#define BRONZEBARROW_JOBS_JOB_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "bronzebarrow/jobs/crash_evidence.h"
#include "bronzebarrow/jobs/queue_table.h"
#include "bronzebarrow/jobs/task_key.h"
#include "wire_generated.h"

namespace bronzebarrow::jobs {

// Limits on one job, so that a single submission cannot exhaust the memory of
// the control members. The widest step in use has about 100 tasks.
constexpr std::size_t kMaxSteps = 1000;
constexpr std::size_t kMaxTasks = 20'000;
// Bytes of a specification's text, as the platform's protocol limits it.
constexpr std::size_t kMaxSpecBytes = 4000;
// Bytes of a name: labels, racks, images, machines, pools. The platform's have
// fewer than 40.
constexpr std::size_t kMaxNameBytes = 1024;

enum class TaskState : std::uint8_t {
  kWaiting,   // Never assigned, or the last run ended without completing it.
  kAssigned,  // A run is assigned to a runner and its end is not recorded.
  kDone,
};

struct Task {
  TaskState m_state = TaskState::kWaiting;
  // Number of runs that ended as failed. In a gang, a run in which several
  // members fail counts once, for each member.
  std::uint32_t m_failures = 0;
  std::uint32_t m_run = 0;  // Number of the last run, 0: none; never decreases.
  std::string m_runner;     // Runner id of the last run.
  // Last reported checkpoint; empty: none. The same for all members of a gang.
  std::string m_checkpoint;
  // The one that the last run starts from, the same for all members of one run
  // of a gang.
  std::string m_start_checkpoint;
  // Crashes of runners that its runs may have caused, in the order of time.
  std::vector<RunnerCrash> m_crashes;
};

struct StepState {
  std::vector<Task> m_tasks;
  // Number of tasks in each state; the sum is the size of m_tasks.
  std::uint32_t m_waiting = 0;
  std::uint32_t m_assigned = 0;
  std::uint32_t m_done = 0;
  // The last run of a gang that counted as failed; never decreases.
  std::uint32_t m_failed_run = 0;

  bool IsDone() const { return m_done == m_tasks.size(); }
};

/** One execution of all steps of a job; a periodic job has several. */
struct Occurrence {
  std::vector<StepState> m_steps;

  bool IsDone() const;
};

enum class JobState : std::uint8_t { kActive, kCompleted, kFailed, kCancelled };

struct Job {
  JobId m_id = 0;
  QueueAddress m_queue;
  // Set while m_queue is empty: an earlier version stored only the name of the
  // queue, and no configuration since has had a queue of this name.
  std::string m_queue_name;
  // The organisation whose key submitted it; empty: none.
  std::string m_organisation;
  std::string m_key_digest;  // As Holder::m_key.
  wire::JobSpecT m_spec;
  JobState m_state = JobState::kActive;
  // Whether a runner is known to have started a task. A run that is only
  // assigned may never start.
  bool m_started = false;
  std::uint64_t m_accepted_ms = 0;
  std::uint64_t m_ended_ms = 0;
  // Length of the critical path over all steps, from the estimates of the
  // specification. Derived from m_spec; both are set by SetSpec.
  std::int64_t m_critical_path_ms = 0;
  // Steps of the longest chain of dependencies. Derived as well.
  std::size_t m_longest_chain = 0;
  std::uint32_t m_opened = 0;    // Occurrences below this number were opened.
  std::uint32_t m_finished = 0;  // Number of occurrences that are done.
  // Occurrences that are opened and not done, by number.
  std::map<std::uint32_t, Occurrence> m_occurrences;

  std::uint32_t OccurrenceCount() const {
    return m_spec.times == 0 ? 1 : m_spec.times;
  }
  /** @return the earliest start of the occurrence, in Unix milliseconds. */
  std::uint64_t DueMs(std::uint32_t occurrence) const {
    return m_spec.times == 0
               ? m_accepted_ms
               : m_spec.start_at_ms + occurrence * m_spec.interval_ms;
  }
  /** @return whether any step runs until the job is cancelled. */
  bool IsLongRunning() const;
  /**
   * @return the estimated length, in milliseconds, of the critical path over
   * the steps of the occurrence that are not done; over all steps of the job
   * if `occurrence` is null
   */
  std::int64_t CriticalPathMs(const Occurrence* occurrence) const;
  /** Sets the specification and the values derived from it. */
  void SetSpec(wire::JobSpecT spec);
  /** @return the phase that is reported to callers. */
  wire::JobPhase Phase() const;
  /** @return the task; null if unknown or its occurrence is not open. */
  Task* FindTask(const TaskKey& key);
  const Task* FindTask(const TaskKey& key) const;
  /** @return whether all steps that step `number` depends on are done. */
  bool IsStepReady(const Occurrence& occurrence, std::size_t number) const;
  /** @return whether a task has started, or has a runner that may start it. */
  bool IsInProgress() const;
  /** @return whether a waiting task belongs to a ready step. */
  bool HasStartableTask() const;
  /** @return whether a waiting task meets the condition. */
  bool HasWaitingTask(const std::function<bool(const Task&)>& condition) const;
  /** Creates the next occurrence, with all its tasks waiting. */
  void OpenOccurrence();
};

/** @return which text is over its limit; empty if none is. */
std::string TextProblemOf(const wire::JobSpecT& spec);
/** @return why the specification is invalid; empty if it is valid. */
std::string ProblemOf(const wire::JobSpecT& spec);

}  // namespace bronzebarrow::jobs

#endif  // BRONZEBARROW_JOBS_JOB_H_
