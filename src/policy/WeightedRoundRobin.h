#ifndef POLICY_WEIGHTEDROUNDROBIN_H
#define POLICY_WEIGHTEDROUNDROBIN_H

#include <algorithm>
#include <cstddef>
#include <span>
#include <vector>

namespace foxtail {

/// Smooth weighted round robin: chooses each item in proportion to its weight,
/// with the choices of one item spread out evenly. Not thread safe.
class WeightedRoundRobin
{
public:
  /// @param aWeights at least 0 each, with a sum above 0; weights that differ
  /// from the previous call's reset the state.
  /// @return index of the chosen item.
  size_t Next(std::span<const double> aWeights)
  {
    if (!std::equal(
          aWeights.begin(), aWeights.end(), weights_.begin(), weights_.end())) {
      weights_.assign(aWeights.begin(), aWeights.end());
      credit_.assign(aWeights.size(), 0);
    }
    double sum = 0;
    size_t best = 0;
    for (size_t i = 0; i < weights_.size(); ++i) {
      sum += weights_[i];
      credit_[i] += weights_[i];
      if (credit_[i] > credit_[best]) {
        best = i;
      }
    }
    credit_[best] -= sum;
    return best;
  }

private:
  std::vector<double> weights_;
  std::vector<double> credit_;
};

} // namespace foxtail

#endif // POLICY_WEIGHTEDROUNDROBIN_H
