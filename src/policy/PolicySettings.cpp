#include "policy/PolicySettings.h"

namespace foxtail {
namespace {

template<typename Settings>
void ReadMember(JsonReader& aReader, std::string_view aName, Settings& aTarget)
{
  aReader.Object(
    aName, [&](JsonReader& aMember) { aTarget = Settings::Read(aMember); });
}

} // namespace

PolicySettings PolicySettings::Read(JsonReader& aReader)
{
  PolicySettings result;
  ReadMember(aReader, "snapshot", result.snapshot_);
  ReadMember(aReader, "replan", result.replan_);
  ReadMember(aReader, "replica", result.replica_);
  ReadMember(aReader, "ramp", result.ramp_);
  ReadMember(aReader, "hedge", result.hedge_);
  ReadMember(aReader, "retry", result.retry_);
  ReadMember(aReader, "in_flight", result.inFlight_);
  ReadMember(aReader, "connection_share", result.connectionShare_);
  ReadMember(aReader, "admission", result.admission_);
  ReadMember(aReader, "ejection", result.ejection_);
  ReadMember(aReader, "partial_answer", result.partialAnswer_);
  ReadMember(aReader, "drain", result.drain_);
  return result;
}

} // namespace foxtail
