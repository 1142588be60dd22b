#include "consensus/ConsensusSettings.h"

namespace foxtail {
namespace {

constexpr milliseconds kMinInterval{ 5 };
constexpr milliseconds kMaxInterval{ 60000 };
/// One or two lost heartbeats must not start an election.
constexpr int kMinHeartbeatsPerElectionTimeout = 3;

} // namespace

ConsensusSettings ConsensusSettings::Read(JsonReader& aReader)
{
  ConsensusSettings settings;
  settings.heartbeatInterval_ = aReader.Millis(
    "heartbeat_ms", settings.heartbeatInterval_, kMinInterval, kMaxInterval);
  settings.electionTimeout_ = aReader.Millis("election_timeout_ms",
                                             settings.electionTimeout_,
                                             kMinInterval,
                                             kMaxInterval);
  if (settings.electionTimeout_ <
      settings.heartbeatInterval_ * kMinHeartbeatsPerElectionTimeout) {
    aReader.Fault("election_timeout_ms",
                  "is less than three heartbeat intervals; set it to at least "
                  "three times heartbeat_ms");
  }
  return settings;
}

} // namespace foxtail
