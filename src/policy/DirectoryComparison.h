#ifndef POLICY_DIRECTORYCOMPARISON_H
#define POLICY_DIRECTORYCOMPARISON_H

#include "core/Time.h"

namespace foxtail {

struct DirectoryComparisonSettings
{
  /// Directories that differ for less than this differ only by changes that are
  /// on their way: several times the delay of updates between control
  /// instances, and well below the seconds within which an instance that was
  /// paused must know the present servers again.
  milliseconds tolerance_{ 1000 };
  /// Least interval of the requests for a whole directory. While servers change
  /// all the time, directories may differ at each comparison.
  milliseconds minInterval_{ 10000 };
};

/// Decides when a control instance requests the whole directory of another one.
/// Usually it receives only the servers that announce themselves to the other
/// one, so a change that it has missed is not sent again once the instance that
/// had the announcement has restarted, although all others have the change.
/// Not thread safe.
class DirectoryComparison
{
public:
  explicit DirectoryComparison(DirectoryComparisonSettings aSettings = {});

  /// Records a comparison of the digests of both directories.
  ///
  /// @return whether the whole directory is to be requested now.
  bool OnCompared(bool aIsEqual, TimePoint aNow);

  /// @return whether the directories differed at the last comparison, so that
  /// the next one should follow within tolerance_.
  bool IsDifferent() const { return differsSince_ != TimePoint::max(); }

  milliseconds Tolerance() const { return settings_.tolerance_; }

private:
  DirectoryComparisonSettings settings_;
  /// max() while the directories are equal.
  TimePoint differsSince_ = TimePoint::max();
  TimePoint nextRequestAt_ = TimePoint::min();
};

} // namespace foxtail

#endif // POLICY_DIRECTORYCOMPARISON_H
