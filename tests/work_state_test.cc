// Tests the work state: effects of commands on jobs, runs and runners, and the
// round trip through its image.
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <random>
#include <set>

#include "bronzebarrow/jobs.h"

namespace bronzebarrow::jobs {
namespace {

constexpr std::uint64_t kNowMs = 1'700'000'000'000;
constexpr std::uint64_t kSeeds = 300;
const QueueAddress short_queue = {"h.example", "/q/"};

class WorkStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkStateTest);
  CPPUNIT_TEST(JobRunsStepsInDependencyOrder);
  CPPUNIT_TEST(JobFailsAfterLastAttempt);
  CPPUNIT_TEST(AttemptsOfTheFormerQueueHoldWhileItIsAbsent);
  CPPUNIT_TEST(EndOfOlderRunIsIgnored);
  CPPUNIT_TEST(AssignmentThatIsLostIsNoStart);
  CPPUNIT_TEST(ListedEndIsAStart);
  CPPUNIT_TEST(RecordedStartOutlivesTheSnapshot);
  CPPUNIT_TEST(AssignmentByAnEarlierVersionIsAStart);
  CPPUNIT_TEST(NewRunnerIncarnationLosesAssignedRuns);
  CPPUNIT_TEST(SecondCrashJustAfterTheStartFailsTheJob);
  CPPUNIT_TEST(CrashWithSeveralSuspectsFailsNoJob);
  CPPUNIT_TEST(FifthCrashFailsTheJobWithoutAnotherStart);
  CPPUNIT_TEST(CrashesOutliveTheSnapshot);
  CPPUNIT_TEST(RunSeenPastItsTrialClearsTheTask);
  CPPUNIT_TEST(ThirdCrashOfTheOnlySuspectFailsTheJobAmongOthers);
  CPPUNIT_TEST(RemovalByAnEarlierVersionCountsNoCrash);
  CPPUNIT_TEST(CrashOfAnotherRunIsNotCounted);
  CPPUNIT_TEST(RunThatIsBeingStoppedKeepsItsRoom);
  CPPUNIT_TEST(ConfigWithoutHigherVersionIsIgnored);
  CPPUNIT_TEST(RoutesByHostAndLongestPrefix);
  CPPUNIT_TEST(RouteEqualsTheScanOfAllPrefixes);
  CPPUNIT_TEST(RouteLooksAtFewPrefixes);
  CPPUNIT_TEST(InvalidConfigurationsAreRejected);
  CPPUNIT_TEST(PeriodicJobOpensOccurrences);
  CPPUNIT_TEST(GangCompletesWithOneMember);
  CPPUNIT_TEST(FailedRunOfAGangUsesOneAttempt);
  CPPUNIT_TEST(MembersOfAGangStartFromOneCheckpoint);
  CPPUNIT_TEST(RunnerBeforeAnUpkeepOutlivesTheSnapshot);
  CPPUNIT_TEST(TaskKeyTextRoundTrips);
  CPPUNIT_TEST(ImageRoundTripPreservesState);
  CPPUNIT_TEST(IndexesEqualTheirRecomputation);
  CPPUNIT_TEST(RunnersThatChangeMachinesStayIndexed);
  CPPUNIT_TEST(LoadedStateContinuesLikeItsOriginal);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_state = std::make_unique<WorkState>();
    m_index = 0;
    m_records_starts = false;
    wire::PutConfigT put;
    put.config = MakeConfig(3);
    Apply(std::move(put));
    RegisterRunner("r", 1);
  }

  void JobRunsStepsInDependencyOrder() {
    AcceptJob(1, {2, 1});
    AssignRuns("r", {MakeRun(1, 0, 0, 1), MakeRun(1, 0, 1, 1)});
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Running);
    RecordEnd("r", MakeRun(1, 0, 0, 1), wire::EndKind::Done, 1);
    CPPUNIT_ASSERT(!IsStepReady(1, 1));
    RecordEnd("r", MakeRun(1, 0, 1, 1), wire::EndKind::Done, 2);
    CPPUNIT_ASSERT(IsStepReady(1, 1));
    AssignRuns("r", {MakeRun(1, 1, 0, 1)});
    RecordEnd("r", MakeRun(1, 1, 0, 1), wire::EndKind::Done, 3);
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Completed);
    CPPUNIT_ASSERT(m_state->FindRunner("r")->m_used == Resources());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                         m_state->FindRunner("r")->m_last_recorded_end);
  }

  void JobFailsAfterLastAttempt() {
    AcceptJob(1, {1});
    for (std::uint32_t run = 1; run <= 2; ++run) {
      AssignRuns("r", {MakeRun(1, 0, 0, run)});
      CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Running);
      RecordEnd("r", MakeRun(1, 0, 0, run), wire::EndKind::Failed, run);
    }
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Failed);
    CPPUNIT_ASSERT(AssignRuns("r", {MakeRun(1, 0, 0, 3)}).m_assigned.empty());
  }

  // Guards against a job that fails after fewer runs than its queue allows, and
  // one that runs more often: a configuration without the queue says nothing
  // about its attempts, so those of the last one with it hold.
  void AttemptsOfTheFormerQueueHoldWhileItIsAbsent() {
    AcceptJob(1, {2});
    AcceptJob(2, {1});
    AssignRuns("r",
               {MakeRun(1, 0, 0, 1), MakeRun(1, 0, 1, 1), MakeRun(2, 0, 0, 1)});
    wire::PutConfigT without;
    without.config = MakeConfig(4);
    without.config->queues.clear();
    Apply(std::move(without));
    RecordEnd("r", MakeRun(1, 0, 0, 1), wire::EndKind::Failed, 1);
    RecordEnd("r", MakeRun(2, 0, 0, 1), wire::EndKind::Failed, 2);
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Running);
    // The last attempt that the queue allowed ends while the queue is absent.
    AssignRuns("r", {MakeRun(1, 0, 0, 2)});
    RecordEnd("r", MakeRun(1, 0, 0, 2), wire::EndKind::Failed, 3);
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Failed);
    // The queue comes back with fewer attempts than the task has used.
    CPPUNIT_ASSERT(Phase(2) == wire::JobPhase::Running);
    wire::PutConfigT with;
    with.config = MakeConfig(5);
    with.config->queues[0]->attempts = 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Apply(std::move(with)).m_jobs_ended.size());
    CPPUNIT_ASSERT(Phase(2) == wire::JobPhase::Failed);
  }

  // Guards against a job that leaves the count of waiting ones although its
  // runner was lost before it started anything.
  void AssignmentThatIsLostIsNoStart() {
    m_records_starts = true;
    AcceptJob(1, {1});
    AssignRuns("r", {MakeRun(1, 0, 0, 1)});
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Queued);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, m_state->WaitingCount(short_queue));
    RecordEnd("r", MakeRun(1, 0, 0, 1), wire::EndKind::Lost, 0);
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Queued);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, m_state->WaitingCount(short_queue));
    wire::CancelJobT cancel;
    cancel.job = 1;
    Apply(cancel);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, m_state->WaitingCount(short_queue));
  }

  void ListedEndIsAStart() {
    m_records_starts = true;
    JobId id = 0;
    for (const wire::EndKind how : wire::EnumValuesEndKind()) {
      AcceptJob(++id, {2});
      AssignRuns("r", {MakeRun(id, 0, 0, 1)});
      RecordEnd("r", MakeRun(id, 0, 0, 1), how, 0);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(wire::EnumNameEndKind(how),
                                   how != wire::EndKind::Lost,
                                   m_state->FindJob(id)->m_started);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, m_state->WaitingCount(short_queue));
    CPPUNIT_ASSERT_EQUAL(std::string(), m_state->FindIndexError());
  }

  // Guards against a job that waits again after its task was lost.
  void RecordedStartOutlivesTheSnapshot() {
    m_records_starts = true;
    AcceptJob(1, {1});
    AcceptJob(2, {1});
    AssignRuns("r", {MakeRun(1, 0, 0, 1), MakeRun(2, 0, 0, 1)});
    wire::CancelJobT cancel;
    cancel.job = 2;
    Apply(cancel);
    wire::RecordStartsT record;
    record.jobs = {1, 2, 3};
    Apply(std::move(record));
    RegisterRunner("r", 2);  // Its runs are lost.
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Running);
    CPPUNIT_ASSERT(Phase(2) == wire::JobPhase::Cancelled);
    WorkState copy;
    CPPUNIT_ASSERT(copy.Load(m_state->Image()));
    CPPUNIT_ASSERT(copy.FindJob(1)->m_started);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, copy.WaitingCount(short_queue));
  }

  // Guards against jobs that wait again after an update, because the log of an
  // earlier version has no records of their starts.
  void AssignmentByAnEarlierVersionIsAStart() {
    AcceptJob(1, {1});
    AssignRuns("r", {MakeRun(1, 0, 0, 1)});
    RecordEnd("r", MakeRun(1, 0, 0, 1), wire::EndKind::Lost, 0);
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Running);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, m_state->WaitingCount(short_queue));
  }

  void EndOfOlderRunIsIgnored() {
    AcceptJob(1, {1});
    AssignRuns("r", {MakeRun(1, 0, 0, 1)});
    RecordEnd("r", MakeRun(1, 0, 0, 1), wire::EndKind::Lost, 0);
    AssignRuns("r", {MakeRun(1, 0, 0, 2)});
    RecordEnd("r", MakeRun(1, 0, 0, 1), wire::EndKind::Done, 1);
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Running);
    CPPUNIT_ASSERT(AssignRuns("r", {MakeRun(1, 0, 0, 2)}).m_assigned.empty());
  }

  void NewRunnerIncarnationLosesAssignedRuns() {
    AcceptJob(1, {1});
    AssignRuns("r", {MakeRun(1, 0, 0, 1)});
    RegisterRunner("r", 2);
    CPPUNIT_ASSERT(m_state->FindRunner("r")->m_assigned.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         m_state->FindRunner("r")->m_last_recorded_end);
    RegisterRunner("r", 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         m_state->FindRunner("r")->m_record.born_ms);
  }

  // Guards against a task that is started without end although it crashes each
  // runner.
  void SecondCrashJustAfterTheStartFailsTheJob() {
    AcceptJob(1, {2});
    AssignRuns("r", {MakeRun(1, 0, 0, 1), MakeRun(1, 0, 1, 1)});
    const ApplyResult first =
        RemoveCrashed("r", {MakeRun(1, 0, 0, 1)}, {MakeRun(1, 0, 1, 1)}, true);
    CPPUNIT_ASSERT(first.m_given_up.empty());
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Running);
    CPPUNIT_ASSERT(m_state->suspects() == std::set<TaskKey>({{1, 0, 0, 0}}));
    RegisterRunner("s", 1);
    AssignRuns("s", {MakeRun(1, 0, 0, 2)});
    const ApplyResult second =
        RemoveCrashed("s", {MakeRun(1, 0, 0, 2)}, {}, true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.m_given_up.size());
    CPPUNIT_ASSERT(second.m_given_up[0] == MakeRun(1, 0, 0, 2));
    CPPUNIT_ASSERT(second.m_jobs_ended == std::vector<JobId>{1});
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Failed);
    CPPUNIT_ASSERT(m_state->suspects().empty());
    RegisterRunner("r", 2);
    CPPUNIT_ASSERT(AssignRuns("r", {MakeRun(1, 0, 0, 3)}).m_assigned.empty());
  }

  void CrashWithSeveralSuspectsFailsNoJob() {
    for (JobId job = 1; job <= 2; ++job) {
      AcceptJob(job, {1});
    }
    for (std::uint32_t crash = 1; crash <= 4; ++crash) {
      const std::vector<RunKey> runs = {MakeRun(1, 0, 0, crash),
                                        MakeRun(2, 0, 0, crash)};
      AssignRuns("r", runs);
      CPPUNIT_ASSERT(RemoveCrashed("r", runs, {}, false).m_given_up.empty());
      RegisterRunner("r", 1 + crash);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_state->suspects().size());
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Running);
    CPPUNIT_ASSERT(Phase(2) == wire::JobPhase::Running);
  }

  // The users allow two starts after the third crash, whatever the evidence.
  void FifthCrashFailsTheJobWithoutAnotherStart() {
    AcceptJob(1, {1});
    for (std::uint32_t crash = 1; crash <= 5; ++crash) {
      CPPUNIT_ASSERT(Phase(1) != wire::JobPhase::Failed);
      AssignRuns("r", {MakeRun(1, 0, 0, crash)});
      RemoveCrashed("r", {}, {MakeRun(1, 0, 0, crash)}, false);
      RegisterRunner("r", 1 + crash);
    }
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Failed);
  }

  // Guards against a member that loads an image, or takes over, and counts
  // anew.
  void CrashesOutliveTheSnapshot() {
    AcceptJob(1, {1});
    AssignRuns("r", {MakeRun(1, 0, 0, 1)});
    RemoveCrashed("r", {MakeRun(1, 0, 0, 1)}, {}, true);
    auto copy = std::make_unique<WorkState>();
    CPPUNIT_ASSERT(copy->Load(m_state->Image()));
    CPPUNIT_ASSERT(copy->suspects() == m_state->suspects());
    m_state = std::move(copy);
    const std::vector<RunnerCrash>& crashes =
        m_state->FindJob(1)->FindTask({1, 0, 0, 0})->m_crashes;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("r"), crashes[0].m_runner);
    CPPUNIT_ASSERT_EQUAL(kNowMs, crashes[0].m_time_ms);
    CPPUNIT_ASSERT(crashes[0].m_just_started);
    CPPUNIT_ASSERT(crashes[0].m_only_suspect);
    RegisterRunner("r", 2);
    AssignRuns("r", {MakeRun(1, 0, 0, 2)});
    RemoveCrashed("r", {MakeRun(1, 0, 0, 2)}, {}, true);
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Failed);
  }

  // Load pattern: a bystander starts just before crashes that others cause, and
  // runs on in between.
  void RunSeenPastItsTrialClearsTheTask() {
    AcceptJob(1, {1});
    AssignRuns("r", {MakeRun(1, 0, 0, 1)});
    RemoveCrashed("r", {MakeRun(1, 0, 0, 1)}, {}, true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_state->suspects().size());
    RegisterRunner("r", 2);
    AssignRuns("r", {MakeRun(1, 0, 0, 2)});
    RemoveCrashed("r", {}, {MakeRun(1, 0, 0, 2)}, false, {MakeRun(1, 0, 0, 2)});
    CPPUNIT_ASSERT(m_state->suspects().empty());
    RegisterRunner("r", 3);
    AssignRuns("r", {MakeRun(1, 0, 0, 3)});
    RemoveCrashed("r", {MakeRun(1, 0, 0, 3)}, {}, true);
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Running);
    // The crashes still count towards the users' limit of three, which is
    // followed by a long trial; a run seen past that one clears all.
    const Task& task = *m_state->FindJob(1)->FindTask({1, 0, 0, 0});
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, task.m_crashes.size());
    RegisterRunner("r", 4);
    AssignRuns("r", {MakeRun(1, 0, 0, 4)});
    RemoveCrashed("r", {}, {}, false, {MakeRun(1, 0, 0, 4)});
    CPPUNIT_ASSERT(task.m_crashes.empty());
    CPPUNIT_ASSERT(m_state->suspects().empty());
  }

  // Guards against five starts where three tell the same: runners also crash
  // by themselves, so no crash is conclusive.
  void ThirdCrashOfTheOnlySuspectFailsTheJobAmongOthers() {
    AcceptJob(1, {1});
    for (std::uint32_t crash = 1; crash <= 3; ++crash) {
      CPPUNIT_ASSERT(Phase(1) != wire::JobPhase::Failed);
      AssignRuns("r", {MakeRun(1, 0, 0, crash)});
      RemoveCrashed("r", {MakeRun(1, 0, 0, crash)}, {}, false);
      RegisterRunner("r", 1 + crash);
    }
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Failed);
  }

  // Its records of removals have no runs.
  void RemovalByAnEarlierVersionCountsNoCrash() {
    AcceptJob(1, {1});
    for (std::uint32_t crash = 1; crash <= 6; ++crash) {
      AssignRuns("r", {MakeRun(1, 0, 0, crash)});
      RemoveCrashed("r", {}, {}, false);
      RegisterRunner("r", 1 + crash);
    }
    CPPUNIT_ASSERT(m_state->suspects().empty());
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Running);
  }

  // Guards against a crash that is counted for a run which had ended, or was
  // assigned to another runner, when the removal was committed.
  void CrashOfAnotherRunIsNotCounted() {
    RegisterRunner("s", 1);
    AcceptJob(1, {2});
    AssignRuns("r", {MakeRun(1, 0, 0, 1), MakeRun(1, 0, 1, 1)});
    RecordEnd("r", MakeRun(1, 0, 0, 1), wire::EndKind::Done, 1);
    RecordEnd("r", MakeRun(1, 0, 1, 1), wire::EndKind::Lost, 1);
    AssignRuns("s", {MakeRun(1, 0, 1, 2)});
    RemoveCrashed("r", {MakeRun(1, 0, 0, 1), MakeRun(1, 0, 1, 1)},
                  {MakeRun(1, 0, 1, 2)}, true);
    CPPUNIT_ASSERT(m_state->suspects().empty());
    CPPUNIT_ASSERT(
        m_state->FindJob(1)->FindTask({1, 0, 0, 1})->m_crashes.empty());
  }

  // Guards against starts in the room of a run that has not stopped yet, also
  // on a runner whose capacity has shrunk below what runs there.
  void RunThatIsBeingStoppedKeepsItsRoom() {
    AcceptJob(1, {2});
    AssignRuns("r", {MakeRun(1, 0, 0, 1), MakeRun(1, 0, 1, 1)});
    wire::RegisterRunnerT report;
    report.runner = std::make_unique<wire::RunnerRecordT>(
        m_state->FindRunner("r")->m_record);
    report.runner->cpu_milli = 1500;
    report.runner->sequence = 2;
    Apply(std::move(report));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{-500},
                         m_state->FindRunner("r")->FreeResources().m_cpu_milli);
    wire::CancelJobT cancel;
    cancel.job = 1;
    Apply(cancel);
    auto copy = std::make_unique<WorkState>();
    CPPUNIT_ASSERT(copy->Load(m_state->Image()));
    m_state = std::move(copy);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{-500},
                         m_state->FindRunner("r")->FreeResources().m_cpu_milli);
    RecordEnd("r", MakeRun(1, 0, 0, 1), wire::EndKind::Stopped, 1);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{500},
                         m_state->FindRunner("r")->FreeResources().m_cpu_milli);
  }

  void ConfigWithoutHigherVersionIsIgnored() {
    wire::PutConfigT put;
    put.config = MakeConfig(3);
    put.config->document = "other content";
    CPPUNIT_ASSERT(!Apply(std::move(put)).m_changed);
    CPPUNIT_ASSERT_EQUAL(std::string("document"),
                         m_state->queues().config().document);
  }

  void RoutesByHostAndLongestPrefix() {
    const QueueTable& queues = m_state->queues();
    CPPUNIT_ASSERT_EQUAL(std::string("short"),
                         queues.Route("H.example:80", "/q/x")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("long"),
                         queues.Route("h.example", "/q/long/x")->name);
    CPPUNIT_ASSERT(queues.Route("h.example", "/other") == nullptr);
    CPPUNIT_ASSERT(queues.Route("x.example", "/q/x") == nullptr);
  }

  // Few letters, so that many prefixes are nested, also off '/' borders.
  static std::string RandomPath(std::mt19937_64& random) {
    std::string path = "/";
    const std::size_t length = random() % 9;
    for (std::size_t i = 0; i < length; ++i) {
      path += "ab/\xff"[random() % 4];
    }
    return path;
  }

  static const wire::QueueSpecT* RouteByScan(const wire::FleetConfigT& config,
                                             const std::string& host,
                                             const std::string& path) {
    const wire::QueueSpecT* longest = nullptr;
    for (const auto& queue : config.queues) {
      if (NormalizeHost(queue->host) == NormalizeHost(host) &&
          path.starts_with(queue->path_prefix) &&
          (longest == nullptr ||
           queue->path_prefix.size() > longest->path_prefix.size())) {
        longest = queue.get();
      }
    }
    return longest;
  }

  static void AddQueue(wire::FleetConfigT& config, const std::string& host,
                       const std::string& prefix) {
    auto queue = std::make_unique<wire::QueueSpecT>();
    queue->name = "queue-" + std::to_string(config.queues.size());
    queue->host = host;
    queue->path_prefix = prefix;
    config.queues.push_back(std::move(queue));
  }

  void RouteEqualsTheScanOfAllPrefixes() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      std::mt19937_64 random(seed);
      wire::FleetConfigT config;
      std::set<std::pair<std::string, std::string>> used;
      for (int i = 0; i < 60; ++i) {
        const std::string host = random() % 2 == 0 ? "A.example" : "b.example";
        const std::string prefix = RandomPath(random);
        if (used.emplace(host, prefix).second) {
          AddQueue(config, host, prefix);
        }
      }
      const QueueTable table(config);
      for (int i = 0; i < 1000; ++i) {
        const char* const host = std::array{"a.EXAMPLE:80", "b.example",
                                            "c.example", ":1"}[random() % 4];
        const std::string path = RandomPath(random);
        const wire::QueueSpecT* const expected =
            RouteByScan(config, host, path);
        const wire::QueueSpecT* const routed = table.Route(host, path);
        CPPUNIT_ASSERT_EQUAL(expected == nullptr, routed == nullptr);
        CPPUNIT_ASSERT(expected == nullptr || routed->name == expected->name);
        const wire::QueueSpecT* const found =
            table.Find({NormalizeHost(host), path});
        CPPUNIT_ASSERT_EQUAL(
            used.contains(
                {host == std::string("a.EXAMPLE:80") ? "A.example" : host,
                 path}),
            found != nullptr);
        CPPUNIT_ASSERT(found == nullptr || found->path_prefix == path);
      }
    }
  }

  void RouteLooksAtFewPrefixes() {
    wire::FleetConfigT config;
    AddQueue(config, "h", "/");
    for (int i = 0; i < 4000; ++i) {
      AddQueue(config, "h", "/team-" + std::to_string(i) + "/");
    }
    const QueueTable table(config);
    for (int i = 0; i < 5000; ++i) {
      std::size_t compared = 0;
      const wire::QueueSpecT* const queue =
          table.Route("h", "/team-" + std::to_string(i) + "/job", &compared);
      CPPUNIT_ASSERT(queue != nullptr);
      CPPUNIT_ASSERT_EQUAL(i >= 4000, queue->path_prefix == "/");
      // 12 for the search of 4,001 prefixes, and the nesting of two levels.
      CPPUNIT_ASSERT(compared <= 15);
    }
  }

  void InvalidConfigurationsAreRejected() {
    auto config = MakeConfig(4);
    CPPUNIT_ASSERT_EQUAL(std::string(), ProblemOf(*config));
    config->queues[0]->timeout_ms = 0;
    CPPUNIT_ASSERT(!ProblemOf(*config).empty());
    config = MakeConfig(4);
    config->queues[0]->pool = "nowhere";
    CPPUNIT_ASSERT(!ProblemOf(*config).empty());
    config = MakeConfig(4);
    config->queues[0]->path_prefix = config->queues[1]->path_prefix;
    CPPUNIT_ASSERT(!ProblemOf(*config).empty());
    // Names do not identify queues.
    config = MakeConfig(4);
    config->queues[0]->name = config->queues[1]->name;
    CPPUNIT_ASSERT_EQUAL(std::string(), ProblemOf(*config));
  }

  void PeriodicJobOpensOccurrences() {
    wire::AcceptJobT accept = MakeJob(1, {1});
    accept.job->times = 2;
    accept.job->start_at_ms = kNowMs;
    accept.job->interval_ms = 500;
    Apply(std::move(accept));
    CPPUNIT_ASSERT(m_state->FindJob(1)->m_occurrences.empty());
    wire::OpenOccurrencesT open;
    open.job = 1;
    open.up_to = 5;
    Apply(open);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         m_state->FindJob(1)->m_occurrences.size());
    for (std::uint32_t k = 0; k < 2; ++k) {
      CPPUNIT_ASSERT(Phase(1) != wire::JobPhase::Completed);
      const RunKey run = {{1, k, 0, 0}, 1};
      AssignRuns("r", {run});
      RecordEnd("r", run, wire::EndKind::Done, k + 1);
    }
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Completed);
  }

  void GangCompletesWithOneMember() {
    wire::AcceptJobT accept = MakeJob(1, {3});
    accept.job->steps[0]->gang = true;
    Apply(std::move(accept));
    AssignRuns("r",
               {MakeRun(1, 0, 0, 1), MakeRun(1, 0, 1, 1), MakeRun(1, 0, 2, 1)});
    RecordEnd("r", MakeRun(1, 0, 1, 1), wire::EndKind::Done, 1);
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Completed);
    CPPUNIT_ASSERT(m_state->FindRunner("r")->m_used == Resources());
  }

  // Guards against a job that fails after its first run, because several
  // members of its gang failed in it.
  void FailedRunOfAGangUsesOneAttempt() {
    wire::AcceptJobT accept = MakeJob(1, {3});
    accept.job->steps[0]->gang = true;
    Apply(std::move(accept));
    std::uint64_t end = 0;
    const auto fail_run = [&](std::uint32_t run) {
      const std::vector<RunKey> members = {
          MakeRun(1, 0, 0, run), MakeRun(1, 0, 1, run), MakeRun(1, 0, 2, run)};
      AssignRuns("r", members);
      for (const RunKey& member : members) {
        RecordEnd("r", member, wire::EndKind::Failed, ++end);
      }
    };
    fail_run(1);
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Running);
    CPPUNIT_ASSERT_EQUAL(
        std::uint32_t{1},
        m_state->FindJob(1)->FindTask({1, 0, 0, 2})->m_failures);
    // The count outlives a snapshot between the ends of one run.
    AssignRuns("r", {MakeRun(1, 0, 0, 2), MakeRun(1, 0, 1, 2)});
    RecordEnd("r", MakeRun(1, 0, 0, 2), wire::EndKind::Failed, ++end);
    CPPUNIT_ASSERT(Phase(1) == wire::JobPhase::Failed);
  }

  // Guards against a gang whose members start with different checkpoints for
  // good after a crash of one member's runner, and never come together.
  void MembersOfAGangStartFromOneCheckpoint() {
    wire::AcceptJobT accept = MakeJob(1, {2});
    accept.job->steps[0]->gang = true;
    Apply(std::move(accept));
    RegisterRunner("s", 1);
    const auto start_checkpoint = [&](std::uint16_t index) {
      return m_state->FindJob(1)
          ->FindTask({1, 0, 0, index})
          ->m_start_checkpoint;
    };
    AssignRuns("r", {MakeRun(1, 0, 0, 1)});
    AssignRuns("s", {MakeRun(1, 0, 1, 1)});
    RecordEnd("s", MakeRun(1, 0, 1, 1), wire::EndKind::Broken, 1, "new");
    // The owner knew an earlier value of the member that was lost.
    RecordEnd("r", MakeRun(1, 0, 0, 1), wire::EndKind::Lost, 0, "old");
    AssignRuns("r", {MakeRun(1, 0, 0, 2)});
    CPPUNIT_ASSERT_EQUAL(std::string("new"), start_checkpoint(0));
    // A member may end before the others are assigned.
    RecordEnd("r", MakeRun(1, 0, 0, 2), wire::EndKind::Stopped, 1, "newer");
    WorkState copy;
    CPPUNIT_ASSERT(copy.Load(m_state->Image()));
    AssignRuns("s", {MakeRun(1, 0, 1, 2)});
    CPPUNIT_ASSERT_EQUAL(std::string("new"), start_checkpoint(1));
    CPPUNIT_ASSERT_EQUAL(
        std::string("new"),
        copy.FindJob(1)->FindTask({1, 0, 0, 0})->m_start_checkpoint);
    RecordEnd("s", MakeRun(1, 0, 1, 2), wire::EndKind::Lost, 1);
    AssignRuns("s", {MakeRun(1, 0, 1, 3)});
    CPPUNIT_ASSERT_EQUAL(std::string("newer"), start_checkpoint(1));
  }

  void TaskKeyTextRoundTrips() {
    const TaskKey task = {0x5c0e7a21d94b36f8, 3, 1, 17};
    CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8.3.1.17"),
                         TaskText(task));
    CPPUNIT_ASSERT(ParseTask(TaskText(task)) == task);
    for (const char* invalid_text :
         {"", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.1.2",
          "5c0e7a21d94b36f8.1.2.3.4", "xyz.1.2.3", "5c0e7a21d94b36f8.1.2.-3"}) {
      CPPUNIT_ASSERT_MESSAGE(invalid_text, !ParseTask(invalid_text));
    }
  }

  void RunnerBeforeAnUpkeepOutlivesTheSnapshot() {
    wire::RegisterRunnerT before;
    before.runner = std::make_unique<wire::RunnerRecordT>();
    before.runner->id = "s";
    before.runner->machine = "m";
    before.runner->born_ms = 5;
    wire::RegisterRunnerT after;
    after.runner = std::make_unique<wire::RunnerRecordT>(*before.runner);
    after.runner->born_ms = 6;
    Apply(std::move(before));
    wire::StartUpkeepT start;
    start.wave = 1;
    start.cap = 1;
    start.machines = {"m", "without-runner"};
    Apply(std::move(start));
    for (const std::string machine : {"m", "without-runner"}) {
      wire::RecordUpkeepT record;
      record.wave = 1;
      record.machine = machine;
      Apply(wire::RecordUpkeepT(record));
    }
    Apply(std::move(after));
    wire::RecordUpkeepT repeated;
    repeated.wave = 1;
    repeated.machine = "m";
    Apply(std::move(repeated));
    WorkState copy;
    CPPUNIT_ASSERT(copy.Load(m_state->Image()));
    const std::vector<const WorkState*> states = {m_state.get(), &copy};
    for (const WorkState* const state : states) {
      const auto& lives = state->waves().at(1).m_lives_before;
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lives.size());
      CPPUNIT_ASSERT(lives.at("m") == (RunnerLife{"s", 5}));
    }
  }

  // Guards against members that diverge: one that loads an image must have the
  // same state as one that applied every command.
  void ImageRoundTripPreservesState() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      setUp();
      std::mt19937_64 random(seed);
      RegisterRunner("s", 1);
      for (int i = 0; i < 40; ++i) {
        ApplyRandomCommand(random);
      }
      WorkState copy;
      CPPUNIT_ASSERT(copy.Load(m_state->Image()));
      CPPUNIT_ASSERT(copy.Image() == m_state->Image());
      for (const auto& [id, runner] : m_state->runners()) {
        const Runner* const other = copy.FindRunner(id);
        CPPUNIT_ASSERT(other != nullptr && other->m_used == runner.m_used);
        CPPUNIT_ASSERT(other->m_assigned == runner.m_assigned);
      }
      CPPUNIT_ASSERT_EQUAL(m_state->active().size(), copy.active().size());
    }
  }

  void IndexesEqualTheirRecomputation() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      setUp();
      m_records_starts = seed % 2 == 0;
      RegisterRunner("s", 1);
      std::mt19937_64 random(seed);
      for (int i = 0; i < 60; ++i) {
        switch (random() % 13) {
          case 0: {
            wire::RemoveRunnerT remove;
            remove.runner = random() % 2 == 0 ? "r" : "s";
            remove.born_ms = 1 + random() % 3;
            const std::string id = remove.runner;
            const Runner* const runner = m_state->FindRunner(id);
            for (const auto& [task, run] : runner->m_assigned) {
              (random() % 2 == 0 ? remove.new_runs : remove.older_runs)
                  .push_back(ToWire(RunKey{task, run}));
            }
            remove.conclusive = random() % 2 == 0;
            Apply(std::move(remove));
            CPPUNIT_ASSERT_EQUAL(std::string(), m_state->FindIndexError());
            RegisterRunner(id, 1 + random() % 3);
            break;
          }
          case 1: {
            wire::OpenOccurrencesT open;
            open.job = 100 + random() % 2;
            AcceptPeriodicJob(open.job, 3);
            open.up_to = 1 + random() % 3;
            Apply(open);
            break;
          }
          case 2: {
            wire::RecordStartsT record;
            record.jobs = {1 + random() % 8, 1 + random() % 8};
            Apply(std::move(record));
            break;
          }
          default:
            ApplyRandomCommand(random);
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), m_state->FindIndexError());
      }
      WorkState copy;
      CPPUNIT_ASSERT(copy.Load(m_state->Image()));
      CPPUNIT_ASSERT_EQUAL(std::string(), copy.FindIndexError());
      CPPUNIT_ASSERT_EQUAL(m_state->startable().size(),
                           copy.startable().size());
    }
  }

  void RunnersThatChangeMachinesStayIndexed() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      setUp();
      std::mt19937_64 random(seed);
      for (int i = 0; i < 60; ++i) {
        const std::string id = "r" + std::to_string(random() % 5);
        const Runner* const runner = m_state->FindRunner(id);
        if (runner != nullptr && random() % 4 == 0) {
          wire::RemoveRunnerT remove;
          remove.runner = id;
          remove.born_ms = runner->m_record.born_ms;
          Apply(std::move(remove));
        } else {
          RegisterRunner(id, 1 + random() % 4,
                         "m" + std::to_string(random() % 3));
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                     std::string(), m_state->FindIndexError());
      }
      WorkState copy;
      CPPUNIT_ASSERT(copy.Load(m_state->Image()));
      CPPUNIT_ASSERT_EQUAL(std::string(), copy.FindIndexError());
    }
  }

  // Gangs, occurrences, changes of the configuration and restarts of runners,
  // with a restart of the member after each command.
  void LoadedStateContinuesLikeItsOriginal() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      setUp();
      RegisterRunner("s", 1);
      std::mt19937_64 random(seed);
      std::uint64_t version = 3;
      for (int i = 0; i < 60; ++i) {
        switch (random() % 8) {
          case 0:
            AcceptMixedJob(1 + random() % 4, random() % 3);
            break;
          case 1: {
            wire::OpenOccurrencesT open;
            open.job = 1 + random() % 4;
            open.up_to = 1 + random() % 3;
            Apply(open);
            break;
          }
          case 2: {
            wire::PutConfigT put;
            put.config = MakeConfig(++version);
            if (random() % 2 == 0) {
              put.config->queues.erase(put.config->queues.begin());
            } else if (random() % 2 == 0) {
              put.config->queues[0]->name = "renamed";
            }
            Apply(std::move(put));
            break;
          }
          case 3:
            RegisterRunner(random() % 2 == 0 ? "r" : "s", 1 + random() % 3);
            break;
          default:
            AssignOrEndSomeRun(random);
        }
        const std::string at =
            "seed " + std::to_string(seed) + ", step " + std::to_string(i);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(at, std::string(),
                                     m_state->FindIndexError());
        auto copy = std::make_unique<WorkState>();
        CPPUNIT_ASSERT(copy->Load(m_state->Image()));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(at, std::string(), copy->FindIndexError());
        CPPUNIT_ASSERT_MESSAGE(at, copy->Image() == m_state->Image());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(at, m_state->startable().size(),
                                     copy->startable().size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(at, m_state->periodic().size(),
                                     copy->periodic().size());
        for (const auto& [id, runner] : m_state->runners()) {
          const Runner& other = *copy->FindRunner(id);
          CPPUNIT_ASSERT_MESSAGE(at, other.m_used == runner.m_used);
          CPPUNIT_ASSERT_MESSAGE(
              at, other.m_long_running_used == runner.m_long_running_used);
          CPPUNIT_ASSERT_MESSAGE(at, other.m_assigned == runner.m_assigned);
        }
        m_state = std::move(copy);
      }
    }
  }

 private:
  // A job of two steps, the second one after the first; `kind` 0: a gang step,
  // 1: a long-running second step, 2: three occurrences.
  void AcceptMixedJob(JobId id, std::uint64_t kind) {
    wire::AcceptJobT accept = MakeJob(id, {2, 2});
    accept.job->steps[0]->gang = kind == 0;
    accept.job->steps[1]->lasting = kind == 1;
    accept.job->times = kind == 2 ? 3 : 0;
    Apply(std::move(accept));
  }

  // Assigns a random waiting task, a gang as a whole, or ends a random run.
  void AssignOrEndSomeRun(std::mt19937_64& random) {
    const Job* const job = m_state->FindJob(1 + random() % 4);
    if (job == nullptr || job->m_occurrences.empty()) {
      return;
    }
    auto occurrence = job->m_occurrences.begin();
    std::advance(occurrence, static_cast<std::ptrdiff_t>(
                                 random() % job->m_occurrences.size()));
    const auto step = static_cast<std::uint16_t>(random() % 2);
    const auto index = static_cast<std::uint16_t>(random() % 2);
    const TaskKey key = {job->m_id, occurrence->first, step, index};
    const Task task = *job->FindTask(key);
    if (task.m_state == TaskState::kAssigned) {
      RecordEnd(task.m_runner, {key, task.m_run},
                static_cast<wire::EndKind>(random() % 7), random() % 50);
    } else if (job->IsStepReady(occurrence->second, step)) {
      std::vector<RunKey> runs = {{key, task.m_run + 1}};
      if (job->m_spec.steps[step]->gang) {
        runs.push_back({key, task.m_run + 1});
        runs.back().m_task.m_index = static_cast<std::uint16_t>(1 - index);
      }
      AssignRuns(random() % 2 == 0 ? "r" : "s", runs);
    }
  }

  void AcceptPeriodicJob(JobId id, std::uint32_t times) {
    wire::AcceptJobT accept;
    accept.queue = "short";
    accept.host = short_queue.m_host;
    accept.path_prefix = short_queue.m_path_prefix;
    accept.job = std::make_unique<wire::JobSpecT>();
    accept.job->id = JobIdText(id);
    accept.job->times = times;
    accept.job->start_at_ms = kNowMs;
    accept.job->interval_ms = 1000;
    accept.job->steps.push_back(std::make_unique<wire::StepSpecT>());
    accept.job->steps.back()->count = 2;
    Apply(std::move(accept));
  }
  static std::unique_ptr<wire::FleetConfigT> MakeConfig(std::uint64_t version) {
    auto config = std::make_unique<wire::FleetConfigT>();
    config->version = version;
    config->document = "document";
    config->pools.push_back(std::make_unique<wire::PoolSpecT>());
    config->pools.back()->name = "pool";
    for (const auto& [name, prefix] :
         {std::pair("short", "/q/"), std::pair("long", "/q/long/")}) {
      config->queues.push_back(std::make_unique<wire::QueueSpecT>());
      wire::QueueSpecT& queue = *config->queues.back();
      queue.name = name;
      queue.host = "h.example";
      queue.path_prefix = prefix;
      queue.pool = "pool";
      queue.attempts = 2;
      queue.timeout_ms = 1000;
    }
    return config;
  }

  template <typename Command>
  ApplyResult Apply(Command command) {
    wire::WorkCommandT wrapped;
    wrapped.time_ms = kNowMs;
    wrapped.body.Set(std::move(command));
    return m_state->Apply(wrapped, ++m_index);
  }

  void RegisterRunner(const std::string& id, std::uint64_t born,
                      const std::string& machine = "") {
    wire::RegisterRunnerT runner;
    runner.runner = std::make_unique<wire::RunnerRecordT>();
    runner.runner->id = id;
    runner.runner->born_ms = born;
    runner.runner->pool = "pool";
    runner.runner->machine = machine;
    runner.runner->cpu_milli = 16'000;
    Apply(std::move(runner));
  }

  static wire::AcceptJobT MakeJob(JobId id,
                                  const std::vector<std::uint32_t>& widths) {
    wire::AcceptJobT accept;
    accept.queue = "short";
    accept.host = short_queue.m_host;
    accept.path_prefix = short_queue.m_path_prefix;
    accept.job = std::make_unique<wire::JobSpecT>();
    accept.job->id = JobIdText(id);
    for (std::size_t i = 0; i < widths.size(); ++i) {
      auto step = std::make_unique<wire::StepSpecT>();
      step->count = widths[i];
      step->cpu_milli = 1000;
      if (i > 0) {
        step->depends_on = {static_cast<std::uint32_t>(i - 1)};
      }
      accept.job->steps.push_back(std::move(step));
    }
    return accept;
  }
  void AcceptJob(JobId id, const std::vector<std::uint32_t>& widths) {
    Apply(MakeJob(id, widths));
  }

  static RunKey MakeRun(JobId job, std::uint16_t step, std::uint16_t index,
                        std::uint32_t run) {
    return {{job, 0, step, index}, run};
  }

  ApplyResult AssignRuns(const std::string& runner,
                         const std::vector<RunKey>& runs) {
    wire::AssignRunsT assign;
    assign.runner = runner;
    assign.born_ms = m_state->FindRunner(runner)->m_record.born_ms;
    assign.records_starts = m_records_starts;
    for (const RunKey& run : runs) {
      assign.tasks.push_back(ToWire(run));
    }
    return Apply(std::move(assign));
  }

  ApplyResult RemoveCrashed(const std::string& runner,
                            const std::vector<RunKey>& new_runs,
                            const std::vector<RunKey>& older_runs,
                            bool conclusive,
                            const std::vector<RunKey>& cleared_runs = {}) {
    wire::RemoveRunnerT remove;
    remove.runner = runner;
    remove.born_ms = m_state->FindRunner(runner)->m_record.born_ms;
    for (const RunKey& run : new_runs) {
      remove.new_runs.push_back(ToWire(run));
    }
    for (const RunKey& run : older_runs) {
      remove.older_runs.push_back(ToWire(run));
    }
    for (const RunKey& run : cleared_runs) {
      remove.cleared_runs.push_back(ToWire(run));
    }
    remove.conclusive = conclusive;
    return Apply(std::move(remove));
  }

  void RecordEnd(const std::string& runner, const RunKey& run,
                 wire::EndKind how, std::uint64_t seen,
                 const std::string& checkpoint = {}) {
    wire::EndRunsT ends;
    ends.runner = runner;
    ends.born_ms = m_state->FindRunner(runner)->m_record.born_ms;
    ends.seen = seen;
    ends.ends.push_back(std::make_unique<wire::RunEndT>());
    ends.ends.back()->task = std::make_unique<wire::TaskRef>(ToWire(run));
    ends.ends.back()->how = how;
    ends.ends.back()->checkpoint = checkpoint;
    Apply(std::move(ends));
  }

  wire::JobPhase Phase(JobId id) const { return m_state->FindJob(id)->Phase(); }
  bool IsStepReady(JobId id, std::size_t step) const {
    const Job* const job = m_state->FindJob(id);
    return job->IsStepReady(job->m_occurrences.at(0), step);
  }

  void ApplyRandomCommand(std::mt19937_64& random) {
    const JobId id = 1 + random() % 8;
    const std::string runner = random() % 2 == 0 ? "r" : "s";
    const auto index = static_cast<std::uint16_t>(random() % 3);
    const auto step = static_cast<std::uint16_t>(random() % 2);
    const Job* const job = m_state->FindJob(id);
    switch (random() % 6) {
      case 0:
        AcceptJob(id, {3, 2});
        break;
      case 1:
      case 2:
        if (job != nullptr) {
          const Task* const task = job->FindTask({id, 0, step, index});
          if (task != nullptr) {
            AssignRuns(runner, {MakeRun(id, step, index, task->m_run + 1)});
          }
        }
        break;
      case 3:
        if (job != nullptr) {
          const Task* const task = job->FindTask({id, 0, step, index});
          if (task != nullptr && !task->m_runner.empty()) {
            RecordEnd(task->m_runner, MakeRun(id, step, index, task->m_run),
                      static_cast<wire::EndKind>(random() % 7), random() % 50);
          }
        }
        break;
      case 4: {
        wire::CancelJobT cancel;
        cancel.job = id;
        Apply(cancel);
        break;
      }
      default:
        RegisterRunner(runner, 1 + random() % 3);
        break;
    }
  }

  std::unique_ptr<WorkState> m_state;
  std::uint64_t m_index = 0;
  bool m_records_starts =
      false;  // Whether assignments leave starts to records.
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkStateTest);

}  // namespace
}  // namespace bronzebarrow::jobs
