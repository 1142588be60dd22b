#ifndef CONTROL_LEADERENDPOINTS_H
#define CONTROL_LEADERENDPOINTS_H

#include "consensus/ConsensusNode.h"
#include "control/ControlState.h"

#include <string>

namespace foxtail {

/// @return the leader if it is known and another instance than this one.
inline const GroupMember* FindOtherLeader(const ConsensusNode& aNode)
{
  const auto& leader = aNode.Leader();
  if (!leader.has_value() || *leader == aNode.Self()) {
    return nullptr;
  }
  return aNode.CurrentMembership().Find(*leader);
}

/// Visitor for ReplicatedControl::Inspect().
///
/// @return the administration endpoint of the leader; empty when this instance
/// leads or no leader is known.
inline std::string LeaderAdminEndpoint(const ConsensusNode& aNode,
                                       const ControlState&)
{
  const GroupMember* leader = FindOtherLeader(aNode);
  return leader == nullptr ? std::string() : leader->admin_;
}

/// Like LeaderAdminEndpoint(), for the leader's endpoint for frames.
inline std::string LeaderFrameEndpoint(const ConsensusNode& aNode,
                                       const ControlState&)
{
  const GroupMember* leader = FindOtherLeader(aNode);
  return leader == nullptr ? std::string() : leader->endpoint_;
}

} // namespace foxtail

#endif // CONTROL_LEADERENDPOINTS_H
