// Tests which member carries out a call, until when it may, and when a call
// counts as unanswered.
#include "bronzebarrow/node/relay_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace bronzebarrow::node {
namespace {

constexpr std::uint64_t kClockMs = 5'000'000;
constexpr std::size_t kRunners = 1100;

class RelayTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayTableTest);
  CPPUNIT_TEST(SmallFleetIsCalledDirectly);
  CPPUNIT_TEST(LargeFleetIsSpreadOverTheMembers);
  CPPUNIT_TEST(LostMemberChangesThePathOfItsRunnersOnly);
  CPPUNIT_TEST(MemberWithUnknownClockGetsNoCalls);
  CPPUNIT_TEST(PermissionEndsWithTheLeadership);
  CPPUNIT_TEST(CallsOfASilentMemberAreUnanswered);
  CPPUNIT_TEST(TimeWithoutAttentionIsNoSilence);
  CPPUNIT_TEST(CallsOfARestartedMemberAreUnanswered);
  CPPUNIT_TEST(LateAnswerHasNoCall);
  CPPUNIT_TEST(CallsAndAnswersSurviveTheWire);
  CPPUNIT_TEST(UnknownKindOfAnswerIsNone);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_now = Instant() + std::chrono::hours(1);
    m_table = std::make_unique<RelayTable>(RelayOptions());
    for (const char* member : {"a", "b", "c", "d"}) {
      SeeMember(member);
    }
  }

  void SmallFleetIsCalledDirectly() {
    for (int i = 0; i < 50; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string(),
                           m_table->ChooseMember(Runner(i), 50, m_now));
    }
  }

  void LargeFleetIsSpreadOverTheMembers() {
    const auto counts = Spread();
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, counts.size());
    for (const auto& [member, count] : counts) {
      if (member.empty()) {
        CPPUNIT_ASSERT(count < 128);
      } else {
        CPPUNIT_ASSERT(count > kRunners / 8);
        CPPUNIT_ASSERT(count < kRunners / 2);
      }
    }
  }

  void LostMemberChangesThePathOfItsRunnersOnly() {
    std::map<std::string, std::string> before;
    for (std::size_t i = 0; i < kRunners; ++i) {
      before[Runner(i)] = Choose(i);
    }
    m_now += Millis(1000);
    for (const char* member : {"a", "b", "c"}) {
      SeeMember(member);
    }
    for (std::size_t i = 0; i < kRunners; ++i) {
      const std::string member = Choose(i);
      CPPUNIT_ASSERT(member != "d");
      CPPUNIT_ASSERT(before[Runner(i)] == "d" || member == before[Runner(i)]);
    }
  }

  void MemberWithUnknownClockGetsNoCalls() {
    m_table->OnConnect("a");
    m_table->OnFrame("a", m_now);
    CPPUNIT_ASSERT(!Spread().contains("a"));
    SeeMember("a");
    CPPUNIT_ASSERT(Spread().contains("a"));
  }

  // Guards against a member that was suspended and then sends calls of a leader
  // whose leadership has ended: the time is one of the member's own clock.
  void PermissionEndsWithTheLeadership() {
    m_now += Millis(300);
    const auto relayed =
        m_table->Add("a", runs::RunnerCall(), m_now + Millis(700), m_now);
    CPPUNIT_ASSERT_EQUAL(kClockMs + 1000, relayed.not_after_ms);
    const auto expired =
        m_table->Add("a", runs::RunnerCall(), m_now - Millis(2000), m_now);
    CPPUNIT_ASSERT_EQUAL(kClockMs, expired.not_after_ms);
  }

  void CallsOfASilentMemberAreUnanswered() {
    runs::RunnerCall hold;
    hold.m_runner = "r";
    hold.m_wait_ms = 1000;
    m_table->Add("a", hold, m_now + Millis(900), m_now);
    m_table->Add("b", hold, m_now + Millis(900), m_now);
    m_now += Millis(800);
    SeeMember("b");
    CPPUNIT_ASSERT(m_table->TakeOverdue(m_now).empty());
    m_now += Millis(200);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_table->TakeOverdue(m_now).size());
    m_now += Millis(800);
    SeeMember("b");
    CPPUNIT_ASSERT(m_table->TakeOverdue(m_now).empty());
    m_now += Millis(300);
    const auto overdue = m_table->TakeOverdue(m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, overdue.size());
    CPPUNIT_ASSERT_EQUAL(std::string("r"), overdue[0].m_runner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_table->pending());
  }

  // Guards against an owner that was late itself and takes answers for missing
  // that it has not read yet.
  void TimeWithoutAttentionIsNoSilence() {
    runs::RunnerCall hold;
    hold.m_wait_ms = 1000;
    const auto relayed = m_table->Add("a", hold, m_now + Millis(900), m_now);
    m_now += Millis(5000);
    m_table->OnUnattended(Millis(4900), m_now);
    CPPUNIT_ASSERT(m_table->TakeOverdue(m_now).empty());
    CPPUNIT_ASSERT(Spread().contains("a"));
    const auto later = m_table->Add("a", hold, m_now - Millis(4100), m_now);
    CPPUNIT_ASSERT_EQUAL(relayed.not_after_ms, later.not_after_ms);
    m_now += Millis(801);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_table->TakeOverdue(m_now).size());
    CPPUNIT_ASSERT(!Spread().contains("a"));
  }

  void CallsOfARestartedMemberAreUnanswered() {
    m_table->Add("a", runs::RunnerCall(), m_now + Millis(900), m_now);
    m_table->OnConnect("a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_table->TakeOverdue(m_now).size());
  }

  // Guards against an answer that is taken after the call was given up, or from
  // another member than the one that carries it out.
  void LateAnswerHasNoCall() {
    const auto relayed =
        m_table->Add("a", runs::RunnerCall(), m_now + Millis(900), m_now);
    CPPUNIT_ASSERT(!m_table->Take("b", relayed.id));
    CPPUNIT_ASSERT(m_table->Take("a", relayed.id));
    CPPUNIT_ASSERT(!m_table->Take("a", relayed.id));
    const auto given_up =
        m_table->Add("a", runs::RunnerCall(), m_now + Millis(900), m_now);
    m_now += Millis(5000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_table->TakeOverdue(m_now).size());
    CPPUNIT_ASSERT(!m_table->Take("a", given_up.id));
  }

  void CallsAndAnswersSurviveTheWire() {
    runs::RunnerCall call;
    call.m_kind = runs::CallKind::kStart;
    call.m_runner = "r";
    call.m_born_ms = 2;
    call.m_address = "127.0.0.1:1";
    call.m_epoch = 3;
    call.m_expires_ms = 4;
    call.m_run = {{5, 6, 7, 8}, 9};
    call.m_job_name = "j";
    call.m_spec = "s";
    call.m_checkpoint = "c";
    call.m_ticket = "t";
    call.m_last_recorded_end = 10;
    call.m_wait_ms = 11;
    call.m_percent = 12;
    const runs::RunnerCall copy = FromWire(ToWire(call));
    CPPUNIT_ASSERT(copy.m_kind == call.m_kind && copy.m_run == call.m_run);
    CPPUNIT_ASSERT(copy.m_runner == "r" && copy.m_address == call.m_address &&
                   copy.m_job_name == "j" && copy.m_spec == "s" &&
                   copy.m_checkpoint == "c" && copy.m_ticket == "t");
    CPPUNIT_ASSERT(copy.m_born_ms == 2 && copy.m_epoch == 3 &&
                   copy.m_expires_ms == 4 && copy.m_last_recorded_end == 10 &&
                   copy.m_wait_ms == 11 && copy.m_percent == 12);
    runs::RunnerAnswer answer;
    answer.m_kind = runs::AnswerKind::kOk;
    answer.m_born_ms = 1;
    answer.m_clock_ms = 2;
    answer.m_running.push_back({{{5, 6, 7, 8}, 9}, "c", 10, 11});
    answer.m_ended.push_back(
        {12, {{5, 6, 7, 9}, 13}, wire::EndKind::Lapsed, "d"});
    wire::RelayedAnswerT relayed = ToWire(answer);
    const runs::RunnerAnswer same = FromWire(relayed);
    CPPUNIT_ASSERT(same.m_kind == answer.m_kind && same.m_born_ms == 1 &&
                   same.m_clock_ms == 2);
    CPPUNIT_ASSERT(same.m_running[0].m_run == answer.m_running[0].m_run &&
                   same.m_running[0].m_checkpoint == "c" &&
                   same.m_running[0].m_percent == 10 &&
                   same.m_running[0].m_load == 11);
    CPPUNIT_ASSERT(same.m_ended[0].m_run == answer.m_ended[0].m_run &&
                   same.m_ended[0].m_end_number == 12 &&
                   same.m_ended[0].m_how == wire::EndKind::Lapsed &&
                   same.m_ended[0].m_checkpoint == "d");
    relayed.ended[0]->end.reset();
    relayed.kind = 200;
    CPPUNIT_ASSERT(FromWire(relayed).m_kind == runs::AnswerKind::kInvalid);
  }

  // A member of a later version may send kinds that this one lacks.
  void UnknownKindOfAnswerIsNone() {
    runs::RunnerAnswer answer;
    answer.m_kind = runs::AnswerKind::kNotSent;
    wire::RelayedAnswerT relayed = ToWire(answer);
    CPPUNIT_ASSERT(FromWire(relayed).m_kind == runs::AnswerKind::kNotSent);
    ++relayed.kind;
    CPPUNIT_ASSERT(FromWire(relayed).m_kind == runs::AnswerKind::kNoAnswer);
  }

 private:
  static std::string Runner(std::size_t number) {
    return "i-" + std::to_string(number);
  }
  void SeeMember(const std::string& member) {
    m_table->OnFrame(member, m_now);
    m_table->OnClock(member, kClockMs, m_now);
  }
  std::string Choose(std::size_t runner) const {
    return m_table->ChooseMember(Runner(runner), kRunners, m_now);
  }
  std::map<std::string, std::size_t> Spread() const {
    std::map<std::string, std::size_t> counts;
    for (std::size_t i = 0; i < kRunners; ++i) {
      ++counts[Choose(i)];
    }
    return counts;
  }

  Instant m_now;
  std::unique_ptr<RelayTable> m_table;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTableTest);

}  // namespace
}  // namespace bronzebarrow::node
