// Handles the command line, log and exit code of a program that reads a
// settings file.
#include "programs/daemon.h"

#include <gflags/gflags.h>

#include <iostream>

#include "bronzebarrow/base/event_log.h"

DEFINE_string(settings, "", "path of the INI settings file");
DEFINE_bool(check, false, "check the settings and exit");

namespace bronzebarrow::programs {

int DaemonMain(int argc, char** argv, const DaemonSpec& spec,
               const DaemonRun& run) {
  gflags::SetUsageMessage(std::string(spec.m_purpose) + "\n" + spec.m_usage +
                          "Settings:\n" + DescribeSettings(spec.m_settings));
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  StartLog(argv[0]);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (FLAGS_settings.empty() || arguments.size() != spec.m_argument_count) {
    std::cerr << spec.m_name << ": the command line is wrong; usage:\n"
              << spec.m_usage;
    return ToInt(ExitCode::kUsage);
  }
  const auto outcome = Capture<ExitCode>([&] { return run(arguments); });
  if (const auto* failure = std::get_if<Failure>(&outcome)) {
    EventLine(Event::kSettingsRefused, Severity::kError)
        .Field("code", failure->m_code)
        .Field("context", failure->m_context);
    std::cerr << spec.m_name << ": " << Describe(*failure) << "\n";
    return ToInt(ExitCodeOf(*failure));
  }
  return ToInt(std::get<ExitCode>(outcome));
}

ExitCode ReportValidSettings() {
  std::cout << "settings are valid\n";
  return ExitCode::kOk;
}

}  // namespace bronzebarrow::programs
