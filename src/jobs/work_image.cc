// Serialises the work state to a snapshot image and restores it.
#include <memory>
#include <utility>

#include "bronzebarrow/jobs/work_state.h"
#include "bronzebarrow/wire/codec.h"

namespace bronzebarrow::jobs {
namespace {

// The name of the queue is for earlier versions, and for a job without an
// address.
std::unique_ptr<wire::JobImageT> ToImage(const Job& job,
                                         std::string queue_name) {
  auto image = std::make_unique<wire::JobImageT>();
  image->queue = std::move(queue_name);
  image->host = job.m_queue.m_host;
  image->path_prefix = job.m_queue.m_path_prefix;
  image->organisation = job.m_organisation;
  image->key_digest = job.m_key_digest;
  image->spec = std::make_unique<wire::JobSpecT>(job.m_spec);
  image->state = static_cast<std::int8_t>(job.m_state);
  image->started = job.m_started;
  image->accepted_ms = job.m_accepted_ms;
  image->ended_ms = job.m_ended_ms;
  image->opened = job.m_opened;
  image->finished = job.m_finished;
  for (const auto& [number, occurrence] : job.m_occurrences) {
    auto occurrence_image = std::make_unique<wire::OccurrenceImageT>();
    occurrence_image->number = number;
    for (const StepState& step : occurrence.m_steps) {
      auto step_image = std::make_unique<wire::StepImageT>();
      step_image->failed_run = step.m_failed_run;
      for (const Task& task : step.m_tasks) {
        auto task_image = std::make_unique<wire::TaskImageT>();
        task_image->state = static_cast<std::int8_t>(task.m_state);
        task_image->failures = task.m_failures;
        task_image->run = task.m_run;
        task_image->runner = task.m_runner;
        task_image->checkpoint = task.m_checkpoint;
        task_image->start_checkpoint = task.m_start_checkpoint;
        for (const RunnerCrash& crash : task.m_crashes) {
          auto crash_image = std::make_unique<wire::RunnerCrashT>();
          crash_image->runner = crash.m_runner;
          crash_image->time_ms = crash.m_time_ms;
          crash_image->just_started = crash.m_just_started;
          crash_image->only_suspect = crash.m_only_suspect;
          task_image->crashes.push_back(std::move(crash_image));
        }
        step_image->tasks.push_back(std::move(task_image));
      }
      occurrence_image->steps.push_back(std::move(step_image));
    }
    image->occurrences.push_back(std::move(occurrence_image));
  }
  return image;
}

Occurrence FromImage(const wire::OccurrenceImageT& image) {
  Occurrence occurrence;
  for (const auto& step_image : image.steps) {
    StepState& step = occurrence.m_steps.emplace_back();
    step.m_failed_run = step_image->failed_run;
    for (const auto& task_image : step_image->tasks) {
      Task& task = step.m_tasks.emplace_back();
      task.m_state = static_cast<TaskState>(task_image->state);
      task.m_failures = task_image->failures;
      task.m_run = task_image->run;
      task.m_runner = task_image->runner;
      task.m_checkpoint = task_image->checkpoint;
      task.m_start_checkpoint = task_image->start_checkpoint;
      for (const auto& crash : task_image->crashes) {
        task.m_crashes.push_back({crash->runner, crash->time_ms,
                                  crash->just_started, crash->only_suspect});
      }
      step.m_waiting += task.m_state == TaskState::kWaiting ? 1 : 0;
      step.m_assigned += task.m_state == TaskState::kAssigned ? 1 : 0;
      step.m_done += task.m_state == TaskState::kDone ? 1 : 0;
    }
  }
  return occurrence;
}

}  // namespace

std::vector<std::uint8_t> WorkState::Image() const {
  wire::WorkImageT image;
  image.time_ms = m_time_ms;
  image.epoch = m_epoch;
  image.owner = m_owner;
  image.config = std::make_unique<wire::FleetConfigT>(queues().config());
  image.former_queues = m_queues.FormerQueues();
  // Active jobs come first, in the order of acceptance: Load numbers them in
  // the order of the image.
  for (const auto& [number, id] : m_active) {
    const Job& job = m_jobs.at(id);
    image.jobs.push_back(ToImage(job, QueueNameOf(job)));
  }
  for (const auto& [id, job] : m_jobs) {
    if (job.m_state != JobState::kActive) {
      image.jobs.push_back(ToImage(job, QueueNameOf(job)));
    }
  }
  for (const auto& [id, runner] : m_runners) {
    auto runner_image = std::make_unique<wire::RunnerImageT>();
    runner_image->record =
        std::make_unique<wire::RunnerRecordT>(runner.m_record);
    runner_image->seen = runner.m_last_recorded_end;
    image.runners.push_back(std::move(runner_image));
  }
  for (const auto& [number, wave] : m_waves) {
    auto wave_image = std::make_unique<wire::UpkeepImageT>();
    wave_image->wave = number;
    wave_image->complete_by_ms = wave.m_complete_by_ms;
    wave_image->cap = wave.m_cap;
    for (const auto& [name, state] : wave.m_machines) {
      auto machine = std::make_unique<wire::UpkeepMachineT>();
      machine->machine = name;
      machine->state = static_cast<std::int8_t>(state);
      const auto life = wave.m_lives_before.find(name);
      if (life != wave.m_lives_before.end()) {
        machine->runner = life->second.m_runner;
        machine->born_ms = life->second.m_born_ms;
      }
      wave_image->machines.push_back(std::move(machine));
    }
    image.waves.push_back(std::move(wave_image));
  }
  return wire::Encode<wire::WorkImage>(image);
}

bool WorkState::Load(std::span<const std::uint8_t> bytes) {
  const auto image = wire::Decode<wire::WorkImage>(bytes);
  if (!image) {
    return false;
  }
  m_time_ms = image->time_ms;
  m_epoch = image->epoch;
  m_owner = image->owner;
  m_queues.Load(image->config ? QueueTable(*image->config) : QueueTable(),
                image->former_queues);
  m_organisations = organisations::OrganisationTable(queues().config());
  m_jobs.clear();
  m_active.clear();
  m_acceptance_numbers.clear();
  m_startable.clear();
  m_periodic.clear();
  m_job_memory.Clear();
  m_suspects.clear();
  m_usage.clear();
  m_runners.clear();
  m_runners_by_pool.clear();
  m_runners_by_machine.clear();
  m_waves.clear();
  for (const auto& runner_image : image->runners) {
    Runner& runner = m_runners[runner_image->record->id];
    runner.m_record = *runner_image->record;
    runner.m_last_recorded_end = runner_image->seen;
  }
  for (const auto& [id, runner] : m_runners) {
    m_runners_by_pool[runner.m_record.pool][id] = &runner;
    AddToMachineIndex(runner);
  }
  for (const auto& job_image : image->jobs) {
    const JobId id = ParseJobId(job_image->spec->id).value_or(0);
    Job& job = m_jobs[id];
    job.m_id = id;
    job.m_queue = {job_image->host, job_image->path_prefix};
    if (job.m_queue.empty()) {
      SetQueueByName(job, job_image->queue);
    }
    job.m_organisation = job_image->organisation;
    job.m_key_digest = job_image->key_digest;
    job.SetSpec(*job_image->spec);
    job.m_state = static_cast<JobState>(job_image->state);
    job.m_started = job_image->started;
    job.m_accepted_ms = job_image->accepted_ms;
    job.m_ended_ms = job_image->ended_ms;
    job.m_opened = job_image->opened;
    job.m_finished = job_image->finished;
    for (const auto& occurrence : job_image->occurrences) {
      job.m_occurrences[occurrence->number] = FromImage(*occurrence);
    }
    UpdateJobMemory(job);
    if (job.m_state == JobState::kActive) {
      m_acceptance_numbers[id] = m_next_acceptance_number;
      m_active[m_next_acceptance_number++] = id;
      m_queues.AddJob(job.m_queue, job.m_started);
      UpdateJobIndexes(job);
    }
    for (const auto& [number, occurrence] : job.m_occurrences) {
      for (std::size_t step = 0; step < occurrence.m_steps.size(); ++step) {
        const auto& tasks = occurrence.m_steps[step].m_tasks;
        for (std::size_t index = 0; index < tasks.size(); ++index) {
          const TaskKey key = {id, number, static_cast<std::uint16_t>(step),
                               static_cast<std::uint16_t>(index)};
          UpdateSuspects(job, key);
          const auto runner = m_runners.find(tasks[index].m_runner);
          if (tasks[index].m_state == TaskState::kAssigned &&
              runner != m_runners.end()) {
            AddAssignment({key, tasks[index].m_run}, *job.m_spec.steps[step],
                          runner->second);
          }
        }
      }
    }
  }
  for (const auto& wave_image : image->waves) {
    UpkeepWave& wave = m_waves[wave_image->wave];
    wave.m_wave = wave_image->wave;
    wave.m_complete_by_ms = wave_image->complete_by_ms;
    wave.m_cap = wave_image->cap;
    for (const auto& machine : wave_image->machines) {
      wave.SetState(machine->machine, static_cast<UpkeepState>(machine->state));
      if (!machine->runner.empty()) {
        wave.m_lives_before[machine->machine] = {machine->runner,
                                                 machine->born_ms};
      }
    }
  }
  return true;
}

}  // namespace bronzebarrow::jobs
