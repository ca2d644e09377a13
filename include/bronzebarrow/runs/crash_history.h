// The latest crashes of each pool that one owner has seen. Load pattern: tasks
// that crash their runners come several at a time, or runners also crash for
// reasons of their own. Test: tests/crash_replay_test.cc.
#ifndef BRONZEBARROW_RUNS_CRASH_HISTORY_H_
#define BRONZEBARROW_RUNS_CRASH_HISTORY_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "bronzebarrow/base/time.h"

namespace bronzebarrow::runs {

class CrashHistory {
 public:
  /** @param without_cause whether no run there can have caused it */
  void Record(const std::string& pool, bool without_cause, Instant now);
  /**
   * @return whether most crashes in the pool lately came just after a start, so
   * that tasks are more likely to be their cause than the runners
   */
  bool CrashesFollowStarts(const std::string& pool, Instant now) const;
  /** @return runners of the pool that may not have started again yet. */
  std::size_t CountNotBack(const std::string& pool, Instant now) const;
  /**
   * @return whether a runner of the pool crashed lately although no run there
   * can have caused it, so that a crash after a start may be a coincidence
   */
  bool HasOtherCauses(const std::string& pool, Instant now) const;

 private:
  struct Crash {
    Instant m_time;
    bool m_without_cause = false;
  };

  // By pool, in the order of time; none is older than kRememberedTime when one
  // is added.
  std::map<std::string, std::deque<Crash>> m_crashes;
};

}  // namespace bronzebarrow::runs

#endif  // BRONZEBARROW_RUNS_CRASH_HISTORY_H_
