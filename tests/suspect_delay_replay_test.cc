// Replays long tasks of which some crash their runners, among crashes without a
// cause: how long suspects wait for their trials.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "load_model.h"

namespace bronzebarrow::node {
namespace {

constexpr std::uint64_t kSeeds = 20;

class SuspectDelayReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SuspectDelayReplayTest);
  CPPUNIT_TEST(SuspectsOfLongTasksAreTriedInTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Load pattern: tasks that last longer than the load, some of which crash
  // their runners, while runners also crash by themselves: after 10 s most
  // tasks are suspects, and each trial occupies a runner.
  // Target: within 15 s after the last crash no task waits.
  void SuspectsOfLongTasksAreTriedInTime() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      QueuePattern queue;
      queue.m_name = "a";
      queue.m_machines = 9;
      queue.m_crashing_share = 0.2;
      queue.m_crashing_length = Millis(10'000);
      queue.m_steps = 1;
      queue.m_tasks = 3;
      queue.m_task_ms = 60'000;
      queue.m_cpu_milli = 900;
      queue.m_jobs_per_s = 4;
      queue.m_peak_jobs_per_s = 4;
      LoadPattern pattern;
      pattern.m_seed = seed;
      pattern.m_queues = {queue};
      pattern.m_length = Millis(10'000);
      pattern.m_crash_interval = Millis(500);
      pattern.m_crash_length = Millis(10'000);
      const LoadResult result = LoadModel(pattern, WorkCoreOptions()).Run();
      const std::string at = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_MESSAGE(at, result.m_crashing.m_crashes > 10);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(at, std::size_t{0},
                                   result.Total().m_unstarted);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspectDelayReplayTest);

}  // namespace
}  // namespace bronzebarrow::node
