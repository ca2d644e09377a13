// Shared main function of the programs that read a settings file.
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

/** Description of a program: name, usage and settings. */
struct DaemonSpec {
  const char* m_name;
  const char* m_purpose;
  /** Usage lines, each with its indentation and newline. */
  const char* m_usage;
  /** Number of positional arguments after the flags. */
  std::size_t m_argument_count;
  std::span<const SettingSpec> m_settings;
};

/** Body of a program; receives the positional arguments. */
using DaemonRun =
    std::function<Result<ExitCode>(const std::vector<std::string>& arguments)>;

/**
 * Parses the command line, starts the log and calls `run`. A failure is logged
 * and printed to standard error.
 * @return the exit code of the process
 */
int DaemonMain(int argc, char** argv, const DaemonSpec& spec,
               const DaemonRun& run);

/** Prints that the settings are valid. */
ExitCode ReportValidSettings();

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_DAEMON_H_
