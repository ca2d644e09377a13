// Public header of the placement library: admits new jobs, ranks waiting jobs,
// assigns their tasks to runners and rebalances machines between pools. The
// decisions depend only on their input.
#ifndef BRONZEBARROW_PLACEMENT_H_
#define BRONZEBARROW_PLACEMENT_H_

#include "bronzebarrow/placement/admission.h"
#include "bronzebarrow/placement/gap_reservation.h"
#include "bronzebarrow/placement/job_order.h"
#include "bronzebarrow/placement/job_room.h"
#include "bronzebarrow/placement/planner.h"
#include "bronzebarrow/placement/pool_balance.h"

#endif  // BRONZEBARROW_PLACEMENT_H_
