// Processor time of a member's work, by kind; OVERLOAD_COSTS=1
// build/tests/overload_test prints that of the real functions.
#ifndef BRONZEBARROW_TESTS_PROCESSOR_COSTS_H_
#define BRONZEBARROW_TESTS_PROCESSOR_COSTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <tuple>

#include "bronzebarrow/base/enum_names.h"
#include "bronzebarrow/base/time.h"

namespace bronzebarrow::node {

enum class WorkKind : std::uint8_t {
  kTick,
  kView,
  kSubmit,
  kRead,
  kReport,
  kConfig,
  kAnswer,   // Of a runner to a relayed call.
  kDropped,  // A call whose caller has left.
  kRefused,  // A submit that waited too long.
  kSynced,  // A batch is on disk: its commands are applied, and a plan is made.
};
constexpr std::size_t kWorkKinds = 10;

/** The state that the cost of work depends on. */
struct ProcessorLoad {
  std::size_t m_runners = 0;
  std::size_t m_routes = 0;  // Prefixes of the host that calls name.
  // With which QueueTable::Route compares the path of the call.
  std::size_t m_compared_prefixes = 0;
  std::size_t m_active_jobs = 0;
  std::size_t m_batch_bytes = 0;  // Of the batch that was synced.
  bool m_plans = false;           // The work includes a plan.
};

/** @return the processor time of one piece of work on a whole core. */
Duration CostOf(WorkKind kind, const ProcessorLoad& load);

/** Sums of measured processor time, printed as one line a kind. */
class CostMeter {
 public:
  CostMeter() = default;
  CostMeter(const CostMeter&) = delete;
  CostMeter& operator=(const CostMeter&) = delete;
  /** Prints the means. */
  ~CostMeter();

  void Add(WorkKind kind, const ProcessorLoad& load, Duration time);

 private:
  struct Sum {
    std::size_t m_count = 0;
    std::size_t m_batch_bytes = 0;
    std::size_t m_active_jobs = 0;
    Duration m_time = Duration::zero();
  };
  // Kind, whether it plans, runners and routes.
  using Key = std::tuple<WorkKind, bool, std::size_t, std::size_t>;
  std::map<Key, Sum> m_sums;
};

}  // namespace bronzebarrow::node

template <>
struct bronzebarrow::EnumNames<bronzebarrow::node::WorkKind> {
  static constexpr std::array<std::string_view, bronzebarrow::node::kWorkKinds>
      kNames = {"tick",   "view",   "submit",  "read",    "report",
                "config", "answer", "dropped", "refused", "synced"};
};

#endif  // BRONZEBARROW_TESTS_PROCESSOR_COSTS_H_
