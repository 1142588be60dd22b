#include "feed/FeedMessages.h"

#include "feed/feed_generated.h"
#include "instance/WireCodec.h"

#include <algorithm>

namespace foxtail {
namespace {

ServerPhase DecodePhase(uint8_t aValue)
{
  return aValue < EnumTable<ServerPhase>::kRows.size()
           ? static_cast<ServerPhase>(aValue)
           : ServerPhase::Draining;
}

uint32_t ToMilliseconds32(milliseconds aTime)
{
  return static_cast<uint32_t>(std::max<int64_t>(0, aTime.count()));
}

FeedServer FromWire(const wire::FeedServer& aRow)
{
  FeedServer server;
  ServerAnnouncement& announcement = server.announcement_;
  announcement.id_ = BackendId(aRow.id()->str());
  announcement.service_ = ServiceName(aRow.service()->str());
  announcement.address_ = aRow.address()->str();
  announcement.zone_ = ZoneName(aRow.zone()->str());
  announcement.slots_ = aRow.slots();
  announcement.phase_ = DecodePhase(aRow.phase());
  announcement.warmupLeft_ = milliseconds(aRow.slow_for_ms());
  announcement.startedAtMs_ = aRow.started_at_ms();
  announcement.sequence_ = aRow.sequence();
  announcement.isLeaving_ = aRow.is_leaving();
  server.age_ = milliseconds(aRow.age_ms());
  return server;
}

/// Largest slowness ratio that is sent, as its percentage must fit 32 bits.
constexpr double kMaxRatio = 10000;
constexpr double kPercent = 100;

using SlowServerList =
  flatbuffers::Vector<flatbuffers::Offset<wire::FeedSlowServer>>;

flatbuffers::Offset<SlowServerList> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const std::vector<FeedSlowServer>& aServers)
{
  std::vector<flatbuffers::Offset<wire::FeedSlowServer>> rows;
  rows.reserve(aServers.size());
  for (const FeedSlowServer& server : aServers) {
    const auto id = aBuilder.CreateString(server.id_.Value());
    rows.push_back(wire::CreateFeedSlowServer(
      aBuilder,
      id,
      static_cast<uint32_t>(std::clamp(server.ratio_, 0.0, kMaxRatio) *
                            kPercent),
      ToMilliseconds32(server.age_)));
  }
  return aBuilder.CreateVector(rows);
}

std::vector<FeedSlowServer> FromWire(const SlowServerList* aList)
{
  std::vector<FeedSlowServer> servers;
  if (aList == nullptr) {
    return servers;
  }
  servers.reserve(aList->size());
  for (const wire::FeedSlowServer* row : *aList) {
    servers.push_back({ BackendId(row->id()->str()),
                        row->ratio_percent() / kPercent,
                        milliseconds(row->age_ms()) });
  }
  return servers;
}

using QuarantineList =
  flatbuffers::Vector<flatbuffers::Offset<wire::FeedQuarantine>>;

flatbuffers::Offset<QuarantineList> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const std::vector<FeedQuarantine>& aQuarantines)
{
  std::vector<flatbuffers::Offset<wire::FeedQuarantine>> rows;
  rows.reserve(aQuarantines.size());
  for (const FeedQuarantine& quarantine : aQuarantines) {
    rows.push_back(wire::CreateFeedQuarantine(
      aBuilder,
      quarantine.request_.Value(),
      ToMilliseconds32(quarantine.remaining_),
      quarantine.treatment_ == SuspectTreatment::Refuse));
  }
  return aBuilder.CreateVector(rows);
}

std::vector<FeedQuarantine> FromWire(const QuarantineList* aList)
{
  std::vector<FeedQuarantine> quarantines;
  if (aList == nullptr) {
    return quarantines;
  }
  quarantines.reserve(aList->size());
  for (const wire::FeedQuarantine* row : *aList) {
    quarantines.push_back({ RequestFingerprint(row->request()),
                            milliseconds(row->remaining_ms()),
                            row->is_refused() ? SuspectTreatment::Refuse
                                              : SuspectTreatment::Probe });
  }
  return quarantines;
}

