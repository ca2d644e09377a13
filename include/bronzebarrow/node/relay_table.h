// Decides which member carries out a call to a runner, and tracks the calls
// that were given to other members. Load pattern: over a thousand runners and
// two thousand starts a second, more than the leader's processor share can
// exchange with the runners itself. Test: tests/relay_table_test.cc; the choice
// is described in docs/decisions/0006.
#ifndef BRONZEBARROW_NODE_RELAY_TABLE_H_
#define BRONZEBARROW_NODE_RELAY_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bronzebarrow/base/time.h"
#include "bronzebarrow/runs.h"

namespace bronzebarrow::node {

struct RelayOptions {
  /**
   * Runners that the leader calls itself; about as many are cheap for it, and a
   * call of its own is one network trip shorter. The others are spread over the
   * other members.
   */
  std::size_t m_direct_runners = 64;
  /**
   * A member that was silent for this long gets no calls, and those that it has
   * count as unanswered. Members send their view every 400 ms.
   */
  Duration m_max_silence = Millis(900);
  /**
   * Time allowed for the answer beyond the wait that the call asks for: the
   * member's own timeout and two trips between members.
   */
  Duration m_answer_timeout = Millis(1000);
};

/**
 * A member that relays calls has no authority: a call carries the epoch, the
 * run and the lease that the leader decided, and a time on the member's own
 * clock after which it must not be sent. That time is never later than the end
 * of the leader's confirmed leadership.
 */
class RelayTable {
 public:
  explicit RelayTable(RelayOptions options) : m_options(options) {}

  /**
   * Records a new connection to a member, which may have restarted with another
   * clock. Calls sent on the old connection count as unanswered.
   */
  void OnConnect(const std::string& member) { m_members[member] = {}; }
  /** Records a frame of a member. */
  void OnFrame(const std::string& member, Instant now);
  /** Records a reading of a member's monotonic clock. */
  void OnClock(const std::string& member, std::uint64_t clock_ms, Instant now);

  /**
   * @param runners number of registered runners
   * @return the member that relays the calls to the runner; empty when the
   * leader calls it directly
   */
  std::string ChooseMember(const std::string& runner, std::size_t runners,
                           Instant now) const;
  /**
   * Adds a call that is sent to a member next.
   * @param valid_until end of the leader's confirmed leadership
   */
  wire::RelayedCallT Add(const std::string& member,
                         const runs::RunnerCall& call, Instant valid_until,
                         Instant now);
  /** @return the call of the answer; nothing if it is unknown or was overdue.
   */
  std::optional<runs::RunnerCall> Take(const std::string& member,
                                       std::uint64_t id);
  /**
   * This process did not run for `span` up to now, so frames that arrived
   * meanwhile may not have been read: postpones the silence of members and the
   * time at which calls are overdue. Permissions to send are not extended.
   */
  void OnUnattended(Duration span, Instant now);
  /** @return the calls that count as unanswered from now on. */
  std::vector<runs::RunnerCall> TakeOverdue(Instant now);
  std::size_t pending() const { return m_pending.size(); }

 private:
  struct MemberClock {
    std::uint64_t m_clock_ms = 0;  // 0: not read yet.
    Instant m_read_at;
    Instant m_last_frame;
  };
  struct Pending {
    std::string m_member;
    runs::RunnerCall m_call;
    Instant m_overdue_at;
  };

  bool IsLive(const MemberClock& member, Instant now) const;

  RelayOptions m_options;
  std::map<std::string, MemberClock> m_members;
  std::map<std::uint64_t, Pending> m_pending;  // By call id.
  std::uint64_t m_next_id = 1;
};

// Conversions between calls, answers and their wire form.
wire::RelayedCallT ToWire(const runs::RunnerCall& call);
runs::RunnerCall FromWire(const wire::RelayedCallT& call);
wire::RelayedAnswerT ToWire(const runs::RunnerAnswer& answer);
runs::RunnerAnswer FromWire(const wire::RelayedAnswerT& answer);

}  // namespace bronzebarrow::node

#endif  // BRONZEBARROW_NODE_RELAY_TABLE_H_
