#include "instance/SpreadTree.h"

#include "policy/Placement.h"

#include <algorithm>

namespace foxtail {

std::vector<const Member*> TreeChildren(const InstanceId& aOrigin,
                                        const InstanceId& aInstance,
                                        const std::vector<Member>& aMembers,
                                        size_t aFanOut)
{
  struct Scored
  {
    uint64_t score_;
    const Member* member_;
  };
  const uint64_t key = RendezvousHash(aOrigin.Value());
  std::vector<Scored> order;
  order.reserve(aMembers.size());
  for (const Member& member : aMembers) {
    if (member.instance_ != aOrigin) {
      const uint64_t hash = RendezvousHash(member.instance_.Value());
      order.push_back({ RendezvousScore(key, hash), &member });
    }
  }
  std::sort(
    order.begin(), order.end(), [](const Scored& aLeft, const Scored& aRight) {
      return aLeft.score_ > aRight.score_;
    });
  // Positions are numbered as in a heap with aFanOut children for each node.
  // The origin is at position 0.
  size_t position = 0;
  if (aInstance != aOrigin) {
    const auto found =
      std::find_if(order.begin(), order.end(), [&](const Scored& aScored) {
        return aScored.member_->instance_ == aInstance;
      });
    if (found == order.end()) {
      return {};
    }
    position = static_cast<size_t>(found - order.begin()) + 1;
  }
  std::vector<const Member*> children;
  const size_t first = position * aFanOut + 1;
  for (size_t i = first; i < first + aFanOut && i <= order.size(); ++i) {
    children.push_back(order[i - 1].member_);
  }
  return children;
}

} // namespace foxtail
