#ifndef CONSENSUS_MESSAGECODEC_H
#define CONSENSUS_MESSAGECODEC_H

#include "consensus/Message.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace foxtail {

/// @return the message encoded as a FlatBuffer.
std::string EncodeMessage(const ConsensusMessage& aMessage);

/// Verifies and decodes a message.
///
/// @return Protocol when @p aText is not a valid message.
absl::StatusOr<ConsensusMessage> DecodeMessage(std::string_view aText);

} // namespace foxtail

#endif // CONSENSUS_MESSAGECODEC_H
