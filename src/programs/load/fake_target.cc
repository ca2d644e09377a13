// Service, announcements and restart of a fake target.
#include "programs/load/fake_target.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>
#include <utility>

namespace bronzebarrow::programs {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr Duration kAnnounceTimeout = Millis(800);
constexpr int kMaxServiceFactor = 10;  // Bound, as a multiple of the mean.

asio::awaitable<void> WaitFor(Duration span) {
  asio::steady_timer timer(co_await asio::this_coro::executor, span);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace

FakeTarget::FakeTarget(asio::any_io_executor executor,
                       const LoadSettings& settings, FakeTargetSpec spec,
                       ExecutionRecord& record, std::uint64_t seed)
    : m_executor(executor),
      m_settings(settings),
      m_spec(std::move(spec)),
      m_record(record),
      m_entry_connections(executor),
      m_incarnation(WallMillis()),
      m_next_entry(seed),
      m_random(seed) {}

Result<void> FakeTarget::Listen() {
  BOOST_LEAF_ASSIGN(
      m_server, net::HttpServer::Listen(
                    m_executor, m_spec.m_address,
                    [self = shared_from_this()](const net::HttpRequest& from) {
                      return self->Serve(from);
                    }));
  return {};
}

Result<void> FakeTarget::Start() {
  BOOST_LEAF_CHECK(Listen());
  asio::co_spawn(
      asio::make_strand(m_executor),
      [self = shared_from_this()] { return self->AnnounceLoop(); },
      asio::detached);
  return {};
}

Duration FakeTarget::SampleServiceTime() {
  if (m_settings.m_service == Duration::zero()) {
    return Duration::zero();
  }
  const std::lock_guard lock(m_random_mutex);
  std::exponential_distribution<double> draw(1.0);
  const double factor = std::min<double>(draw(m_random), kMaxServiceFactor);
  return std::chrono::duration_cast<Duration>(m_settings.m_service * factor);
}

asio::awaitable<net::HttpResponse> FakeTarget::Serve(
    const net::HttpRequest& request) {
  const auto key = request["Idempotency-Key"];
  m_record.CountExecution({key.begin(), key.end()});
  const Duration service = SampleServiceTime();
  if (service > Duration::zero()) {
    co_await WaitFor(service);
  }
  json::object answer;
  answer["instance"] = m_spec.m_instance;
  answer["path"] = std::string(request.target());
  answer["key"] = std::string(key.begin(), key.end());
  co_return net::MakeResponse(http::status::ok, "application/json",
                              json::serialize(answer));
}

asio::awaitable<void> FakeTarget::AnnounceLoop() {
  while (true) {
    const std::string state = co_await Announce();
    if (state == "released") {
      co_await Restart();
      continue;
    }
    co_await WaitFor(m_settings.m_announce_interval);
  }
}

// Announces to the next entry that responds. Returns the state in its response,
// or an empty string if no entry responded.
asio::awaitable<std::string> FakeTarget::Announce() {
  json::object body;
  body["instance"] = m_spec.m_instance;
  body["pool"] = m_spec.m_pool;
  body["zone"] = m_spec.m_zone;
  body["rack"] = m_spec.m_rack;
  body["host"] = m_spec.m_address.m_host;
  body["port"] = m_spec.m_address.m_port;
  body["slots"] = m_settings.m_slots;
  body["connections"] = m_settings.m_connections;
  body["incarnation"] = m_incarnation;
  body["sequence"] = ++m_sequence;
  body["ttl_ms"] =
      std::chrono::duration_cast<Millis>(m_settings.m_announce_ttl).count();
  body["state"] = "serving";
  for (std::size_t i = 0; i < m_settings.m_entries.size(); ++i) {
    const Address entry =
        m_settings.m_entries[m_next_entry++ % m_settings.m_entries.size()];
    const Instant deadline = Now() + kAnnounceTimeout;
    auto connection = co_await m_entry_connections.Acquire(entry, deadline);
    if (!connection) {
      continue;
    }
    net::HttpRequest request(http::verb::post, "/v1/announce", 11);
    request.set(http::field::host, entry.Text());
    request.body() = json::serialize(body);
    request.prepare_payload();
    const net::ExchangeResult result = co_await m_entry_connections.Exchange(
        std::move(connection), entry, std::move(request), deadline);
    if (result.m_verdict != net::ExchangeVerdict::kAnswered) {
      continue;
    }
    boost::system::error_code error;
    const json::value answer = json::parse(result.m_response.body(), error);
    const auto* const state = !error && answer.is_object()
                                  ? answer.as_object().if_contains("state")
                                  : nullptr;
    if (state != nullptr && state->is_string()) {
      co_return std::string(state->as_string());
    }
  }
  co_return "";
}

asio::awaitable<void> FakeTarget::Restart() {
  m_record.CountInterrupted(m_server->ActiveRequests());
  m_record.CountStop();
  m_server->StopAccepting();
  m_server->CloseAll();
  co_await WaitFor(m_settings.m_restart);
  m_incarnation = std::max(m_incarnation + 1, WallMillis());
  m_sequence = 0;
  const auto listened = Capture<bool>([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(Listen());
    return true;
  });
  if (const auto* failure = std::get_if<Failure>(&listened)) {
    std::cerr << m_spec.m_instance << ": " << Describe(*failure) << "\n";
  }
}

}  // namespace bronzebarrow::programs
