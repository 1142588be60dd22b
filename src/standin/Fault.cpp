#include "standin/Fault.h"

namespace foxtail {
namespace {

constexpr int64_t kMaxShards = 4096;
constexpr int64_t kMaxVersion = int64_t{ 1 } << 53;
constexpr int64_t kMaxInFlight = 1000000;
constexpr double kMaxFactor = 1000000;
constexpr milliseconds kLongest{ 600000 };

} // namespace

ServerSelector ServerSelector::Read(JsonReader& aReader)
{
  ServerSelector selector;
  selector.name_ = aReader.String("name", "");
  selector.service_ = aReader.String("service", "");
  selector.catalogue_ = aReader.String("catalogue", "");
  selector.zone_ = aReader.String("zone", "");
  selector.replica_ = aReader.String("replica", "");
  if (aReader.Has("shard")) {
    selector.shard_ =
      static_cast<uint32_t>(aReader.Integer("shard", 0, 0, kMaxShards));
  }
  return selector;
}

FaultRequest FaultRequest::Read(JsonReader& aReader)
{
  FaultRequest request;
  aReader.Object("select", [&](JsonReader& aMember) {
    request.selector_ = ServerSelector::Read(aMember);
  });
  Fault& fault = request.fault_;
  if (!aReader.Has("fault")) {
    aReader.Fault("fault", "is missing; name the fault");
  }
  fault.kind_ = aReader.Enum("fault", fault.kind_);
  fault.percent_ = aReader.Number("percent", fault.percent_, 0, 100);
  fault.factor_ = aReader.Number("factor", fault.factor_, 0, kMaxFactor);
  fault.time_ = aReader.Millis("ms", fault.time_, milliseconds(0), kLongest);
  fault.state_ = aReader.String("state", "ready");
  fault.inFlight_ =
    static_cast<uint32_t>(aReader.Integer("in_flight", 0, 0, kMaxInFlight));
  fault.isRefusing_ = aReader.Bool("refuse", fault.isRefusing_);
  fault.isOn_ = aReader.Bool("on", fault.isOn_);
  const bool hasVersion =
    fault.kind_ == FaultKind::Version || fault.kind_ == FaultKind::Repartition;
  if (hasVersion) {
    fault.version_ =
      static_cast<uint64_t>(aReader.RequiredInteger("version", 0, kMaxVersion));
  }
  if (fault.kind_ == FaultKind::Repartition) {
    fault.shards_ =
      static_cast<uint32_t>(aReader.RequiredInteger("shards", 1, kMaxShards));
  }
  return request;
}

} // namespace foxtail
