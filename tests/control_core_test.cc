// Tests the guarantees for accepted changes and released stops, with the real
// control cores in virtual time: no entry serves under a version older than an
// accepted one, and no entry has work in flight at a released instance.
#include <cppunit/extensions/HelperMacros.h>

#include "fake_control.h"

namespace bronzebarrow::control {
namespace {

constexpr std::uint64_t kSeeds = 2000;
constexpr std::size_t kMembers = 3;
constexpr std::size_t kEntries = 4;

class ControlCoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlCoreTest);
  CPPUNIT_TEST(ChangeIsAcceptedAndServedEverywhere);
  CPPUNIT_TEST(IsolatedEntryStopsServingWithinItsLease);
  CPPUNIT_TEST(AcceptanceWaitsForTheLeaseOfAnIsolatedEntry);
  CPPUNIT_TEST(SuspendedLeaderDoesNotExtendLeases);
  CPPUNIT_TEST(LeaderIsolatedFromItsPeersGrantsNoLease);
  CPPUNIT_TEST(GuaranteesHoldUnderFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChangeIsAcceptedAndServedEverywhere() {
    FakeControl control(kMembers, kEntries, 1);
    RunUntilStable(control);
    CPPUNIT_ASSERT(control.accepted() > 0);
    CPPUNIT_ASSERT_EQUAL(std::string(), control.violation());
  }

  void IsolatedEntryStopsServingWithinItsLease() {
    FakeControl control(kMembers, kEntries, 2);
    RunUntilStable(control);
    control.IsolateEntry(0, true);
    control.Run(Millis(1100));
    CPPUNIT_ASSERT(!control.Serves(0));
    CPPUNIT_ASSERT(control.Serves(1));
    control.IsolateEntry(0, false);
    control.Run(Millis(1000));
    CPPUNIT_ASSERT(control.Serves(0));
  }

  void AcceptanceWaitsForTheLeaseOfAnIsolatedEntry() {
    FakeControl control(kMembers, kEntries, 3);
    RunUntilStable(control);
    const std::uint64_t before = control.accepted();
    control.IsolateEntry(0, true);
    ProposeChanges(control);
    control.Run(Millis(300));
    CPPUNIT_ASSERT(control.Serves(0));
    CPPUNIT_ASSERT_EQUAL(before, control.accepted());
    control.Run(Millis(1200));
    CPPUNIT_ASSERT(!control.Serves(0));
    CPPUNIT_ASSERT(control.accepted() > before);
  }

  void SuspendedLeaderDoesNotExtendLeases() {
    FakeControl control(kMembers, kEntries, 4);
    RunUntilStable(control);
    const std::size_t leader = control.Leader().value();
    control.SuspendMember(leader, true);
    control.Run(Millis(2500));
    CPPUNIT_ASSERT(control.Leader().has_value());
    ProposeChanges(control);
    control.Run(Millis(1500));
    const std::uint64_t accepted = control.accepted();
    CPPUNIT_ASSERT(accepted > 1);
    control.SuspendMember(leader, false);
    control.Run(Millis(2000));
    CPPUNIT_ASSERT_EQUAL(std::string(), control.violation());
  }

  // A leader that is isolated from its peers can still receive the entries'
  // reports while a new leader is elected. If it renewed a lease, that entry
  // would keep serving the old version after the new leader accepted a change.
  void LeaderIsolatedFromItsPeersGrantsNoLease() {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
      FakeControl control(kMembers, kEntries, seed);
      RunUntilStable(control);
      control.IsolateMemberFromPeers(control.Leader().value(), true);
      control.Run(Millis(300 + seed % 120));
      control.IsolateEntry(0, true);
      for (int i = 0; i < 30; ++i) {
        control.Run(Millis(50));
        control.ProposeChange();
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                   std::string(), control.violation());
    }
  }

  void GuaranteesHoldUnderFaults() {
    std::uint64_t accepted = 0;
    std::size_t released = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      FakeControl control(kMembers, kEntries, seed);
      const std::string label = "seed " + std::to_string(seed);
      for (int step = 0; step < 40; ++step) {
        control.Run(Millis(100 + step * 37 % 150));
        control.ProposeChangeOrStop();
        if (step % 4 == 3) {
          control.InjectFault();
        }
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label, std::string(), control.violation());
      control.HealAll();
      for (int i = 0; i < 100 && !control.AllServeNewest(); ++i) {
        control.Run(Millis(100));
        control.ProposeChange();
      }
      control.Run(Millis(1500));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label, std::string(), control.violation());
      CPPUNIT_ASSERT_MESSAGE(label, control.AllServeNewest());
      accepted += control.accepted();
      released += control.released();
    }
    // Without accepted changes and released stops the runs check nothing.
    CPPUNIT_ASSERT(accepted > 2 * kSeeds);
    CPPUNIT_ASSERT(released > kSeeds / 2);
  }

 private:
  static void ProposeChanges(FakeControl& control) {
    for (int i = 0; i < 40; ++i) {
      control.ProposeChange();
    }
  }

  static void RunUntilStable(FakeControl& control) {
    for (int i = 0; i < 100 && !control.AllServeNewest(); ++i) {
      control.Run(Millis(100));
      control.ProposeChange();
    }
    control.Run(Millis(1500));
    CPPUNIT_ASSERT_EQUAL(std::string(), control.violation());
    CPPUNIT_ASSERT(control.AllServeNewest());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlCoreTest);

}  // namespace
}  // namespace bronzebarrow::control
