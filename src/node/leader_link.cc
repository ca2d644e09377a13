// Tracks the leader from the members' views and retries calls across a change
// of the leader.
#include "bronzebarrow/node/leader_link.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <limits>
#include <utility>

#include "bronzebarrow/base/event_log.h"

namespace bronzebarrow::node {
namespace {

namespace asio = boost::asio;

// Interval at which members are asked for their view of the group. Members also
// send their view unasked when the leader changes.
constexpr Duration kProbeInterval = Millis(400);
// A connection that received nothing for this long, so that three views are
// missing, is reset and dialled again.
constexpr Duration kReceiveTimeout = Millis(1300);
constexpr Duration kNoLeaderRetryInterval = Millis(40);

// Whether the leader's state decided against the call. An earlier attempt may
// have met another state and been executed.
bool IsRefusal(wire::CallOutcome outcome) {
  return outcome == wire::CallOutcome::NotRun ||
         outcome == wire::CallOutcome::Refused ||
         outcome == wire::CallOutcome::NoQueue ||
         outcome == wire::CallOutcome::Unauthorised;
}

// Zero means that the wait is not known.
std::uint32_t WaitMillis(Duration wait) {
  const auto millis = std::chrono::ceil<Millis>(wait).count();
  return static_cast<std::uint32_t>(std::clamp<Millis::rep>(
      millis, 1, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace

LeaderLink::LeaderLink(asio::any_io_executor executor, std::string own_name,
                       std::vector<std::string> seeds)
    : m_executor(executor),
      m_own_name(std::move(own_name)),
      m_seeds(std::move(seeds)),
      m_peers(
          executor,
          [this](const std::string& peer, std::unique_ptr<wire::FrameT> frame) {
            OnFrame(peer, std::move(frame));
          },
          [this](const std::string& peer) { OnConnect(peer); }),
      m_probe_timer(executor) {}

void LeaderLink::Start() {
  SetSeeds(m_seeds);
  ScheduleProbe();
}

void LeaderLink::Stop() {
  m_stopped = true;
  m_probe_timer.cancel();
  EndCalls();
  m_peers.Stop();
}

void LeaderLink::SetSeeds(std::vector<std::string> seeds) {
  m_seeds = std::move(seeds);
  for (const std::string& seed : m_seeds) {
    if (seed != m_own_name) {
      m_peers.Add(seed);
    }
  }
}

bool LeaderLink::Send(const std::string& peer, const wire::FrameT& frame) {
  if (peer == m_own_name) {
    return false;
  }
  m_peers.Add(peer);
  return m_peers.Send(peer, frame);
}

void LeaderLink::ScheduleProbe() {
  m_probe_due = Now() + kProbeInterval;
  m_probe_timer.expires_after(kProbeInterval);
  m_probe_timer.async_wait([this](const boost::system::error_code& error) {
    if (error || m_stopped) {
      return;
    }
    Probe();
    ScheduleProbe();
  });
}

void LeaderLink::Probe() {
  wire::FrameT frame;
  frame.sender = m_own_name;
  frame.body.Set(wire::ViewRequestT());
  const Instant now = Now();
  // Frames that arrived while this process was late are read after this probe.
  const bool is_late = now > m_probe_due + kProbeInterval;
  for (auto& [peer, last_received] : m_last_received) {
    if (!is_late && now > last_received + kReceiveTimeout) {
      m_peers.CloseConnection(peer);
      last_received = now;
    }
    m_peers.Send(peer, frame);
  }
}

// Calls whose attempt went over the last connection are sent again: a reply
// only returns over the connection of its call.
void LeaderLink::OnConnect(const std::string& peer) {
  m_last_received[peer] = Now();
  if (m_on_member_connect) {
    m_on_member_connect(peer);
  }
  wire::FrameT frame;
  frame.sender = m_own_name;
  frame.body.Set(wire::ViewRequestT());
  m_peers.Send(peer, frame);
  for (auto& [id, pending] : m_pending) {
    if (pending->m_peer == peer) {
      pending->m_timer.cancel();
    }
  }
}

void LeaderLink::EndCalls() {
  for (auto& [id, pending] : m_pending) {
    pending->m_ended = true;
    pending->m_timer.cancel();
  }
}

void LeaderLink::OnFrame(const std::string& peer,
                         std::unique_ptr<wire::FrameT> frame) {
  m_last_received[peer] = Now();
  if (m_on_member_frame) {
    m_on_member_frame(peer, *frame);
  }
  if (const auto* view = frame->body.AsGroupView()) {
    OnView(peer, *view);
    return;
  }
  auto* const reply = frame->body.AsCallReply();
  if (reply == nullptr) {
    return;
  }
  const auto pending = m_pending.find(reply->id);
  if (pending != m_pending.end() && pending->second->m_peer == peer) {
    pending->second->m_reply = std::move(*reply);
    pending->second->m_timer.cancel();
  }
}

void LeaderLink::OnView(const std::string& peer, const wire::GroupViewT& view) {
  for (const std::string& member : view.members) {
    if (member != m_own_name) {
      m_peers.Add(member);
    }
  }
  if (!view.members.empty() && view.leading) {
    m_members = {view.members.begin(), view.members.end()};
    // Peers that are neither members nor seeds have left the group for good.
    m_peers.Prune([&](const std::string& name) {
      const bool keep =
          m_members.contains(name) ||
          std::find(m_seeds.begin(), m_seeds.end(), name) != m_seeds.end();
      if (!keep) {
        m_last_received.erase(name);
      }
      return keep;
    });
  }
  if (view.term < m_leader_term) {
    return;
  }
  if (view.leading && view.limits && m_on_limits) {
    m_on_limits(*view.limits);
  }
  const std::string reported_leader = view.leading ? peer : view.leader;
  if (reported_leader.empty() || reported_leader == m_leader) {
    m_leader_term = std::max(m_leader_term, view.term);
    if (reported_leader.empty() && peer == m_leader) {
      m_leader.clear();  // The leader stepped down.
    }
    return;
  }
  if (view.term == m_leader_term && !m_leader.empty() && !view.leading) {
    return;
  }
  m_leader = reported_leader;
  m_leader_term = view.term;
  EventLine(Event::kRoleChanged)
      .Field("leader", m_leader)
      .Field("term", m_leader_term);
  for (auto& [id, pending] : m_pending) {
    pending->m_timer.cancel();
  }
}

bool LeaderLink::HasRecentLeaderContact(Instant now, Duration age) const {
  const auto last_received = m_last_received.find(m_leader);
  return !m_leader.empty() &&
         (m_leader == m_own_name || (last_received != m_last_received.end() &&
                                     now <= last_received->second + age));
}

asio::awaitable<void> LeaderLink::Wait(PendingCall& pending,
                                       Duration duration) {
  boost::system::error_code ignored;
  pending.m_timer.expires_after(std::max(duration, Duration::zero()));
  co_await pending.m_timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<wire::CallReplyT> LeaderLink::Call(wire::CallBodyUnion body,
                                                   Instant deadline) {
  deadline = std::min(deadline, m_latest_deadline);
  const std::uint64_t id = m_next_id++;
  const auto pending = std::make_shared<PendingCall>(m_executor);
  wire::FrameT frame;
  frame.sender = m_own_name;
  wire::CallT call;
  call.id = id;
  call.body = std::move(body);
  frame.body.Set(std::move(call));
  std::uint32_t& wait_ms = frame.body.AsCall()->wait_ms;
  bool maybe_executed = false;
  m_pending[id] = pending;
  wire::CallReplyT result;
  result.outcome = wire::CallOutcome::NotRun;
  while (Now() < deadline && !m_stopped && !pending->m_ended) {
    const std::string leader = m_leader;
    pending->m_reply.reset();
    pending->m_peer = leader;
    if (m_peers.UnsentBytes(leader) > m_max_unsent_bytes) {
      result.text = "the link to the leader is full";
      break;
    }
    wait_ms = WaitMillis(deadline - Now());
    const bool sent = !leader.empty() && m_peers.Send(leader, frame);
    if (!sent) {
      co_await Wait(*pending,
                    std::min(deadline - Now(), kNoLeaderRetryInterval));
      continue;
    }
    // A new leader, or a new connection to this one, cancels the timer and ends
    // the attempt. The call may still have been executed; the reply to the
    // attempt is not awaited.
    co_await Wait(*pending, deadline - Now());
    if (!pending->m_reply) {
      maybe_executed = true;
      continue;
    }
    if (pending->m_reply->outcome == wire::CallOutcome::NotLeader) {
      if (m_leader == leader) {
        m_leader.clear();
      }
      co_await Wait(*pending,
                    std::min(deadline - Now(), kNoLeaderRetryInterval));
      continue;
    }
    if (pending->m_reply->outcome == wire::CallOutcome::Unknown) {
      // The leader stepped down before the call was committed; the state of
      // the next leader decides whether it was executed.
      maybe_executed = true;
      co_await Wait(*pending,
                    std::min(deadline - Now(), kNoLeaderRetryInterval));
      continue;
    }
    result = std::move(*pending->m_reply);
    break;
  }
  m_pending.erase(id);
  if (maybe_executed && IsRefusal(result.outcome)) {
    result.outcome = wire::CallOutcome::Unknown;
  }
  co_return result;
}

}  // namespace bronzebarrow::node
