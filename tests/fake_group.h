// A group of replicas in virtual time over a fake network and fake disks:
// messages are lost, doubled, delayed and reordered; links are cut; replicas
// crash, freeze or lose their disk; a disk drops what was not synced.
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

/** Keeps what was synced; a crash drops the batch in flight. */
class FakeDisk {
 public:
  void Sync(const DurableBatchOut& out);
  DurableState m_state;
};

struct FakeFaults {
  double m_loss = 0.05;
  double m_duplicate = 0.03;
  Duration m_max_delay = Millis(30);
  Duration m_max_sync = Millis(15);
};

/** A chain hash over delivered entries: the state machine of the tests. */
struct ChainState {
  std::uint64_t m_index = 0;
  std::uint64_t m_hash = 0;
};

class FakeGroup {
 public:
  FakeGroup(std::size_t size, std::uint64_t seed);

  /** Advances virtual time, delivering messages and syncing disks. */
  void Run(Duration span);
  /** Runs until `done` or `limit` passed; @return whether it was done. */
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
  void LoseDisk(std::size_t node);
  void Freeze(std::size_t node, bool frozen);
  void Cut(std::size_t a, std::size_t b, bool cut);
  void HealAll();
  /** Proposes at every node that believes it leads. */
  void ProposeEverywhere();
  void CompactSometimes();
  /** Replaces faults of the network, e.g. none. */
  FakeFaults& faults() { return m_faults; }

  Replica* node(std::size_t index) { return m_nodes[index].m_replica.get(); }
  std::size_t size() const { return m_nodes.size(); }
  /** @return the ready leader of the highest term among running nodes. */
  std::optional<std::size_t> Leader();
  std::uint64_t AppliedIndex(std::size_t index) const {
    return m_nodes[index].m_applied.m_index;
  }
  std::uint64_t AppliedHash(std::size_t index) const {
    return m_nodes[index].m_applied.m_hash;
  }
  Instant now() const { return m_now; }
  std::mt19937_64& random() { return m_random; }
  /** @return the first broken invariant, or an empty text. */
  const std::string& broken() const { return m_broken; }

 private:
  struct Node {
    std::string m_name;
    ReplicaId m_id;
    std::unique_ptr<Replica> m_replica;
    FakeDisk m_disk;
    std::optional<std::pair<Instant, DurableBatchOut>> m_sync;
    ChainState m_applied;
    bool m_frozen = false;
  };
  struct InTransit {
    std::size_t m_from;
    std::size_t m_to;
    ReplicaId m_from_id;
    std::uint64_t m_to_generation;
    wire::BodyUnion m_body;
  };

  void Start(Node& node);
  void Drain(std::size_t index);
  void Transmit(std::size_t from, const Outgoing& message);
  void Apply(Node& node);
  void CheckLeader(const Node& node);
  bool Chance(double probability);
  Duration RandomDuration(Duration limit);

  std::mt19937_64 m_random;
  FakeFaults m_faults;
  Instant m_now;
  std::vector<Node> m_nodes;
  std::multimap<Instant, InTransit> m_network;
  std::set<std::pair<std::size_t, std::size_t>> m_cuts;
  std::map<std::uint64_t, ReplicaId> m_leader_of_term;
  std::map<std::uint64_t, std::uint64_t> m_hash_at;  // By committed index.
  std::uint64_t m_next_generation = 2;
  std::uint64_t m_next_payload = 1;
  std::string m_broken;
};

}  // namespace bronzebarrow::consensus

#endif  // BRONZEBARROW_TESTS_FAKE_GROUP_H_
