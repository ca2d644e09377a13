// Choice of the connections to close.
#include "bronzebarrow/net/connection_table.h"

#include <tuple>

namespace bronzebarrow::net {
namespace {

// The lower the rank, the sooner a connection is closed.
int RankOf(ConnectionState state, Duration age) {
  if (state == ConnectionState::kIdle) {
    return 1;
  }
  if (state == ConnectionState::kServingAhead) {
    return 3;
  }
  return age >= ConnectionTable::kSlowAfter ? 0 : 2;
}

}  // namespace

ConnectionTable::Connections::iterator ConnectionTable::Next(Instant now,
                                                             bool holding) {
  auto best = m_connections.end();
  for (auto it = m_connections.begin(); it != m_connections.end(); ++it) {
    const Connection& connection = it->second;
    const bool is_ahead = connection.m_state == ConnectionState::kServingAhead;
    if (connection.m_abandoned ||
        connection.m_state == ConnectionState::kServing ||
        (is_ahead && m_abandoned >= m_max_connections) ||
        (holding && (is_ahead || connection.m_bytes == 0))) {
      continue;
    }
    const auto rank = [&](const Connection& c) {
      return std::tuple(RankOf(c.m_state, now - c.m_since), c.m_since);
    };
    if (best == m_connections.end() || rank(connection) < rank(best->second)) {
      best = it;
    }
  }
  return best;
}

void ConnectionTable::Close(Connections::iterator connection) {
  if (connection->second.m_state == ConnectionState::kServingAhead) {
    connection->second.m_abandoned = true;
    ++m_abandoned;
  } else {
    Remove(connection->first);
  }
}

bool ConnectionTable::Contains(Id id) const {
  const auto found = m_connections.find(id);
  return found != m_connections.end() && !found->second.m_abandoned;
}

ConnectionTable::Id ConnectionTable::Add(Instant now,
                                         std::vector<Id>& to_close) {
  while (size() >= m_max_connections) {
    const auto next = Next(now, false);
    if (next == m_connections.end()) {
      to_close.push_back(m_next_id);
      return m_next_id++;
    }
    to_close.push_back(next->first);
    Close(next);
  }
  m_connections[m_next_id].m_since = now;
  return m_next_id++;
}

void ConnectionTable::SetState(Id id, ConnectionState state, Instant now) {
  const auto found = m_connections.find(id);
  if (found != m_connections.end() && !found->second.m_abandoned) {
    found->second.m_state = state;
    found->second.m_since = now;
  }
}

std::vector<ConnectionTable::Id> ConnectionTable::SetBytes(Id id,
                                                           std::size_t bytes,
                                                           Instant now) {
  std::vector<Id> to_close;
  const auto found = m_connections.find(id);
  if (found == m_connections.end() || found->second.m_abandoned) {
    return to_close;
  }
  m_bytes = m_bytes - found->second.m_bytes + bytes;
  found->second.m_bytes = bytes;
  while (m_bytes > m_max_bytes && Contains(id)) {
    const auto next = Next(now, true);
    const Id closed = next == m_connections.end() ? id : next->first;
    to_close.push_back(closed);
    Remove(closed);
  }
  return to_close;
}

void ConnectionTable::Remove(Id id) {
  const auto found = m_connections.find(id);
  if (found != m_connections.end()) {
    m_bytes -= found->second.m_bytes;
    m_abandoned -= found->second.m_abandoned ? 1 : 0;
    m_connections.erase(found);
  }
}

}  // namespace bronzebarrow::net
