// Tests the calls that a leader serves, in a group of one member: what callers
// read of their jobs while the configuration and the wall clock change.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>

#include "bronzebarrow/node/work_core.h"

namespace bronzebarrow::node {
namespace {

constexpr std::uint64_t kWallMs = 1'700'000'000'000;
constexpr jobs::JobId kJob = 7;
constexpr const char* kHost = "q.example";
constexpr const char* kPrefix = "/q/";
// How long callers may read a job after its end.
constexpr Duration kReadableAfterEnd = Millis(120'000);

class WorkCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkCallsTest);
  CPPUNIT_TEST(JobIsFoundAfterItsQueueWasRenamed);
  CPPUNIT_TEST(EndedJobIsFoundAfterTheWallClockJumped);
  CPPUNIT_TEST(EndedJobIsForgottenInTheEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_moment = {Instant() + std::chrono::hours(1), kWallMs};
    WorkCoreOptions options;
    options.m_replica.m_id = {"m0", 1};
    consensus::DurableState durable;
    durable.m_base_membership =
        consensus::Membership({{options.m_replica.m_id, true}});
    m_core = std::make_unique<WorkCore>(options, durable, m_moment);
    Advance(Millis(3000));
    CPPUNIT_ASSERT(m_core->CanServe(m_moment.m_now));
    PutConfig(1, "queue");
  }

  // Guards against reporting an accepted job as missing: its address still
  // leads to a queue, under another name.
  void JobIsFoundAfterItsQueueWasRenamed() {
    Submit();
    PutConfig(2, "renamed");
    CPPUNIT_ASSERT(Read().outcome == wire::CallOutcome::Found);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1},
                         m_core->state().WaitingCount("renamed"));
    CPPUNIT_ASSERT_EQUAL(std::string(), m_core->state().FindIndexError());
    CPPUNIT_ASSERT(m_core->state().queues().Find(
                       m_core->state().FindJob(kJob)->m_queue) != nullptr);
  }

  // Guards against retention by wall clock times of different readings: a jump
  // ahead by less than a minute removed a job that had just ended.
  void EndedJobIsFoundAfterTheWallClockJumped() {
    Submit();
    Cancel();
    m_moment.m_wall_ms += 45'000;
    Advance(kReadableAfterEnd);
    CPPUNIT_ASSERT(Read().outcome == wire::CallOutcome::Found);
  }

  void EndedJobIsForgottenInTheEnd() {
    Submit();
    Cancel();
    m_moment.m_wall_ms -= 600'000;
    Advance(2 * kReadableAfterEnd);
    CPPUNIT_ASSERT(Read().outcome == wire::CallOutcome::Missing);
    CPPUNIT_ASSERT(m_core->state().jobs().empty());
  }

 private:
  static std::string Path() { return kPrefix + jobs::JobIdText(kJob); }

  void Sync() {
    while (m_core->HasBatch()) {
      m_core->TakeBatch(m_moment.m_now);
      m_core->BatchSynced(m_moment);
    }
  }

  void Advance(Duration span) {
    constexpr Duration kStep = Millis(25);
    const Instant end = m_moment.m_now + span;
    while (m_moment.m_now < end) {
      m_moment.m_now += kStep;
      m_moment.m_wall_ms += 25;
      m_core->Tick(m_moment);
      Sync();
    }
  }

  template <typename Body>
  wire::CallReplyT Call(Body body) {
    wire::CallT call;
    call.id = ++m_last_call;
    call.body.Set(std::move(body));
    m_core->OnCall(1, call, m_moment);
    Sync();
    for (OutgoingReply& reply : m_core->TakeReplies()) {
      if (reply.m_reply.id == call.id) {
        return std::move(reply.m_reply);
      }
    }
    CPPUNIT_FAIL("a call without a reply");
    return {};
  }

  void PutConfig(std::uint64_t version, const std::string& queue_name) {
    wire::PutConfigCallT put;
    put.config = std::make_unique<wire::FleetConfigT>();
    put.config->version = version;
    put.config->pools.push_back(std::make_unique<wire::PoolSpecT>());
    put.config->pools.back()->name = "pool";
    put.config->queues.push_back(std::make_unique<wire::QueueSpecT>());
    wire::QueueSpecT& queue = *put.config->queues.back();
    queue.name = queue_name;
    queue.host = kHost;
    queue.path_prefix = kPrefix;
    queue.pool = "pool";
    queue.attempts = 2;
    queue.timeout_ms = 3000;
    CPPUNIT_ASSERT(Call(std::move(put)).outcome == wire::CallOutcome::Accepted);
  }

  void Submit() {
    wire::SubmitCallT submit;
    submit.host = kHost;
    submit.path = Path();
    submit.job = std::make_unique<wire::JobSpecT>();
    submit.job->id = jobs::JobIdText(kJob);
    submit.job->steps.push_back(std::make_unique<wire::StepSpecT>());
    submit.job->steps.back()->count = 1;
    CPPUNIT_ASSERT(Call(std::move(submit)).outcome ==
                   wire::CallOutcome::Accepted);
  }

  void Cancel() {
    wire::CancelCallT cancel;
    cancel.host = kHost;
    cancel.path = Path();
    CPPUNIT_ASSERT(Call(std::move(cancel)).outcome ==
                   wire::CallOutcome::Accepted);
  }

  wire::CallReplyT Read() {
    wire::ReadJobCallT read;
    read.host = kHost;
    read.path = Path();
    return Call(std::move(read));
  }

  Moment m_moment;
  std::unique_ptr<WorkCore> m_core;
  std::uint64_t m_last_call = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkCallsTest);

}  // namespace
}  // namespace bronzebarrow::node
