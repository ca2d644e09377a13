// Tests the lists, stops, waves and the check of planned stops.
#include "bronzebarrow/fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace bronzebarrow::fleet {
namespace {

constexpr std::uint64_t kSeeds = 2000;
constexpr std::uint64_t kStartMs = 1'000'000;

constexpr const char* kPlans =
    "[huts]\nclass = urgent\npool = p\nquota = 10\n"
    "[lists]\nclass = overnight\npool = p\nquota = 10\n";
constexpr const char* kUses =
    "[huts/p]\nzones = a, b, c\nracks = any\nfloor = 4\nsurvive = zone\n"
    "[lists/p]\nzones = any\nracks = any\nfloor = 1\nsurvive = none\n";

class FleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetTest);
  CPPUNIT_TEST(ParsesBothLists);
  CPPUNIT_TEST(RefusesBadListsNamingLinePlanAndReason);
  CPPUNIT_TEST(StopRunsThroughItsLifecycle);
  CPPUNIT_TEST(StopBelowTheFloorIsRefused);
  CPPUNIT_TEST(SecondStopOfAnInstanceIsRefused);
  CPPUNIT_TEST(ExpiredStopReturnsTheInstanceToService);
  CPPUNIT_TEST(InstanceStaysInItsPool);
  CPPUNIT_TEST(WaveStartsWithACanaryAndWidens);
  CPPUNIT_TEST(WaveHaltsWhenAReturnedInstanceIsLost);
  CPPUNIT_TEST(ImageKeepsTheRecords);
  CPPUNIT_TEST(PlannedStopsNeverGoBelowTheFloor);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_lists = ParseLists(kPlans, kUses);
    m_fleet = Fleet();
    m_fleet.SetLists(&m_lists);
    m_now = kStartMs;
    for (int i = 0; i < 10; ++i) {
      ReportPresent(i, 1);
    }
  }

  void ParsesBothLists() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_lists.m_plans.size());
    const Use* use = m_lists.FindUse("huts", "p");
    CPPUNIT_ASSERT(use != nullptr && use->Admits("a", "any-rack"));
    CPPUNIT_ASSERT(!use->Admits("z", "any-rack"));
  }

  void RefusesBadListsNamingLinePlanAndReason() {
    struct Case {
      std::string m_plans;
      std::string m_uses;
      ErrorCode m_code;
      const char* m_text;
    };
    const std::string plans = kPlans;
    const std::string uses = kUses;
    const Case cases[] = {
        {"[huts]\nclass = rush\npool = p\nquota = 1\n", uses,
         ErrorCode::kListValueInvalid, "plans list, line 2, plan \"huts\""},
        {"[huts]\nclass = urgent\npool = p\nquota = 0\n", uses,
         ErrorCode::kListValueInvalid, "line 4"},
        {"[huts]\nclass = urgent\npool = p\n", uses, ErrorCode::kListMissingKey,
         "\"quota\" is missing"},
        {"[huts]\nclass = urgent\npool = p\nquota = 1\nqouta = 2\n", uses,
         ErrorCode::kListUnknownKey, "line 5"},
        {"[huts]\nclass = urgent\nclass = normal\n", uses,
         ErrorCode::kListMalformed, "line 3"},
        {plans,
         uses + "[ghost/p]\nzones = any\nracks = any\nfloor = 1\n"
                "survive = none\n",
         ErrorCode::kListUnknownPlan, "ghost"},
        {plans + "[other]\nclass = normal\npool = q\nquota = 1\n", uses,
         ErrorCode::kListMissingKey, "[other/q]"},
        {plans, "[huts]\nzones = any\n", ErrorCode::kListValueInvalid,
         "[plan/pool]"},
        {plans, "[huts/p]\nzones = ,\nracks = any\nfloor = 1\nsurvive = none\n",
         ErrorCode::kListValueInvalid, "write \"any\""},
    };
    for (const Case& item : cases) {
      const auto parsed = Capture<Lists>(
          [&] { return Lists::Parse(item.m_plans, item.m_uses); });
      const auto* failure = std::get_if<Failure>(&parsed);
      CPPUNIT_ASSERT_MESSAGE(item.m_text, failure != nullptr);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(failure->m_context,
                                   std::string(NameOf(item.m_code)),
                                   std::string(NameOf(failure->m_code)));
      CPPUNIT_ASSERT_MESSAGE(
          failure->m_context,
          failure->m_context.find(item.m_text) != std::string::npos);
    }
  }

  void StopRunsThroughItsLifecycle() {
    AssertCode(ErrorCode::kOk, AnnounceStop("s1", 0));
    CPPUNIT_ASSERT(StateOf(0) == InstanceState::kDraining);
    AssertCode(ErrorCode::kOk, AnnounceStop("s1", 0));
    UpdateStop("s1", wire::StopUpdateKind::Release);
    CPPUNIT_ASSERT(StateOf(0) == InstanceState::kStopped);
    ReportPresent(0, 1);
    CPPUNIT_ASSERT(StateOf(0) == InstanceState::kStopped);
    ReportPresent(0, 2);
    CPPUNIT_ASSERT(StateOf(0) == InstanceState::kProbation);
    CPPUNIT_ASSERT(m_fleet.stops().at("s1").m_state == StopState::kReturned);
    m_fleet.AdvanceTime(m_now + kProbationMs);
    CPPUNIT_ASSERT(StateOf(0) == InstanceState::kInService);
  }

  // 10 instances in zones of 4, 3 and 3, with a floor of 4. The largest zone,
  // of 4, is held in reserve, so 2 may stop.
  void StopBelowTheFloorIsRefused() {
    AssertCode(ErrorCode::kOk, AnnounceStop("s1", 1));
    AssertCode(ErrorCode::kOk, AnnounceStop("s2", 2));
    const Outcome third = AnnounceStop("s3", 4);
    AssertCode(ErrorCode::kBudgetExceeded, third);
    CPPUNIT_ASSERT(third.m_context.find("huts") != std::string::npos);
    CPPUNIT_ASSERT(StateOf(4) == InstanceState::kInService);
  }

  void SecondStopOfAnInstanceIsRefused() {
    AnnounceStop("s1", 0);
    AssertCode(ErrorCode::kStopInProgress, AnnounceStop("s2", 0));
    AssertCode(ErrorCode::kStopIdReused, AnnounceStop("s1", 1));
    AssertCode(ErrorCode::kInstanceUnknown, AnnounceStop("s3", 77));
  }

  void ExpiredStopReturnsTheInstanceToService() {
    AnnounceStop("s1", 0);
    UpdateStop("s1", wire::StopUpdateKind::Expire);
    CPPUNIT_ASSERT(Serves(StateOf(0)));
    CPPUNIT_ASSERT(m_fleet.stops().at("s1").m_state == StopState::kExpired);
  }

  void InstanceStaysInItsPool() {
    wire::ObservationT other = MakeObservation(0, 5, true);
    other.pool = "q";
    AssertCode(ErrorCode::kInstanceUnavailable, m_fleet.Observe(other, m_now));
    CPPUNIT_ASSERT_EQUAL(std::string("p"),
                         m_fleet.instances().at(Name(0)).m_pool);
  }

  void WaveStartsWithACanaryAndWidens() {
    StartWave("w", 4);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AnnounceWaveStops());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AnnounceWaveStops());
    CompleteActiveStops();
    m_now += kProbationMs;
    m_fleet.AdvanceTime(m_now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, m_fleet.waves().at("w").m_width);
    for (int round = 0; round < 200; ++round) {
      AnnounceWaveStops();
      CompleteActiveStops();
      m_now += kProbationMs;
      m_fleet.AdvanceTime(m_now);
    }
    CPPUNIT_ASSERT(m_fleet.waves().at("w").m_state == WaveState::kFinished);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10},
                         m_fleet.waves().at("w").m_done.size());
  }

  void WaveHaltsWhenAReturnedInstanceIsLost() {
    StartWave("w", 4);
    AnnounceWaveStops();
    CompleteActiveStops();
    const std::string canary = m_fleet.waves().at("w").m_done.front();
    wire::ObservationT gone;
    gone.instance = canary;
    gone.incarnation = m_fleet.instances().at(canary).m_incarnation;
    m_fleet.Observe(gone, m_now);
    CPPUNIT_ASSERT(m_fleet.waves().at("w").m_state == WaveState::kHalted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AnnounceWaveStops());
  }

  void ImageKeepsTheRecords() {
    AnnounceStop("s1", 0);
    StartWave("w", 2);
    AnnounceWaveStops();
    wire::ControlImageT image;
    m_fleet.ToWire(image);
    Fleet copy;
    copy.SetLists(&m_lists);
    copy.FromWire(image);
    wire::ControlImageT again;
    copy.ToWire(again);
    CPPUNIT_ASSERT(wire::ControlImageT(image).stops.size() ==
                   again.stops.size());
    CPPUNIT_ASSERT_EQUAL(m_fleet.version(), copy.version());
    CPPUNIT_ASSERT_EQUAL(m_fleet.waves().at("w").m_active.size(),
                         copy.waves().at("w").m_active.size());
  }

  // With stops, losses, returns and waves in random order, a planned stop is
  // accepted only if every use stays at its floor even with its largest failure
  // domain lost.
  void PlannedStopsNeverGoBelowTheFloor() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      setUp();
      std::mt19937_64 random(seed);
      std::uint64_t incarnation = 1;
      StartWave("w", 1 + static_cast<std::uint32_t>(random() % 4));
      for (int step = 0; step < 80; ++step) {
        m_now += random() % 4000;
        m_fleet.AdvanceTime(m_now);
        const int index = static_cast<int>(random() % 10);
        switch (random() % 5) {
          case 0:
            CheckMarginsAfter([&] {
              return AnnounceStop("s" + std::to_string(step), index).ok();
            });
            break;
          case 1:
            m_fleet.Observe(
                MakeObservation(
                    index, m_fleet.instances().at(Name(index)).m_incarnation,
                    false),
                m_now);
            break;
          case 2:
            ReportPresent(index, ++incarnation);
            break;
          case 3:
            CheckMarginsAfter([&] { return AnnounceWaveStops() > 0; });
            break;
          default:
            ReleaseAll();
            break;
        }
      }
    }
  }

 private:
  static Lists ParseLists(const std::string& plans, const std::string& uses) {
    auto parsed = Capture<Lists>([&] { return Lists::Parse(plans, uses); });
    CPPUNIT_ASSERT(std::holds_alternative<Lists>(parsed));
    return std::get<Lists>(parsed);
  }

  static std::string Name(int index) { return "p-" + std::to_string(index); }

  static wire::ObservationT MakeObservation(int index,
                                            std::uint64_t incarnation,
                                            bool present) {
    wire::ObservationT observation;
    observation.instance = Name(index);
    observation.pool = "p";
    observation.zone = std::string(1, static_cast<char>('a' + index % 3));
    observation.rack = observation.zone + "-r";
    observation.incarnation = incarnation;
    observation.present = present;
    return observation;
  }

  void ReportPresent(int index, std::uint64_t incarnation) {
    AssertCode(
        ErrorCode::kOk,
        m_fleet.Observe(MakeObservation(index, incarnation, true), m_now));
  }

  InstanceState StateOf(int index) {
    return m_fleet.instances().at(Name(index)).m_state;
  }

  Outcome AnnounceStop(const std::string& id, int index) {
    wire::AnnounceStopT stop;
    stop.stop_id = id;
    stop.instance = Name(index);
    stop.deadline_ms = 60'000;
    return m_fleet.AnnounceStop(stop, m_now);
  }

  void UpdateStop(const std::string& id, wire::StopUpdateKind kind) {
    wire::UpdateStopT update;
    update.stop_id = id;
    update.kind = kind;
    AssertCode(ErrorCode::kOk, m_fleet.Update(update, m_now));
  }

  void StartWave(const std::string& id, std::uint32_t width) {
    wire::StartWaveT wave;
    wave.wave_id = id;
    wave.pool = "p";
    wave.max_width = width;
    AssertCode(ErrorCode::kOk, m_fleet.Start(wave, m_now));
  }

  std::size_t AnnounceWaveStops() {
    std::size_t announced = 0;
    for (const wire::AnnounceStopT& stop : m_fleet.NextWaveStops()) {
      announced += m_fleet.AnnounceStop(stop, m_now).ok() ? 1 : 0;
    }
    return announced;
  }

  void ReleaseAll() {
    std::vector<std::string> draining;
    for (const auto& [id, stop] : m_fleet.stops()) {
      if (stop.m_state == StopState::kDraining) {
        draining.push_back(id);
      }
    }
    for (const std::string& id : draining) {
      UpdateStop(id, wire::StopUpdateKind::Release);
    }
  }

  void CompleteActiveStops() {
    ReleaseAll();
    for (int index = 0; index < 10; ++index) {
      if (StateOf(index) == InstanceState::kStopped) {
        ReportPresent(index,
                      m_fleet.instances().at(Name(index)).m_incarnation + 1);
      }
    }
  }

  template <typename Action>
  void CheckMarginsAfter(Action action) {
    if (!action()) {
      return;
    }
    for (const Margin& margin : m_fleet.Margins()) {
      CPPUNIT_ASSERT(margin.Spare() >= 0);
    }
  }

  static void AssertCode(ErrorCode code, const Outcome& outcome) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(outcome.m_context, std::string(NameOf(code)),
                                 std::string(NameOf(outcome.m_code)));
  }

  Lists m_lists;
  Fleet m_fleet;
  std::uint64_t m_now = kStartMs;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);

}  // namespace
}  // namespace bronzebarrow::fleet
