// Public header of the consensus library: the replicated log, which does no
// I/O, and the log store, which writes its state to disk.
#ifndef BRONZEBARROW_CONSENSUS_H_
#define BRONZEBARROW_CONSENSUS_H_

#include "bronzebarrow/consensus/durable.h"
#include "bronzebarrow/consensus/log_store.h"
#include "bronzebarrow/consensus/membership.h"
#include "bronzebarrow/consensus/replica.h"
#include "bronzebarrow/consensus/replica_id.h"
#include "bronzebarrow/consensus/role.h"

#endif  // BRONZEBARROW_CONSENSUS_H_
