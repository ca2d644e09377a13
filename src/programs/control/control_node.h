// I/O layer of one control member: connects the control core to the sockets,
// the timer, the disk and the operators' HTTP interface.
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
 * Runs one member of the control group. All data members are accessed on
 * m_strand only. Disk writes run on a thread of their own, one batch at a time;
 * their completion is posted back to the strand.
 */
class ControlNode : public std::enable_shared_from_this<ControlNode> {
 public:
  ControlNode(boost::asio::any_io_executor executor, ControlSettings settings,
              std::unique_ptr<consensus::LogStore> store);

  /** Opens the listeners, connects to the peers and starts the timer. */
  Result<void> Start();
  /** Posts the stop of listeners, peers and timer; waits for disk writes. */
  void Stop();

  /** Serves operators, health checks and metrics; thread-safe. */
  boost::asio::awaitable<net::HttpResponse> Handle(
      const net::HttpRequest& request);

 private:
  // Event handlers.
  /**
   * Passes lease and ledger requests to the core as messages of a session,
   * other frames as messages of a peer. Peer frames that are addressed to
   * another generation of this member are dropped; generation 0 matches any.
   */
  void OnFrame(const net::FrameConnectionPtr& connection,
               std::unique_ptr<wire::FrameT> frame);
  void OnClosed(const net::FrameConnectionPtr& connection);
  void ScheduleTick();

  /** Sends the core's outgoing messages and starts its next disk write. */
  void Flush();
  void SendToPeer(consensus::Outgoing message);
  /** Starts the disk write; a failed write ends the process. */
  void StartDiskWrite();

  // HTTP interface of the operators.
  struct CommandResult {
    // False when the command was not proposed, leadership was lost or the call
    // timed out: the outcome is unknown.
    bool m_is_applied = false;
    control::ApplyResult m_result;
  };
  boost::asio::awaitable<net::HttpResponse> HandleOnStrand(
      net::HttpRequest request);
  /** Proposes a command and waits until it is applied. */
  boost::asio::awaitable<CommandResult> ProposeAndWait(
      wire::CommandBodyUnion body);
  /** @return whether a quorum has confirmed in time that this member leads. */
  boost::asio::awaitable<bool> ConfirmLeadership();
  boost::asio::awaitable<net::HttpResponse> HandleStatus();
  boost::asio::awaitable<net::HttpResponse> HandleApply(
      const boost::json::object& body);
  boost::asio::awaitable<net::HttpResponse> HandleStop(
      const boost::json::object& body);
  boost::asio::awaitable<net::HttpResponse> HandleStopCancel(
      const boost::json::object& body);
  boost::asio::awaitable<net::HttpResponse> HandleWaveStart(
      const boost::json::object& body);
  boost::asio::awaitable<net::HttpResponse> HandleWaveUpdate(
      const boost::json::object& body);
  net::HttpResponse MakeNotLeaderResponse() const;
  net::HttpResponse MakeOutcomeResponse(const CommandResult& result) const;
  boost::json::object StatusJson(Instant now) const;
  std::string MetricsText();

  struct Route;
  static const std::vector<Route>& Routes();

  ControlSettings m_settings;
  boost::asio::any_io_executor m_executor;
  boost::asio::strand<boost::asio::any_io_executor> m_strand;
  boost::asio::thread_pool m_disk_thread{1};
  boost::asio::steady_timer m_tick_timer;

  std::unique_ptr<consensus::LogStore> m_store;
  consensus::ReplicaId m_id;
  control::ControlCore m_core;

  std::map<std::string, std::shared_ptr<net::FrameDialer>> m_peers;
  // Connections of entries and the core's session ids; inverse maps.
  std::map<net::FrameConnectionPtr, control::SessionId> m_session_ids;
  std::map<control::SessionId, net::FrameConnectionPtr> m_connections;
  control::SessionId m_next_session = 1;
  std::shared_ptr<net::Acceptor> m_acceptor;
  std::shared_ptr<net::HttpServer> m_http;
  Metrics m_metrics;
  bool m_stopping = false;
};

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_CONTROL_CONTROL_NODE_H_
