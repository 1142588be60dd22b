#include "control/Command.h"

#include "control/DepartureCodec.h"
#include "core/Compression.h"
#include "instance/WireCodec.h"

namespace foxtail {
namespace {

/// Limit on decompressed documents, far above the largest one that the APIs
/// accept.
constexpr size_t kMaxDocumentBytes = size_t{ 64 } * 1024 * 1024;

struct WireCommand
{
  wire::CommandBody kind_ = wire::CommandBody::NONE;
  flatbuffers::Offset<void> offset_;
};

/// Visitor that encodes a command body.
struct CommandWriter
{
  flatbuffers::FlatBufferBuilder& builder_;

  WireCommand operator()(const ChangeDocument& aBody) const
  {
    const auto id = builder_.CreateString(aBody.changeId_.Value());
    const auto text = builder_.CreateString(aBody.text_);
    const auto author = builder_.CreateString(aBody.author_);
    return { wire::CommandBody::ChangeDocument,
             wire::CreateChangeDocument(
               builder_, id, aBody.baseVersion_.Value(), text, author)
               .Union() };
  }

  WireCommand operator()(const ClaimAction& aBody) const
  {
    const ClaimRequest& claim = aBody.claim_;
    const auto service = builder_.CreateString(claim.service_.Value());
    const auto key = builder_.CreateString(claim.key_);
    const auto request = builder_.CreateString(claim.request_.Value());
    return { wire::CommandBody::ClaimAction,
             wire::CreateClaimAction(builder_,
                                     service,
                                     key,
                                     claim.bodyHash_,
                                     request,
                                     aBody.grant_.Value(),
                                     aBody.retention_.count())
               .Union() };
  }

  WireCommand operator()(const RecordAction& aBody) const
  {
    const ClaimRequest& claim = aBody.claim_;
    const auto service = builder_.CreateString(claim.service_.Value());
    const auto key = builder_.CreateString(claim.key_);
    const auto body = builder_.CreateString(aBody.record_.body_);
    return { wire::CommandBody::RecordAction,
             wire::CreateRecordAction(builder_,
                                      service,
                                      key,
                                      claim.bodyHash_,
                                      aBody.grant_.Value(),
                                      aBody.record_.httpStatus_,
                                      body)
               .Union() };
  }

  WireCommand operator()(const ReleaseAction& aBody) const
  {
    const ClaimRequest& claim = aBody.claim_;
    const auto service = builder_.CreateString(claim.service_.Value());
    const auto key = builder_.CreateString(claim.key_);
    return { wire::CommandBody::ReleaseAction,
             wire::CreateReleaseAction(builder_,
                                       service,
                                       key,
                                       claim.bodyHash_,
                                       aBody.grant_.Value(),
                                       aBody.retention_.count())
               .Union() };
  }

  WireCommand operator()(const AdoptDocument& aBody) const
  {
    // The document is compressed because it is sent to each member, including
    // those in other regions, and is highly repetitive.
    const std::string packed = Compress(aBody.text_);
    const auto text = CreateByteVector(builder_, packed);
    return { wire::CommandBody::AdoptDocument,
             wire::CreateAdoptDocument(
               builder_, aBody.version_.Value(), 0, text)
               .Union() };
  }

  WireCommand operator()(const RecordDeparture& aBody) const
  {
    return { wire::CommandBody::RecordDeparture,
             EncodeDeparture(builder_, aBody.announcement_).Union() };
  }

