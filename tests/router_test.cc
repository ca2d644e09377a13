// Tests of the target table, limits, queues, drains and the entry's lease.
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>

#include "bronzebarrow/routing.h"

namespace bronzebarrow::routing {
namespace {

constexpr std::uint64_t kSeedCount = 2000;
constexpr std::uint32_t kEntryCount = 6;
constexpr std::uint32_t kSlots = 8;

constexpr const char* kPlans =
    "[rush]\nclass = urgent\npool = p\nquota = 60\n"
    "[bulk]\nclass = overnight\npool = p\nquota = 12\n";
constexpr const char* kUses =
    "[rush/p]\nzones = any\nracks = any\nfloor = 0\nsurvive = none\n"
    "[bulk/p]\nzones = a\nracks = any\nfloor = 0\nsurvive = none\n";

class RouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouterTest);
  CPPUNIT_TEST(EntrySharesSumToLimit);
  CPPUNIT_TEST(StaleAnnouncementIsIgnored);
  CPPUNIT_TEST(RefreshExtendsExpiryOfKnownTarget);
  CPPUNIT_TEST(TargetExpiresWithoutAnnouncements);
  CPPUNIT_TEST(RefusalsCarryErrorCodes);
  CPPUNIT_TEST(UrgentIsServedBeforeOvernight);
  CPPUNIT_TEST(FullQueueEvictsLeastUrgentRequest);
  CPPUNIT_TEST(QueuedRequestIsRefusedAfterDeadline);
  CPPUNIT_TEST(TargetWithOpenStopGetsNoRequestsAndDrains);
  CPPUNIT_TEST(FailingTargetIsQuarantinedUpToHalfOfPool);
  CPPUNIT_TEST(RetryBudgetAllowsOneRetryPerTenRequests);
  CPPUNIT_TEST(LeaseDurationCountsFromSendTime);
  CPPUNIT_TEST(LimitsHoldAcrossEntries);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EntrySharesSumToLimit() {
    for (std::uint32_t slots = 0; slots < 40; ++slots) {
      for (std::uint32_t entries = 1; entries < 9; ++entries) {
        std::uint32_t sum = 0;
        for (std::uint32_t i = 0; i < entries; ++i) {
          sum += EntryShare("t" + std::to_string(slots), slots, i, entries);
        }
        CPPUNIT_ASSERT_EQUAL(slots, sum);
      }
    }
  }

