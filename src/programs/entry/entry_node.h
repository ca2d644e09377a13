// An entry: the I/O layer around the router and the configuration lease.
#ifndef BRONZEBARROW_SRC_PROGRAMS_ENTRY_ENTRY_NODE_H_
#define BRONZEBARROW_SRC_PROGRAMS_ENTRY_ENTRY_NODE_H_

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "bronzebarrow/base.h"
#include "bronzebarrow/net.h"
#include "bronzebarrow/routing.h"
#include "programs/entry/caller_request.h"
#include "programs/entry/control_link.h"
#include "programs/entry/entry_settings.h"

namespace bronzebarrow::programs {

/**
 * Serves callers, targets and the other entries over HTTP and frames. Worker
 * threads share the routing state. Lock order: m_routing_mutex before the leaf
 * locks of the control link's lease, the target connections and the metrics; no
 * lock is held across a co_await.
 */
class EntryNode : public std::enable_shared_from_this<EntryNode> {
 public:
  EntryNode(boost::asio::any_io_executor executor, EntrySettings settings);

  Result<void> Start();
  /**
   * Stops gracefully: readiness fails, new requests are still served for the
   * grace period, then no connection is accepted, requests in flight and ledger
   * calls finish within the maximum deadline, and `on_stopped` is called.
   */
  void Stop(std::function<void()> on_stopped);

 private:
  /** A request that waits in the router's queue. */
  struct WaitingCall {
    explicit WaitingCall(const boost::asio::any_io_executor& executor)
        : m_wait_timer(executor) {}
    boost::asio::steady_timer m_wait_timer;  // Accessed only on its executor.
    std::optional<routing::Dispatch> m_dispatch;
    std::optional<ErrorCode> m_refusal;
  };
  /** A dispatch, or the code of the refusal. */
  struct RouteResult {
    std::optional<routing::Dispatch> m_dispatch;
    ErrorCode m_code = ErrorCode::kInternal;
  };
  /** The state of one caller's request while it is served. */
  struct RequestState {
    CallerRequest m_call;
    std::string m_request_id;
    bool m_granted = false;  // The ledger granted execution of the key.
    int m_attempts = 0;
  };
  /** The result of one attempt: a response, or the code of its failure. */
  struct AttemptResult {
    std::optional<net::HttpResponse> m_response;
    ErrorCode m_code = ErrorCode::kInternal;
    // Sent to a target that did not answer.
    bool m_may_have_executed = false;
  };

  boost::asio::awaitable<net::HttpResponse> Handle(
      const net::HttpRequest& request);
  net::HttpResponse HandleAnnounce(const net::HttpRequest& request);
  net::HttpResponse HandleReady() const;
  net::HttpResponse HandleStatus() const;
  std::string MetricsText();

  // Callers' requests.
  boost::asio::awaitable<net::HttpResponse> ServeCaller(
      const net::HttpRequest& request);
  boost::asio::awaitable<net::HttpResponse> ServeRequest(
      const net::HttpRequest& request, RequestState state);
  boost::asio::awaitable<AttemptResult> AttemptRequest(
      const net::HttpRequest& request, RequestState& state);
  boost::asio::awaitable<RouteResult> RouteCall(const CallerRequest& call);
  boost::asio::awaitable<std::optional<net::HttpResponse>> RequestGrant(
      RequestState& state);
  boost::asio::awaitable<net::HttpResponse> Refuse(const RequestState& state,
                                                   ErrorCode code);
  net::HttpResponse ResponseFromLedger(const wire::LedgerReplyT& reply) const;
  void RecordResponse(const RequestState& state,
                      const net::HttpResponse& response);
  /** Sends a command to the ledger in the background. */
  void RecordInBackground(wire::LedgerCommandT command);
  wire::LedgerCommandT MakeLedgerCommand(wire::LedgerOp op,
                                         const RequestState& state) const;
  /** @return the labels of a plan's metrics; empty for an unknown plan. */
  std::string LabelsOf(const std::string& plan) const;
  void ObserveQueueTime(const CallerRequest& call, Instant queued);
  void CountCall(const CallerRequest& call, const net::HttpResponse& response);
  bool TryConsumeRetry(const std::string& plan);

  // Routing.
  void FinishDispatch(const routing::Dispatch& dispatch,
                      routing::TargetOutcome outcome);
  void ApplyActions(const routing::RouterActions& actions);
  /** Passes the router's decision to a waiting request and resumes it. */
  void ResumeWaiting(std::uint64_t request_id,
                     std::optional<routing::Dispatch> dispatch,
                     std::optional<ErrorCode> refusal);
  bool HoldsLease() const;

  // State from the control group and from targets.
  EntryReport MakeReport(ReportScope scope) const;
  void OnUpdate(const wire::StateUpdateT& update);
  /** Applies an announcement received from a target or from another entry. */
  void ApplyAnnouncement(const wire::AnnouncementT& announcement,
                         bool from_target);
  void OnPeerFrame(const wire::FrameT& frame);
  /**
   * Applies another entry's refreshes and queries it for the announcements of
   * the targets or incarnations that are unknown here.
   */
  void ApplyRefreshes(const std::string& sender,
                      const std::vector<wire::Refresh>& refreshes);
  void ReplyToQuery(const std::string& sender,
                    const std::vector<std::uint64_t>& name_hashes);
  /** Sends the pending announcements and refreshes to the other entries. */
  void FlushAnnouncements();
  template <typename Message>
  wire::FrameT MakeFrame(Message message) const;
  void ScheduleTick();

  EntrySettings m_settings;
  boost::asio::any_io_executor m_executor;
  boost::asio::steady_timer m_tick_timer;
  net::TargetPool m_target_connections;
  std::shared_ptr<ControlLink> m_control_link;
  std::map<std::string, std::shared_ptr<net::FrameDialer>> m_peers;
  std::shared_ptr<net::Acceptor> m_acceptor;
  std::shared_ptr<net::HttpServer> m_http;
  Metrics m_metrics;
  // Random for each process start, so that ledger attempts of an earlier start
  // are told apart.
  std::uint64_t m_boot_id = 0;
  std::atomic<std::uint64_t> m_next_request{1};
  std::atomic<bool> m_stopping{false};
  std::atomic<bool> m_had_lease{false};
  std::atomic<int> m_background_calls{0};  // Background ledger calls in flight.

  mutable std::mutex m_routing_mutex;  // Guards all members below.
  routing::Router m_router;
  std::map<std::uint64_t, std::shared_ptr<WaitingCall>> m_waiting;
  std::map<std::string, routing::RetryBudget> m_retry_budgets;
  // Changed announcements, by instance; sent to the other entries on each tick.
  std::map<std::string, wire::AnnouncementT> m_changed_announcements;
  // Repeated announcements, by name hash; sent in batches at m_next_refresh.
  std::map<std::uint64_t, wire::Refresh> m_pending_refreshes;
  Instant m_next_refresh;
  std::uint64_t m_config_version = 0;  // Never decreases.
  std::uint64_t m_fleet_version = 0;   // Never decreases.
  std::map<std::string, std::string> m_class_of_plan;
};

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_ENTRY_ENTRY_NODE_H_
