// The router's decision core: admission, queueing, choice of target, drains.
#ifndef BRONZEBARROW_ROUTING_ROUTER_H_
#define BRONZEBARROW_ROUTING_ROUTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bronzebarrow/base/error_code.h"
#include "bronzebarrow/fleet/lists.h"
#include "bronzebarrow/routing/policy.h"
#include "bronzebarrow/routing/target_table.h"
#include "wire_generated.h"

namespace bronzebarrow::routing {

struct RouterOptions {
  std::uint32_t m_entry_index = 0;
  std::uint32_t m_entry_count = 1;  // Greater than m_entry_index.
  std::size_t m_max_queue = 512;    // Waiting requests of one pool.
  QueuePolicy m_queue_policy = QueuePolicy::kClassDeadline;
  BalancePolicy m_balance_policy = BalancePolicy::kLeastLoaded;
};

/** A request to place. An empty pool means the plan's own pool. */
struct RouteRequest {
  std::uint64_t m_id = 0;  // Unique within the entry.
  std::string m_plan;
  std::string m_pool;
  Instant m_deadline;
};

/** Permission to send one request to one target; ends with Finish. */
struct Dispatch {
  std::uint64_t m_request_id = 0;
  std::string m_instance;
  Address m_address;
};

/** A waiting request that will not be dispatched any more. */
struct Refusal {
  std::uint64_t m_request_id = 0;
  ErrorCode m_code = ErrorCode::kInternal;
};

enum class RouteVerdict { kDispatched, kQueued, kRefused };

struct RouteDecision {
  RouteVerdict m_verdict = RouteVerdict::kRefused;
  ErrorCode m_code = ErrorCode::kOk;   // Why it was refused.
  Dispatch m_dispatch;                 // When it was dispatched.
  std::optional<Refusal> m_displaced;  // A less urgent request put out.
};

/** What became of a dispatch, as far as the target is to blame. */
enum class TargetOutcome { kAnswered, kFailed, kUnused };

/** Changes that follow from a finished dispatch or the passing of time. */
struct RouterActions {
  std::vector<Dispatch> m_dispatches;
  std::vector<Refusal> m_refusals;
};

/** Not thread-safe: the caller holds the routing lock. */
class Router {
 public:
  explicit Router(RouterOptions options) : m_options(options) {}

  void SetLists(std::shared_ptr<const fleet::Lists> lists);
  /** Takes the open planned stops; their targets get no new work. */
  void SetStops(std::vector<wire::StopNoticeT> stops);
  AnnounceVerdict Announce(const wire::AnnouncementT& announcement,
                           Instant now);

  AnnounceVerdict Refresh(const wire::Refresh& refresh, Instant now) {
    return m_table.Refresh(refresh, now);
  }
  std::optional<wire::AnnouncementT> Describe(std::uint64_t name_hash) const {
    return m_table.Describe(name_hash);
  }

  RouteDecision Submit(const RouteRequest& request, Instant now);
  RouterActions Finish(const Dispatch& dispatch, TargetOutcome outcome,
                       Instant now);
  /** Ends waits past their deadline, times out targets, serves the queues. */
  RouterActions Advance(Instant now);

  /** @return the draining stops whose target has nothing in flight here. */
  std::vector<std::string> DrainedStops() const;
  /** @return presence of every target known here. */
  std::vector<wire::ObservationT> Observations() const;
  /** @return the state a target's announcement is answered with. */
  const wire::StopNoticeT* OpenStopOf(const std::string& instance,
                                      std::uint64_t incarnation) const;

  const std::map<std::string, Target>& targets() const {
    return m_table.targets();
  }
  std::uint32_t InFlight() const { return m_in_flight; }
  std::size_t WaitingCount() const { return m_waiting.size(); }

 private:
  struct QueuedRequest {
    std::string m_plan;
    std::string m_pool;
    Instant m_deadline;
    QueueKey m_key;
  };
  struct PlanLoad {
    std::uint32_t m_in_flight = 0;
    std::uint32_t m_waiting = 0;
  };
  using Queue = std::set<QueueKey>;

  std::uint32_t QuotaShare(const fleet::Plan& plan) const;
  std::uint32_t ShareOf(const std::string& name, const Target& target) const;
  bool IsLeaving(const std::string& name, const Target& target) const;
  bool AcceptsNewWork(const std::string& name, const Target& target,
                      Instant now) const;
  std::optional<Dispatch> TryDispatch(std::uint64_t request_id,
                                      const fleet::Plan& plan,
                                      const fleet::Use& use, Instant now);
  bool HasTarget(const fleet::Use& use, Instant now) const;
  RouteDecision Enqueue(const RouteRequest& request, const fleet::Plan& plan,
                        const std::string& pool);
  void RemoveWaiting(std::uint64_t request_id);
  void ServeQueue(const std::string& pool, Instant now, RouterActions& actions);
  void BlameTarget(Target& target, Instant now);

  RouterOptions m_options;
  std::shared_ptr<const fleet::Lists> m_lists;
  TargetTable m_table;
  std::vector<wire::StopNoticeT> m_stops;
  std::map<std::string, Queue> m_queues;
  std::map<std::uint64_t, QueuedRequest> m_waiting;  // One per queue entry.
  std::map<std::string, PlanLoad> m_plan_load;
  std::map<std::uint64_t, std::string> m_plan_of;  // Of dispatched requests.
  std::uint32_t m_in_flight = 0;  // Sum of the targets' and size of m_plan_of.
  std::uint64_t m_turn = 0;
};

}  // namespace bronzebarrow::routing

#endif  // BRONZEBARROW_ROUTING_ROUTER_H_