using CrashList = flatbuffers::Vector<flatbuffers::Offset<wire::FeedCrash>>;

flatbuffers::Offset<CrashList> ToWire(flatbuffers::FlatBufferBuilder& aBuilder,
                                      const std::vector<FeedCrash>& aCrashes)
{
  std::vector<flatbuffers::Offset<wire::FeedCrash>> rows;
  rows.reserve(aCrashes.size());
  for (const FeedCrash& crash : aCrashes) {
    const auto server = aBuilder.CreateSharedString(crash.server_.Value());
    rows.push_back(wire::CreateFeedCrash(aBuilder,
                                         crash.request_.Value(),
                                         server,
                                         crash.serverStartedAtMs_,
                                         ToMilliseconds32(crash.sentAge_),
                                         ToMilliseconds32(crash.endedAge_),
                                         crash.hasReachedServer_));
  }
  return aBuilder.CreateVector(rows);
}

std::vector<FeedCrash> FromWire(const CrashList* aList)
{
  std::vector<FeedCrash> crashes;
  if (aList == nullptr) {
    return crashes;
  }
  crashes.reserve(aList->size());
  for (const wire::FeedCrash* row : *aList) {
    crashes.push_back({ RequestFingerprint(row->request()),
                        BackendId(row->server()->str()),
                        row->server_started_at_ms(),
                        milliseconds(row->sent_age_ms()),
                        milliseconds(row->ended_age_ms()),
                        row->has_reached_server() });
  }
  return crashes;
}

using LeavingServerList =
  flatbuffers::Vector<flatbuffers::Offset<wire::FeedLeavingServer>>;

flatbuffers::Offset<LeavingServerList> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const std::vector<FeedLeavingServer>& aServers)
{
  std::vector<flatbuffers::Offset<wire::FeedLeavingServer>> rows;
  rows.reserve(aServers.size());
  for (const FeedLeavingServer& server : aServers) {
    const auto id = aBuilder.CreateString(server.id_.Value());
    rows.push_back(
      wire::CreateFeedLeavingServer(aBuilder, id, server.startedAtMs_));
  }
  return aBuilder.CreateVector(rows);
}

std::vector<FeedLeavingServer> FromWire(const LeavingServerList* aList)
{
  std::vector<FeedLeavingServer> servers;
  if (aList == nullptr) {
    return servers;
  }
  servers.reserve(aList->size());
  for (const wire::FeedLeavingServer* row : *aList) {
    servers.push_back({ BackendId(row->id()->str()), row->started_at_ms() });
  }
  return servers;
}

std::vector<RequestFingerprint> FromWire(
  const flatbuffers::Vector<uint64_t>* aList)
{
  std::vector<RequestFingerprint> requests;
  if (aList == nullptr) {
    return requests;
  }
  requests.reserve(aList->size());
  for (const uint64_t request : *aList) {
    requests.emplace_back(request);
  }
  return requests;
}

} // namespace

