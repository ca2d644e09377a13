// Tests which jobs count as waiting: those of which no runner has started a
// task, whatever became of their assignments and of the owner.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "fake_work_group.h"
#include "owner_and_runners.h"

namespace bronzebarrow::node {
namespace {

constexpr std::size_t kMembers = 5;
constexpr std::size_t kRunners = 4;
constexpr std::uint32_t kJobs = 8;
constexpr std::uint64_t kSeeds = 20;
// Longer than the leases of runners.
constexpr Duration kLeasesEnd = Millis(9000);
const jobs::QueueAddress queue_address = {FakeWorkGroup::kHost,
                                          FakeWorkGroup::kPrefix};

class JobStartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobStartsTest);
  CPPUNIT_TEST(JobsOfLostRunnersWait);
  CPPUNIT_TEST(JobsOfLostRunnersWaitUnderANewLeader);
  CPPUNIT_TEST(CancelledJobsOfLostRunnersLeaveTheCount);
  CPPUNIT_TEST(JobsOfRunnersThatRefuseConnectionsWait);
  CPPUNIT_TEST(StartedJobsDoNotWaitAgainUnderANewLeader);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against taking an assignment as a start: the runners are lost just
  // before the jobs come, so that no start is carried out.
  void JobsOfLostRunnersWait() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      SubmitToLostRunners(group);
      CheckWaiting(group, Accepted(group), seed);
      group.Advance(kLeasesEnd);
      CheckWaiting(group, Accepted(group), seed);
      CompleteOnNewRunners(group, seed);
    }
  }

  // Guards against a count that only the leader which assigned the runs keeps:
  // it is crashed and started again, alone or with all members.
  void JobsOfLostRunnersWaitUnderANewLeader() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      SubmitToLostRunners(group);
      CrashLeader(group, seed % 2 == 0);
      CheckWaiting(group, Accepted(group), seed);
      group.Advance(kLeasesEnd);
      CheckWaiting(group, Accepted(group), seed);
      CompleteOnNewRunners(group, seed);
    }
  }

  // Guards against a count that lacks the jobs which still wait beside
  // cancelled ones.
  void CancelledJobsOfLostRunnersLeaveTheCount() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      SubmitToLostRunners(group);
      group.CancelSome();
      group.Advance(Millis(500));
      CheckWaiting(group, Accepted(group) - 1, seed);
      group.Advance(kLeasesEnd);
      CheckWaiting(group, Accepted(group) - 1, seed);
    }
  }

  void JobsOfRunnersThatRefuseConnectionsWait() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      Settle(group);
      for (std::size_t runner = 0; runner < kRunners; ++runner) {
        group.CutRunner(runner, RunnerCut::kRefused);
      }
      SubmitJobs(group);
      CheckWaiting(group, Accepted(group), seed);
      group.Advance(kLeasesEnd);
      CheckWaiting(group, Accepted(group), seed);
      for (std::size_t runner = 0; runner < kRunners; ++runner) {
        group.CutRunner(runner, RunnerCut::kNone);
      }
      group.Advance(Millis(10'000));
      CheckAllCompleted(group, seed);
    }
  }

  // Guards against jobs that wait again after their tasks began: the runners
  // and the leader are lost together, so that the next leader finds neither
  // runs nor run lists.
  void StartedJobsDoNotWaitAgainUnderANewLeader() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      FakeWorkGroup group(kMembers, kRunners, seed);
      Settle(group);
      for (std::uint32_t i = 0; i < kJobs; ++i) {
        group.SubmitLongRunning(1);
      }
      group.Advance(Millis(500));
      CheckWaiting(group, 0, seed);
      CPPUNIT_ASSERT_EQUAL(std::size_t{kJobs}, group.started_jobs().size());
      for (std::size_t runner = 0; runner < kRunners; ++runner) {
        group.PowerOffRunner(runner);
      }
      CrashLeader(group, seed % 2 == 0);
      CheckWaiting(group, 0, seed);
      group.Advance(kLeasesEnd);
      CheckWaiting(group, 0, seed);
      const jobs::WorkState& state = group.state(*group.Leader());
      for (const auto& [number, id] : state.active()) {
        CPPUNIT_ASSERT(state.FindJob(id)->Phase() == wire::JobPhase::Running);
      }
    }
  }

 private:
  static void Settle(FakeWorkGroup& group) {
    group.HealAll();
    group.faults().m_run_fails = 0;
    group.Advance(Millis(5000));
  }

  static void SubmitJobs(FakeWorkGroup& group) {
    for (std::uint32_t i = 0; i < kJobs; ++i) {
      group.Submit();
    }
    group.Advance(Millis(500));
    CPPUNIT_ASSERT(group.accepted().size() > 1);
  }

  static void SubmitToLostRunners(FakeWorkGroup& group) {
    Settle(group);
    for (std::size_t runner = 0; runner < kRunners; ++runner) {
      group.PowerOffRunner(runner);
    }
    SubmitJobs(group);
  }

  static std::uint32_t Accepted(const FakeWorkGroup& group) {
    return static_cast<std::uint32_t>(group.accepted().size());
  }

  static void CrashLeader(FakeWorkGroup& group, bool with_all) {
    const auto leader = group.Leader();
    CPPUNIT_ASSERT(leader);
    for (std::size_t member = 0; member < kMembers; ++member) {
      if (with_all || member == *leader) {
        group.Crash(member);
      }
    }
    group.Advance(Millis(300));
    for (std::size_t member = 0; member < kMembers; ++member) {
      group.Restart(member);
    }
    group.Advance(Millis(4000));
  }

  static void CheckWaiting(FakeWorkGroup& group, std::uint32_t expected,
                           std::uint64_t seed) {
    const std::string at = "seed " + std::to_string(seed);
    const auto leader = group.Leader();
    CPPUNIT_ASSERT_MESSAGE(at, leader);
    const jobs::WorkState& state = group.state(*leader);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(at, std::string(), group.violation());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(at, std::string(), state.FindIndexError());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(at, expected,
                                 state.WaitingCount(queue_address));
  }

  static void CompleteOnNewRunners(FakeWorkGroup& group, std::uint64_t seed) {
    for (std::size_t runner = 0; runner < kRunners; ++runner) {
      group.PowerOnRunner(runner);
    }
    group.Advance(Millis(20'000));
    CheckAllCompleted(group, seed);
  }

  static void CheckAllCompleted(FakeWorkGroup& group, std::uint64_t seed) {
    CheckWaiting(group, 0, seed);
    const jobs::WorkState& state = group.state(*group.Leader());
    for (const jobs::JobId id : group.accepted()) {
      CPPUNIT_ASSERT_MESSAGE(
          "seed " + std::to_string(seed) + ", job " + jobs::JobIdText(id),
          state.FindJob(id)->m_state == jobs::JobState::kCompleted);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobStartsTest);

}  // namespace
}  // namespace bronzebarrow::node

namespace bronzebarrow::runs {
namespace {

constexpr jobs::JobId kJob = 7;

class RecordedStartsTest : public OwnerAndRunners {
  CPPUNIT_TEST_SUITE(RecordedStartsTest);
  CPPUNIT_TEST(AnsweredStartIsRecordedOnce);
  CPPUNIT_TEST(StartWithoutAnAnswerIsRecordedWithTheRunList);
  CPPUNIT_TEST(StartThatNeverArrivedIsNotRecorded);
  CPPUNIT_TEST(InheritedRunIsRecordedWithTheRunList);
  CPPUNIT_TEST(ListedEndOfALostRunIsRecorded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnsweredStartIsRecordedOnce() {
    AcceptJob(kJob, 2);
    AssignRuns({Run(kJob, 0), Run(kJob, 1)}, Id(0));
    CPPUNIT_ASSERT(!IsStarted());
    std::size_t recorded = 0;
    for (const RunnerCall& call : Step()) {
      m_dispatcher->OnAnswer(call, Execute(call), m_now);
      for (wire::WorkBodyUnion& body : CheckCommands()) {
        recorded += body.AsRecordStarts() == nullptr ? 0 : 1;
        // Applied later: the second start is answered before.
        m_held.push_back(std::move(body));
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recorded);
    for (wire::WorkBodyUnion& body : m_held) {
      ApplyBody(std::move(body));
    }
    m_held.clear();
    CPPUNIT_ASSERT(IsStarted());
  }

  // Guards against a job that counts as waiting for good, or too soon as
  // started, after its start was carried out without an answer.
  void StartWithoutAnAnswerIsRecordedWithTheRunList() {
    Assign(kJob, 1, Id(0));
    const auto lose_start_answers = [this](const RunnerCall& call) {
      const RunnerAnswer answer = Execute(call);
      return call.m_kind == CallKind::kStart ? Failed(AnswerKind::kNoAnswer)
                                             : answer;
    };
    for (const RunnerCall& call : Step()) {
      if (call.m_kind == CallKind::kStart) {
        Return(call, lose_start_answers(call));
        CPPUNIT_ASSERT(IsRunning(Run(kJob)));
        CPPUNIT_ASSERT(!IsStarted());
      }
    }
    Play(Millis(4000), lose_start_answers);
    CPPUNIT_ASSERT(IsStarted());
  }

  void StartThatNeverArrivedIsNotRecorded() {
    Assign(kJob, 1, Id(0));
    Play(Millis(12'000), [this](const RunnerCall& call) {
      return call.m_runner == Id(0) ? Failed(AnswerKind::kNoAnswer)
                                    : Execute(call);
    });
    CPPUNIT_ASSERT(!IsAssigned(Run(kJob)));
    CPPUNIT_ASSERT(!IsStarted());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, m_state->WaitingCount(m_queue));
  }

  // Guards against an owner that ends before its record is in the log.
  void InheritedRunIsRecordedWithTheRunList() {
    Assign(kJob, 1, Id(0));
    for (const RunnerCall& call : Step()) {
      Execute(call);
    }
    m_dispatcher->StepDown();
    CPPUNIT_ASSERT(!IsStarted());
    m_dispatcher->BecomeLeader(TakeOwnership(), m_now);
    Work(Millis(400));
    CPPUNIT_ASSERT(IsStarted());
  }

  // Guards against a job that waits again although its run was carried out
  // and ended, while its runner was taken to be lost.
  void ListedEndOfALostRunIsRecorded() {
    Assign(kJob, 1, Id(0));
    Play(Millis(12'000), [this](const RunnerCall& call) {
      if (call.m_runner != Id(0) || call.m_kind == CallKind::kStart) {
        const RunnerAnswer answer = Execute(call);
        return call.m_runner == Id(0) ? Failed(AnswerKind::kNoAnswer) : answer;
      }
      return Failed(AnswerKind::kNoAnswer);
    });
    CPPUNIT_ASSERT(!IsAssigned(Run(kJob)));
    CPPUNIT_ASSERT(!IsStarted());
    Work(Millis(2000));
    CPPUNIT_ASSERT(IsStarted());
  }

 private:
  bool IsStarted() const { return m_state->FindJob(kJob)->m_started; }

  std::vector<wire::WorkBodyUnion> m_held;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordedStartsTest);

}  // namespace
}  // namespace bronzebarrow::runs
