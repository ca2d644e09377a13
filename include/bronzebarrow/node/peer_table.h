// Outgoing connections to the members of the group, by address.
#ifndef BRONZEBARROW_NODE_PEER_TABLE_H_
#define BRONZEBARROW_NODE_PEER_TABLE_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "bronzebarrow/net.h"

namespace bronzebarrow::node {

/**
 * The name of a peer is the address at which other members reach it. Runs on
 * one executor that handles one event at a time.
 */
class PeerTable {
 public:
  using OnFrame = std::function<void(const std::string& peer,
                                     std::unique_ptr<wire::FrameT>)>;
  using OnConnect = std::function<void(const std::string& peer)>;

  PeerTable(boost::asio::any_io_executor executor, OnFrame on_frame,
            OnConnect on_connect)
      : m_executor(std::move(executor)),
        m_on_frame(std::move(on_frame)),
        m_on_connect(std::move(on_connect)) {}

  /**
   * Starts to dial a peer that is not in the table yet; logs and ignores a name
   * that is not a valid address.
   */
  void Add(const std::string& peer);
  /** Disconnects and removes the peers for which `keep` returns false. */
  void Prune(const std::function<bool(const std::string&)>& keep);
  /** @return whether there was a connection to send on. */
  bool Send(const std::string& peer, const wire::FrameT& frame);
  /** @return bytes that wait to be sent to the peer. */
  std::size_t UnsentBytes(const std::string& peer) const;
  /** Closes the connection, e.g. to an unresponsive peer, and redials it. */
  void CloseConnection(const std::string& peer);
  void Stop();
  bool Contains(const std::string& peer) const {
    return m_dialers.contains(peer);
  }

 private:
  boost::asio::any_io_executor m_executor;
  OnFrame m_on_frame;
  OnConnect m_on_connect;
  std::map<std::string, std::shared_ptr<net::FrameDialer>> m_dialers;
};

}  // namespace bronzebarrow::node

#endif  // BRONZEBARROW_NODE_PEER_TABLE_H_
