// Checks the guarantees to callers under random faults, with the real cores of
// a group of members in virtual time.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

#include "fake_work_group.h"

namespace bronzebarrow::node {
namespace {

constexpr std::size_t kMembers = 5;
constexpr std::size_t kRunners = 9;
// Seeds of the random test. BRONZEBARROW_SEEDS overrides the count,
// BRONZEBARROW_FIRST_SEED the first seed.
constexpr std::uint64_t kDefaultSeeds = 150;
constexpr std::uint64_t kOwnerChangeSeeds = 40;
constexpr std::uint64_t kCrashSeeds = 24;

std::uint64_t EnvironmentOr(const char* name, std::uint64_t default_value) {
  const char* const text = std::getenv(name);
  return text == nullptr ? default_value : std::stoull(text);
}

class WorkCoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkCoreTest);
  CPPUNIT_TEST(FaultFreeGroupCompletesEveryJob);
  CPPUNIT_TEST(GuaranteesHoldUnderRandomFaults);
  CPPUNIT_TEST(RunThatIsDoneAsTheOwnerChangesIsNotStartedAgain);
  CPPUNIT_TEST(NewLeaderResumesBeforeLeasesExpire);
  CPPUNIT_TEST(LeaderWithStalledDiskHandsOffLeadership);
  CPPUNIT_TEST(TasksOfUnresponsiveRunnerAreReassigned);
  CPPUNIT_TEST(WaveKeepsBudgetsWhileARunnerHasNoPower);
  CPPUNIT_TEST(WaveContinuesUnderNewOwner);
  CPPUNIT_TEST(CrashesAreCountedAcrossOwners);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FaultFreeGroupCompletesEveryJob() {
    FakeWorkGroup group(kMembers, kRunners, 1);
    group.HealAll();
    group.faults().m_run_fails = 0;
    group.Advance(Millis(5000));
    for (int i = 0; i < 40; ++i) {
      group.Submit();
      group.Advance(Millis(100));
    }
    group.Advance(Millis(10'000));
    CPPUNIT_ASSERT_EQUAL(std::string(), group.violation());
    CheckAllEnded(group, 1);
  }

  void GuaranteesHoldUnderRandomFaults() {
    const std::uint64_t first = EnvironmentOr("BRONZEBARROW_FIRST_SEED", 1);
    const std::uint64_t count =
        EnvironmentOr("BRONZEBARROW_SEEDS", kDefaultSeeds);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      group.Advance(Millis(4000));
      for (int round = 0; round < 60 && group.violation().empty(); ++round) {
        group.Submit();
        group.Submit();
        InjectFault(group);
        group.Advance(Millis(300));
      }
      group.HealAll();
      group.Advance(Millis(30'000));
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                   std::string(), group.violation());
      CheckAllEnded(group, seed);
    }
  }

  // Load pattern: runs of some seconds end around changes of the owner, while a
  // member loses its disk, the leader is cut off from the other members but
  // not from the runners, a wave is under way, and answers overtake each other.
  void RunThatIsDoneAsTheOwnerChangesIsNotStartedAgain() {
    const std::uint64_t first = EnvironmentOr("BRONZEBARROW_FIRST_SEED", 1);
    const std::uint64_t count =
        EnvironmentOr("BRONZEBARROW_SEEDS", kOwnerChangeSeeds);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      auto& random = group.random();
      group.HealAll();
      group.faults().m_run_fails = 0;
      group.Advance(Millis(5000));
      group.faults().m_max_delay = Millis(5 + random() % 150);
      group.faults().m_answer_lost = 0.02;
      group.faults().m_call_delayed = 0.02;
      group.faults().m_max_run = Millis(6000);
      for (int round = 0; round < 3 && group.violation().empty(); ++round) {
        SubmitFor(group, Millis(2000));
        const auto leader = group.Leader();
        if (random() % 2 == 0) {
          const std::size_t lost =
              (leader.value_or(0) + 1 + random() % 4) % kMembers;
          group.LoseDisk(lost);
          SubmitFor(group, Millis(2000 + random() % 2000));
          group.Restart(lost);
          SubmitFor(group, Millis(random() % 1200));
        }
        if (round == 1) {
          group.StartWave(3);
        }
        const std::size_t cut = group.Leader().value_or(0);
        for (std::size_t other = 0; other < kMembers; ++other) {
          if (other != cut) {
            group.Disconnect(cut, other, true);
          }
        }
        SubmitFor(group, Millis(3000 + random() % 3000));
        for (std::size_t other = 0; other < kMembers; ++other) {
          group.Restart(other);
          if (other != cut) {
            group.Disconnect(cut, other, false);
          }
        }
        SubmitFor(group, Millis(3000));
      }
      group.HealAll();
      group.Advance(Millis(30'000));
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                   std::string(), group.violation());
      CheckAllEnded(group, seed);
    }
  }

  // Guards against a leader that keeps the leadership while its disk is
  // stalled: it applies nothing until the disk responds again.
  void LeaderWithStalledDiskHandsOffLeadership() {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      group.HealAll();
      group.Advance(Millis(5000));
      const auto leader = group.Leader();
      CPPUNIT_ASSERT(leader);
      group.StallDisk(*leader, Millis(8000));
      for (int i = 0; i < 20; ++i) {
        group.Submit();
        group.Advance(Millis(100));
      }
      const auto next = group.Leader();
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                             next && *next != *leader);
      group.Advance(Millis(12'000));
      CPPUNIT_ASSERT_EQUAL(std::string(), group.violation());
      CheckAllEnded(group, seed);
    }
  }

  // Guards against hold calls (lease renewals) to an unresponsive runner that
  // keep moving the time by which the owner expects the runner's lease to have
  // expired: that time is never reached, and the tasks are never placed on
  // another runner.
  void TasksOfUnresponsiveRunnerAreReassigned() {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      group.HealAll();
      group.faults().m_run_fails = 0;
      group.Advance(Millis(5000));
      for (int i = 0; i < 10; ++i) {
        group.Submit();
      }
      group.Advance(Millis(300));
      group.PowerOffRunner(0);
      group.Advance(Millis(12'000));
      CPPUNIT_ASSERT_EQUAL(std::string(), group.violation());
      CheckAllEnded(group, seed);
    }
  }

  // Guards against counting the tasks of a runner without power as running.
  // Comparing the time of its last run list with that of its last answer does
  // not show the failure: both stop at the same time. The age of the run list
  // shows it.
  void WaveKeepsBudgetsWhileARunnerHasNoPower() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      group.HealAll();
      group.Advance(Millis(5000));
      for (int i = 0; i < 3; ++i) {
        group.SubmitLongRunning(5);
      }
      group.Advance(Millis(3000));
      group.PowerOffRunner(seed % kRunners);
      group.Advance(Millis(1000 + 250 * (seed % 20)));
      group.StartWave(2);
      group.Advance(Millis(60'000));
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                   std::string(), group.violation());
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), kRunners,
                                   group.upkeep_count());
    }
  }

