// The replicated state machine of the work group: configuration, jobs, runners,
// upkeep waves and the owner of the pools.
#ifndef BRONZEBARROW_JOBS_WORK_STATE_H_
#define BRONZEBARROW_JOBS_WORK_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "bronzebarrow/jobs/job.h"
#include "bronzebarrow/jobs/job_memory.h"
#include "bronzebarrow/jobs/job_queues.h"
#include "bronzebarrow/jobs/runner.h"
#include "bronzebarrow/jobs/upkeep.h"
#include "bronzebarrow/organisations.h"
#include "wire_generated.h"

namespace bronzebarrow::jobs {

/** Result of applying one command. */
struct ApplyResult {
  std::uint64_t m_token = 0;  // Token of the command.
  wire::WorkBody m_kind = wire::WorkBody::NONE;
  bool m_changed = false;  // Whether the command had an effect.
  // AcceptJob: the configuration lacks the queue, so the job is not stored.
  bool m_has_no_queue = false;
  JobId m_job = 0;              // Job that the command refers to; 0: none.
  std::string m_runner;         // Runner that it refers to; empty: none.
  std::uint64_t m_born_ms = 0;  // Start of that runner, if it was removed.
  std::string m_machine;        // Machine that it refers to; empty: none.
  /** Runs that the command assigned. */
  std::vector<RunKey> m_assigned;
  /** Runs whose end the command recorded. */
  std::vector<RunKey> m_ended;
  /** Runs whose tasks the command gave up because they crash runners. */
  std::vector<RunKey> m_given_up;
  /** Jobs whose first start the command recorded, also if they had ended. */
  std::vector<JobId> m_jobs_started;
  /** Jobs that the command completed, failed or cancelled. */
  std::vector<JobId> m_jobs_ended;
};

/** The state depends only on the sequence of committed commands. */
class WorkState {
 public:
  using Jobs = std::map<JobId, Job>;
  using Runners = std::map<std::string, Runner>;
  /** Active jobs by acceptance number, which increases with each job. */
  using JobIndex = std::map<std::uint64_t, const Job*>;
  using RunnerIndex = std::map<std::string, const Runner*>;

  WorkState() = default;
  WorkState(const WorkState&) = delete;
  WorkState& operator=(const WorkState&) = delete;

  /** @param index index of the log entry that holds the command */
  ApplyResult Apply(const wire::WorkCommandT& command, std::uint64_t index);

  /** @return the state in serialised form, for snapshots. */
  std::vector<std::uint8_t> Image() const;
  /** @return whether the image was valid and has replaced the state. */
  bool Load(std::span<const std::uint8_t> image);

  const QueueTable& queues() const { return m_queues.table(); }
  /**
   * @return the queue that the job belongs to, as the configuration in force or
   * else the last one with it has it; null for an ended job of a queue that is
   * not in force, or if no configuration has had it
   */
  const wire::QueueSpecT* FindQueue(const Job& job) const {
    return m_queues.Find(job.m_queue);
  }
  /** @return queues that the configuration lacks and that have active jobs. */
  std::size_t former_queue_count() const { return m_queues.former_count(); }
  /** @return the name of the job's queue, or its address without a name. */
  std::string QueueNameOf(const Job& job) const;
  const organisations::OrganisationTable& organisations() const {
    return m_organisations;
  }
  /** Resources of the assigned runs of each organisation that has any. */
  const organisations::Usage& usage() const { return m_usage; }
  const Jobs& jobs() const { return m_jobs; }
  const Runners& runners() const { return m_runners; }
  const std::map<std::uint64_t, UpkeepWave>& waves() const { return m_waves; }
  const Job* FindJob(JobId id) const;
  const Runner* FindRunner(const std::string& id) const;
  /**
   * @return the runner of the machine that started last; null if the machine
   * has no registered runner
   */
  const Runner* FindLatestRunnerOfMachine(const std::string& machine) const;
  /** @return the step of the task; null if the job or step is unknown. */
  const wire::StepSpecT* FindStep(const TaskKey& task) const;
  /** Active jobs in the order of acceptance. */
  const std::map<std::uint64_t, JobId>& active() const { return m_active; }
  /** Active jobs with a task that could start now; see HasStartableTask. */
  const JobIndex& startable() const { return m_startable; }
  /** Active periodic jobs with occurrences that are not opened yet. */
  const JobIndex& periodic() const { return m_periodic; }
  /**
   * Tasks of active jobs that are not done and may have crashed a runner; see
   * IsSuspect. Tasks of gangs are left out.
   */
  const std::set<TaskKey>& suspects() const { return m_suspects; }
  /** @return the runners of the pool, by id. */
  const RunnerIndex& RunnersOfPool(const std::string& pool) const;
  /**
   * @return the first difference between the indexes and their recomputation
   * from all jobs and runners; empty if there is none. For tests.
   */
  std::string FindIndexError() const;
  /** @return the queue's active jobs of which no task has started. */
  std::uint32_t WaitingCount(const QueueAddress& queue) const {
    return m_queues.WaitingCount(queue);
  }
  /** @return the bytes of the jobs, as StoredBytes. */
  const JobBytes& job_bytes() const { return m_job_memory.bytes(); }

