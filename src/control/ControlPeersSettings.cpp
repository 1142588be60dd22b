#include "control/ControlPeersSettings.h"

namespace foxtail {

ControlPeersSettings ControlPeersSettings::Read(JsonReader& aReader)
{
  constexpr size_t kMaxControl = 10;
  constexpr milliseconds kLeast{ 10 };
  constexpr milliseconds kLongest{ 600000 };
  ControlPeersSettings settings;
  aReader.Objects("control", kMaxControl, [&](JsonReader& aMember) {
    settings.control_.push_back(ControlPeer::Read(aMember));
  });
  settings.readInterval_ = aReader.Millis(
    "document_read_ms", settings.readInterval_, kLeast, kLongest);
  settings.startTimeout_ = aReader.Millis(
    "control_start_ms", settings.startTimeout_, kLeast, kLongest);
  return settings;
}

} // namespace foxtail
