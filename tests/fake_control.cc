// FakeControl: the simulation loop, the faults and the checked invariants.
#include "fake_control.h"

#include <algorithm>
#include <array>

namespace bronzebarrow::control {
namespace {

constexpr Duration kStep = Millis(2);
constexpr std::uint64_t kStepsPerMemberTick = 10;
constexpr Duration kMaxMessageDelay = Millis(15);
constexpr Duration kMaxSyncDelay = Millis(10);
constexpr Duration kLease = Millis(1000);
constexpr Duration kMaxRequest = Millis(600);
constexpr Duration kReportInterval = Millis(150);
constexpr Duration kAnswerTimeout = Millis(300);
constexpr Duration kReconnectDelay = Millis(50);
constexpr double kMessageLossRate = 0.03;
constexpr std::uint64_t kWallStartMs = 1'800'000'000'000;
constexpr std::array<const char*, 4> kInstances = {"t0", "t1", "t2", "t3"};

std::uint64_t MillisOf(Instant moment) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Millis>(moment.time_since_epoch()).count());
}

}  // namespace

FakeControl::FakeControl(std::size_t members, std::size_t entries,
                         std::uint64_t seed)
    : m_random(seed) {
  std::vector<consensus::Member> founders;
  for (std::size_t i = 0; i < members; ++i) {
    founders.push_back({{"c" + std::to_string(i), 1}, true});
  }
  m_entries.resize(entries);
  for (std::size_t i = 0; i < entries; ++i) {
    m_entries[i].m_name = "e" + std::to_string(i);
    Reconnect(m_entries[i], i % members);
  }
  m_members.resize(members);
  for (std::size_t i = 0; i < members; ++i) {
    m_members[i].m_name = "c" + std::to_string(i);
    m_members[i].m_id = {m_members[i].m_name, 1};
    m_members[i].m_disk.m_state.m_base_membership =
        consensus::Membership(founders);
  }
  for (Member& member : m_members) {
    Start(member);
  }
}

Moment FakeControl::Clock() const {
  return {m_now, kWallStartMs + MillisOf(m_now)};
}

void FakeControl::Start(Member& member) {
  ControlCoreOptions options;
  options.m_replica.m_id = member.m_id;
  options.m_replica.m_seed = m_random();
  options.m_replica.m_election_timeout = Millis(200);
  options.m_replica.m_heartbeat_interval = Millis(50);
  for (const Member& other : m_members) {
    if (other.m_name != member.m_name) {
      options.m_replica.m_peers.push_back(other.m_name);
    }
  }
  for (const FakeEntry& entry : m_entries) {
    options.m_leases.m_entries.push_back(entry.m_name);
  }
  options.m_leases.m_lease = kLease;
  options.m_leases.m_max_request = kMaxRequest;
  options.m_snapshot_entries = 20;
  options.m_first_token = m_random();
  ++member.m_incarnation;
  member.m_core = std::make_unique<ControlCore>(std::move(options),
                                                member.m_disk.m_state, Clock());
}

void FakeControl::Crash(std::size_t index) {
  m_members[index].m_core.reset();
  m_members[index].m_sync.reset();
  for (FakeEntry& entry : m_entries) {
    entry.m_session_broken |= entry.m_member == index;
  }
}

bool FakeControl::Chance(double probability) {
  return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
}

Duration FakeControl::RandomDuration(Duration limit) {
  std::uniform_int_distribution<Duration::rep> pick(0, limit.count());
  return Duration(pick(m_random));
}

void FakeControl::Run(Duration span) {
  const Instant end = m_now + span;
  while (m_now < end && m_violation.empty()) {
    m_now += kStep;
    ++m_step_count;
    DeliverToMembers();
    DeliverToEntries();
    StepMembers();
    StepEntries();
    CheckInvariants();
  }
}

void FakeControl::DeliverToMembers() {
  for (auto it = m_to_members.begin();
       it != m_to_members.end() && it->first <= m_now;) {
    Member& member = m_members[it->second.m_to];
    if (member.m_suspended) {
      ++it;
      continue;
    }
    const ToMember message = std::move(it->second);
    it = m_to_members.erase(it);
    if (!member.m_core) {
      continue;
    }
    if (message.m_session != 0) {
      member.m_core->OnSessionMessage(message.m_session, message.m_sender,
                                      message.m_body, Clock());
    } else if (message.m_to_generation == 0 ||
               message.m_to_generation == member.m_id.m_generation) {
      member.m_core->OnPeerMessage(message.m_from, message.m_body, Clock());
    }
    HandleOutputs(message.m_to);
  }
}

