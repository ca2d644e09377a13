// The order of waiting jobs, the choice of runners, and pools that follow the
// demand.
#include "bronzebarrow/placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace bronzebarrow::placement {
namespace {

constexpr std::uint64_t kNowMs = 1'700'000'000'000;
constexpr std::int64_t kMachine = 16'000;

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(OverloadServesOnTimeJobsFirst);
  CPPUNIT_TEST(LastingTasksShareMachinesOneOfAStepEach);
  CPPUNIT_TEST(ShortTasksFillAMachineBeforeTheNext);
  CPPUNIT_TEST(NothingGoesWhereItDoesNotFit);
  CPPUNIT_TEST(GangsAreWholeOrNotAtAll);
  CPPUNIT_TEST(LaterStepsWaitForEarlierOnes);
  CPPUNIT_TEST(ShortPoolTakesIdleThenRestingThenBusyMachines);
  CPPUNIT_TEST(CalmPoolRestsOnlyIdleMachines);
  CPPUNIT_TEST(ShortPoolsDoNotGiveMachinesAway);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_state = std::make_unique<jobs::WorkState>();
    m_index = 0;
    wire::PutConfigT put;
    put.config = std::make_unique<wire::FleetConfigT>();
    put.config->version = 1;
    put.config->pools.push_back(std::make_unique<wire::PoolSpecT>());
    put.config->pools.back()->name = "pool";
    put.config->queues.push_back(std::make_unique<wire::QueueSpecT>());
    wire::QueueSpecT& queue = *put.config->queues.back();
    queue.name = "queue";
    queue.pool = "pool";
    queue.path_prefix = "/q/";
    queue.attempts = 2;
    queue.slack_factor = 1.6;
    queue.objective_ms = 600;
    queue.timeout_ms = 3000;
    Apply(std::move(put), kNowMs);
    for (int i = 0; i < 3; ++i) {
      wire::RegisterRunnerT runner;
      runner.runner = std::make_unique<wire::RunnerRecordT>();
      runner.runner->id = "r" + std::to_string(i);
      runner.runner->machine = "m" + std::to_string(i);
      runner.runner->pool = "pool";
      runner.runner->labels = {"a", "rack" + std::to_string(i / 2)};
      runner.runner->cpu_milli = kMachine;
      runner.runner->memory_mb = 64'000;
      Apply(std::move(runner), kNowMs);
    }
  }

  // Load pattern: a burst of five times the mean leaves a backlog; the oldest
  // jobs cannot be on time any more, the new ones can.
  void OverloadServesOnTimeJobsFirst() {
    Submit(1, Step(1), kNowMs - 20'000);
    Submit(2, Step(1), kNowMs - 3'000);
    Submit(3, Step(1), kNowMs - 100);
    const auto ranked = RankJobs(*m_state, kNowMs);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, ranked.size());
    CPPUNIT_ASSERT_EQUAL(jobs::JobId{3}, ranked[0].m_job->m_id);
    CPPUNIT_ASSERT_EQUAL(jobs::JobId{2}, ranked[1].m_job->m_id);
    CPPUNIT_ASSERT(ranked[2].m_standing == Standing::kHopeless);
  }

  // Load pattern: several small jobs that last; spread over all machines they
  // would keep every machine from changing its pool.
  void LastingTasksShareMachinesOneOfAStepEach() {
    for (jobs::JobId id = 1; id <= 3; ++id) {
      auto step = Step(2);
      step->lasting = true;
      step->max_per_runner = 1;
      Submit(id, std::move(step), kNowMs);
    }
    const auto runs = PlanNow();
    std::set<std::string> used;
    for (const auto& [task, runner] : runs) {
      used.insert(runner);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, runs.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, used.size());
  }

  void ShortTasksFillAMachineBeforeTheNext() {
    Submit(1, Step(8), kNowMs);
    const auto runs = PlanNow();
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, runs.size());
    for (const auto& [task, runner] : runs) {
      CPPUNIT_ASSERT_EQUAL(runs.begin()->second, runner);
    }
  }

  void NothingGoesWhereItDoesNotFit() {
    Submit(1, Step(100), kNowMs);
    std::map<std::string, std::int64_t> used;
    for (const auto& [task, runner] : PlanNow()) {
      used[runner] += kTaskMilli;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, used.size());
    for (const auto& [runner, milli] : used) {
      CPPUNIT_ASSERT_EQUAL(kMachine, milli);
    }
  }

  void GangsAreWholeOrNotAtAll() {
    auto large = Step(60);
    large->gang = true;
    auto small = Step(5);
    small->gang = true;
    Submit(1, std::move(large), kNowMs);
    Submit(2, std::move(small), kNowMs);
    const auto runs = PlanNow();
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, runs.size());
    for (const auto& [task, runner] : runs) {
      CPPUNIT_ASSERT_EQUAL(jobs::JobId{2}, task.m_job);
    }
  }

  void LaterStepsWaitForEarlierOnes() {
    auto second = Step(3);
    second->depends_on = {0};
    std::vector<std::unique_ptr<wire::StepSpecT>> steps;
    steps.push_back(Step(2));
    steps.push_back(std::move(second));
    Submit(1, std::move(steps), kNowMs);
    const auto runs = PlanNow();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runs.size());
    for (const auto& [task, runner] : runs) {
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, task.m_step);
    }
  }

  // Load pattern: the turn goes from pool a to pool b.
  void ShortPoolTakesIdleThenRestingThenBusyMachines() {
    PoolLoad a = Load("a", 4, 20'000, 0);
    a.m_movable = {{"busy", 9'000}, {"idle", 0}};
    const PoolLoad b = Load("b", 1, kMachine, 3 * kMachine);
    PoolLoad rest = Load("rest", 0, 0, 0);
    rest.m_standby = true;
    rest.m_movable = {{"resting", 0}};
    const auto moves = Balance({a, b, rest}, BalanceOptions());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, moves.size());
    CPPUNIT_ASSERT_EQUAL(std::string("idle"), moves[0].m_machine);
    CPPUNIT_ASSERT_EQUAL(std::string("resting"), moves[1].m_machine);
    CPPUNIT_ASSERT_EQUAL(std::string("busy"), moves[2].m_machine);
    for (const PoolMove& move : moves) {
      CPPUNIT_ASSERT_EQUAL(std::string("b"), move.m_to);
    }
  }

  void CalmPoolRestsOnlyIdleMachines() {
    PoolLoad a = Load("a", 6, 4'000, 0);
    a.m_movable = {{"busy", 4'000}, {"idle", 0}};
    PoolLoad rest = Load("rest", 0, 0, 0);
    rest.m_standby = true;
    CPPUNIT_ASSERT(Balance({a, rest}, BalanceOptions()).empty());
    a.m_calm_ms = 10'000;
    const auto moves = Balance({a, rest}, BalanceOptions());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, moves.size());
    CPPUNIT_ASSERT_EQUAL(std::string("idle"), moves[0].m_machine);
    CPPUNIT_ASSERT_EQUAL(std::string("rest"), moves[0].m_to);
  }

  void ShortPoolsDoNotGiveMachinesAway() {
    PoolLoad a = Load("a", 2, 2 * kMachine, kMachine);
    a.m_movable = {{"m", kMachine}};
    const PoolLoad b = Load("b", 1, kMachine, 9 * kMachine);
    CPPUNIT_ASSERT(Balance({a, b}, BalanceOptions()).empty());
  }

 private:
  static constexpr std::int64_t kTaskMilli = 1'000;

  static PoolLoad Load(const std::string& name, std::int64_t machines,
                       std::int64_t used, std::int64_t ready) {
    PoolLoad load;
    load.m_pool = name;
    load.m_machine_milli = kMachine;
    load.m_machines = machines;
    load.m_used_milli = used;
    load.m_ready_milli = ready;
    return load;
  }

  static std::unique_ptr<wire::StepSpecT> Step(std::uint32_t count) {
    auto step = std::make_unique<wire::StepSpecT>();
    step->count = count;
    step->cpu_milli = kTaskMilli;
    step->memory_mb = 100;
    step->estimate_ms = 500;
    return step;
  }

  template <typename Command>
  void Apply(Command command, std::uint64_t time_ms) {
    wire::WorkCommandT wrapped;
    wrapped.time_ms = time_ms;
    wrapped.body.Set(std::move(command));
    m_state->Apply(wrapped, ++m_index);
  }

  void Submit(jobs::JobId id,
              std::vector<std::unique_ptr<wire::StepSpecT>> steps,
              std::uint64_t time_ms) {
    // One occurrence, due at that time: its age counts from there.
    wire::AcceptJobT accept;
    accept.queue = "queue";
    accept.job = std::make_unique<wire::JobSpecT>();
    accept.job->id = jobs::JobIdText(id);
    accept.job->start_at_ms = time_ms;
    accept.job->times = 1;
    accept.job->steps = std::move(steps);
    Apply(std::move(accept), kNowMs);
    wire::OpenOccurrencesT open;
    open.job = id;
    open.up_to = 1;
    Apply(open, kNowMs);
  }
  void Submit(jobs::JobId id, std::unique_ptr<wire::StepSpecT> step,
              std::uint64_t time_ms) {
    std::vector<std::unique_ptr<wire::StepSpecT>> steps;
    steps.push_back(std::move(step));
    Submit(id, std::move(steps), time_ms);
  }

  std::map<jobs::TaskKey, std::string> PlanNow() {
    PlanInput input(*m_state);
    input.m_now_ms = kNowMs;
    input.m_is_usable = [](const std::string&) { return true; };
    std::map<jobs::TaskKey, std::string> runs;
    for (const Placement& placement : Plan(input)) {
      for (const jobs::RunKey& run : placement.m_runs) {
        runs[run.m_task] = placement.m_runner;
      }
    }
    return runs;
  }

  std::unique_ptr<jobs::WorkState> m_state;
  std::uint64_t m_index = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

}  // namespace
}  // namespace bronzebarrow::placement
