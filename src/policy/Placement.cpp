#include "policy/Placement.h"

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace foxtail {

uint64_t RendezvousHash(std::string_view aName)
{
  return XXH3_64bits(aName.data(), aName.size());
}

uint64_t RendezvousScore(uint64_t aKeyHash, uint64_t aNodeHash)
{
  const std::array<uint64_t, 2> pair{ aKeyHash, aNodeHash };
  return XXH3_64bits(pair.data(), sizeof(pair));
}

uint64_t RendezvousScore(std::string_view aKey, std::string_view aNode)
{
  return RendezvousScore(RendezvousHash(aKey), RendezvousHash(aNode));
}

std::vector<InstanceId> ChooseOwners(std::string_view aKey,
                                     std::span<const InstanceId> aNodes,
                                     size_t aCount)
{
  struct Scored
  {
    uint64_t score_;
    const InstanceId* node_;
  };
  const uint64_t keyHash = RendezvousHash(aKey);
  std::vector<Scored> scored;
  scored.reserve(aNodes.size());
  for (const InstanceId& node : aNodes) {
    scored.push_back(
      { RendezvousScore(keyHash, RendezvousHash(node.Value())), &node });
  }
  const auto isBetter = [](const Scored& aLeft, const Scored& aRight) {
    return aLeft.score_ != aRight.score_ ? aLeft.score_ > aRight.score_
                                         : *aLeft.node_ < *aRight.node_;
  };
  const size_t count = std::min(aCount, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(count),
                    scored.end(),
                    isBetter);
  std::vector<InstanceId> owners;
  for (size_t i = 0; i < count; ++i) {
    owners.push_back(*scored[i].node_);
  }
  return owners;
}

} // namespace foxtail
