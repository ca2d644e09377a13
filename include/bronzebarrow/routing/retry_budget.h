// Bounds retries to a share of the requests, so that they cannot storm.
#ifndef BRONZEBARROW_ROUTING_RETRY_BUDGET_H_
#define BRONZEBARROW_ROUTING_RETRY_BUDGET_H_

#include <algorithm>

namespace bronzebarrow::routing {

/** Each request earns a tenth of a retry; unused retries add up to a cap. */
class RetryBudget {
 public:
  void OnRequest() { m_tokens = std::min(m_tokens + kEarned, kCap); }

  /** @return whether a retry may be made now; takes it from the budget. */
  bool TryRetry() {
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

 private:
  static constexpr double kEarned = 0.1;
  static constexpr double kCap = 10;
  double m_tokens = kCap;  // In [0, kCap].
};

}  // namespace bronzebarrow::routing

#endif  // BRONZEBARROW_ROUTING_RETRY_BUDGET_H_
