// Lease renewal, leader discovery and calls to the idempotency ledger.
#include "programs/entry/control_link.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace bronzebarrow::programs {
namespace {

namespace asio = boost::asio;

constexpr Duration kTickInterval = Millis(20);
// After this time without an answer to a report, the presumed leader is
// unresponsive and the next member is tried.
constexpr Duration kAnswerTimeout = Millis(600);
// Delay of the first report after a switch to another member; limits the rate
// of switches while there is no leader.
constexpr Duration kReportDelayAfterSwitch = Millis(50);
constexpr Duration kCallRetryInterval = Millis(250);
constexpr Duration kCallDelayWithoutLeader = Millis(30);

using Incarnations = std::map<std::string, std::uint64_t>;

Incarnations IncarnationsOf(const EntryReport& report) {
  Incarnations incarnations;
  for (const wire::ObservationT& observation : report.m_observations) {
    incarnations[observation.instance] = observation.incarnation;
  }
  return incarnations;
}

// Returns the observations that are new or have another incarnation since
// `before`, and those that are gone, as not present.
std::vector<std::unique_ptr<wire::ObservationT>> ObservationChanges(
    const EntryReport& before, const EntryReport& now) {
  std::vector<std::unique_ptr<wire::ObservationT>> changes;
  const Incarnations old_view = IncarnationsOf(before);
  const Incarnations new_view = IncarnationsOf(now);
  for (const wire::ObservationT& observation : now.m_observations) {
    const auto old = old_view.find(observation.instance);
    if (old == old_view.end() || old->second != observation.incarnation) {
      changes.push_back(std::make_unique<wire::ObservationT>(observation));
    }
  }
  for (const wire::ObservationT& observation : before.m_observations) {
    if (!new_view.contains(observation.instance)) {
      changes.push_back(std::make_unique<wire::ObservationT>(observation));
      changes.back()->present = false;
    }
  }
  return changes;
}

// Whether the group must receive the change before the next renewal is due.
bool NeedsImmediateReport(const EntryReport& before, const EntryReport& now) {
  return before.m_config_version != now.m_config_version ||
         before.m_fleet_version != now.m_fleet_version ||
         before.m_drained_stops != now.m_drained_stops;
}

}  // namespace

ControlLink::ControlLink(asio::any_io_executor executor,
                         const EntrySettings& settings)
    : m_name(settings.m_name),
      m_renewal_interval(settings.m_lease_renewal),
      m_executor(executor),
      m_strand(asio::make_strand(executor)),
      m_tick_timer(m_strand) {
  for (const auto& [name, address] : settings.m_members) {
    m_members[name] = std::make_shared<net::FrameDialer>(
        executor, net::FrameDialer::Options{name, address});
  }
  m_leader = m_members.begin()->first;
}

void ControlLink::Start(MakeReport make_report, OnUpdate on_update) {
  m_make_report = std::move(make_report);
  m_on_update = std::move(on_update);
  const auto self = shared_from_this();
  for (auto& [name, member] : m_members) {
    member->Start(
        [self, member_name = name](std::unique_ptr<wire::FrameT> frame) {
          auto shared =
              std::make_shared<std::unique_ptr<wire::FrameT>>(std::move(frame));
          asio::post(self->m_strand, [self, member_name, shared] {
            self->OnFrame(member_name, std::move(*shared));
          });
        },
        [self, member_name = name] {
          asio::post(self->m_strand, [self, member_name] {
            if (member_name == self->m_leader) {
              self->m_need_full_view = true;
              self->m_last_report_time = Instant();
            }
          });
        });
  }
  asio::post(m_strand, [self] { self->ScheduleTick(); });
}

void ControlLink::Stop() {
  asio::post(m_strand, [self = shared_from_this()] {
    self->m_stopping = true;
    self->m_tick_timer.cancel();
    for (auto& [name, member] : self->m_members) {
      member->Stop();
    }
  });
}

bool ControlLink::HoldsLease(std::uint64_t config_version,
                             std::uint64_t fleet_version) const {
  const std::lock_guard lock(m_lease_mutex);
  return m_lease.IsValidFor(Now(), config_version, fleet_version);
}

void ControlLink::ScheduleTick() {
  m_tick_timer.expires_after(kTickInterval);
  m_tick_timer.async_wait([self = shared_from_this()](const auto& error) {
    if (!error && !self->m_stopping) {
      self->Tick(Now());
      self->ScheduleTick();
    }
  });
}

void ControlLink::Tick(Instant now) {
  if (m_unanswered_since && now > *m_unanswered_since + kAnswerTimeout) {
    m_members[m_leader]->CloseConnection();
    SwitchLeader(NextMember());
  }
  const bool due = now >= m_last_report_time + m_renewal_interval;
  if (m_need_full_view && !due &&
      now < m_last_switch_time + kReportDelayAfterSwitch) {
    return;
  }
  if (due || m_need_full_view ||
      NeedsImmediateReport(m_last_sent_report,
                           m_make_report(ReportScope::kWithoutView))) {
    SendReport(m_make_report(ReportScope::kComplete), now);
  }
}

