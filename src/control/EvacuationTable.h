#ifndef CONTROL_EVACUATIONTABLE_H
#define CONTROL_EVACUATIONTABLE_H

#include "control/Command.h"

#include <set>

namespace foxtail {

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

  /// Replaces the table by that of a snapshot.
  void Restore(Rows aRows) { rows_ = std::move(aRows); }

  const Rows& GetRows() const { return rows_; }

private:
  Rows rows_;
};

} // namespace foxtail

#endif // CONTROL_EVACUATIONTABLE_H
