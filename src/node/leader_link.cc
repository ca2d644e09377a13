// Tracks the leader from the members' views and retries calls across a change
// of the leader.
#include "bronzebarrow/node/leader_link.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "bronzebarrow/base/event_log.h"

namespace bronzebarrow::node {
namespace {

namespace asio = boost::asio;

// Interval at which members are asked for their view of the group. Members also
// send their view unasked when the leader changes.
constexpr Duration kProbeInterval = Millis(400);
// A connection that received nothing for this long is reset and dialled again:
// three views are missing.
constexpr Duration kSilence = Millis(1300);
// Timeout of one attempt of a call. A commit takes two disk syncs of 9 ms and
// two network trips.
constexpr Duration kAttempt = Millis(700);
constexpr Duration kPauseWithoutLeader = Millis(40);

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
          [this](const std::string& peer) {
            m_heard[peer] = Now();
            wire::FrameT frame;
            frame.sender = m_own_name;
            frame.body.Set(wire::ViewRequestT());
            m_peers.Send(peer, frame);
          }),
      m_probe(executor) {}

void LeaderLink::Start() {
  SetSeeds(m_seeds);
  ScheduleProbe();
}

void LeaderLink::Stop() {
  m_stopped = true;
  m_probe.cancel();
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
  m_probe.expires_after(kProbeInterval);
  m_probe.async_wait([this](const boost::system::error_code& error) {
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
  for (auto& [peer, heard] : m_heard) {
    if (now > heard + kSilence) {
      m_peers.Reset(peer);
      heard = now;
    }
    m_peers.Send(peer, frame);
  }
}

void LeaderLink::OnFrame(const std::string& peer,
                         std::unique_ptr<wire::FrameT> frame) {
  m_heard[peer] = Now();
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
    pending->second->m_wake.cancel();
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
        m_heard.erase(name);
      }
      return keep;
    });
  }
  if (view.term < m_leader_term) {
    return;
  }
  const std::string believed = view.leading ? peer : view.leader;
  if (believed.empty() || believed == m_leader) {
    m_leader_term = std::max(m_leader_term, view.term);
    if (believed.empty() && peer == m_leader) {
      m_leader.clear();  // The leader stepped down.
    }
    return;
  }
  if (view.term == m_leader_term && !m_leader.empty() && !view.leading) {
    return;
  }
  m_leader = believed;
  m_leader_term = view.term;
  EventLine(Event::kRoleChanged)
      .Field("leader", m_leader)
      .Field("term", m_leader_term);
  for (auto& [id, pending] : m_pending) {
    pending->m_wake.cancel();
  }
}

bool LeaderLink::HeardLeader(Instant now, Duration age) const {
  const auto heard = m_heard.find(m_leader);
  return !m_leader.empty() &&
         (m_leader == m_own_name ||
          (heard != m_heard.end() && now <= heard->second + age));
}

asio::awaitable<void> LeaderLink::Wait(Pending& pending, Duration duration) {
  boost::system::error_code ignored;
  pending.m_wake.expires_after(std::max(duration, Duration::zero()));
  co_await pending.m_wake.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<wire::CallReplyT> LeaderLink::Call(wire::CallBodyUnion body,
                                                   Instant deadline) {
  const std::uint64_t id = m_next_id++;
  const auto pending = std::make_shared<Pending>(m_executor);
  wire::FrameT frame;
  frame.sender = m_own_name;
  wire::CallT call;
  call.id = id;
  call.body = std::move(body);
  frame.body.Set(std::move(call));
  bool uncertain = false;
  m_pending[id] = pending;
  wire::CallReplyT result;
  result.outcome = wire::CallOutcome::NotRun;
  while (Now() < deadline && !m_stopped) {
    const std::string leader = m_leader;
    pending->m_reply.reset();
    pending->m_peer = leader;
    const bool sent = !leader.empty() && m_peers.Send(leader, frame);
    if (!sent) {
      co_await Wait(*pending, std::min(deadline - Now(), kPauseWithoutLeader));
      continue;
    }
    // A change of the leader cancels the timer and ends the attempt early. The
    // old leader may still have executed the call; its reply is not awaited.
    co_await Wait(*pending, std::min(deadline - Now(), kAttempt));
    if (!pending->m_reply) {
      uncertain = true;
      continue;
    }
    if (pending->m_reply->outcome == wire::CallOutcome::NotLeader) {
      if (m_leader == leader) {
        m_leader.clear();
      }
      co_await Wait(*pending, std::min(deadline - Now(), kPauseWithoutLeader));
      continue;
    }
    result = std::move(*pending->m_reply);
    break;
  }
  m_pending.erase(id);
  const bool refused = result.outcome == wire::CallOutcome::NotRun ||
                       result.outcome == wire::CallOutcome::Refused;
  if (uncertain && refused) {
    result.outcome = wire::CallOutcome::Unknown;
  }
  co_return result;
}

}  // namespace bronzebarrow::node
