#ifndef POLICY_SOURCERETENTION_H
#define POLICY_SOURCERETENTION_H

#include "core/Time.h"

namespace foxtail {

/// Evidence about a control instance that does not reply.
struct SourceEvidence
{
  /// Whether the settings name it.
  bool isSeed_ = false;
  /// Whether another control instance that replies lists it as a member.
  bool isListed_ = false;
  /// Whether any other control instance replies.
  bool doOthersReply_ = false;
  /// When it last replied or was first listed.
  TimePoint lastSeenAt_{};
};

/// Decides whether a control instance is polled no more. Silence alone is no
/// reason: an instance that is cut off, paused or outlives all control
/// instances would forget every one of them, and could not find its way back.
///
/// @param aExpiry time without a sign of the control instance.
bool ShouldForgetSource(const SourceEvidence& aEvidence,
                        milliseconds aExpiry,
                        TimePoint aNow);

} // namespace foxtail

#endif // POLICY_SOURCERETENTION_H
