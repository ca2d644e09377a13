// Open-loop callers: arrivals by plan, responses, and the check of the
// guarantees given to callers.
#ifndef BRONZEBARROW_SRC_PROGRAMS_LOAD_CALLER_H_
#define BRONZEBARROW_SRC_PROGRAMS_LOAD_CALLER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <ostream>
#include <random>
#include <string>
#include <vector>

#include "bronzebarrow/net.h"
#include "programs/load/load_settings.h"

namespace bronzebarrow::programs {

/** One request and the latest response to it. */
struct CallRecord {
  std::size_t m_plan = 0;  // Index into LoadSettings::m_demand.
  std::string m_key;       // Empty for an idempotent request.
  std::string m_outcome = "no-answer";
  unsigned m_status = 0;
  double m_latency_ms = 0;  // Until the first response.
  bool m_in_time = false;
  bool m_mismatched = false;  // Response incomplete or another request's.
  // A later response contradicted a final outcome.
  bool m_contradicted = false;
};

/** Counts of violated guarantees; all zero if every guarantee held. */
struct Violations {
  std::size_t m_duplicate_executions = 0;  // Keys executed more than once.
  std::size_t m_false_not_executed = 0;    // Reported "not-run", but executed.
  std::size_t m_false_executed = 0;        // Reported "ran", but not executed.
  std::size_t m_mismatched = 0;
  std::size_t m_contradicted = 0;
  // Requests in flight when a target was released.
  std::size_t m_interrupted = 0;

  bool IsEmpty() const {
    return m_duplicate_executions + m_false_not_executed + m_false_executed +
               m_mismatched + m_contradicted + m_interrupted ==
           0;
  }
};

/** Sends requests at the configured rates. All coroutines run on one strand. */
class Callers : public std::enable_shared_from_this<Callers> {
 public:
  Callers(boost::asio::any_io_executor executor, const LoadSettings& settings,
          std::uint64_t seed);

  /**
   * Sends requests for `span`, waits until none is in flight, then calls
   * `done`.
   */
  void Start(Duration span, std::function<void()> done);

  /** Compares the callers' outcomes with what the targets executed. */
  Violations FindViolations(const boost::json::object& execution_record) const;
  void PrintSummary(std::ostream& out) const;
  void WriteCsv(std::ostream& out) const;

 private:
  boost::asio::awaitable<void> Run(Duration span, std::function<void()> done);
  boost::asio::awaitable<void> GenerateArrivals(std::size_t plan, Instant end);
  boost::asio::awaitable<void> WatchReadiness();
  boost::asio::awaitable<void> MakeCall(std::size_t plan);
  /** @return whether the request got a response. */
  boost::asio::awaitable<bool> Send(std::size_t record, const std::string& path,
                                    Instant deadline, bool is_resend);
  double CurrentRate(std::size_t plan) const;
  Address NextReadyEntry();

  boost::asio::strand<boost::asio::any_io_executor> m_strand;
  const LoadSettings& m_settings;
  net::TargetPool m_connections;
  std::mt19937_64 m_random;
  Instant m_start;
  std::vector<CallRecord> m_records;
  std::vector<bool> m_ready;  // By index into LoadSettings::m_entries.
  std::size_t m_next_entry = 0;
  std::size_t m_in_flight = 0;
  bool m_finished = false;
};

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_LOAD_CALLER_H_
