#ifndef POLICY_REPLYLIMITS_H
#define POLICY_REPLYLIMITS_H

#include <cstddef>
#include <cstdint>

namespace foxtail {

struct ReplySizeSettings
{
  /// Size that a reply without a stated length may always have.
  size_t minLimitBytes_ = size_t{ 64 } * 1024;
  /// Limit for a reply without a stated length while fewer than minSamples_
  /// replies are known.
  size_t initialLimitBytes_ = size_t{ 1024 } * 1024;
  uint32_t minSamples_ = 20;
  /// Multiple of the largest known reply up to which such a reply may grow.
  size_t growthFactor_ = 8;
};

/// Limits replies whose length their server does not state, by the sizes of
/// earlier replies of the same route. A server in trouble may send bytes
/// without end; until the limit they occupy this instance's memory and network
/// link. Not thread safe.
class ReplySizeLimit
{
public:
  explicit ReplySizeLimit(ReplySizeSettings aSettings = {});

  /// Counts a complete reply with a body of @p aBytes.
  void OnReply(size_t aBytes);

  /// @return the maximum size in bytes of a reply without a stated length.
  size_t MaxBytes() const;

private:
  ReplySizeSettings settings_;
  uint32_t samples_ = 0;
  size_t largest_ = 0;
};

struct ReplyMemorySettings
{
  /// Bytes that each reply may hold at any time.
  size_t guaranteedBytes_ = size_t{ 16 } * 1024;
  /// Bytes that all replies together may hold beyond the guaranteed ones.
  size_t sharedBytes_ = size_t{ 32 } * 1024 * 1024;
};

/// Bounds the memory of all incomplete replies together, so that many servers
/// that send large or endless replies at once cannot exhaust it. Not thread
/// safe.
class ReplyMemory
{
public:
  explicit ReplyMemory(ReplyMemorySettings aSettings = {});

  /// Changes the size of one incomplete reply.
  ///
  /// @param aHeld size that was granted to the reply so far; updated on
  /// success.
  /// @param aSize its new size; 0 once it is complete or discarded.
  /// @return false when the reply must be given up, as the shared memory is
  /// used up. A reply that shrinks is always granted.
  bool Resize(size_t& aHeld, size_t aSize);

  /// @return bytes held beyond the guaranteed ones.
  size_t SharedBytesInUse() const { return sharedInUse_; }

private:
  size_t SharedPart(size_t aSize) const;

  ReplyMemorySettings settings_;
  size_t sharedInUse_ = 0;
};

} // namespace foxtail

#endif // POLICY_REPLYLIMITS_H
