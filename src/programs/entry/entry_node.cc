// EntryNode: start, stop, ticks, state updates, and the readiness, status and
// metrics endpoints.
#include "programs/entry/entry_node.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <random>
#include <utility>

#include "programs/process_usage.h"

namespace bronzebarrow::programs {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr Duration kTickInterval = Millis(20);
constexpr Duration kStopPoll = Millis(20);

}  // namespace

EntryNode::EntryNode(asio::any_io_executor executor, EntrySettings settings)
    : m_settings(std::move(settings)),
      m_executor(executor),
      m_tick_timer(executor),
      m_target_connections(executor),
      m_control_link(std::make_shared<ControlLink>(executor, m_settings)),
      m_router(m_settings.m_router) {
  std::random_device random;
  m_boot_id = (static_cast<std::uint64_t>(random()) << 32) | random();
  for (const auto& [name, address] : m_settings.m_peers) {
    m_peers[name] = std::make_shared<net::FrameDialer>(
        executor, net::FrameDialer::Options{name, address});
  }
}

Result<void> EntryNode::Start() {
  const auto self = shared_from_this();
  for (auto& [name, peer] : m_peers) {
    peer->Start([](std::unique_ptr<wire::FrameT>) {}, [] {});
  }
  const auto on_socket = [self](asio::ip::tcp::socket socket) {
    auto connection = std::make_shared<net::FrameConnection>(std::move(socket));
    connection->Start(
        [self](const net::FrameConnectionPtr&,
               std::unique_ptr<wire::FrameT> frame) {
          self->OnPeerFrame(*frame);
        },
        [](const net::FrameConnectionPtr&) {});
  };
  BOOST_LEAF_ASSIGN(
      m_acceptor,
      net::Acceptor::Listen(m_executor, m_settings.m_listen, on_socket));
  BOOST_LEAF_ASSIGN(
      m_http, net::HttpServer::Listen(m_executor, m_settings.m_http,
                                      [self](const net::HttpRequest& request) {
                                        return self->Handle(request);
                                      }));
  m_control_link->Start(
      [self](ReportScope scope) { return self->MakeReport(scope); },
      [self](const wire::StateUpdateT& update) { self->OnUpdate(update); });
  ScheduleTick();
  return {};
}

void EntryNode::Stop(std::function<void()> on_stopped) {
  m_stopping = true;
  const auto drain = [self = shared_from_this(),
                      stopped =
                          std::move(on_stopped)]() -> asio::awaitable<void> {
    asio::steady_timer timer(self->m_executor, self->m_settings.m_stop_grace);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    self->m_http->StopAccepting();
    const Instant limit = Now() + self->m_settings.m_max_deadline;
    while (
        (self->m_http->ActiveRequests() > 0 || self->m_background_calls > 0) &&
        Now() < limit) {
      timer.expires_after(kStopPoll);
      co_await timer.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
    }
    stopped();
  };
  asio::co_spawn(m_executor, drain, asio::detached);
}

void EntryNode::ScheduleTick() {
  m_tick_timer.expires_after(kTickInterval);
  m_tick_timer.async_wait([self = shared_from_this()](const auto& error) {
    if (error) {
      return;
    }
    routing::RouterActions actions;
    {
      const std::lock_guard lock(self->m_routing_mutex);
      actions = self->m_router.Advance(Now());
    }
    self->ApplyActions(actions);
    self->FlushAnnouncements();
    const bool has_lease = self->HoldsLease();
    if (self->m_had_lease.exchange(has_lease) != has_lease) {
      EventLine(has_lease ? Event::kLeaseGained : Event::kLeaseLost,
                has_lease ? Severity::kInfo : Severity::kWarning)
          .Field("entry", self->m_settings.m_name);
    }
    self->ScheduleTick();
  });
}

bool EntryNode::HoldsLease() const {
  std::uint64_t config = 0;
  std::uint64_t fleet = 0;
  {
    const std::lock_guard lock(m_routing_mutex);
    config = m_config_version;
    fleet = m_fleet_version;
  }
  return config > 0 && m_control_link->HoldsLease(config, fleet);
}

EntryReport EntryNode::MakeReport(ReportScope scope) const {
  const std::lock_guard lock(m_routing_mutex);
  EntryReport report;
  report.m_config_version = m_config_version;
  report.m_fleet_version = m_fleet_version;
  report.m_drained_stops = m_router.DrainedStops();
  if (scope == ReportScope::kComplete) {
    report.m_observations = m_router.Observations();
  }
  return report;
}

