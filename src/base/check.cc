// Logs a violated invariant and aborts the process.
#include "bronzebarrow/base/check.h"

#include <glog/logging.h>

#include <cstdlib>

namespace bronzebarrow {

void InvariantBroken(std::string_view expression, std::string_view file,
                     int line) {
  LOG(ERROR) << "event=invariant_broken expression=\"" << expression
             << "\" file=" << file << " line=" << line;
  google::FlushLogFiles(google::GLOG_INFO);
  std::abort();
}

}  // namespace bronzebarrow
