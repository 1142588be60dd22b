#ifndef INSTANCE_SPREADTREE_H
#define INSTANCE_SPREADTREE_H

#include "instance/MembershipTypes.h"

#include <vector>

namespace foxtail {

/// Computes the children of one instance in the dissemination tree that an
/// origin spans over a zone. All instances with the same view compute the same
/// tree: the origin is the root, and the others follow in descending order of
/// their rendezvous scores for the origin's name.
///
/// @param aMembers the zone's members, with or without the origin and the
/// instance.
/// @param aFanOut children of each instance, at least 1.
/// @return the children; none when the instance is neither the origin nor a
/// member.
std::vector<const Member*> TreeChildren(const InstanceId& aOrigin,
                                        const InstanceId& aInstance,
                                        const std::vector<Member>& aMembers,
                                        size_t aFanOut);

} // namespace foxtail

#endif // INSTANCE_SPREADTREE_H
