// The main function that the programs with a settings file share.
#ifndef BRONZEBARROW_SRC_PROGRAMS_DAEMON_H_
#define BRONZEBARROW_SRC_PROGRAMS_DAEMON_H_

#include <gflags/gflags_declare.h>

#include <functional>
#include <span>
#include <string>
#include <vector>

#include "bronzebarrow/base/failure.h"
#include "bronzebarrow/base/settings.h"
#include "programs/program.h"

DECLARE_string(settings);
DECLARE_bool(check);

namespace bronzebarrow::programs {

struct DaemonSpec {
  const char* m_name;
  const char* m_purpose;
  /** Usage lines, each with its indent and newline. */
  const char* m_usage;
  /** How many arguments follow the flags. */
  std::size_t m_argument_count;
  std::span<const SettingSpec> m_settings;
};

/** Runs with the arguments that follow the flags. */
using DaemonRun =
    std::function<Result<ExitCode>(const std::vector<std::string>& arguments)>;

/**
 * Reads the command line, starts the log and runs; prints a failure.
 * @return the exit code of the process
 */
int DaemonMain(int argc, char** argv, const DaemonSpec& spec,
               const DaemonRun& run);

/** Says that the settings are valid. */
ExitCode ReportValidSettings();

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_DAEMON_H_
