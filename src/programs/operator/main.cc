// bronzebarrow: the operators' command line.
#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <sstream>

#include "programs/operator/commands.h"

DEFINE_string(control, "127.0.0.1:7301",
              "HTTP addresses of the control members, separated by commas");
DEFINE_bool(json, false, "print JSON for scripts");
DEFINE_bool(wait, false,
            "wait until the stop or wave ends, showing its progress");
DEFINE_int64(
    expect, -1,
    "configuration version that must be in force; -1: the current one");
DEFINE_string(id, "",
              "id of the change, stop or wave; use the same id to retry");
DEFINE_string(operator_name, "operator",
              "name of the operator, recorded with the change");
DEFINE_int64(width, 4, "largest number of concurrent stops in a wave");
DEFINE_int64(deadline_ms, 120000, "time in ms that a stop may take to drain");
DEFINE_int64(timeout_ms, 120000, "longest time in ms to wait or watch");

namespace bronzebarrow::programs {
namespace {

std::string Usage() {
  std::ostringstream usage;
  usage << "the operators' command line\n"
           "  bronzebarrow [--control ADDRESSES] COMMAND [ARGUMENT...]\n"
           "Commands:\n";
  for (const Subcommand& command : Subcommands()) {
    usage << "  " << command.m_name << " " << command.m_arguments << "  -- "
          << command.m_help << "\n";
  }
  usage << "Exit codes: 0 done, 1 refused, 2 usage, 3 settings or lists, "
           "5 no leader, 6 pending, 7 a promise does not hold";
  return usage.str();
}

Result<std::vector<Address>> ParseMembers(const std::string& text) {
  std::vector<Address> members;
  for (const std::string& part : SplitTrimmed(text, ',')) {
    BOOST_LEAF_AUTO(address, Address::Parse(part));
    members.push_back(address);
  }
  if (members.empty()) {
    return Fail(ErrorCode::kUsage, "--control contains no address");
  }
  return members;
}

Result<ExitCode> Run(const std::vector<std::string>& arguments) {
  const auto commands = Subcommands();
  const auto command = std::find_if(
      commands.begin(), commands.end(), [&](const Subcommand& candidate) {
        return !arguments.empty() && arguments[0] == candidate.m_name;
      });
  if (command == commands.end()) {
    return Fail(ErrorCode::kUsage,
                arguments.empty() ? "no command" : arguments[0]);
  }
  CommandOptions options;
  options.m_arguments.assign(arguments.begin() + 1, arguments.end());
  if (options.m_arguments.size() != command->m_argument_count) {
    return Fail(ErrorCode::kUsage, std::string(command->m_name) + " takes " +
                                       command->m_arguments);
  }
  options.m_json = FLAGS_json;
  options.m_wait = FLAGS_wait;
  options.m_expected_version = FLAGS_expect;
  options.m_id = FLAGS_id;
  options.m_operator = FLAGS_operator_name;
  options.m_width = FLAGS_width;
  options.m_deadline_ms = FLAGS_deadline_ms;
  options.m_timeout_ms = FLAGS_timeout_ms;
  BOOST_LEAF_AUTO(members, ParseMembers(FLAGS_control));
  ControlClient client(std::move(members));
  return command->m_run(client, options);
}

int Main(const std::vector<std::string>& arguments) {
  const auto outcome = Capture<ExitCode>([&] { return Run(arguments); });
  if (const auto* failure = std::get_if<Failure>(&outcome)) {
    std::cerr << "bronzebarrow: " << Describe(*failure) << "\n";
    return ToInt(ExitCodeOf(*failure));
  }
  return ToInt(std::get<ExitCode>(outcome));
}

}  // namespace
}  // namespace bronzebarrow::programs

int main(int argc, char** argv) {
  gflags::SetUsageMessage(bronzebarrow::programs::Usage());
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return bronzebarrow::programs::Main({argv + 1, argv + argc});
}
