#ifndef FORWARD_GATHERRUN_H
#define FORWARD_GATHERRUN_H

#include "forward/Run.h"
#include "policy/GatherPolicy.h"

namespace foxtail {

/// A query to one backend server of each shard, answered with the greatest
/// records of the parts that came. All shards are those of one document
/// version: the one under which the query began.
class GatherRun final : public Run
{
public:
  GatherRun(RunContext& aContext,
            std::shared_ptr<const RouteTable> aTable,
            const Route& aRoute,
            const GatherTarget& aTarget,
            RouteStats& aStats,
            std::shared_ptr<const ForwardRequest> aRequest,
            Done aDone);

  void Start(TimePoint aNow) override;
  void OnExchangeEnd(Exchange& aExchange, TimePoint aNow) override;

private:
  enum class PartState
  {
    Pending,
    Included,
    GivenUp,
  };
  struct Part
  {
    PartState state_ = PartState::Pending;
    std::string signature_;
    std::string records_;
  };

  void OnWake(TimePoint aNow) override;
  TimePoint NextWake(TimePoint aNow) const override;
  std::span<Attempts> AllAttempts() override { return attempts_; }

  void Settle(uint32_t aShard, PartState aState, TimePoint aNow);
  void Judge(TimePoint aNow);
  GatherProgress Progress() const;
  /// @return whether more parts are needed for a success.
  bool IsNeeded() const;
  ForwardAnswer Merge() const;

  const GatherTarget& target_;
  /// One a shard, in the order of the target.
  std::vector<Attempts> attempts_;
  std::vector<Part> parts_;
  TimePoint objectiveAt_;
  uint32_t included_ = 0;
  uint32_t givenUp_ = 0;
};

} // namespace foxtail

#endif // FORWARD_GATHERRUN_H
