// Tests the order and the lifetime of the adviser's calls and tickets.
#include "bronzebarrow/node/advice_book.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bronzebarrow/jobs.h"

namespace bronzebarrow::node {
namespace {

constexpr Duration kTicketLife = Millis(5000);

class AdviceBookTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdviceBookTest);
  CPPUNIT_TEST(TicketIsReusedWhileItIsValid);
  CPPUNIT_TEST(StepWithAHighJobIdIsNotStarved);
  CPPUNIT_TEST(TicketOfAnEarlierIncarnationIsNotUsed);
  CPPUNIT_TEST(FailedCallIsRepeated);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_now = Instant() + std::chrono::hours(1);
    m_log_index = 0;
    m_state = std::make_unique<jobs::WorkState>();
    m_cache = std::make_unique<AdviceCache>(*m_state);
    m_cache->TakeRequests(m_now);
    RegisterRunner(1);
  }

  void TicketIsReusedWhileItIsValid() {
    AcceptJob(1);
    CPPUNIT_ASSERT(!m_cache->TicketFor(StepOf(1), "r"));
    Answer(Take(1).at(0));
    CPPUNIT_ASSERT(m_cache->TicketFor(StepOf(1), "r"));
    m_now += kTicketLife;
    m_cache->TakeRequests(m_now);
    CPPUNIT_ASSERT(!m_cache->TicketFor(StepOf(1), "r"));
    Take(1);
  }

  // Load pattern: jobs with lower ids arrive faster than the adviser answers.
  void StepWithAHighJobIdIsNotStarved() {
    constexpr jobs::JobId kWaiting = 1000;
    AcceptJob(kWaiting);
    m_cache->TicketFor(StepOf(kWaiting), "r");
    bool asked = false;
    for (jobs::JobId id = 1; id < 40 && !asked; id += 4) {
      for (jobs::JobId burst = id; burst < id + 4; ++burst) {
        AcceptJob(burst);
        m_cache->TicketFor(StepOf(burst), "r");
      }
      m_now += Millis(100);
      for (const AdviceRequest& request : m_cache->TakeRequests(m_now)) {
        asked = asked || request.m_step.m_job == kWaiting;
        Answer(request);
      }
    }
    CPPUNIT_ASSERT(asked);
  }

  // A ticket is valid during one life of its runner.
  void TicketOfAnEarlierIncarnationIsNotUsed() {
    AcceptJob(1);
    m_cache->TicketFor(StepOf(1), "r");
    Answer(Take(1).at(0));
    CPPUNIT_ASSERT(m_cache->TicketFor(StepOf(1), "r"));
    RegisterRunner(2);
    CPPUNIT_ASSERT(!m_cache->TicketFor(StepOf(1), "r"));
    Answer(Take(1).at(0));
    CPPUNIT_ASSERT(m_cache->TicketFor(StepOf(1), "r"));
  }

  void FailedCallIsRepeated() {
    AcceptJob(1);
    m_cache->TicketFor(StepOf(1), "r");
    const AdviceRequest request = Take(1).at(0);
    m_cache->OnAdvice(request, nullptr, Duration::zero(), m_now);
    m_cache->TicketFor(StepOf(1), "r");
    Take(0);
    m_now += Millis(1000);
    Answer(Take(1).at(0));
    CPPUNIT_ASSERT(m_cache->TicketFor(StepOf(1), "r"));
  }

 private:
  static jobs::TaskKey StepOf(jobs::JobId job) { return {job, 0, 0, 0}; }

  template <typename Command>
  void Apply(Command command) {
    wire::WorkCommandT wrapped;
    wrapped.body.Set(std::move(command));
    m_state->Apply(wrapped, ++m_log_index);
  }

  void RegisterRunner(std::uint64_t born_ms) {
    wire::RegisterRunnerT runner;
    runner.runner = std::make_unique<wire::RunnerRecordT>();
    runner.runner->id = "r";
    runner.runner->born_ms = born_ms;
    runner.runner->pool = "pool";
    Apply(std::move(runner));
  }

  void AcceptJob(jobs::JobId id) {
    wire::AcceptJobT accept;
    accept.queue = "queue";
    accept.job = std::make_unique<wire::JobSpecT>();
    accept.job->id = jobs::JobIdText(id);
    accept.job->steps.push_back(std::make_unique<wire::StepSpecT>());
    accept.job->steps.back()->count = 1;
    Apply(std::move(accept));
  }

  std::vector<AdviceRequest> Take(std::size_t expected) {
    auto requests = m_cache->TakeRequests(m_now);
    CPPUNIT_ASSERT_EQUAL(expected, requests.size());
    return requests;
  }

  void Answer(const AdviceRequest& request) {
    const std::map<std::string, std::string> tickets = {{"r", "ticket"}};
    m_cache->OnAdvice(request, &tickets, kTicketLife, m_now);
  }

  Instant m_now;
  std::uint64_t m_log_index = 0;
  std::unique_ptr<jobs::WorkState> m_state;
  std::unique_ptr<AdviceCache> m_cache;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdviceBookTest);

}  // namespace
}  // namespace bronzebarrow::node