  /**
   * Epoch of the owner of all pools, its fencing token: the index of the log
   * entry that made it the owner.
   */
  std::uint64_t epoch() const { return m_epoch; }
  const std::string& owner() const { return m_owner; }
  /** Unix time in milliseconds of the latest command. */
  std::uint64_t time_ms() const { return m_time_ms; }

 private:
  using Handler = void (WorkState::*)(const wire::WorkBodyUnion&, ApplyResult&);
  static const std::map<wire::WorkBody, Handler>& Handlers();

  void TakeOwnership(const wire::WorkBodyUnion& body, ApplyResult& applied);
  void PutConfig(const wire::WorkBodyUnion& body, ApplyResult& applied);
  void AcceptJob(const wire::WorkBodyUnion& body, ApplyResult& applied);
  void CancelJob(const wire::WorkBodyUnion& body, ApplyResult& applied);
  void AssignRuns(const wire::WorkBodyUnion& body, ApplyResult& applied);
  void EndRuns(const wire::WorkBodyUnion& body, ApplyResult& applied);
  void RegisterRunner(const wire::WorkBodyUnion& body, ApplyResult& applied);
  void RemoveRunner(const wire::WorkBodyUnion& body, ApplyResult& applied);
  void OpenOccurrences(const wire::WorkBodyUnion& body, ApplyResult& applied);
  void StartUpkeep(const wire::WorkBodyUnion& body, ApplyResult& applied);
  void RecordUpkeep(const wire::WorkBodyUnion& body, ApplyResult& applied);
  void ForgetJobs(const wire::WorkBodyUnion& body, ApplyResult& applied);
  void RecordMove(const wire::WorkBodyUnion& body, ApplyResult& applied);
  void RecordStarts(const wire::WorkBodyUnion& body, ApplyResult& applied);

