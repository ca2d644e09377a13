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
  CPPUNIT_TEST(EntryCutOffStopsServingWithinItsLease);
  CPPUNIT_TEST(AcceptWaitsForTheLeaseOfAnEntryCutOff);
  CPPUNIT_TEST(FrozenLeaderDoesNotKeepLeasesAlive);
  CPPUNIT_TEST(LeaderCutFromItsPeersGrantsNoLease);
  CPPUNIT_TEST(HoldsUnderFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChangeIsAcceptedAndServedEverywhere() {
    FakeControl control(kMembers, kEntries, 1);
    Settle(control);
    CPPUNIT_ASSERT(control.accepted() > 0);
    CPPUNIT_ASSERT_EQUAL(std::string(), control.broken());
  }

  void EntryCutOffStopsServingWithinItsLease() {
    FakeControl control(kMembers, kEntries, 2);
    Settle(control);
    control.CutEntry(0, true);
    control.Run(Millis(1100));
    CPPUNIT_ASSERT(!control.Serves(0));
    CPPUNIT_ASSERT(control.Serves(1));
    control.CutEntry(0, false);
    control.Run(Millis(1000));
    CPPUNIT_ASSERT(control.Serves(0));
  }

  void AcceptWaitsForTheLeaseOfAnEntryCutOff() {
    FakeControl control(kMembers, kEntries, 3);
    Settle(control);
    const std::uint64_t before = control.accepted();
    control.CutEntry(0, true);
    ChangeNow(control);
    control.Run(Millis(300));
    CPPUNIT_ASSERT(control.Serves(0));
    CPPUNIT_ASSERT_EQUAL(before, control.accepted());
    control.Run(Millis(1200));
    CPPUNIT_ASSERT(!control.Serves(0));
    CPPUNIT_ASSERT(control.accepted() > before);
  }

  void FrozenLeaderDoesNotKeepLeasesAlive() {
    FakeControl control(kMembers, kEntries, 4);
    Settle(control);
    const std::size_t leader = control.Leader().value();
    control.FreezeMember(leader, true);
    control.Run(Millis(2500));
    CPPUNIT_ASSERT(control.Leader().has_value());
    ChangeNow(control);
    control.Run(Millis(1500));
    const std::uint64_t accepted = control.accepted();
    CPPUNIT_ASSERT(accepted > 1);
    control.FreezeMember(leader, false);
    control.Run(Millis(2000));
    CPPUNIT_ASSERT_EQUAL(std::string(), control.broken());
  }

  // A leader that is cut off from its peers can still receive the entries'
  // reports while a new leader is elected. If it renewed a lease, that entry
  // would keep serving the old version after the new leader accepted a change.
  void LeaderCutFromItsPeersGrantsNoLease() {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
      FakeControl control(kMembers, kEntries, seed);
      Settle(control);
      control.CutMemberFromPeers(control.Leader().value(), true);
      control.Run(Millis(300 + seed % 120));
      control.CutEntry(0, true);
      for (int i = 0; i < 30; ++i) {
        control.Run(Millis(50));
        control.Change();
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                   std::string(), control.broken());
    }
  }

  void HoldsUnderFaults() {
    std::uint64_t accepted = 0;
    std::size_t released = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      FakeControl control(kMembers, kEntries, seed);
      const std::string label = "seed " + std::to_string(seed);
      for (int step = 0; step < 40; ++step) {
        control.Run(Millis(100 + step * 37 % 150));
        control.Operate();
        if (step % 4 == 3) {
          control.InjectFault();
        }
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label, std::string(), control.broken());
      control.HealAll();
      for (int i = 0; i < 100 && !control.AllServeNewest(); ++i) {
        control.Run(Millis(100));
        control.Change();
      }
      control.Run(Millis(1500));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label, std::string(), control.broken());
      CPPUNIT_ASSERT_MESSAGE(label, control.AllServeNewest());
      accepted += control.accepted();
      released += control.released();
    }
    // Without accepted changes and released stops the runs check nothing.
    CPPUNIT_ASSERT(accepted > 2 * kSeeds);
    CPPUNIT_ASSERT(released > kSeeds / 2);
  }

 private:
  static void ChangeNow(FakeControl& control) {
    for (int i = 0; i < 40; ++i) {
      control.Change();
    }
  }

  static void Settle(FakeControl& control) {
    for (int i = 0; i < 100 && !control.AllServeNewest(); ++i) {
      control.Run(Millis(100));
      control.Change();
    }
    control.Run(Millis(1500));
    CPPUNIT_ASSERT_EQUAL(std::string(), control.broken());
    CPPUNIT_ASSERT(control.AllServeNewest());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlCoreTest);

}  // namespace
}  // namespace bronzebarrow::control
