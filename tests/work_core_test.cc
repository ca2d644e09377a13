// Checks the guarantees to callers under random faults, with the real cores of
// a group of members in virtual time.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <string>

#include "fake_work_group.h"

namespace bronzebarrow::node {
namespace {

constexpr std::size_t kMembers = 5;
constexpr std::size_t kRunners = 9;
// Seeds of the random test. BRONZEBARROW_SEEDS overrides the count,
// BRONZEBARROW_FIRST_SEED the first seed.
constexpr std::uint64_t kSeeds = 150;

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* const text = std::getenv(name);
  return text == nullptr ? otherwise : std::stoull(text);
}

class WorkCoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkCoreTest);
  CPPUNIT_TEST(CalmGroupFinishesEveryJob);
  CPPUNIT_TEST(RandomFaultsBreakNoPromise);
  CPPUNIT_TEST(LeaderChangeResumesWithinTheLease);
  CPPUNIT_TEST(LeaderLeavesAStalledDisk);
  CPPUNIT_TEST(SilentRunnerIsGivenUpWithinItsLease);
  CPPUNIT_TEST(WaveKeepsBudgetsWhileARunnerIsDark);
  CPPUNIT_TEST(WaveGoesOnUnderANewOwner);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CalmGroupFinishesEveryJob() {
    FakeWorkGroup group(kMembers, kRunners, 1);
    group.HealAll();
    group.faults().m_fails = 0;
    group.Run(Millis(5000));
    for (int i = 0; i < 40; ++i) {
      group.Submit();
      group.Run(Millis(100));
    }
    group.Run(Millis(10'000));
    CPPUNIT_ASSERT_EQUAL(std::string(), group.broken());
    CheckAllEnded(group, 1);
  }

  void RandomFaultsBreakNoPromise() {
    const std::uint64_t first = FromEnvironment("BRONZEBARROW_FIRST_SEED", 1);
    const std::uint64_t count = FromEnvironment("BRONZEBARROW_SEEDS", kSeeds);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      group.Run(Millis(4000));
      for (int round = 0; round < 60 && group.broken().empty(); ++round) {
        group.Submit();
        group.Submit();
        Disturb(group);
        group.Run(Millis(300));
      }
      group.HealAll();
      group.Run(Millis(30'000));
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                   std::string(), group.broken());
      CheckAllEnded(group, seed);
    }
  }

  // Guards against a leader that keeps the leadership while its disk is
  // stalled: it applies nothing until the disk responds again.
  void LeaderLeavesAStalledDisk() {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      group.HealAll();
      group.Run(Millis(5000));
      const auto leader = group.Leader();
      CPPUNIT_ASSERT(leader);
      group.StallDisk(*leader, Millis(8000));
      for (int i = 0; i < 20; ++i) {
        group.Submit();
        group.Run(Millis(100));
      }
      const auto next = group.Leader();
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                             next && *next != *leader);
      group.Run(Millis(12'000));
      CPPUNIT_ASSERT_EQUAL(std::string(), group.broken());
      CheckAllEnded(group, seed);
    }
  }

  // Guards against hold calls (lease renewals) to an unresponsive runner that
  // keep extending the owner's bound of the runner's lease: the bound is never
  // reached, and the tasks are never placed on another runner.
  void SilentRunnerIsGivenUpWithinItsLease() {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      group.HealAll();
      group.faults().m_fails = 0;
      group.Run(Millis(5000));
      for (int i = 0; i < 10; ++i) {
        group.Submit();
      }
      group.Run(Millis(300));
      group.Dark(0);
      group.Run(Millis(12'000));
      CPPUNIT_ASSERT_EQUAL(std::string(), group.broken());
      CheckAllEnded(group, seed);
    }
  }

  // Guards against counting the tasks of a runner without power as running:
  // they were in its run list as recently as its last answer of any kind, so
  // these two times do not show that the runner has stopped answering.
  void WaveKeepsBudgetsWhileARunnerIsDark() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      group.HealAll();
      group.Run(Millis(5000));
      for (int i = 0; i < 3; ++i) {
        group.SubmitLasting(5);
      }
      group.Run(Millis(3000));
      group.Dark(seed % kRunners);
      group.Run(Millis(1000 + 250 * (seed % 20)));
      group.StartWave(2);
      group.Run(Millis(60'000));
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                   std::string(), group.broken());
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), kRunners,
                                   group.upkeeps());
    }
  }

  // Guards against a new owner that repeats the machine requests recorded in
  // the log although tasks were assigned to the machine since, or although the
  // request was never sent.
  void WaveGoesOnUnderANewOwner() {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      group.HealAll();
      group.Run(Millis(5000));
      for (int i = 0; i < 3; ++i) {
        group.SubmitLasting(5);
      }
      group.Run(Millis(3000));
      group.StartWave(2);
      const auto leader = group.Leader();
      CPPUNIT_ASSERT(leader);
      // Waits until more than `seed % 8` machine requests are recorded in the
      // log and the last one is not sent yet.
      for (int i = 0; i < 12'000; ++i) {
        const std::size_t ordered = Ordered(group.state(*leader));
        if (ordered > group.upkeeps() && ordered > seed % 8) {
          break;
        }
        group.Run(Millis(5));
      }
      group.Crash(*leader);
      group.Run(Millis(4000));
      group.Restart(*leader);
      group.Run(Millis(70'000));
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                   std::string(), group.broken());
      const auto next = group.Leader();
      CPPUNIT_ASSERT_MESSAGE(
          "seed " + std::to_string(seed) + ": the wave has not ended",
          next && group.state(*next).waves().at(1).IsCompleted());
    }
  }

  // Load pattern: the leader crashes while tasks run. No lease may expire: it
  // must outlast the detection of the crash, the election and the first hold
  // call (lease renewal) of the new leader.
  void LeaderChangeResumesWithinTheLease() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      group.HealAll();
      group.Run(Millis(5000));
      for (int i = 0; i < 20; ++i) {
        group.Submit();
      }
      group.Run(Millis(600));
      const auto leader = group.Leader();
      CPPUNIT_ASSERT(leader);
      group.Crash(*leader);
      int waited_ms = 0;
      while (!group.Leader() && waited_ms < 10'000) {
        group.Run(Millis(50));
        waited_ms += 50;
      }
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) +
                                 ": no owner for " + std::to_string(waited_ms) +
                                 " ms",
                             waited_ms <= 3000);
      group.Run(Millis(15'000));
      CPPUNIT_ASSERT_EQUAL(std::string(), group.broken());
      CheckAllEnded(group, seed);
    }
  }

 private:
  static void Disturb(FakeWorkGroup& group) {
    auto& random = group.random();
    const std::size_t member = random() % group.members();
    const std::size_t runner = random() % group.runners();
    const auto leader = group.Leader();
    switch (random() % 12) {
      case 0:
        group.Crash(leader.value_or(member));
        break;
      case 1:
        group.Freeze(leader.value_or(member), true);
        break;
      case 2:
        group.Cut(leader.value_or(member), member, true);
        break;
      case 3:
        group.CutRunner(runner, true);
        break;
      case 4:
        group.Reborn(runner);
        break;
      case 5:
        group.CancelSome();
        break;
      case 7:
        group.StallDisk(leader.value_or(member), Millis(2500));
        break;
      case 6: {
        // A member with a lost disk counts as lost until it is a voter again,
        // so disks are lost one at a time, in a group without other faults.
        group.LoseDisk(member);
        Repair(group);
        group.Run(Millis(4000));
        break;
      }
      default:
        Repair(group);
        break;
    }
  }

  static void Repair(FakeWorkGroup& group) {
    for (std::size_t i = 0; i < group.members(); ++i) {
      group.Restart(i);
      group.Freeze(i, false);
      for (std::size_t j = 0; j < group.members(); ++j) {
        group.Cut(i, j, false);
      }
    }
    for (std::size_t i = 0; i < group.runners(); ++i) {
      group.CutRunner(i, false);
    }
  }

  static std::size_t Ordered(const jobs::WorkState& state) {
    const auto wave = state.waves().find(1);
    if (wave == state.waves().end()) {
      return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(wave->second.m_machines.begin(),
                      wave->second.m_machines.end(), [](const auto& item) {
                        return item.second != jobs::UpkeepState::kDue;
                      }));
  }

  static void CheckAllEnded(FakeWorkGroup& group, std::uint64_t seed) {
    const std::string at = "seed " + std::to_string(seed);
    const auto leader = group.Leader();
    CPPUNIT_ASSERT_MESSAGE(at + ": no leader at the end", leader);
    CPPUNIT_ASSERT_MESSAGE(at + ": nothing accepted",
                           !group.accepted().empty());
    for (const jobs::JobId id : group.accepted()) {
      const std::string job = at + ", job " + jobs::JobIdText(id);
      const jobs::Job* const found = group.state(*leader).FindJob(id);
      CPPUNIT_ASSERT_MESSAGE(job + " is lost", found != nullptr);
      CPPUNIT_ASSERT_MESSAGE(job + " is not done",
                             found->m_state != jobs::JobState::kActive);
      CPPUNIT_ASSERT_MESSAGE(job + " was cancelled without a request",
                             found->m_state != jobs::JobState::kCancelled ||
                                 group.cancels_sent().contains(id));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkCoreTest);

}  // namespace
}  // namespace bronzebarrow::node