  // Guards against a new owner that repeats a machine request recorded in the
  // log without draining the machine again. The earlier owner may not have sent
  // the request, and tasks may have been assigned to the machine since.
  void WaveContinuesUnderNewOwner() {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      group.HealAll();
      group.Advance(Millis(5000));
      for (int i = 0; i < 3; ++i) {
        group.SubmitLongRunning(5);
      }
      group.Advance(Millis(3000));
      group.StartWave(2);
      const auto leader = group.Leader();
      CPPUNIT_ASSERT(leader);
      // Waits until more than `seed % 8` machine requests are recorded in the
      // log and the last one is not sent yet.
      for (int i = 0; i < 12'000; ++i) {
        const std::size_t recorded = RecordedUpkeeps(group.state(*leader));
        if (recorded > group.upkeep_count() && recorded > seed % 8) {
          break;
        }
        group.Advance(Millis(5));
      }
      group.Crash(*leader);
      group.Advance(Millis(4000));
      group.Restart(*leader);
      group.Advance(Millis(70'000));
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                   std::string(), group.violation());
      const auto next = group.Leader();
      CPPUNIT_ASSERT_MESSAGE(
          "seed " + std::to_string(seed) + ": the wave has not ended",
          next && group.state(*next).waves().at(1).IsCompleted());
    }
  }

