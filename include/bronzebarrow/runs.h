// Public header of the runs library: which runner runs what, and the orders
// that make it so.
#ifndef BRONZEBARROW_RUNS_H_
#define BRONZEBARROW_RUNS_H_

#include "bronzebarrow/runs/dispatcher.h"
#include "bronzebarrow/runs/runner_call.h"
#include "bronzebarrow/runs/runner_health.h"
#include "bronzebarrow/runs/runner_link.h"

#endif  // BRONZEBARROW_RUNS_H_
