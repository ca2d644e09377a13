// One member of the control group: the shell round the consensus core, the
// control state and the lease keeper.
#ifndef BRONZEBARROW_SRC_PROGRAMS_CONTROL_CONTROL_NODE_H_
#define BRONZEBARROW_SRC_PROGRAMS_CONTROL_CONTROL_NODE_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/json/object.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bronzebarrow/base.h"
#include "bronzebarrow/consensus.h"
#include "bronzebarrow/control.h"
#include "bronzebarrow/net.h"
#include "programs/control/control_settings.h"

namespace bronzebarrow::programs {

/**
 * All members are touched on m_strand only. Writes to disk run on a thread of
 * their own, one batch at a time, and their completion returns to the strand.
 */
class ControlNode : public std::enable_shared_from_this<ControlNode> {
 public:
  ControlNode(boost::asio::any_io_executor executor, ControlSettings settings,
              std::unique_ptr<consensus::LogStore> store);

  Result<void> Start();
  void Stop();

  /** Serves operators, health and metrics; callable from any thread. */
  boost::asio::awaitable<net::HttpResponse> Handle(
      const net::HttpRequest& request);

 private:
  /** A connected entry or peer, as far as it said who it is. */
  struct Session {
    std::string m_entry;
    std::uint64_t m_pushed_config = 0;
    std::uint64_t m_pushed_fleet = 0;
  };
  /** An action that waits for a proof of leadership. */
  struct PendingProof {
    std::uint64_t m_round = 0;
    std::uint64_t m_read_index = 0;
    std::function<void(bool proven)> m_done;
  };
  using OnApplied = std::function<void(const control::ApplyResult*)>;

  // Events.
  void OnFrame(const net::FrameConnectionPtr& connection,
               std::unique_ptr<wire::FrameT> frame);
  void OnLeaseRequest(const net::FrameConnectionPtr& connection,
                      const std::string& entry,
                      const wire::LeaseRequestT& request);
  void OnLedgerRequest(const net::FrameConnectionPtr& connection,
                       const wire::LedgerRequestT& request);
  void ScheduleTick();

  // Consensus.
  void Drain();
  void SendMessages();
  void StartBatch();
  void ApplyCommitted();
  void NoteRole();
  void CompactIfLong();
  bool Propose(wire::CommandBodyUnion body, OnApplied on_applied);
  void RequestProof(std::function<void(bool proven)> done);
  void SettleProofs();
  void FailWaiting();
  bool LeadsReady() const;

  // Leader's duties.
  void RunDuties(Instant now);
  void ProposeDuty(wire::CommandBodyUnion body);
  void WatchStops(Instant now);
  void WatchWaves();
  void WatchInstances(Instant now);

  // Entries.
  void Reply(const net::FrameConnectionPtr& connection, wire::BodyUnion body);
  void PushState(const net::FrameConnectionPtr& connection, Session& session);
  void PushStateToAll();
  wire::StateUpdateT MakeUpdate(bool with_lists) const;

  // Operators.
  struct CallResult {
    bool m_done = false;
    control::ApplyResult m_result;
  };
  boost::asio::awaitable<net::HttpResponse> HandleOnStrand(
      net::HttpRequest request);
  boost::asio::awaitable<CallResult> Call(wire::CommandBodyUnion body);
  boost::asio::awaitable<bool> Prove();
  boost::asio::awaitable<net::HttpResponse> HandleStatus();
  boost::asio::awaitable<net::HttpResponse> HandleApply(
      const boost::json::object& body);
  boost::asio::awaitable<net::HttpResponse> HandleStop(
      const boost::json::object& body);
  boost::asio::awaitable<net::HttpResponse> HandleCancel(
      const boost::json::object& body);
  boost::asio::awaitable<net::HttpResponse> HandleWave(
      const boost::json::object& body);
  boost::asio::awaitable<net::HttpResponse> HandleWaveUpdate(
      const boost::json::object& body);
  net::HttpResponse RefuseNotLeader() const;
  net::HttpResponse AnswerOutcome(const CallResult& result) const;
  boost::json::object StatusJson(Instant now) const;
  std::string MetricsText();

  struct Route;
  static const std::vector<Route>& Routes();

  ControlSettings m_settings;
  boost::asio::any_io_executor m_executor;
  boost::asio::strand<boost::asio::any_io_executor> m_strand;
  boost::asio::thread_pool m_disk{1};
  boost::asio::steady_timer m_tick;

  std::unique_ptr<consensus::LogStore> m_store;
  consensus::Replica m_replica;
  control::ControlState m_state;
  std::uint64_t m_applied_index = 0;
  std::uint64_t m_last_compacted = 0;
  consensus::Role m_last_role = consensus::Role::kLearner;
  std::uint64_t m_last_term = 0;

  std::optional<control::LeaseKeeper> m_keeper;  // While leading.
  std::map<std::uint64_t, OnApplied> m_waiting;  // By command token.
  std::vector<PendingProof> m_proofs;
  std::uint64_t m_next_token = 0;
  Instant m_next_duty;
  int m_duties_in_flight = 0;
  std::set<std::string> m_refused_observations;

  std::map<std::string, std::shared_ptr<net::FrameDialer>> m_peers;
  std::map<net::FrameConnectionPtr, Session> m_sessions;
  std::shared_ptr<net::Acceptor> m_acceptor;
  std::shared_ptr<net::HttpServer> m_http;
  Metrics m_metrics;
  bool m_stopping = false;
};

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_CONTROL_CONTROL_NODE_H_
