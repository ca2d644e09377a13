// Checks that no observation which a working runner can cause ends its runs:
// real cores of a group of members in virtual time, with faults of one kind in
// each test and all of them in the last one.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <functional>
#include <string>

#include "fake_work_group.h"

namespace bronzebarrow::node {
namespace {

constexpr std::size_t kMembers = 5;
constexpr std::size_t kRunners = 9;
// Seeds of each test. BRONZEBARROW_SEEDS overrides the count,
// BRONZEBARROW_FIRST_SEED the first seed.
constexpr std::uint64_t kDefaultSeeds = 30;
constexpr int kRounds = 60;
constexpr Duration kRound = Millis(250);
constexpr Millis kMaxClockStep(30'000);

std::uint64_t EnvironmentOr(const char* name, std::uint64_t default_value) {
  const char* const text = std::getenv(name);
  return text == nullptr ? default_value : std::stoull(text);
}

class RunnerEndsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunnerEndsTest);
  CPPUNIT_TEST(RefusedConnectionsEndNoRunOfAWorkingRunner);
  CPPUNIT_TEST(ResetConnectionsEndNoRunOfAWorkingRunner);
  CPPUNIT_TEST(ReportsOfLeavingEndNoRunOfAWorkingRunner);
  CPPUNIT_TEST(ListsOfMachinesEndNoRunOfAWorkingRunner);
  CPPUNIT_TEST(NextRunnersOfMachinesEndNoRunOfAWorkingRunner);
  CPPUNIT_TEST(StartTimesThatGoBackEndNoRunOfAWorkingRunner);
  CPPUNIT_TEST(LateUpkeepAnswersEndNoRunOfAWorkingRunner);
  CPPUNIT_TEST(NewOwnersEndNoRunOfAWorkingRunner);
  CPPUNIT_TEST(MixedFaultsEndNoRunOfAWorkingRunner);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against refused connections that are taken for the runner's end.
  void RefusedConnectionsEndNoRunOfAWorkingRunner() {
    Play(
        [](FakeWorkGroup& group) { group.faults().m_call_refused = 0.03; },
        [](FakeWorkGroup& group, int) { CutSome(group, RunnerCut::kRefused); });
  }

  // Guards against resets that are taken for the runner's end, or for a call
  // that was not carried out.
  void ResetConnectionsEndNoRunOfAWorkingRunner() {
    Play([](FakeWorkGroup& group) { group.faults().m_call_reset = 0.03; },
         [](FakeWorkGroup& group, int) { CutSome(group, RunnerCut::kReset); });
  }

  // Guards against a report of leaving that is taken for the runner's end. Its
  // answer may be lost and calls to the runner may fail meanwhile.
  void ReportsOfLeavingEndNoRunOfAWorkingRunner() {
    Play(
        [](FakeWorkGroup& group) {
          group.faults().m_answer_lost = 0.3;
          group.faults().m_report_delayed = 0.1;
        },
        [](FakeWorkGroup& group, int round) {
          LeaveSome(group);
          if (round % 3 == 0) {
            CutSome(group, RunnerCut::kRefused);
          }
        });
  }

  // Guards against a row of an outdated list that ends a runner which started
  // or answered since.
  void ListsOfMachinesEndNoRunOfAWorkingRunner() {
    Play([](FakeWorkGroup& group) { group.ProvideInventory(); },
         [](FakeWorkGroup& group, int round) {
           DisconnectSome(group);
           if (round % 2 == 0) {
             EndSome(group, Millis(0), false);
             CutSome(group, RunnerCut::kRefused);
           }
         });
  }

  // Guards against taking a working runner for the one before it on its
  // machine, whatever their start times are.
  void NextRunnersOfMachinesEndNoRunOfAWorkingRunner() {
    Play([](FakeWorkGroup& group) { group.faults().m_report_delayed = 0.1; },
         [](FakeWorkGroup& group, int round) {
           EndSome(group, kMaxClockStep, false);
           if (round % 2 == 0) {
             DisconnectSome(group);
           }
         });
  }

  // Guards against a next incarnation that starts at an earlier time than the
  // one before it under its id.
  void StartTimesThatGoBackEndNoRunOfAWorkingRunner() {
    Play([](FakeWorkGroup& group) { group.faults().m_report_delayed = 0.1; },
         [](FakeWorkGroup& group, int round) {
           EndSome(group, kMaxClockStep, true);
           if (round % 2 == 0) {
             DisconnectSome(group);
           }
         });
  }

  // Guards against the answer to an upkeep that was done, or that a later owner
  // requests again, which ends the runner that has come since.
  void LateUpkeepAnswersEndNoRunOfAWorkingRunner() {
    Play(
        [](FakeWorkGroup& group) {
          group.ProvideInventory();
          group.faults().m_max_machine_delay = Millis(1500);
          group.faults().m_machine_answer_lost = 0.2;
        },
        [](FakeWorkGroup& group, int round) {
          if (round == 4) {
            group.StartWave(3);
          }
          if (round % 6 == 5) {
            ChangeOwner(group);
          }
          if (round % 3 == 0) {
            EndSome(group, kMaxClockStep, false);
          }
        });
  }

