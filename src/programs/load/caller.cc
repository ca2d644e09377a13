// Arrival process, requests, and the check of the callers' outcomes.
#include "programs/load/caller.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>
#include <cmath>
#include <iomanip>
#include <map>
#include <utility>

#include "bronzebarrow/ledger/request_key.h"

namespace bronzebarrow::programs {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

// The demand of each plan alternates between a burst at five times the mean
// rate and a lull at a twentieth of it. The burst's share of the period keeps
// the mean. The plans' periods are offset, which spreads their bursts.
constexpr double kBurstFactor = 5.0;
constexpr double kLullFactor = 0.05;
constexpr double kBurstShare =
    (1.0 - kLullFactor) / (kBurstFactor - kLullFactor);
constexpr Duration kReadinessInterval = Millis(200);
constexpr Duration kAnswerGrace = Millis(2500);
// Longest wait before the arrival rate or the calls in flight are checked
// again.
constexpr Duration kPollInterval = Millis(50);

asio::awaitable<void> WaitUntil(Instant moment) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(moment - Now());
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

double Percentile(std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto at =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[at];
}

}  // namespace

Callers::Callers(asio::any_io_executor executor, const LoadSettings& settings,
                 std::uint64_t seed)
    : m_strand(asio::make_strand(executor)),
      m_settings(settings),
      m_connections(executor),
      m_random(seed),
      m_ready(settings.m_entries.size(), true) {}

void Callers::Start(Duration span, std::function<void()> done) {
  asio::co_spawn(
      m_strand,
      [self = shared_from_this(), span, done = std::move(done)] {
        return self->Run(span, done);
      },
      asio::detached);
}

asio::awaitable<void> Callers::Run(Duration span, std::function<void()> done) {
  m_start = Now();
  const Instant end = m_start + span;
  const auto self = shared_from_this();
  asio::co_spawn(
      m_strand, [self] { return self->WatchReadiness(); }, asio::detached);
  for (std::size_t plan = 0; plan < m_settings.m_demand.size(); ++plan) {
    asio::co_spawn(
        m_strand,
        [self, plan, end] { return self->GenerateArrivals(plan, end); },
        asio::detached);
  }
  co_await WaitUntil(end);
  while (m_in_flight > 0) {
    co_await WaitUntil(Now() + kPollInterval);
  }
  m_finished = true;
  done();
}

double Callers::CurrentRate(std::size_t plan) const {
  const double period =
      std::chrono::duration<double>(m_settings.m_demand_period).count();
  const double offset = period * static_cast<double>(plan) /
                        static_cast<double>(m_settings.m_demand.size());
  const double elapsed =
      std::chrono::duration<double>(Now() - m_start).count() + offset;
  const double phase = elapsed / period - std::floor(elapsed / period);
  return m_settings.m_demand[plan].m_rate *
         (phase < kBurstShare ? kBurstFactor : kLullFactor);
}

asio::awaitable<void> Callers::GenerateArrivals(std::size_t plan, Instant end) {
  std::exponential_distribution<double> unit_gap(1.0);
  double remaining = unit_gap(m_random);
  Instant last = Now();
  while (Now() < end) {
    const double rate = CurrentRate(plan);
    if (rate <= 0) {
      co_return;
    }
    const auto wait = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(remaining / rate));
    co_await WaitUntil(Now() + std::min<Duration>(wait, kPollInterval));
    remaining -= rate * std::chrono::duration<double>(Now() - last).count();
    last = Now();
    while (remaining <= 0) {
      ++m_in_flight;
      asio::co_spawn(
          m_strand,
          [self = shared_from_this(), plan] { return self->MakeCall(plan); },
          asio::detached);
      remaining += unit_gap(m_random);
    }
  }
}

Address Callers::NextReadyEntry() {
  for (std::size_t i = 0; i < m_ready.size(); ++i) {
    const std::size_t at = m_next_entry++ % m_ready.size();
    if (m_ready[at]) {
      return m_settings.m_entries[at];
    }
  }
  return m_settings.m_entries[m_next_entry++ % m_ready.size()];
}

asio::awaitable<void> Callers::WatchReadiness() {
  while (!m_finished) {
    for (std::size_t i = 0; i < m_settings.m_entries.size(); ++i) {
      const Address entry = m_settings.m_entries[i];
      const Instant deadline = Now() + kReadinessInterval;
      auto connection = co_await m_connections.Acquire(entry, deadline);
      bool ready = false;
      if (connection) {
        net::HttpRequest request(http::verb::get, "/readyz", 11);
        request.set(http::field::host, entry.Text());
        const net::ExchangeResult result = co_await m_connections.Exchange(
            std::move(connection), entry, std::move(request), deadline);
        ready = result.m_verdict == net::ExchangeVerdict::kAnswered &&
                result.m_response.result() == http::status::ok;
      }
      m_ready[i] = ready;
    }
    co_await WaitUntil(Now() + kReadinessInterval);
  }
}

asio::awaitable<void> Callers::MakeCall(std::size_t plan) {
  const std::size_t record = m_records.size();
  m_records.emplace_back();
  m_records[record].m_plan = plan;
  const bool keyed =
      static_cast<int>(m_random() % 100) < m_settings.m_keyed_percent;
  if (keyed) {
    m_records[record].m_key = ledger::MakeKey(WallMillis(), m_random);
  }
  const bool resend =
      keyed && static_cast<int>(m_random() % 100) < m_settings.m_resend_percent;
  const std::string path =
      "/work/" + std::to_string(record) + "-" + std::to_string(m_random());
  const Instant started = Now();
  const Instant deadline = started + m_settings.m_demand[plan].m_deadline;
  bool answered = co_await Send(record, path, deadline, false);
  const Instant first_answer = Now();
  m_records[record].m_latency_ms =
      std::chrono::duration<double, std::milli>(first_answer - started).count();
  if (keyed && (resend || !answered)) {
    answered = co_await Send(
        record, path, std::max(deadline, Now() + Millis(1000)), answered);
  }
  m_records[record].m_in_time =
      m_records[record].m_outcome == "ran" && first_answer <= deadline;
  --m_in_flight;
}

