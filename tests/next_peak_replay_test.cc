// Replays two demand peaks in turn, each beyond all capacity: the first one
// leaves a backlog of late jobs when the second one begins.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "load_model.h"

namespace bronzebarrow::node {
namespace {

constexpr std::uint64_t kSeeds = 3;

class NextPeakReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NextPeakReplayTest);
  CPPUNIT_TEST(NextPeakIsNotHeldUpByLateJobs);
  CPPUNIT_TEST(NorWhenEstimatesAreRough);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Target: the second peak is served like the first one.
  void NextPeakIsNotHeldUpByLateJobs() { ReplayTwoPeaks(0.5); }
  // Declared durations are off by up to 0.9 of the true time.
  void NorWhenEstimatesAreRough() { ReplayTwoPeaks(0.9); }

 private:
  static void ReplayTwoPeaks(double estimate_spread) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      LoadPattern pattern;
      pattern.m_seed = seed;
      int start_ms = 1000;
      for (const char* name : {"a", "b"}) {
        QueuePattern queue;
        queue.m_name = name;
        queue.m_machines = 10;
        queue.m_estimate_spread = estimate_spread;
        queue.m_jobs_per_s = 0.2;
        queue.m_peak_jobs_per_s = 20;
        queue.m_peak_start = Millis(start_ms);
        queue.m_peak_length = Millis(4500);
        start_ms += 4500;
        pattern.m_queues.push_back(queue);
      }
      const LoadResult result = LoadModel(pattern, WorkCoreOptions()).Run();
      const QueueResult& first = result.m_queues.at("a");
      const QueueResult& second = result.m_queues.at("b");
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": on time " +
                                 std::to_string(first.m_on_time) + " of " +
                                 std::to_string(first.m_submitted) + ", then " +
                                 std::to_string(second.m_on_time) + " of " +
                                 std::to_string(second.m_submitted),
                             second.m_on_time * first.m_submitted * 10 >=
                                 first.m_on_time * second.m_submitted * 9);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NextPeakReplayTest);

}  // namespace
}  // namespace bronzebarrow::node
