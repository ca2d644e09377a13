// Tests the ranking of waiting jobs, the choice of runners and the rebalancing
// of pools.
#include "bronzebarrow/placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace bronzebarrow::placement {
namespace {

constexpr std::uint64_t kNowMs = 1'700'000'000'000;
constexpr std::int64_t kMachineMilli = 16'000;

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(OverloadServesOnTimeJobsFirst);
  CPPUNIT_TEST(LongRunningTasksOfDifferentJobsShareMachines);
  CPPUNIT_TEST(ShortTasksArePackedOnOneMachine);
  CPPUNIT_TEST(PlanStaysWithinRunnerCapacity);
  CPPUNIT_TEST(GangsArePlacedAllOrNothing);
  CPPUNIT_TEST(LongRunningTasksAreNotStarvedByShortTasks);
  CPPUNIT_TEST(LongRunningTaskThatFitsNowhereKeepsNoRunnerIdle);
  CPPUNIT_TEST(LongRunningTaskStartsOnRunnerReservedForAnother);
  CPPUNIT_TEST(PoolsKeepTheMachinesThatOneStepNeeds);
  CPPUNIT_TEST(StepsWaitForTheirDependencies);
  CPPUNIT_TEST(PoolShortOfCapacityTakesIdleThenParkedThenBusyMachines);
  CPPUNIT_TEST(DemandPeakGetsMachinesAheadOfItsGrowth);
  CPPUNIT_TEST(IdleMachinesMoveToThePoolOfTheNextDemandPeak);
  CPPUNIT_TEST(LateJobsKeepNoMachinesFromAnotherPeak);
  CPPUNIT_TEST(ShortPoolsShareMachinesByNeed);
  CPPUNIT_TEST(PoolWithoutBacklogParksOnlyIdleMachines);
  CPPUNIT_TEST(PoolsShortOfCapacityKeepTheirMachines);
  CPPUNIT_TEST(RunnerThatShrankTakesNothingUntilItFits);
  CPPUNIT_TEST(SuspectIsTriedWithoutOtherNewRuns);
  CPPUNIT_TEST(JobsStartApartAfterCrashesAtStarts);
  CPPUNIT_TEST(SuspectThatMayBeABystanderIsTriedFirst);
  CPPUNIT_TEST(LikelyCauseIsTriedByAThirdOfThePool);
  CPPUNIT_TEST(SuspectThatHasWaitedIsTriedOnAnIdleRunner);
  CPPUNIT_TEST(SuspectsOfOlderCrashesShareATrial);
  CPPUNIT_TEST(TrialWaitsUntilTheOtherRunsHaveSettled);
  CPPUNIT_TEST(TrialsLeaveThePoolMostOfItsRunners);
  CPPUNIT_TEST(PauseGrowsWithTheCostOfAPlan);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_state = std::make_unique<jobs::WorkState>();
    m_log_index = 0;
    m_trying.clear();
    m_unsettled.clear();
    m_crashed = 0;
    m_plan_ms = kNowMs;
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
      runner.runner->cpu_milli = kMachineMilli;
      runner.runner->memory_mb = kMachineMemoryMb;
      Apply(std::move(runner), kNowMs);
    }
  }

  // Load pattern: a burst of five times the mean leaves a backlog. The oldest
  // jobs can no longer meet their objective; the new ones can if served first.
  void OverloadServesOnTimeJobsFirst() {
    Submit(1, MakeStep(1), kNowMs - 20'000);
    Submit(2, MakeStep(1), kNowMs - 3'000);
    Submit(3, MakeStep(1), kNowMs - 100);
    const auto ranked = RankJobs(*m_state, kNowMs);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, ranked.size());
    CPPUNIT_ASSERT_EQUAL(jobs::JobId{3}, ranked[0].m_job->m_id);
    CPPUNIT_ASSERT_EQUAL(jobs::JobId{2}, ranked[1].m_job->m_id);
    CPPUNIT_ASSERT(ranked[2].m_status == ObjectiveStatus::kExpired);
  }

  // Load pattern: several small long-running jobs. Spread over all machines,
  // they would keep every machine from changing its pool.
  void LongRunningTasksOfDifferentJobsShareMachines() {
    for (jobs::JobId id = 1; id <= 3; ++id) {
      auto step = MakeStep(2);
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

  void ShortTasksArePackedOnOneMachine() {
    Submit(1, MakeStep(8), kNowMs);
    const auto runs = PlanNow();
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, runs.size());
    for (const auto& [task, runner] : runs) {
      CPPUNIT_ASSERT_EQUAL(runs.begin()->second, runner);
    }
  }

  void PlanStaysWithinRunnerCapacity() {
    Submit(1, MakeStep(100), kNowMs);
    std::map<std::string, std::int64_t> used;
    for (const auto& [task, runner] : PlanNow()) {
      used[runner] += kTaskMilli;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, used.size());
    for (const auto& [runner, milli] : used) {
      CPPUNIT_ASSERT_EQUAL(kMachineMilli, milli);
    }
  }

  void GangsArePlacedAllOrNothing() {
    auto large = MakeStep(60);
    large->gang = true;
    auto small = MakeStep(5);
    small->gang = true;
    Submit(1, std::move(large), kNowMs);
    Submit(2, std::move(small), kNowMs);
    const auto runs = PlanNow();
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, runs.size());
    for (const auto& [task, runner] : runs) {
      CPPUNIT_ASSERT_EQUAL(jobs::JobId{2}, task.m_job);
    }
  }

  // Load pattern: a backlog of small tasks takes all capacity as soon as it is
  // freed, while a long-running task that was stopped for upkeep needs the
  // capacity of several of them. Without a reservation it waited for 50 s on
  // the day "albergue grown, trouble-1" of the users' test bench.
  void LongRunningTasksAreNotStarvedByShortTasks() {
    Submit(1, MakeStep(3 * kMachineMilli / kTaskMilli), kNowMs);
    const auto full = PlanNow();
    Assign(full);
    auto lasting = MakeStep(1);
    lasting->lasting = true;
    lasting->cpu_milli = 2 * kTaskMilli;
    Submit(2, std::move(lasting), kNowMs);
    Submit(3, MakeStep(50), kNowMs);
    std::vector<jobs::TaskKey> first_runner_tasks;
    for (const auto& [task, runner] : full) {
      if (runner == full.begin()->second) {
        first_runner_tasks.push_back(task);
      }
    }
    EndRun(first_runner_tasks[0], full.begin()->second);
    CPPUNIT_ASSERT(PlanNow().empty());
    EndRun(first_runner_tasks[1], full.begin()->second);
    const auto runs = PlanNow();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs.size());
    CPPUNIT_ASSERT_EQUAL(jobs::JobId{2}, runs.begin()->first.m_job);
  }

  // Guards against reserving runners whose long-running tasks leave too little
  // memory for the waiting task: with one reserved for each waiting job, no
  // runner of the pool gets any work.
  void LongRunningTaskThatFitsNowhereKeepsNoRunnerIdle() {
    FillMemoryWithLongRunningTasks(1'000);
    for (jobs::JobId id = 2; id <= 4; ++id) {
      auto large = MakeLongRunningStep(kMachineMemoryMb);
      large->max_per_runner = 1;
      Submit(id, std::move(large), kNowMs);
    }
    Submit(5, MakeLongRunningStep(100), kNowMs);
    Submit(6, MakeStep(1), kNowMs);
    const auto runs = PlanNow();
    CPPUNIT_ASSERT(runs.contains({5, 0, 0, 0}));
    CPPUNIT_ASSERT(runs.contains({6, 0, 0, 0}));
  }

  // Guards against a long-running task that waits although a runner has room
  // for it, because the room is kept for a task that does not fit yet.
  void LongRunningTaskStartsOnRunnerReservedForAnother() {
    Submit(1, MakeStep(3 * kMachineMilli / kTaskMilli - 3), kNowMs);
    Assign(PlanNow());
    for (jobs::JobId id = 2; id <= 4; ++id) {
      auto wide = MakeLongRunningStep(100);
      wide->cpu_milli = 4 * kTaskMilli;
      Submit(id, std::move(wide), kNowMs);
    }
    Submit(5, MakeLongRunningStep(100), kNowMs);
    CPPUNIT_ASSERT(PlanNow().contains({5, 0, 0, 0}));
  }

  // Load pattern: 24 long-running tasks, one per machine, in a pool that gave
  // its machines away between demand peaks. A task whose run ended then found
  // no machine without another task of its step.
  void PoolsKeepTheMachinesThatOneStepNeeds() {
    auto limited = MakeStep(7);
    limited->lasting = true;
    limited->max_per_runner = 2;
    Submit(1, std::move(limited), kNowMs);
    const auto demands = DemandByPool(*m_state, kNowMs);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, demands.at("pool").m_spread_machines);
    PoolLoad a = MakeLoad("a", 3, 3 * kTaskMilli, kTaskMilli);
    a.m_spread_machines = demands.at("pool").m_spread_machines;
    PoolLoad standby = MakeLoad("rest", 0, 0, 0);
    standby.m_standby = true;
    standby.m_movable = {{"one", 0}, {"two", 0}};
    const auto moves = RebalancePools({a, standby}, BalanceOptions());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, moves.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), moves[0].m_to);
  }

  void StepsWaitForTheirDependencies() {
    auto second = MakeStep(3);
    second->depends_on = {0};
    std::vector<std::unique_ptr<wire::StepSpecT>> steps;
    steps.push_back(MakeStep(2));
    steps.push_back(std::move(second));
    Submit(1, std::move(steps), kNowMs);
    const auto runs = PlanNow();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runs.size());
    for (const auto& [task, runner] : runs) {
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, task.m_step);
    }
  }

  // Load pattern: the demand peak moves from pool a to pool b.
  void PoolShortOfCapacityTakesIdleThenParkedThenBusyMachines() {
    PoolLoad a = MakeLoad("a", 4, 20'000, 0);
    a.m_movable = {{"busy", 9'000}, {"idle", 0}};
    const PoolLoad b = MakeLoad("b", 1, kMachineMilli, 3 * kMachineMilli);
    PoolLoad standby = MakeLoad("rest", 0, 0, 0);
    standby.m_standby = true;
    standby.m_movable = {{"resting", 0}};
    const auto moves = RebalancePools({a, b, standby}, BalanceOptions());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, moves.size());
    CPPUNIT_ASSERT_EQUAL(std::string("idle"), moves[0].m_machine);
    CPPUNIT_ASSERT_EQUAL(std::string("resting"), moves[1].m_machine);
    CPPUNIT_ASSERT_EQUAL(std::string("busy"), moves[2].m_machine);
    for (const PoolMove& move : moves) {
      CPPUNIT_ASSERT_EQUAL(std::string("b"), move.m_to);
    }
  }

  // Load pattern: a demand peak begins and grows for seconds. Machines
  // requested only for the tasks that wait already arrive too late for the
  // tasks that come meanwhile.
  void DemandPeakGetsMachinesAheadOfItsGrowth() {
    PoolLoad past_peak = MakeLoad("over", 12, 0, 0);
    for (int i = 0; i < 10; ++i) {
      past_peak.m_movable.push_back({"o" + std::to_string(i), 0});
    }
    const PoolLoad at_peak =
        MakeLoad("begins", 2, 2 * kMachineMilli, 3 * kMachineMilli);
    // Two machines in use, six for twice the ready demand and one in reserve.
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{7},
        RebalancePools({past_peak, at_peak}, BalanceOptions()).size());
  }

  // Load pattern: the demand of four queues peaks in turn for 5 s each. At the
  // start of its peak a pool had 10 of the 170 machines that it needed; the
  // others arrived one move later.
  void IdleMachinesMoveToThePoolOfTheNextDemandPeak() {
    PoolLoad past_peak = MakeLoad("over", 9, 4'000, 0);
    past_peak.m_peak_age_ms = 1500;
    past_peak.m_no_backlog_ms = 1500;
    past_peak.m_movable = {
        {"o1", 0}, {"o2", 0}, {"o3", 0}, {"o4", 0}, {"o5", 4000}};
    PoolLoad first = MakeLoad("first", 2, 0, 0);
    PoolLoad second = MakeLoad("second", 4, 0, 0);
    PoolLoad standby = MakeLoad("rest", 0, 0, 0);
    standby.m_standby = true;
    const auto count = [](const std::vector<PoolMove>& moves,
                          const std::string& pool) {
      return std::count_if(moves.begin(), moves.end(),
                           [&](const auto& move) { return move.m_to == pool; });
    };
    // Neither had a demand peak yet: they end up with equal numbers of
    // machines.
    auto moves =
        RebalancePools({past_peak, first, second, standby}, BalanceOptions());
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{3}, count(moves, "first"));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, count(moves, "second"));
    // A pool that had its peak already is expected to have the next one last.
    second.m_peak_age_ms = 9000;
    moves =
        RebalancePools({past_peak, first, second, standby}, BalanceOptions());
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{4}, count(moves, "first"));
    first.m_peak_age_ms = 5000;
    moves =
        RebalancePools({past_peak, first, second, standby}, BalanceOptions());
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{4}, count(moves, "second"));
    // No backlog for a long time: the machines are parked.
    past_peak.m_no_backlog_ms = first.m_no_backlog_ms = second.m_no_backlog_ms =
        30'000;
    moves =
        RebalancePools({past_peak, first, second, standby}, BalanceOptions());
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{4}, count(moves, "rest"));
  }

  // Load pattern: the peak of one queue begins while the pool of the last peak
  // still works off jobs that are late.
  void LateJobsKeepNoMachinesFromAnotherPeak() {
    PoolLoad late = MakeLoad("late", 4, 4 * kMachineMilli, 0);
    late.m_late_used_milli = 4 * kMachineMilli;
    late.m_late_milli = 9 * kMachineMilli;
    late.m_movable = {{"a", kMachineMilli}, {"b", kMachineMilli}};
    const PoolLoad at_peak =
        MakeLoad("peak", 2, 2 * kMachineMilli, 3 * kMachineMilli);
    const auto moves = RebalancePools({late, at_peak}, BalanceOptions());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, moves.size());
    CPPUNIT_ASSERT_EQUAL(std::string("peak"), moves[0].m_to);
  }

  // Load pattern: one peak goes over into the next, and neither pool has
  // enough; the demand of rejected jobs counts.
  void ShortPoolsShareMachinesByNeed() {
    PoolLoad first = MakeLoad("first", 8, 8 * kMachineMilli, 1 * kMachineMilli);
    for (int i = 0; i < 8; ++i) {
      first.m_movable.push_back({"f" + std::to_string(i), kMachineMilli});
    }
    PoolLoad second = MakeLoad("second", 2, 2 * kMachineMilli, 0);
    second.m_rejected_milli = 4 * kMachineMilli;
    const auto moves = RebalancePools({first, second}, BalanceOptions());
    CPPUNIT_ASSERT(!moves.empty());
    for (const PoolMove& move : moves) {
      CPPUNIT_ASSERT_EQUAL(std::string("second"), move.m_to);
    }
    CPPUNIT_ASSERT(moves.size() <= 4);
  }

  void PoolWithoutBacklogParksOnlyIdleMachines() {
    PoolLoad a = MakeLoad("a", 6, 4'000, 0);
    a.m_movable = {{"busy", 4'000}, {"idle", 0}};
    PoolLoad standby = MakeLoad("rest", 0, 0, 0);
    standby.m_standby = true;
    CPPUNIT_ASSERT(RebalancePools({a, standby}, BalanceOptions()).empty());
    a.m_no_backlog_ms = 21'000;  // No backlog for that long.
    const auto moves = RebalancePools({a, standby}, BalanceOptions());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, moves.size());
    CPPUNIT_ASSERT_EQUAL(std::string("idle"), moves[0].m_machine);
    CPPUNIT_ASSERT_EQUAL(std::string("rest"), moves[0].m_to);
  }

  void PoolsShortOfCapacityKeepTheirMachines() {
    PoolLoad a = MakeLoad("a", 2, 2 * kMachineMilli, kMachineMilli);
    a.m_movable = {{"m", kMachineMilli}};
    const PoolLoad b = MakeLoad("b", 1, kMachineMilli, 9 * kMachineMilli);
    CPPUNIT_ASSERT(RebalancePools({a, b}, BalanceOptions()).empty());
  }

  void RunnerThatShrankTakesNothingUntilItFits() {
    Submit(1, MakeStep(10), kNowMs);
    const auto runs = PlanNow();
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, runs.size());
    const std::string shrunk = runs.begin()->second;
    Assign(runs);
    Resize(shrunk, 8 * kTaskMilli);
    Submit(2, MakeStep(200), kNowMs);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountRunsOn(shrunk));
    for (std::uint16_t index = 0; index < 3; ++index) {
      EndRun({1, 0, 0, index}, shrunk);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountRunsOn(shrunk));
    Resize(shrunk, 12 * kTaskMilli);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, CountRunsOn(shrunk));
  }

  // Load pattern: a task crashes each runner while the queue has a backlog that
  // would fill any runner.
  void SuspectIsTriedWithoutOtherNewRuns() {
    MakeSuspects(1);
    Submit(9, MakeStep(20), kNowMs);
    const auto runs = PlanNow();
    const std::string tried_on = runs.at({1, 0, 0, 0});
    CPPUNIT_ASSERT_EQUAL(std::size_t{21}, runs.size());
    for (const auto& [task, runner] : runs) {
      CPPUNIT_ASSERT((task.m_job == 1) == (runner == tried_on));
    }
    // Others start there again when the trial is over, and none before.
    m_trying = {tried_on};
    for (const auto& [task, runner] : PlanNow()) {
      CPPUNIT_ASSERT(runner != tried_on);
    }
  }

  void TrialWaitsUntilTheOtherRunsHaveSettled() {
    MakeSuspects(1);
    Submit(9, MakeStep(90), kNowMs);
    m_unsettled = {"r0", "r1", "r2"};
    std::set<std::string> used;
    const auto runs = PlanNow();
    for (const auto& [task, runner] : runs) {
      used.insert(runner);
    }
    CPPUNIT_ASSERT(!runs.contains({1, 0, 0, 0}));
    // One runner settles meanwhile because it gets nothing.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, used.size());
    m_unsettled = {"r0", "r2"};
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), PlanNow().at({1, 0, 0, 0}));
  }

  // Load pattern: several such jobs at once in a small pool.
  void TrialsLeaveThePoolMostOfItsRunners() {
    MakeSuspects(3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, PlanNow().size());
    m_trying = {"r0"};
    CPPUNIT_ASSERT(PlanNow().empty());
    m_trying.clear();
    m_crashed = 1;
    CPPUNIT_ASSERT(PlanNow().empty());
  }

  // Load pattern: some jobs crash runners at their start, and the others that
  // have just started beside them are suspects as well.
  void JobsStartApartAfterCrashesAtStarts() {
    for (jobs::JobId id = 1; id <= 4; ++id) {
      Submit(id, MakeStep(2), kNowMs);
    }
    m_keeps_jobs_apart = true;
    m_starting = {{"r0", {1}}, {"r1", {8, 9}}};
    std::map<std::string, std::set<jobs::JobId>> jobs_on;
    for (const auto& [task, runner] : PlanNow()) {
      jobs_on[runner].insert(task.m_job);
    }
    CPPUNIT_ASSERT(jobs_on["r0"] == std::set<jobs::JobId>{1} ||
                   jobs_on["r0"].empty());
    CPPUNIT_ASSERT(jobs_on["r1"].empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, jobs_on["r2"].size());
    m_keeps_jobs_apart = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, PlanNow().size());
  }

  // Guards against bystanders that wait behind tasks that crash runner after
  // runner.
  void SuspectThatMayBeABystanderIsTriedFirst() {
    MakeSuspects(1);
    MakeSuspectsOfOneCrash({2, 3});
    const auto runs = PlanNow();
    CPPUNIT_ASSERT(!runs.contains({1, 0, 0, 0}));
    CPPUNIT_ASSERT(runs.contains({2, 0, 0, 0}));
  }

  // Guards against a new task that brings down one more runner when half of the
  // pool is down already.
  void LikelyCauseIsTriedByAThirdOfThePool() {
    MakeSuspects(1);
    m_crashed = 2;  // Of five.
    CPPUNIT_ASSERT(PlanNow().empty());
    m_crashed = 1;
    m_keeps_jobs_apart = true;
    CPPUNIT_ASSERT(PlanNow().empty());
    m_keeps_jobs_apart = false;
    m_crashed = 0;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, PlanNow().size());
  }

  // Guards against tasks at fault that are not tried again within the time that
  // their callers wait, because a pool that has become small tries one at a
  // time.
  void SuspectThatHasWaitedIsTriedOnAnIdleRunner() {
    const jobs::TaskKey suspect = {1, 0, 0, 0};
    MakeSuspects(1);
    m_crashed = 2;  // Of five.
    m_plan_ms = kNowMs + 4'900;
    CPPUNIT_ASSERT(PlanNow().empty());
    m_plan_ms = kNowMs + 5'000;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, PlanNow().size());
    m_crashed = 6;  // Of nine.
    CPPUNIT_ASSERT(PlanNow().empty());
    m_crashed = 2;
    for (jobs::JobId id = 2; id <= 4; ++id) {
      Submit(id, MakeStep(1), kNowMs);
      Assign({{{id, 0, 0, 0}, "r" + std::to_string(id - 2)}});
    }
    CPPUNIT_ASSERT(PlanNow().empty());
    EndRun({2, 0, 0, 0}, "r0");
    CPPUNIT_ASSERT_EQUAL(std::string("r0"), PlanNow().at(suspect));
    // Fits on the other runners.
    Submit(5, MakeStep(1), kNowMs);
    CPPUNIT_ASSERT_EQUAL(std::string("r0"), PlanNow().at(suspect));
    // Does not.
    Submit(6, MakeStep(200), kNowMs);
    CPPUNIT_ASSERT(!PlanNow().contains(suspect));
  }

  // Load pattern: runners crash by themselves so often that many tasks have
  // seen three crashes, each some time after the start.
  void SuspectsOfOlderCrashesShareATrial() {
    std::vector<jobs::JobId> ids;
    for (jobs::JobId id = 1; id <= 10; ++id) {
      Submit(id, MakeStep(1), kNowMs);
      ids.push_back(id);
    }
    for (std::uint32_t crash = 1; crash <= 3; ++crash) {
      CrashUnder(ids, crash, false);
    }
    std::map<std::string, std::size_t> tried;
    for (const auto& [task, runner] : PlanNow()) {
      ++tried[runner];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tried.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, tried.begin()->second);
  }

  // Load pattern: in a demand peak of a large site 1,000 jobs wait for 1,100
  // runners while each commit asks for another plan.
  void PauseGrowsWithTheCostOfAPlan() {
    PlanCost cost;
    CPPUNIT_ASSERT(PauseAfterPlan(cost) == kMinPlanInterval);
    cost = {.m_jobs = 1000, .m_runners = 1100, .m_candidates = 8000};
    CPPUNIT_ASSERT(PauseAfterPlan(cost) > kMinPlanInterval * 2);
    CPPUNIT_ASSERT(PauseAfterPlan(cost) < kMaxPlanInterval);
    cost.m_jobs = 100'000;
    CPPUNIT_ASSERT(PauseAfterPlan(cost) == kMaxPlanInterval);
    PlanInput input(*m_state);
    input.m_now_ms = kNowMs;
    input.m_is_usable = [](const jobs::Runner&) { return true; };
    CPPUNIT_ASSERT(PlanAssignments(input, &cost).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cost.m_runners + cost.m_jobs);
    Submit(1, MakeStep(2), kNowMs);
    Submit(2, MakeStep(2), kNowMs);
    CPPUNIT_ASSERT(!PlanAssignments(input, &cost).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cost.m_jobs);
    CPPUNIT_ASSERT_EQUAL(m_state->runners().size(), cost.m_runners);
    CPPUNIT_ASSERT_EQUAL(2 * m_state->runners().size(), cost.m_candidates);
  }

 private:
  static constexpr std::int64_t kTaskMilli = 1'000;
  static constexpr std::int64_t kMachineMemoryMb = 64'000;

  static PoolLoad MakeLoad(const std::string& name, std::int64_t machines,
                           std::int64_t used, std::int64_t ready) {
    PoolLoad load;
    load.m_pool = name;
    load.m_machine_milli = kMachineMilli;
    load.m_machines = machines;
    load.m_used_milli = used;
    load.m_ready_milli = ready;
    return load;
  }

  static std::unique_ptr<wire::StepSpecT> MakeStep(std::uint32_t count) {
    auto step = std::make_unique<wire::StepSpecT>();
    step->count = count;
    step->cpu_milli = kTaskMilli;
    step->memory_mb = 100;
    step->estimate_ms = 500;
    return step;
  }

  static std::unique_ptr<wire::StepSpecT> MakeLongRunningStep(
      std::int64_t memory_mb) {
    auto step = MakeStep(1);
    step->lasting = true;
    step->memory_mb = static_cast<std::uint32_t>(memory_mb);
    return step;
  }

  // Assigns one long-running task with this much memory to each runner.
  void FillMemoryWithLongRunningTasks(std::int64_t memory_mb) {
    auto step = MakeLongRunningStep(memory_mb);
    step->count = 3;
    step->max_per_runner = 1;
    Submit(1, std::move(step), kNowMs);
    const auto runs = PlanNow();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, runs.size());
    Assign(runs);
  }

  template <typename Command>
  void Apply(Command command, std::uint64_t time_ms) {
    wire::WorkCommandT wrapped;
    wrapped.time_ms = time_ms;
    wrapped.body.Set(std::move(command));
    m_state->Apply(wrapped, ++m_log_index);
  }

  void Submit(jobs::JobId id,
              std::vector<std::unique_ptr<wire::StepSpecT>> steps,
              std::uint64_t time_ms) {
    // One occurrence that is due at `time_ms`, from which its age counts.
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

  void Assign(const std::map<jobs::TaskKey, std::string>& runs) {
    for (const auto& [task, runner] : runs) {
      wire::AssignRunsT assign;
      assign.runner = runner;
      assign.tasks.push_back(jobs::ToWire({task, 1}));
      Apply(std::move(assign), kNowMs);
    }
  }
  void Resize(const std::string& runner, std::int64_t cpu_milli) {
    wire::RegisterRunnerT report;
    report.runner = std::make_unique<wire::RunnerRecordT>(
        m_state->FindRunner(runner)->m_record);
    report.runner->cpu_milli = static_cast<std::uint32_t>(cpu_milli);
    ++report.runner->sequence;
    Apply(std::move(report), kNowMs);
  }

  std::size_t CountRunsOn(const std::string& runner) {
    const auto runs = PlanNow();
    return static_cast<std::size_t>(
        std::count_if(runs.begin(), runs.end(),
                      [&](const auto& item) { return item.second == runner; }));
  }

  // Accepts jobs of one task each; the task's first run crashes its runner.
  void MakeSuspects(jobs::JobId count) {
    for (jobs::JobId id = 1; id <= count; ++id) {
      Submit(id, MakeStep(1), kNowMs);
      const jobs::TaskKey task = {id, 0, 0, 0};
      Assign({{task, "r0"}});
      const wire::RunnerRecordT record = m_state->FindRunner("r0")->m_record;
      wire::RemoveRunnerT remove;
      remove.runner = "r0";
      remove.new_runs = {jobs::ToWire({task, 1})};
      remove.conclusive = true;
      Apply(std::move(remove), kNowMs);
      wire::RegisterRunnerT again;
      again.runner = std::make_unique<wire::RunnerRecordT>(record);
      Apply(std::move(again), kNowMs);
    }
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(count),
                         m_state->suspects().size());
  }

  // The first runner crashes under run number `run` of the jobs' tasks and is
  // back.
  void CrashUnder(const std::vector<jobs::JobId>& jobs, std::uint32_t run,
                  bool just_started) {
    wire::AssignRunsT assign;
    assign.runner = "r0";
    wire::RemoveRunnerT remove;
    remove.runner = "r0";
    for (const jobs::JobId id : jobs) {
      const jobs::TaskKey task = {id, 0, 0, 0};
      assign.tasks.push_back(jobs::ToWire({task, run}));
      (just_started ? remove.new_runs : remove.older_runs)
          .push_back(jobs::ToWire({task, run}));
    }
    const wire::RunnerRecordT record = m_state->FindRunner("r0")->m_record;
    Apply(std::move(assign), kNowMs);
    Apply(std::move(remove), kNowMs);
    wire::RegisterRunnerT again;
    again.runner = std::make_unique<wire::RunnerRecordT>(record);
    Apply(std::move(again), kNowMs);
  }

  void MakeSuspectsOfOneCrash(const std::vector<jobs::JobId>& jobs) {
    for (const jobs::JobId id : jobs) {
      Submit(id, MakeStep(1), kNowMs);
    }
    CrashUnder(jobs, 1, true);
  }

  void EndRun(const jobs::TaskKey& task, const std::string& runner) {
    wire::EndRunsT ends;
    ends.runner = runner;
    ends.ends.push_back(std::make_unique<wire::RunEndT>());
    ends.ends.back()->task =
        std::make_unique<wire::TaskRef>(jobs::ToWire({task, 1}));
    ends.ends.back()->how = wire::EndKind::Done;
    Apply(std::move(ends), kNowMs);
  }

  std::map<jobs::TaskKey, std::string> PlanNow() {
    PlanInput input(*m_state);
    input.m_now_ms = m_plan_ms;
    input.m_is_usable = [](const jobs::Runner&) { return true; };
    input.m_is_trying = [this](const jobs::Runner& runner) {
      return m_trying.contains(runner.m_record.id);
    };
    input.m_has_unsettled_run = [this](const jobs::Runner& runner) {
      return m_unsettled.contains(runner.m_record.id);
    };
    input.m_keeps_jobs_apart = [this](const std::string&) {
      return m_keeps_jobs_apart;
    };
    input.m_starting_jobs = [this](const jobs::Runner& runner) {
      return m_starting[runner.m_record.id];
    };
    input.m_count_crashed = [this](const std::string&) { return m_crashed; };
    std::map<jobs::TaskKey, std::string> runs;
    for (const Placement& placement : PlanAssignments(input)) {
      for (const jobs::RunKey& run : placement.m_runs) {
        runs[run.m_task] = placement.m_runner;
      }
    }
    return runs;
  }

  std::unique_ptr<jobs::WorkState> m_state;
  std::uint64_t m_log_index = 0;
  std::set<std::string> m_trying;     // Runners that try a suspect.
  std::set<std::string> m_unsettled;  // Runners with a run that is new.
  std::size_t m_crashed = 0;          // Runners that are not back yet.
  std::uint64_t m_plan_ms = kNowMs;   // Unix time of the plans.
  bool m_keeps_jobs_apart = false;
  // Jobs that have just started, by runner.
  std::map<std::string, std::set<jobs::JobId>> m_starting;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

}  // namespace
}  // namespace bronzebarrow::placement
