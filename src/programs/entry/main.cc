// bronzebarrow-entry: accepts callers' requests and targets' announcements, and
// routes requests to targets within the plans' quotas.
#include <memory>

#include "bronzebarrow/base.h"
#include "programs/daemon.h"
#include "programs/entry/entry_node.h"

namespace bronzebarrow::programs {
namespace {

Result<ExitCode> Serve(const EntrySettings& settings) {
  boost::asio::io_context io(settings.m_workers);
  auto node = std::make_shared<EntryNode>(io.get_executor(), settings);
  BOOST_LEAF_CHECK(node->Start());
  EventLine(Event::kProcessStarted)
      .Field("program", "bronzebarrow-entry")
      .Field("entry", settings.m_name)
      .Field("listen", settings.m_listen.Text())
      .Field("http", settings.m_http.Text());
  RunUntilSignal(io, settings.m_workers, [&] {
    EventLine(Event::kProcessStopping).Field("entry", settings.m_name);
    node->Stop([&io] { io.stop(); });
  });
  EventLine(Event::kProcessStopped).Field("entry", settings.m_name);
  return ExitCode::kOk;
}

Result<ExitCode> Run(const std::vector<std::string>&) {
  BOOST_LEAF_AUTO(settings, EntrySettings::Load(FLAGS_settings));
  return FLAGS_check ? ReportValidSettings() : Serve(settings);
}

}  // namespace
}  // namespace bronzebarrow::programs

int main(int argc, char** argv) {
  namespace programs = bronzebarrow::programs;
  return programs::DaemonMain(
      argc, argv,
      {"bronzebarrow-entry",
       "routes callers' requests to targets within quotas",
       "  bronzebarrow-entry --settings FILE [--check]\n", 0,
       programs::EntrySettings::Specs()},
      programs::Run);
}
