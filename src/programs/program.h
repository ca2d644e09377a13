// Exit codes, worker threads and signal handling shared by the programs.
#ifndef BRONZEBARROW_SRC_PROGRAMS_PROGRAM_H_
#define BRONZEBARROW_SRC_PROGRAMS_PROGRAM_H_

#include <boost/asio/io_context.hpp>
#include <functional>

#include "bronzebarrow/base/failure.h"

namespace bronzebarrow::programs {

/** Exit codes of the programs. */
enum class ExitCode {
  kOk = 0,
  // The system refused the request; a typed error was printed.
  kRefused = 1,
  // The command line is invalid.
  kUsage = 2,
  // The settings or lists are invalid; also every failure without a code of
  // its own.
  kSettings = 3,
  // The data folder was refused, or its log is damaged, or a write failed.
  kData = 4,
  // No control leader could be reached.
  kUnavailable = 5,
  // Committed but not yet in force everywhere, or not finished within the
  // timeout.
  kPending = 6,
  // A guarantee did not hold.
  kBroken = 7,
};

constexpr int ToInt(ExitCode code) { return static_cast<int>(code); }

/** @return the exit code that corresponds to a failure. */
ExitCode ExitCodeOf(const Failure& failure);

/**
 * Runs `io` on `workers` threads, including the calling one, until `io` is
 * stopped. The first SIGTERM or SIGINT calls `on_stop`; SIGPIPE is ignored.
 */
void RunUntilSignal(boost::asio::io_context& io, int workers,
                    std::function<void()> on_stop);

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_PROGRAM_H_
