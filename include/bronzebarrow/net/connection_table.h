// Bounds the connections of a server and the bytes that they hold, and decides
// which connections to close. Load pattern: hundreds of clients that hold back
// the end of a head, a body or a chunk extension, do not read responses, or
// stay idle, beside ordinary ones whose requests take milliseconds. Test:
// tests/connection_table_test.cc.
#ifndef BRONZEBARROW_NET_CONNECTION_TABLE_H_
#define BRONZEBARROW_NET_CONNECTION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "bronzebarrow/base/time.h"

namespace bronzebarrow::net {

/** What a connection waits for. */
enum class ConnectionState {
  kIdle,     // The first byte of a request.
  kReading,  // The rest of a request.
  kServing,  // The handler. Not closed: its request may be carried out.
  // The handler, while the client has sent more without reading the response.
  kServingAhead,
  kWriting,  // The client, to read the response.
};

/**
 * Closes those that have been in their state longest: first requests and
 * responses that take longer than kSlowAfter, then idle connections, then any
 * others that are not served, and last those served of clients that send ahead.
 * An ordinary request is read and its response written sooner than that of a
 * client that holds it back.
 */
class ConnectionTable {
 public:
  using Id = std::uint64_t;
  /** Longer than a request takes over a slow link. */
  static constexpr Duration kSlowAfter = Millis(1000);

  ConnectionTable(std::size_t max_connections, std::size_t max_bytes)
      : m_max_connections(max_connections), m_max_bytes(max_bytes) {}

  /**
   * Adds an idle connection.
   * @param to_close the connections to close, which are removed; the new one is
   * among them if all others are being served
   */
  Id Add(Instant now, std::vector<Id>& to_close);
  /** No effect on connections that were removed. */
  void SetState(Id id, ConnectionState state, Instant now);
  /**
   * Sets the bytes that the connection holds.
   * @return the connections to close, which are removed; the connection itself
   * is among them if it is next in order, or if closing the others is not
   * enough
   */
  std::vector<Id> SetBytes(Id id, std::size_t bytes, Instant now);
  /** No effect on connections that were removed. */
  void Remove(Id id);
  /** @return whether the connection is open, and counts. */
  bool Contains(Id id) const;
  std::size_t size() const { return m_connections.size() - m_abandoned; }
  std::size_t bytes() const { return m_bytes; }

 private:
  struct Connection {
    ConnectionState m_state = ConnectionState::kIdle;
    Instant m_since;  // When it came into its state.
    std::size_t m_bytes = 0;
    // Closed while it was served. Holds its bytes until the handler is done.
    bool m_abandoned = false;
  };
  using Connections = std::map<Id, Connection>;

  // The next one to close; the end if all are served. With `holding`, only of
  // those that hold bytes.
  Connections::iterator Next(Instant now, bool holding);
  void Close(Connections::iterator connection);

  std::size_t m_max_connections;
  std::size_t m_max_bytes;
  Connections m_connections;
  std::size_t m_bytes = 0;      // Sum over m_connections.
  std::size_t m_abandoned = 0;  // Of m_connections; at most as many as open.
  Id m_next_id = 1;
};

}  // namespace bronzebarrow::net

#endif  // BRONZEBARROW_NET_CONNECTION_TABLE_H_