  WireCommand operator()(const SetEvacuation& aBody) const
  {
    const auto zone = builder_.CreateString(aBody.zone_.Value());
    return { wire::CommandBody::SetEvacuation,
             wire::CreateSetEvacuation(
               builder_, zone, aBody.isEvacuated_, aBody.knownOrders_)
               .Union() };
  }
};

template<typename T>
ClaimRequest ClaimOf(const T& aWire)
{
  ClaimRequest claim;
  claim.service_ = ServiceName(aWire.service()->str());
  claim.key_ = aWire.key()->str();
  claim.bodyHash_ = aWire.body_hash();
  return claim;
}

ChangeDocument FromWire(const wire::ChangeDocument& aWire)
{
  return { ChangeId(aWire.change_id()->str()),
           DocumentVersion(aWire.base_version()),
           aWire.text()->str(),
           aWire.author()->str() };
}

absl::StatusOr<CommandBody> FromWire(const wire::AdoptDocument& aWire)
{
  const DocumentVersion version(aWire.version());
  if (aWire.packed_text() == nullptr) {
    return AdoptDocument{ version, ToText(aWire.text()) };
  }
  auto text = Decompress(ToStringView(*aWire.packed_text()), kMaxDocumentBytes);
  if (!text.ok()) {
    return text.status();
  }
  return AdoptDocument{ version, *std::move(text) };
}

ClaimAction FromWire(const wire::ClaimAction& aWire)
{
  ClaimAction action{ ClaimOf(aWire),
                      GrantId(aWire.grant()),
                      milliseconds(aWire.retention_ms()) };
  action.claim_.request_ = RequestId(aWire.request()->str());
  return action;
}

RecordAction FromWire(const wire::RecordAction& aWire)
{
  return { ClaimOf(aWire),
           GrantId(aWire.grant()),
           { aWire.http_status(), aWire.body()->str() } };
}

ReleaseAction FromWire(const wire::ReleaseAction& aWire)
{
  return { ClaimOf(aWire),
           GrantId(aWire.grant()),
           milliseconds(aWire.retention_ms()) };
}

absl::StatusOr<CommandBody> FromWire(const wire::RecordDeparture& aWire)
{
  auto announcement = DecodeDeparture(aWire);
  if (!announcement.ok()) {
    return announcement.status();
  }
  return RecordDeparture{ *std::move(announcement) };
}

SetEvacuation FromWire(const wire::SetEvacuation& aWire)
{
  return { ZoneName(aWire.zone()->str()),
           aWire.is_evacuated(),
           aWire.known_orders() };
}

absl::StatusOr<CommandBody> BodyOf(const wire::Command& aCommand)
{
  switch (aCommand.body_type()) {
    case wire::CommandBody::ChangeDocument:
      return FromWire(*aCommand.body_as_ChangeDocument());
    case wire::CommandBody::ClaimAction:
      return FromWire(*aCommand.body_as_ClaimAction());
    case wire::CommandBody::RecordAction:
      return FromWire(*aCommand.body_as_RecordAction());
    case wire::CommandBody::ReleaseAction:
      return FromWire(*aCommand.body_as_ReleaseAction());
    case wire::CommandBody::AdoptDocument:
      return FromWire(*aCommand.body_as_AdoptDocument());
    case wire::CommandBody::RecordDeparture:
      return FromWire(*aCommand.body_as_RecordDeparture());
    case wire::CommandBody::SetEvacuation:
      return FromWire(*aCommand.body_as_SetEvacuation());
    case wire::CommandBody::NONE:
      break;
  }
  return MakeError(
    ErrorKind::Protocol,
    "the command has an unknown kind; run the same release on all "
    "instances");
}

} // namespace

bool IsApplied(const CommandResult& aResult)
{
  if (const auto* update = std::get_if<ClaimUpdateResult>(&aResult)) {
    return update->isApplied_;
  }
  if (const auto* evacuation = std::get_if<EvacuationResult>(&aResult)) {
    return evacuation->isApplied_;
  }
  return std::holds_alternative<DepartureRecorded>(aResult);
}

std::string EncodeCommand(const Command& aCommand)
{
  flatbuffers::FlatBufferBuilder builder;
  const WireCommand body = std::visit(CommandWriter{ builder }, aCommand.body_);
  builder.Finish(wire::CreateCommand(
    builder, aCommand.time_.count(), body.kind_, body.offset_));
  return FinishedBytes(builder);
}

absl::StatusOr<Command> DecodeCommand(std::string_view aText)
{
  const auto root = VerifyAndGetRoot<wire::Command>(aText);
  if (!root.ok()) {
    return root.status();
  }
  auto body = BodyOf(**root);
  if (!body.ok()) {
    return body.status();
  }
  return Command{ milliseconds((*root)->time_ms()), *std::move(body) };
}

} // namespace foxtail
