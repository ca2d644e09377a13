// Public header of the routing library: target table, request queues, limits
// and the entry's configuration lease.
#ifndef BRONZEBARROW_ROUTING_H_
#define BRONZEBARROW_ROUTING_H_

#include "bronzebarrow/routing/entry_lease.h"
#include "bronzebarrow/routing/policy.h"
#include "bronzebarrow/routing/retry_budget.h"
#include "bronzebarrow/routing/router.h"
#include "bronzebarrow/routing/target_table.h"

#endif  // BRONZEBARROW_ROUTING_H_
