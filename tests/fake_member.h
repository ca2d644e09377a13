// A fake member on loopback, for tests of those that call a leader.
#ifndef BRONZEBARROW_TESTS_FAKE_MEMBER_H_
#define BRONZEBARROW_TESTS_FAKE_MEMBER_H_

#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bronzebarrow/net.h"

namespace bronzebarrow::node {

/** A member that answers each call as scripted, and sends its view when asked.
 */
class FakeMember {
 public:
  explicit FakeMember(boost::asio::io_context& io) {
    auto listening = Capture<std::shared_ptr<net::Acceptor>>([&] {
      return net::Acceptor::Listen(
          io.get_executor(), {"127.0.0.1", 0},
          [this](boost::asio::ip::tcp::socket socket) {
            auto connection =
                std::make_shared<net::FrameConnection>(std::move(socket));
            connection->Start(
                [this](const net::FrameConnectionPtr& from,
                       std::unique_ptr<wire::FrameT> frame) {
                  OnFrame(from, *frame);
                },
                [](const net::FrameConnectionPtr&) {});
          });
    });
    m_acceptor = std::get<std::shared_ptr<net::Acceptor>>(listening);
    m_view.members = {name()};
  }

  std::string name() const {
    return "127.0.0.1:" + std::to_string(m_acceptor->port());
  }

  void SetView(std::uint64_t term, bool leading,
               std::vector<std::string> members) {
    m_view.term = term;
    m_view.leading = leading;
    m_view.members = std::move(members);
    if (m_connection) {
      SendView();
    }
  }

  void ReplyToLastCall(wire::CallOutcome outcome) {
    wire::FrameT frame;
    frame.sender = name();
    wire::CallReplyT reply;
    reply.id = m_last_call;
    reply.outcome = outcome;
    frame.body.Set(std::move(reply));
    m_connection->Send(frame);
  }

  void CloseConnection() { m_connection->Close(); }

  // By attempt; nothing: the connection ends without a reply. Attempts beyond
  // the last get no reply.
  std::deque<std::optional<wire::CallOutcome>> m_script;
  int m_calls = 0;
  std::vector<std::uint32_t> m_wait_ms;  // Of each attempt.
  bool m_is_silent = false;              // Receives, but sends no views.

 private:
  void SendView() {
    wire::FrameT frame;
    frame.sender = name();
    frame.body.Set(wire::GroupViewT(m_view));
    m_connection->Send(frame);
  }

  void OnFrame(const net::FrameConnectionPtr& from, const wire::FrameT& frame) {
    m_connection = from;
    if (frame.body.type == wire::Body::ViewRequest) {
      if (!m_is_silent) {
        SendView();
      }
    } else if (const auto* const call = frame.body.AsCall()) {
      ++m_calls;
      m_last_call = call->id;
      m_wait_ms.push_back(call->wait_ms);
      if (!m_script.empty()) {
        const std::optional<wire::CallOutcome> outcome = m_script.front();
        m_script.pop_front();
        if (outcome) {
          ReplyToLastCall(*outcome);
        } else {
          CloseConnection();
        }
      }
    }
  }

  wire::GroupViewT m_view;
  net::FrameConnectionPtr m_connection;  // The last one that sent a frame.
  std::uint64_t m_last_call = 0;
  std::shared_ptr<net::Acceptor> m_acceptor;
};

}  // namespace bronzebarrow::node

#endif  // BRONZEBARROW_TESTS_FAKE_MEMBER_H_
