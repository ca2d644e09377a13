// Starts, stops and looks up one frame dialer per peer.
#include "bronzebarrow/node/peer_table.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "bronzebarrow/base/event_log.h"

namespace bronzebarrow::node {

void PeerTable::Add(const std::string& peer) {
  if (m_dialers.contains(peer)) {
    return;
  }
  const auto address = Capture<Address>([&] { return Address::Parse(peer); });
  if (const auto* failure = std::get_if<Failure>(&address)) {
    EventLine(Event::kFrameRefused, Severity::kWarning)
        .Field("code", failure->m_code)
        .Field("context", failure->m_context);
    return;
  }
  auto dialer = std::make_shared<net::FrameDialer>(
      m_executor, net::FrameDialer::Options{peer, std::get<Address>(address)});
  m_dialers[peer] = dialer;
  dialer->Start(
      [this, peer](std::unique_ptr<wire::FrameT> frame) {
        m_on_frame(peer, std::move(frame));
      },
      [this, peer] { m_on_connect(peer); });
}

void PeerTable::Prune(const std::function<bool(const std::string&)>& keep) {
  for (auto peer = m_dialers.begin(); peer != m_dialers.end();) {
    if (keep(peer->first)) {
      ++peer;
    } else {
      peer->second->Stop();
      peer = m_dialers.erase(peer);
    }
  }
}

bool PeerTable::Send(const std::string& peer, const wire::FrameT& frame) {
  const auto dialer = m_dialers.find(peer);
  return dialer != m_dialers.end() && dialer->second->Send(frame);
}

std::size_t PeerTable::UnsentBytes(const std::string& peer) const {
  const auto dialer = m_dialers.find(peer);
  return dialer == m_dialers.end() ? 0 : dialer->second->unsent_bytes();
}

void PeerTable::CloseConnection(const std::string& peer) {
  const auto dialer = m_dialers.find(peer);
  if (dialer != m_dialers.end()) {
    dialer->second->CloseConnection();
  }
}

void PeerTable::Stop() {
  for (auto& [peer, dialer] : m_dialers) {
    dialer->Stop();
  }
}

}  // namespace bronzebarrow::node