  // Records the end of a run; ignored unless the runner has this run.
  void EndRun(const RunKey& run, const std::string& runner, wire::EndKind how,
              const std::string& checkpoint, ApplyResult& applied);
  // Records all runs of the runner as lost.
  void EndRunsAsLost(Runner& runner, ApplyResult& applied);
  // Adds the crash of `runner` to the tasks of these runs.
  void RecordCrash(const std::vector<wire::TaskRef>& runs, bool just_started,
                   const Runner& runner);
  // Removes the suspicion from the tasks of these runs.
  void ClearRuns(const std::vector<wire::TaskRef>& runs, const Runner& runner);
  // The task, if its job is active and exactly this run is assigned to the
  // runner; null otherwise.
  Task* FindActiveTask(const RunKey& run, const Runner& runner);
  // Ends the jobs of tasks that are to blame for the crash.
  void GiveUpTasksToBlame(const wire::RemoveRunnerT& remove,
                          ApplyResult& applied);
  // Updates the task's entry in m_suspects.
  void UpdateSuspects(const Job& job, const TaskKey& key);
  // Records the checkpoint that the end of a run came with.
  static void SetCheckpoint(Job& job, const TaskKey& key, wire::EndKind how,
                            const std::string& checkpoint);
  // The checkpoint that the run is to start from.
  static std::string StartCheckpoint(const Job& job, const RunKey& run);
  // Updates task and job for a run that ended as done or failed. A lost or
  // stopped run and a long-running task need no update.
  void ApplyRunEnd(Job& job, const RunKey& run, wire::EndKind how,
                   ApplyResult& applied);
  // Gives active jobs that an earlier version stored by the name of their queue
  // its address, as far as the configuration in force has the name.
  void ResolveQueueNames();
  // Sets the queue of a job that an earlier version stored.
  void SetQueueByName(Job& job, const std::string& name) const;
  // Gives all jobs to whom they belong now, and updates the usage.
  void UpdateHolders(const organisations::OrganisationTable& former);
  // Adds the task's resources, `times` times, to its organisation's usage.
  void AddUsage(const TaskKey& task, const wire::StepSpecT& step,
                std::int64_t times);
  // Whether the task may not run again. False if no configuration has had the
  // job's queue: its limit of attempts is unknown then.
  bool HasUsedAllAttempts(const Job& job, const Task& task) const;
  // Ends the jobs whose tasks may not run again under a new configuration.
  void EndJobsWithoutAttempts(ApplyResult& applied);
  // Completes all tasks of a gang step: the gang is done as soon as one member
  // reports it done.
  void CompleteGang(Job& job, const TaskKey& key, ApplyResult& applied);
  void EndJob(Job& job, JobState state, ApplyResult& applied);
  // Adds an assigned run to the runner, or removes it, with its resources.
  void AddAssignment(const RunKey& run, const wire::StepSpecT& step,
                     Runner& runner);
  void RemoveAssignment(const TaskKey& key, const std::string& runner);
  // Removes the runner's entry in m_runners_by_pool, if it has one.
  void RemoveFromPoolIndex(const Runner& runner);
  // Updates the job's entries in m_startable and m_periodic.
  void UpdateJobIndexes(const Job& job);
  // Counts the job with its open occurrences.
  void UpdateJobMemory(const Job& job);
  // Marks the active job as started, once.
  void MarkStarted(Job& job);
  // Adds the runner to m_runners_by_machine under the machine of its record, or
  // removes it. Not in the index while its record changes.
  void AddToMachineIndex(const Runner& runner);
  void RemoveFromMachineIndex(const Runner& runner);
  void FinishOccurrenceIfDone(Job& job, std::uint32_t number,
                              ApplyResult& applied);

  std::uint64_t m_time_ms = 0;      // Never decreases.
  std::uint64_t m_entry_index = 0;  // Index of the log entry being applied.
  std::uint64_t m_epoch = 0;        // Never decreases.
  std::string m_owner;
  JobQueues m_queues;
  // Of the configuration in m_queues.
  organisations::OrganisationTable m_organisations;
  Jobs m_jobs;
  // Jobs in state kActive by acceptance number, which increases with each job.
  std::map<std::uint64_t, JobId> m_active;
  // Acceptance number of each job in m_active.
  std::unordered_map<JobId, std::uint64_t> m_acceptance_numbers;
  std::uint64_t m_next_acceptance_number = 1;
  // Derived from m_jobs, so that a decision costs what can be decided and not
  // what is stored.
  JobIndex m_startable;
  JobIndex m_periodic;
  std::set<TaskKey> m_suspects;
  // Sum over the assigned runs of all runners, without zero entries: starts
  // without an answer and runs that are being stopped count. Derived.
  organisations::Usage m_usage;
  JobMemory m_job_memory;  // Of m_jobs.
  Runners m_runners;
  // By pool; no entry is empty. Derived from m_runners.
  std::map<std::string, RunnerIndex> m_runners_by_pool;
  // By machine, the runner that started last first; of those that started at
  // once, the one with the least id. No entry is empty. Derived from m_runners.
  std::unordered_map<std::string, std::vector<const Runner*>>
      m_runners_by_machine;
  std::map<std::uint64_t, UpkeepWave> m_waves;
};

}  // namespace bronzebarrow::jobs

#endif  // BRONZEBARROW_JOBS_WORK_STATE_H_
