// Public header of the placement library: ranks waiting jobs, assigns their
// tasks to runners and rebalances machines between pools. The decisions are
// pure functions of their input.
#ifndef BRONZEBARROW_PLACEMENT_H_
#define BRONZEBARROW_PLACEMENT_H_

#include "bronzebarrow/placement/job_order.h"
#include "bronzebarrow/placement/planner.h"
#include "bronzebarrow/placement/pool_balance.h"

#endif  // BRONZEBARROW_PLACEMENT_H_
