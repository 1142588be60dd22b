#ifndef CONTROL_EVACUATIONTABLE_H
#define CONTROL_EVACUATIONTABLE_H

#include "control/Command.h"

#include <optional>
#include <set>

namespace foxtail {

/// An order as it was received from its sender.
struct EvacuationOrder
{
  ZoneName zone_;
  /// Whether the evacuation begins; else it ends.
  bool isEvacuated_ = false;
  /// Number of orders that an instance has stated to the sender for this order;
  /// none in an order that is sent for the first time.
  std::optional<uint64_t> knownOrders_;
};

/// Evacuated availability zones. Deterministic. Not thread safe.
class EvacuationTable
{
public:
  struct Rows
  {
    std::set<ZoneName> zones_;
    /// Number of orders that changed the set.
    uint64_t revision_ = 0;
    /// Number of orders applied, with those that changed nothing.
    uint64_t orders_ = 0;

    friend bool operator==(const Rows&, const Rows&) = default;
  };

  /// Applies an order. One that would change the set is refused when another
  /// order was applied since the sender read the table: an order that a failed
  /// link delayed would otherwise undo a later one.
  EvacuationResult Apply(const SetEvacuation& aOrder);

  /// Makes the command for an order that an instance has received and has this
  /// table. An instance that was paused, or whose link was, may read an order
  /// that its sender has given up since, has sent to another instance and has
  /// taken back by a later order. Only the sender can rule this out: an order
  /// that would change the set must state the number of orders that an instance
  /// has stated in reply to it, and Apply() refuses it if there was one since.
  ///
  /// @return none when the sender must receive Rows::orders_ first.
  std::optional<SetEvacuation> MakeCommand(const EvacuationOrder& aOrder) const;

  /// Replaces the table by that of a snapshot.
  void Restore(Rows aRows) { rows_ = std::move(aRows); }

  const Rows& GetRows() const { return rows_; }

private:
  Rows rows_;
};

} // namespace foxtail

#endif // CONTROL_EVACUATIONTABLE_H
