// FakeWorkGroup: delivers events to members, runners and callers in virtual
// time.
#include "fake_work_group.h"

#include <algorithm>
#include <utility>

namespace bronzebarrow::node {
namespace {

constexpr Duration kTick = Millis(25);
constexpr Duration kStep = Millis(5);
constexpr Duration kBeat = Millis(1500);
constexpr Duration kCallTimeout = Millis(700);
constexpr std::uint64_t kWallBegin = 1'700'000'000'000;
constexpr std::uint32_t kAttempts = 3;
// A task that is not running counts as unavailable after the length of a
// lease.
constexpr Duration kNotice = Millis(4500);
constexpr Duration kUpkeep = Millis(2000);
constexpr const char* kHost = "q.example";
constexpr const char* kPrefix = "/q/";

wire::FleetConfigT MakeConfig() {
  wire::FleetConfigT config;
  config.version = 1;
  config.document = "{}";
  auto pool = std::make_unique<wire::PoolSpecT>();
  pool->name = "pool";
  config.pools.push_back(std::move(pool));
  auto queue = std::make_unique<wire::QueueSpecT>();
  queue->name = "queue";
  queue->host = kHost;
  queue->path_prefix = kPrefix;
  queue->pool = "pool";
  queue->attempts = kAttempts;
  queue->slack_factor = 1.6;
  queue->objective_ms = 600;
  queue->timeout_ms = 3000;
  config.queues.push_back(std::move(queue));
  return config;
}

}  // namespace

FakeWorkGroup::FakeWorkGroup(std::size_t members, std::size_t runners,
                             std::uint64_t seed)
    : m_random(seed), m_now(Instant() + std::chrono::hours(1)) {
  m_members.resize(members);
  std::vector<consensus::Member> founders;
  for (std::size_t i = 0; i < members; ++i) {
    m_members[i].m_name = "m" + std::to_string(i);
    m_members[i].m_id = {m_members[i].m_name, 1};
    founders.push_back({m_members[i].m_id, true});
  }
  for (Member& member : m_members) {
    member.m_disk.m_state.m_base_membership = consensus::Membership(founders);
  }
  for (std::size_t i = 0; i < members; ++i) {
    StartMember(i);
  }
  for (std::size_t i = 0; i < runners; ++i) {
    m_runners.push_back(MakeRunner(i));
    At(m_now + Delay(kBeat), [this, i] { Beat(i); });
  }
  m_runner_cut.resize(runners, false);
  m_beats.resize(runners, 0);
  m_waiters.resize(runners);
}

Moment FakeWorkGroup::At() const {
  return {m_now, kWallBegin + static_cast<std::uint64_t>(
                                  std::chrono::duration_cast<Millis>(
                                      m_now.time_since_epoch())
                                      .count())};
}

void FakeWorkGroup::At(Instant when, std::function<void()> event) {
  m_events.emplace(when, std::move(event));
}

bool FakeWorkGroup::Chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

Duration FakeWorkGroup::Delay(Duration limit) {
  return Duration(
      std::uniform_int_distribution<Duration::rep>(0, limit.count())(m_random));
}

FakeRunner FakeWorkGroup::MakeRunner(std::size_t index) {
  const double rate = 0.98 + 0.02 * static_cast<double>(m_random() % 100) / 100;
  FakeRunner runner("i-" + std::to_string(index), At().m_wall_ms, rate, m_now);
  runner.m_on_start = [this](const FakeRunner& at, const jobs::RunKey& run) {
    OnStart(at, run);
  };
  runner.m_on_noted = [this](const jobs::RunKey& run, wire::EndKind how) {
    if (how == wire::EndKind::Done) {
      m_done.insert(run.m_task);
    } else if (how == wire::EndKind::Failed) {
      ++m_failed[run.m_task];
    }
  };
  return runner;
}

void FakeWorkGroup::Break(const std::string& what, const jobs::RunKey& run) {
  if (m_broken.empty()) {
    m_broken = what + " " + jobs::TaskText(run.m_task) + " run " +
               std::to_string(run.m_run);
  }
}

void FakeWorkGroup::OnStart(const FakeRunner& runner, const jobs::RunKey& run) {
  ++m_starts;
  m_ended_by_order.erase(run.m_task);
  if (!m_submitted.contains(run.m_task.m_job)) {
    Break("start of a job that was not submitted:", run);
  }
  if (m_done.contains(run.m_task)) {
    Break("start after the task was acknowledged as done:", run);
  }
  if (m_failed[run.m_task] >= kAttempts) {
    Break("start after all attempts failed:", run);
  }
  for (FakeRunner& other : m_runners) {
    other.Run(m_now);
    if (&other != &runner && other.running().contains(run.m_task)) {
      Break("two concurrent runs (" + other.id() + " and " + runner.id() + "):",
            run);
    }
  }
}

void FakeWorkGroup::StartMember(std::size_t index) {
  Member& member = m_members[index];
  ++member.m_life;
  member.m_batch.reset();
  member.m_frozen = false;
  member.m_next_tick = m_now + Delay(kTick);
  WorkCoreOptions options;
  options.m_replica.m_id = member.m_id;
  for (const Member& other : m_members) {
    if (other.m_name != member.m_name) {
      options.m_replica.m_peers.push_back(other.m_name);
    }
  }
  options.m_replica.m_seed = m_random();
  options.m_snapshot_entries = 200;
  options.m_kept_entries = 50;
  options.m_first_token = m_random() << 20;
  member.m_core =
      std::make_unique<WorkCore>(options, member.m_disk.m_state, At());
  Drain(index);
}

void FakeWorkGroup::Crash(std::size_t index) {
  m_members[index].m_core.reset();
  ++m_members[index].m_life;
  m_members[index].m_batch.reset();
}

void FakeWorkGroup::Restart(std::size_t index) {
  if (!m_members[index].m_core) {
    StartMember(index);
  }
}

void FakeWorkGroup::LoseDisk(std::size_t index) {
  Crash(index);
  m_members[index].m_disk = consensus::FakeDisk();
  m_members[index].m_id.m_generation = m_next_generation++;
}

void FakeWorkGroup::Freeze(std::size_t index, bool frozen) {
  m_members[index].m_frozen = frozen;
}

void FakeWorkGroup::Cut(std::size_t a, std::size_t b, bool cut) {
  for (const auto& pair : {std::pair(a, b), std::pair(b, a)}) {
    if (cut) {
      m_cuts.insert(pair);
    } else {
      m_cuts.erase(pair);
    }
  }
}

void FakeWorkGroup::CutRunner(std::size_t runner, bool cut) {
  m_runner_cut[runner] = cut;
}

void FakeWorkGroup::Reborn(std::size_t runner) {
  BreakHolds(runner);
  m_runners[runner] = MakeRunner(runner);
  m_beats[runner] = 0;
}

// Hold calls that the runner kept open are not answered and time out.
void FakeWorkGroup::BreakHolds(std::size_t runner) {
  for (const Waiter& waiter : m_waiters[runner]) {
    At(waiter.m_until + kCallTimeout, [this, waiter] {
      Answer(waiter.m_member, waiter.m_life, waiter.m_call,
             runs::RunnerAnswer());
    });
  }
  m_waiters[runner].clear();
}

void FakeWorkGroup::HealAll() {
  m_cuts.clear();
  m_faults = WorkFaults();
  m_faults.m_loss = 0;
  m_faults.m_call_lost = 0;
  m_faults.m_answer_lost = 0;
  m_faults.m_late = 0;
  m_runner_cut.assign(m_runners.size(), false);
  for (std::size_t i = 0; i < m_members.size(); ++i) {
    m_members[i].m_frozen = false;
    Restart(i);
  }
}

void FakeWorkGroup::Run(Duration span) {
  const Instant end = m_now + span;
  while (m_now < end && m_broken.empty()) {
    m_now += kStep;
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
      const auto event = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      event();
    }
    for (FakeRunner& runner : m_runners) {
      runner.Run(m_now);
    }
    for (const FakeRunner& runner : m_runners) {
      for (const auto& [task, running] : runner.running()) {
        if (m_lasting.contains(task.m_job)) {
          m_last_at_work[task] = m_now;
        }
      }
    }
    CheckWaiters();
    for (std::size_t i = 0; i < m_members.size(); ++i) {
      Member& member = m_members[i];
      if (member.m_core && !member.m_frozen && m_now >= member.m_next_tick) {
        member.m_next_tick = m_now + kTick;
        member.m_core->Tick(At());
        Drain(i);
      }
    }
  }
}