void FakeControl::DeliverToEntries() {
  for (auto it = m_to_entries.begin();
       it != m_to_entries.end() && it->first <= m_now;) {
    FakeEntry& entry = m_entries[it->second.m_to];
    if (entry.m_suspended) {
      ++it;
      continue;
    }
    const ToEntry message = std::move(it->second);
    it = m_to_entries.erase(it);
    if (entry.m_running && message.m_session == entry.m_session) {
      OnEntryMessage(entry, message.m_body);
    }
  }
}

void FakeControl::StepMembers() {
  for (std::size_t i = 0; i < m_members.size(); ++i) {
    Member& member = m_members[i];
    if (!member.m_core || member.m_suspended) {
      continue;
    }
    if (member.m_sync && member.m_sync->first <= m_now) {
      member.m_disk.Sync(member.m_sync->second);
      member.m_sync.reset();
      member.m_core->BatchSynced(Clock());
      HandleOutputs(i);
    }
    if ((m_step_count + i) % kStepsPerMemberTick == 0) {
      member.m_core->Tick(Clock());
      HandleOutputs(i);
    }
  }
}

void FakeControl::HandleOutputs(std::size_t index) {
  Member& member = m_members[index];
  for (consensus::Outgoing& message : member.m_core->TakePeerMessages()) {
    for (std::size_t to = 0; to < m_members.size(); ++to) {
      const bool isolated = member.m_isolated || m_members[to].m_isolated ||
                            member.m_isolated_from_peers ||
                            m_members[to].m_isolated_from_peers;
      const bool lost = isolated || Chance(kMessageLossRate);
      if (m_members[to].m_name == message.m_to.m_name && !lost) {
        m_to_members.emplace(
            m_now + RandomDuration(kMaxMessageDelay),
            ToMember{to, member.m_id, message.m_to.m_generation, 0, "",
                     message.m_body});
      }
    }
  }
  if (member.m_core->HasBatch()) {
    member.m_sync.emplace(m_now + RandomDuration(kMaxSyncDelay),
                          member.m_core->TakeBatch());
  }
  for (SessionMessage& message : member.m_core->TakeSessionMessages()) {
    const std::size_t to = m_entry_of_session.at(message.m_session);
    FakeEntry& entry = m_entries[to];
    if (message.m_session != entry.m_session || entry.m_session_broken) {
      continue;
    }
    if (entry.m_isolated || member.m_isolated) {
      entry.m_session_broken = true;
      continue;
    }
    Instant& last = m_last_arrival[message.m_session];
    last = std::max(last, m_now + RandomDuration(kMaxMessageDelay));
    m_to_entries.emplace(
        last, ToEntry{to, message.m_session, std::move(message.m_body)});
  }
}

void FakeControl::Reconnect(FakeEntry& entry, std::size_t member) {
  entry.m_member = member;
  entry.m_session = m_next_session++;
  entry.m_session_broken = false;
  entry.m_full_view = true;
  entry.m_unanswered_since.reset();
  m_entry_of_session[entry.m_session] =
      static_cast<std::size_t>(&entry - m_entries.data());
}

void FakeControl::StepEntries() {
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    FakeEntry& entry = m_entries[i];
    if (!entry.m_running || entry.m_suspended) {
      continue;
    }
    if (entry.m_unanswered_since &&
        m_now > *entry.m_unanswered_since + kAnswerTimeout) {
      Reconnect(entry, (entry.m_member + 1) % m_members.size());
    }
    if (m_now >= entry.m_next_report) {
      SendReport(i);
    }
    if (Serves(i) && Chance(0.05)) {
      StartWork(entry);
    }
  }
}

void FakeControl::StartWork(FakeEntry& entry) {
  const std::string instance = kInstances[m_random() % kInstances.size()];
  if (!entry.m_stop_of.contains(instance)) {
    const Instant end = m_now + RandomDuration(kMaxRequest);
    entry.m_busy_until[instance] = std::max(entry.m_busy_until[instance], end);
  }
}

void FakeControl::SendReport(std::size_t index) {
  FakeEntry& entry = m_entries[index];
  entry.m_next_report = m_now + kReportInterval;
  wire::LeaseRequestT request;
  request.sequence = entry.m_lease.RecordRequest(m_now);
  request.config_version = entry.m_config;
  request.fleet_version = entry.m_fleet;
  request.full_view = entry.m_full_view;
  for (const auto& [instance, stop] : entry.m_stop_of) {
    if (m_now >= entry.m_busy_until[instance]) {
      request.drained.push_back(stop);
    }
  }
  if (entry.m_full_view) {
    for (const char* instance : kInstances) {
      auto observation = std::make_unique<wire::ObservationT>();
      observation->instance = instance;
      observation->pool = "p";
      observation->zone = "z";
      observation->rack = "r";
      observation->incarnation = 1;
      observation->present = true;
      request.observations.push_back(std::move(observation));
    }
  }
  entry.m_full_view = false;
  if (!entry.m_unanswered_since) {
    entry.m_unanswered_since = m_now;
  }
  if (entry.m_isolated || m_members[entry.m_member].m_isolated) {
    entry.m_session_broken = true;
  }
  if (entry.m_session_broken) {
    return;
  }
  ToMember message{entry.m_member, {}, 0, entry.m_session, entry.m_name, {}};
  message.m_body.Set(std::move(request));
  Instant& last = m_last_arrival[entry.m_session];
  last = std::max(last, m_now + RandomDuration(kMaxMessageDelay));
  m_to_members.emplace(last, std::move(message));
}

