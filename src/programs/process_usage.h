// Metrics of the resources that this process uses: processor time, memory,
// frames and bytes on the network.
#ifndef BRONZEBARROW_SRC_PROGRAMS_PROCESS_USAGE_H_
#define BRONZEBARROW_SRC_PROGRAMS_PROCESS_USAGE_H_

#include "bronzebarrow/base/metrics.h"

namespace bronzebarrow::programs {

/** Updates the gauges of the process's resource usage. */
void PublishProcessUsage(Metrics& metrics);

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_PROCESS_USAGE_H_
