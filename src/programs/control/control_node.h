// One member of the control group: the shell round the control core.
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
  // Events.
  void OnFrame(const net::FrameConnectionPtr& connection,
               std::unique_ptr<wire::FrameT> frame);
  void OnClosed(const net::FrameConnectionPtr& connection);
  void ScheduleTick();

  /** Carries out what the core asks for. */
  void Flush();
  void SendToPeer(consensus::Outgoing message);
  void StartBatch();

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
  consensus::ReplicaId m_id;
  control::ControlCore m_core;

  std::map<std::string, std::shared_ptr<net::FrameDialer>> m_peers;
  // Both ways between connections and the core's sessions.
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
