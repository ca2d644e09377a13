// Public header of the jobs library: the replicated state machine of queues,
// jobs, tasks, runners and upkeep waves.
#ifndef BRONZEBARROW_JOBS_H_
#define BRONZEBARROW_JOBS_H_

#include "bronzebarrow/jobs/crash_evidence.h"
#include "bronzebarrow/jobs/job.h"
#include "bronzebarrow/jobs/job_memory.h"
#include "bronzebarrow/jobs/job_queues.h"
#include "bronzebarrow/jobs/queue_table.h"
#include "bronzebarrow/jobs/runner.h"
#include "bronzebarrow/jobs/task_key.h"
#include "bronzebarrow/jobs/upkeep.h"
#include "bronzebarrow/jobs/work_state.h"

#endif  // BRONZEBARROW_JOBS_H_
