// Public header of the fleet library: plans, instances, stops, waves and
// machines.
#ifndef BRONZEBARROW_FLEET_H_
#define BRONZEBARROW_FLEET_H_

#include "bronzebarrow/fleet/fleet.h"
#include "bronzebarrow/fleet/lifecycle.h"
#include "bronzebarrow/fleet/lists.h"
#include "bronzebarrow/fleet/machine.h"

#endif  // BRONZEBARROW_FLEET_H_
