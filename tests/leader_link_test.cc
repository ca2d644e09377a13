// Tests of the outcome of calls whose attempts are lost, refused or answered by
// different members, against fake members on loopback.
#include "bronzebarrow/node/leader_link.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "fake_member.h"

namespace bronzebarrow::node {
namespace {

namespace asio = boost::asio;

constexpr Duration kTestLimit = Millis(6000);

class LeaderLinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaderLinkTest);
  CPPUNIT_TEST(RefusalAfterALostReplyIsUnknown);
  CPPUNIT_TEST(AnswerAfterALostReplyIsReturned);
  CPPUNIT_TEST(FirstRefusalIsReturned);
  CPPUNIT_TEST(CallOutlivesALeaderThatStepsDown);
  CPPUNIT_TEST(StopEndsCallsTruthfully);
  CPPUNIT_TEST(ReloadKeepsCallsInProgress);
  CPPUNIT_TEST(LeaderThatLeavesTheGroupLosesNoCall);
  CPPUNIT_TEST(SlowLeaderGetsOneCopy);
  CPPUNIT_TEST(SilentConnectionIsReplaced);
  CPPUNIT_TEST(CallSaysHowLongItsCallerWaits);
  CPPUNIT_TEST(EndedCallsAreTruthful);
  CPPUNIT_TEST(LateProbeClosesNoConnection);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_io = std::make_unique<asio::io_context>(1);
    m_member = std::make_unique<FakeMember>(*m_io);
    m_member->SetView(1, true, {m_member->name()});
    m_link = std::make_unique<LeaderLink>(
        m_io->get_executor(), "entry",
        std::vector<std::string>{m_member->name()});
    m_link->Start();
    RunUntil([&] { return m_link->leader() == m_member->name(); });
  }

  void tearDown() override {
    m_link->Stop();
    m_io->run_for(Millis(20));
    m_link.reset();
    m_member.reset();
    m_io.reset();
  }

  // Guards against a submission that is executed by its first attempt, whose
  // reply is lost, and is then reported as refused, e.g. because its queue has
  // been removed meanwhile.
  void RefusalAfterALostReplyIsUnknown() {
    for (const auto refusal :
         {wire::CallOutcome::NotRun, wire::CallOutcome::Refused,
          wire::CallOutcome::NoQueue}) {
      m_member->m_script = {std::nullopt, refusal};
      m_member->m_calls = 0;
      CPPUNIT_ASSERT_EQUAL(std::string("Unknown"), Outcome(Millis(2000)));
      CPPUNIT_ASSERT_EQUAL(2, m_member->m_calls);
    }
  }

  void AnswerAfterALostReplyIsReturned() {
    for (const auto outcome :
         {wire::CallOutcome::Accepted, wire::CallOutcome::Missing,
          wire::CallOutcome::Found, wire::CallOutcome::Invalid}) {
      m_member->m_script = {std::nullopt, outcome};
      CPPUNIT_ASSERT_EQUAL(std::string(wire::EnumNameCallOutcome(outcome)),
                           Outcome(Millis(2000)));
    }
  }

  void FirstRefusalIsReturned() {
    for (const auto outcome :
         {wire::CallOutcome::NotRun, wire::CallOutcome::Refused,
          wire::CallOutcome::NoQueue}) {
      m_member->m_script = {outcome};
      CPPUNIT_ASSERT_EQUAL(std::string(wire::EnumNameCallOutcome(outcome)),
                           Outcome(Millis(2000)));
    }
  }

  // Guards against a call that is given up with an unknown outcome when its
  // leader steps down, although the next leader can settle it in time.
  void CallOutlivesALeaderThatStepsDown() {
    m_member->m_script = {wire::CallOutcome::Unknown,
                          wire::CallOutcome::Accepted};
    CPPUNIT_ASSERT_EQUAL(std::string("Accepted"), Outcome(Millis(2000)));
    m_member->m_script = {wire::CallOutcome::Unknown,
                          wire::CallOutcome::Refused};
    CPPUNIT_ASSERT_EQUAL(std::string("Unknown"), Outcome(Millis(2000)));
  }

  // Guards against a call that a stop leaves without an outcome, or whose
  // attempt in progress is taken for one that was not executed.
  void StopEndsCallsTruthfully() {
    const auto outcome = StartCall(Millis(5000));
    RunUntil([&] { return m_member->m_calls == 1; });
    const Instant stopped_at = Now();
    m_link->Stop();
    RunUntil([&] { return outcome->has_value(); });
    CPPUNIT_ASSERT(Now() < stopped_at + Millis(1000));
    CPPUNIT_ASSERT_EQUAL(std::string("Unknown"), outcome->value());
  }

  // Guards against a reload of the settings that loses the reply to a call.
  void ReloadKeepsCallsInProgress() {
    FakeMember other(*m_io);
    const auto outcome = StartCall(Millis(2000));
    RunUntil([&] { return m_member->m_calls == 1; });
    m_link->SetSeeds({other.name()});
    m_io->run_for(Millis(100));
    m_member->ReplyToLastCall(wire::CallOutcome::Accepted);
    RunUntil([&] { return outcome->has_value(); });
    CPPUNIT_ASSERT_EQUAL(std::string("Accepted"), outcome->value());
    CPPUNIT_ASSERT_EQUAL(1, m_member->m_calls);
  }

  // Guards against a call that ends with the connection to a leader that is no
  // longer a member, and against a late reply of that leader.
  void LeaderThatLeavesTheGroupLosesNoCall() {
    FakeMember next(*m_io);
    next.SetView(1, false, {m_member->name(), next.name()});
    m_link->SetSeeds({next.name()});
    m_io->run_for(Millis(200));
    const auto outcome = StartCall(Millis(3000));
    RunUntil([&] { return m_member->m_calls == 1; });
    next.SetView(2, true, {next.name()});
    RunUntil([&] { return next.m_calls == 1; });
    m_member->ReplyToLastCall(wire::CallOutcome::Refused);
    m_io->run_for(Millis(100));
    CPPUNIT_ASSERT(!outcome->has_value());
    next.ReplyToLastCall(wire::CallOutcome::Accepted);
    RunUntil([&] { return outcome->has_value(); });
    CPPUNIT_ASSERT_EQUAL(std::string("Accepted"), outcome->value());
  }

  // Guards against a leader that is short of processor time and gets each call
  // several times.
  void SlowLeaderGetsOneCopy() {
    const auto outcome = StartCall(Millis(4000));
    RunUntil([&] { return m_member->m_calls == 1; });
    m_io->run_for(Millis(2000));
    CPPUNIT_ASSERT_EQUAL(1, m_member->m_calls);
    m_member->ReplyToLastCall(wire::CallOutcome::Accepted);
    RunUntil([&] { return outcome->has_value(); });
    CPPUNIT_ASSERT_EQUAL(std::string("Accepted"), outcome->value());
    CPPUNIT_ASSERT_EQUAL(1, m_member->m_calls);
  }

  // Guards against a call that waits for its deadline on a connection that
  // passes nothing on.
  void SilentConnectionIsReplaced() {
    const auto outcome = StartCall(Millis(5000));
    RunUntil([&] { return m_member->m_calls == 1; });
    m_member->m_is_silent = true;
    RunUntil([&] { return m_member->m_calls == 2; });
    m_member->ReplyToLastCall(wire::CallOutcome::Accepted);
    RunUntil([&] { return outcome->has_value(); });
    CPPUNIT_ASSERT_EQUAL(std::string("Accepted"), outcome->value());
  }

  // Guards against a process that was late itself and takes its peers, whose
  // frames it has not read, for silent.
  void LateProbeClosesNoConnection() {
    const auto outcome = StartCall(Millis(8000));
    RunUntil([&] { return m_member->m_calls == 1; });
    std::this_thread::sleep_for(Millis(2000));
    m_io->run_for(Millis(1000));
    CPPUNIT_ASSERT_EQUAL(1, m_member->m_calls);
    m_member->ReplyToLastCall(wire::CallOutcome::Accepted);
    RunUntil([&] { return outcome->has_value(); });
    CPPUNIT_ASSERT_EQUAL(std::string("Accepted"), outcome->value());
  }

  // The leader compares no clocks: each attempt carries what is left.
  void CallSaysHowLongItsCallerWaits() {
    const auto outcome = StartCall(Millis(2000));
    RunUntil([&] { return m_member->m_calls == 1; });
    m_io->run_for(Millis(300));
    m_member->CloseConnection();
    RunUntil([&] { return m_member->m_calls == 2; });
    CPPUNIT_ASSERT(m_member->m_wait_ms[0] > 1500);
    CPPUNIT_ASSERT(m_member->m_wait_ms[0] <= 2000);
    CPPUNIT_ASSERT(m_member->m_wait_ms[1] > 0);
    CPPUNIT_ASSERT(m_member->m_wait_ms[1] <= m_member->m_wait_ms[0] - 290);
    m_member->ReplyToLastCall(wire::CallOutcome::Accepted);
    RunUntil([&] { return outcome->has_value(); });
  }

  // Guards against a call that was sent to another member and is taken for one
  // that was not when this member becomes the leader.
  void EndedCallsAreTruthful() {
    const auto sent = StartCall(Millis(5000));
    RunUntil([&] { return m_member->m_calls == 1; });
    m_link->EndCalls();
    RunUntil([&] { return sent->has_value(); });
    CPPUNIT_ASSERT_EQUAL(std::string("Unknown"), sent->value());
    m_member->SetView(2, false, {m_member->name()});
    RunUntil([&] { return m_link->leader().empty(); });
    const auto unsent = StartCall(Millis(5000));
    m_io->run_for(Millis(100));
    m_link->EndCalls();
    RunUntil([&] { return unsent->has_value(); });
    CPPUNIT_ASSERT_EQUAL(std::string("NotRun"), unsent->value());
    CPPUNIT_ASSERT_EQUAL(1, m_member->m_calls);
  }

 private:
  using OutcomeName = std::shared_ptr<std::optional<std::string>>;

  OutcomeName StartCall(Duration timeout) {
    const auto outcome = std::make_shared<std::optional<std::string>>();
    asio::co_spawn(
        *m_io,
        [this, outcome, timeout]() -> asio::awaitable<void> {
          wire::CallBodyUnion body;
          body.Set(wire::SubmitCallT());
          const wire::CallReplyT reply =
              co_await m_link->Call(std::move(body), Now() + timeout);
          *outcome = wire::EnumNameCallOutcome(reply.outcome);
        },
        asio::detached);
    return outcome;
  }

  std::string Outcome(Duration timeout) {
    const auto outcome = StartCall(timeout);
    RunUntil([&] { return outcome->has_value(); });
    return outcome->value();
  }

  template <typename Condition>
  void RunUntil(Condition condition) {
    const Instant limit = Now() + kTestLimit;
    while (!condition()) {
      m_io->run_one_until(limit);
      CPPUNIT_ASSERT(Now() < limit);
    }
  }

  std::unique_ptr<asio::io_context> m_io;
  std::unique_ptr<FakeMember> m_member;
  std::unique_ptr<LeaderLink> m_link;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaderLinkTest);

}  // namespace
}  // namespace bronzebarrow::node
