// Arithmetic of caps and weighted shares.
#include "bronzebarrow/organisations/fair_shares.h"

#include <algorithm>
#include <array>

namespace bronzebarrow::organisations {
namespace {

// An organisation of weight 0 is served when nobody else has work waiting.
constexpr double kLeastWeight = 1e-6;

constexpr std::array<std::int64_t Resources::*, 3> kDimensions = {
    &Resources::m_cpu_milli, &Resources::m_memory_mb, &Resources::m_gpu};

}  // namespace

bool MayStart(const Resources& cap, const Resources& used,
              const Resources& need) {
  return std::all_of(kDimensions.begin(), kDimensions.end(),
                     [&](const auto dimension) {
                       const std::int64_t limit = cap.*dimension;
                       return limit == 0 || need.*dimension == 0 ||
                              used.*dimension + need.*dimension <= limit ||
                              2 * (used.*dimension) < limit;
                     });
}

bool ExceedsCap(const Resources& cap, const Resources& need) {
  return std::any_of(
      kDimensions.begin(), kDimensions.end(), [&](const auto dimension) {
        return cap.*dimension != 0 && need.*dimension > cap.*dimension;
      });
}

std::int64_t WorkServedBefore(std::int64_t own, double own_weight,
                              std::int64_t other, double other_weight) {
  const double ratio =
      std::max(other_weight, kLeastWeight) / std::max(own_weight, kLeastWeight);
  const double served = static_cast<double>(own) * ratio;
  return served >= static_cast<double>(other)
             ? other
             : static_cast<std::int64_t>(served);
}

const Resources& FairShares::UsedBy(const std::string& organisation) const {
  static const Resources none;
  const auto used = m_used.find(organisation);
  return used == m_used.end() ? none : used->second;
}

double FairShares::DominantShare(const Resources& resources) const {
  double largest = 0;
  for (const auto dimension : kDimensions) {
    if (m_total.*dimension > 0) {
      largest = std::max(largest, static_cast<double>(resources.*dimension) /
                                      static_cast<double>(m_total.*dimension));
    }
  }
  return largest;
}

double FairShares::WeightedShare(const std::string& organisation) const {
  return DominantShare(UsedBy(organisation)) / WeightOf(organisation);
}

double FairShares::WeightOf(const std::string& organisation) const {
  return std::max(m_table.WeightOf(organisation), kLeastWeight);
}

double FairShares::DominantWork(const wire::JobSpecT& job) const {
  double work = 0;
  for (const auto& step : job.steps) {
    const Resources need = {step->fills ? 0 : step->cpu_milli, step->memory_mb,
                            step->gpu};
    work += step->count * DominantShare(need) * step->estimate_ms;
  }
  return work;
}

bool FairShares::MayStart(const std::string& organisation,
                          const Resources& need) const {
  return organisations::MayStart(m_table.CapOf(organisation),
                                 UsedBy(organisation), need);
}

bool FairShares::MayStartGang(const std::string& organisation,
                              const Resources& need) const {
  Resources used = UsedBy(organisation);
  used.Add(need, 1);
  return !ExceedsCap(m_table.CapOf(organisation), used);
}

void FairShares::Add(const std::string& organisation, const Resources& need,
                     std::int64_t times) {
  if (!organisation.empty()) {
    m_used[organisation].Add(need, times);
  }
}

}  // namespace bronzebarrow::organisations
