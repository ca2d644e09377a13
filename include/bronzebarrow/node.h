// Public header of the node library, from which the processes of the fleet
// manager are built. A member replicates the log and, as leader, manages the
// runners; an entry serves callers and passes their calls to the leader.
#ifndef BRONZEBARROW_NODE_H_
#define BRONZEBARROW_NODE_H_

#include "bronzebarrow/node/data_folder.h"
#include "bronzebarrow/node/leader_link.h"
#include "bronzebarrow/node/member_node.h"
#include "bronzebarrow/node/peer_table.h"
#include "bronzebarrow/node/protocol_codec.h"
#include "bronzebarrow/node/relay_table.h"
#include "bronzebarrow/node/work_core.h"
#include "bronzebarrow/node/work_inbox.h"

#endif  // BRONZEBARROW_NODE_H_
