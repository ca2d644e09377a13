// Public header of the runs library: assigns tasks to runners, tracks the
// runs there and judges the health of runners.
#ifndef BRONZEBARROW_RUNS_H_
#define BRONZEBARROW_RUNS_H_

#include "bronzebarrow/runs/dispatcher.h"
#include "bronzebarrow/runs/runner_call.h"
#include "bronzebarrow/runs/runner_health.h"
#include "bronzebarrow/runs/runner_link.h"
#include "bronzebarrow/runs/start_recorder.h"

#endif  // BRONZEBARROW_RUNS_H_
