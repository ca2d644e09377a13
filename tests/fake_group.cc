// FakeGroup: event loop, network, disks and checks of the invariants.
#include "fake_group.h"

#include <algorithm>
#include <cstring>

namespace bronzebarrow::consensus {
namespace {

constexpr Duration kTickInterval = Millis(1);
constexpr std::uint64_t kFirstNewGeneration = 2;

std::uint64_t MixHash(std::uint64_t hash, std::uint64_t value) {
  hash ^= value + 0x9e3779b97f4a7c15ULL + (hash << 6) + (hash >> 2);
  return hash * 0xff51afd7ed558ccdULL;
}

std::vector<std::uint8_t> ToBytes(const ChainState& state) {
  std::vector<std::uint8_t> bytes(sizeof(state));
  std::memcpy(bytes.data(), &state, sizeof(state));
  return bytes;
}

ChainState FromBytes(const std::vector<std::uint8_t>& bytes) {
  ChainState state;
  std::memcpy(&state, bytes.data(), sizeof(state));
  return state;
}

// Few entries a message, so that catching up takes several.
ReplicaOptions SmallAppends() {
  ReplicaOptions options;
  options.m_max_append_entries = 8;
  return options;
}

}  // namespace

void FakeDisk::Sync(const DurableBatchOut& out) {
  const wire::DurableBatchT& batch = out.m_batch;
  if (out.m_snapshot) {
    m_state.m_snapshot = out.m_snapshot;
    m_state.m_base_index = batch.base_index;
    m_state.m_base_term = batch.base_term;
    m_state.m_base_membership = Membership::FromWire(*batch.base_membership);
    m_state.m_entries.clear();
  }
  m_state.m_hard_state = *batch.hard_state;
  while (batch.truncate_from != 0 && !m_state.m_entries.empty() &&
         m_state.m_entries.back().index >= batch.truncate_from) {
    m_state.m_entries.pop_back();
  }
  for (const auto& entry : batch.entries) {
    m_state.m_entries.push_back(*entry);
  }
}

FakeGroup::FakeGroup(std::size_t size, std::uint64_t seed)
    : FakeGroup(size, 0, seed, SmallAppends()) {}

FakeGroup::FakeGroup(std::size_t size, std::size_t spares, std::uint64_t seed,
                     const ReplicaOptions& options)
    : m_options(options), m_random(seed) {
  std::vector<Member> initial_members;
  for (std::size_t i = 0; i < size; ++i) {
    initial_members.push_back({{"n" + std::to_string(i), 1}, true});
  }
  m_nodes.resize(size + spares);
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    m_nodes[i].m_name = "n" + std::to_string(i);
    m_nodes[i].m_id = {m_nodes[i].m_name, 1};
  }
  for (std::size_t i = 0; i < size; ++i) {
    m_nodes[i].m_disk.m_state.m_base_membership = Membership(initial_members);
    Start(m_nodes[i]);
  }
}

void FakeGroup::Start(Node& node) {
  ReplicaOptions options = m_options;
  options.m_id = node.m_id;
  options.m_seed = m_random();
  for (const Node& other : m_nodes) {
    if (other.m_name != node.m_name) {
      options.m_peers.push_back(other.m_name);
    }
  }
  node.m_last_tick = m_now;
  node.m_applied = ChainState();
  node.m_replica =
      std::make_unique<Replica>(std::move(options), node.m_disk.m_state, m_now);
}

void FakeGroup::Crash(std::size_t node) {
  m_nodes[node].m_replica.reset();
  m_nodes[node].m_sync.reset();
}

void FakeGroup::Restart(std::size_t node) {
  if (!m_nodes[node].m_replica) {
    Start(m_nodes[node]);
  }
}

void FakeGroup::LoseDisk(std::size_t node) {
  Crash(node);
  m_nodes[node].m_disk = FakeDisk();
  // Generations have no order: a clock that steps back must not matter.
  m_nodes[node].m_id.m_generation = std::max(kFirstNewGeneration, m_random());
}

void FakeGroup::SetSuspended(std::size_t node, bool suspended) {
  m_nodes[node].m_suspended = suspended;
}

void FakeGroup::SetLinkDown(std::size_t from, std::size_t to, bool down) {
  if (down) {
    m_links_down.insert({from, to});
  } else {
    m_links_down.erase({from, to});
  }
}

void FakeGroup::HealAll() {
  m_links_down.clear();
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    m_nodes[i].m_suspended = false;
    Restart(i);
  }
}

bool FakeGroup::Chance(double probability) {
  return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
}

Duration FakeGroup::RandomDuration(Duration limit) {
  std::uniform_int_distribution<Duration::rep> pick(0, limit.count());
  return Duration(pick(m_random));
}

