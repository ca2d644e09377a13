// Public header of the consensus library: a replicated log without I/O, and
// the store that keeps it on disk.
#ifndef BRONZEBARROW_CONSENSUS_H_
#define BRONZEBARROW_CONSENSUS_H_

#include "bronzebarrow/consensus/durable.h"
#include "bronzebarrow/consensus/log_store.h"
#include "bronzebarrow/consensus/membership.h"
#include "bronzebarrow/consensus/replica.h"
#include "bronzebarrow/consensus/replica_id.h"
#include "bronzebarrow/consensus/role.h"

#endif  // BRONZEBARROW_CONSENSUS_H_
