// The fleet's replicated records (instances, planned stops and waves) and the
// check that every planned stop must pass.
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

/**
 * How long an instance stays on probation after its return; during this time
 * the check of planned stops assumes that one such instance may be lost again.
 */
constexpr std::uint64_t kProbationMs = 10'000;
/** Number of ended stops kept for operators to read. */
constexpr std::size_t kMaxKeptEndedStops = 64;
/** A wave is halted if an instance has not returned this long after release. */
constexpr std::uint64_t kReturnTimeoutMs = 10 * 60 * 1000;

/** The result of a command: kOk, or an error code with its reason. */
struct Outcome {
  ErrorCode m_code = ErrorCode::kOk;
  std::string m_context;

  bool ok() const { return m_code == ErrorCode::kOk; }
};

/** The record of one instance, keyed by its name. */
struct Instance {
  // An instance belongs to exactly one pool; the pool is stored only here.
  std::string m_pool;
  std::string m_zone;
  std::string m_rack;
  std::uint64_t m_incarnation = 0;
  InstanceState m_state = InstanceState::kInService;
  std::uint64_t m_since_ms = 0;  // Log time of the last state change.
};

/** A planned stop, keyed by its id; times are log times. */
struct Stop {
  std::string m_instance;
  // Incarnation of the instance when the stop was announced.
  std::uint64_t m_incarnation = 0;
  StopState m_state = StopState::kDraining;
  wire::StopReason m_reason = wire::StopReason::Planned;
  std::string m_wave_id;  // Empty for a stop that is not part of a wave.
  std::uint64_t m_announced_ms = 0;
  std::uint64_t m_deadline_ms = 0;
  std::uint64_t m_ended_ms = 0;  // Last state change; 0 while draining.
};

/** A rolling stop of all instances of a pool, keyed by its id. */
struct Wave {
  std::string m_pool;
  WaveState m_state = WaveState::kRunning;
  // Concurrent stops allowed: starts with one canary and doubles with each
  // instance that returns, up to the maximum.
  std::uint32_t m_width = 1;
  std::uint32_t m_max_width = 1;
  std::deque<std::string> m_waiting;  // Instances not yet stopped.
  std::set<std::string> m_active;     // Instances draining or stopped.
  std::vector<std::string> m_done;    // Instances stopped and returned.
  std::uint64_t m_started_ms = 0;
  std::uint64_t m_ended_ms = 0;
};

/** The instances a plan has in a pool, compared with its floor. */
struct Margin {
  std::string m_plan;
  std::string m_pool;
  std::int64_t m_available = 0;  // Instances in service or on probation.
  // Instances in the largest failure domain to survive, plus one if any
  // instance is on probation.
  std::int64_t m_reserve = 0;
  std::int64_t m_floor = 0;

  /** @return the instances above the floor; negative if below it. */
  std::int64_t Spare() const { return m_available - m_reserve - m_floor; }
};

/** Deterministic: results depend only on the records and on log time. */
class Fleet {
 public:
  /** Sets the lists that planned stops are checked against; not owned. */
  void SetLists(const Lists* lists) { m_lists = lists; }

  Outcome AnnounceStop(const wire::AnnounceStopT& command,
                       std::uint64_t now_ms);
  Outcome Update(const wire::UpdateStopT& command, std::uint64_t now_ms);
  Outcome Start(const wire::StartWaveT& command, std::uint64_t now_ms);
  Outcome Update(const wire::UpdateWaveT& command, std::uint64_t now_ms);
  /** Records the presence or absence of an instance, as seen by entries. */
  Outcome Observe(const wire::ObservationT& observation, std::uint64_t now_ms);
  /** Returns instances to service whose probation has ended. */
  void AdvanceTime(std::uint64_t now_ms);

  /**
   * Checks that a stop of `instance` leaves each plan at or above its floor,
   * even if its largest failure domain and an instance on probation are lost
   * during the stop.
   */
  Outcome CheckStop(const std::string& instance) const;
  /** @return the margin of each use, with instance `without` not counted. */
  std::vector<Margin> Margins(const std::string& without = "") const;
  /** @return at most one stop per running wave that CheckStop allows now. */
  std::vector<wire::AnnounceStopT> NextWaveStops() const;
  /**
   * @return the running waves in which a released instance has not returned
   * within kReturnTimeoutMs.
   */
  std::vector<std::string> OverdueWaves(std::uint64_t now_ms) const;

  const std::map<std::string, Instance>& instances() const {
    return m_instances;
  }
  const std::map<std::string, Stop>& stops() const { return m_stops; }
  const std::map<std::string, Wave>& waves() const { return m_waves; }
  /** Increases with each change that entries must receive. */
  std::uint64_t version() const { return m_version; }

  void ToWire(wire::ControlImageT& image) const;
  void FromWire(const wire::ControlImageT& image);

 private:
  Margin MarginOf(const Use& use, const std::string& without) const;
  void ApplyEvent(Instance& instance, InstanceEvent event,
                  std::uint64_t now_ms);
  void ApplyStopEvent(const std::string& stop_id, StopEvent event,
                      std::uint64_t now_ms);
  void OnWaveStopEnded(const Stop& stop, std::uint64_t now_ms);
  void HaltWavesThatStopped(const std::string& instance);
  void TrimEndedStops();
  std::optional<std::string> OpenStopOf(const std::string& instance) const;

  const Lists* m_lists = nullptr;
  std::map<std::string, Instance> m_instances;
  std::map<std::string, Stop> m_stops;  // At most one open per instance.
  std::map<std::string, Wave> m_waves;  // At most one running per pool.
  std::uint64_t m_version = 0;
};

}  // namespace bronzebarrow::fleet

#endif  // BRONZEBARROW_FLEET_FLEET_H_
