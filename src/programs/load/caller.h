// Open-loop callers: arrivals by plan, answers, and the check of promises.
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

/** What a caller was told last about one request. */
struct CallRecord {
  std::size_t m_plan = 0;  // Index into the demand.
  std::string m_key;       // Empty for an idempotent request.
  std::string m_outcome = "no-answer";
  unsigned m_status = 0;
  double m_latency_ms = 0;  // To the first answer.
  bool m_in_time = false;
  bool m_foreign = false;  // The answer was another request's, or not whole.
  bool m_changed = false;  // A later answer contradicted an earlier one.
};

/** Counts of broken promises; all zero when everything held. */
struct Verdicts {
  std::size_t m_doubled = 0;
  std::size_t m_false_not_run = 0;
  std::size_t m_lost_runs = 0;  // Told "ran", but no target ran it.
  std::size_t m_foreign = 0;
  std::size_t m_changed = 0;
  std::size_t m_cut = 0;  // Requests in flight at a released target.

  bool AllHold() const {
    return m_doubled + m_false_not_run + m_lost_runs + m_foreign + m_changed +
               m_cut ==
           0;
  }
};

/** Runs on one strand. */
class Callers : public std::enable_shared_from_this<Callers> {
 public:
  Callers(boost::asio::any_io_executor executor, const LoadSettings& settings,
          std::uint64_t seed);

  /** Calls for `span`, waits for the last answers, then calls `done`. */
  void Start(Duration span, std::function<void()> done);

  Verdicts Check(const boost::json::object& run_record) const;
  void PrintSummary(std::ostream& out) const;
  void WriteCsv(std::ostream& out) const;

 private:
  boost::asio::awaitable<void> Run(Duration span, std::function<void()> done);
  boost::asio::awaitable<void> Arrivals(std::size_t plan, Instant end);
  boost::asio::awaitable<void> WatchReadiness();
  boost::asio::awaitable<void> CallOnce(std::size_t plan);
  boost::asio::awaitable<bool> Send(std::size_t record, const std::string& path,
                                    Instant deadline, bool is_resend);
  double RateNow(std::size_t plan) const;
  Address PickEntry();

  boost::asio::strand<boost::asio::any_io_executor> m_strand;
  const LoadSettings& m_settings;
  net::TargetPool m_pool;
  std::mt19937_64 m_random;
  Instant m_start;
  std::vector<CallRecord> m_records;
  std::vector<bool> m_ready;  // By entry.
  std::size_t m_turn = 0;
  std::size_t m_outstanding = 0;
  bool m_finished = false;
};

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_LOAD_CALLER_H_