void EntryNode::OnUpdate(const wire::StateUpdateT& update) {
  std::shared_ptr<const fleet::Lists> lists;
  if (update.has_lists && update.config_version > 0) {
    auto parsed = Capture<fleet::Lists>(
        [&] { return fleet::Lists::Parse(update.plans, update.uses); });
    BRONZEBARROW_INVARIANT(std::holds_alternative<fleet::Lists>(parsed));
    lists = std::make_shared<const fleet::Lists>(
        std::move(std::get<fleet::Lists>(parsed)));
  }
  const std::lock_guard lock(m_routing_mutex);
  if (lists && update.config_version > m_config_version) {
    m_config_version = update.config_version;
    m_class_of_plan.clear();
    for (const auto& [name, plan] : lists->m_plans) {
      m_class_of_plan[name] = std::string(NameOf(plan.m_class));
    }
    m_router.SetLists(std::move(lists));
    EventLine(Event::kConfigInForce)
        .Field("entry", m_settings.m_name)
        .Field("version", m_config_version);
  }
  if (update.fleet_version > m_fleet_version) {
    std::vector<wire::StopNoticeT> stops;
    for (const auto& stop : update.stops) {
      stops.push_back(*stop);
    }
    m_router.SetStops(std::move(stops));
    m_fleet_version = update.fleet_version;
  }
}

asio::awaitable<net::HttpResponse> EntryNode::Handle(
    const net::HttpRequest& request) {
  const std::string path(request.target());
  if (path == "/healthz") {
    co_return net::MakeResponse(http::status::ok, "text/plain", "ok\n");
  }
  if (path == "/readyz") {
    co_return HandleReady();
  }
  if (path == "/metrics") {
    co_return net::MakeResponse(http::status::ok, "text/plain; version=0.0.4",
                                MetricsText());
  }
  if (path == "/v1/status") {
    co_return HandleStatus();
  }
  if (path == "/v1/announce") {
    co_return HandleAnnounce(request);
  }
  co_return co_await ServeCaller(request);
}

net::HttpResponse EntryNode::HandleReady() const {
  if (m_stopping) {
    return net::MakeErrorResponse(http::status::service_unavailable,
                                  ErrorCode::kShuttingDown, m_settings.m_name);
  }
  if (!HoldsLease()) {
    return net::MakeErrorResponse(http::status::service_unavailable,
                                  ErrorCode::kLeaseMissing, m_settings.m_name);
  }
  return net::MakeResponse(http::status::ok, "text/plain", "ready\n");
}

net::HttpResponse EntryNode::HandleStatus() const {
  json::object status;
  status["entry"] = m_settings.m_name;
  status["zone"] = m_settings.m_zone;
  status["ready"] = HoldsLease() && !m_stopping;
  const std::lock_guard lock(m_routing_mutex);
  status["config_version"] = m_config_version;
  status["fleet_version"] = m_fleet_version;
  status["in_flight"] = m_router.InFlight();
  status["waiting"] = m_router.WaitingCount();
  json::array targets;
  for (const auto& [name, target] : m_router.targets()) {
    const bool stopping =
        m_router.OpenStopOf(name, target.m_incarnation) != nullptr;
    targets.push_back({{"instance", name},
                       {"pool", target.m_pool},
                       {"zone", target.m_zone},
                       {"address", target.m_address.Text()},
                       {"incarnation", target.m_incarnation},
                       {"leaving", target.m_announced_leaving || stopping},
                       {"in_flight", target.m_in_flight}});
  }
  status["targets"] = std::move(targets);
  return net::MakeResponse(http::status::ok, "application/json",
                           json::serialize(status) + "\n");
}

std::string EntryNode::MetricsText() {
  const bool has_lease = HoldsLease();
  {
    const std::lock_guard lock(m_routing_mutex);
    m_metrics.SetGauge("bronzebarrow_entry_has_lease", "", has_lease ? 1 : 0);
    m_metrics.SetGauge("bronzebarrow_entry_config_version", "",
                       static_cast<double>(m_config_version));
    m_metrics.SetGauge("bronzebarrow_entry_targets", "",
                       static_cast<double>(m_router.targets().size()));
    m_metrics.SetGauge("bronzebarrow_entry_in_flight", "",
                       static_cast<double>(m_router.InFlight()));
    m_metrics.SetGauge("bronzebarrow_entry_waiting", "",
                       static_cast<double>(m_router.WaitingCount()));
  }
  PublishProcessUsage(m_metrics);
  return m_metrics.Expose();
}

}  // namespace bronzebarrow::programs
