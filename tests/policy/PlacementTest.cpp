#include "policy/Placement.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <string>

using namespace foxtail;

namespace {

std::vector<InstanceId> MakeNodes(size_t aCount)
{
  std::vector<InstanceId> nodes;
  for (size_t i = 0; i < aCount; ++i) {
    nodes.emplace_back("entry-" + std::to_string(i));
  }
  return nodes;
}

constexpr int kKeys = 4000;

} // namespace

TEST_CASE("owners do not depend on the order of the nodes")
{
  std::vector<InstanceId> nodes = MakeNodes(9);
  const auto owners = ChooseOwners("b-1", nodes, 3);
  std::reverse(nodes.begin(), nodes.end());
  CHECK(ChooseOwners("b-1", nodes, 3) == owners);
  CHECK(owners.size() == 3);
  CHECK(ChooseOwners("b-1", nodes, 20).size() == 9);
}

TEST_CASE("removing a node moves only its own keys, and keys are spread evenly")
{
  const std::vector<InstanceId> before = MakeNodes(10);
  const std::vector<InstanceId> after(before.begin(), before.end() - 1);
  std::map<InstanceId, int> count;
  for (int key = 0; key < kKeys; ++key) {
    const std::string name = "b-" + std::to_string(key);
    const InstanceId owner = ChooseOwners(name, before, 1).front();
    ++count[owner];
    if (owner != before.back()) {
      CHECK(ChooseOwners(name, after, 1).front() == owner);
    }
  }
  for (const auto& [node, keys] : count) {
    CAPTURE(node);
    CHECK(keys > kKeys / 10 / 2);
    CHECK(keys < kKeys / 10 * 2);
  }
}
