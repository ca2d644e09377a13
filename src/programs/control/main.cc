// bronzebarrow-control: runs one member of the control group.
#include <gflags/gflags.h>

#include <memory>

#include "bronzebarrow/base.h"
#include "programs/control/control_node.h"
#include "programs/daemon.h"

DEFINE_bool(initialize, false,
            "prepare the empty data folder of a founding member and exit");

namespace bronzebarrow::programs {
namespace {

Result<ExitCode> InitializeFolder(const ControlSettings& settings) {
  std::vector<consensus::Member> founders;
  for (const auto& [name, address] : settings.m_members) {
    founders.push_back({{name, 1}, true});
  }
  BOOST_LEAF_CHECK(consensus::LogStore::Initialize(
      settings.m_data, settings.m_name,
      consensus::Membership(std::move(founders))));
  return ExitCode::kOk;
}

Result<ExitCode> Serve(const ControlSettings& settings) {
  BOOST_LEAF_AUTO(store,
                  consensus::LogStore::Open(settings.m_data, settings.m_name));
  const auto& recovered = store->recovered();
  EventLine(Event::kLogRecovered)
      .Field("member", settings.m_name)
      .Field("generation", recovered.m_id.m_generation)
      .Field("entries", recovered.m_state.m_entries.size())
      .Field("base", recovered.m_state.m_base_index)
      .Field("is_new", recovered.m_is_new);
  if (recovered.m_cut_bytes > 0) {
    EventLine(Event::kLogTailCut, Severity::kWarning)
        .Field("bytes", recovered.m_cut_bytes);
  }
  boost::asio::io_context io(settings.m_workers);
  auto node = std::make_shared<ControlNode>(io.get_executor(), settings,
                                            std::move(store));
  BOOST_LEAF_CHECK(node->Start());
  EventLine(Event::kProcessStarted)
      .Field("program", "bronzebarrow-control")
      .Field("member", settings.m_name)
      .Field("listen", settings.m_listen.Text())
      .Field("http", settings.m_http.Text());
  RunUntilSignal(io, settings.m_workers, [&] {
    EventLine(Event::kProcessStopping).Field("member", settings.m_name);
    node->Stop();
    io.stop();
  });
  EventLine(Event::kProcessStopped).Field("member", settings.m_name);
  return ExitCode::kOk;
}

Result<ExitCode> Run(const std::vector<std::string>&) {
  BOOST_LEAF_AUTO(settings, ControlSettings::Load(FLAGS_settings));
  if (FLAGS_check) {
    return ReportValidSettings();
  }
  return FLAGS_initialize ? InitializeFolder(settings) : Serve(settings);
}

}  // namespace
}  // namespace bronzebarrow::programs

int main(int argc, char** argv) {
  namespace programs = bronzebarrow::programs;
  return programs::DaemonMain(
      argc, argv,
      {"bronzebarrow-control", "a member of the control group",
       "  bronzebarrow-control --settings FILE [--check | --initialize]\n", 0,
       programs::ControlSettings::Specs()},
      programs::Run);
}