std::string EncodeFeedRequest(const FeedRequest& aRequest)
{
  flatbuffers::FlatBufferBuilder builder;
  flatbuffers::Offset<SlowServerList> slowServers;
  if (!aRequest.slowServers_.empty()) {
    slowServers = ToWire(builder, aRequest.slowServers_);
  }
  flatbuffers::Offset<CrashList> crashes;
  if (!aRequest.crashes_.empty()) {
    crashes = ToWire(builder, aRequest.crashes_);
  }
  flatbuffers::Offset<flatbuffers::Vector<uint64_t>> answered;
  if (!aRequest.answered_.empty()) {
    std::vector<uint64_t> requests;
    requests.reserve(aRequest.answered_.size());
    for (const RequestFingerprint request : aRequest.answered_) {
      requests.push_back(request.Value());
    }
    answered = builder.CreateVector(requests);
  }
  flatbuffers::Offset<QuarantineList> quarantines;
  if (!aRequest.quarantines_.empty()) {
    quarantines = ToWire(builder, aRequest.quarantines_);
  }
  flatbuffers::Offset<LeavingServerList> leavingServers;
  if (!aRequest.leavingServers_.empty()) {
    leavingServers = ToWire(builder, aRequest.leavingServers_);
  }
  builder.Finish(wire::CreateFeedRequest(builder,
                                         aRequest.source_.Value(),
                                         aRequest.cursor_,
                                         ToWireVersion(aRequest.knownVersion_),
                                         ToMilliseconds32(aRequest.wait_),
                                         aRequest.wantsText_,
                                         aRequest.wantsRenewals_,
                                         aRequest.knownControlsRevision_,
                                         aRequest.wantsServers_,
                                         aRequest.isControl_,
                                         slowServers,
                                         aRequest.knownSlowRevision_,
                                         crashes,
                                         answered,
                                         quarantines,
                                         aRequest.knownQuarantineRevision_,
                                         leavingServers,
                                         aRequest.knownEvacuationRevision_,
                                         aRequest.wantsConfirmation_));
  return FinishedBytes(builder);
}

absl::StatusOr<FeedRequest> DecodeFeedRequest(std::string_view aText)
{
  const auto root = VerifyAndGetRoot<wire::FeedRequest>(aText);
  if (!root.ok()) {
    return root.status();
  }
  return FeedRequest{ FeedSourceId((*root)->source()),
                      (*root)->cursor(),
                      FromWireVersion((*root)->known_version()),
                      milliseconds((*root)->wait_ms()),
                      (*root)->wants_text(),
                      (*root)->wants_renewals(),
                      (*root)->known_controls(),
                      (*root)->wants_servers(),
                      (*root)->is_control(),
                      FromWire((*root)->slow_servers()),
                      (*root)->known_slow(),
                      FromWire((*root)->crashes()),
                      FromWire((*root)->answered()),
                      FromWire((*root)->quarantines()),
                      (*root)->known_quarantines(),
                      FromWire((*root)->leaving_servers()),
                      (*root)->known_evacuations(),
                      (*root)->wants_confirmation() };
}

std::string EncodeFeedReply(const FeedReply& aReply)
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<wire::FeedServer>> servers;
  for (const FeedServer& server : aReply.servers_) {
    const ServerAnnouncement& row = server.announcement_;
    const auto id = builder.CreateString(row.id_.Value());
    const auto service = builder.CreateSharedString(row.service_.Value());
    const auto address = builder.CreateString(row.address_);
    const auto zone = builder.CreateSharedString(row.zone_.Value());
    servers.push_back(wire::CreateFeedServer(builder,
                                             id,
                                             service,
                                             address,
                                             zone,
                                             row.slots_,
                                             static_cast<uint8_t>(row.phase_),
                                             ToMilliseconds32(row.warmupLeft_),
                                             row.startedAtMs_,
                                             row.sequence_,
                                             ToMilliseconds32(server.age_),
                                             row.isLeaving_));
  }
  std::vector<flatbuffers::Offset<wire::FeedRenewal>> renewals;
  for (const auto& [renewal, age] : aReply.renewals_) {
    const auto id = builder.CreateString(renewal.id_.Value());
    renewals.push_back(wire::CreateFeedRenewal(builder,
                                               id,
                                               renewal.sequence_,
                                               ToMilliseconds32(age),
                                               renewal.startedAtMs_,
                                               renewal.contentHash_));
  }
  const auto controls = builder.CreateVectorOfStrings(aReply.controls_);
  flatbuffers::Offset<flatbuffers::Vector<uint8_t>> text;
  if (aReply.compressedText_ != nullptr) {
    text = CreateByteVector(builder, *aReply.compressedText_);
  }
  const auto zone = builder.CreateString(aReply.zone_.Value());
  flatbuffers::Offset<SlowServerList> slowServers;
  if (!aReply.slowServers_.empty()) {
    slowServers = ToWire(builder, aReply.slowServers_);
  }
  flatbuffers::Offset<QuarantineList> quarantines;
  if (!aReply.quarantines_.empty()) {
    quarantines = ToWire(builder, aReply.quarantines_);
  }
  flatbuffers::Offset<
    flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>>
    evacuatedZones;
  if (!aReply.evacuatedZones_.empty()) {
    std::vector<std::string> zones;
    zones.reserve(aReply.evacuatedZones_.size());
    for (const ZoneName& evacuated : aReply.evacuatedZones_) {
      zones.push_back(evacuated.Value());
    }
    evacuatedZones = builder.CreateVectorOfStrings(zones);
  }
  flatbuffers::Offset<wire::FeedConfirmation> confirmation;
  if (aReply.confirmation_) {
    confirmation = wire::CreateFeedConfirmation(
      builder, ToWireVersion(aReply.confirmation_->version_));
  }
  const auto serverList = builder.CreateVector(servers);
  const auto renewalList = builder.CreateVector(renewals);
  builder.Finish(wire::CreateFeedReply(builder,
                                       aReply.source_.Value(),
                                       aReply.cursor_,
                                       ToWireVersion(aReply.version_),
                                       text,
                                       serverList,
                                       renewalList,
                                       aReply.controlsRevision_,
                                       controls,
                                       aReply.entryInstances_,
                                       aReply.hasAllEntryInstances_,
                                       zone,
                                       aReply.digest_,
                                       aReply.revision_,
                                       slowServers,
                                       aReply.slowRevision_,
                                       quarantines,
                                       aReply.quarantineRevision_,
                                       evacuatedZones,
                                       aReply.evacuationRevision_,
                                       confirmation));
  return FinishedBytes(builder);
}

