// What every daemon's main has in common: exit codes, threads, signals.
#ifndef BRONZEBARROW_SRC_PROGRAMS_PROGRAM_H_
#define BRONZEBARROW_SRC_PROGRAMS_PROGRAM_H_

#include <boost/asio/io_context.hpp>
#include <functional>

#include "bronzebarrow/base/failure.h"

namespace bronzebarrow::programs {

enum class ExitCode {
  kOk = 0,
  kRefused = 1,      // The system refused: a typed error was printed.
  kUsage = 2,        // The command line is wrong.
  kSettings = 3,     // The settings were refused.
  kData = 4,         // The data folder was refused.
  kUnavailable = 5,  // No control leader could be reached.
  kPending = 6,      // Committed, but not yet in force everywhere.
  kBroken = 7,       // A promise did not hold.
};

constexpr int ToInt(ExitCode code) { return static_cast<int>(code); }

/** @return the exit code that goes with a failure. */
ExitCode ExitCodeOf(const Failure& failure);

/**
 * Runs `io` on `workers` threads until it is stopped; the first SIGTERM or
 * SIGINT calls `on_stop`.
 */
void RunUntilSignal(boost::asio::io_context& io, int workers,
                    std::function<void()> on_stop);

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_PROGRAM_H_
