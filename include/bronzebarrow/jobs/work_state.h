// The replicated state machine of work: configuration, jobs, runners, waves
// and the ownership of pools.
#ifndef BRONZEBARROW_JOBS_WORK_STATE_H_
#define BRONZEBARROW_JOBS_WORK_STATE_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "bronzebarrow/jobs/job.h"
#include "bronzebarrow/jobs/queue_table.h"
#include "bronzebarrow/jobs/runner.h"
#include "bronzebarrow/jobs/upkeep.h"
#include "wire_generated.h"

namespace bronzebarrow::jobs {

/** What applying one command gave. */
struct Applied {
  std::uint64_t m_token = 0;
  wire::WorkBody m_kind = wire::WorkBody::NONE;
  bool m_changed = false;  // The command had an effect.
  JobId m_job = 0;         // The job it touched, if one.
  std::string m_runner;    // The runner it touched, if one.
  std::string m_machine;   // The machine it touched, if one.
  /** Runs that became assigned. */
  std::vector<RunKey> m_assigned;
  /** Runs known to have ended through this command. */
  std::vector<RunKey> m_ended;
  /** Jobs that ended (completed, failed or cancelled) through it. */
  std::vector<JobId> m_jobs_ended;
};

/** Deterministic over the sequence of committed commands. */
class WorkState {
 public:
  using Jobs = std::map<JobId, Job>;
  using Runners = std::map<std::string, Runner>;

  WorkState() = default;
  WorkState(const WorkState&) = delete;
  WorkState& operator=(const WorkState&) = delete;

  /** @param index of the log entry that holds the command */
  Applied Apply(const wire::WorkCommandT& command, std::uint64_t index);

  std::vector<std::uint8_t> Image() const;
  /** @return whether the image was valid and is loaded. */
  bool Load(std::span<const std::uint8_t> image);

  const QueueTable& queues() const { return m_queues; }
  const Jobs& jobs() const { return m_jobs; }
  const Runners& runners() const { return m_runners; }
  const std::map<std::uint64_t, Upkeep>& waves() const { return m_waves; }
  const Job* FindJob(JobId id) const;
  const Runner* FindRunner(const std::string& id) const;
  /** @return the latest life of the machine; null when none is known. */
  const Runner* FindRunnerOf(const std::string& machine) const;
  const wire::StepSpecT* FindStep(const TaskKey& task) const;
  /** Jobs that are active, in the order of their acceptance. */
  const std::map<std::uint64_t, JobId>& active() const { return m_active; }
  /** @return active jobs of a queue without times of which no task started. */
  std::uint32_t WaitingCount(const std::string& queue) const;

  /** Epoch of the owner of all pools: the index of its log entry. */
  std::uint64_t epoch() const { return m_epoch; }
  const std::string& owner() const { return m_owner; }
  std::uint64_t time_ms() const { return m_time_ms; }

 private:
  using Handler = void (WorkState::*)(const wire::WorkBodyUnion&, Applied&);
  static const std::map<wire::WorkBody, Handler>& Handlers();

  void TakeOwnership(const wire::WorkBodyUnion& body, Applied& applied);
  void PutConfig(const wire::WorkBodyUnion& body, Applied& applied);
  void AcceptJob(const wire::WorkBodyUnion& body, Applied& applied);
  void CancelJob(const wire::WorkBodyUnion& body, Applied& applied);
  void AssignRuns(const wire::WorkBodyUnion& body, Applied& applied);
  void EndRuns(const wire::WorkBodyUnion& body, Applied& applied);
  void RegisterRunner(const wire::WorkBodyUnion& body, Applied& applied);
  void RemoveRunner(const wire::WorkBodyUnion& body, Applied& applied);
  void OpenOccurrences(const wire::WorkBodyUnion& body, Applied& applied);
  void StartUpkeep(const wire::WorkBodyUnion& body, Applied& applied);
  void RecordUpkeep(const wire::WorkBodyUnion& body, Applied& applied);
  void ForgetJobs(const wire::WorkBodyUnion& body, Applied& applied);
  void RecordMove(const wire::WorkBodyUnion& body, Applied& applied);

  void EndRun(const RunKey& run, const std::string& runner, wire::EndKind how,
              const std::string& checkpoint, Applied& applied);
  void LoseAll(Runner& runner, Applied& applied);
  void CountEnd(Job& job, const TaskKey& key, wire::EndKind how,
                Applied& applied);
  void EndGang(Job& job, const TaskKey& key, Applied& applied);
  void EndJob(Job& job, JobState state, Applied& applied);
  void Take(const RunKey& run, const wire::StepSpecT& step, Runner& runner);
  void Free(const TaskKey& key, const std::string& runner);
  void IndexMachine(const std::string& machine);
  void FinishOccurrence(Job& job, std::uint32_t number, Applied& applied);

  std::uint64_t m_time_ms = 0;  // Never decreases.
  std::uint64_t m_index = 0;    // Of the entry being applied.
  std::uint64_t m_epoch = 0;    // Never decreases.
  std::string m_owner;
  QueueTable m_queues;
  Jobs m_jobs;
  // By a number that rises with acceptance; the jobs in state kActive.
  std::map<std::uint64_t, JobId> m_active;
  std::unordered_map<JobId, std::uint64_t> m_active_numbers;
  std::uint64_t m_next_number = 1;
  Runners m_runners;
  // The latest life of each machine, by machine; follows from m_runners.
  std::unordered_map<std::string, std::string> m_runner_of_machine;
  std::map<std::uint64_t, Upkeep> m_waves;
};

}  // namespace bronzebarrow::jobs

#endif  // BRONZEBARROW_JOBS_WORK_STATE_H_
