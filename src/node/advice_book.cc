// Batching of calls to the adviser and expiry of its tickets.
#include "bronzebarrow/node/advice_book.h"

#include <algorithm>

namespace bronzebarrow::node {
namespace {

// Bounds the duration of a call, which grows with the number of runners that it
// names (platform documentation).
constexpr std::size_t kMaxRunners = 30;
// The adviser serves one call at a time. A second call in flight keeps it busy
// while the response to the first one returns.
constexpr std::size_t kMaxCallsOut = 2;
constexpr Duration kRetry = Millis(300);
// The last part of a ticket's validity is not used: the start call that carries
// the ticket arrives only after a commit and a network trip.
constexpr Duration kTicketMargin = Millis(300);

}  // namespace

std::optional<std::string> AdviceBook::TicketFor(const jobs::TaskKey& step,
                                                 const std::string& runner) {
  Entry& entry = m_entries[StepOf(step)];
  if (m_now < entry.m_valid_until) {
    const auto ticket = entry.m_tickets.find(runner);
    if (ticket != entry.m_tickets.end()) {
      return ticket->second;
    }
    if (entry.m_asked.contains(runner)) {
      return std::nullopt;
    }
  }
  if (!entry.m_out && entry.m_wanted.size() < kMaxRunners) {
    entry.m_wanted.insert(runner);
  }
  return std::nullopt;
}

std::vector<AdviceRequest> AdviceBook::TakeRequests(Instant now) {
  m_now = now;
  std::vector<AdviceRequest> requests;
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    const jobs::Job* const job = m_state.FindJob(entry->first.m_job);
    if (job == nullptr || job->m_state != jobs::JobState::kActive) {
      entry = entry->second.m_out ? std::next(entry) : m_entries.erase(entry);
      continue;
    }
    if (!entry->second.m_wanted.empty() && !entry->second.m_out &&
        m_out < kMaxCallsOut && now >= m_next_call) {
      AdviceRequest request;
      request.m_step = entry->first;
      request.m_job_name = job->m_spec.id;
      request.m_runners.assign(entry->second.m_wanted.begin(),
                               entry->second.m_wanted.end());
      entry->second.m_out = true;
      ++m_out;
      requests.push_back(std::move(request));
    }
    ++entry;
  }
  return requests;
}

void AdviceBook::OnAdvice(const AdviceRequest& request,
                          const std::map<std::string, std::string>* tickets,
                          Duration valid, Instant now) {
  m_now = now;
  m_out = m_out > 0 ? m_out - 1 : 0;
  const auto found = m_entries.find(request.m_step);
  if (found == m_entries.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.m_out = false;
  entry.m_wanted.clear();
  if (tickets == nullptr) {
    m_next_call = now + kRetry;
    return;
  }
  if (now >= entry.m_valid_until) {
    entry.m_tickets.clear();
    entry.m_asked.clear();
    entry.m_valid_until = now + std::max(valid - kTicketMargin, valid / 2);
  }
  entry.m_asked.insert(request.m_runners.begin(), request.m_runners.end());
  entry.m_tickets.insert(tickets->begin(), tickets->end());
}

void AdviceBook::Clear() {
  m_entries.clear();
  m_out = 0;
}

}  // namespace bronzebarrow::node
