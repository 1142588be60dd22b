#ifndef POLICY_PLACEMENT_H
#define POLICY_PLACEMENT_H

#include "core/Ids.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace foxtail {

/// Rendezvous score of a node for a key. The score of a node does not depend on
/// other nodes, so that adding or removing a node moves only its own keys. The
/// same on every instance.
uint64_t RendezvousScore(std::string_view aKey, std::string_view aNode);

/// Same as above for names hashed in advance, to score many pairs.
uint64_t RendezvousScore(uint64_t aKeyHash, uint64_t aNodeHash);

/// @return the hash of a name for RendezvousScore().
uint64_t RendezvousHash(std::string_view aName);

/// Chooses the nodes that own a key.
///
/// @param aNodes candidates, in any order, without duplicates.
/// @return the @p aCount nodes with the highest scores, highest first; all
/// nodes if there are fewer.
std::vector<InstanceId> ChooseOwners(std::string_view aKey,
                                     std::span<const InstanceId> aNodes,
                                     size_t aCount);

} // namespace foxtail

#endif // POLICY_PLACEMENT_H
