#ifndef ALLOWANCE_CONTROLCHOICE_H
#define ALLOWANCE_CONTROLCHOICE_H

#include "allowance/AllowanceSettings.h"
#include "core/EnumTable.h"

#include <map>
#include <string>
#include <vector>

namespace foxtail {

/// A control instance that an entry instance may ask.
struct AllowanceControl
{
  std::string endpoint_;
  /// Smaller is nearer: 0 in the same zone, 1 in the region, 2 elsewhere.
  int distance_ = 0;
};

/// Messages that one instance has sent to others and how these replied: at most
/// two are outstanding to each, and one that does not reply in time is skipped.
/// Not thread-safe.
class ControlChoice
{
public:
  static constexpr int kMaxOutstanding = 2;

  explicit ControlChoice(AllowanceSettings aSettings = {})
    : settings_(aSettings)
  {
  }

  /// @return the nearest of @p aControls that is not skipped, or null.
  const AllowanceControl* Choose(const std::vector<AllowanceControl>& aControls,
                                 TimePoint aNow) const;
  bool IsSkipped(const std::string& aEndpoint, TimePoint aNow) const;
  bool MaySend(const std::string& aEndpoint) const;
  void OnSent(const std::string& aEndpoint);
  void OnReply(const std::string& aEndpoint, Duration aRoundTrip);
  void OnFailure(const std::string& aEndpoint, TimePoint aNow);
  /// @return the measured round trip, or zero before the first reply.
  Duration RoundTrip(const std::string& aEndpoint) const;

private:
  struct Row
  {
    int outstanding_ = 0;
    TimePoint skippedUntil_{};
    Duration roundTrip_{};
  };

  const AllowanceSettings settings_;
  std::map<std::string, Row> rows_;
};

} // namespace foxtail

#endif // ALLOWANCE_CONTROLCHOICE_H