void FakeGroup::Run(Duration span) {
  const Instant end = m_now + span;
  while (m_now < end) {
    m_now += kTickInterval;
    if (m_reports_unattended) {
      ReportUnattended();
    }
    for (auto it = m_in_transit.begin();
         it != m_in_transit.end() && it->first <= m_now;) {
      Node& node = m_nodes[it->second.m_to];
      if (node.m_suspended) {
        ++it;
        continue;
      }
      const InTransit message = std::move(it->second);
      it = m_in_transit.erase(it);
      const bool addressed = message.m_to_generation == 0 ||
                             message.m_to_generation == node.m_id.m_generation;
      if (node.m_replica && addressed) {
        node.m_replica->Receive(message.m_from_id, message.m_body, m_now);
        ProcessOutput(message.m_to);
      }
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      Node& node = m_nodes[i];
      if (!node.m_replica || node.m_suspended) {
        continue;
      }
      if (node.m_sync && node.m_sync->first <= m_now) {
        node.m_disk.Sync(node.m_sync->second);
        node.m_sync.reset();
        node.m_replica->BatchSynced(m_now);
      }
      node.m_replica->Tick(m_now);
      node.m_last_tick = m_now;
      ProcessOutput(i);
    }
  }
}

void FakeGroup::ReportUnattended() {
  for (Node& node : m_nodes) {
    if (node.m_replica && !node.m_suspended) {
      node.m_replica->OnUnattended(m_now - node.m_last_tick - kTickInterval,
                                   m_now);
    }
  }
}

void FakeGroup::ProcessOutput(std::size_t index) {
  Node& node = m_nodes[index];
  for (const Outgoing& message : node.m_replica->TakeMessages(m_now)) {
    Transmit(index, message);
  }
  if (node.m_replica->HasBatch()) {
    node.m_sync.emplace(m_now + RandomDuration(m_faults.m_max_sync_time),
                        node.m_replica->TakeBatch());
  }
  Apply(node);
  CheckLeader(node);
}

void FakeGroup::Transmit(std::size_t from, const Outgoing& message) {
  for (std::size_t to = 0; to < m_nodes.size(); ++to) {
    if (m_nodes[to].m_name != message.m_to.m_name ||
        m_links_down.contains({from, to}) ||
        Chance(m_faults.m_loss_probability)) {
      continue;
    }
    const int copies = Chance(m_faults.m_duplicate_probability) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      m_in_transit.emplace(
          m_now + RandomDuration(m_faults.m_max_delay),
          InTransit{from, to, m_nodes[from].m_id, message.m_to.m_generation,
                    message.m_body});
    }
  }
}

void FakeGroup::Apply(Node& node) {
  if (const SnapshotPtr snapshot = node.m_replica->TakeInstalledSnapshot()) {
    node.m_applied = FromBytes(snapshot->data);
  }
  for (const wire::LogEntryT& entry : node.m_replica->TakeCommitted()) {
    if (entry.index != node.m_applied.m_index + 1) {
      m_violation = "a committed entry was skipped or repeated";
    }
    std::uint64_t value = MixHash(entry.term, entry.payload.size());
    for (const std::uint8_t byte : entry.payload) {
      value = MixHash(value, byte);
    }
    node.m_applied.m_index = entry.index;
    node.m_applied.m_hash = MixHash(node.m_applied.m_hash, value);
    const auto [existing, inserted] =
        m_hash_by_index.emplace(entry.index, node.m_applied.m_hash);
    if (!inserted && existing->second != node.m_applied.m_hash) {
      m_violation = "a committed entry changed";
    }
  }
}

void FakeGroup::CheckLeader(const Node& node) {
  if (node.m_replica->role() != Role::kLeader) {
    return;
  }
  const auto [existing, inserted] =
      m_leader_by_term.emplace(node.m_replica->term(), node.m_id);
  if (!inserted && existing->second != node.m_id) {
    m_violation = "two leaders in one term";
  }
}

void FakeGroup::ProposeAtEveryNode() {
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    Node& node = m_nodes[i];
    if (node.m_replica && !node.m_suspended) {
      const std::uint64_t value = m_next_payload++;
      node.m_replica->Propose({static_cast<std::uint8_t>(value),
                               static_cast<std::uint8_t>(value >> 8)},
                              m_now);
      ProcessOutput(i);
    }
  }
}

void FakeGroup::CompactRandomNodes() {
  for (Node& node : m_nodes) {
    if (node.m_replica && !node.m_suspended && node.m_applied.m_index > 0 &&
        Chance(0.3)) {
      node.m_replica->Compact(node.m_applied.m_index, ToBytes(node.m_applied),
                              m_random() % 10);
    }
  }
}

std::optional<std::size_t> FakeGroup::ReadyLeader() {
  std::optional<std::size_t> leader;
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    Replica* replica = m_nodes[i].m_replica.get();
    if (replica != nullptr && !m_nodes[i].m_suspended &&
        replica->IsReadyLeader() &&
        (!leader || replica->term() > node(*leader)->term())) {
      leader = i;
    }
  }
  return leader;
}

}  // namespace bronzebarrow::consensus
