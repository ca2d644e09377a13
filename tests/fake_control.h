// A control group and its entries in virtual time. The group's members talk
// over a lossy, reordering network; an entry's connection to a member keeps
// order, but may go silent for good. Members and entries crash, freeze, are cut
// off and lose their disks.
#ifndef BRONZEBARROW_TESTS_FAKE_CONTROL_H_
#define BRONZEBARROW_TESTS_FAKE_CONTROL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bronzebarrow/control.h"
#include "bronzebarrow/routing/entry_lease.h"
#include "fake_group.h"

namespace bronzebarrow::control {

/** One entry: a lease, the versions it has, and work at the targets. */
struct FakeEntry {
  std::string m_name;
  bool m_running = true;
  bool m_frozen = false;
  bool m_cut = false;
  routing::EntryLease m_lease;
  std::uint64_t m_config = 0;
  std::uint64_t m_fleet = 0;
  std::map<std::string, std::uint64_t> m_stops;  // Open: instance by stop.
  std::map<std::string, std::string> m_stop_of;  // Instance to stop id.
  std::map<std::string, Instant> m_busy_until;   // By instance.
  std::size_t m_member = 0;  // The member it takes for the leader.
  SessionId m_session = 0;   // Of its connection to that member.
  bool m_session_broken = false;
  bool m_full_view = true;
  Instant m_next_report;
  std::optional<Instant> m_unanswered_since;
};

class FakeControl {
 public:
  FakeControl(std::size_t members, std::size_t entries, std::uint64_t seed);

  void Run(Duration span);
  /** One random fault, or the end of one. */
  void InjectFault();
  void HealAll();
  /** Proposes a change or a stop at some member that believes it leads. */
  void Operate();
  /** @return the first broken invariant, or an empty text. */
  const std::string& broken() const { return m_broken; }
  std::uint64_t accepted() const { return m_accepted; }
  std::size_t released() const { return m_released.size(); }
  /** @return whether every entry serves on the newest version. */
  bool AllServeNewest() const;

  void CutEntry(std::size_t entry, bool cut) { m_entries[entry].m_cut = cut; }
  void CutMemberFromPeers(std::size_t member, bool cut) {
    m_members[member].m_peers_cut = cut;
  }
  void FreezeMember(std::size_t member, bool frozen) {
    m_members[member].m_frozen = frozen;
  }
  std::optional<std::size_t> Leader() const;
  bool Serves(std::size_t entry) const;
  /** Proposes a change at the leader. */
  void Change();

 private:
  struct Member {
    std::string m_name;
    consensus::ReplicaId m_id;
    std::unique_ptr<ControlCore> m_core;
    consensus::FakeDisk m_disk;
    std::optional<std::pair<Instant, consensus::DurableBatchOut>> m_sync;
    bool m_frozen = false;
    bool m_cut = false;        // From the members and the entries.
    bool m_peers_cut = false;  // From the members only.
    std::uint64_t m_life = 0;  // Counts starts.
  };
  struct ToMember {
    std::size_t m_to;
    consensus::ReplicaId m_from;
    std::uint64_t m_to_generation;
    SessionId m_session;  // 0: from another member.
    std::string m_sender;
    wire::BodyUnion m_body;
  };
  struct ToEntry {
    std::size_t m_to;
    SessionId m_session;
    wire::BodyUnion m_body;
  };
  /** A committed change whose acceptance is awaited at its leader. */
  struct Awaited {
    std::size_t m_member;
    std::uint64_t m_life;
    std::uint64_t m_version;
  };

  Moment Clock() const;
  void Start(Member& member);
  void Crash(std::size_t member);
  void Drain(std::size_t member);
  void DeliverToMembers();
  void DeliverToEntries();
  void StepMembers();
  void StepEntries();
  void Report(std::size_t entry);
  void OnEntryMessage(FakeEntry& entry, const wire::BodyUnion& body);
  void Reconnect(FakeEntry& entry, std::size_t member);
  void FollowHint(FakeEntry& entry, const std::string& leader);
  void StartWork(FakeEntry& entry);
  void StopOne();
  std::optional<std::size_t> SomeLeader();
  void CheckInvariants();
  bool Chance(double probability);
  Duration RandomDuration(Duration limit);

  std::mt19937_64 m_random;
  Instant m_now;
  std::vector<Member> m_members;
  std::vector<FakeEntry> m_entries;
  std::multimap<Instant, ToMember> m_to_members;
  std::multimap<Instant, ToEntry> m_to_entries;
  std::map<SessionId, std::size_t> m_entry_of_session;
  std::map<SessionId, Instant> m_last_arrival;  // Keeps each session's order.
  SessionId m_next_session = 1;
  std::vector<Awaited> m_awaited;
  std::map<std::uint64_t, std::string> m_change_of_version;
  std::uint64_t m_accepted = 0;
  std::set<std::string> m_released;
  std::uint64_t m_next_change = 1;
  std::uint64_t m_next_generation = 2;
  std::uint64_t m_ticks = 0;
  bool m_disk_lost = false;
  std::string m_broken;
};

}  // namespace bronzebarrow::control

#endif  // BRONZEBARROW_TESTS_FAKE_CONTROL_H_
