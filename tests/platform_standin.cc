// Simulates the users' platform on loopback: runners that start, list and end
// tasks, an operator that sends one configuration, and callers that submit jobs
// and poll their state. Prints the counts and completion times of the jobs, and
// fails if a job was lost or did not complete or if a task ran twice. With
// --inventory it also serves the list of machines, with rows that cannot be
// read.
#include <gflags/gflags.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bronzebarrow/net.h"

DEFINE_string(front, "127.0.0.1:21001", "address of an entry");
DEFINE_string(controls, "127.0.0.1:21002",
              "comma-separated control addresses of the members");
DEFINE_int32(first_port, 22000, "port of the first runner");
DEFINE_string(inventory, "", "address of the list of machines; empty: none");
DEFINE_int32(runners, 12, "number of runners, spread over the pools");
DEFINE_int32(pools, 2, "number of pools, with one queue each");
DEFINE_int32(jobs_per_s, 5, "jobs submitted per second, over all queues");
DEFINE_int32(seconds, 5, "duration of the submission of jobs");
DEFINE_int32(tasks, 4, "tasks in each of the two steps of a job");
DEFINE_int32(task_ms, 300, "duration of a task");
DEFINE_int32(task_milli, 1000,
             "processor demand of a task, in thousandths of a core");
DEFINE_int32(finish_s, 20,
             "time limit for the remaining jobs after the last submission");

