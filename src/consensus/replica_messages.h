// Construction of outgoing consensus messages.
#ifndef BRONZEBARROW_SRC_CONSENSUS_REPLICA_MESSAGES_H_
#define BRONZEBARROW_SRC_CONSENSUS_REPLICA_MESSAGES_H_

#include <utility>

#include "bronzebarrow/consensus/replica.h"

namespace bronzebarrow::consensus {

template <typename Message>
Outgoing Replica::MakeMessage(const ReplicaId& to, Message message) const {
  Outgoing outgoing;
  outgoing.m_to = to;
  outgoing.m_body.Set(std::move(message));
  return outgoing;
}

}  // namespace bronzebarrow::consensus

#endif  // BRONZEBARROW_SRC_CONSENSUS_REPLICA_MESSAGES_H_