  void StaleAnnouncementIsIgnored() {
    TargetTable table;
    const auto announce = [&](std::uint64_t incarnation, std::uint64_t sequence,
                              bool leaving) {
      return table.Announce(
          MakeAnnouncement("t", incarnation, sequence, leaving), m_now);
    };
    CPPUNIT_ASSERT(announce(5, 1, false) == AnnounceVerdict::kChanged);
    CPPUNIT_ASSERT(announce(5, 3, true) == AnnounceVerdict::kChanged);
    CPPUNIT_ASSERT(announce(5, 2, false) == AnnounceVerdict::kStale);
    CPPUNIT_ASSERT(announce(5, 4, false) == AnnounceVerdict::kRefreshed);
    CPPUNIT_ASSERT(table.targets().at("t").m_announced_leaving);
    CPPUNIT_ASSERT(announce(4, 9, false) == AnnounceVerdict::kStale);
    table.Expire(m_now + Millis(60'000));
    CPPUNIT_ASSERT(announce(5, 9, false) == AnnounceVerdict::kStale);
    CPPUNIT_ASSERT(announce(6, 1, false) == AnnounceVerdict::kChanged);
    CPPUNIT_ASSERT(!table.targets().at("t").m_announced_leaving);
  }

  void RefreshExtendsExpiryOfKnownTarget() {
    TargetTable table;
    const std::uint64_t hash = NameHash("t");
    CPPUNIT_ASSERT(table.Refresh({hash, 5, 1}, m_now) ==
                   AnnounceVerdict::kUnknown);
    table.Announce(MakeAnnouncement("t", 5, 2, true), m_now);
    CPPUNIT_ASSERT(table.Refresh({hash, 5, 2}, m_now) ==
                   AnnounceVerdict::kStale);
    CPPUNIT_ASSERT(table.Refresh({hash, 4, 9}, m_now) ==
                   AnnounceVerdict::kStale);
    CPPUNIT_ASSERT(table.Refresh({hash, 6, 1}, m_now) ==
                   AnnounceVerdict::kUnknown);
    CPPUNIT_ASSERT(table.Refresh({hash, 5, 3}, m_now + Millis(2900)) ==
                   AnnounceVerdict::kRefreshed);
    CPPUNIT_ASSERT(table.Expire(m_now + Millis(3100)).empty());
    const auto described = table.Describe(hash);
    CPPUNIT_ASSERT(described && described->sequence == 3);
    CPPUNIT_ASSERT(described->state == wire::TargetState::Leaving);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3000}, described->ttl_ms);
    table.Expire(m_now + Millis(60'000));
    CPPUNIT_ASSERT(!table.Describe(hash));
  }

  void TargetExpiresWithoutAnnouncements() {
    Router router = MakeRouter(1, {"t0"});
    AssertVerdict(RouteVerdict::kDispatched, Submit(router, 1, "rush"));
    m_now += Millis(4000);
    const RouteDecision refused = Submit(router, 2, "rush");
    CPPUNIT_ASSERT(refused.m_code == ErrorCode::kNoTarget);
  }

  void RefusalsCarryErrorCodes() {
    Router empty((RouterOptions()));
    CPPUNIT_ASSERT(Submit(empty, 1, "rush").m_code == ErrorCode::kLeaseMissing);
    Router router = MakeRouter(1, {});
    CPPUNIT_ASSERT(Submit(router, 1, "none").m_code == ErrorCode::kPlanUnknown);
    CPPUNIT_ASSERT(Submit(router, 1, "rush").m_code == ErrorCode::kNoTarget);
    RouteRequest request{1, "rush", "other", m_now + Millis(10)};
    CPPUNIT_ASSERT(router.Submit(request, m_now).m_code ==
                   ErrorCode::kPoolUnknown);
  }

  void UrgentIsServedBeforeOvernight() {
    Router router = MakeRouter(1, {"t0"});
    std::vector<Dispatch> in_flight = FillTargetSlots(router);
    AssertVerdict(RouteVerdict::kQueued, Submit(router, 100, "bulk"));
    AssertVerdict(RouteVerdict::kQueued, Submit(router, 101, "rush"));
    const RouterActions freed =
        router.Finish(in_flight[0], TargetOutcome::kAnswered, m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, freed.m_dispatches.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{101},
                         freed.m_dispatches[0].m_request_id);
  }

  void FullQueueEvictsLeastUrgentRequest() {
    RouterOptions options;
    options.m_max_queue = 2;
    Router router = MakeRouter(options, {"t0"});
    FillTargetSlots(router);
    Submit(router, 100, "bulk");
    Submit(router, 101, "rush");
    const RouteDecision urgent = Submit(router, 102, "rush");
    AssertVerdict(RouteVerdict::kQueued, urgent);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, urgent.m_evicted->m_request_id);
    CPPUNIT_ASSERT(Submit(router, 103, "bulk").m_code == ErrorCode::kQueueFull);
  }

  void QueuedRequestIsRefusedAfterDeadline() {
    Router router = MakeRouter(1, {"t0"});
    FillTargetSlots(router);
    Submit(router, 100, "rush");
    m_now += Millis(1001);
    const RouterActions actions = router.Advance(m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.m_refusals.size());
    CPPUNIT_ASSERT(actions.m_refusals[0].m_code ==
                   ErrorCode::kDeadlineExceeded);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, router.WaitingCount());
  }