namespace bronzebarrow {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr Duration kHeartbeatInterval = Millis(1000);
constexpr Duration kCallTimeout = Millis(3000);
constexpr Duration kPollInterval = Millis(20);
constexpr int kCapacityMilli = 32'000;

std::int64_t ClockMs() {
  return std::chrono::duration_cast<Millis>(Now().time_since_epoch()).count();
}

asio::awaitable<void> Sleep(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<std::optional<net::HttpResponse>> Send(
    net::TargetPool& pool, const std::string& address, http::verb method,
    const std::string& target, const json::object* body) {
  const auto parsed = Capture<Address>([&] { return Address::Parse(address); });
  const auto& peer = std::get<Address>(parsed);
  const Instant deadline = Now() + kCallTimeout;
  const auto connection = co_await pool.Acquire(peer, deadline);
  if (!connection) {
    co_return std::nullopt;
  }
  net::HttpRequest request(method, target, 11);
  request.set(http::field::host, "standin.example");
  if (body != nullptr) {
    request.body() = json::serialize(*body);
  }
  request.prepare_payload();
  auto result =
      co_await pool.Exchange(connection, peer, std::move(request), deadline);
  if (result.m_verdict != net::ExchangeVerdict::kAnswered) {
    co_return std::nullopt;
  }
  co_return std::move(result.m_response);
}

/** Record of all runners' work, shared by them. */
struct RunHistory {
  // Number of running runs, by task.
  std::map<std::string, int> m_running;
  std::set<std::string> m_completed_tasks;
  std::size_t m_starts = 0;
  std::size_t m_hold_calls = 0;
  // Runners with a start in the second half of the submission of jobs.
  std::set<int> m_used_late;
  bool m_is_late = false;
  // Descriptions of violated guarantees.
  std::vector<std::string> m_violations;
};

/** One runner: an HTTP server that starts, lists and ends tasks. */
class Runner {
 public:
  Runner(int number, RunHistory& history)
      : m_number(number), m_history(history), m_born_ms(ClockMs()) {}

  Result<void> Listen(asio::io_context& io) {
    BOOST_LEAF_ASSIGN(
        m_server, net::HttpServer::Listen(
                      io.get_executor(),
                      {"127.0.0.1",
                       static_cast<std::uint16_t>(FLAGS_first_port + m_number)},
                      [this](const net::HttpRequest& request) {
                        return Handle(request);
                      }));
    return {};
  }

  std::string id() const { return "runner-" + std::to_string(m_number); }
  json::object Heartbeat(std::uint64_t sequence) const {
    return {
        {"service", "pool-" + std::to_string(m_number % FLAGS_pools)},
        {"address", "127.0.0.1:" + std::to_string(FLAGS_first_port + m_number)},
        {"zone", "z"},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"warmup_left_ms", 0},
        {"capacity", {{"cpu", kCapacityMilli}, {"mem_mb", 131072}, {"gpu", 0}}},
        {"labels", {"a", "r" + std::to_string(m_number / 4)}},
        {"machine", "m-" + std::to_string(m_number)},
        {"clock_ms", ClockMs()},
        {"born", m_born_ms},
        {"seq", sequence}};
  }

 private:
  struct Run {
    std::int64_t m_run_number = 0;
    Instant m_end;
  };

  void EndDueRuns() {
    for (auto run = m_running.begin(); run != m_running.end();) {
      if (run->second.m_end > Now()) {
        ++run;
        continue;
      }
      --m_history.m_running[run->first];
      m_history.m_completed_tasks.insert(run->first);
      m_unacknowledged_ends.push_back(
          {m_next_end++, run->first, run->second.m_run_number, "done", ""});
      run = m_running.erase(run);
    }
  }

  asio::awaitable<net::HttpResponse> Handle(const net::HttpRequest& request) {
    const json::object body = json::parse(request.body()).as_object();
    const auto target = request.target();
    json::object answer;
    EndDueRuns();
    if (target == "/v1/run-start") {
      Start(body);
    } else if (target == "/v1/run-stop") {
      const std::string task(body.at("task").as_string());
      const auto run = m_running.find(task);
      if (run != m_running.end()) {
        --m_history.m_running[task];
        m_unacknowledged_ends.push_back(
            {m_next_end++, task, run->second.m_run_number, "stopped", ""});
        m_running.erase(run);
      }
    } else if (target == "/v1/hold") {
      const auto last_seen = body.at("last_seen").to_number<std::int64_t>();
      std::erase_if(m_unacknowledged_ends, [&](const json::array& end) {
        return end.at(0).as_int64() <= last_seen;
      });
      const json::value* const wait = body.if_contains("wait_ms");
      const Instant until =
          Now() + Millis(wait == nullptr ? 0 : wait->to_number<std::int64_t>());
      while (m_unacknowledged_ends.empty() && Now() < until) {
        co_await Sleep(kPollInterval);
        EndDueRuns();
      }
      ++m_history.m_hold_calls;
      json::array running;
      for (const auto& [task, run] : m_running) {
        running.push_back(json::array{task, run.m_run_number, "", 100, 0});
      }
      json::array finished;
      for (const json::array& end : m_unacknowledged_ends) {
        finished.push_back(end);
      }
      answer["running"] = std::move(running);
      answer["finished"] = std::move(finished);
    }
    answer["clock_ms"] = ClockMs();
    answer["born"] = m_born_ms;
    co_return net::MakeResponse(http::status::ok, "application/json",
                                json::serialize(answer));
  }

  void Start(const json::object& body) {
    const std::string task(body.at("task").as_string());
    if (m_running.contains(task)) {
      return;
    }
    ++m_history.m_starts;
    if (m_history.m_is_late) {
      m_history.m_used_late.insert(m_number);
    }
    if (++m_history.m_running[task] > 1 ||
        m_history.m_completed_tasks.contains(task)) {
      m_history.m_violations.push_back("ran twice: " + task);
    }
    m_running[task] = {body.at("run_id").to_number<std::int64_t>(),
                       Now() + Millis(FLAGS_task_ms)};
  }

  int m_number;
  RunHistory& m_history;
  std::int64_t m_born_ms;
  std::shared_ptr<net::HttpServer> m_server;
  std::map<std::string, Run> m_running;
  std::vector<json::array> m_unacknowledged_ends;
  std::int64_t m_next_end = 1;
};

/** Starts the runners and acts as the operator and the callers. */
class Standin {
 public:
  explicit Standin(asio::io_context& io) : m_io(io), m_pool(io.get_executor()) {
    std::string remaining = FLAGS_controls;
    while (!remaining.empty()) {
      const std::size_t comma = std::min(remaining.find(','), remaining.size());
      m_controls.push_back(remaining.substr(0, comma));
      remaining.erase(0, comma + 1);
    }
  }