asio::awaitable<bool> Callers::Send(std::size_t index, const std::string& path,
                                    Instant deadline, bool is_resend) {
  const PlanDemand& demand = m_settings.m_demand[m_records[index].m_plan];
  const std::string key = m_records[index].m_key;
  const Address entry = NextReadyEntry();
  auto connection = co_await m_connections.Acquire(entry, deadline);
  if (!connection) {
    co_return false;
  }
  net::HttpRequest request(key.empty() ? http::verb::get : http::verb::post,
                           path, 11);
  request.set(http::field::host, entry.Text());
  request.set("Bronzebarrow-Plan", demand.m_plan);
  const auto remaining_ms =
      std::chrono::duration_cast<Millis>(deadline - Now()).count();
  request.set("Bronzebarrow-Deadline-Ms",
              std::to_string(std::max<std::int64_t>(remaining_ms, 1)));
  if (!key.empty()) {
    request.set("Idempotency-Key", key);
    request.body() = "place=" + path;
  }
  request.prepare_payload();
  const net::ExchangeResult result = co_await m_connections.Exchange(
      std::move(connection), entry, std::move(request),
      deadline + kAnswerGrace);
  if (result.m_verdict != net::ExchangeVerdict::kAnswered) {
    co_return false;
  }
  CallRecord& record = m_records[index];
  const auto header = result.m_response["Bronzebarrow-Outcome"];
  const std::string outcome(header.begin(), header.end());
  const bool is_final =
      record.m_outcome == "ran" || record.m_outcome == "not-run";
  if (is_resend && is_final && outcome != "unknown" &&
      outcome != record.m_outcome) {
    record.m_contradicted = true;
  }
  if (!is_resend || !is_final) {
    record.m_outcome = outcome;
    record.m_status = result.m_response.result_int();
  }
  if (outcome == "ran") {
    boost::system::error_code error;
    const json::value body = json::parse(result.m_response.body(), error);
    const bool matches = !error && body.is_object() &&
                         body.as_object().contains("path") &&
                         body.as_object().at("path") == json::value(path) &&
                         body.as_object().at("key") == json::value(key);
    record.m_mismatched = record.m_mismatched || !matches;
  }
  co_return true;
}

Violations Callers::FindViolations(const json::object& execution_record) const {
  Violations violations;
  const json::object& runs = execution_record.at("runs").as_object();
  for (const auto& item : runs) {
    violations.m_duplicate_executions +=
        item.value().to_number<std::uint64_t>() > 1 ? 1 : 0;
  }
  for (const CallRecord& record : m_records) {
    violations.m_mismatched += record.m_mismatched ? 1 : 0;
    violations.m_contradicted += record.m_contradicted ? 1 : 0;
    if (record.m_key.empty()) {
      continue;
    }
    const bool ran = runs.contains(record.m_key);
    violations.m_false_not_executed +=
        record.m_outcome == "not-run" && ran ? 1 : 0;
    violations.m_false_executed += record.m_outcome == "ran" && !ran ? 1 : 0;
  }
  violations.m_interrupted =
      execution_record.at("cut").to_number<std::size_t>();
  return violations;
}

void Callers::PrintSummary(std::ostream& out) const {
  out << std::left << std::setw(20) << "plan" << std::setw(11) << "class";
  for (const char* column : {"calls", "ran", "not-run", "unknown", "no-answer",
                             "in-time%", "p50ms", "p99ms"}) {
    out << std::setw(10) << column;
  }
  out << "\n" << std::fixed << std::setprecision(1);
  for (std::size_t plan = 0; plan < m_settings.m_demand.size(); ++plan) {
    std::map<std::string, std::size_t> outcomes;
    std::vector<double> latencies;
    std::size_t calls = 0;
    std::size_t in_time = 0;
    for (const CallRecord& record : m_records) {
      if (record.m_plan != plan) {
        continue;
      }
      ++calls;
      ++outcomes[record.m_outcome];
      in_time += record.m_in_time ? 1 : 0;
      if (record.m_outcome == "ran") {
        latencies.push_back(record.m_latency_ms);
      }
    }
    std::sort(latencies.begin(), latencies.end());
    const double share = calls == 0 ? 0
                                    : 100.0 * static_cast<double>(in_time) /
                                          static_cast<double>(calls);
    out << std::setw(20) << m_settings.m_demand[plan].m_plan << std::setw(11)
        << m_settings.m_demand[plan].m_class << std::setw(10) << calls
        << std::setw(10) << outcomes["ran"] << std::setw(10)
        << outcomes["not-run"] << std::setw(10) << outcomes["unknown"]
        << std::setw(10) << outcomes["no-answer"] << std::setw(10) << share
        << std::setw(10) << Percentile(latencies, 0.5) << std::setw(10)
        << Percentile(latencies, 0.99) << "\n";
  }
}

void Callers::WriteCsv(std::ostream& out) const {
  out << "plan,class,keyed,outcome,status,latency_ms,in_time\n";
  for (const CallRecord& record : m_records) {
    const PlanDemand& demand = m_settings.m_demand[record.m_plan];
    out << demand.m_plan << ',' << demand.m_class << ','
        << !record.m_key.empty() << ',' << record.m_outcome << ','
        << record.m_status << ',' << record.m_latency_ms << ','
        << record.m_in_time << '\n';
  }
}

}  // namespace bronzebarrow::programs
