// Cache of the adviser's answers on which runners may run a step. Advice is
// requested when a placement plan first needs it and kept while it is valid.
// Load pattern: many steps become ready at once, and the adviser serves one
// call at a time for each caller.
#ifndef BRONZEBARROW_NODE_ADVICE_BOOK_H_
#define BRONZEBARROW_NODE_ADVICE_BOOK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bronzebarrow/base/time.h"
#include "bronzebarrow/jobs.h"
#include "bronzebarrow/placement.h"

namespace bronzebarrow::node {

struct AdviceRequest {
  jobs::TaskKey m_step;  // The task index is 0.
  std::string m_job_name;
  std::vector<std::string> m_runners;
};

class AdviceCache : public placement::Adviser {
 public:
  explicit AdviceCache(const jobs::WorkState& state) : m_state(state) {}

  std::optional<std::string> TicketFor(const jobs::TaskKey& step,
                                       const std::string& runner) override;
  /** @return calls to send now; OnAdvice is to be called once for each. */
  std::vector<AdviceRequest> TakeRequests(Instant now);
  /**
   * @param tickets by runner; null when the call failed or its response could
   * not be decoded
   * @param valid how long the tickets are valid from `now`
   */
  void OnAdvice(const AdviceRequest& request,
                const std::map<std::string, std::string>* tickets,
                Duration valid, Instant now);
  /** Drops all advice; called when the member stops being the owner. */
  void Clear();

 private:
  /** The adviser's answer for one incarnation of a runner. */
  struct RunnerAdvice {
    std::uint64_t m_born_ms = 0;
    std::optional<std::string> m_ticket;  // Empty: may not run the step.
  };
  struct StepAdvice {
    std::set<std::string> m_next_runners;  // Named in the next call.
    // Order in which the next calls of all steps became necessary.
    std::uint64_t m_queue_number = 0;
    // Named in the call in flight, with their incarnations.
    std::map<std::string, std::uint64_t> m_called_runners;
    std::map<std::string, RunnerAdvice> m_answers;  // By runner.
    Instant m_valid_until;
    bool m_call_in_flight = false;
  };
  static jobs::TaskKey StepOf(jobs::TaskKey task) {
    task.m_index = 0;
    return task;
  }

  // Marks the step's call as in flight.
  AdviceRequest MakeRequest(const jobs::TaskKey& step,
                            StepAdvice& advice) const;

  const jobs::WorkState& m_state;
  std::map<jobs::TaskKey, StepAdvice> m_advice_by_step;
  std::uint64_t m_next_queue_number = 1;
  std::size_t m_calls_in_flight = 0;  // For all steps.
  Instant m_next_call;  // Earliest time of a call after a failed one.
  Instant m_now;        // Time of the last TakeRequests or OnAdvice.
};

}  // namespace bronzebarrow::node

#endif  // BRONZEBARROW_NODE_ADVICE_BOOK_H_
