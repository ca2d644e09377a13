// Applies committed commands to the work state.
#include "bronzebarrow/jobs/work_state.h"

#include <algorithm>
#include <utility>

#include "bronzebarrow/base/check.h"

namespace bronzebarrow::jobs {
namespace {

// With more waves than this, StartUpkeep drops a completed one, if any.
constexpr std::size_t kMaxKeptWaves = 64;

}  // namespace

const std::map<wire::WorkBody, WorkState::Handler>& WorkState::Handlers() {
  using wire::WorkBody;
  static const std::map<WorkBody, Handler> handlers = {
      {WorkBody::TakeOwnership, &WorkState::TakeOwnership},
      {WorkBody::PutConfig, &WorkState::PutConfig},
      {WorkBody::AcceptJob, &WorkState::AcceptJob},
      {WorkBody::CancelJob, &WorkState::CancelJob},
      {WorkBody::AssignRuns, &WorkState::AssignRuns},
      {WorkBody::EndRuns, &WorkState::EndRuns},
      {WorkBody::RegisterRunner, &WorkState::RegisterRunner},
      {WorkBody::RemoveRunner, &WorkState::RemoveRunner},
      {WorkBody::OpenOccurrences, &WorkState::OpenOccurrences},
      {WorkBody::StartUpkeep, &WorkState::StartUpkeep},
      {WorkBody::RecordUpkeep, &WorkState::RecordUpkeep},
      {WorkBody::ForgetJobs, &WorkState::ForgetJobs},
      {WorkBody::RecordMove, &WorkState::RecordMove},
      {WorkBody::RecordStarts, &WorkState::RecordStarts},
  };
  return handlers;
}

ApplyResult WorkState::Apply(const wire::WorkCommandT& command,
                             std::uint64_t index) {
  ApplyResult applied;
  applied.m_token = command.token;
  applied.m_kind = command.body.type;
  m_time_ms = std::max(m_time_ms, command.time_ms);
  m_entry_index = index;
  const auto handler = Handlers().find(command.body.type);
  if (handler != Handlers().end()) {
    (this->*handler->second)(command.body, applied);
  }
  return applied;
}

const Job* WorkState::FindJob(JobId id) const {
  const auto job = m_jobs.find(id);
  return job == m_jobs.end() ? nullptr : &job->second;
}

const Runner* WorkState::FindRunner(const std::string& id) const {
  const auto runner = m_runners.find(id);
  return runner == m_runners.end() ? nullptr : &runner->second;
}

const Runner* WorkState::FindLatestRunnerOfMachine(
    const std::string& machine) const {
  const auto found = m_runners_by_machine.find(machine);
  return found == m_runners_by_machine.end() ? nullptr : found->second.front();
}

void WorkState::AddToMachineIndex(const Runner& runner) {
  auto& runners = m_runners_by_machine[runner.m_record.machine];
  const auto starts_before = [](const Runner* a, const Runner* b) {
    return a->m_record.born_ms != b->m_record.born_ms
               ? a->m_record.born_ms > b->m_record.born_ms
               : a->m_record.id < b->m_record.id;
  };
  runners.insert(
      std::lower_bound(runners.begin(), runners.end(), &runner, starts_before),
      &runner);
}

void WorkState::RemoveFromMachineIndex(const Runner& runner) {
  const auto found = m_runners_by_machine.find(runner.m_record.machine);
  if (found == m_runners_by_machine.end()) {
    return;
  }
  std::erase(found->second, &runner);
  if (found->second.empty()) {
    m_runners_by_machine.erase(found);
  }
}

const wire::StepSpecT* WorkState::FindStep(const TaskKey& task) const {
  const Job* const job = FindJob(task.m_job);
  return job != nullptr && task.m_step < job->m_spec.steps.size()
             ? job->m_spec.steps[task.m_step].get()
             : nullptr;
}

std::string WorkState::QueueNameOf(const Job& job) const {
  const wire::QueueSpecT* const queue = FindQueue(job);
  if (queue != nullptr) {
    return queue->name;
  }
  return job.m_queue.empty() ? job.m_queue_name
                             : job.m_queue.m_host + job.m_queue.m_path_prefix;
}

const WorkState::RunnerIndex& WorkState::RunnersOfPool(
    const std::string& pool) const {
  static const RunnerIndex no_runners;
  const auto runners = m_runners_by_pool.find(pool);
  return runners == m_runners_by_pool.end() ? no_runners : runners->second;
}

void WorkState::RemoveFromPoolIndex(const Runner& runner) {
  const auto pool = m_runners_by_pool.find(runner.m_record.pool);
  if (pool == m_runners_by_pool.end()) {
    return;
  }
  pool->second.erase(runner.m_record.id);
  if (pool->second.empty()) {
    m_runners_by_pool.erase(pool);
  }
}

void WorkState::UpdateJobIndexes(const Job& job) {
  const auto number = m_acceptance_numbers.find(job.m_id);
  if (number == m_acceptance_numbers.end()) {
    return;
  }
  if (job.HasStartableTask()) {
    m_startable[number->second] = &job;
  } else {
    m_startable.erase(number->second);
  }
  if (job.m_opened < job.m_spec.times) {
    m_periodic[number->second] = &job;
  } else {
    m_periodic.erase(number->second);
  }
}

void WorkState::UpdateJobMemory(const Job& job) {
  m_job_memory.Set(job.m_id, StoredBytes(job.m_spec, job.m_occurrences.size()),
                   job.m_state == JobState::kActive);
}

void WorkState::MarkStarted(Job& job) {
  if (!job.m_started) {
    job.m_started = true;
    m_queues.MarkStarted(job.m_queue);
  }
}

std::string WorkState::FindIndexError() const {
  JobIndex startable;
  JobIndex periodic;
  JobQueues queues;
  for (const auto& [number, id] : m_active) {
    const Job& job = m_jobs.at(id);
    if (job.HasStartableTask()) {
      startable[number] = &job;
    }
    if (job.m_opened < job.m_spec.times) {
      periodic[number] = &job;
    }
    queues.AddJob(job.m_queue, job.m_started);
  }
  JobMemory job_memory;
  for (const auto& [id, job] : m_jobs) {
    job_memory.Set(id, StoredBytes(job.m_spec, job.m_occurrences.size()),
                   job.m_state == JobState::kActive);
  }
  if (job_memory.bytes() != m_job_memory.bytes()) {
    return "memory of jobs";
  }
  if (startable != m_startable) {
    return "startable jobs";
  }
  if (periodic != m_periodic) {
    return "periodic jobs";
  }
  if (!queues.CountsLike(m_queues)) {
    return "jobs by queue";
  }
  for (const TaskKey& key : m_suspects) {
    const Job* const job = FindJob(key.m_job);
    const Task* const task = job == nullptr ? nullptr : job->FindTask(key);
    if (task == nullptr || !IsSuspect(task->m_crashes)) {
      return "suspects";
    }
  }
  organisations::Usage usage;
  for (const auto& [id, runner] : m_runners) {
    for (const auto& [task, run] : runner.m_assigned) {
      const Job* const job = FindJob(task.m_job);
      if (job != nullptr && !job->m_organisation.empty()) {
        usage[job->m_organisation].Add(ResourcesOf(*FindStep(task)), 1);
      }
    }
  }
  std::erase_if(usage,
                [](const auto& item) { return item.second == Resources(); });
  if (usage != m_usage) {
    return "usage by organisation";
  }
  std::map<std::string, RunnerIndex> by_pool;
  for (const auto& [id, runner] : m_runners) {
    by_pool[runner.m_record.pool][id] = &runner;
  }
  if (by_pool != m_runners_by_pool) {
    return "runners by pool";
  }
  std::map<std::string, const Runner*> latest;
  std::size_t indexed = 0;
  for (const auto& [id, runner] : m_runners) {
    const Runner*& last = latest[runner.m_record.machine];
    if (last == nullptr || runner.m_record.born_ms > last->m_record.born_ms) {
      last = &runner;
    }
  }
  for (const auto& [machine, runners] : m_runners_by_machine) {
    indexed += runners.size();
  }
  const bool finds_latest =
      std::all_of(latest.begin(), latest.end(), [&](const auto& item) {
        return FindLatestRunnerOfMachine(item.first) == item.second;
      });
  return finds_latest && indexed == m_runners.size() &&
                 latest.size() == m_runners_by_machine.size()
             ? ""
             : "runners by machine";
}

void WorkState::TakeOwnership(const wire::WorkBodyUnion& body,
                              ApplyResult& applied) {
  BRONZEBARROW_INVARIANT(m_entry_index > m_epoch);
  m_epoch = m_entry_index;
  m_owner = body.AsTakeOwnership()->member;
  applied.m_changed = true;
}

void WorkState::PutConfig(const wire::WorkBodyUnion& body,
                          ApplyResult& applied) {
  const auto& config = body.AsPutConfig()->config;
  if (!config || config->version <= queues().version()) {
    return;
  }
  m_queues.SetConfig(QueueTable(*config));
  ResolveQueueNames();
  const organisations::OrganisationTable former = std::exchange(
      m_organisations, organisations::OrganisationTable(queues().config()));
  UpdateHolders(former);
  EndJobsWithoutAttempts(applied);
  applied.m_changed = true;
}

void WorkState::ResolveQueueNames() {
  for (const auto& [number, id] : m_active) {
    Job& job = m_jobs.at(id);
    if (job.m_queue.empty()) {
      m_queues.RemoveJob(job.m_queue, job.m_started);
      SetQueueByName(job, job.m_queue_name);
      m_queues.AddJob(job.m_queue, job.m_started);
    }
  }
}

void WorkState::SetQueueByName(Job& job, const std::string& name) const {
  const wire::QueueSpecT* const queue = queues().FindByName(name);
  job.m_queue = queue == nullptr ? QueueAddress() : AddressOf(*queue);
  job.m_queue_name = queue == nullptr ? name : "";
}

// Without this, the jobs of a renamed organisation would be read as missing by
// its own keys, or be shown to another one that has its name now.
void WorkState::UpdateHolders(const organisations::OrganisationTable& former) {
  std::map<organisations::Holder, organisations::Holder> holders;
  for (auto& [id, job] : m_jobs) {
    if (job.m_organisation.empty()) {
      continue;
    }
    const organisations::Holder before = {job.m_organisation, job.m_key_digest};
    auto after = holders.find(before);
    if (after == holders.end()) {
      after =
          holders.emplace(before, m_organisations.HolderSince(before, former))
              .first;
    }
    job.m_organisation = after->second.m_organisation;
    job.m_key_digest = after->second.m_key;
  }
  m_usage.clear();
  for (const auto& [id, runner] : m_runners) {
    for (const auto& [task, run] : runner.m_assigned) {
      if (const wire::StepSpecT* const step = FindStep(task)) {
        AddUsage(task, *step, 1);
      }
    }
  }
}

void WorkState::AcceptJob(const wire::WorkBodyUnion& body,
                          ApplyResult& applied) {
  const wire::AcceptJobT& accept = *body.AsAcceptJob();
  const auto id = ParseJobId(accept.job->id);
  applied.m_job = id.value_or(0);
  const QueueAddress queue = {accept.host, accept.path_prefix};
  // A configuration that was applied since the call came may lack the queue or
  // the key, or have other names for them.
  applied.m_has_no_queue = !queue.empty() && queues().Find(queue) == nullptr;
  const organisations::Organisation* const organisation =
      m_organisations.FindByKey(accept.key_digest);
  const bool has_no_key = !accept.key_digest.empty() &&
                          organisation == nullptr &&
                          m_organisations.RequiresKeys();
  if (!id || m_jobs.contains(*id) || applied.m_has_no_queue || has_no_key) {
    return;
  }
  Job& job = m_jobs[*id];
  job.m_id = *id;
  if (queue.empty()) {
    SetQueueByName(job, accept.queue);
  } else {
    job.m_queue = queue;
  }
  job.m_organisation =
      organisation == nullptr ? accept.organisation : organisation->m_name;
  job.m_key_digest = accept.key_digest;
  job.SetSpec(*accept.job);
  job.m_accepted_ms = m_time_ms;
  if (job.m_spec.times == 0) {
    job.OpenOccurrence();
  }
  m_acceptance_numbers[*id] = m_next_acceptance_number;
  m_active[m_next_acceptance_number++] = *id;
  m_queues.AddJob(job.m_queue, job.m_started);
  UpdateJobIndexes(job);
  UpdateJobMemory(job);
  applied.m_changed = true;
}

void WorkState::CancelJob(const wire::WorkBodyUnion& body,
                          ApplyResult& applied) {
  applied.m_job = body.AsCancelJob()->job;
  const auto job = m_jobs.find(applied.m_job);
  if (job != m_jobs.end() && job->second.m_state == JobState::kActive) {
    EndJob(job->second, JobState::kCancelled, applied);
    applied.m_changed = true;
  }
}

void WorkState::AssignRuns(const wire::WorkBodyUnion& body,
                           ApplyResult& applied) {
  const wire::AssignRunsT& assign = *body.AsAssignRuns();
  const auto runner = m_runners.find(assign.runner);
  applied.m_runner = assign.runner;
  if (runner == m_runners.end() ||
      runner->second.m_record.born_ms != assign.born_ms) {
    return;
  }
  for (const wire::TaskRef& ref : assign.tasks) {
    const RunKey run = FromWire(ref);
    const auto found = m_jobs.find(run.m_task.m_job);
    if (found == m_jobs.end() || found->second.m_state != JobState::kActive) {
      continue;
    }
    Job& job = found->second;
    Task* const task = job.FindTask(run.m_task);
    if (task == nullptr || task->m_state != TaskState::kWaiting ||
        run.m_run <= task->m_run) {
      continue;
    }
    StepState& step = job.m_occurrences.at(run.m_task.m_occurrence)
                          .m_steps[run.m_task.m_step];
    task->m_start_checkpoint = StartCheckpoint(job, run);
    task->m_state = TaskState::kAssigned;
    task->m_run = run.m_run;
    task->m_runner = assign.runner;
    --step.m_waiting;
    ++step.m_assigned;
    if (!assign.records_starts) {
      MarkStarted(job);
    }
    if (step.m_waiting == 0) {
      UpdateJobIndexes(job);
    }
    AddAssignment(run, *job.m_spec.steps[run.m_task.m_step], runner->second);
    applied.m_assigned.push_back(run);
  }
  applied.m_changed = !applied.m_assigned.empty();
}

std::string WorkState::StartCheckpoint(const Job& job, const RunKey& run) {
  const StepState& step =
      job.m_occurrences.at(run.m_task.m_occurrence).m_steps[run.m_task.m_step];
  if (job.m_spec.steps[run.m_task.m_step]->gang) {
    for (const Task& member : step.m_tasks) {
      if (member.m_run == run.m_run) {
        return member.m_start_checkpoint;  // Assigned before this one.
      }
    }
  }
  return step.m_tasks[run.m_task.m_index].m_checkpoint;
}

void WorkState::EndRuns(const wire::WorkBodyUnion& body, ApplyResult& applied) {
  const wire::EndRunsT& ends = *body.AsEndRuns();
  applied.m_runner = ends.runner;
  const auto runner = m_runners.find(ends.runner);
  if (runner == m_runners.end() ||
      runner->second.m_record.born_ms != ends.born_ms) {
    return;
  }
  applied.m_changed = true;
  runner->second.m_last_recorded_end =
      std::max(runner->second.m_last_recorded_end, ends.seen);
  for (const auto& end : ends.ends) {
    if (end->task) {
      EndRun(FromWire(*end->task), ends.runner, end->how, end->checkpoint,
             applied);
    }
  }
}

void WorkState::EndRun(const RunKey& run, const std::string& runner,
                       wire::EndKind how, const std::string& checkpoint,
                       ApplyResult& applied) {
  const auto assignee = m_runners.find(runner);
  if (assignee == m_runners.end()) {
    return;
  }
  const auto assigned = assignee->second.m_assigned.find(run.m_task);
  if (assigned == assignee->second.m_assigned.end() ||
      assigned->second != run.m_run) {
    return;
  }
  RemoveAssignment(run.m_task, runner);
  applied.m_ended.push_back(run);
  const auto found = m_jobs.find(run.m_task.m_job);
  if (found == m_jobs.end()) {
    return;
  }
  Job& job = found->second;
  Task* const task = job.FindTask(run.m_task);
  if (task == nullptr || task->m_state != TaskState::kAssigned ||
      task->m_run != run.m_run) {
    return;
  }
  StepState& step =
      job.m_occurrences.at(run.m_task.m_occurrence).m_steps[run.m_task.m_step];
  task->m_state = TaskState::kWaiting;
  --step.m_assigned;
  ++step.m_waiting;
  if (!checkpoint.empty()) {
    SetCheckpoint(job, run.m_task, how, checkpoint);
  }
  if (job.m_state == JobState::kActive) {
    if (how != wire::EndKind::Lost) {
      MarkStarted(job);  // A runner lists the ends of what it started only.
    }
    ApplyRunEnd(job, run, how, applied);
    UpdateJobIndexes(job);
  }
}

// The checkpoint of any member of a gang is valid for all of them. That of a
// lost run is the last one that its owner knew; one that was reported with the
// end of another member is newer.
void WorkState::SetCheckpoint(Job& job, const TaskKey& key, wire::EndKind how,
                              const std::string& checkpoint) {
  if (!job.m_spec.steps[key.m_step]->gang) {
    job.FindTask(key)->m_checkpoint = checkpoint;
    return;
  }
  StepState& step = job.m_occurrences.at(key.m_occurrence).m_steps[key.m_step];
  const Task& ended = step.m_tasks[key.m_index];
  if (how == wire::EndKind::Lost &&
      ended.m_checkpoint != ended.m_start_checkpoint) {
    return;
  }
  for (Task& member : step.m_tasks) {
    member.m_checkpoint = checkpoint;
  }
}

void WorkState::ApplyRunEnd(Job& job, const RunKey& run_key, wire::EndKind how,
                            ApplyResult& applied) {
  const TaskKey& key = run_key.m_task;
  const std::uint32_t run = run_key.m_run;
  const wire::StepSpecT& spec = *job.m_spec.steps[key.m_step];
  StepState& step = job.m_occurrences.at(key.m_occurrence).m_steps[key.m_step];
  Task& task = step.m_tasks[key.m_index];
  if (spec.lasting) {
    return;
  }
  if (how == wire::EndKind::Done) {
    if (spec.gang) {
      CompleteGang(job, key, applied);
    } else {
      task.m_state = TaskState::kDone;
      --step.m_waiting;
      ++step.m_done;
      UpdateSuspects(job, key);
    }
    FinishOccurrenceIfDone(job, key.m_occurrence, applied);
    return;
  }
  if (how != wire::EndKind::Failed) {
    return;
  }
  if (!spec.gang) {
    ++task.m_failures;
  } else if (run > step.m_failed_run) {
    step.m_failed_run = run;
    for (Task& member : step.m_tasks) {
      ++member.m_failures;
    }
  }
  if (HasUsedAllAttempts(job, task)) {
    EndJob(job, JobState::kFailed, applied);
  }
}

bool WorkState::HasUsedAllAttempts(const Job& job, const Task& task) const {
  const wire::QueueSpecT* const queue = FindQueue(job);
  return queue != nullptr && task.m_failures >= std::max(queue->attempts, 1U);
}

void WorkState::EndJobsWithoutAttempts(ApplyResult& applied) {
  std::vector<JobId> failed;
  for (const auto& entry : m_startable) {
    const Job& job = *entry.second;
    if (job.HasWaitingTask(
            [&](const Task& task) { return HasUsedAllAttempts(job, task); })) {
      failed.push_back(job.m_id);
    }
  }
  for (const JobId id : failed) {
    EndJob(m_jobs.at(id), JobState::kFailed, applied);
  }
}

void WorkState::CompleteGang(Job& job, const TaskKey& key,
                             ApplyResult& applied) {
  StepState& step = job.m_occurrences.at(key.m_occurrence).m_steps[key.m_step];
  for (std::size_t index = 0; index < step.m_tasks.size(); ++index) {
    Task& member = step.m_tasks[index];
    if (member.m_state == TaskState::kAssigned) {
      const TaskKey other = {key.m_job, key.m_occurrence, key.m_step,
                             static_cast<std::uint16_t>(index)};
      RemoveAssignment(other, member.m_runner);
      applied.m_ended.push_back({other, member.m_run});
    }
    member.m_state = TaskState::kDone;
  }
  step.m_waiting = 0;
  step.m_assigned = 0;
  step.m_done = static_cast<std::uint32_t>(step.m_tasks.size());
}

void WorkState::FinishOccurrenceIfDone(Job& job, std::uint32_t number,
                                       ApplyResult& applied) {
  const auto occurrence = job.m_occurrences.find(number);
  if (!occurrence->second.IsDone()) {
    return;
  }
  ++job.m_finished;
  if (job.m_finished == job.OccurrenceCount()) {
    EndJob(job, JobState::kCompleted, applied);
  } else {
    job.m_occurrences.erase(occurrence);
    UpdateJobMemory(job);
  }
}

void WorkState::EndJob(Job& job, JobState state, ApplyResult& applied) {
  job.m_state = state;
  job.m_ended_ms = m_time_ms;
  UpdateJobMemory(job);
  const auto number = m_acceptance_numbers.find(job.m_id);
  if (number != m_acceptance_numbers.end()) {
    m_active.erase(number->second);
    m_startable.erase(number->second);
    m_periodic.erase(number->second);
    m_queues.RemoveJob(job.m_queue, job.m_started);
    m_acceptance_numbers.erase(number);
  }
  std::erase_if(m_suspects, [&](const TaskKey& suspect) {
    return suspect.m_job == job.m_id;
  });
  applied.m_jobs_ended.push_back(job.m_id);
}

void WorkState::AddAssignment(const RunKey& run, const wire::StepSpecT& step,
                              Runner& runner) {
  runner.m_assigned[run.m_task] = run.m_run;
  AddUsage(run.m_task, step, 1);
  runner.m_used.Add(ResourcesOf(step), 1);
  runner.m_budgeted += step.may_miss > 0 ? 1 : 0;
  if (step.lasting) {
    ++runner.m_long_running;
    runner.m_long_running_used.Add(ResourcesOf(step), 1);
  }
}

void WorkState::RemoveAssignment(const TaskKey& key,
                                 const std::string& runner) {
  const auto assignee = m_runners.find(runner);
  if (assignee == m_runners.end() ||
      assignee->second.m_assigned.erase(key) == 0) {
    return;
  }
  if (const wire::StepSpecT* const step = FindStep(key)) {
    AddUsage(key, *step, -1);
    assignee->second.m_used.Add(ResourcesOf(*step), -1);
    assignee->second.m_budgeted -= step->may_miss > 0 ? 1 : 0;
    if (step->lasting) {
      --assignee->second.m_long_running;
      assignee->second.m_long_running_used.Add(ResourcesOf(*step), -1);
    }
  }
}

void WorkState::AddUsage(const TaskKey& task, const wire::StepSpecT& step,
                         std::int64_t times) {
  const Job* const job = FindJob(task.m_job);
  if (job == nullptr || job->m_organisation.empty()) {
    return;
  }
  const auto used = m_usage.emplace(job->m_organisation, Resources()).first;
  used->second.Add(ResourcesOf(step), times);
  if (used->second == Resources()) {
    m_usage.erase(used);
  }
}

void WorkState::OpenOccurrences(const wire::WorkBodyUnion& body,
                                ApplyResult& applied) {
  const wire::OpenOccurrencesT& open = *body.AsOpenOccurrences();
  applied.m_job = open.job;
  const auto job = m_jobs.find(open.job);
  if (job == m_jobs.end() || job->second.m_state != JobState::kActive) {
    return;
  }
  const std::uint32_t last = std::min(open.up_to, job->second.m_spec.times);
  while (job->second.m_opened < last) {
    job->second.OpenOccurrence();
    applied.m_changed = true;
  }
  UpdateJobIndexes(job->second);
  UpdateJobMemory(job->second);
}

void WorkState::StartUpkeep(const wire::WorkBodyUnion& body,
                            ApplyResult& applied) {
  const wire::StartUpkeepT& start = *body.AsStartUpkeep();
  if (m_waves.contains(start.wave)) {
    return;
  }
  UpkeepWave& wave = m_waves[start.wave];
  wave.m_wave = start.wave;
  wave.m_complete_by_ms = start.complete_by_ms;
  wave.m_cap = std::max(start.cap, 1U);
  for (const std::string& machine : start.machines) {
    wave.SetState(machine, UpkeepState::kDue);
  }
  if (m_waves.size() > kMaxKeptWaves) {
    const auto done = std::find_if(
        m_waves.begin(), m_waves.end(),
        [](const auto& item) { return item.second.IsCompleted(); });
    if (done != m_waves.end()) {
      m_waves.erase(done);
    }
  }
  applied.m_changed = true;
}

void WorkState::RecordUpkeep(const wire::WorkBodyUnion& body,
                             ApplyResult& applied) {
  const wire::RecordUpkeepT& record = *body.AsRecordUpkeep();
  applied.m_machine = record.machine;
  const auto wave = m_waves.find(record.wave);
  if (wave == m_waves.end()) {
    return;
  }
  const auto machine = wave->second.m_machines.find(record.machine);
  if (machine == wave->second.m_machines.end() ||
      machine->second == UpkeepState::kDone) {
    return;
  }
  if (machine->second == UpkeepState::kDue) {
    if (const Runner* const runner =
            FindLatestRunnerOfMachine(record.machine)) {
      wave->second.m_lives_before[record.machine] = {runner->m_record.id,
                                                     runner->m_record.born_ms};
    }
  }
  wave->second.SetState(record.machine, record.skipped ? UpkeepState::kSkipped
                                        : record.done
                                            ? UpkeepState::kDone
                                            : UpkeepState::kRequested);
  applied.m_changed = true;
}

// Changes no state. The result names the machine, so that each member can
// record the time of the move request: a later owner waits before its own
// request.
void WorkState::RecordMove(const wire::WorkBodyUnion& body,
                           ApplyResult& applied) {
  applied.m_machine = body.AsRecordMove()->machine;
  applied.m_changed = true;
}

void WorkState::RecordStarts(const wire::WorkBodyUnion& body,
                             ApplyResult& applied) {
  applied.m_jobs_started = body.AsRecordStarts()->jobs;
  for (const JobId id : applied.m_jobs_started) {
    const auto job = m_jobs.find(id);
    if (job != m_jobs.end() && job->second.m_state == JobState::kActive) {
      MarkStarted(job->second);
      applied.m_changed = true;
    }
  }
}

void WorkState::ForgetJobs(const wire::WorkBodyUnion& body,
                           ApplyResult& applied) {
  for (const JobId id : body.AsForgetJobs()->jobs) {
    const auto job = m_jobs.find(id);
    if (job != m_jobs.end() && job->second.m_state != JobState::kActive) {
      m_jobs.erase(job);
      m_job_memory.Remove(id);
      applied.m_changed = true;
    }
  }
}

}  // namespace bronzebarrow::jobs