std::optional<std::size_t> FakeWorkGroup::Leader() {
  for (std::size_t i = 0; i < m_members.size(); ++i) {
    if (m_members[i].m_core && !m_members[i].m_frozen &&
        m_members[i].m_core->CanServe(m_now)) {
      return i;
    }
  }
  return std::nullopt;
}

void FakeWorkGroup::Drain(std::size_t index) {
  Member& member = m_members[index];
  const std::uint64_t life = member.m_life;
  for (consensus::Outgoing& message : member.m_core->TakePeerMessages()) {
    for (std::size_t to = 0; to < m_members.size(); ++to) {
      if (m_members[to].m_name != message.m_to.m_name ||
          Chance(m_faults.m_loss)) {
        continue;
      }
      const auto body =
          std::make_shared<wire::BodyUnion>(std::move(message.m_body));
      const consensus::ReplicaId from = member.m_id;
      const std::uint64_t generation = message.m_to.m_generation;
      At(m_now + Delay(m_faults.m_max_delay),
         [this, index, to, from, generation, body] {
           Member& receiver = m_members[to];
           if (!receiver.m_core || receiver.m_frozen ||
               m_cuts.contains({index, to}) ||
               (generation != 0 && generation != receiver.m_id.m_generation)) {
             return;
           }
           receiver.m_core->OnPeerMessage(from, *body, At());
           Drain(to);
         });
    }
  }
  if (!member.m_batch && member.m_core->HasBatch()) {
    member.m_batch = member.m_core->TakeBatch(m_now);
    At(std::max(m_now + Delay(m_faults.m_max_sync), member.m_stalled_until),
       [this, index, life] {
         Member& synced = m_members[index];
         if (synced.m_life != life || !synced.m_batch) {
           return;
         }
         synced.m_disk.Sync(*synced.m_batch);
         synced.m_batch.reset();
         if (synced.m_frozen) {
           // The next tick is due as soon as the member is resumed.
           synced.m_next_tick = m_now;
         }
         synced.m_core->BatchSynced(At());
         Drain(index);
       });
  }
  for (ReplyOut& reply : member.m_core->TakeReplies()) {
    const auto caller = m_callers.find(reply.m_reply.id);
    if (caller == m_callers.end()) {
      continue;
    }
    if (reply.m_reply.outcome == wire::CallOutcome::Accepted) {
      (caller->second.m_cancels ? m_cancelled : m_accepted)
          .insert(caller->second.m_job);
    }
    m_callers.erase(caller);
  }
  for (const runs::RunnerCall& call : member.m_core->TakeRunnerCalls()) {
    SendCall(index, call);
  }
  for (const fleet::MachineOrder& order : member.m_core->TakeMachineOrders()) {
    OnOrder(index, order);
  }
  member.m_core->TakeAdviceRequests();
}

