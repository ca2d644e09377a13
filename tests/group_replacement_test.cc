// Tests of a group whose members are replaced and lose their disks, as often as
// the planned number of simultaneous failures allows.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "bronzebarrow/consensus.h"
#include "fake_group.h"

namespace bronzebarrow::consensus {
namespace {

constexpr std::size_t kMembers = 5;
constexpr std::size_t kSpares = 8;
constexpr std::size_t kToleratedLosses = 2;
constexpr std::uint64_t kSeeds = 600;
constexpr Duration kDownTime = Millis(1000);
// A member counts as lost until this long after it is back, or after its
// successor has started.
constexpr Duration kCatchUpTime = Millis(4000);
// Time after the last failure within which the group must work again.
constexpr Duration kRecoveryTime = Millis(12'000);
constexpr Duration kProposalInterval = Millis(50);
// A leader that grants leases confirms its leadership all the time.
constexpr Duration kConfirmationInterval = Millis(25);

/** A group, and the failures that it must tolerate at this moment. */
class FailingGroup {
 public:
  /** One member at a time: the initial one, then its successors. */
  struct Place {
    std::size_t m_node = 0;
    Instant m_lost_until;
    std::optional<Instant> m_starts_at;  // Set while its node is down.
  };

  explicit FailingGroup(std::uint64_t seed)
      : m_group(kMembers, kSpares, seed, Options()) {
    m_group.faults() = {0.01, 0.01, Millis(10), Millis(15)};
    for (std::size_t i = 0; i < kMembers; ++i) {
      m_places.push_back({i, Instant(), {}});
    }
  }

  FakeGroup& group() { return m_group; }

  void Run(Duration span) {
    const Instant end = m_group.now() + span;
    while (m_group.now() < end) {
      m_group.ProposeAtEveryNode();
      for (Instant tick = m_group.now();
           m_group.now() < tick + kProposalInterval;) {
        ConfirmLeadership();
        m_group.Run(kConfirmationInterval);
      }
      for (Place& place : m_places) {
        if (place.m_starts_at && m_group.now() >= *place.m_starts_at) {
          m_group.Restart(place.m_node);
          place.m_starts_at.reset();
        }
      }
    }
  }

  /** Waits until another failure is within the tolerated number. */
  void AwaitTolerance(std::size_t failures) {
    while (LostCount() + failures > kToleratedLosses) {
      Run(kProposalInterval);
    }
  }

  void LoseDisk(Place& place) {
    m_group.LoseDisk(place.m_node);
    MarkLost(place);
  }

  /** The member never returns; an empty one under another name starts. */
  void Replace(Place& place) {
    m_group.Crash(place.m_node);
    place.m_node = kMembers + m_spares_used++;
    MarkLost(place);
  }

  void FailOne() {
    AwaitTolerance(1);
    Place& place = RandomSoundPlace();
    if (m_group.random()() % 2 == 0 && m_spares_used < kSpares) {
      Replace(place);
    } else {
      LoseDisk(place);
    }
  }

  bool AllPlacesVote() {
    const auto leader = m_group.ReadyLeader();
    return leader &&
           std::all_of(m_places.begin(), m_places.end(),
                       [&](const Place& place) {
                         return m_group.node(*leader)->membership().IsVoter(
                             m_group.node(place.m_node)->id());
                       });
  }

  /** Two members lose their disks, all others are killed and come back. */
  void LoseDisksOfTwoAndKillOthers() {
    AwaitTolerance(kToleratedLosses);
    for (std::size_t i = 0; i < kToleratedLosses; ++i) {
      LoseDisk(RandomSoundPlace());
    }
    for (Place& place : m_places) {
      m_group.Crash(place.m_node);
      place.m_starts_at = m_group.now() + kDownTime;
    }
  }

 private:
  static ReplicaOptions Options() {
    ReplicaOptions options;
    options.m_election_timeout = Millis(600);
    options.m_heartbeat_interval = Millis(100);
    options.m_removes_unresponsive = true;
    options.m_min_voters = 2 * kToleratedLosses + 1;
    return options;
  }

  void ConfirmLeadership() {
    for (std::size_t i = 0; i < m_group.size(); ++i) {
      if (Replica* const replica = m_group.node(i)) {
        replica->RequestLeadershipConfirmation();
      }
    }
  }

  std::size_t LostCount() const {
    return static_cast<std::size_t>(std::count_if(
        m_places.begin(), m_places.end(), [&](const Place& place) {
          return m_group.now() < place.m_lost_until;
        }));
  }

  Place& RandomSoundPlace() {
    while (true) {
      Place& place = m_places[m_group.random()() % m_places.size()];
      if (m_group.now() >= place.m_lost_until) {
        return place;
      }
    }
  }

  void MarkLost(Place& place) {
    place.m_starts_at = m_group.now() + kDownTime;
    place.m_lost_until = *place.m_starts_at + kCatchUpTime;
  }

  FakeGroup m_group;
  std::vector<Place> m_places;
  std::size_t m_spares_used = 0;
};

class GroupReplacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupReplacementTest);
  CPPUNIT_TEST(GroupKeepsItsQuorumWhileMembersAreReplaced);
  CPPUNIT_TEST(LeaderThatConfirmsItsLeadershipRemovesMemberThatIsGone);
  CPPUNIT_TEST(LostMembersVoteAgainWithinTheirCatchUpTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GroupKeepsItsQuorumWhileMembersAreReplaced() {
    CPPUNIT_ASSERT_EQUAL(std::string(), FailedSeeds(&KeepsQuorum));
  }

  // An extra member joins and one of the initial ones is gone for good.
  void LeaderThatConfirmsItsLeadershipRemovesMemberThatIsGone() {
    FailingGroup failing(1);
    FakeGroup& group = failing.group();
    failing.Run(Millis(3000));
    group.Restart(kMembers);
    failing.Run(kCatchUpTime);
    const std::size_t gone = (group.ReadyLeader().value() + 1) % kMembers;
    const std::string name = group.node(gone)->id().m_name;
    group.Crash(gone);
    failing.Run(kCatchUpTime);
    const Membership& membership =
        group.node(group.ReadyLeader().value())->membership();
    CPPUNIT_ASSERT(!membership.FindByName(name));
    CPPUNIT_ASSERT_EQUAL(kMembers, membership.VoterCount());
  }

  void LostMembersVoteAgainWithinTheirCatchUpTime() {
    CPPUNIT_ASSERT_EQUAL(std::string(), FailedSeeds(&VotesAgainInTime));
  }

 private:
  static std::string FailedSeeds(bool (*run)(std::uint64_t)) {
    std::string failed;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      if (!run(seed)) {
        failed += ' ' + std::to_string(seed);
      }
    }
    return failed;
  }

  static bool VotesAgainInTime(std::uint64_t seed) {
    FailingGroup failing(seed);
    failing.Run(Millis(3000));
    failing.FailOne();
    failing.Run(Millis(failing.group().random()() % 1000));
    failing.FailOne();
    failing.AwaitTolerance(kToleratedLosses);
    return failing.AllPlacesVote();
  }

  static bool KeepsQuorum(std::uint64_t seed) {
    FailingGroup failing(seed);
    FakeGroup& group = failing.group();
    failing.Run(Millis(3000));
    for (int i = 0; i < 6; ++i) {
      failing.FailOne();
      failing.Run(Millis(group.random()() % 1500));
    }
    failing.LoseDisksOfTwoAndKillOthers();
    const std::uint64_t accepted = group.highest_applied();
    failing.Run(kDownTime + kRecoveryTime);
    const auto leader = group.ReadyLeader();
    return leader && group.AppliedIndex(*leader) > accepted &&
           group.violation().empty();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupReplacementTest);

}  // namespace
}  // namespace bronzebarrow::consensus
