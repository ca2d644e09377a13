// Tests what becomes of jobs while series of configurations remove, return,
// rename and exchange the routes that they were submitted to.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bronzebarrow/placement.h"
#include "bronzebarrow/wire/codec.h"
#include "fake_work_group.h"

namespace bronzebarrow::jobs {
namespace {

constexpr std::uint64_t kNowMs = 1'700'000'000'000;
constexpr std::uint64_t kSeeds = 300;
constexpr const char* kHost = "h.example";
const std::vector<std::string> prefixes = {"/a/", "/b/", "/c/"};

/** A queue of a configuration. */
struct Row {
  std::string m_name;
  std::string m_prefix;
  std::string m_pool;
};

class RouteSeriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteSeriesTest);
  CPPUNIT_TEST(NamesThatChangePlacesMoveNoJob);
  CPPUNIT_TEST(ReusedNameTakesNoJob);
  CPPUNIT_TEST(QueueWithoutARouteKeepsItsLastPool);
  CPPUNIT_TEST(RouteThatComesBackWithAnotherPoolTakesItsJobs);
  CPPUNIT_TEST(FormerQueueGoesWithItsLastJob);
  CPPUNIT_TEST(JobOfARemovedQueueIsNotAccepted);
  CPPUNIT_TEST(DemandOfAFormerQueueStaysWithItsPool);
  CPPUNIT_TEST(TypicalDurationsStayWithTheAddress);
  CPPUNIT_TEST(JobsOfAnEarlierVersionAreFoundByName);
  CPPUNIT_TEST(JobOfAnEarlierVersionWaitsForItsName);
  CPPUNIT_TEST(RandomSeriesKeepEachJobAtItsAddress);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_state = std::make_unique<WorkState>();
    m_index = 0;
    m_version = 0;
  }

  // Guards against second steps that start at the service of the other queue.
  void NamesThatChangePlacesMoveNoJob() {
    Configure({{"one", "/a/", "pool-a"}, {"two", "/b/", "pool-b"}});
    Accept(1, "/a/");
    Accept(2, "/a/");
    Accept(3, "/b/");
    for (int i = 0; i < 3; ++i) {
      Configure({{"two", "/a/", "pool-a"}, {"one", "/b/", "pool-b"}});
      CheckJobs({{1, "pool-a"}, {2, "pool-a"}, {3, "pool-b"}});
      CheckWaiting({{"/a/", 2}, {"/b/", 1}});
      Reload();
      Configure({{"one", "/a/", "pool-a"}, {"two", "/b/", "pool-b"}});
      CheckJobs({{1, "pool-a"}, {2, "pool-a"}, {3, "pool-b"}});
    }
  }

  // Guards against jobs of a removed queue that start at the service of the
  // queue that has its name now.
  void ReusedNameTakesNoJob() {
    Configure({{"one", "/a/", "pool-a"}, {"two", "/b/", "pool-b"}});
    Accept(1, "/b/");
    Configure({{"one", "/a/", "pool-a"}});
    Configure({{"one", "/a/", "pool-a"}, {"two", "/c/", "pool-c"}});
    CheckJobs({{1, "pool-b"}});
    CheckWaiting({{"/b/", 1}, {"/c/", 0}});
    Accept(2, "/c/");
    CheckWaiting({{"/b/", 1}, {"/c/", 1}});
  }

  // Guards against jobs that nothing starts while their route is away, and
  // after it has come back under another name.
  void QueueWithoutARouteKeepsItsLastPool() {
    Configure({{"one", "/a/", "pool-a"}, {"two", "/b/", "pool-b"}});
    Accept(1, "/b/");
    for (int version = 0; version < 3; ++version) {
      Configure({{"one", "/a/", "pool-a"}});
      Reload();
      CheckJobs({{1, "pool-b"}});
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_state->former_queue_count());
      const auto ranked = placement::RankJobs(*m_state, kNowMs);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ranked.size());
      CPPUNIT_ASSERT_EQUAL(std::string("pool-b"), ranked[0].m_queue->pool);
    }
    Configure({{"one", "/a/", "pool-a"}, {"three", "/b/", "pool-b"}});
    CheckJobs({{1, "pool-b"}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_state->former_queue_count());
    CPPUNIT_ASSERT_EQUAL(std::string("three"),
                         m_state->FindQueue(*m_state->FindJob(1))->name);
  }

  void RouteThatComesBackWithAnotherPoolTakesItsJobs() {
    Configure({{"one", "/a/", "pool-a"}});
    Accept(1, "/a/");
    Configure({{"two", "/b/", "pool-b"}});
    CheckJobs({{1, "pool-a"}});
    Configure({{"one", "/a/", "pool-c"}});
    CheckJobs({{1, "pool-c"}});
    Configure({{"two", "/b/", "pool-b"}});
    Reload();
    CheckJobs({{1, "pool-c"}});
  }

  // Guards against former queues that are kept for good.
  void FormerQueueGoesWithItsLastJob() {
    Configure({{"one", "/a/", "pool-a"}});
    Accept(1, "/a/");
    Accept(2, "/a/");
    Configure({{"two", "/b/", "pool-b"}});
    Cancel(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_state->former_queue_count());
    CheckWaiting({{"/a/", 1}});
    Cancel(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_state->former_queue_count());
    CheckWaiting({{"/a/", 0}});
    Configure({{"one", "/c/", "pool-a"}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_state->former_queue_count());
  }

  // Guards against a job that is stored for a queue that was removed while the
  // job was on its way into the log.
  void JobOfARemovedQueueIsNotAccepted() {
    Configure({{"one", "/a/", "pool-a"}});
    Accept(1, "/a/");
    Configure({{"one", "/b/", "pool-b"}});
    Accept(2, "/a/");
    CPPUNIT_ASSERT(m_state->FindJob(2) == nullptr);
    CheckJobs({{1, "pool-a"}});
  }

  // Guards against machines that are moved to the pool of another queue.
  void DemandOfAFormerQueueStaysWithItsPool() {
    Configure({{"one", "/a/", "pool-a"}, {"two", "/b/", "pool-b"}});
    Accept(1, "/a/");
    Configure({{"one", "/b/", "pool-b"}});
    const auto demands = placement::DemandByPool(*m_state, kNowMs);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, demands.size());
    CPPUNIT_ASSERT(demands.at("pool-a").m_ready_milli > 0);
  }

  void TypicalDurationsStayWithTheAddress() {
    Configure({{"one", "/a/", "pool-a"}, {"two", "/b/", "pool-b"}});
    Accept(1, "/a/", 1000);
    placement::TypicalSteps typical;
    typical.Record(*m_state->FindJob(1));
    Configure({{"two", "/a/", "pool-a"}, {"one", "/b/", "pool-b"}});
    Accept(2, "/a/", 400);
    Accept(3, "/b/", 400);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{(400 + 2 * 1000) / 3},
                         typical.CriticalPathMs(*m_state->FindJob(2)));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{400},
                         typical.CriticalPathMs(*m_state->FindJob(3)));
  }

  // Guards against jobs that are lost by an update of the members: earlier
  // versions stored the name of the queue only, in the log and in snapshots.
  void JobsOfAnEarlierVersionAreFoundByName() {
    Configure({{"one", "/a/", "pool-a"}, {"two", "/b/", "pool-b"}});
    AcceptByName(1, "one");
    AcceptByName(2, "two");
    CheckJobs({{1, "pool-a"}, {2, "pool-b"}});
    LoadImageOfEarlierVersion();
    CheckJobs({{1, "pool-a"}, {2, "pool-b"}});
    CheckWaiting({{"/a/", 1}, {"/b/", 1}});
    Configure({{"two", "/a/", "pool-a"}, {"one", "/b/", "pool-b"}});
    CheckJobs({{1, "pool-a"}, {2, "pool-b"}});
  }

  void JobOfAnEarlierVersionWaitsForItsName() {
    Configure({{"one", "/a/", "pool-a"}});
    AcceptByName(1, "two");
    CPPUNIT_ASSERT(m_state->FindQueue(*m_state->FindJob(1)) == nullptr);
    LoadImageOfEarlierVersion();
    Reload();
    Configure({{"one", "/a/", "pool-a"}});
    CPPUNIT_ASSERT(m_state->FindQueue(*m_state->FindJob(1)) == nullptr);
    Configure({{"one", "/a/", "pool-a"}, {"two", "/b/", "pool-b"}});
    CheckJobs({{1, "pool-b"}});
    Configure({{"two", "/a/", "pool-a"}});
    CheckJobs({{1, "pool-b"}});
    CheckWaiting({{"/a/", 0}, {"/b/", 1}});
  }

  // Series of configurations with few names, so that they change places, are
  // used again and stand for two queues at once; routes are away for one or
  // several versions. Snapshots are loaded and jobs end in between.
  void RandomSeriesKeepEachJobAtItsAddress() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      setUp();
      std::mt19937_64 random(seed);
      std::map<std::string, std::string> pools;  // Last one of each prefix.
      std::map<std::string, bool> in_force;
      std::map<JobId, std::string> active;  // Prefix of each job.
      JobId next_job = 1;
      for (int step = 0; step < 60; ++step) {
        const std::string& prefix = prefixes[random() % prefixes.size()];
        switch (random() % 4) {
          case 0: {
            std::vector<Row> rows;
            in_force.clear();
            for (const std::string& other : prefixes) {
              if (random() % 3 > 0) {
                pools[other] = "pool-" + std::to_string(random() % 3);
                in_force[other] = true;
                rows.push_back({"name-" + std::to_string(random() % 3), other,
                                pools[other]});
              }
            }
            Configure(rows);
            break;
          }
          case 1:
            Accept(next_job, prefix);
            if (in_force[prefix]) {
              active[next_job] = prefix;
            }
            ++next_job;
            break;
          case 2:
            if (!active.empty()) {
              Cancel(active.begin()->first);
              active.erase(active.begin());
            }
            break;
          default:
            Reload();
        }
        std::map<JobId, std::string> expected;
        std::map<std::string, std::uint32_t> waiting = {
            {"/a/", 0}, {"/b/", 0}, {"/c/", 0}};
        for (const auto& [id, job_prefix] : active) {
          expected[id] = pools.at(job_prefix);
          ++waiting[job_prefix];
        }
        CheckJobs(expected, "seed " + std::to_string(seed));
        CheckWaiting(waiting);
        CPPUNIT_ASSERT_EQUAL(expected.size(), m_state->active().size());
      }
    }
  }

 private:
  template <typename Command>
  void Apply(Command command) {
    wire::WorkCommandT wrapped;
    wrapped.time_ms = kNowMs;
    wrapped.body.Set(std::move(command));
    m_state->Apply(wrapped, ++m_index);
  }

  void Configure(const std::vector<Row>& rows) {
    wire::PutConfigT put;
    put.config = std::make_unique<wire::FleetConfigT>();
    put.config->version = m_version += 2;
    for (const Row& row : rows) {
      put.config->queues.push_back(std::make_unique<wire::QueueSpecT>());
      wire::QueueSpecT& queue = *put.config->queues.back();
      queue.name = row.m_name;
      queue.host = kHost;
      queue.path_prefix = row.m_prefix;
      queue.pool = row.m_pool;
      queue.attempts = 2;
      queue.timeout_ms = 1000;
      queue.slack_factor = 2;
      queue.objective_ms = 1000;
    }
    Apply(std::move(put));
  }

  static wire::AcceptJobT MakeJob(JobId id, std::uint32_t estimate_ms) {
    wire::AcceptJobT accept;
    accept.job = std::make_unique<wire::JobSpecT>();
    accept.job->id = JobIdText(id);
    accept.job->steps.push_back(std::make_unique<wire::StepSpecT>());
    accept.job->steps.back()->count = 1;
    accept.job->steps.back()->cpu_milli = 1000;
    accept.job->steps.back()->estimate_ms = estimate_ms;
    return accept;
  }
  void Accept(JobId id, const std::string& prefix,
              std::uint32_t estimate_ms = 500) {
    wire::AcceptJobT accept = MakeJob(id, estimate_ms);
    accept.host = kHost;
    accept.path_prefix = prefix;
    Apply(std::move(accept));
  }
  void AcceptByName(JobId id, const std::string& name) {
    wire::AcceptJobT accept = MakeJob(id, 500);
    accept.queue = name;
    Apply(std::move(accept));
  }
  void Cancel(JobId id) {
    wire::CancelJobT cancel;
    cancel.job = id;
    Apply(cancel);
  }

  // Continues with the state that a snapshot restores.
  void Reload() {
    auto copy = std::make_unique<WorkState>();
    const auto image = m_state->Image();
    CPPUNIT_ASSERT(copy->Load(image));
    CPPUNIT_ASSERT(copy->Image() == image);
    CPPUNIT_ASSERT_EQUAL(std::string(), copy->FindIndexError());
    m_state = std::move(copy);
  }
  // As Reload, with a snapshot that lacks what earlier versions did not store.
  void LoadImageOfEarlierVersion() {
    const auto image = wire::Decode<wire::WorkImage>(m_state->Image());
    image->former_queues.clear();
    for (const auto& job : image->jobs) {
      job->host.clear();
      job->path_prefix.clear();
    }
    m_state = std::make_unique<WorkState>();
    CPPUNIT_ASSERT(m_state->Load(wire::Encode<wire::WorkImage>(*image)));
  }

  void CheckJobs(const std::map<JobId, std::string>& pools,
                 const std::string& at = "") const {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(at, std::string(), m_state->FindIndexError());
    for (const auto& [id, pool] : pools) {
      const Job* const job = m_state->FindJob(id);
      CPPUNIT_ASSERT_MESSAGE(at, job != nullptr);
      const wire::QueueSpecT* const queue = m_state->FindQueue(*job);
      CPPUNIT_ASSERT_MESSAGE(at, queue != nullptr);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(at, pool, queue->pool);
    }
  }
  void CheckWaiting(const std::map<std::string, std::uint32_t>& counts) const {
    for (const auto& [prefix, count] : counts) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(prefix, count,
                                   m_state->WaitingCount({kHost, prefix}));
    }
  }

  std::unique_ptr<WorkState> m_state;
  std::uint64_t m_index = 0;
  std::uint64_t m_version = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteSeriesTest);

}  // namespace
}  // namespace bronzebarrow::jobs

