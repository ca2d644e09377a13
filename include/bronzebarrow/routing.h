// Public header of the routing library: targets, queues, limits and leases.
#ifndef BRONZEBARROW_ROUTING_H_
#define BRONZEBARROW_ROUTING_H_

#include "bronzebarrow/routing/entry_lease.h"
#include "bronzebarrow/routing/policy.h"
#include "bronzebarrow/routing/retry_budget.h"
#include "bronzebarrow/routing/router.h"
#include "bronzebarrow/routing/target_table.h"

#endif  // BRONZEBARROW_ROUTING_H_