  // Guards against a new owner that concludes from the silence of a runner, or
  // from its first list, that runs of an earlier owner have ended.
  void NewOwnersEndNoRunOfAWorkingRunner() {
    Play([](FakeWorkGroup& group) { group.ProvideInventory(); },
         [](FakeWorkGroup& group, int round) {
           if (round % 6 == 5) {
             ChangeOwner(group);
           }
           DisconnectSome(group);
           CutSome(group,
                   round % 2 == 0 ? RunnerCut::kRefused : RunnerCut::kReset);
         });
  }

  // Guards against faults of several kinds that meet.
  void MixedFaultsEndNoRunOfAWorkingRunner() {
    Play(
        [](FakeWorkGroup& group) {
          group.ProvideInventory();
          WorkFaults& faults = group.faults();
          faults = WorkFaults();
          faults.m_call_refused = 0.01;
          faults.m_call_reset = 0.01;
          faults.m_report_delayed = 0.05;
          faults.m_max_machine_delay = Millis(1500);
          faults.m_machine_answer_lost = 0.2;
        },
        [](FakeWorkGroup& group, int round) {
          if (round == 4) {
            group.StartWave(3);
          }
          switch (group.random()() % 8) {
            case 0:
              ChangeOwner(group);
              break;
            case 1:
              LeaveSome(group);
              break;
            case 2:
              EndSome(group, kMaxClockStep, false);
              break;
            case 3:
              EndSome(group, Millis(0), true);
              break;
            case 4:
              CutSome(group, RunnerCut::kRefused);
              break;
            case 5:
              CutSome(group, RunnerCut::kReset);
              break;
            default:
              DisconnectSome(group);
              break;
          }
        });
  }

 private:
  using Setup = std::function<void(FakeWorkGroup&)>;
  using Fault = std::function<void(FakeWorkGroup&, int)>;

  // Submits jobs while faults are injected, and ends all faults for 30 s.
  static void Play(const Setup& setup, const Fault& inject) {
    const std::uint64_t first = EnvironmentOr("BRONZEBARROW_FIRST_SEED", 1);
    const std::uint64_t count =
        EnvironmentOr("BRONZEBARROW_SEEDS", kDefaultSeeds);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      group.HealAll();
      group.faults().m_max_run = Millis(4000);
      setup(group);
      group.Advance(Millis(5000));
      for (int round = 0; round < kRounds && group.violation().empty();
           ++round) {
        group.Submit();
        group.Submit();
        inject(group, round);
        group.Advance(kRound);
      }
      group.HealAll();
      group.Advance(Millis(30'000));
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                   std::string(), group.violation());
      CheckAllEnded(group, seed);
    }
  }

  static std::size_t SomeRunner(FakeWorkGroup& group) {
    return group.random()() % group.runners();
  }

  // Cuts one runner off and connects another one again, so that cuts last from
  // a round to several seconds.
  static void CutSome(FakeWorkGroup& group, RunnerCut cut) {
    group.CutRunner(SomeRunner(group), cut);
    group.CutRunner(SomeRunner(group), RunnerCut::kNone);
    group.CutRunner(SomeRunner(group), RunnerCut::kNone);
  }

  static void DisconnectSome(FakeWorkGroup& group) {
    group.DisconnectRunner(SomeRunner(group), true);
    group.DisconnectRunner(SomeRunner(group), false);
    group.DisconnectRunner(SomeRunner(group), false);
  }

  static void LeaveSome(FakeWorkGroup& group) {
    group.LeaveRunner(SomeRunner(group),
                      Millis(2000 + group.random()() % 4000));
  }

  static void EndSome(FakeWorkGroup& group, Millis max_clock_step,
                      bool has_same_id) {
    NextLife next;
    next.m_gap = Millis(100 + group.random()() % 3000);
    next.m_has_same_id = has_same_id;
    if (max_clock_step > Millis(0)) {
      const auto range = 2 * max_clock_step.count();
      next.m_born_shift =
          Millis(static_cast<Millis::rep>(group.random()() %
                                          static_cast<std::uint64_t>(range))) -
          max_clock_step;
    }
    group.EndRunner(SomeRunner(group), next);
  }

  // The leader crashes, freezes or is cut off; other members recover.
  static void ChangeOwner(FakeWorkGroup& group) {
    for (std::size_t i = 0; i < group.members(); ++i) {
      group.Restart(i);
      group.Suspend(i, false);
      for (std::size_t j = 0; j < group.members(); ++j) {
        group.Disconnect(i, j, false);
      }
    }
    const auto leader = group.Leader();
    if (!leader) {
      return;
    }
    switch (group.random()() % 3) {
      case 0:
        group.Crash(*leader);
        break;
      case 1:
        group.Suspend(*leader, true);
        break;
      default:
        for (std::size_t i = 0; i < group.members(); ++i) {
          if (i != *leader) {
            group.Disconnect(*leader, i, true);
          }
        }
        break;
    }
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
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunnerEndsTest);

}  // namespace
}  // namespace bronzebarrow::node
