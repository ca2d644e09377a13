// The subcommands of the operators' command line.
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
  std::vector<std::string> m_arguments;  // After the subcommand.
  bool m_json = false;
  bool m_wait = false;
  std::int64_t m_expect = -1;  // Negative: the version in force now.
  std::string m_id;            // Empty: a new one.
  std::string m_operator;
  std::int64_t m_width = 4;
  std::int64_t m_deadline_ms = 120'000;
  std::int64_t m_timeout_ms = 120'000;
};

struct Command {
  const char* m_name;
  const char* m_arguments;
  std::size_t m_argument_count;
  const char* m_help;
  Result<ExitCode> (*m_run)(ControlClient&, const CommandOptions&);
};

/** @return every subcommand, in the order of the help page. */
std::span<const Command> Commands();

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_OPERATOR_COMMANDS_H_
