#include "allowance/AllowanceMessages.h"

#include "allowance/allowance_generated.h"
#include "instance/WireCodec.h"

#include <algorithm>
#include <cmath>

namespace foxtail {
namespace {

bool IsAmount(double aValue)
{
  return std::isfinite(aValue) && aValue >= 0;
}

absl::Status InvalidAmount()
{
  return MakeError(ErrorKind::Protocol,
                   "an amount of permits is negative or not a number; run the "
                   "same release on all instances");
}

} // namespace

std::string EncodeAllowanceRequest(const AllowanceRequest& aRequest)
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<wire::AllowanceAsk>> asks;
  asks.reserve(aRequest.asks_.size());
  for (const AllowanceAsk& ask : aRequest.asks_) {
    const auto name = builder.CreateString(ask.name_);
    asks.push_back(wire::CreateAllowanceAsk(
      builder, name, ask.amount_, ask.demand_, ask.least_));
  }
  const auto list = builder.CreateVector(asks);
  builder.Finish(wire::CreateAllowanceRequest(
    builder,
    list,
    ToWireVersion(aRequest.version_),
    aRequest.isControl_,
    static_cast<uint32_t>(std::max<int64_t>(0, aRequest.wait_.count()))));
  return FinishedBytes(builder);
}

absl::StatusOr<AllowanceRequest> DecodeAllowanceRequest(std::string_view aText)
{
  const auto root = VerifyAndGetRoot<wire::AllowanceRequest>(aText);
  if (!root.ok()) {
    return root.status();
  }
  AllowanceRequest request;
  for (const wire::AllowanceAsk* ask : *(*root)->asks()) {
    if (!IsAmount(ask->amount()) || !IsAmount(ask->demand()) ||
        !IsAmount(ask->least())) {
      return InvalidAmount();
    }
    request.asks_.push_back(
      { ask->name()->str(), ask->amount(), ask->demand(), ask->least() });
  }
  request.version_ = FromWireVersion((*root)->version());
  request.isControl_ = (*root)->is_control();
  request.wait_ = microseconds((*root)->wait_us());
  return request;
}

std::string EncodeAllowanceReply(const AllowanceReply& aReply)
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<wire::AllowanceGrant>> grants;
  grants.reserve(aReply.grants_.size());
  for (const AllowanceGrant& grant : aReply.grants_) {
    const auto name = builder.CreateString(grant.name_);
    grants.push_back(wire::CreateAllowanceGrant(
      builder,
      name,
      grant.amount_,
      static_cast<uint8_t>(grant.outcome_),
      static_cast<uint32_t>(std::max<int64_t>(0, grant.expectedIn_.count())),
      grant.lendable_));
  }
  const auto list = builder.CreateVector(grants);
  builder.Finish(wire::CreateAllowanceReply(builder, list, aReply.gives_));
  return FinishedBytes(builder);
}

absl::StatusOr<AllowanceReply> DecodeAllowanceReply(std::string_view aText)
{
  const auto root = VerifyAndGetRoot<wire::AllowanceReply>(aText);
  if (!root.ok()) {
    return root.status();
  }
  AllowanceReply reply;
  for (const wire::AllowanceGrant* grant : *(*root)->grants()) {
    if (!IsAmount(grant->amount()) || !IsAmount(grant->lendable()) ||
        grant->outcome() >= EnumTable<AllowanceOutcome>::kRows.size()) {
      return InvalidAmount();
    }
    reply.grants_.push_back({ grant->name()->str(),
                              grant->amount(),
                              static_cast<AllowanceOutcome>(grant->outcome()),
                              milliseconds(grant->expected_ms()),
                              grant->lendable() });
  }
  reply.gives_ = (*root)->gives();
  return reply;
}

} // namespace foxtail
