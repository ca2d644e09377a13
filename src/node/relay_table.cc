// RelayTable: the choice of members, pending calls and wire forms.
#include "bronzebarrow/node/relay_table.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>

namespace bronzebarrow::node {
namespace {

std::unique_ptr<wire::TaskRef> RunToWire(const jobs::RunKey& run) {
  return std::make_unique<wire::TaskRef>(jobs::ToWire(run));
}

jobs::RunKey RunFromWire(const std::unique_ptr<wire::TaskRef>& run) {
  return run ? jobs::FromWire(*run) : jobs::RunKey();
}

}  // namespace

void RelayTable::OnFrame(const std::string& member, Instant now) {
  m_members[member].m_last_frame = now;
}

void RelayTable::OnClock(const std::string& member, std::uint64_t clock_ms,
                         Instant now) {
  MemberClock& clock = m_members[member];
  clock.m_clock_ms = clock_ms;
  clock.m_read_at = now;
}

bool RelayTable::IsLive(const MemberClock& member, Instant now) const {
  return member.m_clock_ms != 0 &&
         now <= member.m_last_frame + m_options.m_max_silence;
}

// Each runner goes to the live member with the greatest hash of both names, so
// a member that is lost or returns changes the path of its own runners only.
std::string RelayTable::ChooseMember(const std::string& runner,
                                     std::size_t runners, Instant now) const {
  const std::hash<std::string> hash;
  if (hash(runner) % std::max(runners, std::size_t{1}) <
      m_options.m_direct_runners) {
    return {};
  }
  std::string best;
  std::size_t best_score = 0;
  for (const auto& [name, member] : m_members) {
    const std::size_t score = hash(runner + name);
    if (IsLive(member, now) && (best.empty() || score > best_score)) {
      best = name;
      best_score = score;
    }
  }
  return best;
}

wire::RelayedCallT RelayTable::Add(const std::string& member,
                                   const runs::RunnerCall& call,
                                   Instant valid_until, Instant now) {
  const MemberClock& clock = m_members.at(member);
  wire::RelayedCallT relayed = ToWire(call);
  relayed.id = m_next_id++;
  // The member's clock showed m_clock_ms when or before it was read here.
  relayed.not_after_ms =
      clock.m_clock_ms +
      static_cast<std::uint64_t>(
          std::chrono::duration_cast<Millis>(
              std::max(valid_until - clock.m_read_at, Duration::zero()))
              .count());
  m_pending[relayed.id] = {
      member, call, now + Millis(call.m_wait_ms) + m_options.m_answer_timeout};
  return relayed;
}

std::optional<runs::RunnerCall> RelayTable::Take(const std::string& member,
                                                 std::uint64_t id) {
  const auto pending = m_pending.find(id);
  if (pending == m_pending.end() || pending->second.m_member != member) {
    return std::nullopt;
  }
  runs::RunnerCall call = std::move(pending->second.m_call);
  m_pending.erase(pending);
  return call;
}

void RelayTable::OnUnattended(Duration span, Instant now) {
  for (auto& [name, member] : m_members) {
    member.m_last_frame = std::min(member.m_last_frame + span, now);
  }
  for (auto& [id, pending] : m_pending) {
    pending.m_overdue_at += span;
  }
}

std::vector<runs::RunnerCall> RelayTable::TakeOverdue(Instant now) {
  std::map<std::string, bool> is_live;
  for (const auto& [name, member] : m_members) {
    is_live[name] = IsLive(member, now);
  }
  std::vector<runs::RunnerCall> overdue;
  for (auto item = m_pending.begin(); item != m_pending.end();) {
    Pending& pending = item->second;
    if (now < pending.m_overdue_at && is_live[pending.m_member]) {
      ++item;
    } else {
      overdue.push_back(std::move(pending.m_call));
      item = m_pending.erase(item);
    }
  }
  return overdue;
}

wire::RelayedCallT ToWire(const runs::RunnerCall& call) {
  wire::RelayedCallT relayed;
  relayed.kind = static_cast<std::uint8_t>(call.m_kind);
  relayed.runner = call.m_runner;
  relayed.born_ms = call.m_born_ms;
  relayed.address = call.m_address;
  relayed.epoch = call.m_epoch;
  relayed.expires_ms = call.m_expires_ms;
  relayed.run = RunToWire(call.m_run);
  relayed.job_name = call.m_job_name;
  relayed.spec = call.m_spec;
  relayed.checkpoint = call.m_checkpoint;
  relayed.ticket = call.m_ticket;
  relayed.last_recorded_end = call.AcknowledgedEnd();
  relayed.wait_ms = call.m_wait_ms;
  relayed.percent = call.m_percent;
  return relayed;
}

runs::RunnerCall FromWire(const wire::RelayedCallT& relayed) {
  runs::RunnerCall call;
  call.m_kind = static_cast<runs::CallKind>(std::min<std::uint8_t>(
      relayed.kind, static_cast<std::uint8_t>(runs::CallKind::kThrottle)));
  call.m_runner = relayed.runner;
  call.m_born_ms = relayed.born_ms;
  call.m_address = relayed.address;
  call.m_epoch = relayed.epoch;
  call.m_expires_ms = relayed.expires_ms;
  call.m_run = RunFromWire(relayed.run);
  call.m_job_name = relayed.job_name;
  call.m_spec = relayed.spec;
  call.m_checkpoint = relayed.checkpoint;
  call.m_ticket = relayed.ticket;
  call.m_last_recorded_end = relayed.last_recorded_end;
  call.m_wait_ms = relayed.wait_ms;
  call.m_percent = relayed.percent;
  return call;
}

wire::RelayedAnswerT ToWire(const runs::RunnerAnswer& answer) {
  wire::RelayedAnswerT relayed;
  relayed.kind = static_cast<std::uint8_t>(answer.m_kind);
  relayed.born_ms = answer.m_born_ms;
  relayed.clock_ms = answer.m_clock_ms;
  relayed.connection_ended = answer.m_connection_ended;
  relayed.running_incomplete = answer.m_is_running_incomplete;
  relayed.acknowledgeable = answer.m_acknowledgeable;
  for (const runs::ReportedRun& row : answer.m_running) {
    auto& run =
        relayed.running.emplace_back(std::make_unique<wire::RelayedRunT>());
    run->run = RunToWire(row.m_run);
    run->checkpoint = row.m_checkpoint;
    run->percent = row.m_percent;
    run->load = row.m_load;
  }
  for (const runs::ReportedEnd& row : answer.m_ended) {
    auto& ended =
        relayed.ended.emplace_back(std::make_unique<wire::RelayedEndT>());
    ended->number = row.m_end_number;
    ended->end = std::make_unique<wire::RunEndT>();
    ended->end->task = RunToWire(row.m_run);
    ended->end->how = row.m_how;
    ended->end->checkpoint = row.m_checkpoint;
  }
  return relayed;
}

runs::RunnerAnswer FromWire(const wire::RelayedAnswerT& relayed) {
  runs::RunnerAnswer answer;
  constexpr std::size_t kKinds = EnumNames<runs::AnswerKind>::kNames.size();
  answer.m_kind = relayed.kind < kKinds
                      ? static_cast<runs::AnswerKind>(relayed.kind)
                      : runs::AnswerKind::kNoAnswer;
  answer.m_born_ms = relayed.born_ms;
  answer.m_clock_ms = relayed.clock_ms;
  answer.m_connection_ended = relayed.connection_ended;
  answer.m_is_running_incomplete = relayed.running_incomplete;
  answer.m_acknowledgeable = relayed.acknowledgeable;
  for (const auto& row : relayed.running) {
    answer.m_running.push_back(
        {RunFromWire(row->run), row->checkpoint, row->percent, row->load});
  }
  for (const auto& row : relayed.ended) {
    if (!row->end) {
      answer.m_kind = runs::AnswerKind::kInvalid;  // Not to be acknowledged.
      break;
    }
    answer.m_ended.push_back({row->number, RunFromWire(row->end->task),
                              row->end->how, row->end->checkpoint});
  }
  return answer;
}

}  // namespace bronzebarrow::node
