// Subcommands of the operators' command line.
#ifndef BRONZEBARROW_SRC_PROGRAMS_OPERATOR_COMMANDS_H_
#define BRONZEBARROW_SRC_PROGRAMS_OPERATOR_COMMANDS_H_

#include <span>
#include <string>
#include <vector>

#include "programs/operator/control_client.h"
#include "programs/program.h"

namespace bronzebarrow::programs {

/** Values of the flags that the subcommands share. */
struct CommandOptions {
  std::vector<std::string> m_arguments;  // Those after the subcommand.
  bool m_json = false;
  bool m_wait = false;
  // Configuration version that must be in force; negative: the current one.
  std::int64_t m_expected_version = -1;
  // Id of the change, stop or wave; empty: a new one is generated.
  std::string m_id;
  std::string m_operator;
  std::int64_t m_width = 4;  // Largest number of concurrent stops in a wave.
  std::int64_t m_deadline_ms = 120'000;  // Time that a stop may take to drain.
  std::int64_t m_timeout_ms = 120'000;   // Longest time to wait or watch.
};

/** A subcommand: its name, arguments, help line and implementation. */
struct Subcommand {
  const char* m_name;
  const char* m_arguments;
  std::size_t m_argument_count;
  const char* m_help;
  Result<ExitCode> (*m_run)(ControlClient&, const CommandOptions&);
};

/** @return every subcommand, in the order of the help page. */
std::span<const Subcommand> Subcommands();

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_OPERATOR_COMMANDS_H_
