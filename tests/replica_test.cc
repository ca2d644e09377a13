// Tests of Replica in virtual time, with injected faults and many seeds.
#include "bronzebarrow/consensus/replica.h"

#include <cppunit/extensions/HelperMacros.h>

#include "fake_group.h"

namespace bronzebarrow::consensus {
namespace {

Duration ElectionTimeout() { return ReplicaOptions().m_election_timeout; }
constexpr std::uint64_t kSeeds = 4000;
constexpr std::uint64_t kRejections = 100;  // Of one gap.
constexpr std::uint64_t kSeedsWithReports = 1000;

class ReplicaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaTest);
  CPPUNIT_TEST(ElectsOneLeader);
  CPPUNIT_TEST(CommitsAndReplicates);
  CPPUNIT_TEST(SuspendedLeaderCannotConfirmLeadershipAfterResume);
  CPPUNIT_TEST(ReplicaWithLostDiskRejoinsAsLearner);
  CPPUNIT_TEST(SingleReplicaCommitsAlone);
  CPPUNIT_TEST(LaggingReplicaCatchesUpBySnapshot);
  CPPUNIT_TEST(PartitionedReplicaDoesNotDeposeLeader);
  CPPUNIT_TEST(EntriesAreSentAgainOnceForTheRejectionsOfOneGap);
  CPPUNIT_TEST(EntriesAreSentAgainForARejectionOfALaterRound);
  CPPUNIT_TEST(SnapshotIsSentOnceForTheAnswersOfOneGap);
  CPPUNIT_TEST(LateFollowerStartsNoElection);
  CPPUNIT_TEST(LateLeaderKeepsItsRole);
  CPPUNIT_TEST(LateLeaderRemovesNobody);
  CPPUNIT_TEST(LateLearnerSendsNoJoinRequests);
  CPPUNIT_TEST(ReportPostponesElectionByAtMostOneTimeout);
  CPPUNIT_TEST(ReportExtendsNoPermission);
  CPPUNIT_TEST(CommittedEntriesNeverChangeUnderFaults);
  CPPUNIT_TEST(CommittedEntriesNeverChangeWithReports);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ElectsOneLeader() {
    FakeGroup group(3, 1);
    CPPUNIT_ASSERT(group.RunUntil(
        [&] { return group.ReadyLeader().has_value(); }, Millis(5000)));
  }

  void CommitsAndReplicates() {
    FakeGroup group(3, 2);
    CPPUNIT_ASSERT(group.RunUntil(
        [&] { return group.ReadyLeader().has_value(); }, Millis(5000)));
    for (int i = 0; i < 50; ++i) {
      group.ProposeAtEveryNode();
      group.Run(Millis(20));
    }
    const auto everywhere = [&] {
      return group.AppliedIndex(0) > 50 &&
             group.AppliedIndex(0) == group.AppliedIndex(1) &&
             group.AppliedIndex(1) == group.AppliedIndex(2);
    };
    CPPUNIT_ASSERT(group.RunUntil(everywhere, Millis(5000)));
    CPPUNIT_ASSERT_EQUAL(group.AppliedHash(0), group.AppliedHash(2));
    CPPUNIT_ASSERT_EQUAL(std::string(), group.violation());
  }

  void SuspendedLeaderCannotConfirmLeadershipAfterResume() {
    FakeGroup group(3, 3);
    group.RunUntil([&] { return group.ReadyLeader().has_value(); },
                   Millis(5000));
    const std::size_t old_leader = group.ReadyLeader().value();
    group.SetSuspended(old_leader, true);
    CPPUNIT_ASSERT(group.RunUntil(
        [&] { return group.ReadyLeader().has_value(); }, Millis(10000)));
    Replica* const resumed = group.node(old_leader);
    const auto round = resumed->RequestLeadershipConfirmation();
    group.SetSuspended(old_leader, false);
    group.Run(Millis(3000));
    CPPUNIT_ASSERT(round.has_value());
    CPPUNIT_ASSERT(resumed->confirmed_round() < *round ||
                   resumed->role() != Role::kLeader);
    CPPUNIT_ASSERT(resumed->role() != Role::kLeader);
  }

