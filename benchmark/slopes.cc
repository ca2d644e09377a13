// Measures in process how processor time and memory grow with the size of the
// input. Prints one CSV line per measurement: name,size,value,unit. The seed
// selects the keys, and the instances and plans that are accessed.
#include <gflags/gflags.h>

#include <chrono>
#include <filesystem>
#include <functional>
#include <iostream>
#include <random>
#include <string>

#include "bronzebarrow/base.h"
#include "bronzebarrow/consensus.h"
#include "bronzebarrow/control.h"
#include "bronzebarrow/ledger.h"
#include "bronzebarrow/routing.h"
#include "bronzebarrow/wire.h"

DEFINE_uint64(seed, 1, "seed");
DEFINE_string(folder, "/tmp",
              "parent folder for the files of the recovery measurement");

namespace bronzebarrow {
namespace {

constexpr std::uint64_t kWallTimeMs = 1'800'000'000'000;
constexpr int kZones = 25;
constexpr int kInstancesPerPool = 5;
constexpr int kMicrosPerSecond = 1'000'000;

double MeasureSeconds(const std::function<void()>& work) {
  const auto start = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

void PrintMeasurement(const char* name, std::size_t size, double value,
                      const char* unit) {
  std::cout << name << "," << size << "," << value << "," << unit << "\n";
}

std::string PoolName(std::size_t pool) {
  return "pool-" + std::to_string(pool);
}

struct ListTexts {
  std::string m_plans;
  std::string m_uses;
};

ListTexts MakeLists(std::size_t plans, std::size_t pools) {
  ListTexts texts;
  for (std::size_t i = 0; i < plans; ++i) {
    const std::string plan = "team-" + std::to_string(i);
    const std::string pool = PoolName(i % pools);
    texts.m_plans +=
        "[" + plan + "]\nclass = normal\npool = " + pool + "\nquota = 80\n\n";
    texts.m_uses += "[" + plan + "/" + pool +
                    "]\nzones = any\nracks = any\nfloor = 1\n"
                    "survive = zone\n\n";
  }
  return texts;
}

wire::ObservationT MakeInstance(std::size_t index) {
  const std::size_t zone = index % kZones;
  wire::ObservationT instance;
  instance.instance = "instance-" + std::to_string(index);
  instance.pool = PoolName(index / kInstancesPerPool);
  instance.zone = "zone-" + std::to_string(zone);
  instance.rack = instance.zone + "-rack-" + std::to_string(index / 100);
  instance.incarnation = 1;
  instance.present = true;
  return instance;
}

// The time to live exceeds the duration of every measurement.
wire::AnnouncementT MakeAnnouncement(std::size_t index) {
  const wire::ObservationT instance = MakeInstance(index);
  wire::AnnouncementT announcement;
  announcement.instance = instance.instance;
  announcement.pool = instance.pool;
  announcement.zone = instance.zone;
  announcement.rack = instance.rack;
  announcement.host = "10.20.30.40";
  announcement.port = 4040;
  announcement.slots = 8;
  announcement.connections = 64;
  announcement.incarnation = kWallTimeMs;
  announcement.sequence = 1000;
  announcement.ttl_ms = 3'600'000;
  return announcement;
}

void MeasureLists() {
  for (const std::size_t plans : {5, 50, 430, 860}) {
    const ListTexts texts = MakeLists(plans, 261);
    const double seconds = MeasureSeconds([&] {
      const auto parsed = Capture<fleet::Lists>(
          [&] { return fleet::Lists::Parse(texts.m_plans, texts.m_uses); });
      BRONZEBARROW_INVARIANT(std::holds_alternative<fleet::Lists>(parsed));
    });
    PrintMeasurement("lists_parse", plans, 1e3 * seconds, "ms");
    PrintMeasurement(
        "lists_bytes", plans,
        static_cast<double>(texts.m_plans.size() + texts.m_uses.size()),
        "bytes");
  }
}

void MeasureStopCheck() {
  for (const std::size_t instances : {50, 300, 600, 1200, 2400}) {
    const std::size_t pools = instances / kInstancesPerPool;
    const std::size_t plans = instances * 430 / 1200;
    const ListTexts texts = MakeLists(plans, pools);
    const auto parsed = Capture<fleet::Lists>(
        [&] { return fleet::Lists::Parse(texts.m_plans, texts.m_uses); });
    const auto& lists = std::get<fleet::Lists>(parsed);
    fleet::Fleet fleet;
    fleet.SetLists(&lists);
    for (std::size_t i = 0; i < instances; ++i) {
      fleet.Observe(MakeInstance(i), kWallTimeMs);
    }
    std::mt19937_64 random(FLAGS_seed);
    constexpr int kChecks = 200;
    std::size_t allowed = 0;
    const double seconds = MeasureSeconds([&] {
      for (int i = 0; i < kChecks; ++i) {
        const std::string name =
            "instance-" + std::to_string(random() % instances);
        allowed += fleet.CheckStop(name).ok() ? 1 : 0;
      }
    });
    BRONZEBARROW_INVARIANT(allowed > 0);
    PrintMeasurement("guard_check", instances,
                     kMicrosPerSecond * seconds / kChecks, "us");
  }
}

void MeasureLedger() {
  for (const std::size_t keys : {1'000, 10'000, 100'000}) {
    std::mt19937_64 random(FLAGS_seed);
    control::ControlState state;
    wire::CommandT command;
    command.time_ms = kWallTimeMs;
    const double seconds = MeasureSeconds([&] {
      for (std::size_t i = 0; i < keys; ++i) {
        wire::LedgerCommandT grant;
        grant.op = wire::LedgerOp::Grant;
        grant.key = ledger::MakeKey(kWallTimeMs, random);
        grant.holder = "e1/1234567890";
        grant.attempt = i;
        command.body.Set(grant);
        state.Apply(command);
        grant.op = wire::LedgerOp::Complete;
        grant.status = 200;
        grant.body.assign(100, 'x');
        command.body.Set(std::move(grant));
        state.Apply(command);
      }
    });
    PrintMeasurement("ledger_request", keys,
                     kMicrosPerSecond * seconds / static_cast<double>(keys),
                     "us");
    std::size_t bytes = 0;
    const double image_seconds =
        MeasureSeconds([&] { bytes = state.Image().size(); });
    PrintMeasurement("ledger_image", keys,
                     static_cast<double>(bytes) / static_cast<double>(keys),
                     "bytes/key");
    PrintMeasurement("ledger_image_time", keys, 1e3 * image_seconds, "ms");
  }
}

void MeasureRouting() {
  for (const std::size_t targets : {10, 50, 172, 1200}) {
    const std::size_t pools =
        std::max<std::size_t>(targets / kInstancesPerPool, 1);
    const ListTexts texts = MakeLists(pools, pools);
    auto parsed = Capture<fleet::Lists>(
        [&] { return fleet::Lists::Parse(texts.m_plans, texts.m_uses); });
    routing::Router router((routing::RouterOptions()));
    router.SetLists(std::make_shared<const fleet::Lists>(
        std::move(std::get<fleet::Lists>(parsed))));
    const Instant now;
    for (std::size_t i = 0; i < targets; ++i) {
      router.Announce(MakeAnnouncement(i), now);
    }
    std::mt19937_64 random(FLAGS_seed);
    constexpr int kRequests = 5'000;
    const double seconds = MeasureSeconds([&] {
      for (int i = 0; i < kRequests; ++i) {
        routing::RouteRequest request;
        request.m_id = static_cast<std::uint64_t>(i);
        request.m_plan = "team-" + std::to_string(random() % pools);
        request.m_deadline = now + Millis(1000);
        const auto decision = router.Submit(request, now);
        BRONZEBARROW_INVARIANT(decision.m_verdict ==
                               routing::RouteVerdict::kDispatched);
        router.Finish(decision.m_dispatch, routing::TargetOutcome::kAnswered,
                      now);
      }
    });
    PrintMeasurement("route_request", targets,
                     kMicrosPerSecond * seconds / kRequests, "us");
  }
}

void MeasureRecovery() {
  const std::string folder = FLAGS_folder + "/bronzebarrow-slopes";
  for (const std::uint64_t entries : {500, 5'000, 50'000}) {
    std::filesystem::remove_all(folder);
    const consensus::Membership initial_membership({{{"a", 1}, true}});
    BRONZEBARROW_INVARIANT(
        consensus::LogStore::Initialize(folder, "a", initial_membership));
    const auto written = Capture<bool>([&]() -> Result<bool> {
      BOOST_LEAF_AUTO(store, consensus::LogStore::Open(folder, "a"));
      constexpr std::uint64_t kEntriesPerBatch = 50;
      for (std::uint64_t at = 0; at < entries; at += kEntriesPerBatch) {
        consensus::DurableBatchOut out;
        out.m_batch.hard_state = std::make_unique<wire::HardStateT>();
        for (std::uint64_t i = 1; i <= kEntriesPerBatch; ++i) {
          auto entry = std::make_unique<wire::LogEntryT>();
          entry->index = at + i;
          entry->term = 1;
          entry->payload.assign(300, 'x');
          out.m_batch.entries.push_back(std::move(entry));
        }
        BOOST_LEAF_CHECK(store->Write(out));
      }
      return true;
    });
    BRONZEBARROW_INVARIANT(std::holds_alternative<bool>(written));
    const double seconds = MeasureSeconds([&] {
      const auto opened = Capture<std::unique_ptr<consensus::LogStore>>(
          [&] { return consensus::LogStore::Open(folder, "a"); });
      BRONZEBARROW_INVARIANT(opened.index() == 0);
    });
    PrintMeasurement("recovery", entries, 1e3 * seconds, "ms");
  }
  std::filesystem::remove_all(folder);
}

void MeasureFrames() {
  std::mt19937_64 random(FLAGS_seed);
  const wire::AnnouncementT announcement = MakeAnnouncement(random() % 1200);
  for (const std::size_t count : {1, 10, 100}) {
    wire::FrameT frame;
    wire::AnnouncementBatchT batch;
    for (std::size_t i = 0; i < count; ++i) {
      batch.announcements.push_back(
          std::make_unique<wire::AnnouncementT>(announcement));
    }
    frame.body.Set(std::move(batch));
    PrintMeasurement(
        "announcement_frame", count,
        static_cast<double>(wire::Encode<wire::Frame>(frame).size()), "bytes");
  }
}

}  // namespace
}  // namespace bronzebarrow

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "measures time and memory against input size; prints CSV");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::cout << "name,size,value,unit\n";
  bronzebarrow::MeasureLists();
  bronzebarrow::MeasureStopCheck();
  bronzebarrow::MeasureLedger();
  bronzebarrow::MeasureRouting();
  bronzebarrow::MeasureRecovery();
  bronzebarrow::MeasureFrames();
}
