#ifndef CORE_IDS_H
#define CORE_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace foxtail {

/// Distinct value type for each kind of identifier, so that passing a shard
/// index in place of an attempt id does not compile.
///
/// @tparam Tag type that distinguishes the kind of identifier.
/// @tparam Rep representation: an integer or a string.
template<typename Tag, typename Rep>
class StrongId
{
public:
  constexpr StrongId() = default;
  constexpr explicit StrongId(Rep aValue)
    : value_(std::move(aValue))
  {
  }

  constexpr const Rep& Value() const { return value_; }

  friend constexpr auto operator<=>(const StrongId&, const StrongId&) = default;
  friend std::ostream& operator<<(std::ostream& aOut, const StrongId& aId)
  {
    return aOut << aId.value_;
  }

private:
  Rep value_{};
};

/// Zero-based index of a shard within its layout.
using ShardId = StrongId<struct ShardIdTag, uint32_t>;
/// Version of a catalogue's index; a larger one is newer.
using IndexVersion = StrongId<struct IndexVersionTag, uint64_t>;
/// Identifies one attempt: one send of a request to one backend server.
using AttemptId = StrongId<struct AttemptIdTag, uint64_t>;
/// Identifies a caller's request; the same on each hop and in each log line.
using RequestId = StrongId<struct RequestIdTag, std::string>;
/// Increases with each restart of a process, so that messages sent before the
/// restart can be recognised.
using Incarnation = StrongId<struct IncarnationTag, uint64_t>;
/// Version of the accepted configuration document. Where documents carry their
/// own versions, 0 is one of them; control instances that assign versions begin
/// with 1.
using DocumentVersion = StrongId<struct DocumentVersionTag, uint64_t>;

using ServiceName = StrongId<struct ServiceNameTag, std::string>;
using CatalogueName = StrongId<struct CatalogueNameTag, std::string>;
using ZoneName = StrongId<struct ZoneNameTag, std::string>;
using TeamName = StrongId<struct TeamNameTag, std::string>;
/// Name under which a backend server announces itself.
using BackendId = StrongId<struct BackendIdTag, std::string>;
/// Name of one of the system's own instances, entry or control.
using InstanceId = StrongId<struct InstanceIdTag, std::string>;

} // namespace foxtail

template<typename Tag, typename Rep>
struct std::hash<foxtail::StrongId<Tag, Rep>>
{
  size_t operator()(const foxtail::StrongId<Tag, Rep>& aId) const noexcept
  {
    return std::hash<Rep>()(aId.Value());
  }
};

#endif // CORE_IDS_H