void ControlLink::SendReport(const EntryReport& report, Instant now) {
  wire::LeaseRequestT request;
  {
    const std::lock_guard lock(m_lease_mutex);
    request.sequence = m_lease.RecordRequest(now);
  }
  request.config_version = report.m_config_version;
  request.fleet_version = report.m_fleet_version;
  request.drained = report.m_drained_stops;
  request.full_view = m_need_full_view;
  request.observations = ObservationChanges(
      m_need_full_view ? EntryReport() : m_last_sent_report, report);
  wire::BodyUnion body;
  body.Set(std::move(request));
  m_last_report_time = now;
  if (!m_unanswered_since) {
    m_unanswered_since = now;
  }
  if (SendToLeader(std::move(body))) {
    m_last_sent_report = report;
    m_need_full_view = false;
  }
}

bool ControlLink::SendToLeader(wire::BodyUnion body) {
  wire::FrameT frame;
  frame.sender = m_name;
  frame.body = std::move(body);
  return m_members[m_leader]->Send(frame);
}

void ControlLink::OnFrame(const std::string& member,
                          std::unique_ptr<wire::FrameT> frame) {
  switch (frame->body.type) {
    case wire::Body::LeaseGrant:
      if (member == m_leader) {
        m_unanswered_since.reset();
      }
      OnGrant(*frame->body.AsLeaseGrant());
      break;
    case wire::Body::NotLeader:
      OnNotLeader(member, *frame->body.AsNotLeader());
      break;
    case wire::Body::StateUpdate:
      m_on_update(*frame->body.AsStateUpdate());
      Tick(Now());
      break;
    case wire::Body::LedgerReply: {
      const wire::LedgerReplyT& reply = *frame->body.AsLedgerReply();
      const auto call = m_pending_calls.find(reply.request_id);
      if (call != m_pending_calls.end()) {
        call->second->m_reply = reply;
        call->second->m_wait_timer.cancel();
      }
      break;
    }
    default:
      break;
  }
}

void ControlLink::OnGrant(const wire::LeaseGrantT& grant) {
  if (grant.need_full_view) {
    m_need_full_view = true;
    m_last_report_time = Instant();
    return;
  }
  const std::lock_guard lock(m_lease_mutex);
  m_lease.OnGrant(grant.sequence, Millis(grant.duration_ms),
                  grant.config_version, grant.fleet_version);
}

void ControlLink::OnNotLeader(const std::string& member,
                              const wire::NotLeaderT& reply) {
  if (member != m_leader) {
    return;
  }
  const bool known = m_members.contains(reply.leader);
  SwitchLeader(known && reply.leader != member ? reply.leader : NextMember());
  const auto call = m_pending_calls.find(reply.request_id);
  if (call != m_pending_calls.end()) {
    call->second->m_wait_timer.cancel();
  }
}

void ControlLink::SwitchLeader(const std::string& leader) {
  m_leader = leader;
  m_last_switch_time = Now();
  m_need_full_view = true;
  m_unanswered_since.reset();
}

std::string ControlLink::NextMember() const {
  auto next = std::next(m_members.find(m_leader));
  return next == m_members.end() ? m_members.begin()->first : next->first;
}

asio::awaitable<wire::LedgerReplyT> ControlLink::CallLedger(
    wire::LedgerCommandT command, Instant deadline) {
  co_return co_await asio::co_spawn(
      m_strand, CallLedgerOnStrand(std::move(command), deadline),
      asio::use_awaitable);
}

asio::awaitable<wire::LedgerReplyT> ControlLink::CallLedgerOnStrand(
    wire::LedgerCommandT command, Instant deadline) {
  const std::uint64_t id = m_next_call++;
  const auto call = std::make_shared<PendingCall>(m_strand);
  m_pending_calls[id] = call;
  while (!call->m_reply && Now() < deadline) {
    wire::LedgerRequestT request;
    request.request_id = id;
    request.command = std::make_unique<wire::LedgerCommandT>(command);
    wire::BodyUnion body;
    body.Set(std::move(request));
    const bool sent = SendToLeader(std::move(body));
    const Duration wait = sent ? kCallRetryInterval : kCallDelayWithoutLeader;
    call->m_wait_timer.expires_after(std::min(deadline - Now(), wait));
    boost::system::error_code ignored;
    co_await call->m_wait_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    if (!call->m_reply && ignored) {
      // The wait was cancelled by a NotLeader reply. The retry is delayed to
      // let the change of leader settle.
      call->m_wait_timer.expires_after(kCallDelayWithoutLeader);
      co_await call->m_wait_timer.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
    }
  }
  m_pending_calls.erase(id);
  if (call->m_reply) {
    co_return *call->m_reply;
  }
  wire::LedgerReplyT unavailable;
  unavailable.request_id = id;
  unavailable.verdict = wire::LedgerVerdict::Unavailable;
  co_return unavailable;
}

}  // namespace bronzebarrow::programs
