// Tests the calls that a leader serves, in a group of one member: what callers
// read of their jobs while the configuration and the wall clock change, and
// what becomes of the runs of runners that leave.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

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
  CPPUNIT_TEST(JobOfAQueueThatIsRemovedMeanwhileIsNotAccepted);
  CPPUNIT_TEST(EndedJobIsFoundAfterTheWallClockJumped);
  CPPUNIT_TEST(EndedJobIsForgottenInTheEnd);
  CPPUNIT_TEST(IdleRunnerThatLeavesIsRemovedAtOnce);
  CPPUNIT_TEST(LateLeaveOfAnEarlierIncarnationIsIgnored);
  CPPUNIT_TEST(RunOfALeavingRunnerIsNotStartedElsewhereBeforeItEnds);
  CPPUNIT_TEST(CallsNeedAKeyUnlessTheQueueIsPublic);
  CPPUNIT_TEST(RevokedKeyEndsWithTheConfiguration);
  CPPUNIT_TEST(OtherOrganisationsDoNotFindAJob);
  CPPUNIT_TEST(JobBeingAcceptedIsKeptFromOthers);
  CPPUNIT_TEST(OrganisationsThatExchangeTheirNamesKeepTheirJobs);
  CPPUNIT_TEST(OrganisationThatComesBackFindsItsJobs);
  CPPUNIT_TEST(JobsFollowTheKeysOfTheirOrganisation);
  CPPUNIT_TEST(JobBelongsToTheKeyThatItCameWith);
  CPPUNIT_TEST(JobOfAKeyThatIsRemovedMeanwhileIsNotAccepted);
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
                         m_core->state().WaitingCount({kHost, kPrefix}));
    CPPUNIT_ASSERT_EQUAL(std::string(), m_core->state().FindIndexError());
    const wire::QueueSpecT* const queue =
        m_core->state().FindQueue(*m_core->state().FindJob(kJob));
    CPPUNIT_ASSERT(queue != nullptr && queue->name == "renamed");
  }

  // Guards against an acknowledged job that nothing runs: the configuration
  // without its queue comes into force between the call and the job's entry.
  void JobOfAQueueThatIsRemovedMeanwhileIsNotAccepted() {
    wire::PutConfigCallT without = MakeConfig(2, "other");
    without.config->queues.back()->path_prefix = "/other/";
    m_syncs = false;
    Send(std::move(without));
    const std::uint64_t submit = Send(MakeSubmit(""));
    CPPUNIT_ASSERT(!TakeReply(submit));
    m_syncs = true;
    Sync();
    const std::optional<wire::CallReplyT> reply = TakeReply(submit);
    CPPUNIT_ASSERT(reply && reply->outcome == wire::CallOutcome::NoQueue);
    CPPUNIT_ASSERT(m_core->state().jobs().empty());
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

  void IdleRunnerThatLeavesIsRemovedAtOnce() {
    Report("r", 1000, 1, false);
    Advance(Millis(100));
    CPPUNIT_ASSERT(Report("r", 1000, 2, true) == wire::CallOutcome::Accepted);
    CPPUNIT_ASSERT(m_core->state().FindRunner("r") == nullptr);
    // A heartbeat that was sent before is late.
    Report("r", 1000, 1, false);
    CPPUNIT_ASSERT(m_core->state().FindRunner("r") == nullptr);
  }

  // Guards against the removal of a running incarnation by a report that was
  // held up.
  void LateLeaveOfAnEarlierIncarnationIsIgnored() {
    Report("r", 2000, 1, false);
    Advance(Millis(100));
    CPPUNIT_ASSERT(Report("r", 1000, 9, true) == wire::CallOutcome::Accepted);
    CPPUNIT_ASSERT(m_core->state().FindRunner("r") != nullptr);
    CPPUNIT_ASSERT(Report("r", 2000, 1, false) == wire::CallOutcome::Accepted);
    CPPUNIT_ASSERT(m_core->state().FindRunner("r") != nullptr);
  }

  // Guards against a second run of a task: the report arrives, its answer and
  // the calls to the runner are lost, and the runner ends some seconds later.
  void RunOfALeavingRunnerIsNotStartedElsewhereBeforeItEnds() {
    for (const char* id : {"r", "s"}) {
      Report(id, 1000, 1, false);
    }
    Advance(Millis(500));
    Submit();
    Advance(Millis(500));
    const jobs::TaskKey key = {kJob, 0, 0, 0};
    const std::string runner =
        m_core->state().FindJob(kJob)->FindTask(key)->m_runner;
    CPPUNIT_ASSERT(!runner.empty());
    m_silent_runner = runner;
    const std::uint64_t call = Send(LeaveReport(runner, 1000, 2));
    Advance(Millis(900));
    CPPUNIT_ASSERT(TakeReply(call)->outcome == wire::CallOutcome::Accepted);
    Advance(Millis(2000));
    const jobs::Task* task = m_core->state().FindJob(kJob)->FindTask(key);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, task->m_run);
    CPPUNIT_ASSERT_EQUAL(runner, task->m_runner);
    Advance(Millis(4000));  // Its lease has expired.
    task = m_core->state().FindJob(kJob)->FindTask(key);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, task->m_run);
    CPPUNIT_ASSERT(m_core->state().FindRunner(runner) == nullptr);
  }

  // Guards against serving calls that no configuration allows.
  void CallsNeedAKeyUnlessTheQueueIsPublic() {
    PutOrganisations(2, {{"a", "key-a"}});
    CPPUNIT_ASSERT(SubmitAs("").outcome == wire::CallOutcome::Unauthorised);
    CPPUNIT_ASSERT(SubmitAs("key-b").outcome ==
                   wire::CallOutcome::Unauthorised);
    CPPUNIT_ASSERT(m_core->state().FindJob(kJob) == nullptr);
    CPPUNIT_ASSERT(!m_core->MayHaveJob(jobs::JobIdText(kJob)));
    CPPUNIT_ASSERT(SubmitAs("key-a").outcome == wire::CallOutcome::Accepted);
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         m_core->state().FindJob(kJob)->m_organisation);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_core->TakeKeysRefused());
    PutOrganisations(3, {{"a", "key-a"}}, true);
    CPPUNIT_ASSERT(ReadAs("").outcome == wire::CallOutcome::Found);
    CPPUNIT_ASSERT(ReadAs("key-b").outcome == wire::CallOutcome::Unauthorised);
  }

  void RevokedKeyEndsWithTheConfiguration() {
    PutOrganisations(2, {{"a", "old"}, {"a", "new"}});
    CPPUNIT_ASSERT(SubmitAs("old").outcome == wire::CallOutcome::Accepted);
    PutOrganisations(3, {{"a", "new"}});
    CPPUNIT_ASSERT(ReadAs("old").outcome == wire::CallOutcome::Unauthorised);
    CPPUNIT_ASSERT(SubmitAs("old").outcome == wire::CallOutcome::Unauthorised);
    CPPUNIT_ASSERT(ReadAs("new").outcome == wire::CallOutcome::Found);
    // An older version that arrives late does not bring the key back.
    PutOrganisations(2, {{"a", "old"}, {"a", "new"}});
    CPPUNIT_ASSERT(ReadAs("old").outcome == wire::CallOutcome::Unauthorised);
  }

  // Guards against state and control of one customer's jobs for another, and
  // against telling the owner that its job does not exist.
  void OtherOrganisationsDoNotFindAJob() {
    PutOrganisations(2, {{"a", "key-a"}, {"b", "key-b"}});
    CPPUNIT_ASSERT(SubmitAs("key-a").outcome == wire::CallOutcome::Accepted);
    CPPUNIT_ASSERT(ReadAs("key-b").outcome == wire::CallOutcome::Missing);
    CPPUNIT_ASSERT(CancelAs("key-b").outcome == wire::CallOutcome::Missing);
    CPPUNIT_ASSERT(SubmitAs("key-b").outcome == wire::CallOutcome::Invalid);
    CPPUNIT_ASSERT(ReadAs("key-a").outcome == wire::CallOutcome::Found);
    CPPUNIT_ASSERT(SubmitAs("key-a").outcome == wire::CallOutcome::Accepted);
    CPPUNIT_ASSERT(CancelAs("key-a").outcome == wire::CallOutcome::Accepted);
  }

  void JobBeingAcceptedIsKeptFromOthers() {
    PutOrganisations(2, {{"a", "key-a"}, {"b", "key-b"}});
    m_syncs = false;
    const std::uint64_t submit = Send(MakeSubmit("key-a"));
    CPPUNIT_ASSERT(CancelAs("key-b").outcome == wire::CallOutcome::Missing);
    CPPUNIT_ASSERT(SubmitAs("key-b").outcome == wire::CallOutcome::Invalid);
    m_syncs = true;
    Sync();
    CPPUNIT_ASSERT(TakeReply(submit)->outcome == wire::CallOutcome::Accepted);
  }

  // Guards against jobs that another customer may read and cancel, and that are
  // reported to their own caller as missing.
  void OrganisationsThatExchangeTheirNamesKeepTheirJobs() {
    PutOrganisations(2, {{"a", "key-a"}, {"b", "key-b"}});
    CPPUNIT_ASSERT(SubmitAs("key-a").outcome == wire::CallOutcome::Accepted);
    for (std::uint64_t version = 3; version < 7; ++version) {
      const bool exchanged = version % 2 == 1;
      PutOrganisations(version, {{exchanged ? "b" : "a", "key-a"},
                                 {exchanged ? "a" : "b", "key-b"}});
      CheckOnlyHolder("key-a", "key-b");
    }
  }

  void OrganisationThatComesBackFindsItsJobs() {
    PutOrganisations(2, {{"a", "key-a"}, {"b", "key-b"}});
    CPPUNIT_ASSERT(SubmitAs("key-a").outcome == wire::CallOutcome::Accepted);
    PutOrganisations(3, {{"b", "key-b"}});
    PutOrganisations(4, {{"b", "key-b"}});
    // The name goes to another customer.
    PutOrganisations(5, {{"b", "key-b"}, {"a", "key-x"}});
    CPPUNIT_ASSERT(ReadAs("key-x").outcome == wire::CallOutcome::Missing);
    CPPUNIT_ASSERT(CancelAs("key-x").outcome == wire::CallOutcome::Missing);
    PutOrganisations(6, {{"c", "key-a"}, {"a", "key-x"}});
    CheckOnlyHolder("key-a", "key-x");
  }

  // Guards against jobs that are lost to their caller when keys are exchanged:
  // the one that a job came with goes before the organisation changes its name.
  void JobsFollowTheKeysOfTheirOrganisation() {
    PutOrganisations(2, {{"a", "key-1"}, {"a", "key-2"}, {"b", "key-b"}});
    CPPUNIT_ASSERT(SubmitAs("key-1").outcome == wire::CallOutcome::Accepted);
    PutOrganisations(3, {{"a", "key-2"}, {"b", "key-b"}});
    CheckOnlyHolder("key-2", "key-b");
    PutOrganisations(4, {{"b", "key-b"}});
    PutOrganisations(5, {{"c", "key-2"}, {"b", "key-b"}});
    CheckOnlyHolder("key-2", "key-b");
    // All keys at once, under the same name.
    PutOrganisations(6, {{"c", "key-3"}, {"b", "key-b"}});
    PutOrganisations(7, {{"d", "key-3"}, {"c", "key-b"}});
    CheckOnlyHolder("key-3", "key-b");
  }

  // Guards against a job that goes to another customer, because names are
  // exchanged while its entry is on the way.
  void JobBelongsToTheKeyThatItCameWith() {
    PutOrganisations(2, {{"a", "key-a"}, {"b", "key-b"}});
    m_syncs = false;
    Send(OrganisationsCall(3, {{"b", "key-a"}, {"a", "key-b"}}));
    Send(MakeSubmit("key-a"));
    m_syncs = true;
    Sync();
    CheckOnlyHolder("key-a", "key-b");
  }

  void JobOfAKeyThatIsRemovedMeanwhileIsNotAccepted() {
    PutOrganisations(2, {{"a", "key-a"}, {"b", "key-b"}});
    m_syncs = false;
    Send(OrganisationsCall(3, {{"b", "key-b"}}));
    const std::uint64_t submit = Send(MakeSubmit("key-a"));
    m_syncs = true;
    Sync();
    CPPUNIT_ASSERT(TakeReply(submit)->outcome ==
                   wire::CallOutcome::Unauthorised);
    CPPUNIT_ASSERT(m_core->state().jobs().empty());
  }

 private:
  void CheckOnlyHolder(const std::string& key, const std::string& other) {
    CPPUNIT_ASSERT(ReadAs(key).outcome == wire::CallOutcome::Found);
    CPPUNIT_ASSERT(ReadAs(other).outcome == wire::CallOutcome::Missing);
    CPPUNIT_ASSERT(CancelAs(other).outcome == wire::CallOutcome::Missing);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_core->state().FindIndexError());
    jobs::WorkState copy;
    CPPUNIT_ASSERT(copy.Load(m_core->state().Image()));
    const jobs::Job* const job = m_core->state().FindJob(kJob);
    CPPUNIT_ASSERT_EQUAL(job->m_organisation,
                         copy.FindJob(kJob)->m_organisation);
    CPPUNIT_ASSERT_EQUAL(job->m_key_digest, copy.FindJob(kJob)->m_key_digest);
  }

  static std::string Path() { return kPrefix + jobs::JobIdText(kJob); }

  void Sync() {
    while (m_syncs && m_core->HasBatch()) {
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
      AnswerRunnerCalls();
    }
  }

  // Each runner carries out its calls at once, but for the silent one.
  void AnswerRunnerCalls() {
    for (const runs::RunnerCall& call : m_core->TakeRunnerCalls()) {
      runs::RunnerAnswer answer;
      std::map<jobs::TaskKey, std::uint32_t>& running =
          m_running[call.m_runner];
      if (call.m_runner != m_silent_runner) {
        answer.m_kind = runs::AnswerKind::kOk;
        answer.m_born_ms = call.m_born_ms;
        answer.m_clock_ms =
            static_cast<std::uint64_t>(std::chrono::duration_cast<Millis>(
                                           m_moment.m_now.time_since_epoch())
                                           .count());
      }
      if (call.m_kind == runs::CallKind::kStart) {
        running[call.m_run.m_task] = call.m_run.m_run;
      }
      for (const auto& [task, run] : running) {
        answer.m_running.push_back({{task, run}, "", 0, 0});
      }
      m_core->OnRunnerAnswer(call, answer, m_moment);
      Sync();
    }
  }

  template <typename Body>
  std::uint64_t Send(Body body) {
    wire::CallT call;
    call.id = ++m_last_call;
    call.body.Set(std::move(body));
    m_core->OnCall(1, call, m_moment);
    Sync();
    return call.id;
  }

  std::optional<wire::CallReplyT> TakeReply(std::uint64_t call_id) {
    for (OutgoingReply& reply : m_core->TakeReplies()) {
      if (reply.m_reply.id == call_id) {
        return std::move(reply.m_reply);
      }
    }
    return std::nullopt;
  }

  template <typename Body>
  wire::CallReplyT Call(Body body) {
    std::optional<wire::CallReplyT> reply = TakeReply(Send(std::move(body)));
    CPPUNIT_ASSERT_MESSAGE("a call without a reply", reply);
    return *std::move(reply);
  }

  static wire::ReportRunnerCallT LeaveReport(const std::string& id,
                                             std::uint64_t born_ms,
                                             std::uint64_t sequence) {
    wire::ReportRunnerCallT report;
    report.runner = std::make_unique<wire::RunnerRecordT>();
    report.runner->id = id;
    report.runner->born_ms = born_ms;
    report.runner->sequence = sequence;
    report.leaves = true;
    return report;
  }

  wire::CallOutcome Report(const std::string& id, std::uint64_t born_ms,
                           std::uint64_t sequence, bool leaves) {
    wire::ReportRunnerCallT report = LeaveReport(id, born_ms, sequence);
    report.leaves = leaves;
    report.runner->machine = "m-" + id;
    report.runner->address = "address of " + id;
    report.runner->pool = "pool";
    report.runner->cpu_milli = 1000;
    report.runner->memory_mb = 1000;
    return Call(std::move(report)).outcome;
  }

  void PutConfig(std::uint64_t version, const std::string& queue_name) {
    CPPUNIT_ASSERT(Call(MakeConfig(version, queue_name)).outcome ==
                   wire::CallOutcome::Accepted);
  }

  // Rows of an organisation and one of its keys.
  void PutOrganisations(
      std::uint64_t version,
      const std::vector<std::pair<std::string, std::string>>& keys,
      bool is_public = false) {
    CPPUNIT_ASSERT(Call(OrganisationsCall(version, keys, is_public)).outcome ==
                   wire::CallOutcome::Accepted);
  }
  static wire::PutConfigCallT OrganisationsCall(
      std::uint64_t version,
      const std::vector<std::pair<std::string, std::string>>& keys,
      bool is_public = false) {
    wire::PutConfigCallT put = MakeConfig(version, "queue");
    put.config->queues.back()->is_public = is_public;
    put.config->has_organisations = true;
    std::map<std::string, std::vector<std::string>> by_name;
    for (const auto& [name, key] : keys) {
      by_name[name].push_back(organisations::DigestOfKey(key));
    }
    for (const auto& [name, digests] : by_name) {
      auto organisation = std::make_unique<wire::OrganisationT>();
      organisation->name = name;
      organisation->key_digests = digests;
      put.config->organisations.push_back(std::move(organisation));
    }
    return put;
  }

  static wire::SubmitCallT MakeSubmit(const std::string& key) {
    wire::SubmitCallT submit;
    submit.host = kHost;
    submit.path = Path();
    submit.key_digest = organisations::DigestOfKey(key);
    submit.job = std::make_unique<wire::JobSpecT>();
    submit.job->id = jobs::JobIdText(kJob);
    submit.job->steps.push_back(std::make_unique<wire::StepSpecT>());
    submit.job->steps.back()->count = 1;
    return submit;
  }
  wire::CallReplyT SubmitAs(const std::string& key) {
    return Call(MakeSubmit(key));
  }
  wire::CallReplyT ReadAs(const std::string& key) {
    wire::ReadJobCallT read;
    read.host = kHost;
    read.path = Path();
    read.key_digest = organisations::DigestOfKey(key);
    return Call(std::move(read));
  }
  wire::CallReplyT CancelAs(const std::string& key) {
    wire::CancelCallT cancel;
    cancel.host = kHost;
    cancel.path = Path();
    cancel.key_digest = organisations::DigestOfKey(key);
    return Call(std::move(cancel));
  }

  static wire::PutConfigCallT MakeConfig(std::uint64_t version,
                                         const std::string& queue_name) {
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
    return put;
  }

  void Submit() {
    CPPUNIT_ASSERT(SubmitAs("").outcome == wire::CallOutcome::Accepted);
  }

  void Cancel() {
    CPPUNIT_ASSERT(CancelAs("").outcome == wire::CallOutcome::Accepted);
  }

  wire::CallReplyT Read() { return ReadAs(""); }

  Moment m_moment;
  std::unique_ptr<WorkCore> m_core;
  std::uint64_t m_last_call = 0;
  // By runner.
  std::map<std::string, std::map<jobs::TaskKey, std::uint32_t>> m_running;
  std::string m_silent_runner;  // Does not answer; empty: none.
  bool m_syncs = true;          // Whether the disk completes batches.
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkCallsTest);

}  // namespace
}  // namespace bronzebarrow::node
