#ifndef POLICY_PERCENTBUDGET_H
#define POLICY_PERCENTBUDGET_H

#include <algorithm>

namespace foxtail {

/// Token bucket filled by a percentage of the requests sent, so that extra
/// attempts never exceed that percentage by more than the burst. Not thread
/// safe.
class PercentBudget
{
public:
  /// @param aPercent tokens per 100 requests sent; 0 allows no extra attempts.
  /// @param aBurst largest and initial number of tokens.
  PercentBudget(double aPercent, double aBurst)
    : perRequest_(aPercent / 100)
    , burst_(aPercent > 0 ? aBurst : 0)
    , tokens_(burst_)
  {
  }

  /// Counts first attempts, not the extra ones.
  void OnSent(double aCount = 1)
  {
    tokens_ = std::min(burst_, tokens_ + perRequest_ * aCount);
  }

  bool Has(double aCost = 1) const
  {
    // Rounding makes sums of small fractions fall short of a whole token.
    constexpr double kRounding = 1e-6;
    return tokens_ + kRounding >= aCost;
  }

  /// @return whether there were enough tokens; if so, they are taken.
  bool TryTake(double aCost = 1)
  {
    if (!Has(aCost)) {
      return false;
    }
    tokens_ -= aCost;
    return true;
  }

  /// Changes the percentage and the burst; the tokens left are reduced to the
  /// burst.
  void Configure(double aPercent, double aBurst)
  {
    perRequest_ = aPercent / 100;
    burst_ = aPercent > 0 ? aBurst : 0;
    tokens_ = std::min(tokens_, burst_);
  }

  double Tokens() const { return tokens_; }

private:
  double perRequest_;
  double burst_;
  double tokens_;
};

} // namespace foxtail

#endif // POLICY_PERCENTBUDGET_H
