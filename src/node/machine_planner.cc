// Selection of machines for upkeep and moves, and the phases of each operation
// from draining the machine until it is back in service.
#include "bronzebarrow/node/machine_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "bronzebarrow/base/event_log.h"

namespace bronzebarrow::node {
namespace {

// A long-running task is available when its runner reported it at full progress
// within this time. Runners report at least once a second: a hold call (lease
// renewal, long poll) returns after at most that time.
constexpr Duration kFreshList = Millis(2500);
constexpr std::uint32_t kAtWork = 100;
constexpr Duration kLogInterval = Millis(500);
// Moves that may begin at once, and moves that may follow per second, as shares
// of the platform's request rate. Their sum keeps any second within the rate.
constexpr double kBurstShare = 0.25;
constexpr double kSteadyShare = 0.75;
// A machine without a runner, or with the runner that was removed, counts as
// returned this long after the duration of an upkeep.
constexpr Duration kReturnMargin = Millis(500);

}  // namespace

void MachinePlanner::Lead(std::uint64_t epoch, Instant now) {
  StopLeading();
  m_epoch = epoch;
  m_moves_left = 0;
  m_next_list = now;
  m_next_balance = m_next_list;
}

void MachinePlanner::StopLeading() {
  m_epoch = 0;
  m_work.clear();
  m_listed.clear();
  m_not_before.clear();
  m_last_short.clear();
  m_last_turn.clear();
  m_orders.clear();
  m_commands.clear();
}

std::vector<fleet::MachineOrder> MachinePlanner::TakeOrders() {
  return std::exchange(m_orders, {});
}

std::vector<wire::WorkBodyUnion> MachinePlanner::TakeCommands() {
  return std::exchange(m_commands, {});
}

// Until the platform accepts the request, no incarnation of the machine's
// runner gets new work. Afterwards any but the removed incarnation does.
bool MachinePlanner::IsOpen(const std::string& id) const {
  const jobs::Runner* const runner = m_state.FindRunner(id);
  if (runner == nullptr) {
    return false;
  }
  const auto work = m_work.find(runner->m_record.machine);
  if (work == m_work.end()) {
    return true;
  }
  return work->second.m_phase == Phase::kDown && !IsLife(work->second, *runner);
}

bool MachinePlanner::IsLife(const Work& work, const jobs::Runner& runner) {
  return runner.m_record.id == work.m_runner &&
         runner.m_record.born_ms == work.m_born_ms;
}

bool MachinePlanner::IsDue(const std::string& machine) const {
  return std::any_of(m_state.waves().begin(), m_state.waves().end(),
                     [&](const auto& item) {
                       const auto found = item.second.m_machines.find(machine);
                       return found != item.second.m_machines.end() &&
                              found->second == jobs::UpkeepState::kDue;
                     });
}

bool MachinePlanner::IsAtWork(const jobs::TaskKey& key,
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
         m_now < order->second.m_listed + kFreshList;
}

// Checks the availability budget of the task's step: the task may be evicted
// while fewer than `may_miss` other tasks of the step are unavailable. Evicting
// a task that is itself unavailable does not use up the budget.
bool MachinePlanner::MayTakeAway(const jobs::TaskKey& key) const {
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

std::uint32_t MachinePlanner::Blocked(const jobs::Runner& runner) const {
  return static_cast<std::uint32_t>(std::count_if(
      runner.m_assigned.begin(), runner.m_assigned.end(),
      [&](const auto& item) { return !MayTakeAway(item.first); }));
}

// Stops long-running tasks as their budgets permit, so that they are placed on
// other runners. @return whether none is left.
bool MachinePlanner::StopLasting(const jobs::Runner& runner, Instant now) {
  if (runner.m_lasting == 0) {
    return true;
  }
  for (const auto& [task, run] : runner.m_assigned) {
    const wire::StepSpecT* const step = m_state.FindStep(task);
    if (step == nullptr || !step->lasting) {
      continue;
    }
    if (MayTakeAway(task)) {
      m_dispatcher.StopRun(runner.m_record.id, task, now);
    }
  }
  return false;
}

void MachinePlanner::Record(std::uint64_t wave, const std::string& machine,
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
      .Field("step", skipped ? "skipped"
                     : done  ? "done"
                             : "ordered");
}

void MachinePlanner::OnApplied(const jobs::Applied& applied, Instant now) {
  if (applied.m_machine.empty()) {
    return;
  }
  m_last_orders[applied.m_machine] = {m_state.epoch(), now};
  const auto work = m_work.find(applied.m_machine);
  if (work != m_work.end() && work->second.m_phase == Phase::kRecording &&
      m_epoch == m_state.epoch()) {
    work->second.m_phase = Phase::kOrdering;
  }
}

// The requests of two owners for one machine must be further apart than the
// platform's lease on the machine.
bool MachinePlanner::MayOrder(const std::string& machine) const {
  const auto last = m_last_orders.find(machine);
  return last == m_last_orders.end() || last->second.m_epoch == m_epoch ||
         m_now >= last->second.m_heard + m_options.m_handover;
}

bool MachinePlanner::TakeListWish(Instant now) {
  if (m_epoch == 0 || now < m_next_list) {
    return false;
  }
  m_next_list = now + m_options.m_list_interval;
  return true;
}

void MachinePlanner::OnList(std::vector<fleet::Machine> machines, Instant now) {
  m_listed.clear();
  std::map<std::pair<std::string, fleet::MachineState>, int> counts;
  for (fleet::Machine& machine : machines) {
    ++counts[{machine.m_pool, machine.m_state}];
    if (machine.m_state != fleet::MachineState::kUp) {
      m_not_before[machine.m_name] = now + m_options.m_move;
    }
    m_listed[machine.m_name] = std::move(machine);
  }
  for (const auto& [key, count] : counts) {
    EventLine(Event::kSummary)
        .Field("pool", key.first)
        .Field("listed", count)
        .Field("state", NameOf(key.second));
  }
  m_next_balance = std::min(m_next_balance, now);
}

void MachinePlanner::Tick(Moment moment, PlanProgress plans) {
  const Instant now = moment.m_now;
  m_now = now;
  m_plans = plans;
  if (m_epoch == 0) {
    return;
  }
  for (const auto& [number, wave] : m_state.waves()) {
    for (const auto& [machine, state] : wave.m_machines) {
      if (state == jobs::UpkeepState::kOrdered && !m_work.contains(machine)) {
        // Recorded by an earlier owner, which may or may not have sent the
        // request. The platform executes it once, so the machine is drained
        // and the request sent again.
        Begin(machine, m_state.FindRunnerOf(machine), now).m_wave = number;
      }
    }
    if (!wave.IsCompleted()) {
      Choose(wave, now);
    }
  }
  if (now >= m_next_balance) {
    m_next_balance = now + m_options.m_balance_interval;
    BalancePools(moment);
  }
  for (auto work = m_work.begin(); work != m_work.end();) {
    if (Advance(work->first, work->second, now)) {
      work = m_work.erase(work);
    } else {
      ++work;
    }
  }
}

MachinePlanner::Work& MachinePlanner::Begin(const std::string& machine,
                                            const jobs::Runner* runner,
                                            Instant now) {
  Work& work = m_work[machine];
  work = Work();
  work.m_since = now;
  work.m_next_try = now;
  work.m_first_plan = m_plans.m_next;
  if (runner != nullptr) {
    work.m_runner = runner->m_record.id;
    work.m_born_ms = runner->m_record.born_ms;
  }
  return work;
}

void MachinePlanner::Choose(const jobs::Upkeep& wave, Instant now) {
  std::uint32_t busy = 0;
  for (const auto& [machine, work] : m_work) {
    busy += work.m_action == fleet::MachineAction::kUpkeep &&
                    work.m_wave == wave.m_wave
                ? 1
                : 0;
  }
  while (busy < wave.m_cap) {
    // Prefers machines without a runner, then those with the fewest tasks that
    // their budgets protect, then those with the least CPU in use.
    std::string best;
    const jobs::Runner* best_runner = nullptr;
    std::tuple<std::uint32_t, std::int64_t> best_score;
    for (const auto& [machine, state] : wave.m_machines) {
      if (state != jobs::UpkeepState::kDue || m_work.contains(machine)) {
        continue;
      }
      const jobs::Runner* const runner = m_state.FindRunnerOf(machine);
      if (runner != nullptr && runner->m_record.draining) {
        continue;
      }
      std::tuple<std::uint32_t, std::int64_t> score;
      if (runner != nullptr) {
        score = {Blocked(*runner), runner->m_used.m_cpu_milli};
      }
      if (best.empty() || score < best_score) {
        best = machine;
        best_runner = runner;
        best_score = score;
      }
    }
    if (best.empty()) {
      return;
    }
    Work& work = Begin(best, best_runner, now);
    work.m_wave = wave.m_wave;
    ++busy;
  }
}

bool MachinePlanner::Advance(const std::string& machine, Work& work,
                             Instant now) {
  const bool is_upkeep = work.m_action == fleet::MachineAction::kUpkeep;
  if (is_upkeep) {
    const auto wave = m_state.waves().find(work.m_wave);
    const auto state = wave == m_state.waves().end()
                           ? jobs::UpkeepState::kSkipped
                           : wave->second.m_machines.at(machine);
    if (state == jobs::UpkeepState::kDone ||
        state == jobs::UpkeepState::kSkipped) {
      return true;
    }
  }
  switch (work.m_phase) {
    case Phase::kDraining:
      if (MayOrder(machine) && Drain(machine, work, now)) {
        work.m_phase = Phase::kRecording;
        work.m_next_try = now;
      } else if (!is_upkeep &&
                 now >= work.m_since + m_options.m_max_move_drain) {
        return true;
      }
      return false;
    case Phase::kRecording:
      if (now >= work.m_next_try && MayOrder(machine)) {
        work.m_next_try = now + m_options.m_retry * 2;
        if (is_upkeep) {
          Record(work.m_wave, machine, false, false);
        } else {
          wire::RecordMoveT record;
          record.machine = machine;
          record.pool = work.m_pool;
          m_commands.emplace_back().Set(std::move(record));
        }
      }
      return false;
    case Phase::kOrdering:
      Order(machine, work, now);
      return false;
    case Phase::kDown:
      if (!IsBack(machine, work, now)) {
        return false;
      }
      if (!is_upkeep) {
        return true;
      }
      if (now >= work.m_next_try) {
        work.m_next_try = now + m_options.m_retry;
        Record(work.m_wave, machine, true, false);
      }
      return false;
  }
  return false;
}

// @return whether the machine is drained as far as its request requires.
bool MachinePlanner::Drain(const std::string& machine, Work& work,
                           Instant now) {
  if (m_plans.m_oldest_open < work.m_first_plan) {
    return false;
  }
  if (work.m_runner.empty()) {
    return true;
  }
  const jobs::Runner* const runner = m_state.FindRunner(work.m_runner);
  if (runner == nullptr || runner->m_record.born_ms != work.m_born_ms) {
    work.m_runner.clear();
    work.m_born_ms = 0;
    const jobs::Runner* const next = m_state.FindRunnerOf(machine);
    if (next == nullptr) {
      return true;
    }
    work.m_runner = next->m_record.id;  // Drains the new incarnation.
    work.m_born_ms = next->m_record.born_ms;
    work.m_first_plan = m_plans.m_next;
    return false;
  }
  if (work.m_action == fleet::MachineAction::kMove) {
    return runner->m_assigned.empty();
  }
  const bool waited = now >= work.m_since + m_options.m_drain;
  return StopLasting(*runner, now) && (!runner->HasShort() || waited);
}

void MachinePlanner::Order(const std::string& machine, Work& work,
                           Instant now) {
  if (work.m_order_out || (work.m_ordered && now < work.m_next_try)) {
    return;
  }
  work.m_ordered = true;
  fleet::MachineOrder order;
  order.m_action = work.m_action;
  order.m_machine = machine;
  order.m_pool = work.m_pool;
  order.m_wave = work.m_wave;
  order.m_holder = m_options.m_holder;
  order.m_epoch = m_epoch;
  work.m_order_out = true;
  m_orders.push_back(std::move(order));
}

bool MachinePlanner::IsBack(const std::string& machine, const Work& work,
                            Instant now) const {
  const wire::PoolSpecT* const pool = m_state.queues().FindPool(work.m_pool);
  if (work.m_action == fleet::MachineAction::kMove && pool != nullptr &&
      pool->standby) {
    return true;
  }
  const jobs::Runner* const runner = m_state.FindRunnerOf(machine);
  if (runner == nullptr) {
    // A machine parked in standby has no runner that could register again.
    return work.m_action == fleet::MachineAction::kUpkeep &&
           work.m_runner.empty() &&
           now >= work.m_since + m_options.m_upkeep + kReturnMargin;
  }
  const bool is_old = IsLife(work, *runner);
  if (work.m_action == fleet::MachineAction::kMove) {
    return !is_old && runner->m_record.pool == work.m_pool;
  }
  // If the removed incarnation is still registered by then, its upkeep had
  // already ended before this request.
  return now >= work.m_since + m_options.m_upkeep +
                    (is_old ? kReturnMargin : Duration::zero());
}

std::vector<placement::PoolLoad> MachinePlanner::Loads(Moment moment) {
  std::map<std::string, placement::PoolLoad> loads;
  for (const auto& pool : m_state.queues().config().pools) {
    placement::PoolLoad& load = loads[pool->name];
    load.m_pool = pool->name;
    load.m_standby = pool->standby;
  }
  for (const auto& [id, runner] : m_state.runners()) {
    const auto load = loads.find(runner.m_record.pool);
    if (load == loads.end() || runner.m_record.draining || !IsOpen(id) ||
        !m_dispatcher.IsUsable(id, moment.m_now)) {
      continue;
    }
    ++load->second.m_machines;
    load->second.m_machine_milli = runner.m_record.cpu_milli;
    load->second.m_used_milli += runner.m_used.m_cpu_milli;
    if (runner.m_lasting == 0 && !runner.m_record.machine.empty() &&
        !m_work.contains(runner.m_record.machine) &&
        MayOrder(runner.m_record.machine)) {
      load->second.m_movable.push_back(
          {runner.m_record.machine, runner.m_used.m_cpu_milli});
    }
  }
  for (const auto& [machine, work] : m_work) {
    const auto load = loads.find(work.m_pool);
    if (work.m_action == fleet::MachineAction::kMove && load != loads.end()) {
      ++load->second.m_machines;
    }
  }
  for (const auto& [name, machine] : m_listed) {
    const auto load = loads.find(machine.m_pool);
    if (load != loads.end() && load->second.m_standby &&
        moment.m_now >= m_not_before[name] && !m_work.contains(name) &&
        m_state.FindRunnerOf(name) == nullptr && MayOrder(name)) {
      load->second.m_movable.push_back({name, 0});
    }
  }
  const auto demands = placement::Demands(m_state, moment.m_wall_ms);
  std::int64_t all_demand = 0;
  for (auto& [name, load] : loads) {
    const auto demand = demands.find(name);
    if (demand != demands.end()) {
      load.m_ready_milli = demand->second.m_ready_milli;
      load.m_spread = demand->second.m_spread;
    }
    all_demand += load.m_used_milli + load.m_ready_milli;
  }
  std::vector<placement::PoolLoad> result;
  for (auto& [name, load] : loads) {
    Instant& last_short =
        m_last_short.emplace(name, moment.m_now).first->second;
    if (load.m_ready_milli > 0) {
      last_short = moment.m_now;
    }
    load.m_calm_ms =
        std::chrono::duration_cast<Millis>(moment.m_now - last_short).count();
    const std::int64_t demand = load.m_used_milli + load.m_ready_milli;
    if (demand > all_demand / 2 && demand > m_machine_milli) {
      m_last_turn[name] = moment.m_now;
    }
    const auto turn = m_last_turn.find(name);
    if (turn != m_last_turn.end()) {
      load.m_turn_age_ms =
          std::chrono::duration_cast<Millis>(moment.m_now - turn->second)
              .count();
    }
    if (load.m_machine_milli == 0 && !load.m_standby) {
      load.m_machine_milli = m_machine_milli;
    }
    m_machine_milli = std::max(m_machine_milli, load.m_machine_milli);
    result.push_back(std::move(load));
  }
  return result;
}

void MachinePlanner::LogPools(const std::vector<placement::PoolLoad>& loads) {
  constexpr std::int64_t kMilli = 1000;
  for (const placement::PoolLoad& load : loads) {
    EventLine(Event::kSummary)
        .Field("pool", load.m_pool)
        .Field("machines", load.m_machines)
        .Field("used_cores", load.m_used_milli / kMilli)
        .Field("ready_cores", load.m_ready_milli / kMilli)
        .Field("movable", load.m_movable.size())
        .Field("calm_ms", load.m_calm_ms);
  }
}

void MachinePlanner::BalancePools(Moment moment) {
  std::vector<placement::PoolLoad> loads = Loads(moment);
  if (moment.m_now >= m_next_log) {
    m_next_log = moment.m_now + kLogInterval;
    LogPools(loads);
  }
  const double interval_s =
      std::chrono::duration<double>(m_options.m_balance_interval).count();
  m_moves_left = std::min(
      m_moves_left + kSteadyShare * m_options.m_orders_per_s * interval_s,
      std::max(1.0, kBurstShare * m_options.m_orders_per_s));
  placement::BalanceOptions options = m_options.m_balance;
  options.m_max_moves = static_cast<std::size_t>(m_moves_left);
  for (const placement::PoolMove& move :
       placement::Balance(std::move(loads), options)) {
    m_moves_left -= 1;
    Work& work = Begin(move.m_machine, m_state.FindRunnerOf(move.m_machine),
                       moment.m_now);
    work.m_action = fleet::MachineAction::kMove;
    work.m_pool = move.m_to;
    EventLine(Event::kMachineMoved)
        .Field("machine", move.m_machine)
        .Field("from", move.m_from)
        .Field("to", move.m_to)
        .Field("step", "begun");
  }
}

void MachinePlanner::OnAnswer(const fleet::MachineOrder& order,
                              fleet::MachineAnswer answer, Instant now) {
  const auto found = m_work.find(order.m_machine);
  if (order.m_epoch != m_epoch || found == m_work.end()) {
    return;
  }
  Work& work = found->second;
  work.m_order_out = false;
  work.m_next_try = now + m_options.m_retry;
  const bool is_upkeep = order.m_action == fleet::MachineAction::kUpkeep;
  EventLine(is_upkeep ? Event::kUpkeepStep : Event::kMachineMoved)
      .Field("wave", order.m_wave)
      .Field("machine", order.m_machine)
      .Field("to", order.m_pool)
      .Field("answer", NameOf(answer));
  switch (answer) {
    case fleet::MachineAnswer::kOk: {
      work.m_phase = Phase::kDown;
      work.m_since = now;
      if (!is_upkeep) {
        m_listed[order.m_machine].m_name = order.m_machine;
        m_listed[order.m_machine].m_pool = order.m_pool;
        m_not_before[order.m_machine] = now + m_options.m_move;
      }
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
      m_next_list = std::min(m_next_list, now + m_options.m_retry);
      if (is_upkeep) {
        Record(order.m_wave, order.m_machine, false, true);
      } else {
        m_listed.erase(order.m_machine);
        m_work.erase(found);
      }
      break;
    case fleet::MachineAnswer::kBusy:
    case fleet::MachineAnswer::kFenced:
      if (!is_upkeep) {
        m_not_before[order.m_machine] = now + m_options.m_move;
        m_work.erase(found);
      }
      break;
    case fleet::MachineAnswer::kThrottled:
    case fleet::MachineAnswer::kNoAnswer:
      break;
  }
}

}  // namespace bronzebarrow::node