  // Load pattern: the leader crashes while tasks run. No lease may expire: it
  // must outlast the detection of the crash, the election and the first hold
  // call (lease renewal) of the new leader.
  void NewLeaderResumesBeforeLeasesExpire() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      group.HealAll();
      group.Advance(Millis(5000));
      for (int i = 0; i < 20; ++i) {
        group.Submit();
      }
      group.Advance(Millis(600));
      const auto leader = group.Leader();
      CPPUNIT_ASSERT(leader);
      group.Crash(*leader);
      int waited_ms = 0;
      while (!group.Leader() && waited_ms < 10'000) {
        group.Advance(Millis(50));
        waited_ms += 50;
      }
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) +
                                 ": no owner for " + std::to_string(waited_ms) +
                                 " ms",
                             waited_ms <= 3000);
      group.Advance(Millis(15'000));
      CPPUNIT_ASSERT_EQUAL(std::string(), group.violation());
      CheckAllEnded(group, seed);
    }
  }

  // Guards against owners that each start a task that crashes its runners as
  // often as the limit allows.
  void CrashesAreCountedAcrossOwners() {
    for (std::uint64_t seed = 1; seed <= kCrashSeeds; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      group.HealAll();
      group.faults().m_run_fails = 0;
      group.Advance(Millis(5000));
      std::vector<jobs::JobId> crashing;
      for (int round = 0; round < 6; ++round) {
        group.Submit();
        group.Submit();
        crashing.push_back(group.SubmitCrashing());
        // Between the start and the record of the crash, or later.
        group.Advance(Millis(20 + 40 * (seed % 8)));
        if (const auto leader = group.Leader()) {
          group.Crash(*leader);
          group.Advance(Millis(1500));
          group.Restart(*leader);
        }
        group.Advance(Millis(1500));
      }
      group.Advance(Millis(30'000));
      const std::string at = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(at, std::string(), group.violation());
      const auto leader = group.Leader();
      CPPUNIT_ASSERT_MESSAGE(at, leader);
      for (const jobs::JobId id : crashing) {
        const jobs::Job* const job = group.state(*leader).FindJob(id);
        CPPUNIT_ASSERT_MESSAGE(
            at, job == nullptr || job->m_state == jobs::JobState::kFailed);
      }
      for (const jobs::JobId id : group.accepted()) {
        const jobs::Job* const job = group.state(*leader).FindJob(id);
        CPPUNIT_ASSERT_MESSAGE(
            at, job != nullptr && (job->m_state == jobs::JobState::kCompleted ||
                                   std::find(crashing.begin(), crashing.end(),
                                             id) != crashing.end()));
      }
    }
  }

 private:
  static void SubmitFor(FakeWorkGroup& group, Duration span) {
    for (Duration done = Duration::zero(); done < span; done += Millis(200)) {
      group.Submit();
      group.Advance(Millis(200));
    }
  }

  static void InjectFault(FakeWorkGroup& group) {
    auto& random = group.random();
    const std::size_t member = random() % group.members();
    const std::size_t runner = random() % group.runners();
    const auto leader = group.Leader();
    switch (random() % 12) {
      case 0:
        group.Crash(leader.value_or(member));
        break;
      case 1:
        group.Suspend(leader.value_or(member), true);
        break;
      case 2:
        group.Disconnect(leader.value_or(member), member, true);
        break;
      case 3:
        group.DisconnectRunner(runner, true);
        break;
      case 4:
        group.RestartRunner(runner);
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
        ClearMemberAndRunnerFaults(group);
        group.Advance(Millis(4000));
        break;
      }
      default:
        ClearMemberAndRunnerFaults(group);
        break;
    }
  }

  static void ClearMemberAndRunnerFaults(FakeWorkGroup& group) {
    for (std::size_t i = 0; i < group.members(); ++i) {
      group.Restart(i);
      group.Suspend(i, false);
      for (std::size_t j = 0; j < group.members(); ++j) {
        group.Disconnect(i, j, false);
      }
    }
    for (std::size_t i = 0; i < group.runners(); ++i) {
      group.DisconnectRunner(i, false);
    }
  }

  static std::size_t RecordedUpkeeps(const jobs::WorkState& state) {
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
