// Advice on which runners may run a step: asked for when a plan first needs
// it, kept while it is valid. Load pattern: many steps become ready at once
// and the adviser serves one call at a time for each caller.
#ifndef BRONZEBARROW_NODE_ADVICE_BOOK_H_
#define BRONZEBARROW_NODE_ADVICE_BOOK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bronzebarrow/base/time.h"
#include "bronzebarrow/jobs.h"
#include "bronzebarrow/placement.h"

namespace bronzebarrow::node {

struct AdviceRequest {
  jobs::TaskKey m_step;  // The index is unused.
  std::string m_job_name;
  std::vector<std::string> m_runners;
};

class AdviceBook : public placement::Adviser {
 public:
  explicit AdviceBook(const jobs::WorkState& state) : m_state(state) {}

  std::optional<std::string> TicketFor(const jobs::TaskKey& step,
                                       const std::string& runner) override;
  /** @return calls to make now; each is answered once through OnAdvice. */
  std::vector<AdviceRequest> TakeRequests(Instant now);
  /** @param tickets null when no usable answer came */
  void OnAdvice(const AdviceRequest& request,
                const std::map<std::string, std::string>* tickets,
                Duration valid, Instant now);
  void Clear();

 private:
  struct Entry {
    std::set<std::string> m_wanted;  // Runners to ask about.
    std::set<std::string> m_asked;   // Runners that an answer covered.
    std::map<std::string, std::string> m_tickets;
    Instant m_valid_until;
    bool m_out = false;
  };
  static jobs::TaskKey StepOf(jobs::TaskKey task) {
    task.m_index = 0;
    return task;
  }

  const jobs::WorkState& m_state;
  std::map<jobs::TaskKey, Entry> m_entries;
  std::size_t m_out = 0;  // Calls without an answer yet.
  Instant m_next_call;
  Instant m_now;
};

}  // namespace bronzebarrow::node

#endif  // BRONZEBARROW_NODE_ADVICE_BOOK_H_