absl::StatusOr<FeedReply> DecodeFeedReply(std::string_view aText)
{
  const auto root = VerifyAndGetRoot<wire::FeedReply>(aText);
  if (!root.ok()) {
    return root.status();
  }
  FeedReply reply;
  reply.source_ = FeedSourceId((*root)->source());
  reply.cursor_ = (*root)->cursor();
  reply.version_ = FromWireVersion((*root)->version());
  if (const auto* text = (*root)->text()) {
    reply.compressedText_ =
      std::make_shared<const std::string>(ToStringView(*text));
  }
  for (const wire::FeedServer* row : *(*root)->servers()) {
    reply.servers_.push_back(FromWire(*row));
  }
  for (const wire::FeedRenewal* row : *(*root)->renewals()) {
    reply.renewals_.push_back({ { BackendId(row->id()->str()),
                                  row->started_at_ms(),
                                  row->sequence(),
                                  row->content_hash() },
                                milliseconds(row->age_ms()) });
  }
  for (const flatbuffers::String* control : *(*root)->controls()) {
    reply.controls_.push_back(control->str());
  }
  reply.entryInstances_ = (*root)->entries();
  reply.controlsRevision_ = (*root)->controls_number();
  reply.hasAllEntryInstances_ = (*root)->has_all_entries();
  reply.zone_ = ZoneName(ToText((*root)->zone()));
  reply.digest_ = (*root)->digest();
  reply.revision_ = (*root)->revision();
  reply.slowServers_ = FromWire((*root)->slow_servers());
  reply.slowRevision_ = (*root)->slow_revision();
  reply.quarantines_ = FromWire((*root)->quarantines());
  reply.quarantineRevision_ = (*root)->quarantine_revision();
  if (const auto* zones = (*root)->evacuated_zones()) {
    for (const flatbuffers::String* evacuated : *zones) {
      reply.evacuatedZones_.emplace_back(evacuated->str());
    }
  }
  reply.evacuationRevision_ = (*root)->evacuation_revision();
  if (const auto* confirmation = (*root)->confirmation()) {
    reply.confirmation_ =
      LatestVersion{ FromWireVersion(confirmation->version()) };
  }
  return reply;
}

} // namespace foxtail
