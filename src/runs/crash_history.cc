// CrashHistory: how long a crash counts.
#include "bronzebarrow/runs/crash_history.h"

#include <algorithm>

namespace bronzebarrow::runs {
namespace {

// A crashed runner is back after some seconds (platform documentation).
constexpr Duration kRestartTime = Millis(3000);
// For how long a crash counts: jobs are kept apart after it, and one without a
// suspect weakens the evidence of others.
constexpr Duration kRememberedTime = Millis(10'000);
// On a busy runner about half of the crashes without a cause come just after
// some start.
constexpr std::size_t kChanceFactor = 2;

}  // namespace

void CrashHistory::Record(const std::string& pool, bool without_cause,
                          Instant now) {
  std::deque<Crash>& crashes = m_crashes[pool];
  while (!crashes.empty() && now >= crashes.front().m_time + kRememberedTime) {
    crashes.pop_front();
  }
  crashes.push_back({now, without_cause});
}

std::size_t CrashHistory::CountNotBack(const std::string& pool,
                                       Instant now) const {
  const auto found = m_crashes.find(pool);
  return found == m_crashes.end()
             ? 0
             : static_cast<std::size_t>(
                   std::count_if(found->second.begin(), found->second.end(),
                                 [&](const Crash& crash) {
                                   return now < crash.m_time + kRestartTime;
                                 }));
}

bool CrashHistory::CrashesFollowStarts(const std::string& pool,
                                       Instant now) const {
  const auto found = m_crashes.find(pool);
  if (found == m_crashes.end()) {
    return false;
  }
  std::size_t after_start = 0;
  std::size_t without_cause = 0;
  for (const Crash& crash : found->second) {
    if (now < crash.m_time + kRememberedTime) {
      ++(crash.m_without_cause ? without_cause : after_start);
    }
  }
  return after_start > kChanceFactor * without_cause;
}

bool CrashHistory::HasOtherCauses(const std::string& pool, Instant now) const {
  const auto found = m_crashes.find(pool);
  return found != m_crashes.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&](const Crash& crash) {
                       return crash.m_without_cause &&
                              now < crash.m_time + kRememberedTime;
                     });
}

}  // namespace bronzebarrow::runs
