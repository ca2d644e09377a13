// Compares the budgets of long-running steps with a scan of all tasks for each
// question, and bounds the number of tasks that are looked at.
#include "bronzebarrow/node/availability_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>

namespace bronzebarrow::node {
namespace {

constexpr std::uint64_t kNowMs = 1'700'000'000'000;
constexpr std::uint64_t kBornMs = 1;
constexpr int kRunners = 6;
constexpr std::uint64_t kSeeds = 100;

class AvailabilityBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AvailabilityBudgetTest);
  CPPUNIT_TEST(AnswersEqualThoseOfAScan);
  CPPUNIT_TEST(LooksAtEachTaskOncePerTick);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_now = Instant() + std::chrono::hours(1);
    m_state = std::make_unique<jobs::WorkState>();
    m_dispatcher =
        std::make_unique<runs::Dispatcher>(*m_state, runs::DispatcherOptions());
    m_index = 0;
    m_running.clear();
    wire::PutConfigT put;
    put.config = std::make_unique<wire::FleetConfigT>();
    put.config->version = 1;
    put.config->pools.push_back(std::make_unique<wire::PoolSpecT>());
    put.config->pools.back()->name = "pool";
    put.config->queues.push_back(std::make_unique<wire::QueueSpecT>());
    put.config->queues.back()->name = "queue";
    put.config->queues.back()->pool = "pool";
    Apply(std::move(put));
    for (int i = 0; i < kRunners; ++i) {
      wire::RegisterRunnerT runner;
      runner.runner = std::make_unique<wire::RunnerRecordT>();
      runner.runner->id = RunnerId(i);
      runner.runner->born_ms = kBornMs;
      runner.runner->pool = "pool";
      Apply(std::move(runner));
    }
    wire::TakeOwnershipT take;
    take.member = "owner";
    Apply(std::move(take));
    m_dispatcher->BecomeLeader(m_state->epoch(), m_now);
  }

  void AnswersEqualThoseOfAScan() {
    std::uint64_t refusals = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      setUp();
      std::mt19937_64 random(seed);
      for (jobs::JobId id = 1; id <= 3; ++id) {
        AcceptJob(id, static_cast<std::uint32_t>(4 + random() % 9),
                  static_cast<std::uint32_t>(random() % 4));
      }
      for (int round = 0; round < 4; ++round) {
        AssignSomeTasks(random);
        for (int i = 0; i < 5; ++i) {
          m_now += Millis(400);
          AnswerSomeCalls(random);
        }
        m_now += Millis(random() % 1500);
        AvailabilityBudget budget(*m_state, *m_dispatcher);
        budget.BeginTick(m_now);
        for (int i = 0; i < 60; ++i) {
          const jobs::TaskKey key = RandomTask(random);
          const bool may_evict = budget.MayEvict(key);
          refusals += may_evict ? 0 : 1;
          CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                       MayEvictByScan(key), may_evict);
          const jobs::Task& task = *m_state->FindJob(key.m_job)->FindTask(key);
          if (may_evict && random() % 4 == 0 &&
              task.m_state == jobs::TaskState::kAssigned) {
            budget.Evict(task.m_runner, key);
          }
        }
      }
    }
    CPPUNIT_ASSERT(refusals > 1000);
  }

  void LooksAtEachTaskOncePerTick() {
    constexpr std::uint16_t kTasks = 30;
    AcceptJob(1, kTasks, 1);
    AvailabilityBudget budget(*m_state, *m_dispatcher);
    for (std::uint64_t tick = 1; tick <= 3; ++tick) {
      budget.BeginTick(m_now);
      for (std::uint16_t index = 0; index < kTasks; ++index) {
        budget.MayEvict({1, 0, 0, index});
      }
      CPPUNIT_ASSERT(budget.checked_tasks() <= tick * kTasks);
    }
  }

 private:
  static std::string RunnerId(int number) {
    return "r" + std::to_string(number);
  }

  template <typename Command>
  void Apply(Command command) {
    wire::WorkCommandT wrapped;
    wrapped.time_ms = kNowMs;
    wrapped.body.Set(std::move(command));
    m_dispatcher->OnApplied(m_state->Apply(wrapped, ++m_index), m_now);
  }

  void AcceptJob(jobs::JobId id, std::uint32_t tasks, std::uint32_t may_miss) {
    wire::AcceptJobT accept;
    accept.queue = "queue";
    accept.job = std::make_unique<wire::JobSpecT>();
    accept.job->id = jobs::JobIdText(id);
    auto step = std::make_unique<wire::StepSpecT>();
    step->count = tasks;
    step->lasting = true;
    step->may_miss = may_miss;
    accept.job->steps.push_back(std::move(step));
    Apply(std::move(accept));
  }

  jobs::TaskKey RandomTask(std::mt19937_64& random) const {
    const jobs::JobId id = 1 + random() % 3;
    const std::size_t tasks =
        m_state->FindJob(id)->m_occurrences.at(0).m_steps[0].m_tasks.size();
    return {id, 0, 0, static_cast<std::uint16_t>(random() % tasks)};
  }

  void AssignSomeTasks(std::mt19937_64& random) {
    for (int i = 0; i < 30; ++i) {
      const jobs::TaskKey key = RandomTask(random);
      const jobs::Task& task = *m_state->FindJob(key.m_job)->FindTask(key);
      if (task.m_state == jobs::TaskState::kWaiting) {
        wire::AssignRunsT assign;
        assign.runner = RunnerId(static_cast<int>(random() % kRunners));
        assign.born_ms = kBornMs;
        assign.tasks.push_back(jobs::ToWire({key, task.m_run + 1}));
        Apply(std::move(assign));
      }
    }
  }

  // Runners that don't answer report nothing; others report most of their runs
  // at full progress.
  void AnswerSomeCalls(std::mt19937_64& random) {
    m_dispatcher->Tick(m_now);
    for (const runs::RunnerCall& call : m_dispatcher->TakeOutgoingCalls()) {
      runs::RunnerAnswer answer;
      if (random() % 4 != 0) {
        answer.m_kind = runs::AnswerKind::kOk;
        answer.m_clock_ms = static_cast<std::uint64_t>(
            std::chrono::duration_cast<Millis>(m_now.time_since_epoch())
                .count());
        auto& running = m_running[call.m_runner];
        if (call.m_kind == runs::CallKind::kStart) {
          running[call.m_run.m_task] = call.m_run.m_run;
        }
        if (call.m_kind == runs::CallKind::kHold) {
          for (const auto& [task, run] : running) {
            runs::ReportedRun& report = answer.m_running.emplace_back();
            report.m_run = {task, run};
            report.m_percent = random() % 6 == 0 ? 50 : 100;
          }
        }
      }
      m_dispatcher->OnAnswer(call, answer, m_now);
    }
    m_dispatcher->TakeCommands();
  }

  bool IsAvailable(const jobs::TaskKey& key, const jobs::Task& task) const {
    const runs::RunnerLink* const link =
        task.m_state == jobs::TaskState::kAssigned
            ? m_dispatcher->FindLink(task.m_runner)
            : nullptr;
    if (link == nullptr) {
      return false;
    }
    const auto run = link->m_tracked_runs.find(key);
    return run != link->m_tracked_runs.end() && !run->second.m_stop_requested &&
           run->second.m_state == runs::TrackedRunState::kStarted &&
           run->second.m_progress >= 100 &&
           m_now < run->second.m_reported_at + Millis(2500);
  }

  bool MayEvictByScan(const jobs::TaskKey& key) const {
    const std::uint32_t may_miss = m_state->FindStep(key)->may_miss;
    if (may_miss == 0) {
      return true;
    }
    const auto& tasks =
        m_state->FindJob(key.m_job)->m_occurrences.at(0).m_steps[0].m_tasks;
    std::uint32_t unavailable = 0;
    for (std::uint16_t index = 0; index < tasks.size(); ++index) {
      jobs::TaskKey other = key;
      other.m_index = index;
      unavailable +=
          index == key.m_index || IsAvailable(other, tasks[index]) ? 0 : 1;
    }
    return unavailable < may_miss;
  }

  Instant m_now;
  std::unique_ptr<jobs::WorkState> m_state;
  std::unique_ptr<runs::Dispatcher> m_dispatcher;
  std::uint64_t m_index = 0;
  // By runner: its running runs by task.
  std::map<std::string, std::map<jobs::TaskKey, std::uint32_t>> m_running;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AvailabilityBudgetTest);

}  // namespace
}  // namespace bronzebarrow::node
