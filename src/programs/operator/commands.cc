// Subcommands: each calls the HTTP interface of the control group and prints
// the result.
#include "programs/operator/commands.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <functional>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include "bronzebarrow/fleet/lists.h"
#include "programs/operator/status_view.h"

namespace bronzebarrow::programs {
namespace {

namespace json = boost::json;

constexpr Duration kPollInterval = Millis(200);

std::string IdOrGenerated(const CommandOptions& options, const char* prefix) {
  if (!options.m_id.empty()) {
    return options.m_id;
  }
  std::ostringstream id;
  id << prefix << "-" << WallMillis() << "-" << std::random_device()() % 10000;
  return id.str();
}

// Prints a response: its JSON if requested, its error, or `success_text` after
// a success. Returns the corresponding exit code.
ExitCode PrintResponse(const ControlResponse& response,
                       const CommandOptions& options,
                       const std::string& success_text) {
  if (options.m_json) {
    std::cout << json::serialize(response.m_body) << "\n";
  }
  if (!response.IsSuccess()) {
    const auto* const error = response.m_body.if_contains("error");
    if (error != nullptr && error->is_object()) {
      const json::object& fields = error->as_object();
      std::cerr << "bronzebarrow: " << ToText(fields.at("code")) << ": "
                << ToText(fields.at("message")) << " ("
                << ToText(fields.at("context")) << ")\n";
    }
    return ExitCode::kRefused;
  }
  if (!options.m_json && !success_text.empty()) {
    std::cout << success_text << "\n";
  }
  return ExitCode::kOk;
}

Result<json::object> FetchStatus(ControlClient& client) {
  BOOST_LEAF_AUTO(response, client.Call("/v1/status", nullptr));
  if (!response.IsSuccess()) {
    return Fail(ErrorCode::kUnavailable, json::serialize(response.m_body));
  }
  return std::move(response.m_body);
}

// Polls the status until `is_done` returns true, and prints the progress of
// stops and waves whenever it changes. Returns kPending after the timeout.
Result<ExitCode> PollStatusUntil(
    ControlClient& client, const CommandOptions& options,
    const std::function<bool(const json::object&)>& is_done) {
  const Instant deadline = Now() + Millis(options.m_timeout_ms);
  std::string last_progress;
  while (Now() < deadline) {
    BOOST_LEAF_AUTO(status, FetchStatus(client));
    std::ostringstream progress;
    PrintProgress(progress, status);
    if (!options.m_json && progress.str() != last_progress) {
      last_progress = progress.str();
      std::cout << last_progress << std::flush;
    }
    if (is_done(status)) {
      return ExitCode::kOk;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  std::cerr << "bronzebarrow: not finished within the timeout\n";
  return ExitCode::kPending;
}

Result<ExitCode> RunCheck(ControlClient&, const CommandOptions& options) {
  BOOST_LEAF_AUTO(plans,
                  ReadFile(options.m_arguments[0], ErrorCode::kListMalformed));
  BOOST_LEAF_AUTO(uses,
                  ReadFile(options.m_arguments[1], ErrorCode::kListMalformed));
  BOOST_LEAF_AUTO(lists, fleet::Lists::Parse(plans, uses));
  std::cout << lists.m_plans.size() << " plans and " << lists.m_uses.size()
            << " uses are valid\n";
  return ExitCode::kOk;
}

Result<ExitCode> RunApply(ControlClient& client,
                          const CommandOptions& options) {
  BOOST_LEAF_AUTO(plans,
                  ReadFile(options.m_arguments[0], ErrorCode::kListMalformed));
  BOOST_LEAF_AUTO(uses,
                  ReadFile(options.m_arguments[1], ErrorCode::kListMalformed));
  BOOST_LEAF_CHECK(fleet::Lists::Parse(plans, uses));
  std::int64_t expected_version = options.m_expected_version;
  if (expected_version < 0) {
    BOOST_LEAF_AUTO(status, FetchStatus(client));
    expected_version = status.at("config_version").to_number<std::int64_t>();
  }
  json::object body;
  body["change_id"] = IdOrGenerated(options, "change");
  body["expect_version"] = expected_version;
  body["operator"] = options.m_operator;
  body["plans"] = plans;
  body["uses"] = uses;
  BOOST_LEAF_AUTO(response, client.Call("/v1/apply", &body));
  const bool success = response.IsSuccess();
  const std::string state =
      success ? ToText(response.m_body.at("state")) : std::string();
  std::string success_text;
  if (success) {
    success_text =
        "version " + ToText(response.m_body.at("version")) + " is " + state;
    success_text +=
        state == "pending"
            ? ", waiting for " + ToText(response.m_body.at("waiting_for"))
            : " and in force everywhere";
  }
  const ExitCode exit_code = PrintResponse(response, options, success_text);
  return state == "pending" ? ExitCode::kPending : exit_code;
}

Result<ExitCode> AnnounceStop(ControlClient& client,
                              const CommandOptions& options,
                              const char* reason) {
  const std::string id = IdOrGenerated(options, reason);
  json::object body;
  body["stop_id"] = id;
  body["instance"] = options.m_arguments[0];
  body["reason"] = reason;
  body["deadline_ms"] = options.m_deadline_ms;
  BOOST_LEAF_AUTO(response, client.Call("/v1/stop", &body));
  const ExitCode exit_code =
      PrintResponse(response, options, "stop " + id + " announced");
  if (exit_code != ExitCode::kOk || !options.m_wait) {
    return exit_code;
  }
  bool has_returned = true;
  BOOST_LEAF_AUTO(
      wait_result,
      PollStatusUntil(client, options, [&](const json::object& polled_status) {
        const json::object* stop =
            FindByField(polled_status, "stops", "id", id);
        const std::string state =
            stop == nullptr ? "gone" : ToText(stop->at("state"));
        has_returned = state == "returned";
        return state != "draining" && state != "released";
      }));
  if (wait_result != ExitCode::kOk) {
    return wait_result;
  }
  std::cout << "stop " << id
            << (has_returned ? ": returned" : ": did not return") << "\n";
  return has_returned ? ExitCode::kOk : ExitCode::kRefused;
}

Result<ExitCode> RunStop(ControlClient& client, const CommandOptions& options) {
  return AnnounceStop(client, options, "planned");
}

Result<ExitCode> RunCancel(ControlClient& client,
                           const CommandOptions& options) {
  json::object body;
  body["stop_id"] = options.m_arguments[0];
  BOOST_LEAF_AUTO(response, client.Call("/v1/stop/cancel", &body));
  return PrintResponse(response, options,
                       "stop cancelled if it was still draining");
}

// A drill is a real stop of one instance of the pool; the guard that protects
// the floors of the plans applies as for a planned stop.
Result<ExitCode> RunDrill(ControlClient& client,
                          const CommandOptions& options) {
  const std::string pool = options.m_arguments[0];
  BOOST_LEAF_AUTO(status_before, FetchStatus(client));
  CommandOptions stop = options;
  stop.m_wait = true;
  stop.m_id = IdOrGenerated(options, "drill");
  for (const json::value& item : status_before.at("instances").as_array()) {
    const json::object& instance = item.as_object();
    if (ToText(instance.at("pool")) == pool &&
        ToText(instance.at("state")) == "in-service") {
      stop.m_arguments = {ToText(instance.at("name"))};
      break;
    }
  }
  if (stop.m_arguments[0] == pool) {
    return Fail(ErrorCode::kInstanceUnavailable,
                "pool " + pool + " has no instance in service");
  }
  BOOST_LEAF_AUTO(exit_code, AnnounceStop(client, stop, "drill"));
  if (exit_code != ExitCode::kOk) {
    return exit_code;
  }
  BOOST_LEAF_AUTO(status_after, FetchStatus(client));
  const json::object* record =
      FindByField(status_after, "stops", "id", stop.m_id);
  const auto took_ms =
      record == nullptr
          ? 0
          : record->at("ended_ms").to_number<std::int64_t>() -
                record->at("announced_ms").to_number<std::int64_t>();
  std::int64_t least_spare = std::numeric_limits<std::int64_t>::max();
  for (const json::value& item : status_after.at("margins").as_array()) {
    const json::object& margin = item.as_object();
    if (ToText(margin.at("pool")) == pool) {
      least_spare =
          std::min(least_spare, margin.at("spare").to_number<std::int64_t>());
    }
  }
  std::cout << "drill report: instance " << stop.m_arguments[0]
            << " stopped and returned in " << took_ms
            << " ms; least spare of pool " << pool << " now " << least_spare
            << "\n";
  return ExitCode::kOk;
}

Result<ExitCode> RunWave(ControlClient& client, const CommandOptions& options) {
  const std::string id = IdOrGenerated(options, "wave");
  json::object body;
  body["wave_id"] = id;
  body["pool"] = options.m_arguments[0];
  body["max_width"] = options.m_width;
  BOOST_LEAF_AUTO(response, client.Call("/v1/wave", &body));
  const ExitCode exit_code =
      PrintResponse(response, options, "wave " + id + " started");
  if (exit_code != ExitCode::kOk || !options.m_wait) {
    return exit_code;
  }
  std::string state;
  BOOST_LEAF_AUTO(
      wait_result,
      PollStatusUntil(client, options, [&](const json::object& polled_status) {
        const json::object* wave =
            FindByField(polled_status, "waves", "id", id);
        state = wave == nullptr ? "gone" : ToText(wave->at("state"));
        return state != "running";
      }));
  if (wait_result != ExitCode::kOk) {
    return wait_result;
  }
  std::cout << "wave " << id << ": " << state << "\n";
  return state == "finished" ? ExitCode::kOk : ExitCode::kRefused;
}

Result<ExitCode> UpdateWave(ControlClient& client,
                            const CommandOptions& options, const char* action) {
  json::object body;
  body["wave_id"] = options.m_arguments[0];
  body["action"] = action;
  BOOST_LEAF_AUTO(response, client.Call("/v1/wave/update", &body));
  return PrintResponse(response, options, std::string("wave: ") + action);
}

Result<ExitCode> RunHalt(ControlClient& client, const CommandOptions& options) {
  return UpdateWave(client, options, "halt");
}

Result<ExitCode> RunResume(ControlClient& client,
                           const CommandOptions& options) {
  return UpdateWave(client, options, "resume");
}

Result<ExitCode> RunStatus(ControlClient& client,
                           const CommandOptions& options) {
  BOOST_LEAF_AUTO(status, FetchStatus(client));
  if (options.m_json) {
    std::cout << json::serialize(status) << "\n";
  } else {
    PrintStatus(std::cout, status);
  }
  return ExitCode::kOk;
}

Result<ExitCode> RunWatch(ControlClient& client,
                          const CommandOptions& options) {
  return PollStatusUntil(client, options,
                         [](const json::object&) { return false; });
}

// Succeeds if no plan is below its floor now and every entry with a valid lease
// has the configuration version in force.
Result<ExitCode> RunReport(ControlClient& client,
                           const CommandOptions& options) {
  BOOST_LEAF_AUTO(status, FetchStatus(client));
  std::size_t below_floor = 0;
  for (const json::value& item : status.at("margins").as_array()) {
    const json::object& margin = item.as_object();
    const auto available = margin.at("available").to_number<std::int64_t>();
    below_floor += available < margin.at("floor").to_number<std::int64_t>();
  }
  std::size_t entries_behind = 0;
  for (const json::value& item : status.at("entries").as_array()) {
    const json::object& entry = item.as_object();
    const bool has_lease = entry.at("lease_ms").to_number<std::int64_t>() > 0;
    entries_behind += has_lease && ToText(entry.at("config_version")) !=
                                       ToText(status.at("config_version"));
  }
  json::object report;
  report["plans_below_floor"] = below_floor;
  report["live_entries_behind"] = entries_behind;
  report["config_version"] = status.at("config_version");
  if (options.m_json) {
    std::cout << json::serialize(report) << "\n";
  } else {
    std::cout << "plans below their floor:     " << below_floor
              << "\nlive entries on old version: " << entries_behind << "\n";
  }
  return below_floor + entries_behind == 0 ? ExitCode::kOk : ExitCode::kBroken;
}

constexpr Subcommand kSubcommands[] = {
    {"check", "PLANS USES", 2, "check the two lists without applying them",
     RunCheck},
    {"apply", "PLANS USES", 2,
     "put both lists in force; --expect, --id, --operator", RunApply},
    {"stop", "INSTANCE", 1,
     "announce a planned stop; --id, --deadline_ms, --wait", RunStop},
    {"cancel", "STOP", 1, "cancel a stop that is still draining", RunCancel},
    {"drill", "POOL", 1,
     "perform a real stop of one instance of the pool and print a report",
     RunDrill},
    {"wave", "POOL", 1,
     "stop every instance of the pool in turn; --width, --wait", RunWave},
    {"halt", "WAVE", 1, "halt a wave", RunHalt},
    {"resume", "WAVE", 1, "resume a halted wave, from a canary", RunResume},
    {"status", "", 0, "show the whole status; --json", RunStatus},
    {"watch", "", 0, "show the progress of stops and waves; --timeout_ms",
     RunWatch},
    {"report", "", 0,
     "count plans below their floor and entries on an old version; --json",
     RunReport},
};

}  // namespace

std::span<const Subcommand> Subcommands() { return kSubcommands; }

}  // namespace bronzebarrow::programs
