// Selection of machines for upkeep and moves, and the phases of each operation
// from draining the machine until it is back in service.
#include "bronzebarrow/node/machine_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "bronzebarrow/base/event_log.h"

namespace bronzebarrow::node {
namespace {

constexpr Duration kLogInterval = Millis(500);
// Moves that may begin at once, and moves that may follow per second, as shares
// of the platform's request rate. Their sum keeps any second within the rate.
constexpr double kBurstShare = 0.25;
constexpr double kSteadyShare = 0.75;
// Time within which a new owner reaches every runner that answers at all.
constexpr Duration kFencingTime = Millis(2000);
// A machine without a runner, or with the runner that was removed, counts as
// returned this long after the duration of an upkeep.
constexpr Duration kReturnMargin = Millis(500);
// A request is sent at most this long after it was recorded. With the time that
// a request may take, it must be shorter than the pause between two owners.
constexpr Duration kRecordValidity = Millis(1000);

}  // namespace

void MachinePlanner::BecomeLeader(std::uint64_t epoch, Instant now) {
  StepDown();
  m_epoch = epoch;
  m_allowed_moves = 0;
  m_next_listing = now;
  m_next_balance = m_next_listing;
}

void MachinePlanner::StepDown() {
  m_epoch = 0;
  m_operations.clear();
  m_inventory.clear();
  m_not_movable_before.clear();
  m_last_shortage.clear();
  m_last_peak.clear();
  m_outlook.reset();
  m_requests.clear();
  m_commands.clear();
}

std::vector<fleet::MachineRequest> MachinePlanner::TakeRequests() {
  return std::exchange(m_requests, {});
}

std::vector<wire::WorkBodyUnion> MachinePlanner::TakeCommands() {
  return std::exchange(m_commands, {});
}

std::map<std::string, std::uint64_t> MachinePlanner::TakeLostRuns() {
  return std::exchange(m_lost_runs, {});
}

// Until the platform accepts the request, no incarnation of the machine's
// runner gets new work. Afterwards any but the removed incarnation does.
bool MachinePlanner::AcceptsWork(const jobs::Runner& runner) const {
  const auto operation = m_operations.find(runner.m_record.machine);
  if (operation == m_operations.end()) {
    return true;
  }
  return operation->second.m_phase == Phase::kDown &&
         !IsDrainedIncarnation(operation->second, runner);
}

bool MachinePlanner::IsDrainedIncarnation(const Operation& operation,
                                          const jobs::Runner& runner) {
  return runner.m_record.id == operation.m_runner &&
         runner.m_record.born_ms == operation.m_born_ms;
}

bool MachinePlanner::IsDownAsRequested(const jobs::Runner& runner) const {
  const std::string& machine = runner.m_record.machine;
  const auto operation = m_operations.find(machine);
  if (operation != m_operations.end() && operation->second.m_request_sent &&
      IsDrainedIncarnation(operation->second, runner)) {
    return true;
  }
  // A runner that came after the request has not ended because of it.
  const auto last = m_last_requests.find(machine);
  return !IsHandoverOver(machine) &&
         last->second.m_runner == runner.m_record.id &&
         last->second.m_born_ms == runner.m_record.born_ms;
}

bool MachinePlanner::IsUpkeepDue(const std::string& machine) const {
  return std::any_of(m_state.waves().begin(), m_state.waves().end(),
                     [&](const auto& item) {
                       const auto found = item.second.m_machines.find(machine);
                       return found != item.second.m_machines.end() &&
                              found->second == jobs::UpkeepState::kDue;
                     });
}

std::uint32_t MachinePlanner::CountProtectedTasks(const jobs::Runner& runner) {
  if (runner.m_budgeted == 0) {
    return 0;
  }
  return static_cast<std::uint32_t>(std::count_if(
      runner.m_assigned.begin(), runner.m_assigned.end(),
      [&](const auto& item) { return !m_budget.MayEvict(item.first); }));
}

// Stops long-running tasks as their budgets permit, so that they are placed on
// other runners. @return whether none is left.
bool MachinePlanner::EvictLongRunningTasks(const jobs::Runner& runner) {
  if (runner.m_long_running == 0) {
    return true;
  }
  for (const auto& [task, run] : runner.m_assigned) {
    const wire::StepSpecT* const step = m_state.FindStep(task);
    if (step == nullptr || !step->lasting) {
      continue;
    }
    if (m_budget.MayEvict(task)) {
      m_budget.Evict(runner.m_record.id, task);
    }
  }
  return false;
}

void MachinePlanner::RecordUpkeepStep(std::uint64_t wave,
                                      const std::string& machine, bool done,
                                      bool skipped) {
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

void MachinePlanner::OnApplied(const jobs::ApplyResult& applied, Instant now) {
  if (applied.m_machine.empty()) {
    return;
  }
  const jobs::Runner* const runner =
      m_state.FindLatestRunnerOfMachine(applied.m_machine);
  LastRequest& last = m_last_requests[applied.m_machine];
  last = {m_state.epoch(), now, "", 0};
  if (runner != nullptr) {
    last.m_runner = runner->m_record.id;
    last.m_born_ms = runner->m_record.born_ms;
  }
  const auto operation = m_operations.find(applied.m_machine);
  if (operation != m_operations.end() &&
      operation->second.m_phase == Phase::kRecording &&
      m_epoch == m_state.epoch()) {
    operation->second.m_phase = Phase::kRequesting;
    operation->second.m_next_try = now;
  }
}

// The requests of two owners for one machine must be further apart than the
// platform's lease on the machine.
bool MachinePlanner::IsHandoverOver(const std::string& machine) const {
  const auto last = m_last_requests.find(machine);
  return last == m_last_requests.end() || last->second.m_epoch == m_epoch ||
         m_now >= last->second.m_applied_at + m_options.m_handover_pause;
}

bool MachinePlanner::TakeInventoryRequest(Instant now) {
  if (m_epoch == 0 || now < m_next_listing) {
    return false;
  }
  m_next_listing = now + m_options.m_listing_interval;
  return true;
}

void MachinePlanner::OnMachineInventory(std::vector<fleet::Machine> machines,
                                        Instant now) {
  m_inventory.clear();
  std::map<std::pair<std::string, fleet::MachineState>, int> counts;
  for (fleet::Machine& machine : machines) {
    ++counts[{machine.m_pool, machine.m_state}];
    if (machine.m_state != fleet::MachineState::kUp) {
      m_not_movable_before[machine.m_name] = now + m_options.m_move_duration;
    }
    m_inventory[machine.m_name] = std::move(machine);
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
  m_budget.BeginTick(now);
  for (const auto& [number, wave] : m_state.waves()) {
    if (wave.IsCompleted()) {
      continue;
    }
    for (const auto& [machine, state] : wave.m_machines) {
      if (state == jobs::UpkeepState::kRequested &&
          !m_operations.contains(machine)) {
        // Recorded by an earlier owner, which may or may not have sent the
        // request. The platform executes it once, so the machine is drained
        // and the request sent again.
        StartOperation(machine, m_state.FindLatestRunnerOfMachine(machine), now)
            .m_wave = number;
      }
    }
    SelectForUpkeep(wave, now);
  }
  if (IsBalanceDue(now)) {
    m_next_balance = now + m_options.m_balance_interval;
    BalancePools(moment);
  }
  for (auto operation = m_operations.begin();
       operation != m_operations.end();) {
    if (Advance(operation->first, operation->second, now)) {
      operation = m_operations.erase(operation);
    } else {
      ++operation;
    }
  }
}

MachinePlanner::Operation& MachinePlanner::StartOperation(
    const std::string& machine, const jobs::Runner* runner, Instant now) {
  Operation& operation = m_operations[machine];
  operation = Operation();
  operation.m_timer_start = now;
  operation.m_next_try = now;
  operation.m_first_plan_after_close = m_plans.m_next;
  if (runner != nullptr) {
    operation.m_runner = runner->m_record.id;
    operation.m_born_ms = runner->m_record.born_ms;
  }
  return operation;
}

void MachinePlanner::SelectForUpkeep(const jobs::UpkeepWave& wave,
                                     Instant now) {
  std::uint32_t active = 0;
  for (const auto& [machine, operation] : m_operations) {
    active += operation.m_action == fleet::MachineAction::kUpkeep &&
                      operation.m_wave == wave.m_wave
                  ? 1
                  : 0;
  }
  if (active >= wave.m_cap) {
    return;
  }
  // Prefers machines without a runner, then those with the fewest tasks that
  // their budgets protect, then those with the least CPU in use. No start of an
  // operation changes these within a tick, so one look at each is enough.
  struct Choice {
    std::uint32_t m_protected = 0;
    std::int64_t m_used_milli = 0;
    const std::string* m_machine = nullptr;
    const jobs::Runner* m_runner = nullptr;
  };
  std::vector<Choice> choices;
  for (const auto& [machine, state] : wave.m_machines) {
    if (state != jobs::UpkeepState::kDue || m_operations.contains(machine)) {
      continue;
    }
    const jobs::Runner* const runner =
        m_state.FindLatestRunnerOfMachine(machine);
    if (runner != nullptr && runner->m_record.draining) {
      continue;
    }
    Choice& choice = choices.emplace_back();
    choice.m_machine = &machine;
    choice.m_runner = runner;
    if (runner != nullptr) {
      choice.m_protected = CountProtectedTasks(*runner);
      choice.m_used_milli = runner->m_used.m_cpu_milli;
    }
  }
  std::stable_sort(choices.begin(), choices.end(),
                   [](const Choice& a, const Choice& b) {
                     return std::tie(a.m_protected, a.m_used_milli) <
                            std::tie(b.m_protected, b.m_used_milli);
                   });
  for (const Choice& choice : choices) {
    if (active >= wave.m_cap) {
      return;
    }
    StartOperation(*choice.m_machine, choice.m_runner, now).m_wave =
        wave.m_wave;
    ++active;
  }
}

bool MachinePlanner::Advance(const std::string& machine, Operation& operation,
                             Instant now) {
  const bool is_upkeep = operation.m_action == fleet::MachineAction::kUpkeep;
  if (is_upkeep) {
    const auto wave = m_state.waves().find(operation.m_wave);
    const auto state = wave == m_state.waves().end()
                           ? jobs::UpkeepState::kSkipped
                           : wave->second.m_machines.at(machine);
    if (state == jobs::UpkeepState::kDone ||
        state == jobs::UpkeepState::kSkipped) {
      return true;
    }
  }
  switch (operation.m_phase) {
    case Phase::kDraining:
      if (IsHandoverOver(machine) && Drain(machine, operation, now)) {
        operation.m_phase = Phase::kRecording;
        operation.m_next_try = now;
      } else if (!is_upkeep && now >= operation.m_timer_start +
                                          m_options.m_move_drain_timeout) {
        return true;
      }
      return false;
    case Phase::kRecording:
      if (now >= operation.m_next_try && IsHandoverOver(machine)) {
        operation.m_next_try = now + m_options.m_retry_interval * 2;
        if (is_upkeep) {
          RecordUpkeepStep(operation.m_wave, machine, false, false);
        } else {
          wire::RecordMoveT record;
          record.machine = machine;
          record.pool = operation.m_pool;
          m_commands.emplace_back().Set(std::move(record));
        }
      }
      return false;
    case Phase::kRequesting:
      SendRequest(machine, operation, now);
      return false;
    case Phase::kDown:
      if (!HasReturned(machine, operation, now)) {
        return !is_upkeep && IsLostOnMove(machine, operation, now);
      }
      if (!is_upkeep) {
        return true;
      }
      if (now >= operation.m_next_try) {
        operation.m_next_try = now + m_options.m_retry_interval;
        RecordUpkeepStep(operation.m_wave, machine, true, false);
      }
      return false;
  }
  return false;
}

// @return whether the machine is drained as far as its request requires.
bool MachinePlanner::Drain(const std::string& machine, Operation& operation,
                           Instant now) {
  if (m_plans.m_oldest_open < operation.m_first_plan_after_close) {
    return false;
  }
  if (operation.m_runner.empty()) {
    return true;
  }
  const jobs::Runner* const runner = m_state.FindRunner(operation.m_runner);
  if (runner == nullptr || runner->m_record.born_ms != operation.m_born_ms) {
    operation.m_runner.clear();
    operation.m_born_ms = 0;
    const jobs::Runner* const next = m_state.FindLatestRunnerOfMachine(machine);
    if (next == nullptr) {
      return true;
    }
    operation.m_runner = next->m_record.id;  // Drains the new incarnation.
    operation.m_born_ms = next->m_record.born_ms;
    operation.m_first_plan_after_close = m_plans.m_next;
    return false;
  }
  if (operation.m_action == fleet::MachineAction::kMove) {
    return runner->m_assigned.empty();
  }
  const bool waited =
      now >= operation.m_timer_start + m_options.m_drain_timeout;
  return EvictLongRunningTasks(*runner) &&
         (!runner->HasFiniteTasks() || waited);
}

void MachinePlanner::SendRequest(const std::string& machine,
                                 Operation& operation, Instant now) {
  if (operation.m_request_in_flight ||
      (operation.m_request_sent && now < operation.m_next_try)) {
    return;
  }
  const auto last = m_last_requests.find(machine);
  if (last == m_last_requests.end() ||
      now >= last->second.m_applied_at + kRecordValidity) {
    // A later owner waits from the record on, so that no request may follow it
    // much later. An owner that is cut off cannot record another one.
    operation.m_phase = Phase::kRecording;
    operation.m_next_try = now;
    return;
  }
  operation.m_request_sent = true;
  fleet::MachineRequest request;
  request.m_action = operation.m_action;
  request.m_machine = machine;
  request.m_pool = operation.m_pool;
  request.m_wave = operation.m_wave;
  request.m_holder = m_options.m_holder;
  request.m_epoch = m_epoch;
  operation.m_request_in_flight = true;
  m_requests.push_back(std::move(request));
}

bool MachinePlanner::HasReturned(const std::string& machine,
                                 const Operation& operation,
                                 Instant now) const {
  const wire::PoolSpecT* const pool =
      m_state.queues().FindPool(operation.m_pool);
  if (operation.m_action == fleet::MachineAction::kMove && pool != nullptr &&
      pool->standby) {
    return true;
  }
  const jobs::Runner* const runner = m_state.FindLatestRunnerOfMachine(machine);
  if (runner == nullptr) {
    // A machine parked in standby has no runner that could register again.
    return operation.m_action == fleet::MachineAction::kUpkeep &&
           operation.m_runner.empty() &&
           now >= operation.m_timer_start + m_options.m_upkeep_duration +
                      kReturnMargin;
  }
  const bool is_drained_incarnation = IsDrainedIncarnation(operation, *runner);
  if (operation.m_action == fleet::MachineAction::kMove) {
    return !is_drained_incarnation && runner->m_record.pool == operation.m_pool;
  }
  // If the removed incarnation is still registered by then, its upkeep had
  // already ended before this request.
  return now >= operation.m_timer_start + m_options.m_upkeep_duration +
                    (is_drained_incarnation ? kReturnMargin : Duration::zero());
}

// The platform's inventory was read since the machine should have arrived, and
// still no runner of the target pool has registered.
bool MachinePlanner::IsLostOnMove(const std::string& machine,
                                  const Operation& operation,
                                  Instant now) const {
  if (now < operation.m_timer_start + m_options.m_move_duration +
                m_options.m_listing_interval) {
    return false;
  }
  EventLine(Event::kMachineMoved, Severity::kWarning)
      .Field("machine", machine)
      .Field("to", operation.m_pool)
      .Field("step", "lost");
  return true;
}

// After a change of the owner no runner is usable until its first answer. They
// count as their pools' machines for that time, or every pool would seem empty.
bool MachinePlanner::IsBeingFenced(const std::string& runner) const {
  const runs::RunnerLink* const link = m_dispatcher.FindLink(runner);
  return link != nullptr && !link->m_fenced &&
         m_now < link->m_last_answer + kFencingTime;
}

std::vector<placement::PoolLoad> MachinePlanner::ComputePoolLoads(
    Moment moment) {
  std::map<std::string, placement::PoolLoad> loads;
  for (const auto& pool : m_state.queues().config().pools) {
    placement::PoolLoad& load = loads[pool->name];
    load.m_pool = pool->name;
    load.m_standby = pool->standby;
  }
  for (const auto& [id, runner] : m_state.runners()) {
    const auto load = loads.find(runner.m_record.pool);
    if (load == loads.end() || runner.m_record.draining ||
        !AcceptsWork(runner)) {
      continue;
    }
    const bool is_usable = m_dispatcher.IsUsable(id, moment.m_now);
    if (!is_usable && !IsBeingFenced(id)) {
      continue;
    }
    ++load->second.m_machines;
    load->second.m_machine_milli = runner.m_record.cpu_milli;
    load->second.m_used_milli += runner.m_used.m_cpu_milli;
    load->second.m_long_running_milli += runner.m_long_running_used.m_cpu_milli;
    if (is_usable && runner.m_long_running == 0 &&
        !runner.m_record.machine.empty() &&
        !m_operations.contains(runner.m_record.machine) &&
        IsHandoverOver(runner.m_record.machine)) {
      load->second.m_movable.push_back(
          {runner.m_record.machine, runner.m_used.m_cpu_milli});
    }
  }
  for (const auto& [machine, operation] : m_operations) {
    const auto load = loads.find(operation.m_pool);
    if (operation.m_action == fleet::MachineAction::kMove &&
        load != loads.end()) {
      ++load->second.m_machines;
      ++load->second.m_moving_here;
    }
  }
  for (const auto& [name, machine] : m_inventory) {
    const auto load = loads.find(machine.m_pool);
    if (load != loads.end() && load->second.m_standby &&
        moment.m_now >= m_not_movable_before[name] &&
        !m_operations.contains(name) &&
        m_state.FindLatestRunnerOfMachine(name) == nullptr &&
        IsHandoverOver(name)) {
      load->second.m_movable.push_back({name, 0});
    }
  }
  const auto demands =
      placement::DemandByPool(m_state, moment.m_wall_ms, m_typical);
  std::int64_t all_demand = 0;
  for (auto& [name, load] : loads) {
    const auto demand = demands.find(name);
    if (demand != demands.end()) {
      load.m_ready_milli = demand->second.m_ready_milli;
      load.m_late_milli = demand->second.m_late_milli;
      load.m_late_used_milli = demand->second.m_late_used_milli;
      load.m_late_work = demand->second.m_late_work;
      load.m_waiting_work = demand->second.m_waiting_work;
      load.m_work_by_organisation = demand->second.m_work_by_organisation;
      load.m_spread_machines = demand->second.m_spread_machines;
    }
    const auto rejected = m_rejected_milli.find(name);
    if (rejected != m_rejected_milli.end()) {
      load.m_rejected_milli = rejected->second;
    }
    all_demand +=
        load.m_used_milli + load.m_ready_milli + load.m_rejected_milli;
  }
  std::vector<placement::PoolLoad> result;
  for (auto& [name, load] : loads) {
    Instant& last_shortage =
        m_last_shortage.emplace(name, moment.m_now).first->second;
    if (load.m_ready_milli + load.m_late_milli + load.m_rejected_milli > 0) {
      last_shortage = moment.m_now;
    }
    load.m_no_backlog_ms =
        std::chrono::duration_cast<Millis>(moment.m_now - last_shortage)
            .count();
    const std::int64_t demand =
        load.m_used_milli + load.m_ready_milli + load.m_rejected_milli;
    if (demand > all_demand / 2 && demand > m_largest_machine_milli) {
      m_last_peak[name] = moment.m_now;
    }
    const auto peak = m_last_peak.find(name);
    if (peak != m_last_peak.end()) {
      load.m_peak_age_ms =
          std::chrono::duration_cast<Millis>(moment.m_now - peak->second)
              .count();
    }
    if (load.m_machine_milli == 0 && !load.m_standby) {
      load.m_machine_milli = m_largest_machine_milli;
    }
    m_largest_machine_milli =
        std::max(m_largest_machine_milli, load.m_machine_milli);
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
        .Field("late_cores", load.m_late_milli / kMilli)
        .Field("rejected_cores", load.m_rejected_milli / kMilli)
        .Field("movable", load.m_movable.size())
        .Field("calm_ms", load.m_no_backlog_ms);
  }
}

void MachinePlanner::BalancePools(Moment moment) {
  std::vector<placement::PoolLoad> loads = ComputePoolLoads(moment);
  if (moment.m_now >= m_next_log) {
    m_next_log = moment.m_now + kLogInterval;
    LogPools(loads);
  }
  const double interval_s =
      std::chrono::duration<double>(m_options.m_balance_interval).count();
  m_allowed_moves = std::min(
      m_allowed_moves + kSteadyShare * m_options.m_requests_per_s * interval_s,
      std::max(1.0, kBurstShare * m_options.m_requests_per_s));
  placement::BalanceOptions options = m_options.m_balance;
  options.m_max_moves = static_cast<std::size_t>(m_allowed_moves);
  m_outlook = placement::OutlookOf(loads, options);
  for (const placement::PoolMove& move :
       placement::RebalancePools(std::move(loads), options)) {
    m_allowed_moves -= 1;
    Operation& operation = StartOperation(
        move.m_machine, m_state.FindLatestRunnerOfMachine(move.m_machine),
        moment.m_now);
    operation.m_action = fleet::MachineAction::kMove;
    operation.m_pool = move.m_to;
    EventLine(Event::kMachineMoved)
        .Field("machine", move.m_machine)
        .Field("from", move.m_from)
        .Field("to", move.m_to)
        .Field("step", "begun");
  }
}

// The platform also accepts requests for an operation that is already done. So
// an accepted request shows the end of a runner only if that runner was there
// before the operation: before the first request for an upkeep, or in another
// pool than the destination of a move. The machine's runner may have come
// since.
void MachinePlanner::RemoveEndedRunner(const Operation& operation,
                                       const fleet::MachineRequest& request) {
  const bool is_upkeep = request.m_action == fleet::MachineAction::kUpkeep;
  jobs::RunnerLife ended = {operation.m_runner, operation.m_born_ms};
  if (is_upkeep) {
    const auto wave = m_state.waves().find(request.m_wave);
    if (wave == m_state.waves().end()) {
      return;
    }
    const auto life = wave->second.m_lives_before.find(request.m_machine);
    ended = life == wave->second.m_lives_before.end() ? jobs::RunnerLife()
                                                      : life->second;
  }
  const jobs::Runner* const runner = m_state.FindRunner(ended.m_runner);
  if (runner == nullptr || runner->m_record.born_ms != ended.m_born_ms ||
      (!is_upkeep && runner->m_record.pool == request.m_pool)) {
    EventLine(Event::kRunnerKept)
        .Field("machine", request.m_machine)
        .Field("drained", operation.m_runner)
        .Field("born", operation.m_born_ms)
        .Field("why", "it may have started after the operation");
    return;
  }
  const char* const cause = is_upkeep ? "upkeep" : "move";
  EventLine(Event::kRunnerRemoved)
      .Field("runner", ended.m_runner)
      .Field("cause", cause)
      .Field("runs", runner->m_assigned.size());
  if (!runner->m_assigned.empty()) {
    m_lost_runs[cause] += runner->m_assigned.size();
  }
  wire::RemoveRunnerT remove;
  remove.runner = ended.m_runner;
  remove.born_ms = ended.m_born_ms;
  m_commands.emplace_back().Set(std::move(remove));
}

void MachinePlanner::OnAnswer(const fleet::MachineRequest& request,
                              fleet::MachineResponse answer, Instant now) {
  const auto found = m_operations.find(request.m_machine);
  if (request.m_epoch != m_epoch || found == m_operations.end()) {
    return;
  }
  Operation& operation = found->second;
  operation.m_request_in_flight = false;
  operation.m_next_try = now + m_options.m_retry_interval;
  const bool is_upkeep = request.m_action == fleet::MachineAction::kUpkeep;
  EventLine(is_upkeep ? Event::kUpkeepStep : Event::kMachineMoved)
      .Field("wave", request.m_wave)
      .Field("machine", request.m_machine)
      .Field("to", request.m_pool)
      .Field("answer", NameOf(answer));
  switch (answer) {
    case fleet::MachineResponse::kOk: {
      operation.m_phase = Phase::kDown;
      operation.m_timer_start = now;
      if (!is_upkeep) {
        m_inventory[request.m_machine].m_name = request.m_machine;
        m_inventory[request.m_machine].m_pool = request.m_pool;
        m_not_movable_before[request.m_machine] =
            now + m_options.m_move_duration;
      }
      RemoveEndedRunner(operation, request);
      break;
    }
    case fleet::MachineResponse::kInvalid:
    case fleet::MachineResponse::kNotDue:
      m_next_listing =
          std::min(m_next_listing, now + m_options.m_retry_interval);
      if (is_upkeep) {
        RecordUpkeepStep(request.m_wave, request.m_machine, false, true);
      } else {
        m_inventory.erase(request.m_machine);
        m_operations.erase(found);
      }
      break;
    case fleet::MachineResponse::kBusy:
    case fleet::MachineResponse::kFenced:
      if (!is_upkeep) {
        m_not_movable_before[request.m_machine] =
            now + m_options.m_move_duration;
        m_operations.erase(found);
      }
      break;
    case fleet::MachineResponse::kThrottled:
    case fleet::MachineResponse::kNoAnswer:
      break;
  }
}

}  // namespace bronzebarrow::node