  void TargetWithOpenStopGetsNoRequestsAndDrains() {
    Router router = MakeRouter(1, {"t0"});
    const RouteDecision first = Submit(router, 1, "rush");
    wire::StopNoticeT stop;
    stop.stop_id = "s";
    stop.instance = "t0";
    stop.incarnation = 1;
    router.SetStops({stop});
    CPPUNIT_ASSERT(router.DrainedStops().empty());
    CPPUNIT_ASSERT(Submit(router, 2, "rush").m_code == ErrorCode::kNoTarget);
    router.Finish(first.m_dispatch, TargetOutcome::kAnswered, m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, router.DrainedStops().size());
    router.Announce(MakeAnnouncement("t0", 2, 1, false), m_now);
    AssertVerdict(RouteVerdict::kDispatched, Submit(router, 3, "rush"));
  }

  void FailingTargetIsQuarantinedUpToHalfOfPool() {
    Router router = MakeRouter(1, {"t0", "t1"});
    std::map<std::string, int> dispatched;
    for (std::uint64_t id = 1; id <= 200; ++id) {
      const RouteDecision decision = Submit(router, id, "rush");
      AssertVerdict(RouteVerdict::kDispatched, decision);
      ++dispatched[decision.m_dispatch.m_instance];
      router.Finish(decision.m_dispatch, TargetOutcome::kFailed, m_now);
    }
    const int fewest = std::min(dispatched["t0"], dispatched["t1"]);
    CPPUNIT_ASSERT_EQUAL(200, dispatched["t0"] + dispatched["t1"]);
    CPPUNIT_ASSERT(fewest <= 3);
  }

