// bronzebarrow-entry: serves callers, hears targets, routes and limits.
#include <gflags/gflags.h>

#include <iostream>
#include <memory>

#include "bronzebarrow/base.h"
#include "programs/entry/entry_node.h"
#include "programs/program.h"

DEFINE_string(settings, "", "path of the INI settings file");
DEFINE_bool(check, false, "check the settings and exit");

namespace bronzebarrow::programs {
namespace {

Result<bool> Serve(const EntrySettings& settings) {
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
  return true;
}

int Main() {
  const auto outcome = Capture<bool>([]() -> Result<bool> {
    BOOST_LEAF_AUTO(settings, EntrySettings::Load(FLAGS_settings));
    if (FLAGS_check) {
      std::cout << "settings are valid\n";
      return true;
    }
    return Serve(settings);
  });
  if (const auto* failure = std::get_if<Failure>(&outcome)) {
    EventLine(Event::kSettingsRefused, Severity::kError)
        .Field("code", failure->m_code)
        .Field("context", failure->m_context);
    std::cerr << "bronzebarrow-entry: " << Describe(*failure) << "\n";
    return ToInt(ExitCodeOf(*failure));
  }
  return ToInt(ExitCode::kOk);
}

}  // namespace
}  // namespace bronzebarrow::programs

int main(int argc, char** argv) {
  namespace programs = bronzebarrow::programs;
  gflags::SetUsageMessage(
      "serves callers, hears targets, routes and limits\n"
      "  bronzebarrow-entry --settings FILE [--check]\n"
      "Settings:\n" +
      bronzebarrow::DescribeSettings(programs::EntrySettings::Specs()));
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  bronzebarrow::StartLog(argv[0]);
  if (FLAGS_settings.empty() || argc > 1) {
    std::cerr << "bronzebarrow-entry: --settings FILE is required, and no "
                 "other argument\n";
    return programs::ToInt(programs::ExitCode::kUsage);
  }
  return programs::Main();
}
