// Public header of the placement library: pure decisions about waiting work.
#ifndef BRONZEBARROW_PLACEMENT_H_
#define BRONZEBARROW_PLACEMENT_H_

#include "bronzebarrow/placement/job_order.h"
#include "bronzebarrow/placement/planner.h"
#include "bronzebarrow/placement/pool_balance.h"

#endif  // BRONZEBARROW_PLACEMENT_H_
