// Public header of the control library: a control member's core, its replicated
// state and the entries' leases.
#ifndef BRONZEBARROW_CONTROL_H_
#define BRONZEBARROW_CONTROL_H_

#include "bronzebarrow/control/control_core.h"
#include "bronzebarrow/control/control_state.h"
#include "bronzebarrow/control/lease_keeper.h"

#endif  // BRONZEBARROW_CONTROL_H_
