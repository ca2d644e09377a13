// A member that is short of processor time keeps its promises and most of its
// goodput, and is back within seconds.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

#include "overload_model.h"

namespace bronzebarrow::node {
namespace {

constexpr std::uint64_t kSeeds = 3;

// Each play demands half of the processor, then twice as much as it can do,
// then half of it.
OverloadPattern SubmitsPattern() {
  OverloadPattern pattern;
  pattern.m_added_queues = 0;
  pattern.m_overload_jobs_per_s = 400;
  pattern.m_later_jobs_per_s = pattern.m_jobs_per_s;
  return pattern;
}

class OverloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadTest);
  CPPUNIT_TEST(OverloadBreaksNoPromise);
  CPPUNIT_TEST(OverloadKeepsHalfOfTheGoodput);
  CPPUNIT_TEST(CallersAreAnsweredDuringOverload);
  CPPUNIT_TEST(ServiceReturnsWithinSecondsOfOverload);
  CPPUNIT_TEST(LeasesOutlastSlowCommits);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OverloadBreaksNoPromise() {
    for (const Played& play : Overloads()) {
      CheckPromises(play.m_result, play.m_name);
    }
  }

  void OverloadKeepsHalfOfTheGoodput() {
    for (const auto& [name, result] : Overloads()) {
      const PhaseResult& steady = result.At(Phase::kSteady);
      const PhaseResult& overload = result.At(Phase::kOverload);
      // The jobs that the processor serves in the time of the overload at the
      // cost of a job before it.
      const double capacity = static_cast<double>(steady.m_on_time) /
                              steady.m_busy_s * overload.m_length_s;
      CPPUNIT_ASSERT_MESSAGE(name, steady.m_busy_s < steady.m_length_s);
      CPPUNIT_ASSERT_MESSAGE(
          name, static_cast<double>(overload.m_on_time) * 2 >= capacity);
    }
  }

  void CallersAreAnsweredDuringOverload() {
    for (const auto& [name, result] : Overloads()) {
      const PhaseResult& overload = result.At(Phase::kOverload);
      CPPUNIT_ASSERT_MESSAGE(name,
                             overload.m_answered * 10 >= overload.m_calls * 9);
    }
  }

  void ServiceReturnsWithinSecondsOfOverload() {
    for (const auto& [name, result] : Overloads()) {
      const PhaseResult& recovered = result.At(Phase::kRecovered);
      CPPUNIT_ASSERT_MESSAGE(name, recovered.m_jobs > 0);
      CPPUNIT_ASSERT_MESSAGE(name,
                             recovered.m_on_time * 10 >= recovered.m_jobs * 9);
    }
  }

  // While ends wait for their commit, the owner renews the runner's lease.
  void LeasesOutlastSlowCommits() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      OverloadPattern pattern;
      pattern.m_seed = seed;
      pattern.m_processor_share = 1;
      pattern.m_added_queues = 0;
      pattern.m_overload_jobs_per_s = pattern.m_jobs_per_s;
      pattern.m_stall_start = Millis(3000);
      pattern.m_stall_length = Millis(7000);
      CheckPromises(Play(pattern), At("commits", seed));
    }
  }

 private:
  struct Played {
    std::string m_name;
    OverloadResult m_result;
  };

  static std::string At(const std::string& name, std::uint64_t seed) {
    return name + ", seed " + std::to_string(seed);
  }
  static void CheckPromises(const OverloadResult& result,
                            const std::string& name) {
    CPPUNIT_ASSERT_MESSAGE(name, result.At(Phase::kSteady).m_on_time > 0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{0}, result.m_lost_runs);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{0},
                                 result.m_unfinished_runs);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{0}, result.m_doubled_runs);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{0}, result.m_unended_jobs);
  }
  /** @return the plays that the tests share. */
  static const std::vector<Played>& Overloads() {
    static const std::vector<Played> plays = [] {
      std::vector<Played> played;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        OverloadPattern routes;
        routes.m_seed = seed;
        played.push_back({At("routes", seed), Play(routes)});
        OverloadPattern submits = SubmitsPattern();
        submits.m_seed = seed;
        played.push_back({At("submits", seed), Play(submits)});
      }
      return played;
    }();
    return plays;
  }
  static OverloadResult Play(OverloadPattern pattern) {
    if (const char* const runners = std::getenv("OVERLOAD_COSTS")) {
      pattern.m_runners = std::stoul(runners);
      pattern.m_processor_share *=
          static_cast<double>(pattern.m_runners) /
          static_cast<double>(OverloadPattern().m_runners);
    }
    OverloadResult result = OverloadModel(pattern).Run();
    if (std::getenv("OVERLOAD_TABLE") != nullptr) {
      PrintTable(pattern, result);
    }
    return result;
  }
  static void PrintTable(const OverloadPattern& pattern,
                         const OverloadResult& result) {
    std::cout << "seed " << pattern.m_seed << " added queues "
              << pattern.m_added_queues << ": lost " << result.m_lost_runs
              << " unfinished " << result.m_unfinished_runs << " doubled "
              << result.m_doubled_runs << " unended " << result.m_unended_jobs
              << " dropped " << result.m_dropped_calls << "\n";
    for (std::size_t i = 0; i < kPhases; ++i) {
      const PhaseResult& phase = result.m_phases[i];
      std::cout << "  phase " << i << ": jobs " << phase.m_jobs << " on_time "
                << phase.m_on_time << " refused " << phase.m_refused
                << " calls " << phase.m_calls << " answered "
                << phase.m_answered << " offered "
                << phase.m_offered_s / phase.m_length_s << " busy "
                << phase.m_busy_s / phase.m_length_s << " max_wait_ms "
                << ToMillis(phase.m_max_wait) << "\n";
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

}  // namespace
}  // namespace bronzebarrow::node
