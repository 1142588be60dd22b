#ifndef CONTROL_CONTROLPEERSSETTINGS_H
#define CONTROL_CONTROLPEERSSETTINGS_H

#include "control/ControlSettings.h"
#include "core/JsonReader.h"
#include "core/Time.h"

#include <vector>

namespace foxtail {

/// Control instances that an entry instance uses, and its read intervals.
struct ControlPeersSettings
{
  /// The control instances. When empty, there are no claims, and the only
  /// document is the one in the settings.
  std::vector<ControlPeer> control_;
  /// Interval between reads of the document, which make up for lost updates.
  milliseconds readInterval_{ 2000 };
  /// Time that a starting instance waits for a read confirmed by a quorum.
  milliseconds startTimeout_{ 5000 };

  /// Reads the JSON members control, document_read_ms and control_start_ms.
  static ControlPeersSettings Read(JsonReader& aReader);
};

} // namespace foxtail

#endif // CONTROL_CONTROLPEERSSETTINGS_H
