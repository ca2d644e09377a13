// Membership: wire conversion, look-up and changes of one member.
#include "bronzebarrow/consensus/membership.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace bronzebarrow::consensus {

Membership::Membership(std::vector<Member> members)
    : m_members(std::move(members)) {
  std::sort(m_members.begin(), m_members.end());
}

Membership Membership::FromWire(const wire::MembershipT& message) {
  std::vector<Member> members;
  members.reserve(message.members.size());
  for (const auto& member : message.members) {
    members.push_back({{member->name, member->generation}, member->voter});
  }
  return Membership(std::move(members));
}

wire::MembershipT Membership::ToWire() const {
  wire::MembershipT message;
  for (const Member& member : m_members) {
    auto copy = std::make_unique<wire::MemberT>();
    copy->name = member.m_id.m_name;
    copy->generation = member.m_id.m_generation;
    copy->voter = member.m_voter;
    message.members.push_back(std::move(copy));
  }
  return message;
}

bool Membership::IsVoter(const ReplicaId& id) const {
  const auto member = FindByName(id.m_name);
  return member && member->m_voter && member->m_id == id;
}

bool Membership::Contains(const ReplicaId& id) const {
  const auto member = FindByName(id.m_name);
  return member && member->m_id == id;
}

std::optional<Member> Membership::FindByName(const std::string& name) const {
  for (const Member& member : m_members) {
    if (member.m_id.m_name == name) {
      return member;
    }
  }
  return std::nullopt;
}

std::size_t Membership::VoterCount() const {
  return static_cast<std::size_t>(
      std::count_if(m_members.begin(), m_members.end(),
                    [](const Member& member) { return member.m_voter; }));
}

Membership Membership::WithLearner(const ReplicaId& id) const {
  std::vector<Member> members = Without(id.m_name).m_members;
  members.push_back({id, false});
  return Membership(std::move(members));
}

Membership Membership::WithVoter(const ReplicaId& id) const {
  std::vector<Member> members = Without(id.m_name).m_members;
  members.push_back({id, true});
  return Membership(std::move(members));
}

Membership Membership::Without(const std::string& name) const {
  std::vector<Member> members = m_members;
  std::erase_if(members, [&](const Member& member) {
    return member.m_id.m_name == name;
  });
  return Membership(std::move(members));
}

}  // namespace bronzebarrow::consensus
