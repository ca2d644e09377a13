// Replays jobs with a task that crashes each runner that starts it, among jobs
// that do not, through the real core of a member in virtual time.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>
#include <string>

#include "load_model.h"

namespace bronzebarrow::node {
namespace {

constexpr std::uint64_t kSeeds = 20;
// The users' limit: two starts after the third crash.
constexpr std::size_t kMaxStarts = 5;
constexpr std::size_t kMachines = 9;

class CrashReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashReplayTest);
  CPPUNIT_TEST(TaskThatCrashesItsRunnersIsGivenUp);
  CPPUNIT_TEST(AlsoWhenItCrashesThemLater);
  CPPUNIT_TEST(BystandersNeitherFailNorWait);
  CPPUNIT_TEST(PoolKeepsMostOfItsRunners);
  CPPUNIT_TEST(CrashesWithoutACauseFailNoJob);
  CPPUNIT_TEST(BystandersOfManyCrashesAreTriedInTime);
  CPPUNIT_TEST(TasksAtFaultAreTriedInTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Load pattern: for 10 s a tenth of the jobs have such a task.
  void TaskThatCrashesItsRunnersIsGivenUp() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CheckLimit(Play(Pattern(seed, 0.1)), seed);
    }
  }

  // Load pattern: the crash comes when the task has run for a while, so that
  // others have been started beside it.
  void AlsoWhenItCrashesThemLater() {
    for (const int delay_ms : {100, 300, 500}) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        LoadPattern pattern = Pattern(seed, 0.03);
        pattern.m_queues[0].m_crash_delay = Millis(delay_ms);
        CheckLimit(Play(pattern), seed);
      }
    }
  }

  // Target: none fails, and nine tenths of the share that is on time without
  // crashes stays so when one job in fifty crashes runners.
  void BystandersNeitherFailNorWait() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const QueueResult calm = Play(Pattern(seed, 0)).Total();
      const QueueResult crashes = Play(Pattern(seed, 0.02)).Total();
      const std::string at = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(at, std::size_t{0}, crashes.m_failed);
      CPPUNIT_ASSERT_MESSAGE(at, crashes.m_on_time * calm.m_submitted * 10 >=
                                     calm.m_on_time * crashes.m_submitted * 9);
    }
  }

  // Target: more than half of the pool's runners are up at any time while one
  // job in fifty crashes runners.
  void PoolKeepsMostOfItsRunners() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const LoadResult result = Play(Pattern(seed, 0.02));
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                             result.m_least_runners * 2 > kMachines);
    }
  }

  // Load pattern: each second one of nine runners crashes by itself.
  void CrashesWithoutACauseFailNoJob() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      LoadPattern pattern = Pattern(seed, 0);
      pattern.m_crash_interval = Millis(1000);
      const QueueResult total = Play(pattern).Total();
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                   std::size_t{0}, total.m_failed);
    }
  }

  // Load pattern: a fifth of all jobs crash their runners for 45 s, so that
  // first crashes, which nothing can foresee, keep most of the pool down.
  // Target: within 15 s after the last job no task of a bystander waits, and
  // none has failed.
  void BystandersOfManyCrashesAreTriedInTime() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      LoadPattern pattern = Pattern(seed, 0.2);
      pattern.m_queues[0].m_crashing_start = Duration::zero();
      pattern.m_queues[0].m_crashing_length = Millis(45'000);
      pattern.m_length = Millis(45'000);
      const LoadResult result = Play(pattern);
      const std::string at = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_MESSAGE(at, result.m_crashing.m_crashes > 10);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(at, std::size_t{0}, result.Total().m_failed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(at, std::size_t{0},
                                   result.Total().m_unstarted);
    }
  }

  // Load pattern: a fifth of the jobs crash their runners to the end of the
  // load, so that many wait for their second start.
  // Target: within 15 s after the last job each of them has ended.
  void TasksAtFaultAreTriedInTime() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      LoadPattern pattern = Pattern(seed, 0.2);
      pattern.m_length = Millis(12'000);
      const LoadResult result = Play(pattern);
      const std::string at = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_MESSAGE(at, result.m_crashing.m_tasks > 10);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(at, std::size_t{0},
                                   result.m_crashing.m_not_failed);
    }
  }

 private:
  static LoadPattern Pattern(std::uint64_t seed, double crashing_share) {
    LoadPattern pattern;
    pattern.m_seed = seed;
    QueuePattern queue;
    queue.m_name = "a";
    queue.m_tasks = 6;
    queue.m_cpu_milli = 1800;
    queue.m_task_ms = 640;
    queue.m_jobs_per_s = 11;
    queue.m_peak_jobs_per_s = 11;
    queue.m_machines = kMachines;
    queue.m_crashing_share = crashing_share;
    queue.m_crashing_start = Millis(2000);
    queue.m_crashing_length = Millis(10'000);
    pattern.m_queues = {queue};
    return pattern;
  }

  static void CheckLimit(const LoadResult& result, std::uint64_t seed) {
    const CrashResult& crashing = result.m_crashing;
    const std::string at = "seed " + std::to_string(seed) + ": " +
                           std::to_string(crashing.m_tasks) + " tasks, " +
                           std::to_string(crashing.m_crashes) + " crashes, " +
                           std::to_string(crashing.m_max_starts) +
                           " starts of one";
    CPPUNIT_ASSERT_MESSAGE(at, crashing.m_tasks > 0);
    CPPUNIT_ASSERT_MESSAGE(at, crashing.m_max_starts <= kMaxStarts);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(at, std::size_t{0}, crashing.m_not_failed);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(at, std::size_t{0}, result.Total().m_failed);
  }

  static LoadResult Play(const LoadPattern& pattern) {
    LoadResult result = LoadModel(pattern, WorkCoreOptions()).Run();
    if (std::getenv("LOAD_REPLAY_TABLE") != nullptr) {
      const QueueResult& queue = result.m_queues["a"];
      std::cout << "seed " << pattern.m_seed << ": crashing "
                << result.m_crashing.m_tasks << " crashes "
                << result.m_crashing.m_crashes << " max_starts "
                << result.m_crashing.m_max_starts << " not_failed "
                << result.m_crashing.m_not_failed << " least_runners "
                << result.m_least_runners << " submitted " << queue.m_submitted
                << " on_time " << queue.m_on_time << " late " << queue.m_late
                << " useless " << queue.m_useless << " refused "
                << queue.m_refused << " failed " << queue.m_failed
                << " unstarted " << queue.m_unstarted << " mean_ms "
                << queue.m_mean_age_ms << "\n";
    }
    return result;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashReplayTest);

}  // namespace
}  // namespace bronzebarrow::node
