// Core of the router, without I/O: admission, queueing, target selection and
// draining of targets.
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
  std::size_t m_max_queue = 512;    // Queued requests per pool.
  QueuePolicy m_queue_policy = QueuePolicy::kClassDeadline;
  BalancePolicy m_balance_policy = BalancePolicy::kLeastLoaded;
};

/** A request to route. If `m_pool` is empty, the plan's own pool is used. */
struct RouteRequest {
  std::uint64_t m_id = 0;  // Unique within this entry.
  std::string m_plan;
  std::string m_pool;
  Instant m_deadline;
};

/**
 * Assignment of one request to one target. Occupies a slot of the target until
 * it is passed to Router::Finish.
 */
struct Dispatch {
  std::uint64_t m_request_id = 0;
  std::string m_instance;
  Address m_address;
};

/** A queued request that was removed from its queue without a dispatch. */
struct Refusal {
  std::uint64_t m_request_id = 0;
  ErrorCode m_code = ErrorCode::kInternal;
};

enum class RouteVerdict { kDispatched, kQueued, kRefused };

struct RouteDecision {
  RouteVerdict m_verdict = RouteVerdict::kRefused;
  ErrorCode m_code = ErrorCode::kOk;  // Reason when refused, else kOk.
  Dispatch m_dispatch;                // Set when dispatched.
  // Less urgent request that was removed from the queue; empty: none.
  std::optional<Refusal> m_evicted;
};

/** Outcome of a dispatch, for failure detection of the target. */
enum class TargetOutcome {
  kAnswered,  // A response arrived; resets the target's failure count.
  kFailed,    // Counts as a failure of the target.
  kNotSent    // Does not change the failure count.
};

/** Changes of queued requests after a finished dispatch or elapsed time. */
struct RouterActions {
  std::vector<Dispatch> m_dispatches;
  std::vector<Refusal> m_refusals;
};

/** Not thread-safe: the caller must hold the routing lock. */
class Router {
 public:
  explicit Router(RouterOptions options) : m_options(options) {}

  void SetLists(std::shared_ptr<const fleet::Lists> lists);
  /** Replaces the open planned stops. Their targets get no new requests. */
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
  /**
   * Refuses queued requests past their deadline, removes expired targets and
   * dispatches from the queues.
   */
  RouterActions Advance(Instant now);

  /**
   * @return the IDs of the stops in draining state whose target has no request
   * in flight from this entry.
   */
  std::vector<std::string> DrainedStops() const;
  /** @return an observation of every target in the table, as present. */
  std::vector<wire::ObservationT> Observations() const;
  /**
   * @return the open planned stop that applies to this incarnation of
   * `instance`, or null. A stop also applies to earlier incarnations.
   */
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
  using Queue = std::set<QueueKey>;  // Queued requests of one pool.

  /** @return this entry's share of the plan's quota. */
  std::uint32_t QuotaShare(const fleet::Plan& plan) const;
  /** @return this entry's share of the target's slots. */
  std::uint32_t TargetSlotShare(const std::string& name,
                                const Target& target) const;
  /** @return whether the target announced leaving or has an open stop. */
  bool IsLeaving(const std::string& name, const Target& target) const;
  bool AcceptsNewWork(const std::string& name, const Target& target,
                      Instant now) const;
  /**
   * @return a dispatch, or nothing when the plan's share of the quota is used
   * up or no suitable target has a free slot.
   */
  std::optional<Dispatch> TryDispatch(std::uint64_t request_id,
                                      const fleet::Plan& plan,
                                      const fleet::Use& use, Instant now);
  /** @return whether a target accepts new work, with or without free slots. */
  bool HasAvailableTarget(const fleet::Use& use, Instant now) const;
  RouteDecision Enqueue(const RouteRequest& request, const fleet::Plan& plan,
                        const std::string& pool);
  void RemoveWaiting(std::uint64_t request_id);
  void ServeQueue(const std::string& pool, Instant now, RouterActions& actions);
  /**
   * Counts a failure and quarantines the target after kFailuresToQuarantine
   * consecutive ones, unless more than half of its pool would be quarantined.
   */
  void RecordTargetFailure(Target& target, Instant now);

  RouterOptions m_options;
  std::shared_ptr<const fleet::Lists> m_lists;
  TargetTable m_table;
  std::vector<wire::StopNoticeT> m_stops;  // Open planned stops.
  std::map<std::string, Queue> m_queues;   // Keyed by pool.
  // Keyed by request ID; one for each key in m_queues.
  std::map<std::uint64_t, QueuedRequest> m_waiting;
  std::map<std::string, PlanLoad> m_plan_load;  // Keyed by plan.
  // Plan of each dispatched request, by request ID.
  std::map<std::uint64_t, std::string> m_plan_by_request;
  // Sum of m_in_flight of all targets; equals the size of m_plan_by_request.
  std::uint32_t m_in_flight = 0;
  std::uint64_t m_rotation = 0;  // Increases with each choice of a target.
};

}  // namespace bronzebarrow::routing

#endif  // BRONZEBARROW_ROUTING_ROUTER_H_
