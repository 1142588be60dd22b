#include "control/EvacuationTable.h"

namespace foxtail {

EvacuationResult EvacuationTable::Apply(const SetEvacuation& aOrder)
{
  const bool isChange =
    rows_.zones_.contains(aOrder.zone_) != aOrder.isEvacuated_;
  if (isChange && aOrder.knownOrders_ != rows_.orders_) {
    return { false, rows_.revision_ };
  }
  ++rows_.orders_;
  if (isChange) {
    ++rows_.revision_;
    if (aOrder.isEvacuated_) {
      rows_.zones_.insert(aOrder.zone_);
    } else {
      rows_.zones_.erase(aOrder.zone_);
    }
  }
  return { true, rows_.revision_ };
}

std::optional<SetEvacuation> EvacuationTable::MakeCommand(
  const EvacuationOrder& aOrder) const
{
  const bool isChange =
    rows_.zones_.contains(aOrder.zone_) != aOrder.isEvacuated_;
  if (isChange && !aOrder.knownOrders_) {
    return std::nullopt;
  }
  return SetEvacuation{ aOrder.zone_,
                        aOrder.isEvacuated_,
                        aOrder.knownOrders_.value_or(rows_.orders_) };
}

} // namespace foxtail