void FakeWorkGroup::SendCall(std::size_t member, const runs::RunnerCall& call) {
  const std::uint64_t life = m_members[member].m_life;
  const Instant timeout = m_now + kCallTimeout + Millis(call.m_wait_ms);
  const auto silent = [this, member, life, call] {
    Answer(member, life, call, runs::RunnerAnswer());
  };
  if (Chance(m_faults.m_call_lost)) {
    At(timeout, silent);
  } else if (call.m_kind != runs::CallKind::kHold && Chance(m_faults.m_late)) {
    At(timeout, silent);
    At(m_now + Millis(2000) + Delay(Millis(10'000)),
       [this, member, life, call] { Arrive(member, life, call, false); });
  } else {
    const bool answered = !Chance(m_faults.m_answer_lost);
    if (!answered) {
      At(timeout, silent);
    }
    At(m_now + Delay(m_faults.m_max_delay),
       [this, member, life, call, answered, timeout, silent] {
         const std::size_t runner = std::stoul(call.m_runner.substr(2));
         if (m_runner_cut[runner]) {
           if (answered) {
             At(timeout, silent);
           }
           return;
         }
         Arrive(member, life, call, answered);
       });
  }
}

void FakeWorkGroup::Arrive(std::size_t member, std::uint64_t life,
                           const runs::RunnerCall& call, bool answered) {
  const std::size_t index = std::stoul(call.m_runner.substr(2));
  FakeRunner& runner = m_runners[index];
  const jobs::TaskKey& task = call.m_run.m_task;
  const bool lasts = m_lasting.contains(task.m_job);
  if (lasts && call.m_kind == runs::CallKind::kStop &&
      runner.running().contains(task)) {
    CheckBudget(task);
  }
  const Duration span = lasts ? Duration(std::chrono::hours(1))
                              : Millis(200) + Delay(Millis(1500));
  const runs::RunnerAnswer answer =
      runner.Handle(call, m_now, span, Chance(m_faults.m_fails));
  if (!answered) {
    return;
  }
  if (call.m_kind == runs::CallKind::kHold && call.m_wait_ms > 0 &&
      answer.m_kind == runs::AnswerKind::kOk && answer.m_ended.empty()) {
    m_waiters[index].push_back(
        {call, member, life, m_now + Millis(call.m_wait_ms)});
    return;
  }
  At(m_now + Delay(m_faults.m_max_delay), [this, member, life, call, answer] {
    Answer(member, life, call, answer);
  });
}

bool FakeWorkGroup::IsRunning(const jobs::TaskKey& task) const {
  return std::any_of(m_runners.begin(), m_runners.end(),
                     [&](const FakeRunner& runner) {
                       return runner.running().contains(task);
                     });
}

// Checks that a task may be evicted: the number of other unavailable tasks of
// its step must be less than the availability budget, which is one.
void FakeWorkGroup::CheckBudget(const jobs::TaskKey& task) {
  if (m_cancelled.contains(task.m_job)) {
    return;
  }
  for (std::uint32_t i = 0; i < m_lasting.at(task.m_job); ++i) {
    jobs::TaskKey other = task;
    other.m_index = static_cast<std::uint16_t>(i);
    const auto last = m_last_at_work.find(other);
    const bool unseen =
        last == m_last_at_work.end() || m_now >= last->second + kNotice;
    if (other != task &&
        (m_ended_by_order.contains(other) || (unseen && !IsRunning(other)))) {
      Break("evicted although the budget is used by " + jobs::TaskText(other) +
                ":",
            {task, 0});
    }
  }
  m_ended_by_order.insert(task);
}

void FakeWorkGroup::OnOrder(std::size_t member,
                            const fleet::MachineOrder& order) {
  const std::size_t runner = std::stoul(order.m_machine.substr(8));
  const std::uint64_t life = m_members[member].m_life;
  At(m_now + Millis(20), [this, member, life, order] {
    if (m_members[member].m_life == life && m_members[member].m_core) {
      m_members[member].m_core->OnMachineAnswer(
          order, fleet::MachineAnswer::kOk, At());
      Drain(member);
    }
  });
  if (!m_upkept.insert(runner).second) {
    return;  // A repeated request has no effect.
  }
  ++m_upkeeps;
  if (m_down.size() >= m_cap) {
    Break("more machines in upkeep than the cap of the wave", {});
  }
  m_down.insert(runner);
  const auto running = m_runners[runner].running();
  for (const auto& [task, run] : running) {
    if (m_lasting.contains(task.m_job)) {
      CheckBudget(task);
    }
  }
  Dark(runner);
  At(m_now + kUpkeep, [this, runner] {
    m_down.erase(runner);
    m_runner_cut[runner] = false;
    Reborn(runner);
  });
}

void FakeWorkGroup::Dark(std::size_t runner) {
  BreakHolds(runner);
  m_runners[runner] = MakeRunner(runner);
  m_runner_cut[runner] = true;
}

void FakeWorkGroup::SubmitLasting(std::uint32_t count) {
  const auto id = m_next_job++;
  wire::SubmitCallT submit;
  submit.job = std::make_unique<wire::JobSpecT>();
  submit.job->id = jobs::JobIdText(id);
  submit.host = kHost;
  submit.path = kPrefix + submit.job->id;
  auto step = std::make_unique<wire::StepSpecT>();
  step->count = count;
  step->cpu_milli = 500;
  step->memory_mb = 100;
  step->lasting = true;
  step->max_per_runner = 1;
  step->may_miss = 1;
  submit.job->steps.push_back(std::move(step));
  m_submitted.insert(id);
  m_lasting[id] = count;
  wire::CallBodyUnion body;
  body.Set(std::move(submit));
  if (const auto leader = Leader()) {
    CallMember(*leader, std::move(body), nullptr);
  }
}

void FakeWorkGroup::StartWave(std::uint32_t cap) {
  wire::StartUpkeepCallT start;
  start.upkeep = std::make_unique<wire::StartUpkeepT>();
  start.upkeep->wave = 1;
  start.upkeep->cap = cap;
  m_cap = cap;
  start.upkeep->complete_by_ms = At().m_wall_ms + 30'000;
  for (std::size_t i = 0; i < m_runners.size(); ++i) {
    start.upkeep->machines.push_back("machine-" + std::to_string(i));
  }
  wire::CallBodyUnion body;
  body.Set(std::move(start));
  if (const auto leader = Leader()) {
    CallMember(*leader, std::move(body), nullptr);
  }
}

void FakeWorkGroup::CheckWaiters() {
  for (std::size_t i = 0; i < m_runners.size(); ++i) {
    std::vector<Waiter> waiters = std::exchange(m_waiters[i], {});
    for (Waiter& waiter : waiters) {
      if (m_now < waiter.m_until &&
          !m_runners[i].HasNews(waiter.m_call.m_seen)) {
        m_waiters[i].push_back(std::move(waiter));
        continue;
      }
      // The run lists are current; the lease was renewed when the call arrived.
      runs::RunnerCall look = waiter.m_call;
      look.m_expires_ms = 0;
      const runs::RunnerAnswer answer =
          m_runners[i].Handle(look, m_now, Duration::zero(), false);
      const auto deliver = [this, waiter, answer] {
        Answer(waiter.m_member, waiter.m_life, waiter.m_call, answer);
      };
      if (m_runner_cut[i]) {
        At(m_now + kCallTimeout, [this, waiter] {
          Answer(waiter.m_member, waiter.m_life, waiter.m_call,
                 runs::RunnerAnswer());
        });
      } else {
        At(m_now + Delay(m_faults.m_max_delay), deliver);
      }
    }
  }
}

void FakeWorkGroup::Answer(std::size_t index, std::uint64_t life,
                           const runs::RunnerCall& call,
                           const runs::RunnerAnswer& answer) {
  Member& member = m_members[index];
  if (member.m_life != life || !member.m_core) {
    return;
  }
  if (member.m_frozen) {
    At(m_now + Millis(50), [this, index, life, call, answer] {
      Answer(index, life, call, answer);
    });
    return;
  }
  member.m_core->OnRunnerAnswer(call, answer, At());
  Drain(index);
}

void FakeWorkGroup::Beat(std::size_t index) {
  At(m_now + kBeat, [this, index] { Beat(index); });
  ++m_beats[index];
  const auto leader = Leader();
  if (!leader || m_runner_cut[index]) {
    return;
  }
  wire::ReportRunnerCallT report;
  report.runner = std::make_unique<wire::RunnerRecordT>();
  report.runner->id = m_runners[index].id();
  report.runner->born_ms = m_runners[index].born_ms();
  report.runner->machine = "machine-" + std::to_string(index);
  report.runner->address = "127.0.0.1:1";
  report.runner->pool = "pool";
  report.runner->labels = {"a", "r" + std::to_string(index / 3)};
  report.runner->cpu_milli = 8000;
  report.runner->memory_mb = 8000;
  report.runner->sequence = m_beats[index];
  wire::CallBodyUnion body;
  body.Set(std::move(report));
  CallMember(*leader, std::move(body), nullptr);
  if (m_members[*leader].m_core &&
      m_members[*leader].m_core->state().queues().version() == 0) {
    wire::PutConfigCallT put;
    put.config = std::make_unique<wire::FleetConfigT>(MakeConfig());
    wire::CallBodyUnion config;
    config.Set(std::move(put));
    CallMember(*leader, std::move(config), nullptr);
  }
}

void FakeWorkGroup::CallMember(std::size_t index, wire::CallBodyUnion body,
                               const Caller* caller) {
  Member& member = m_members[index];
  if (!member.m_core || member.m_frozen) {
    return;
  }
  wire::CallT call;
  call.id = m_next_call++;
  call.body = std::move(body);
  if (caller != nullptr) {
    m_callers[call.id] = *caller;
  }
  member.m_core->OnCall(call.id, call, At());
  Drain(index);
}

void FakeWorkGroup::Submit() {
  const auto id = m_next_job++;
  wire::SubmitCallT submit;
  submit.job = std::make_unique<wire::JobSpecT>();
  submit.job->id = jobs::JobIdText(id);
  submit.host = kHost;
  submit.path = kPrefix + submit.job->id;
  submit.job->spec = "work";
  const std::size_t steps = 1 + m_random() % 2;
  for (std::size_t i = 0; i < steps; ++i) {
    auto step = std::make_unique<wire::StepSpecT>();
    step->count = 1 + static_cast<std::uint32_t>(m_random() % 5);
    step->cpu_milli = 1000;
    step->memory_mb = 500;
    step->estimate_ms = 800;
    if (i > 0) {
      step->depends_on = {static_cast<std::uint32_t>(i - 1)};
    }
    submit.job->steps.push_back(std::move(step));
  }
  m_submitted.insert(id);
  const Caller caller = {id, false};
  wire::CallBodyUnion body;
  body.Set(std::move(submit));
  const auto leader = Leader();
  CallMember(leader && Chance(0.8) ? *leader : m_random() % m_members.size(),
             std::move(body), &caller);
}

void FakeWorkGroup::CancelSome() {
  const auto leader = Leader();
  if (!leader || m_accepted.empty()) {
    return;
  }
  const jobs::JobId id = *std::prev(m_accepted.end());
  m_cancels_sent.insert(id);
  wire::CancelCallT cancel;
  cancel.host = kHost;
  cancel.path = kPrefix + jobs::JobIdText(id);
  wire::CallBodyUnion body;
  body.Set(std::move(cancel));
  const Caller caller = {id, true};
  CallMember(*leader, std::move(body), &caller);
}

}  // namespace bronzebarrow::node
