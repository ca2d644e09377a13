// A group of replicas in virtual time with a fake network and fake disks.
// Messages are lost, duplicated, delayed and reordered; links go down; replicas
// crash, are suspended or lose their disk; a crash discards unsynced data.
#ifndef BRONZEBARROW_TESTS_FAKE_GROUP_H_
#define BRONZEBARROW_TESTS_FAKE_GROUP_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bronzebarrow/consensus.h"

namespace bronzebarrow::consensus {

/** Holds the synced state; a crash discards the batch in flight. */
class FakeDisk {
 public:
  void Sync(const DurableBatchOut& out);
  DurableState m_state;
};

struct FakeFaults {
  double m_loss_probability = 0.05;       // Probability for each message.
  double m_duplicate_probability = 0.03;  // Probability for each message.
  Duration m_max_delay = Millis(30);      // Longest delivery time of a message.
  Duration m_max_sync_time = Millis(15);  // Longest time of a disk sync.
};

/** The tests' state machine: a chained hash of the applied entries. */
struct ChainState {
  std::uint64_t m_index = 0;
  std::uint64_t m_hash = 0;
};

class FakeGroup {
 public:
  FakeGroup(std::size_t size, std::uint64_t seed);
  /**
   * @param spares nodes beyond the initial members; they start with an empty
   * disk at their first Restart
   * @param options of every replica, except identity, peers and seed
   */
  FakeGroup(std::size_t size, std::size_t spares, std::uint64_t seed,
            const ReplicaOptions& options);

  /** Advances virtual time by `span`: delivers messages, completes syncs. */
  void Run(Duration span);
  /**
   * Runs until `done` returns true or `limit` of virtual time has passed.
   * @return the last result of `done`.
   */
  template <typename Condition>
  bool RunUntil(Condition done, Duration limit) {
    const Instant end = m_now + limit;
    while (m_now < end) {
      if (done()) {
        return true;
      }
      Run(Millis(10));
    }
    return done();
  }

  void Crash(std::size_t node);
  void Restart(std::size_t node);
  /** Crashes a node and erases its disk; it restarts as a new generation. */
  void LoseDisk(std::size_t node);
  void SetSuspended(std::size_t node, bool suspended);
  /** Whether a node that was suspended reports the span to its replica. */
  void SetReportsUnattended(bool reports) { m_reports_unattended = reports; }
  /** Takes the link from `from` to `to` (one direction) down, or up again. */
  void SetLinkDown(std::size_t from, std::size_t to, bool down);
  /** Restores all links, resumes all nodes and restarts crashed ones. */
  void HealAll();
  /** Proposes at every running node; only those in the leader role accept. */
  void ProposeAtEveryNode();
  /** Compacts the log of each running node with probability 0.3. */
  void CompactRandomNodes();
  /** Fault rates of network and disks; may be changed at any time. */
  FakeFaults& faults() { return m_faults; }

  Replica* node(std::size_t index) { return m_nodes[index].m_replica.get(); }
  std::size_t size() const { return m_nodes.size(); }
  /** @return the ready leader with the highest term among running nodes. */
  std::optional<std::size_t> ReadyLeader();
  std::uint64_t AppliedIndex(std::size_t index) const {
    return m_nodes[index].m_applied.m_index;
  }
  std::uint64_t AppliedHash(std::size_t index) const {
    return m_nodes[index].m_applied.m_hash;
  }
  Instant now() const { return m_now; }
  std::mt19937_64& random() { return m_random; }
  /** @return the last violated invariant; empty when none was violated. */
  const std::string& violation() const { return m_violation; }
  /** @return the highest index that any node has applied. */
  std::uint64_t highest_applied() const {
    return m_hash_by_index.empty() ? 0 : m_hash_by_index.rbegin()->first;
  }

 private:
  struct Node {
    std::string m_name;
    ReplicaId m_id;
    std::unique_ptr<Replica> m_replica;  // Null while crashed.
    FakeDisk m_disk;
    // Batch in flight, with the time when its sync completes.
    std::optional<std::pair<Instant, DurableBatchOut>> m_sync;
    ChainState m_applied;
    bool m_suspended = false;
    Instant m_last_tick;
  };
  struct InTransit {
    std::size_t m_from;
    std::size_t m_to;
    ReplicaId m_from_id;
    std::uint64_t m_to_generation;
    wire::BodyUnion m_body;
  };

  void Start(Node& node);
  void ReportUnattended();
  void ProcessOutput(std::size_t index);
  void Transmit(std::size_t from, const Outgoing& message);
  void Apply(Node& node);
  void CheckLeader(const Node& node);
  bool Chance(double probability);
  Duration RandomDuration(Duration limit);

  ReplicaOptions m_options;
  std::mt19937_64 m_random;
  FakeFaults m_faults;
  Instant m_now;
  std::vector<Node> m_nodes;
  // Messages in transit by delivery time.
  std::multimap<Instant, InTransit> m_in_transit;
  // Links that are down, as (from, to).
  std::set<std::pair<std::size_t, std::size_t>> m_links_down;
  std::map<std::uint64_t, ReplicaId> m_leader_by_term;
  // Chained hash by committed index, equal on every node.
  std::map<std::uint64_t, std::uint64_t> m_hash_by_index;
  std::uint64_t m_next_payload = 1;
  bool m_reports_unattended = false;
  std::string m_violation;
};

}  // namespace bronzebarrow::consensus

#endif  // BRONZEBARROW_TESTS_FAKE_GROUP_H_
