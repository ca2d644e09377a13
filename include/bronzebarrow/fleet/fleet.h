// The fleet's replicated records: instances, planned stops and waves, and the
// guard that every planned step has to pass.
#ifndef BRONZEBARROW_FLEET_FLEET_H_
#define BRONZEBARROW_FLEET_FLEET_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bronzebarrow/base/error_code.h"
#include "bronzebarrow/fleet/lifecycle.h"
#include "bronzebarrow/fleet/lists.h"
#include "wire_generated.h"

namespace bronzebarrow::fleet {

/** How long a returned instance is not yet counted on, in milliseconds. */
constexpr std::uint64_t kProbationMs = 10'000;
/** How many ended stops are kept for operators to read. */
constexpr std::size_t kKeptHistory = 64;
/** How long a wave waits for a released instance to return. */
constexpr std::uint64_t kReturnTimeoutMs = 10 * 60 * 1000;

/** A change's outcome: kOk, or a typed refusal with its reason. */
struct Outcome {
  ErrorCode m_code = ErrorCode::kOk;
  std::string m_context;

  bool ok() const { return m_code == ErrorCode::kOk; }
};

struct Instance {
  std::string m_pool;  // Exactly one; the record is the only place it stands.
  std::string m_zone;
  std::string m_rack;
  std::uint64_t m_incarnation = 0;
  InstanceState m_state = InstanceState::kInService;
  std::uint64_t m_since_ms = 0;  // Log time of the last change of state.
};

struct Stop {
  std::string m_instance;
  std::uint64_t m_incarnation = 0;  // Of the instance when it was announced.
  StopState m_state = StopState::kDraining;
  wire::StopReason m_reason = wire::StopReason::Planned;
  std::string m_wave_id;
  std::uint64_t m_announced_ms = 0;
  std::uint64_t m_deadline_ms = 0;
  std::uint64_t m_ended_ms = 0;
};

struct Wave {
  std::string m_pool;
  WaveState m_state = WaveState::kRunning;
  std::uint32_t m_width = 1;  // Stops at once; the first is the canary.
  std::uint32_t m_max_width = 1;
  std::deque<std::string> m_waiting;
  std::set<std::string> m_active;
  std::vector<std::string> m_done;
  std::uint64_t m_started_ms = 0;
  std::uint64_t m_ended_ms = 0;
};

/** How far a plan's use of a pool is above its floor. */
struct Margin {
  std::string m_plan;
  std::string m_pool;
  std::int64_t m_available = 0;  // Instances that serve now.
  std::int64_t m_reserve = 0;    // Worst failure domain plus probation.
  std::int64_t m_floor = 0;

  std::int64_t Spare() const { return m_available - m_reserve - m_floor; }
};

/** Deterministic: results depend on the records and the log's clock only. */
class Fleet {
 public:
  void SetLists(const Lists* lists) { m_lists = lists; }

  Outcome Announce(const wire::AnnounceStopT& command, std::uint64_t now_ms);
  Outcome Update(const wire::UpdateStopT& command, std::uint64_t now_ms);
  Outcome Start(const wire::StartWaveT& command, std::uint64_t now_ms);
  Outcome Update(const wire::UpdateWaveT& command, std::uint64_t now_ms);
  /** Takes one instance's presence as the entries hear it. */
  Outcome Observe(const wire::ObservationT& observation, std::uint64_t now_ms);
  /** Ends probations that are due. */
  void AdvanceTime(std::uint64_t now_ms);

  /**
   * The guard: whether `instance` may stop now without any plan's use falling
   * below its floor, even if its worst failure domain and a returned instance
   * are lost meanwhile.
   */
  Outcome MayStop(const std::string& instance) const;
  /** @return the margin of each use, as if `without` did not serve. */
  std::vector<Margin> Margins(const std::string& without = "") const;
  /** @return the stops that running waves want and the guard allows. */
  std::vector<wire::AnnounceStopT> NextWaveStops() const;
  /** @return waves to halt: a released instance did not return in time. */
  std::vector<std::string> OverdueWaves(std::uint64_t now_ms) const;

  const std::map<std::string, Instance>& instances() const {
    return m_instances;
  }
  const std::map<std::string, Stop>& stops() const { return m_stops; }
  const std::map<std::string, Wave>& waves() const { return m_waves; }
  /** Increases with each change that entries must know of. */
  std::uint64_t version() const { return m_version; }

  void ToWire(wire::ControlImageT& image) const;
  void FromWire(const wire::ControlImageT& image);

 private:
  Margin MarginOf(const Use& use, const std::string& without) const;
  void Step(Instance& instance, InstanceEvent event, std::uint64_t now_ms);
  void EndStop(const std::string& stop_id, StopEvent event,
               std::uint64_t now_ms);
  void OnWaveStopEnded(const Stop& stop, std::uint64_t now_ms);
  void HaltWavesWith(const std::string& instance);
  void ForgetOldHistory();
  std::optional<std::string> OpenStopOf(const std::string& instance) const;

  const Lists* m_lists = nullptr;
  std::map<std::string, Instance> m_instances;
  std::map<std::string, Stop> m_stops;  // At most one open per instance.
  std::map<std::string, Wave> m_waves;  // At most one running per pool.
  std::uint64_t m_version = 0;
};

}  // namespace bronzebarrow::fleet

#endif  // BRONZEBARROW_FLEET_FLEET_H_
