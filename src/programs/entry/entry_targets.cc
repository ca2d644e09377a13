// EntryNode: targets' announcements, and their exchange with the other entries.
// A changed announcement is sent in full; a repeated one as a short refresh.
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "bronzebarrow/fleet.h"
#include "programs/entry/entry_node.h"

namespace bronzebarrow::programs {
namespace {

namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::int64_t kMaxSlots = 10'000;
constexpr std::int64_t kMaxTtlMs = 60'000;
constexpr std::int64_t kMinTtlMs = 1500;
constexpr Duration kRefreshInterval = Millis(500);

Result<std::string> NameField(const json::object& body, const char* key) {
  const auto* const value = body.if_contains(key);
  if (value == nullptr || !value->is_string() ||
      !IsName(std::string_view(value->as_string()))) {
    return Fail(ErrorCode::kRequestMalformed,
                std::string(key) + " is not a name");
  }
  return std::string(value->as_string());
}

Result<std::int64_t> NumberField(const json::object& body, const char* key,
                                 std::int64_t min, std::int64_t max) {
  const auto* const value = body.if_contains(key);
  if (value == nullptr || !value->is_int64() || value->as_int64() < min ||
      value->as_int64() > max) {
    return Fail(ErrorCode::kRequestMalformed,
                std::string(key) + " is not an integer from " +
                    std::to_string(min) + " to " + std::to_string(max));
  }
  return value->as_int64();
}

Result<wire::AnnouncementT> ParseAnnouncement(const std::string& text) {
  constexpr std::int64_t kMaxCounter = std::numeric_limits<std::int64_t>::max();
  boost::system::error_code error;
  const json::value parsed = json::parse(text, error);
  if (error || !parsed.is_object()) {
    return Fail(ErrorCode::kRequestMalformed, "the body is not a JSON object");
  }
  const json::object& body = parsed.as_object();
  wire::AnnouncementT announcement;
  BOOST_LEAF_ASSIGN(announcement.instance, NameField(body, "instance"));
  BOOST_LEAF_ASSIGN(announcement.pool, NameField(body, "pool"));
  BOOST_LEAF_ASSIGN(announcement.zone, NameField(body, "zone"));
  BOOST_LEAF_ASSIGN(announcement.rack, NameField(body, "rack"));
  BOOST_LEAF_ASSIGN(announcement.host, NameField(body, "host"));
  BOOST_LEAF_AUTO(port, NumberField(body, "port", 1, 65535));
  BOOST_LEAF_CHECK(
      Address::Parse(announcement.host + ":" + std::to_string(port)));
  BOOST_LEAF_AUTO(slots, NumberField(body, "slots", 1, kMaxSlots));
  BOOST_LEAF_AUTO(incarnation,
                  NumberField(body, "incarnation", 1, kMaxCounter));
  BOOST_LEAF_AUTO(sequence, NumberField(body, "sequence", 1, kMaxCounter));
  BOOST_LEAF_AUTO(ttl, NumberField(body, "ttl_ms", kMinTtlMs, kMaxTtlMs));
  BOOST_LEAF_AUTO(state, NameField(body, "state"));
  if (state != "serving" && state != "leaving") {
    return Fail(ErrorCode::kRequestMalformed,
                "state is neither serving nor leaving");
  }
  announcement.port = static_cast<std::uint16_t>(port);
  announcement.slots = static_cast<std::uint16_t>(slots);
  announcement.incarnation = static_cast<std::uint64_t>(incarnation);
  announcement.sequence = static_cast<std::uint64_t>(sequence);
  announcement.ttl_ms = static_cast<std::uint32_t>(ttl);
  announcement.state = state == "leaving" ? wire::TargetState::Leaving
                                          : wire::TargetState::Serving;
  return announcement;
}

}  // namespace

net::HttpResponse EntryNode::HandleAnnounce(const net::HttpRequest& request) {
  if (request.method() != http::verb::post) {
    return net::MakeErrorResponse(http::status::method_not_allowed,
                                  ErrorCode::kRequestMalformed, "use POST");
  }
  const auto parsed = Capture<wire::AnnouncementT>(
      [&] { return ParseAnnouncement(request.body()); });
  if (const auto* failure = std::get_if<Failure>(&parsed)) {
    EventLine(Event::kAnnouncementRefused, Severity::kWarning)
        .Field("code", failure->m_code)
        .Field("context", failure->m_context);
    return net::MakeErrorResponse(http::status::bad_request, failure->m_code,
                                  failure->m_context);
  }
  const auto& announcement = std::get<wire::AnnouncementT>(parsed);
  ApplyAnnouncement(announcement, true);
  json::object response;
  response["state"] = "serving";
  {
    const std::lock_guard lock(m_routing_mutex);
    const auto* const stop =
        m_router.OpenStopOf(announcement.instance, announcement.incarnation);
    if (stop != nullptr) {
      const auto state = static_cast<fleet::StopState>(stop->state);
      response["state"] = std::string(NameOf(state));
      response["stop_id"] = stop->stop_id;
    }
  }
  return net::MakeResponse(http::status::ok, "application/json",
                           json::serialize(response) + "\n");
}

void EntryNode::ApplyAnnouncement(const wire::AnnouncementT& announcement,
                                  bool from_target) {
  bool is_changed = false;
  {
    const std::lock_guard lock(m_routing_mutex);
    const auto verdict = m_router.Announce(announcement, Now());
    if (verdict == routing::AnnounceVerdict::kStale) {
      return;
    }
    is_changed = verdict == routing::AnnounceVerdict::kChanged;
    if (from_target && is_changed) {
      m_changed_announcements[announcement.instance] = announcement;
    } else if (from_target) {
      const std::uint64_t hash = routing::NameHash(announcement.instance);
      m_pending_refreshes[hash] =
          wire::Refresh(hash, announcement.incarnation, announcement.sequence);
    }
  }
  if (is_changed) {
    const bool leaving = announcement.state == wire::TargetState::Leaving;
    EventLine(leaving ? Event::kTargetLeaving : Event::kTargetAdded)
        .Field("entry", m_settings.m_name)
        .Field("instance", announcement.instance)
        .Field("pool", announcement.pool)
        .Field("incarnation", announcement.incarnation);
  }
}

template <typename Message>
wire::FrameT EntryNode::MakeFrame(Message message) const {
  wire::FrameT frame;
  frame.sender = m_settings.m_name;
  frame.body.Set(std::move(message));
  return frame;
}

void EntryNode::FlushAnnouncements() {
  wire::AnnouncementBatchT batch;
  {
    const std::lock_guard lock(m_routing_mutex);
    for (const auto& [instance, announcement] :
         std::exchange(m_changed_announcements, {})) {
      batch.announcements.push_back(
          std::make_unique<wire::AnnouncementT>(announcement));
    }
    if (Now() >= m_next_refresh) {
      m_next_refresh = Now() + kRefreshInterval;
      for (const auto& [hash, refresh] :
           std::exchange(m_pending_refreshes, {})) {
        batch.refreshes.push_back(refresh);
      }
    }
  }
  if (batch.announcements.empty() && batch.refreshes.empty()) {
    return;
  }
  const wire::FrameT frame = MakeFrame(std::move(batch));
  for (auto& [name, peer] : m_peers) {
    peer->Send(frame);
  }
}

void EntryNode::OnPeerFrame(const wire::FrameT& frame) {
  if (frame.body.type == wire::Body::AnnouncementQuery) {
    ReplyToQuery(frame.sender, frame.body.AsAnnouncementQuery()->name_hashes);
  } else if (frame.body.type == wire::Body::AnnouncementBatch) {
    const wire::AnnouncementBatchT& batch = *frame.body.AsAnnouncementBatch();
    for (const auto& announcement : batch.announcements) {
      ApplyAnnouncement(*announcement, false);
    }
    ApplyRefreshes(frame.sender, batch.refreshes);
  }
}

void EntryNode::ApplyRefreshes(const std::string& sender,
                               const std::vector<wire::Refresh>& refreshes) {
  wire::AnnouncementQueryT query;
  {
    const std::lock_guard lock(m_routing_mutex);
    for (const wire::Refresh& refresh : refreshes) {
      if (m_router.Refresh(refresh, Now()) ==
          routing::AnnounceVerdict::kUnknown) {
        query.name_hashes.push_back(refresh.name_hash());
      }
    }
  }
  const auto peer = m_peers.find(sender);
  if (!query.name_hashes.empty() && peer != m_peers.end()) {
    peer->second->Send(MakeFrame(std::move(query)));
  }
}

void EntryNode::ReplyToQuery(const std::string& sender,
                             const std::vector<std::uint64_t>& name_hashes) {
  wire::AnnouncementBatchT batch;
  {
    const std::lock_guard lock(m_routing_mutex);
    for (const std::uint64_t hash : name_hashes) {
      if (const auto known = m_router.Describe(hash)) {
        batch.announcements.push_back(
            std::make_unique<wire::AnnouncementT>(*known));
      }
    }
  }
  const auto peer = m_peers.find(sender);
  if (!batch.announcements.empty() && peer != m_peers.end()) {
    peer->second->Send(MakeFrame(std::move(batch)));
  }
}

}  // namespace bronzebarrow::programs