  int Run() {
    for (int i = 0; i < FLAGS_runners; ++i) {
      m_runners.push_back(std::make_unique<Runner>(i, m_history));
      const auto listening = Capture<bool>([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(m_runners.back()->Listen(m_io));
        return true;
      });
      if (const auto* failure = std::get_if<Failure>(&listening)) {
        std::cerr << Describe(*failure) << "\n";
        return 1;
      }
      asio::co_spawn(m_io, SendHeartbeats(*m_runners.back()), asio::detached);
    }
    std::shared_ptr<net::HttpServer> inventory;
    const auto listening = Capture<bool>([&]() -> Result<bool> {
      if (!FLAGS_inventory.empty()) {
        BOOST_LEAF_AUTO(address, Address::Parse(FLAGS_inventory));
        BOOST_LEAF_ASSIGN(
            inventory,
            net::HttpServer::Listen(m_io.get_executor(), address,
                                    [this](const net::HttpRequest& request) {
                                      return ListMachines(request);
                                    }));
      }
      return true;
    });
    if (const auto* failure = std::get_if<Failure>(&listening)) {
      std::cerr << Describe(*failure) << "\n";
      return 1;
    }
    asio::co_spawn(m_io, RunScenario(), asio::detached);
    m_io.run();
    return Report();
  }

 private:
  // Lists the machine of each runner between rows that another writer left.
  // Its machines are not moved.
  asio::awaitable<net::HttpResponse> ListMachines(
      const net::HttpRequest& request) {
    if (request.method() != http::verb::get) {
      co_return net::MakeResponse(http::status::bad_request, "application/json",
                                  "{}");
    }
    const std::string deep = std::string(60, '[') + std::string(60, ']');
    std::string rows = R"({"machine":"odd-1","state":"down","labels":)" + deep +
                       R"(},{"machine":7},{"machine":"odd-2","slots":1e999},7)";
    for (const auto& runner : m_runners) {
      const json::object beat = runner->Heartbeat(0);
      rows +=
          "," + json::serialize(json::object{{"machine", beat.at("machine")},
                                             {"pool", beat.at("service")},
                                             {"state", "up"},
                                             {"zone", beat.at("zone")},
                                             {"labels", beat.at("labels")},
                                             {"capacity", beat.at("capacity")},
                                             {"id", runner->id()}});
    }
    co_return net::MakeResponse(http::status::ok, "application/json",
                                R"({"machines":[)" + rows + "]}");
  }

  // Sends a POST to the control addresses in turn, starting at the one that
  // last succeeded, until one responds with success.
  asio::awaitable<bool> SendControl(const std::string& target,
                                    const json::object& body) {
    for (std::size_t i = 0; i < m_controls.size(); ++i) {
      const auto response = co_await Send(m_pool, m_controls[m_control_index],
                                          http::verb::post, target, &body);
      if (response && response->result() == http::status::ok) {
        co_return true;
      }
      m_control_index = (m_control_index + 1) % m_controls.size();
    }
    co_return false;
  }

  asio::awaitable<void> SendHeartbeats(Runner& runner) {
    std::uint64_t sequence = 1;
    while (!m_finished) {
      const json::object heartbeat = runner.Heartbeat(sequence++);
      co_await SendControl("/v1/instances/" + runner.id() + "/heartbeat",
                           heartbeat);
      co_await Sleep(kHeartbeatInterval);
    }
  }

  json::object Config() const {
    json::array routes;
    json::array services;
    for (int pool = 0; pool < FLAGS_pools; ++pool) {
      const std::string number = std::to_string(pool);
      routes.push_back(json::object{{"name", "queue-" + number},
                                    {"host", "standin.example"},
                                    {"path_prefix", "/queue-" + number + "/"},
                                    {"type", "non_idempotent"},
                                    {"timeout_ms", 3000},
                                    {"target_duration_ms", 600},
                                    {"priority", 0},
                                    {"service", "pool-" + number},
                                    {"attempts", 3},
                                    {"slack_factor", 3.0}});
      services.push_back(json::object{{"name", "pool-" + number},
                                      {"health_path", "/healthz"},
                                      {"max_connections", 64},
                                      {"protocol", "h1"},
                                      {"tls", false},
                                      {"rejects_overload", true},
                                      {"standby", false}});
    }
    return {{"version", 7},
            {"routes", std::move(routes)},
            {"services", std::move(services)},
            {"limits", json::object()}};
  }