void FakeControl::OnEntryMessage(FakeEntry& entry,
                                 const wire::BodyUnion& body) {
  if (body.type == wire::Body::LeaseGrant) {
    const wire::LeaseGrantT& grant = *body.AsLeaseGrant();
    entry.m_unanswered_since.reset();
    entry.m_full_view |= grant.need_full_view;
    if (!grant.need_full_view) {
      entry.m_lease.OnGrant(grant.sequence, Millis(grant.duration_ms),
                            grant.config_version, grant.fleet_version);
    }
  } else if (body.type == wire::Body::NotLeader) {
    FollowHint(entry, body.AsNotLeader()->leader);
  } else if (body.type == wire::Body::StateUpdate) {
    const wire::StateUpdateT& update = *body.AsStateUpdate();
    entry.m_config = std::max(entry.m_config, update.config_version);
    if (update.fleet_version > entry.m_fleet) {
      entry.m_fleet = update.fleet_version;
      entry.m_stop_of.clear();
      for (const auto& stop : update.stops) {
        entry.m_stop_of[stop->instance] = stop->stop_id;
      }
    }
    entry.m_next_report = m_now;
  }
}

// Connects to the leader that a member named, or else to the next member, like
// the entry's control link.
void FakeControl::FollowHint(FakeEntry& entry, const std::string& leader) {
  std::size_t next = (entry.m_member + 1) % m_members.size();
  for (std::size_t i = 0; i < m_members.size(); ++i) {
    if (m_members[i].m_name == leader && i != entry.m_member) {
      next = i;
    }
  }
  Reconnect(entry, next);
  entry.m_next_report = m_now + kReconnectDelay;
}

bool FakeControl::Serves(std::size_t index) const {
  const FakeEntry& entry = m_entries[index];
  return entry.m_running && !entry.m_suspended && entry.m_config > 0 &&
         entry.m_lease.IsValidFor(m_now, entry.m_config, entry.m_fleet);
}

std::optional<std::size_t> FakeControl::Leader() const {
  for (std::size_t i = 0; i < m_members.size(); ++i) {
    const Member& member = m_members[i];
    if (member.m_core && !member.m_suspended && !member.m_isolated &&
        member.m_core->IsReadyLeader()) {
      return i;
    }
  }
  return std::nullopt;
}

// Returns a member in the leader role, even if a newer leader exists.
std::optional<std::size_t> FakeControl::RandomLeader() {
  const std::size_t first = m_random() % m_members.size();
  for (std::size_t i = 0; i < m_members.size(); ++i) {
    const std::size_t at = (first + i) % m_members.size();
    const Member& member = m_members[at];
    if (member.m_core && !member.m_suspended &&
        member.m_core->IsReadyLeader()) {
      return at;
    }
  }
  return std::nullopt;
}

void FakeControl::ProposeChangeOrStop() {
  if (Chance(0.4)) {
    ProposeStop();
  } else {
    ProposeChange();
  }
}

void FakeControl::ProposeChange() {
  const auto leading = RandomLeader();
  if (!leading) {
    return;
  }
  const std::size_t index = *leading;
  Member& member = m_members[index];
  // Half of the proposals reuse the current change id, as a resend does.
  if (Chance(0.5)) {
    ++m_next_change;
  }
  wire::ApplyListsT change;
  change.change_id = "change-" + std::to_string(m_next_change);
  change.operator_name = "operator";
  change.expect_version = member.m_core->state().config_version();
  change.plans = "[a]\nclass = normal\npool = p\nquota = " +
                 std::to_string(m_next_change) + "\n";
  change.uses = "[a/p]\nzones = any\nracks = any\nfloor = 0\nsurvive = none\n";
  const std::string id = change.change_id;
  const std::uint64_t member_incarnation = member.m_incarnation;
  wire::CommandBodyUnion body;
  body.Set(std::move(change));
  member.m_core->Propose(
      std::move(body), Clock(),
      [this, index, member_incarnation, id](const ApplyResult* result) {
        if (result == nullptr || !result->m_outcome.ok()) {
          return;
        }
        const std::uint64_t version = result->m_config_version;
        const auto [known, inserted] = m_change_of_version.emplace(version, id);
        if (known->second != id) {
          m_violation = "two changes were given the same version";
        }
        m_pending_acceptances.push_back({index, member_incarnation, version});
      });
  HandleOutputs(index);
}

