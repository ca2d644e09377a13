// Tests of the dispatcher about the next incarnation of a runner, which has the
// same id and carries out calls that were sent to the earlier one. All of them
// are known to fail (KNOWN-RED.txt).
#include "owner_and_runners.h"

namespace bronzebarrow::runs {
namespace {

class NextIncarnationTest : public OwnerAndRunners {
  CPPUNIT_TEST_SUITE(NextIncarnationTest);
  CPPUNIT_TEST(UnansweredStartOutlivesAListedEnd);
  CPPUNIT_TEST(InheritedStartOutlivesAListedEnd);
  CPPUNIT_TEST(UnansweredStartOutlivesTheLease);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a second run of a task whose start was not answered: the
  // machine is down, and its next runner, with the same id, carries it out.
  void UnansweredStartOutlivesAListedEnd() {
    for (const bool crashed : {true, false}) {
      setUp();
      Assign(1, 1, Id(0));
      const RunnerCall start = m_dispatcher->TakeOutgoingCalls().at(0);
      m_now += kStep;
      Return(start, Failed(AnswerKind::kNoAnswer));
      RestartListedAsDown(crashed);
      Execute(start);
    }
  }

  // As above, with a start of the former owner.
  void InheritedStartOutlivesAListedEnd() {
    Assign(1, 1, Id(0));
    const RunnerCall start = m_dispatcher->TakeOutgoingCalls().at(0);
    m_dispatcher->StepDown();
    m_dispatcher->BecomeLeader(TakeOwnership(), m_now);
    RestartListedAsDown(true);
    Execute(start);
  }

  // The next incarnation measures the lease on a clock of its own, so that the
  // run lasts longer there than the owner waits.
  void UnansweredStartOutlivesTheLease() {
    Assign(1, 1, Id(0));
    const RunnerCall start = m_dispatcher->TakeOutgoingCalls().at(0);
    const Network is_cut = [this](const RunnerCall& call) {
      return call.m_runner == Id(0) ? Failed(AnswerKind::kNoAnswer)
                                    : Execute(call);
    };
    Return(start, Failed(AnswerKind::kNoAnswer));
    Play(Millis(3000), is_cut);
    Boot(Id(0), kBornMs + 1);
    Play(Millis(500), is_cut);
    Execute(start);
    Play(Millis(10'000), is_cut);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_lost.size());
  }

 private:
  void RestartListedAsDown(bool crashed) {
    Play(Millis(100), [this](const RunnerCall& call) {
      return call.m_runner == Id(0) ? Failed(AnswerKind::kNoAnswer)
                                    : Execute(call);
    });
    m_dispatcher->OnEndListed(Id(0), m_now, crashed, m_now);
    ApplyCommands();
    m_now += Millis(1000);
    Boot(Id(0), kBornMs + 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NextIncarnationTest);

}  // namespace
}  // namespace bronzebarrow::runs
