#ifndef INSTANCE_MEMBERSHIPCODEC_H
#define INSTANCE_MEMBERSHIPCODEC_H

#include "instance/MembershipTypes.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace foxtail {

/// @return the payload of a Membership frame.
std::string EncodeMembership(const MembershipMessage& aMessage);

/// @return the message, or a Protocol error when it is malformed.
absl::StatusOr<MembershipMessage> DecodeMembership(std::string_view aPayload);

} // namespace foxtail

#endif // INSTANCE_MEMBERSHIPCODEC_H
