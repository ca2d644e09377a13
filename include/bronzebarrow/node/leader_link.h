// Finds the group's leader and sends calls to it. The outcome of each call says
// whether it was executed, was not executed, or may have been.
#ifndef BRONZEBARROW_NODE_LEADER_LINK_H_
#define BRONZEBARROW_NODE_LEADER_LINK_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bronzebarrow/base/time.h"
#include "bronzebarrow/node/peer_table.h"

namespace bronzebarrow::node {

/**
 * Calls are idempotent at the leader, so one without a response is sent again
 * until its deadline: on a new connection, or to a new leader. It is not sent
 * twice on one connection, which loses no frame while it lives. A refusal is
 * returned only when no attempt can have been executed; otherwise the outcome
 * is Unknown.
 * Runs on one executor that handles one event at a time.
 */
class LeaderLink {
 public:
  LeaderLink(boost::asio::any_io_executor executor, std::string own_name,
             std::vector<std::string> seeds);

  using OnMemberFrame =
      std::function<void(const std::string& member, wire::FrameT& frame)>;
  using OnMemberConnect = std::function<void(const std::string& member)>;

  /** Sets functions that are told of each frame and connection first. */
  void SetObservers(OnMemberFrame on_frame, OnMemberConnect on_connect) {
    m_on_member_frame = std::move(on_frame);
    m_on_member_connect = std::move(on_connect);
  }
  void Start();
  void Stop();
  /** Replaces the initial addresses; members learned from the group remain. */
  void SetSeeds(std::vector<std::string> seeds);

  boost::asio::awaitable<wire::CallReplyT> Call(wire::CallBodyUnion body,
                                                Instant deadline);
  /** Ends the calls in progress, e.g. because this member leads now. */
  void EndCalls();
  /**
   * Refuses calls while more than this waits to be sent to the leader. They
   * have not run.
   */
  void LimitUnsentBytes(std::size_t bytes) { m_max_unsent_bytes = bytes; }
  /** Later calls end at `deadline` at the latest, e.g. before a shutdown. */
  void LimitCalls(Instant deadline) { m_latest_deadline = deadline; }

  /**
   * Sends a frame to a member. While there is no connection to the member, the
   * frame is dropped; the first call for a member starts to connect to it.
   * @return whether there was a connection to send on; false for the own name.
   */
  bool Send(const std::string& peer, const wire::FrameT& frame);

  /**
   * @return whether this process is the leader, or a frame of the leader
   * arrived or the connection to it was set up or reset within the last `age`;
   * false while the leader is unknown
   */
  bool HasRecentLeaderContact(Instant now, Duration age) const;
  using OnLimits = std::function<void(const wire::RequestLimitsT& limits)>;
  /** Sets a function that is told of the request limits in a leader's view. */
  void SetLimitsObserver(OnLimits on_limits) {
    m_on_limits = std::move(on_limits);
  }
  /** Address of the leader; empty while unknown. */
  const std::string& leader() const { return m_leader; }
  const std::set<std::string>& members() const { return m_members; }

 private:
  /** A call that has no final outcome yet. */
  struct PendingCall {
    explicit PendingCall(const boost::asio::any_io_executor& executor)
        : m_timer(executor) {}
    // Ends a wait: expires, or is cancelled by a reply, a new leader, or a new
    // connection to the receiver.
    boost::asio::steady_timer m_timer;
    std::string m_peer;  // Receiver of the current attempt.
    std::optional<wire::CallReplyT> m_reply;
    bool m_ended = false;  // By EndCalls.
  };

  void OnConnect(const std::string& peer);
  void OnFrame(const std::string& peer, std::unique_ptr<wire::FrameT> frame);
  void OnView(const std::string& peer, const wire::GroupViewT& view);
  void ScheduleProbe();
  void Probe();
  boost::asio::awaitable<void> Wait(PendingCall& pending, Duration duration);

  boost::asio::any_io_executor m_executor;
  std::string m_own_name;
  OnMemberFrame m_on_member_frame;      // May be empty.
  OnMemberConnect m_on_member_connect;  // May be empty.
  OnLimits m_on_limits;                 // May be empty.
  std::vector<std::string> m_seeds;
  PeerTable m_peers;
  std::set<std::string> m_members;
  // By peer: when its last frame arrived, or its connection was set up or
  // reset.
  std::map<std::string, Instant> m_last_received;
  std::string m_leader;  // Empty: unknown.
  std::uint64_t m_leader_term = 0;
  // By call id.
  std::map<std::uint64_t, std::shared_ptr<PendingCall>> m_pending;
  std::uint64_t m_next_id = 1;
  Instant m_latest_deadline = Instant::max();
  std::size_t m_max_unsent_bytes = std::numeric_limits<std::size_t>::max();
  boost::asio::steady_timer m_probe_timer;
  Instant m_probe_due;
  bool m_stopped = false;
};

}  // namespace bronzebarrow::node

#endif  // BRONZEBARROW_NODE_LEADER_LINK_H_