namespace bronzebarrow::node {
namespace {

constexpr std::size_t kMembers = 5;
constexpr std::size_t kRunners = 12;
// Seeds of the random test. BRONZEBARROW_SEEDS overrides the count,
// BRONZEBARROW_FIRST_SEED the first seed.
constexpr std::uint64_t kDefaultSeeds = 60;
constexpr std::uint64_t kDirectedSeeds = 10;
constexpr const char* kOtherPool = "other";

const FakeRoute first_route = {"first", "/a/", FakeWorkGroup::kPool};
const FakeRoute second_route = {"second", "/b/", kOtherPool};

std::uint64_t EnvironmentOr(const char* name, std::uint64_t default_value) {
  const char* const text = std::getenv(name);
  return text == nullptr ? default_value : std::stoull(text);
}

// Two pools of runners. FakeWorkGroup checks at each start that some
// configuration has sent the job's address to the runner's pool.
class RouteChangesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteChangesTest);
  CPPUNIT_TEST(JobsEndWhereTheyBeganWhenNamesChangePlaces);
  CPPUNIT_TEST(JobsEndWhileTheirRouteIsAway);
  CPPUNIT_TEST(JobsEndWhenTheirNameIsReused);
  CPPUNIT_TEST(JobsEndAfterSeveralVersionsAndANewLeader);
  CPPUNIT_TEST(JobsOfACancelledKindLeaveNothing);
  CPPUNIT_TEST(RandomSeriesKeepTheGuarantees);
  CPPUNIT_TEST_SUITE_END();