void FakeControl::ProposeStop() {
  const auto leading = RandomLeader();
  if (!leading) {
    return;
  }
  const std::size_t index = *leading;
  Member& member = m_members[index];
  wire::AnnounceStopT stop;
  stop.instance = kInstances[m_random() % kInstances.size()];
  stop.stop_id = "stop-" + stop.instance;
  stop.deadline_ms = 60'000;
  wire::CommandBodyUnion body;
  body.Set(std::move(stop));
  member.m_core->Propose(std::move(body), Clock(), [](const ApplyResult*) {});
  HandleOutputs(index);
}

void FakeControl::CheckInvariants() {
  std::erase_if(m_pending_acceptances, [&](const PendingAcceptance& pending) {
    const Member& member = m_members[pending.m_member];
    if (!member.m_core || member.m_incarnation != pending.m_incarnation) {
      return true;
    }
    if (member.m_suspended || !member.m_core->IsReadyLeader()) {
      return false;
    }
    const auto& keeper = *member.m_core->lease_keeper();
    if (!keeper.EntriesNotInForce(pending.m_version, m_now).empty()) {
      return false;
    }
    m_accepted_version = std::max(m_accepted_version, pending.m_version);
    return true;
  });
  for (const Member& member : m_members) {
    if (!member.m_core) {
      continue;
    }
    for (const auto& [id, stop] : member.m_core->state().fleet().stops()) {
      if (stop.m_state == fleet::StopState::kReleased) {
        m_released_instances.insert(stop.m_instance);
      }
    }
  }
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    const FakeEntry& entry = m_entries[i];
    if (Serves(i) && entry.m_config < m_accepted_version) {
      m_violation =
          entry.m_name + " serves under a version older than accepted";
    }
    for (const auto& [instance, busy_until] : entry.m_busy_until) {
      if (m_released_instances.contains(instance) && m_now < busy_until) {
        m_violation = entry.m_name +
                      " has work in flight at the released instance " +
                      instance;
      }
    }
  }
}

void FakeControl::InjectFault() {
  const std::size_t member = m_random() % m_members.size();
  FakeEntry& entry = m_entries[m_random() % m_entries.size()];
  switch (m_random() % 13) {
    case 0:
      Crash(member);
      break;
    case 1:
    case 2:
      if (!m_members[member].m_core) {
        Start(m_members[member]);
      }
      break;
    case 3:
      m_members[member].m_suspended = true;
      break;
    case 4:
      m_members[member].m_suspended = false;
      break;
    case 5:
      m_members[member].m_isolated = true;
      break;
    case 6:
      m_members[member].m_isolated = false;
      break;
    case 7:
      entry.m_isolated = !entry.m_isolated;
      break;
    case 8:
      entry.m_suspended = !entry.m_suspended;
      break;
    case 9: {
      const std::string name = entry.m_name;
      const auto busy = entry.m_busy_until;
      const std::size_t old_member = entry.m_member;
      entry = FakeEntry();
      entry.m_name = name;
      entry.m_busy_until = busy;  // Requests already sent still run.
      Reconnect(entry, old_member);
      break;
    }
    case 10:
    case 11:
      m_members[member].m_isolated_from_peers =
          !m_members[member].m_isolated_from_peers;
      break;
    default:
      if (!m_disk_lost) {
        m_disk_lost = true;
        Crash(member);
        m_members[member].m_disk = consensus::FakeDisk();
        m_members[member].m_id.m_generation = m_next_generation++;
        Start(m_members[member]);
      }
      break;
  }
}

void FakeControl::HealAll() {
  for (Member& member : m_members) {
    member.m_suspended = false;
    member.m_isolated = false;
    member.m_isolated_from_peers = false;
    if (!member.m_core) {
      Start(member);
    }
  }
  for (FakeEntry& entry : m_entries) {
    entry.m_suspended = false;
    entry.m_isolated = false;
  }
}

bool FakeControl::AllServeNewest() const {
  const auto leader = Leader();
  if (!leader) {
    return false;
  }
  const std::uint64_t newest =
      m_members[*leader].m_core->state().config_version();
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    if (!Serves(i) || m_entries[i].m_config != newest) {
      return false;
    }
  }
  return newest > 0;
}

}  // namespace bronzebarrow::control