  void ReplicaWithLostDiskRejoinsAsLearner() {
    FakeGroup group(3, 4);
    group.RunUntil([&] { return group.ReadyLeader().has_value(); },
                   Millis(5000));
    const std::size_t lost = (group.ReadyLeader().value() + 1) % 3;
    const ReplicaId old_id = group.node(lost)->id();
    group.ProposeAtEveryNode();
    group.LoseDisk(lost);
    group.Restart(lost);
    CPPUNIT_ASSERT(group.node(lost)->role() == Role::kLearner);
    const auto replaced = [&] {
      const auto leader = group.ReadyLeader();
      return leader &&
             group.node(*leader)->membership().IsVoter(group.node(lost)->id());
    };
    CPPUNIT_ASSERT(group.RunUntil(replaced, Millis(20000)));
    const Membership& after =
        group.node(group.ReadyLeader().value())->membership();
    CPPUNIT_ASSERT(!after.Contains(old_id));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, after.VoterCount());
  }

  void SingleReplicaCommitsAlone() {
    FakeGroup group(1, 5);
    CPPUNIT_ASSERT(group.RunUntil(
        [&] { return group.ReadyLeader().has_value(); }, Millis(5000)));
    group.ProposeAtEveryNode();
    CPPUNIT_ASSERT(group.RunUntil([&] { return group.AppliedIndex(0) >= 2; },
                                  Millis(1000)));
  }

  void LaggingReplicaCatchesUpBySnapshot() {
    FakeGroup group(3, 6);
    group.RunUntil([&] { return group.ReadyLeader().has_value(); },
                   Millis(5000));
    const std::size_t lagging = (group.ReadyLeader().value() + 1) % 3;
    group.Crash(lagging);
    for (int i = 0; i < 100; ++i) {
      group.ProposeAtEveryNode();
      group.Run(Millis(20));
      group.CompactRandomNodes();
    }
    group.Restart(lagging);
    const auto caught_up = [&] {
      return group.AppliedIndex(lagging) > 100 &&
             group.AppliedIndex(lagging) ==
                 group.AppliedIndex((lagging + 1) % 3);
    };
    CPPUNIT_ASSERT(group.RunUntil(caught_up, Millis(10000)));
    CPPUNIT_ASSERT_EQUAL(std::string(), group.violation());
  }

  void PartitionedReplicaDoesNotDeposeLeader() {
    FakeGroup group(3, 7);
    group.faults() = {0, 0, Millis(5), Millis(5)};
    group.RunUntil([&] { return group.ReadyLeader().has_value(); },
                   Millis(5000));
    const std::size_t leader = group.ReadyLeader().value();
    const std::size_t partitioned = (leader + 1) % 3;
    const std::uint64_t term = group.node(leader)->term();
    SetPartitioned(group, partitioned, true);
    group.Run(Millis(20000));
    SetPartitioned(group, partitioned, false);
    group.Run(Millis(3000));
    CPPUNIT_ASSERT_EQUAL(term, group.node(leader)->term());
    CPPUNIT_ASSERT(group.node(leader)->role() == Role::kLeader);
  }

  // Guards against a leader whose memory grows with each append that a frozen
  // member rejects when it is run again.
  void EntriesAreSentAgainOnceForTheRejectionsOfOneGap() {
    FakeGroup group(3, 13);
    const Gap gap = MakeGap(group);
    Replica* const leader = group.node(gap.m_leader);
    for (std::uint64_t i = 1; i <= kRejections; ++i) {
      Reject(group, gap, gap.m_round + i);
    }
    const std::size_t sent = CountEntries(*leader, group.now());
    CPPUNIT_ASSERT(sent > 0);
    CPPUNIT_ASSERT(sent <= gap.m_missing);
  }

  // Guards against a member that stays behind when the entries sent again are
  // lost too.
  void EntriesAreSentAgainForARejectionOfALaterRound() {
    FakeGroup group(3, 14);
    const Gap gap = MakeGap(group);
    Replica* const leader = group.node(gap.m_leader);
    Reject(group, gap, leader->confirmed_round());
    CPPUNIT_ASSERT(CountEntries(*leader, group.now()) > 0);
    group.Run(Millis(1000));
    Reject(group, gap, leader->confirmed_round());
    CPPUNIT_ASSERT(CountEntries(*leader, group.now()) > 0);
    SetPartitioned(group, gap.m_follower, false);
    const auto caught_up = [&] {
      return group.AppliedIndex(gap.m_follower) >= gap.m_match + gap.m_missing;
    };
    CPPUNIT_ASSERT(group.RunUntil(caught_up, Millis(5000)));
    CPPUNIT_ASSERT_EQUAL(std::string(), group.violation());
  }

  // Guards against a leader whose memory grows by a snapshot with each append
  // that a frozen member accepts when it is run again.
  void SnapshotIsSentOnceForTheAnswersOfOneGap() {
    FakeGroup group(3, 15);
    const Gap gap = MakeGap(group);
    Replica* const leader = group.node(gap.m_leader);
    for (int i = 0; i < 20; ++i) {
      group.CompactRandomNodes();
    }
    Reject(group, gap, leader->confirmed_round());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountSnapshots(*leader, group.now()));
    for (std::uint64_t i = 1; i <= kRejections; ++i) {
      Accept(group, gap, gap.m_round + i);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountSnapshots(*leader, group.now()));
    // That snapshot did not arrive, so another one is sent after a while.
    SetPartitioned(group, gap.m_follower, false);
    const auto caught_up = [&] {
      return group.AppliedIndex(gap.m_follower) >= gap.m_match + gap.m_missing;
    };
    CPPUNIT_ASSERT(group.RunUntil(caught_up, Millis(5000)));
    CPPUNIT_ASSERT_EQUAL(std::string(), group.violation());
  }

  // Guards against a follower that was not run itself, and takes the leader for
  // lost before it has read the leader's messages.
  void LateFollowerStartsNoElection() {
    FakeGroup group(3, 8);
    const std::size_t leader = ElectWithoutFaults(group);
    const std::size_t late = (leader + 1) % 3;
    const std::uint64_t term = group.node(leader)->term();
    group.SetSuspended(late, true);
    group.Run(2 * ElectionTimeout());
    Replica* const follower = group.node(late);
    follower->OnUnattended(2 * ElectionTimeout(), group.now());
    follower->Tick(group.now());
    CPPUNIT_ASSERT(follower->role() == Role::kFollower);
    CPPUNIT_ASSERT(follower->TakeMessages(group.now()).empty());
    group.SetSuspended(late, false);
    group.Run(Millis(3000));
    CPPUNIT_ASSERT(group.node(leader)->role() == Role::kLeader);
    CPPUNIT_ASSERT_EQUAL(term, follower->term());
  }

  // Guards against a leader that was not run itself, and gives up its role
  // before it has read the replies.
  void LateLeaderKeepsItsRole() {
    FakeGroup group(3, 9);
    const std::size_t leader = ElectWithoutFaults(group);
    group.SetSuspended(leader, true);
    group.Run(2 * ElectionTimeout());
    Replica* const late = group.node(leader);
    late->OnUnattended(2 * ElectionTimeout(), group.now());
    late->Tick(group.now());
    CPPUNIT_ASSERT(late->role() == Role::kLeader);
  }

  // Guards against a late leader that has read the replies of a quorum, and
  // removes members whose replies it has not read.
  void LateLeaderRemovesNobody() {
    ReplicaOptions options;
    options.m_removes_unresponsive = true;
    FakeGroup group(5, 0, 12, options);
    const std::size_t leader = ElectWithoutFaults(group);
    group.SetSuspended(leader, true);
    group.Run(2 * ElectionTimeout());
    Replica* const late = group.node(leader);
    late->OnUnattended(2 * ElectionTimeout(), group.now());
    const std::uint64_t last_index = late->last_index();
    for (const std::size_t read : {(leader + 1) % 5, (leader + 2) % 5}) {
      wire::AppendReplyT reply;
      reply.term = late->term();
      reply.success = true;
      reply.match_index = last_index;
      wire::BodyUnion body;
      body.Set(reply);
      late->Receive(group.node(read)->id(), body, group.now());
    }
    late->Tick(group.now());
    CPPUNIT_ASSERT(late->role() == Role::kLeader);
    CPPUNIT_ASSERT_EQUAL(last_index, late->last_index());
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, late->membership().VoterCount());
    const Instant later = group.now() + ElectionTimeout();
    late->Tick(later);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, late->membership().VoterCount());
  }

  void LateLearnerSendsNoJoinRequests() {
    const ReplicaId leader{"a", 1};
    DurableState durable;
    durable.m_base_membership = Membership({{leader, true}, {{"b", 1}, false}});
    ReplicaOptions options;
    options.m_id = {"b", 1};
    options.m_peers = {"a"};
    Instant now = Instant() + Millis(10000);
    Replica learner(options, durable, now);
    wire::BodyUnion append;
    append.Set(wire::AppendRequestT());
    learner.Receive(leader, append, now);
    learner.TakeMessages(now);
    now += 2 * ElectionTimeout() + Millis(1);
    learner.OnUnattended(2 * ElectionTimeout(), now);
    learner.Tick(now);
    CPPUNIT_ASSERT(learner.TakeMessages(now).empty());
    now += ElectionTimeout() + Millis(1);
    learner.Tick(now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, learner.TakeMessages(now).size());
  }

  // Guards against a group that stays without a leader after a real loss.
  void ReportPostponesElectionByAtMostOneTimeout() {
    FakeGroup group(3, 10);
    const std::size_t leader = ElectWithoutFaults(group);
    Replica* const follower = group.node((leader + 1) % 3);
    const Instant resumed = group.now() + 20 * ElectionTimeout();
    follower->OnUnattended(20 * ElectionTimeout(), resumed);
    follower->Tick(resumed);
    CPPUNIT_ASSERT(follower->role() == Role::kFollower);
    follower->Tick(resumed + ElectionTimeout());
    CPPUNIT_ASSERT(follower->role() == Role::kPreCandidate);
  }

  // Guards against a late replica that serves, or refuses votes, for longer.
  void ReportExtendsNoPermission() {
    FakeGroup group(3, 11);
    const std::size_t leader = ElectWithoutFaults(group);
    const std::size_t late = (leader + 1) % 3;
    const std::size_t candidate = (leader + 2) % 3;
    const auto confirmed_at = group.node(leader)->confirmed_at();
    const std::uint64_t confirmed = group.node(leader)->confirmed_round();
    const Instant resumed = group.now() + ElectionTimeout();
    group.node(leader)->OnUnattended(ElectionTimeout(), resumed);
    CPPUNIT_ASSERT(confirmed_at == group.node(leader)->confirmed_at());
    CPPUNIT_ASSERT_EQUAL(confirmed, group.node(leader)->confirmed_round());
    group.node(late)->OnUnattended(ElectionTimeout(), resumed);
    wire::VoteRequestT request;
    request.term = group.node(late)->term() + 1;
    request.pre_vote = true;
    request.last_index = group.node(late)->last_index();
    request.last_term = group.node(late)->term();
    wire::BodyUnion body;
    body.Set(request);
    group.node(late)->Receive(group.node(candidate)->id(), body, resumed);
    const auto replies = group.node(late)->TakeMessages(resumed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies.size());
    CPPUNIT_ASSERT(replies[0].m_body.AsVoteReply()->granted);
  }

  void CommittedEntriesNeverChangeUnderFaults() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      RunSeed(seed, false);
    }
  }

  void CommittedEntriesNeverChangeWithReports() {
    for (std::uint64_t seed = 1; seed <= kSeedsWithReports; ++seed) {
      RunSeed(seed, true);
    }
  }

 private:
  // A follower that has received none of the last entries, which were sent to
  // it in at least kRejections rounds.
  struct Gap {
    std::size_t m_leader;
    std::size_t m_follower;
    std::uint64_t m_round;    // The last round that reached the follower.
    std::uint64_t m_match;    // The follower's last index.
    std::uint64_t m_missing;  // Number of entries after it.
  };

  // Cuts a follower off while entries are sent to it.
  static Gap MakeGap(FakeGroup& group) {
    const std::size_t leader = ElectWithoutFaults(group);
    const std::size_t follower = (leader + 1) % group.size();
    const std::uint64_t match = group.node(follower)->last_index();
    const std::uint64_t round = group.node(leader)->confirmed_round();
    SetPartitioned(group, follower, true);
    while (group.node(leader)->confirmed_round() < round + kRejections) {
      group.ProposeAtEveryNode();
      group.Run(Millis(20));
    }
    CPPUNIT_ASSERT_EQUAL(match, group.node(follower)->last_index());
    return {leader, follower, round, match,
            group.node(leader)->last_index() - match};
  }

  // The follower's rejection of an append of `round` reaches the leader.
  static void Reject(FakeGroup& group, const Gap& gap, std::uint64_t round) {
    wire::AppendReplyT reply;
    reply.hint_index = gap.m_match;
    Answer(group, gap, round, std::move(reply));
  }

  // The follower accepts an append of `round` without entries.
  static void Accept(FakeGroup& group, const Gap& gap, std::uint64_t round) {
    wire::AppendReplyT reply;
    reply.success = true;
    reply.match_index = gap.m_match;
    Answer(group, gap, round, std::move(reply));
  }

  static void Answer(FakeGroup& group, const Gap& gap, std::uint64_t round,
                     wire::AppendReplyT reply) {
    Replica* const leader = group.node(gap.m_leader);
    reply.term = leader->term();
    reply.round = round;
    wire::BodyUnion body;
    body.Set(reply);
    leader->Receive(group.node(gap.m_follower)->id(), body, group.now());
  }

  static std::size_t CountEntries(Replica& leader, Instant now) {
    std::size_t entries = 0;
    for (const Outgoing& message : leader.TakeMessages(now)) {
      const auto* append = message.m_body.AsAppendRequest();
      entries += append == nullptr ? 0 : append->entries.size();
    }
    return entries;
  }

  static std::size_t CountSnapshots(Replica& leader, Instant now) {
    std::size_t snapshots = 0;
    for (const Outgoing& message : leader.TakeMessages(now)) {
      snapshots += message.m_body.AsSnapshotRequest() == nullptr ? 0 : 1;
    }
    return snapshots;
  }

  static std::size_t ElectWithoutFaults(FakeGroup& group) {
    group.faults() = {0, 0, Millis(5), Millis(5)};
    CPPUNIT_ASSERT(group.RunUntil(
        [&] { return group.ReadyLeader().has_value(); }, Millis(5000)));
    group.Run(Millis(1000));
    return group.ReadyLeader().value();
  }

  static void SetPartitioned(FakeGroup& group, std::size_t node,
                             bool partitioned) {
    for (std::size_t other = 0; other < group.size(); ++other) {
      group.SetLinkDown(node, other, partitioned);
      group.SetLinkDown(other, node, partitioned);
    }
  }

  static void InjectFault(FakeGroup& group, bool& disk_lost) {
    const std::size_t node = group.random()() % group.size();
    switch (group.random()() % 9) {
      case 0:
        group.Crash(node);
        break;
      case 1:
      case 2:
        group.Restart(node);
        break;
      case 3:
        group.SetSuspended(node, true);
        break;
      case 4:
        group.SetSuspended(node, false);
        break;
      case 5:
        group.SetLinkDown(node, group.random()() % group.size(), true);
        break;
      case 6:
        SetPartitioned(group, node, true);
        break;
      case 7:
        SetPartitioned(group, node, false);
        break;
      default:
        // At most one disk is lost per seed: the design does not tolerate the
        // loss of a majority of the disks.
        if (!disk_lost) {
          disk_lost = true;
          group.LoseDisk(node);
          group.Restart(node);
        }
        break;
    }
  }

  static void RunSeed(std::uint64_t seed, bool reports_unattended) {
    FakeGroup group(seed % 4 == 0 ? 5 : 3, seed);
    group.SetReportsUnattended(reports_unattended);
    bool disk_lost = false;
    for (int step = 0; step < 60; ++step) {
      group.Run(Millis(group.random()() % 150));
      group.ProposeAtEveryNode();
      if (group.random()() % 3 == 0) {
        InjectFault(group, disk_lost);
      }
      if (group.random()() % 5 == 0) {
        group.CompactRandomNodes();
      }
    }
    group.HealAll();
    group.faults() = {0, 0, Millis(5), Millis(5)};
    const auto converged = [&] {
      const auto leader = group.ReadyLeader();
      if (!leader) {
        return false;
      }
      const Membership& membership = group.node(*leader)->membership();
      bool same = membership.VoterCount() == group.size();
      for (std::size_t i = 0; i < group.size(); ++i) {
        same = same && membership.IsVoter(group.node(i)->id()) &&
               group.AppliedIndex(i) == group.AppliedIndex(*leader) &&
               group.AppliedHash(i) == group.AppliedHash(*leader);
      }
      return same;
    };
    const std::string label = "seed " + std::to_string(seed);
    CPPUNIT_ASSERT_MESSAGE(label, group.RunUntil(converged, Millis(30000)));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(label, std::string(), group.violation());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaTest);

}  // namespace
}  // namespace bronzebarrow::consensus
