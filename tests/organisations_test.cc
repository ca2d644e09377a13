// Tests keys, caps and shares of organisations: the table, the arithmetic, and
// placement under random starts, ends, lost runs and configurations.
#include "bronzebarrow/organisations.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <random>
#include <string>

#include "bronzebarrow/placement.h"

namespace bronzebarrow::placement {
namespace {

using organisations::DigestOfKey;
using organisations::OrganisationTable;

constexpr std::uint64_t kNowMs = 1'700'000'000'000;
constexpr std::uint64_t kSeeds = 2000;

std::unique_ptr<wire::OrganisationT> MakeOrganisation(
    const std::string& name, const std::vector<std::string>& keys,
    double weight = 1, std::uint64_t cap_milli = 0) {
  auto organisation = std::make_unique<wire::OrganisationT>();
  organisation->name = name;
  for (const std::string& key : keys) {
    organisation->key_digests.push_back(DigestOfKey(key));
  }
  organisation->weight = weight;
  organisation->cap_cpu_milli = cap_milli;
  return organisation;
}

class OrganisationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OrganisationsTest);
  CPPUNIT_TEST(KeysAreFoundByTheirDigests);
  CPPUNIT_TEST(InvalidOrganisationsAreNamedWithoutTheirKeys);
  CPPUNIT_TEST(RenamedOrganisationIsFoundByItsKeys);
  CPPUNIT_TEST(CapLimitsEachDimension);
  CPPUNIT_TEST(FairQueueingBoundsTheWorkBefore);
  CPPUNIT_TEST(LeastServedOrganisationIsPlacedFirst);
  CPPUNIT_TEST(RoomThatNobodyElseAsksForIsUsed);
  CPPUNIT_TEST(OthersPassAnOrganisationAtItsCap);
  CPPUNIT_TEST(GangOverTheCapIsNamed);
  CPPUNIT_TEST(SmallOrganisationIsAdmittedBesideTheBacklogOfALargeOne);
  CPPUNIT_TEST(CapLengthensThePredictedWait);
  CPPUNIT_TEST(UsageOutlivesTheSnapshot);
  CPPUNIT_TEST(CapsHoldUnderRandomEvents);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_state = std::make_unique<jobs::WorkState>();
    m_index = 0;
    m_version = 0;
  }

  void KeysAreFoundByTheirDigests() {
    wire::FleetConfigT config;
    config.has_organisations = true;
    config.organisations.push_back(MakeOrganisation("a", {"k1", "k2"}));
    config.organisations.push_back(MakeOrganisation("b", {"k3"}));
    const OrganisationTable table(config);
    CPPUNIT_ASSERT(table.RequiresKeys());
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         table.FindByKey(DigestOfKey("k2"))->m_name);
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         table.FindByKey(DigestOfKey("k3"))->m_name);
    CPPUNIT_ASSERT(table.FindByKey(DigestOfKey("k4")) == nullptr);
    CPPUNIT_ASSERT(table.FindByKey("") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string(), DigestOfKey(""));
    CPPUNIT_ASSERT(DigestOfKey("k1").find("k1") == std::string::npos);
  }

  // Guards against keys in the reasons that callers and logs get.
  void InvalidOrganisationsAreNamedWithoutTheirKeys() {
    const auto problem = [](auto first, auto second) {
      std::vector<std::unique_ptr<wire::OrganisationT>> list;
      list.push_back(std::move(first));
      list.push_back(std::move(second));
      const std::string text = organisations::ProblemOf(list);
      CPPUNIT_ASSERT(text.find("secret") == std::string::npos);
      CPPUNIT_ASSERT(text.find(DigestOfKey("secret")) == std::string::npos);
      return text;
    };
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         problem(MakeOrganisation("a", {"secret"}),
                                 MakeOrganisation("b", {"k"})));
    CPPUNIT_ASSERT(!problem(MakeOrganisation("a", {"secret"}),
                            MakeOrganisation("b", {"secret"}))
                        .empty());
    CPPUNIT_ASSERT(!problem(MakeOrganisation("a", {"secret", "secret"}),
                            MakeOrganisation("b", {"k"}))
                        .empty());
    CPPUNIT_ASSERT(!problem(MakeOrganisation("a", {"secret"}),
                            MakeOrganisation("a", {"k"}))
                        .empty());
    CPPUNIT_ASSERT(
        !problem(MakeOrganisation("a", {"secret"}), MakeOrganisation("", {"k"}))
             .empty());
    CPPUNIT_ASSERT(
        !problem(MakeOrganisation("a", {"secret"}), MakeOrganisation("b", {""}))
             .empty());
    CPPUNIT_ASSERT(!problem(MakeOrganisation("a", {"secret"}),
                            MakeOrganisation("b", {"k"}, -1))
                        .empty());
  }

  void RenamedOrganisationIsFoundByItsKeys() {
    Configure({{"a", 1, 0}});
    Register("r", 16'000);
    Accept(1, "a", 1, 1000);
    Assign("r", 1, 0);
    wire::PutConfigT put = Config({{"b", 1, 0}});
    put.config->organisations[0]->key_digests = {DigestOfKey("key of a")};
    Apply(std::move(put));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), m_state->FindJob(1)->m_organisation);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1000},
                         m_state->usage().at("b").m_cpu_milli);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_state->FindIndexError());
  }

  void CapLimitsEachDimension() {
    const Resources cap = {10'000, 100, 0};
    using organisations::MayStart;
    CPPUNIT_ASSERT(MayStart(cap, {9000, 10, 7}, {1000, 10, 1}));
    CPPUNIT_ASSERT(!MayStart(cap, {9000, 10, 0}, {1001, 10, 0}));
    CPPUNIT_ASSERT(!MayStart(cap, {100, 95, 0}, {100, 10, 0}));
    // A task larger than half of the cap starts while less than that is used.
    CPPUNIT_ASSERT(MayStart(cap, {4999, 0, 0}, {9000, 0, 0}));
    CPPUNIT_ASSERT(!MayStart(cap, {5000, 0, 0}, {9000, 0, 0}));
    // A lowered cap stops nothing, and nothing starts above it.
    CPPUNIT_ASSERT(!MayStart(cap, {20'000, 0, 0}, {1, 0, 0}));
    CPPUNIT_ASSERT(organisations::ExceedsCap(cap, {10'001, 1, 0}));
    CPPUNIT_ASSERT(!organisations::ExceedsCap(cap, {10'000, 100, 50}));
  }

  void FairQueueingBoundsTheWorkBefore() {
    using organisations::WorkServedBefore;
    CPPUNIT_ASSERT_EQUAL(std::int64_t{100}, WorkServedBefore(100, 1, 5000, 1));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{50}, WorkServedBefore(100, 1, 50, 1));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{300}, WorkServedBefore(100, 1, 5000, 3));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5000}, WorkServedBefore(100, 0, 5000, 1));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, WorkServedBefore(100, 1, 5000, 0));
  }

  // Load pattern: one organisation's burst came before the jobs of another. In
  // the order of acceptance, those would wait for all of it.
  void LeastServedOrganisationIsPlacedFirst() {
    Configure({{"large", 1, 0}, {"small", 1, 0}});
    Register("r", 16'000);
    for (jobs::JobId id = 1; id <= 30; ++id) {
      Accept(id, "large", 1, 1000);
    }
    for (jobs::JobId id = 31; id <= 34; ++id) {
      Accept(id, "small", 1, 1000);
    }
    std::map<std::string, int> placed;
    for (const auto& run : PlanRuns()) {
      ++placed[m_state->FindJob(run.m_task.m_job)->m_organisation];
    }
    CPPUNIT_ASSERT_EQUAL(4, placed["small"]);
    CPPUNIT_ASSERT_EQUAL(12, placed["large"]);
  }

  void RoomThatNobodyElseAsksForIsUsed() {
    Configure({{"a", 1, 0}, {"b", 100, 0}});
    Register("r", 16'000);
    for (jobs::JobId id = 1; id <= 30; ++id) {
      Accept(id, "a", 1, 1000);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, PlanRuns().size());
  }

  void OthersPassAnOrganisationAtItsCap() {
    Configure({{"a", 1, 3000}, {"b", 1, 0}});
    Register("r", 16'000);
    for (jobs::JobId id = 1; id <= 8; ++id) {
      Accept(id, "a", 1, 1000);
    }
    Accept(9, "b", 5, 1000);
    std::map<std::string, int> placed;
    for (const auto& run : PlanRuns()) {
      ++placed[m_state->FindJob(run.m_task.m_job)->m_organisation];
    }
    CPPUNIT_ASSERT_EQUAL(3, placed["a"]);
    CPPUNIT_ASSERT_EQUAL(5, placed["b"]);
  }

  void GangOverTheCapIsNamed() {
    jobs::Job job;
    wire::JobSpecT spec;
    spec.steps.push_back(MakeStep(4, 1000));
    spec.steps.back()->gang = true;
    job.SetSpec(spec);
    CPPUNIT_ASSERT(GangOverCap(job, {4000, 0, 0}).empty());
    CPPUNIT_ASSERT(!GangOverCap(job, {3999, 0, 0}).empty());
    spec.steps.back()->gang = false;
    job.SetSpec(spec);
    CPPUNIT_ASSERT(GangOverCap(job, {3999, 0, 0}).empty());
  }

  // Guards against refusals that fall on all alike because of the backlog of
  // one organisation.
  void SmallOrganisationIsAdmittedBesideTheBacklogOfALargeOne() {
    Configure({{"large", 1, 0}, {"small", 1, 0}});
    AdmissionControl control((AdmissionOptions()));
    control.SetOrganisations(m_state->organisations(), m_state->usage());
    control.Update({{"pool", Backlog(20'000)}});
    CPPUNIT_ASSERT(!Decide(control, 1, "large").m_accepted);
    CPPUNIT_ASSERT(Decide(control, 2, "small").m_accepted);
    // Without organisations both wait for the whole backlog.
    AdmissionControl plain((AdmissionOptions()));
    plain.Update({{"pool", Backlog(20'000)}});
    CPPUNIT_ASSERT(!Decide(plain, 2, "small").m_accepted);
  }

  void CapLengthensThePredictedWait() {
    Configure({{"large", 1, 1000}, {"small", 1, 0}});
    AdmissionControl control((AdmissionOptions()));
    control.SetOrganisations(m_state->organisations(), m_state->usage());
    PoolOutlook pool = Backlog(400);  // Of 10 cores: 4 s within the cap.
    control.Update({{"pool", pool}});
    const AdmissionDecision decision = Decide(control, 1, "large");
    CPPUNIT_ASSERT(!decision.m_accepted);
    CPPUNIT_ASSERT(decision.IsForCap());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4000}, decision.m_cap_wait_ms);
    CPPUNIT_ASSERT(Decide(control, 2, "small").m_accepted);
  }

  void UsageOutlivesTheSnapshot() {
    Configure({{"a", 1, 5000}});
    Register("r", 16'000);
    Accept(1, "a", 2, 1000);
    Assign("r", 1, 0);
    jobs::WorkState loaded;
    CPPUNIT_ASSERT(loaded.Load(m_state->Image()));
    CPPUNIT_ASSERT(loaded.usage() == m_state->usage());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), loaded.FindJob(1)->m_organisation);
    CPPUNIT_ASSERT(loaded.organisations().FindByKey(DigestOfKey("key of a")) !=
                   nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string(), loaded.FindIndexError());
  }

  // Random jobs, plans, ends, removed runners, cancels, snapshots and
  // configurations with other caps. After each plan, no organisation has more
  // running than its cap allows, by a full count.
  void CapsHoldUnderRandomEvents() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      setUp();
      PlayRandomEvents(seed);
    }
  }

 private:
  struct Row {
    std::string m_name;
    double m_weight = 1;
    std::uint64_t m_cap_milli = 0;
  };

  void PlayRandomEvents(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const auto rows = [&] {
      return std::vector<Row>{{"a", 1, 2000 + random() % 6000},
                              {"b", 3, random() % 2 * (random() % 9000)},
                              {"c", 0.5, 0}};
    };
    Configure(rows());
    for (const char* id : {"r1", "r2", "r3"}) {
      Register(id, 8000);
    }
    jobs::JobId next = 1;
    for (int step = 0; step < 40; ++step) {
      switch (random() % 8) {
        case 0:
          Configure(rows());
          break;
        case 1:
          EndRandomRun(random);
          break;
        case 2: {
          wire::RemoveRunnerT remove;
          remove.runner = "r1";
          remove.born_ms = 0;
          Apply(std::move(remove));
          Register("r1", 8000);
          break;
        }
        case 3: {
          const auto image = m_state->Image();
          m_state = std::make_unique<jobs::WorkState>();
          CPPUNIT_ASSERT(m_state->Load(image));
          break;
        }
        case 4: {
          wire::CancelJobT cancel;
          cancel.job = 1 + random() % next;
          Apply(cancel);
          break;
        }
        default: {
          const std::string organisation(1,
                                         static_cast<char>('a' + random() % 3));
          AcceptStep(next++, organisation,
                     MakeStep(1 + random() % 5, 500 + random() % 3000),
                     random() % 5 == 0);
        }
      }
      const auto before = m_state->usage();
      for (const Placement& placement : Plan()) {
        wire::AssignRunsT assign;
        assign.runner = placement.m_runner;
        assign.born_ms = placement.m_born_ms;
        for (const jobs::RunKey& run : placement.m_runs) {
          assign.tasks.push_back(jobs::ToWire(run));
        }
        Apply(std::move(assign));
      }
      CheckCaps(before, "seed " + std::to_string(seed) + " step " +
                            std::to_string(step));
    }
  }

  void CheckCaps(const organisations::Usage& before, const std::string& at) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(at, std::string(), m_state->FindIndexError());
    for (const auto& [name, used] : m_state->usage()) {
      const std::int64_t cap = m_state->organisations().CapOf(name).m_cpu_milli;
      const auto had = before.find(name);
      const std::int64_t earlier =
          had == before.end() ? 0 : had->second.m_cpu_milli;
      constexpr std::int64_t kLargestTask = 3500;
      const std::int64_t limit = std::max(cap, cap / 2 + kLargestTask);
      CPPUNIT_ASSERT_MESSAGE(
          at, cap == 0 || used.m_cpu_milli <= std::max(limit, earlier));
    }
  }

  void EndRandomRun(std::mt19937_64& random) {
    for (const auto& [id, runner] : m_state->runners()) {
      if (runner.m_assigned.empty() || random() % 2 == 0) {
        continue;
      }
      const auto [task, run] = *runner.m_assigned.begin();
      wire::EndRunsT ends;
      ends.runner = id;
      ends.ends.push_back(std::make_unique<wire::RunEndT>());
      ends.ends.back()->task =
          std::make_unique<wire::TaskRef>(jobs::ToWire({task, run}));
      ends.ends.back()->how =
          random() % 3 == 0 ? wire::EndKind::Failed : wire::EndKind::Done;
      Apply(std::move(ends));
      return;
    }
  }

  // Work of a pool of ten cores that takes `ms`, all of "large".
  static PoolOutlook Backlog(std::int64_t ms) {
    constexpr std::int64_t kCapacityMilli = 10'000;
    PoolOutlook pool;
    pool.m_capacity_milli = kCapacityMilli;
    const Work work = {kCapacityMilli * ms, kCapacityMilli * ms};
    pool.m_waiting_work[0] = work;
    pool.m_work_by_organisation[0]["large"] = work;
    return pool;
  }

  AdmissionDecision Decide(AdmissionControl& control, jobs::JobId id,
                           const std::string& organisation) {
    jobs::Job job;
    job.m_id = id;
    const wire::QueueSpecT& queue = *m_state->queues().FindByName("queue");
    job.m_queue = jobs::AddressOf(queue);
    job.m_organisation = organisation;
    wire::JobSpecT spec;
    spec.steps.push_back(MakeStep(1, 1000));
    job.SetSpec(spec);
    return control.Decide(queue, job, Instant() + std::chrono::hours(1));
  }

  static std::unique_ptr<wire::StepSpecT> MakeStep(std::uint64_t count,
                                                   std::uint64_t cpu_milli) {
    auto step = std::make_unique<wire::StepSpecT>();
    step->count = static_cast<std::uint32_t>(count);
    step->cpu_milli = static_cast<std::uint32_t>(cpu_milli);
    step->estimate_ms = 1000;
    return step;
  }

  wire::PutConfigT Config(const std::vector<Row>& rows) {
    wire::PutConfigT put;
    put.config = std::make_unique<wire::FleetConfigT>();
    put.config->version = ++m_version;
    put.config->pools.push_back(std::make_unique<wire::PoolSpecT>());
    put.config->pools.back()->name = "pool";
    put.config->queues.push_back(std::make_unique<wire::QueueSpecT>());
    wire::QueueSpecT& queue = *put.config->queues.back();
    queue.name = "queue";
    queue.pool = "pool";
    queue.path_prefix = "/q/";
    queue.attempts = 2;
    queue.slack_factor = 1.6;
    queue.objective_ms = 600;
    queue.timeout_ms = 3000;
    put.config->has_organisations = true;
    for (const Row& row : rows) {
      put.config->organisations.push_back(MakeOrganisation(
          row.m_name, {"key of " + row.m_name}, row.m_weight, row.m_cap_milli));
    }
    return put;
  }
  void Configure(const std::vector<Row>& rows) { Apply(Config(rows)); }

  void Register(const std::string& id, std::uint32_t cpu_milli) {
    wire::RegisterRunnerT runner;
    runner.runner = std::make_unique<wire::RunnerRecordT>();
    runner.runner->id = id;
    runner.runner->machine = id;
    runner.runner->pool = "pool";
    runner.runner->cpu_milli = cpu_milli;
    runner.runner->memory_mb = 1000;
    Apply(std::move(runner));
  }

  void Accept(jobs::JobId id, const std::string& organisation,
              std::uint32_t tasks, std::uint32_t cpu_milli) {
    AcceptStep(id, organisation, MakeStep(tasks, cpu_milli), false);
  }
  void AcceptStep(jobs::JobId id, const std::string& organisation,
                  std::unique_ptr<wire::StepSpecT> step, bool gang) {
    wire::AcceptJobT accept;
    accept.queue = "queue";
    accept.organisation = organisation;
    accept.job = std::make_unique<wire::JobSpecT>();
    accept.job->id = jobs::JobIdText(id);
    step->gang = gang;
    accept.job->steps.push_back(std::move(step));
    Apply(std::move(accept));
  }

  void Assign(const std::string& runner, jobs::JobId job, std::uint16_t index) {
    wire::AssignRunsT assign;
    assign.runner = runner;
    assign.tasks.push_back(jobs::ToWire({{job, 0, 0, index}, 1}));
    Apply(std::move(assign));
  }

  std::vector<Placement> Plan() {
    PlanInput input(*m_state);
    input.m_now_ms = kNowMs;
    input.m_is_usable = [](const jobs::Runner&) { return true; };
    return PlanAssignments(input);
  }
  std::vector<jobs::RunKey> PlanRuns() {
    std::vector<jobs::RunKey> runs;
    for (const Placement& placement : Plan()) {
      runs.insert(runs.end(), placement.m_runs.begin(), placement.m_runs.end());
    }
    return runs;
  }

  template <typename Body>
  void Apply(Body body) {
    wire::WorkCommandT command;
    command.time_ms = kNowMs;
    command.body.Set(std::move(body));
    m_state->Apply(command, ++m_index);
  }

  std::unique_ptr<jobs::WorkState> m_state;
  std::uint64_t m_index = 0;
  std::uint64_t m_version = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrganisationsTest);

}  // namespace
}  // namespace bronzebarrow::placement
