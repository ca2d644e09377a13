// A member's queue of incoming work. When processor time is short, work that
// keeps promises (consensus, leases, ends of runs) is served before work that
// can be refused. Test: tests/work_inbox_test.cc.
#ifndef BRONZEBARROW_NODE_WORK_INBOX_H_
#define BRONZEBARROW_NODE_WORK_INBOX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <utility>

#include "bronzebarrow/base/enum_names.h"
#include "bronzebarrow/base/time.h"

namespace bronzebarrow::node {

/** Kinds of incoming work, the one that is served first comes first. */
enum class WorkClass : std::uint8_t {
  kConsensus,     // Consensus messages and views.
  kRunnerAnswer,  // Answers to relayed calls.
  kHold,          // Relayed calls that other members ask this one to make.
  kStop,
  kStart,
  kReport,  // Runners' reports and operators' calls.
  kRead,    // Reads and cancels.
  kSubmit,
};
constexpr std::size_t kWorkClasses = 8;

/** What is left to do for a piece of work that leaves the inbox. */
enum class InboxState : std::uint8_t {
  kDue,
  kOverdue,  // Its caller no longer waits for it.
  kTooOld,   // A submit that waited so long that it is refused.
};

struct WorkInboxOptions {
  /** A submit that waited longer than this is refused. */
  Duration m_max_submit_age = Millis(400);
};

/** Serves the first class that has work, and the oldest work of a class. */
template <typename Item>
class WorkInbox {
 public:
  struct Popped {
    WorkClass m_class = WorkClass::kConsensus;
    Item m_item;
    Duration m_waited = Duration::zero();
    InboxState m_state = InboxState::kDue;
  };

  /** Patience of work that nobody waits for: it never becomes overdue. */
  static constexpr Duration kUnlimited = Duration::max();

  explicit WorkInbox(WorkInboxOptions options = {}) : m_options(options) {}

  /** @param patience how long after `arrived` the caller waits. */
  void Push(WorkClass work_class, Item item, Instant arrived,
            Duration patience = kUnlimited) {
    const Instant caller_leaves = patience > Instant::max() - arrived
                                      ? Instant::max()
                                      : arrived + patience;
    m_queues[Index(work_class)].push_back(
        {std::move(item), arrived, caller_leaves});
    ++m_size;
  }

  /** @return the next piece of work; nothing if the inbox is empty. */
  std::optional<Popped> Pop(Instant now) {
    if (m_size == 0) {
      return std::nullopt;
    }
    const std::size_t index = NextQueue(now);
    std::deque<Entry>& queue = m_queues[index];
    Entry entry = std::move(queue.front());
    queue.pop_front();
    --m_size;
    const auto work_class = static_cast<WorkClass>(index);
    const Duration waited =
        now > entry.m_arrived ? now - entry.m_arrived : Duration::zero();
    return Popped{work_class, std::move(entry.m_item), waited,
                  StateOf(work_class, entry, now)};
  }

  bool empty() const { return m_size == 0; }
  std::size_t size() const { return m_size; }
  std::size_t size(WorkClass work_class) const {
    return m_queues[Index(work_class)].size();
  }

 private:
  struct Entry {
    Item m_item;
    Instant m_arrived;
    Instant m_caller_leaves;
  };

  static constexpr std::size_t Index(WorkClass work_class) {
    return static_cast<std::size_t>(work_class);
  }

  InboxState StateOf(WorkClass work_class, const Entry& entry,
                     Instant now) const {
    if (now > entry.m_caller_leaves) {
      return InboxState::kOverdue;
    }
    const bool too_old = work_class == WorkClass::kSubmit &&
                         now - entry.m_arrived > m_options.m_max_submit_age;
    return too_old ? InboxState::kTooOld : InboxState::kDue;
  }

  // Requires that the inbox is not empty.
  std::size_t NextQueue(Instant now) const {
    // A refusal costs little and lets the caller return elsewhere or later, so
    // it does not wait behind reports and reads.
    const std::deque<Entry>& submits = m_queues[Index(WorkClass::kSubmit)];
    const bool refuses_next =
        !submits.empty() &&
        StateOf(WorkClass::kSubmit, submits.front(), now) != InboxState::kDue;
    for (std::size_t i = 0; i < kWorkClasses; ++i) {
      if (refuses_next && i == Index(WorkClass::kReport)) {
        break;
      }
      if (!m_queues[i].empty()) {
        return i;
      }
    }
    return Index(WorkClass::kSubmit);
  }

  WorkInboxOptions m_options;
  std::array<std::deque<Entry>, kWorkClasses> m_queues;  // By class.
  std::size_t m_size = 0;  // Sum of the sizes of the queues.
};

}  // namespace bronzebarrow::node

template <>
struct bronzebarrow::EnumNames<bronzebarrow::node::WorkClass> {
  static constexpr std::array<std::string_view,
                              bronzebarrow::node::kWorkClasses>
      kNames = {"consensus", "runner_answer", "hold", "stop",
                "start",     "report",        "read", "submit"};
};

template <>
struct bronzebarrow::EnumNames<bronzebarrow::node::InboxState> {
  static constexpr std::array<std::string_view, 3> kNames = {"due", "overdue",
                                                             "too_old"};
};

#endif  // BRONZEBARROW_NODE_WORK_INBOX_H_
