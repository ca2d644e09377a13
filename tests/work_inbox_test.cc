// Tests the order in which a member serves incoming work, and what it no longer
// serves.
#include "bronzebarrow/node/work_inbox.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace bronzebarrow::node {
namespace {

constexpr Duration kMaxAge = Millis(400);

class WorkInboxTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkInboxTest);
  CPPUNIT_TEST(ServesClassesInOrder);
  CPPUNIT_TEST(ServesTheOldestOfAClass);
  CPPUNIT_TEST(LaterWorkOfAnEarlierClassGoesFirst);
  CPPUNIT_TEST(TellsHowLongWorkWaited);
  CPPUNIT_TEST(WorkIsOverdueOnceItsCallerLeft);
  CPPUNIT_TEST(OnlySubmitsAreTooOld);
  CPPUNIT_TEST(OverdueSubmitIsNotRefused);
  CPPUNIT_TEST(RefusalsDoNotWaitBehindReports);
  CPPUNIT_TEST(RefusalsWaitBehindConsensusAndRunners);
  CPPUNIT_TEST(EachPieceLeavesOnce);
  CPPUNIT_TEST(ItemsAreOnlyMoved);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_inbox = Inbox(WorkInboxOptions{kMaxAge}); }

  void ServesClassesInOrder() {
    for (std::size_t i = kWorkClasses; i > 0; --i) {
      Push(static_cast<WorkClass>(i - 1));
    }
    const std::vector<std::string> expected = {
        "consensus", "runner_answer", "hold", "stop",
        "start",     "report",        "read", "submit"};
    CPPUNIT_ASSERT(expected == PopAll());
  }

  void ServesTheOldestOfAClass() {
    Push(WorkClass::kRead, "first");
    m_now += Millis(1);
    Push(WorkClass::kRead, "second");
    CPPUNIT_ASSERT((std::vector<std::string>{"first", "second"}) == PopAll());
  }

  void LaterWorkOfAnEarlierClassGoesFirst() {
    Push(WorkClass::kSubmit, "submit");
    Push(WorkClass::kRead, "read");
    CPPUNIT_ASSERT_EQUAL(std::string("read"), m_inbox.Pop(m_now)->m_item);
    Push(WorkClass::kHold, "hold");
    CPPUNIT_ASSERT((std::vector<std::string>{"hold", "submit"}) == PopAll());
  }

  void TellsHowLongWorkWaited() {
    Push(WorkClass::kReport);
    m_now += Millis(30);
    const auto popped = m_inbox.Pop(m_now);
    CPPUNIT_ASSERT(popped->m_class == WorkClass::kReport);
    CPPUNIT_ASSERT(popped->m_waited == Millis(30));
    CPPUNIT_ASSERT(popped->m_state == InboxState::kDue);
  }

  void WorkIsOverdueOnceItsCallerLeft() {
    Push(WorkClass::kRead, "", Millis(100));
    Push(WorkClass::kRead, "", Millis(100));
    m_now += Millis(100);
    CPPUNIT_ASSERT(m_inbox.Pop(m_now)->m_state == InboxState::kDue);
    m_now += Millis(1);
    CPPUNIT_ASSERT(m_inbox.Pop(m_now)->m_state == InboxState::kOverdue);
  }

  void OnlySubmitsAreTooOld() {
    for (std::size_t i = 0; i < kWorkClasses; ++i) {
      Push(static_cast<WorkClass>(i));
    }
    m_now += kMaxAge + Millis(1);
    for (std::size_t i = 0; i < kWorkClasses; ++i) {
      const auto popped = m_inbox.Pop(m_now);
      CPPUNIT_ASSERT_EQUAL(popped->m_class == WorkClass::kSubmit,
                           popped->m_state == InboxState::kTooOld);
    }
    Push(WorkClass::kSubmit);
    m_now += kMaxAge;
    CPPUNIT_ASSERT(m_inbox.Pop(m_now)->m_state == InboxState::kDue);
  }

  void OverdueSubmitIsNotRefused() {
    Push(WorkClass::kSubmit, "", kMaxAge);
    m_now += kMaxAge + Millis(1);
    CPPUNIT_ASSERT(m_inbox.Pop(m_now)->m_state == InboxState::kOverdue);
  }

  void RefusalsDoNotWaitBehindReports() {
    Push(WorkClass::kSubmit, "old submit");
    m_now += kMaxAge + Millis(1);
    Push(WorkClass::kSubmit, "new submit");
    Push(WorkClass::kReport, "report");
    CPPUNIT_ASSERT((std::vector<std::string>{"old submit", "report",
                                             "new submit"}) == PopAll());
  }

  void RefusalsWaitBehindConsensusAndRunners() {
    Push(WorkClass::kSubmit, "old submit");
    m_now += kMaxAge + Millis(1);
    Push(WorkClass::kStart, "start");
    Push(WorkClass::kConsensus, "consensus");
    CPPUNIT_ASSERT((std::vector<std::string>{"consensus", "start",
                                             "old submit"}) == PopAll());
  }

  void EachPieceLeavesOnce() {
    CPPUNIT_ASSERT(!m_inbox.Pop(m_now));
    Push(WorkClass::kRead);
    Push(WorkClass::kSubmit);
    Push(WorkClass::kSubmit);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_inbox.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_inbox.size(WorkClass::kSubmit));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, PopAll().size());
    CPPUNIT_ASSERT(m_inbox.empty());
    CPPUNIT_ASSERT(!m_inbox.Pop(m_now));
  }

  void ItemsAreOnlyMoved() {
    WorkInbox<std::unique_ptr<int>> inbox;
    inbox.Push(WorkClass::kRead, std::make_unique<int>(7), m_now);
    const auto popped = inbox.Pop(m_now);
    CPPUNIT_ASSERT_EQUAL(7, *popped->m_item);
  }

 private:
  using Inbox = WorkInbox<std::string>;

  /** Pushes work that is named after its class unless it has a name. */
  void Push(WorkClass work_class, std::string name = {},
            Duration patience = Inbox::kUnlimited) {
    if (name.empty()) {
      name = NameOf(work_class);
    }
    m_inbox.Push(work_class, std::move(name), m_now, patience);
  }

  std::vector<std::string> PopAll() {
    std::vector<std::string> names;
    while (auto popped = m_inbox.Pop(m_now)) {
      names.push_back(std::move(popped->m_item));
    }
    return names;
  }

  Inbox m_inbox;
  Instant m_now = Instant() + std::chrono::hours(1);
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkInboxTest);

}  // namespace
}  // namespace bronzebarrow::node
