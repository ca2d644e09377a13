// CostOf: a table of constants; CostMeter: the measurement behind it.
#include "processor_costs.h"

#include <iostream>

namespace bronzebarrow::node {
namespace {

using std::chrono::nanoseconds;

/** Cost of one kind of work: a base and shares that grow with the load. */
struct Cost {
  nanoseconds m_base{0};
  nanoseconds m_per_runner{0};
  nanoseconds m_per_compared_prefix{0};
  nanoseconds m_per_batch_byte{0};
};

constexpr std::array<Cost, kWorkKinds> kCosts = {{
    {.m_base = nanoseconds(12'000), .m_per_runner = nanoseconds(155)},  // kTick
    {.m_base = nanoseconds(800)},                                       // kView
    {.m_base = nanoseconds(6'500),
     .m_per_compared_prefix = nanoseconds(20)},  // kSubmit
    {.m_base = nanoseconds(4'500),
     .m_per_compared_prefix = nanoseconds(18)},  // kRead
    {.m_base = nanoseconds(5'000)},              // kReport
    {.m_base = nanoseconds(2'100'000)},          // kConfig
    {.m_base = nanoseconds(6'000)},              // kAnswer
    {.m_base = nanoseconds(1'000)},              // kDropped
    {.m_base = nanoseconds(3'000)},              // kRefused
    {.m_base = nanoseconds(20'000),
     .m_per_batch_byte = nanoseconds(30)},  // kSynced
}};
constexpr nanoseconds kPlanPerRunner(33);
constexpr nanoseconds kPlanPerActiveJob(300);

}  // namespace

Duration CostOf(WorkKind kind, const ProcessorLoad& load) {
  const Cost& cost = kCosts[static_cast<std::size_t>(kind)];
  nanoseconds sum = cost.m_base + cost.m_per_runner * load.m_runners +
                    cost.m_per_compared_prefix * load.m_compared_prefixes +
                    cost.m_per_batch_byte * load.m_batch_bytes;
  if (load.m_plans) {
    sum += kPlanPerRunner * load.m_runners +
           kPlanPerActiveJob * load.m_active_jobs;
  }
  return sum;
}

void CostMeter::Add(WorkKind kind, const ProcessorLoad& load, Duration time) {
  Sum& sum = m_sums[{kind, load.m_plans, load.m_runners, load.m_routes}];
  ++sum.m_count;
  sum.m_batch_bytes += load.m_batch_bytes;
  sum.m_active_jobs += load.m_active_jobs;
  sum.m_time += time;
}

CostMeter::~CostMeter() {
  for (const auto& [key, sum] : m_sums) {
    const auto& [kind, plans, runners, routes] = key;
    const auto count = static_cast<double>(sum.m_count);
    std::cout << "cost kind=" << NameOf(kind) << " plans=" << plans
              << " runners=" << runners << " routes=" << routes
              << " count=" << sum.m_count << " batch_bytes="
              << static_cast<double>(sum.m_batch_bytes) / count
              << " active_jobs="
              << static_cast<double>(sum.m_active_jobs) / count << " mean_us="
              << std::chrono::duration<double, std::micro>(sum.m_time).count() /
                     count
              << "\n";
  }
}

}  // namespace bronzebarrow::node
