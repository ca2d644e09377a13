// Choosing machines for upkeep, and seeing each through.
#include "bronzebarrow/node/upkeep_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "bronzebarrow/base/event_log.h"

namespace bronzebarrow::node {
namespace {

// A lasting task counts as at work when its runner listed it at full
// progress within this time: a hold answers every second at least.
constexpr Duration kFreshList = Millis(2500);
constexpr std::uint32_t kAtWork = 100;

}  // namespace

void UpkeepPlanner::Lead(std::uint64_t epoch, Instant now) {
  StopLeading();
  m_epoch = epoch;
  m_led_since = now;
}

void UpkeepPlanner::StopLeading() {
  m_epoch = 0;
  m_work.clear();
  m_closed.clear();
  m_orders.clear();
  m_commands.clear();
}

std::vector<fleet::MachineOrder> UpkeepPlanner::TakeOrders() {
  return std::exchange(m_orders, {});
}

std::vector<wire::WorkBodyUnion> UpkeepPlanner::TakeCommands() {
  return std::exchange(m_commands, {});
}

bool UpkeepPlanner::IsOpen(const std::string& runner) const {
  return !m_closed.contains(runner);
}

const jobs::Runner* UpkeepPlanner::RunnerOf(const std::string& machine) const {
  const jobs::Runner* found = nullptr;
  for (const auto& [id, runner] : m_state.runners()) {
    if (runner.m_record.machine == machine &&
        (found == nullptr || runner.m_record.born_ms > found->m_record.born_ms)) {
      found = &runner;
    }
  }
  return found;
}

bool UpkeepPlanner::IsDue(const std::string& machine) const {
  return std::any_of(m_state.waves().begin(), m_state.waves().end(),
                     [&](const auto& item) {
                       const auto found = item.second.m_machines.find(machine);
                       return found != item.second.m_machines.end() &&
                              found->second == jobs::UpkeepState::kDue;
                     });
}

bool UpkeepPlanner::IsAtWork(const jobs::TaskKey& key,
                             const jobs::Task& task) const {
  const runs::RunnerLink* const link =
      task.m_state == jobs::TaskState::kAssigned
          ? m_dispatcher.FindLink(task.m_runner)
          : nullptr;
  if (link == nullptr) {
    return false;
  }
  const auto order = link->m_orders.find(key);
  return order != link->m_orders.end() && !order->second.m_stop_wanted &&
         order->second.m_state == runs::OrderState::kStarted &&
         order->second.m_progress >= kAtWork &&
         link->m_last_answer < order->second.m_listed + kFreshList;
}

// The budget of the task's step: a task may go while fewer than `may_miss`
// others are away. A task that is away itself costs nothing more.
bool UpkeepPlanner::MayTakeAway(const jobs::TaskKey& key) const {
  const wire::StepSpecT* const step = m_state.FindStep(key);
  const jobs::Job* const job = m_state.FindJob(key.m_job);
  if (step == nullptr || step->may_miss == 0 ||
      job->m_state != jobs::JobState::kActive) {
    return true;
  }
  const auto& tasks =
      job->m_occurrences.at(key.m_occurrence).m_steps[key.m_step].m_tasks;
  std::uint32_t away = 0;
  for (std::size_t index = 0; index < tasks.size(); ++index) {
    if (index != key.m_index) {
      jobs::TaskKey other = key;
      other.m_index = static_cast<std::uint16_t>(index);
      away += IsAtWork(other, tasks[index]) ? 0 : 1;
    }
  }
  return away < step->may_miss;
}

std::uint32_t UpkeepPlanner::Blocked(const jobs::Runner& runner) const {
  return static_cast<std::uint32_t>(std::count_if(
      runner.m_assigned.begin(), runner.m_assigned.end(),
      [&](const auto& item) { return !MayTakeAway(item.first); }));
}

// Moves tasks that last to other runners, each as its budget allows.
// @return whether none is left.
bool UpkeepPlanner::StopLasting(const jobs::Runner& runner, Instant now) {
  bool none_left = true;
  for (const auto& [task, run] : runner.m_assigned) {
    const wire::StepSpecT* const step = m_state.FindStep(task);
    if (step == nullptr || !step->lasting) {
      continue;
    }
    none_left = false;
    if (MayTakeAway(task)) {
      m_dispatcher.StopRun(runner.m_record.id, task, now);
    }
  }
  return none_left;
}

void UpkeepPlanner::Record(std::uint64_t wave, const std::string& machine,
                           bool done, bool skipped) {
  wire::RecordUpkeepT record;
  record.wave = wave;
  record.machine = machine;
  record.done = done;
  record.skipped = skipped;
  m_commands.emplace_back().Set(std::move(record));
  EventLine(Event::kUpkeepStep)
      .Field("wave", wave)
      .Field("machine", machine)
      .Field("step", skipped ? "skipped" : done ? "done" : "ordered");
}

void UpkeepPlanner::Tick(Instant now) {
  if (m_epoch == 0 || now < m_led_since + m_options.m_handover) {
    return;
  }
  for (const auto& [number, wave] : m_state.waves()) {
    for (const auto& [machine, state] : wave.m_machines) {
      if (state == jobs::UpkeepState::kOrdered && !m_work.contains(machine)) {
        // Ordered by an earlier owner: the same order is carried out once.
        Work& work = m_work[machine];
        work.m_wave = number;
        work.m_phase = Phase::kOrdering;
        work.m_since = now;
        work.m_next_try = now;
      }
    }
    if (!wave.IsCompleted()) {
      Choose(wave, now);
    }
  }
  for (auto work = m_work.begin(); work != m_work.end();) {
    const auto wave = m_state.waves().find(work->second.m_wave);
    const auto state = wave == m_state.waves().end()
                           ? jobs::UpkeepState::kSkipped
                           : wave->second.m_machines.at(work->first);
    if (state == jobs::UpkeepState::kDone ||
        state == jobs::UpkeepState::kSkipped) {
      m_closed.erase(work->second.m_runner);
      work = m_work.erase(work);
      continue;
    }
    Advance(work->first, work->second, now);
    ++work;
  }
}

void UpkeepPlanner::Choose(const jobs::Upkeep& wave, Instant now) {
  std::uint32_t busy = 0;
  for (const auto& [machine, work] : m_work) {
    busy += work.m_wave == wave.m_wave ? 1 : 0;
  }
  while (busy < wave.m_cap) {
    const jobs::Runner* best = nullptr;
    std::tuple<std::uint32_t, std::int64_t> best_score;
    for (const auto& [machine, state] : wave.m_machines) {
      if (state != jobs::UpkeepState::kDue || m_work.contains(machine)) {
        continue;
      }
      const jobs::Runner* const runner = RunnerOf(machine);
      if (runner == nullptr || runner->m_record.draining) {
        continue;
      }
      const std::tuple score = {Blocked(*runner), runner->m_used.m_cpu_milli};
      if (best == nullptr || score < best_score) {
        best = runner;
        best_score = score;
      }
    }
    if (best == nullptr) {
      return;
    }
    Work& work = m_work[best->m_record.machine];
    work.m_wave = wave.m_wave;
    work.m_phase = Phase::kDraining;
    work.m_since = now;
    work.m_next_try = now;
    work.m_runner = best->m_record.id;
    work.m_born_ms = best->m_record.born_ms;
    m_closed.insert(work.m_runner);
    ++busy;
  }
}

void UpkeepPlanner::Advance(const std::string& machine, Work& work,
                            Instant now) {
  switch (work.m_phase) {
    case Phase::kDraining: {
      const jobs::Runner* const runner = m_state.FindRunner(work.m_runner);
      if (runner == nullptr || runner->m_record.born_ms != work.m_born_ms) {
        m_closed.erase(work.m_runner);
        work.m_runner.clear();
        work.m_phase = Phase::kOrdering;
        Record(work.m_wave, machine, false, false);
        break;
      }
      const bool has_short = std::any_of(
          runner->m_assigned.begin(), runner->m_assigned.end(),
          [&](const auto& item) {
            const auto* step = m_state.FindStep(item.first);
            return step != nullptr && !step->lasting;
          });
      const bool waited = now >= work.m_since + m_options.m_drain;
      if (!StopLasting(*runner, now) || (has_short && !waited)) {
        break;
      }
      work.m_phase = Phase::kOrdering;
      Record(work.m_wave, machine, false, false);
      break;
    }
    case Phase::kOrdering: {
      const auto& wave = m_state.waves().at(work.m_wave);
      if (wave.m_machines.at(machine) != jobs::UpkeepState::kOrdered ||
          work.m_order_out || now < work.m_next_try) {
        break;
      }
      fleet::MachineOrder order;
      order.m_action = fleet::MachineAction::kUpkeep;
      order.m_machine = machine;
      order.m_wave = work.m_wave;
      order.m_holder = m_options.m_holder;
      order.m_epoch = m_epoch;
      work.m_order_out = true;
      m_orders.push_back(std::move(order));
      break;
    }
    case Phase::kDown: {
      const jobs::Runner* const runner = RunnerOf(machine);
      const bool is_old = runner != nullptr &&
                          runner->m_record.id == work.m_runner &&
                          runner->m_record.born_ms == work.m_born_ms;
      if (runner != nullptr && !is_old &&
          now >= work.m_since + m_options.m_upkeep &&
          now >= work.m_next_try) {
        work.m_next_try = now + m_options.m_retry;
        Record(work.m_wave, machine, true, false);
      }
      break;
    }
  }
}

void UpkeepPlanner::OnAnswer(const fleet::MachineOrder& order,
                             fleet::MachineAnswer answer, Instant now) {
  const auto found = m_work.find(order.m_machine);
  if (order.m_epoch != m_epoch || found == m_work.end()) {
    return;
  }
  Work& work = found->second;
  work.m_order_out = false;
  work.m_next_try = now + m_options.m_retry;
  EventLine(Event::kUpkeepStep)
      .Field("wave", order.m_wave)
      .Field("machine", order.m_machine)
      .Field("answer", NameOf(answer));
  switch (answer) {
    case fleet::MachineAnswer::kOk: {
      work.m_phase = Phase::kDown;
      work.m_since = now;
      if (!work.m_runner.empty()) {
        wire::RemoveRunnerT remove;
        remove.runner = work.m_runner;
        remove.born_ms = work.m_born_ms;
        m_commands.emplace_back().Set(std::move(remove));
      }
      break;
    }
    case fleet::MachineAnswer::kInvalid:
    case fleet::MachineAnswer::kNotDue:
      Record(order.m_wave, order.m_machine, false, true);
      break;
    case fleet::MachineAnswer::kFenced:
    case fleet::MachineAnswer::kBusy:
    case fleet::MachineAnswer::kThrottled:
    case fleet::MachineAnswer::kNoAnswer:
      break;
  }
}

}  // namespace bronzebarrow::node
