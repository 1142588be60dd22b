#ifndef CONTROL_LEADERADMINENDPOINT_H
#define CONTROL_LEADERADMINENDPOINT_H

#include "consensus/ConsensusNode.h"
#include "control/ControlState.h"

#include <string>

namespace foxtail {

/// Visitor for ReplicatedControl::Inspect().
///
/// @return the administration endpoint of the leader; empty when this instance
/// leads or no leader is known.
inline std::string LeaderAdminEndpoint(const ConsensusNode& aNode,
                                       const ControlState&)
{
  const auto& leader = aNode.Leader();
  if (!leader.has_value() || *leader == aNode.Self()) {
    return {};
  }
  const GroupMember* member = aNode.CurrentMembership().Find(*leader);
  return member == nullptr ? std::string() : member->admin_;
}

} // namespace foxtail

#endif // CONTROL_LEADERADMINENDPOINT_H