  void RetryBudgetAllowsOneRetryPerTenRequests() {
    RetryBudget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
      budget.OnRequest();
      retries += budget.TryRetry() ? 1 : 0;
    }
    CPPUNIT_ASSERT(retries <= 1000 / 10 + 10);
    CPPUNIT_ASSERT(retries >= 1000 / 10);
  }

  void LeaseDurationCountsFromSendTime() {
    EntryLease lease;
    const std::uint64_t sequence = lease.RecordRequest(m_now);
    lease.OnGrant(sequence, Millis(1000), 4, 2);
    CPPUNIT_ASSERT(lease.IsValidFor(m_now + Millis(999), 4, 2));
    CPPUNIT_ASSERT(!lease.IsValidFor(m_now + Millis(1000), 4, 2));
    CPPUNIT_ASSERT(!lease.IsValidFor(m_now, 3, 2));
    CPPUNIT_ASSERT(!lease.IsValidFor(m_now, 4, 1));
    lease.OnGrant(sequence, Millis(9000), 4, 2);
    CPPUNIT_ASSERT(!lease.IsValidFor(m_now + Millis(1000), 4, 2));
  }

  // Six entries that do not communicate serve random requests. Guards against
  // shares that together exceed a target's slots or a plan's quota.
  void LimitsHoldAcrossEntries() {
    for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
      std::mt19937_64 random(seed);
      std::vector<Router> entries;
      for (std::uint32_t i = 0; i < kEntryCount; ++i) {
        RouterOptions options;
        options.m_entry_index = i;
        options.m_entry_count = kEntryCount;
        options.m_balance_policy = static_cast<BalancePolicy>(seed % 2);
        options.m_queue_policy = static_cast<QueuePolicy>(seed / 2 % 2);
        entries.push_back(MakeRouter(options, {"t0", "t1", "t2"}));
      }
      std::vector<std::pair<std::size_t, Dispatch>> in_flight;
      std::map<std::uint64_t, std::string> plan_of;
      for (std::uint64_t id = 1; id <= 120; ++id) {
        const std::size_t entry_index = random() % kEntryCount;
        if (random() % 3 != 0 || in_flight.empty()) {
          plan_of[id] = random() % 2 == 0 ? "rush" : "bulk";
          const RouteDecision decision =
              Submit(entries[entry_index], id, plan_of[id]);
          if (decision.m_verdict == RouteVerdict::kDispatched) {
            in_flight.emplace_back(entry_index, decision.m_dispatch);
          }
        } else {
          const std::size_t finished_index = random() % in_flight.size();
          const auto [entry, dispatch] = in_flight[finished_index];
          in_flight.erase(in_flight.begin() +
                          static_cast<std::ptrdiff_t>(finished_index));
          for (const Dispatch& next :
               entries[entry]
                   .Finish(dispatch, TargetOutcome::kAnswered, m_now)
                   .m_dispatches) {
            in_flight.emplace_back(entry, next);
          }
        }
        CheckLimits(in_flight, plan_of);
      }
    }
  }

 private:
  static wire::AnnouncementT MakeAnnouncement(const std::string& instance,
                                              std::uint64_t incarnation,
                                              std::uint64_t sequence,
                                              bool leaving) {
    wire::AnnouncementT announcement;
    announcement.instance = instance;
    announcement.pool = "p";
    announcement.zone = "a";
    announcement.rack = "r";
    announcement.host = "127.0.0.1";
    announcement.port = 1;
    announcement.slots = kSlots;
    announcement.incarnation = incarnation;
    announcement.sequence = sequence;
    announcement.ttl_ms = 3000;
    announcement.state =
        leaving ? wire::TargetState::Leaving : wire::TargetState::Serving;
    return announcement;
  }

  Router MakeRouter(const RouterOptions& options,
                    const std::vector<std::string>& targets) const {
    Router router(options);
    auto parsed = Capture<fleet::Lists>(
        [] { return fleet::Lists::Parse(kPlans, kUses); });
    CPPUNIT_ASSERT(std::holds_alternative<fleet::Lists>(parsed));
    router.SetLists(std::make_shared<const fleet::Lists>(
        std::move(std::get<fleet::Lists>(parsed))));
    for (const std::string& target : targets) {
      router.Announce(MakeAnnouncement(target, 1, 1, false), m_now);
    }
    return router;
  }

  Router MakeRouter(std::uint32_t entries,
                    const std::vector<std::string>& targets) const {
    RouterOptions options;
    options.m_entry_count = entries;
    return MakeRouter(options, targets);
  }

  RouteDecision Submit(Router& router, std::uint64_t id,
                       const std::string& plan) const {
    return router.Submit({id, plan, "", m_now + Millis(1000)}, m_now);
  }

  std::vector<Dispatch> FillTargetSlots(Router& router) const {
    std::vector<Dispatch> in_flight;
    for (std::uint64_t id = 1; id <= kSlots; ++id) {
      const RouteDecision decision = Submit(router, id, "rush");
      AssertVerdict(RouteVerdict::kDispatched, decision);
      in_flight.push_back(decision.m_dispatch);
    }
    return in_flight;
  }

  static void AssertVerdict(RouteVerdict expected,
                            const RouteDecision& decision) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(NameOf(decision.m_code)),
                                 static_cast<int>(expected),
                                 static_cast<int>(decision.m_verdict));
  }

  static void CheckLimits(
      const std::vector<std::pair<std::size_t, Dispatch>>& in_flight,
      const std::map<std::uint64_t, std::string>& plan_of) {
    std::map<std::string, std::uint32_t> in_flight_by_target;
    std::map<std::string, std::uint32_t> in_flight_by_plan;
    for (const auto& [entry, dispatch] : in_flight) {
      CPPUNIT_ASSERT(++in_flight_by_target[dispatch.m_instance] <= kSlots);
      ++in_flight_by_plan[plan_of.at(dispatch.m_request_id)];
    }
    CPPUNIT_ASSERT(in_flight_by_plan["rush"] <= 60);
    CPPUNIT_ASSERT(in_flight_by_plan["bulk"] <= 12);
  }

  Instant m_now = Instant(Millis(1'000'000));
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

}  // namespace
}  // namespace bronzebarrow::routing
