// Limits retries to a fraction of the requests, to prevent retry storms.
#ifndef BRONZEBARROW_ROUTING_RETRY_BUDGET_H_
#define BRONZEBARROW_ROUTING_RETRY_BUDGET_H_

#include <algorithm>

namespace bronzebarrow::routing {

/**
 * Token bucket: each request adds a tenth of a retry, and unused retries
 * accumulate up to a limit.
 */
class RetryBudget {
 public:
  void OnRequest() { m_tokens = std::min(m_tokens + kEarned, kCap); }

  /** Takes one retry from the budget. @return whether one was available. */
  bool TryRetry() {
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

 private:
  static constexpr double kEarned = 0.1;  // Retries per request.
  static constexpr double kCap = 10;      // Retries.
  double m_tokens = kCap;                 // In [0, kCap].
};

}  // namespace bronzebarrow::routing

#endif  // BRONZEBARROW_ROUTING_RETRY_BUDGET_H_