 public:
  void JobsEndWhereTheyBeganWhenNamesChangePlaces() {
    Play({{{"second", first_route.m_prefix, first_route.m_pool},
           {"first", second_route.m_prefix, second_route.m_pool}}},
         false);
  }

  void JobsEndWhileTheirRouteIsAway() { Play({{first_route}}, false); }

  void JobsEndWhenTheirNameIsReused() {
    Play(
        {{first_route}, {first_route, {"second", "/c/", FakeWorkGroup::kPool}}},
        false);
  }

  void JobsEndAfterSeveralVersionsAndANewLeader() {
    Play({{first_route},
          {first_route, {"fourth", "/d/", FakeWorkGroup::kPool}},
          {first_route},
          {first_route, {"third", second_route.m_prefix, second_route.m_pool}}},
         true);
  }

  // Guards against entries of former queues that outlive their jobs.
  void JobsOfACancelledKindLeaveNothing() {
    FakeWorkGroup group(kMembers, kRunners, 1);
    Begin(group);
    group.Submit(second_route.m_prefix);
    group.Advance(Millis(200));
    group.CancelSome();
    group.Advance(Millis(200));
    Configure(group, {first_route});
    group.Advance(Millis(500));
    const jobs::WorkState& state = group.state(*group.Leader());
    CPPUNIT_ASSERT(!group.cancelled().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, state.former_queue_count());
    CPPUNIT_ASSERT_EQUAL(std::string(), state.FindIndexError());
  }

