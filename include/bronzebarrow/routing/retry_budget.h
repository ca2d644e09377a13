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
  void OnRequest() {
    m_tokens = std::min(m_tokens + kRetriesPerRequest, kMaxTokens);
  }

  /** Takes one retry from the budget. @return whether one was available. */
  bool TryRetry() {
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

 private:
  static constexpr double kRetriesPerRequest = 0.1;
  static constexpr double kMaxTokens = 10;  // A token is one retry.
  double m_tokens = kMaxTokens;             // In [0, kMaxTokens].
};

}  // namespace bronzebarrow::routing

#endif  // BRONZEBARROW_ROUTING_RETRY_BUDGET_H_