  asio::awaitable<void> RunScenario() {
    const json::object config = Config();
    while (!co_await SendControl("/v1/config/put", config)) {
      co_await Sleep(kPollInterval);
    }
    const Instant end = Now() + std::chrono::seconds(FLAGS_seconds);
    const Instant half = end - (end - Now()) / 2;
    for (std::uint64_t job = 1; Now() < end; ++job) {
      m_history.m_is_late = Now() >= half;
      asio::co_spawn(m_io, SubmitAndAwaitJob(job), asio::detached);
      co_await Sleep(Millis(1000 / std::max(FLAGS_jobs_per_s, 1)));
    }
    m_deadline = Now() + std::chrono::seconds(FLAGS_finish_s);
    while (m_jobs_in_progress > 0 && Now() < m_deadline) {
      co_await Sleep(kPollInterval);
    }
    m_finished = true;
    m_io.stop();
  }

  // Submits one job, with retries until it is accepted, and polls until it has
  // completed.
  asio::awaitable<void> SubmitAndAwaitJob(std::uint64_t job) {
    ++m_jobs_in_progress;
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%016llx",
                  static_cast<unsigned long long>(job));
    const std::string path =
        "/queue-" + std::to_string(job % FLAGS_pools) + "/" + id.data();
    json::object step = {{"count", FLAGS_tasks},
                         {"cpu", FLAGS_task_milli},
                         {"mem_mb", 512},
                         {"estimate_ms", FLAGS_task_ms}};
    json::object second = step;
    second["depends_on"] = json::array{0};
    const json::object body = {{"spec", "x"}, {"steps", {step, second}}};
    const Instant start = Now();
    bool accepted = false;
    while (!accepted && !m_finished) {
      const auto response =
          co_await Send(m_pool, FLAGS_front, http::verb::post, path, &body);
      accepted = response && response->result() == http::status::ok;
      if (!accepted) {
        co_await Sleep(kPollInterval * 10);
      }
    }
    ++m_accepted_jobs;
    while (!m_finished) {
      co_await Sleep(kPollInterval * 5);
      const auto response =
          co_await Send(m_pool, FLAGS_front, http::verb::get, path, nullptr);
      if (response && response->result() == http::status::gone) {
        m_history.m_violations.push_back("accepted job is not known: " + path);
        break;
      }
      if (response && response->body().find("completed") != std::string::npos) {
        m_completion_times_ms.push_back(
            std::chrono::duration_cast<Millis>(Now() - start).count());
        break;
      }
    }
    --m_jobs_in_progress;
  }

  int Report() {
    std::sort(m_completion_times_ms.begin(), m_completion_times_ms.end());
    const auto percentile = [&](double share) {
      return m_completion_times_ms.empty()
                 ? -1
                 : m_completion_times_ms[static_cast<std::size_t>(
                       share *
                       static_cast<double>(m_completion_times_ms.size() - 1))];
    };
    std::cout << "accepted=" << m_accepted_jobs
              << " completed=" << m_completion_times_ms.size()
              << " starts=" << m_history.m_starts
              << " holds=" << m_history.m_hold_calls
              << " p50_ms=" << percentile(0.5) << " p99_ms=" << percentile(0.99)
              << " broken=" << m_history.m_violations.size()
              << " used_late=" << m_history.m_used_late.size() << "\n";
    for (const std::string& violation : m_history.m_violations) {
      std::cout << violation << "\n";
    }
    return m_history.m_violations.empty() && m_accepted_jobs > 0 &&
                   m_completion_times_ms.size() == m_accepted_jobs
               ? 0
               : 1;
  }

  asio::io_context& m_io;
  net::TargetPool m_pool;
  std::vector<std::string> m_controls;
  std::size_t m_control_index = 0;
  RunHistory m_history;
  std::vector<std::unique_ptr<Runner>> m_runners;
  std::size_t m_jobs_in_progress = 0;
  std::size_t m_accepted_jobs = 0;
  std::vector<std::int64_t> m_completion_times_ms;
  Instant m_deadline;
  bool m_finished = false;
};

}  // namespace
}  // namespace bronzebarrow

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  boost::asio::io_context io(1);
  return bronzebarrow::Standin(io).Run();
}