  // Load pattern: jobs of three routes, and series of configurations that give
  // their names to each other, take routes away for one or several versions
  // and bring them back under other names, beside crashes and changes of the
  // leader, runners that are lost, lost and late calls, and cancels.
  void RandomSeriesKeepTheGuarantees() {
    const std::uint64_t first = EnvironmentOr("BRONZEBARROW_FIRST_SEED", 1);
    const std::uint64_t count =
        EnvironmentOr("BRONZEBARROW_SEEDS", kDefaultSeeds);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      Begin(group);
      group.faults() = WorkFaults();
      std::set<std::size_t> powered_off;
      for (int round = 0; round < 30 && group.violation().empty(); ++round) {
        for (const char* prefix : {"/a/", "/b/", "/c/"}) {
          group.Submit(prefix);
        }
        if (group.random()() % 3 == 0) {
          group.SetRoutes(DrawRoutes(group.random()));
        }
        InjectFault(group, powered_off);
        group.Advance(Millis(300));
      }
      group.HealAll();
      for (const std::size_t runner : powered_off) {
        group.PowerOnRunner(runner);
      }
      group.Advance(Millis(40'000));
      CheckAllEnded(group, "seed " + std::to_string(seed));
    }
  }

 private:
  // Submits jobs of both routes and plays the configurations while they run.
  static void Play(const std::vector<std::vector<FakeRoute>>& series,
                   bool crashes_leader) {
    for (std::uint64_t seed = 1; seed <= kDirectedSeeds; ++seed) {
      const std::string at = "seed " + std::to_string(seed);
      FakeWorkGroup group(kMembers, kRunners, seed);
      Begin(group);
      for (int i = 0; i < 8; ++i) {
        group.Submit(i % 2 == 0 ? first_route.m_prefix : second_route.m_prefix);
      }
      group.Advance(Millis(100));
      for (const auto& routes : series) {
        Configure(group, routes);
        if (crashes_leader) {
          const std::size_t leader = *group.Leader();
          group.Crash(leader);
          group.Advance(Millis(300));
          group.Restart(leader);
        }
        group.Advance(Millis(500));
      }
      group.Advance(Millis(15'000));
      CheckAllEnded(group, at);
      for (const jobs::JobId id : group.accepted()) {
        CPPUNIT_ASSERT_MESSAGE(
            at, group.state(*group.Leader()).FindJob(id)->m_state ==
                    jobs::JobState::kCompleted);
      }
    }
  }

  static void Begin(FakeWorkGroup& group) {
    for (std::size_t runner = 0; runner < kRunners; ++runner) {
      group.SetPool(runner,
                    runner % 2 == 0 ? first_route.m_pool : second_route.m_pool);
    }
    group.HealAll();
    group.faults().m_run_fails = 0;
    Configure(group, {first_route, second_route});
    group.Advance(Millis(5000));
  }

  static void Configure(FakeWorkGroup& group,
                        const std::vector<FakeRoute>& routes) {
    group.SetRoutes(routes);
    for (int i = 0; i < 200 && !group.IsConfigured(); ++i) {
      group.Advance(Millis(50));
    }
    CPPUNIT_ASSERT(group.IsConfigured());
  }

  static std::vector<FakeRoute> DrawRoutes(std::mt19937_64& random) {
    std::vector<std::string> names = {"first", "second", "third", "fourth"};
    std::shuffle(names.begin(), names.end(), random);
    std::vector<FakeRoute> routes;
    for (const char* prefix : {"/a/", "/b/", "/c/"}) {
      if (random() % 3 > 0) {
        // The third prefix changes its pool as well.
        const bool is_first =
            prefix[1] == 'a' || (prefix[1] == 'c' && random() % 2 == 0);
        routes.push_back({names.back(), prefix,
                          is_first ? first_route.m_pool : second_route.m_pool});
        names.pop_back();
      }
    }
    return routes;
  }

  static void InjectFault(FakeWorkGroup& group,
                          std::set<std::size_t>& powered_off) {
    auto& random = group.random();
    const std::size_t member =
        group.Leader().value_or(random() % group.members());
    const std::size_t runner = random() % group.runners();
    switch (random() % 12) {
      case 0:
        group.Crash(member);
        break;
      case 1:
        group.Suspend(member, true);
        break;
      case 2:
        group.DisconnectRunner(runner, true);
        break;
      case 3:
        group.RestartRunner(runner);
        break;
      case 4:
        group.CancelSome();
        break;
      case 5:
        group.PowerOffRunner(runner);
        powered_off.insert(runner);
        break;
      default:
        for (std::size_t i = 0; i < group.members(); ++i) {
          group.Restart(i);
          group.Suspend(i, false);
        }
        for (std::size_t i = 0; i < group.runners(); ++i) {
          group.DisconnectRunner(i, false);
        }
        for (const std::size_t off : powered_off) {
          group.PowerOnRunner(off);
        }
        powered_off.clear();
    }
  }

  static void CheckAllEnded(FakeWorkGroup& group, const std::string& at) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(at, std::string(), group.violation());
    const auto leader = group.Leader();
    CPPUNIT_ASSERT_MESSAGE(at + ": no leader at the end", leader);
    CPPUNIT_ASSERT_MESSAGE(at + ": too few accepted",
                           group.accepted().size() > 3);
    const jobs::WorkState& state = group.state(*leader);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(at, std::string(), state.FindIndexError());
    for (const jobs::JobId id : group.accepted()) {
      const std::string job =
          at + ", job " + jobs::JobIdText(id) + " of " + group.PrefixOf(id);
      const jobs::Job* const found = state.FindJob(id);
      CPPUNIT_ASSERT_MESSAGE(job + " is lost", found != nullptr);
      CPPUNIT_ASSERT_MESSAGE(job + " is not done",
                             found->m_state != jobs::JobState::kActive);
      CPPUNIT_ASSERT_MESSAGE(job + " was cancelled without a request",
                             found->m_state != jobs::JobState::kCancelled ||
                                 group.cancels_sent().contains(id));
    }
    for (const char* prefix : {"/a/", "/b/", "/c/"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          at, std::uint32_t{0},
          state.WaitingCount({FakeWorkGroup::kHost, prefix}));
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(at, std::size_t{0},
                                 state.former_queue_count());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteChangesTest);

}  // namespace
}  // namespace bronzebarrow::node
