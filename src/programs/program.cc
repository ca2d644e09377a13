// Maps failures to exit codes; runs the worker threads and handles signals.
#include "programs/program.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <thread>
#include <utility>
#include <vector>

namespace bronzebarrow::programs {

ExitCode ExitCodeOf(const Failure& failure) {
  switch (failure.m_code) {
    case ErrorCode::kDataFolderUnusable:
    case ErrorCode::kDataFolderForeign:
    case ErrorCode::kDataFolderInUse:
    case ErrorCode::kDataFolderNotEmpty:
    case ErrorCode::kLogDamaged:
    case ErrorCode::kDiskWriteFailed:
      return ExitCode::kData;
    case ErrorCode::kUnavailable:
    case ErrorCode::kConnectionFailed:
      return ExitCode::kUnavailable;
    case ErrorCode::kInstanceUnavailable:
      return ExitCode::kRefused;
    case ErrorCode::kUsage:
      return ExitCode::kUsage;
    default:
      return ExitCode::kSettings;
  }
}

void RunUntilSignal(boost::asio::io_context& io, int workers,
                    std::function<void()> on_stop) {
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([stop = std::move(on_stop)](const auto& error, int) {
    if (!error) {
      stop();
    }
  });
  std::vector<std::thread> threads;
  for (int i = 1; i < workers; ++i) {
    threads.emplace_back([&io] { io.run(); });
  }
  io.run();
  for (std::thread& thread : threads) {
    thread.join();
  }
}

}  // namespace bronzebarrow::programs
