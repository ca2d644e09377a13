// Batching of calls to the adviser and expiry of its tickets.
#include "bronzebarrow/node/advice_book.h"

#include <algorithm>

namespace bronzebarrow::node {
namespace {

// Bounds the duration of a call, which grows with the number of runners that it
// names (platform documentation).
constexpr std::size_t kMaxRunnersPerCall = 30;
// The adviser serves one call at a time. A second call in flight keeps it busy
// while the response to the first one returns.
constexpr std::size_t kMaxCallsInFlight = 2;
constexpr Duration kRetryInterval = Millis(300);
// The last part of a ticket's validity is not used: the start call that carries
// the ticket arrives only after a commit and a network trip.
constexpr Duration kTicketMargin = Millis(300);

}  // namespace

std::optional<std::string> AdviceCache::TicketFor(const jobs::TaskKey& step,
                                                  const std::string& runner) {
  const jobs::Runner* const registered = m_state.FindRunner(runner);
  if (registered == nullptr) {
    return std::nullopt;
  }
  StepAdvice& advice = m_advice_by_step[StepOf(step)];
  const auto answer = advice.m_answers.find(runner);
  if (m_now < advice.m_valid_until && answer != advice.m_answers.end() &&
      answer->second.m_born_ms == registered->m_record.born_ms) {
    return answer->second.m_ticket;
  }
  if (!advice.m_call_in_flight &&
      advice.m_next_runners.size() < kMaxRunnersPerCall) {
    if (advice.m_next_runners.empty()) {
      advice.m_queue_number = m_next_queue_number++;
    }
    advice.m_next_runners.insert(runner);
  }
  return std::nullopt;
}

std::vector<AdviceRequest> AdviceCache::TakeRequests(Instant now) {
  m_now = now;
  // In the order in which the plans asked: jobs that arrive faster than the
  // adviser answers must not keep an earlier one waiting.
  std::map<std::uint64_t, std::pair<const jobs::TaskKey, StepAdvice>*> queue;
  for (auto advice = m_advice_by_step.begin();
       advice != m_advice_by_step.end();) {
    const jobs::Job* const job = m_state.FindJob(advice->first.m_job);
    const bool is_active =
        job != nullptr && job->m_state == jobs::JobState::kActive;
    if (!is_active && !advice->second.m_call_in_flight) {
      advice = m_advice_by_step.erase(advice);
      continue;
    }
    if (is_active && !advice->second.m_call_in_flight &&
        !advice->second.m_next_runners.empty()) {
      queue[advice->second.m_queue_number] = &*advice;
    }
    ++advice;
  }
  std::vector<AdviceRequest> requests;
  for (const auto& [number, advice] : queue) {
    if (m_calls_in_flight >= kMaxCallsInFlight || now < m_next_call) {
      break;
    }
    requests.push_back(MakeRequest(advice->first, advice->second));
    ++m_calls_in_flight;
  }
  return requests;
}

AdviceRequest AdviceCache::MakeRequest(const jobs::TaskKey& step,
                                       StepAdvice& advice) const {
  AdviceRequest request;
  request.m_step = step;
  request.m_job_name = m_state.FindJob(step.m_job)->m_spec.id;
  request.m_runners.assign(advice.m_next_runners.begin(),
                           advice.m_next_runners.end());
  advice.m_called_runners.clear();
  for (const std::string& id : request.m_runners) {
    if (const jobs::Runner* const runner = m_state.FindRunner(id)) {
      advice.m_called_runners[id] = runner->m_record.born_ms;
    }
  }
  advice.m_call_in_flight = true;
  return request;
}

void AdviceCache::OnAdvice(const AdviceRequest& request,
                           const std::map<std::string, std::string>* tickets,
                           Duration valid, Instant now) {
  m_now = now;
  m_calls_in_flight = m_calls_in_flight > 0 ? m_calls_in_flight - 1 : 0;
  const auto found = m_advice_by_step.find(request.m_step);
  if (found == m_advice_by_step.end()) {
    return;
  }
  StepAdvice& advice = found->second;
  advice.m_call_in_flight = false;
  advice.m_next_runners.clear();
  if (tickets == nullptr) {
    m_next_call = now + kRetryInterval;
    return;
  }
  if (now >= advice.m_valid_until) {
    advice.m_answers.clear();
    advice.m_valid_until = now + std::max(valid - kTicketMargin, valid / 2);
  }
  for (const auto& [runner, born_ms] : advice.m_called_runners) {
    const auto ticket = tickets->find(runner);
    advice.m_answers[runner] = {born_ms, ticket == tickets->end()
                                             ? std::nullopt
                                             : std::optional(ticket->second)};
  }
  advice.m_called_runners.clear();
}

void AdviceCache::Clear() {
  m_advice_by_step.clear();
  m_calls_in_flight = 0;
}

}  // namespace bronzebarrow::node
