// Public header of the node library: the processes of the job-running fleet
// manager. A member keeps the log and leads runners; an entry takes callers.
#ifndef BRONZEBARROW_NODE_H_
#define BRONZEBARROW_NODE_H_

#include "bronzebarrow/node/dialect.h"
#include "bronzebarrow/node/leader_link.h"
#include "bronzebarrow/node/member_node.h"
#include "bronzebarrow/node/peer_table.h"
#include "bronzebarrow/node/work_core.h"

#endif  // BRONZEBARROW_NODE_H_
