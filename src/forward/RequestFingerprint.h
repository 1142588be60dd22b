#ifndef FORWARD_REQUESTFINGERPRINT_H
#define FORWARD_REQUESTFINGERPRINT_H

#include "forward/Exchange.h"

namespace foxtail {

/// @return a hash of a request's method, host, target, credentials and body,
/// the same at each instance. Headers that differ between attempts are left
/// out.
RequestFingerprint FingerprintOf(const ForwardRequest& aRequest);

} // namespace foxtail

#endif // FORWARD_REQUESTFINGERPRINT_H
