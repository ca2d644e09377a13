// bronzebarrow-load: fake targets, and open-loop callers that check the
// guarantees given to callers.
#include <gflags/gflags.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>
#include <fstream>
#include <iostream>

#include "programs/daemon.h"
#include "programs/load/caller.h"
#include "programs/load/fake_target.h"

DEFINE_int64(seconds, 10, "duration of the calls in seconds");
DEFINE_uint64(seed, 1, "seed of arrivals, keys and service times");
DEFINE_string(csv, "", "output file with one line per request");
DEFINE_int32(workers, 2, "threads");

namespace bronzebarrow::programs {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr Duration kFetchTimeout = Millis(10'000);

std::vector<FakeTargetSpec> MakeFleet(const LoadSettings& settings) {
  std::vector<FakeTargetSpec> fleet;
  std::uint16_t port = settings.m_base_port;
  for (const std::string& pool : settings.m_pools) {
    for (int i = 0; i < settings.m_targets_per_pool; ++i) {
      const auto zone_count = static_cast<int>(settings.m_zones.size());
      const std::string& zone =
          settings.m_zones[static_cast<std::size_t>(i % zone_count)];
      const int index_in_zone = i / zone_count;
      const int rack = index_in_zone / settings.m_instances_per_rack;
      FakeTargetSpec spec;
      spec.m_instance = pool + "-" + std::to_string(i);
      spec.m_pool = pool;
      spec.m_zone = zone;
      spec.m_rack = zone + "-" + pool + "-r" + std::to_string(rack);
      spec.m_address = {settings.m_host, port++};
      fleet.push_back(std::move(spec));
    }
  }
  return fleet;
}

Result<ExitCode> RunTargets(const LoadSettings& settings) {
  asio::io_context io(FLAGS_workers);
  ExecutionRecord record;
  std::uint64_t seed = FLAGS_seed;
  for (FakeTargetSpec& spec : MakeFleet(settings)) {
    auto target = std::make_shared<FakeTarget>(io.get_executor(), settings,
                                               std::move(spec), record, seed++);
    BOOST_LEAF_CHECK(target->Start());
  }
  const auto serve_record =
      [&record](const net::HttpRequest&) -> asio::awaitable<net::HttpResponse> {
    co_return net::MakeResponse(http::status::ok, "application/json",
                                record.ToJson());
  };
  BOOST_LEAF_AUTO(admin,
                  net::HttpServer::Listen(io.get_executor(), settings.m_admin,
                                          serve_record));
  RunUntilSignal(io, FLAGS_workers, [&io] { io.stop(); });
  admin->StopAccepting();
  return ExitCode::kOk;
}

asio::awaitable<json::object> FetchExecutionRecord(net::TargetPool& pool,
                                                   Address admin) {
  const Instant deadline = Now() + kFetchTimeout;
  auto connection = co_await pool.Acquire(admin, deadline);
  if (!connection) {
    co_return json::object();
  }
  net::HttpRequest request(http::verb::get, "/runs", 11);
  request.set(http::field::host, admin.Text());
  const net::ExchangeResult result = co_await pool.Exchange(
      std::move(connection), admin, std::move(request), deadline);
  boost::system::error_code error;
  const json::value parsed = json::parse(result.m_response.body(), error);
  co_return error || !parsed.is_object() ? json::object() : parsed.as_object();
}

void PrintViolations(const Violations& violations) {
  std::cout << "executed more than once:  " << violations.m_duplicate_executions
            << "\nfalse \"not run\":          "
            << violations.m_false_not_executed
            << "\nfalse \"ran\":              " << violations.m_false_executed
            << "\nmismatched responses:     " << violations.m_mismatched
            << "\ncontradictory responses:  " << violations.m_contradicted
            << "\ninterrupted by stops:     " << violations.m_interrupted
            << "\n";
}

Result<ExitCode> RunCallers(const LoadSettings& settings) {
  asio::io_context io(FLAGS_workers);
  const auto callers =
      std::make_shared<Callers>(io.get_executor(), settings, FLAGS_seed);
  net::TargetPool pool(io.get_executor());
  json::object record;
  callers->Start(std::chrono::seconds(FLAGS_seconds), [&] {
    asio::co_spawn(io, FetchExecutionRecord(pool, settings.m_admin),
                   [&](const std::exception_ptr&, json::object fetched) {
                     record = std::move(fetched);
                     io.stop();
                   });
  });
  RunUntilSignal(io, FLAGS_workers, [&io] { io.stop(); });
  callers->PrintSummary(std::cout);
  if (!FLAGS_csv.empty()) {
    std::ofstream csv(FLAGS_csv);
    callers->WriteCsv(csv);
  }
  if (!record.contains("runs")) {
    return Fail(ErrorCode::kUnavailable,
                "the targets' record of executed requests could not be read");
  }
  const Violations violations = callers->FindViolations(record);
  PrintViolations(violations);
  return violations.IsEmpty() ? ExitCode::kOk : ExitCode::kBroken;
}

Result<ExitCode> Run(const std::vector<std::string>& arguments) {
  BOOST_LEAF_AUTO(settings, LoadSettings::Load(FLAGS_settings));
  if (FLAGS_check) {
    return ReportValidSettings();
  }
  if (arguments[0] == "targets") {
    return RunTargets(settings);
  }
  if (arguments[0] == "run") {
    return RunCallers(settings);
  }
  return Fail(ErrorCode::kUsage, "the command must be targets or run");
}

}  // namespace
}  // namespace bronzebarrow::programs

int main(int argc, char** argv) {
  namespace programs = bronzebarrow::programs;
  return programs::DaemonMain(
      argc, argv,
      {"bronzebarrow-load",
       "fake targets, and callers that check the guarantees",
       "  bronzebarrow-load --settings FILE [--seed N] targets\n"
       "  bronzebarrow-load --settings FILE [--seconds N] [--seed N] "
       "[--csv FILE] run\n",
       1, programs::LoadSettings::Specs()},
      programs::Run);
}
