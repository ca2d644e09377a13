// Simulates a control group and its entries in virtual time. The members
// exchange messages over a network that loses and reorders them. An entry's
// connection to a member keeps the order of messages, but can stop delivering
// them for good. Members and entries crash, are suspended or are isolated from
// the network, and one member can lose its disk.
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

/** One entry: its lease, its state versions and its work at the targets. */
struct FakeEntry {
  std::string m_name;
  bool m_running = true;
  bool m_suspended = false;
  bool m_isolated = false;
  routing::EntryLease m_lease;
  std::uint64_t m_config = 0;
  std::uint64_t m_fleet = 0;
  std::map<std::string, std::uint64_t> m_stops;  // Open stops, by id.
  std::map<std::string, std::string> m_stop_of;  // Stop id by instance.
  std::map<std::string, Instant> m_busy_until;   // End of work, by instance.
  std::size_t m_member = 0;       // The member that it sends its reports to.
  SessionId m_session = 0;        // Its connection to that member.
  bool m_session_broken = false;  // Delivers nothing more in either direction.
  bool m_full_view = true;        // Its next report carries the full view.
  Instant m_next_report;
  std::optional<Instant> m_unanswered_since;  // First report without a grant.
};

/** Runs the group step by step and checks the invariants after each step. */
class FakeControl {
 public:
  FakeControl(std::size_t members, std::size_t entries, std::uint64_t seed);

  void Run(Duration span);
  /** Starts or ends one random fault. */
  void InjectFault();
  /** Ends the injected faults and starts crashed members. */
  void HealAll();
  /** Proposes a change or a stop at a leader, which may be an outdated one. */
  void ProposeChangeOrStop();
  /** @return the violated invariant, or an empty text. */
  const std::string& violation() const { return m_violation; }
  /** @return the newest accepted version. */
  std::uint64_t accepted() const { return m_accepted_version; }
  /** @return the number of instances with a released stop. */
  std::size_t released() const { return m_released_instances.size(); }
  /** @return whether every entry serves under the newest version. */
  bool AllServeNewest() const;

  void IsolateEntry(std::size_t entry, bool isolated) {
    m_entries[entry].m_isolated = isolated;
  }
  void IsolateMemberFromPeers(std::size_t member, bool isolated) {
    m_members[member].m_isolated_from_peers = isolated;
  }
  void SuspendMember(std::size_t member, bool suspended) {
    m_members[member].m_suspended = suspended;
  }
  std::optional<std::size_t> Leader() const;
  bool Serves(std::size_t entry) const;
  /** Proposes a new change, or the last one again, at a leader. */
  void ProposeChange();

 private:
  struct Member {
    std::string m_name;
    consensus::ReplicaId m_id;
    std::unique_ptr<ControlCore> m_core;
    consensus::FakeDisk m_disk;
    // The batch being written to disk, with the time when it is synced.
    std::optional<std::pair<Instant, consensus::DurableBatchOut>> m_sync;
    bool m_suspended = false;
    bool m_isolated = false;  // No messages to or from members and entries.
    bool m_isolated_from_peers = false;  // No messages to or from members.
    std::uint64_t m_incarnation = 0;     // Number of starts so far.
  };
  /** A message to a member, from another member or from an entry. */
  struct ToMember {
    std::size_t m_to;
    consensus::ReplicaId m_from;
    std::uint64_t m_to_generation;
    SessionId m_session;  // 0 if another member sent it.
    std::string m_sender;
    wire::BodyUnion m_body;
  };
  /** A message to an entry. */
  struct ToEntry {
    std::size_t m_to;
    SessionId m_session;
    wire::BodyUnion m_body;
  };
  /** A committed change that its leader has not accepted yet. */
  struct PendingAcceptance {
    std::size_t m_member;
    std::uint64_t m_incarnation;
    std::uint64_t m_version;
  };

  Moment Clock() const;
  void Start(Member& member);
  void Crash(std::size_t member);
  void HandleOutputs(std::size_t member);
  void DeliverToMembers();
  void DeliverToEntries();
  void StepMembers();
  void StepEntries();
  void SendReport(std::size_t entry);
  void OnEntryMessage(FakeEntry& entry, const wire::BodyUnion& body);
  void Reconnect(FakeEntry& entry, std::size_t member);
  void FollowHint(FakeEntry& entry, const std::string& leader);
  void StartWork(FakeEntry& entry);
  void ProposeStop();
  std::optional<std::size_t> RandomLeader();
  void CheckInvariants();
  bool Chance(double probability);
  Duration RandomDuration(Duration limit);

  std::mt19937_64 m_random;
  Instant m_now;
  std::vector<Member> m_members;
  std::vector<FakeEntry> m_entries;
  std::multimap<Instant, ToMember> m_to_members;  // By time of arrival.
  std::multimap<Instant, ToEntry> m_to_entries;   // By time of arrival.
  std::map<SessionId, std::size_t> m_entry_of_session;
  // Last arrival time in each session; keeps the order of its messages.
  std::map<SessionId, Instant> m_last_arrival;
  SessionId m_next_session = 1;
  std::vector<PendingAcceptance> m_pending_acceptances;
  std::map<std::uint64_t, std::string> m_change_of_version;  // Change id.
  std::uint64_t m_accepted_version = 0;  // Newest accepted version.
  // Instances that have had a released stop.
  std::set<std::string> m_released_instances;
  std::uint64_t m_next_change = 1;
  std::uint64_t m_next_generation = 2;
  std::uint64_t m_step_count = 0;
  bool m_disk_lost = false;
  std::string m_violation;  // The violated invariant; empty if none.
};

}  // namespace bronzebarrow::control

#endif  // BRONZEBARROW_TESTS_FAKE_CONTROL_H_
