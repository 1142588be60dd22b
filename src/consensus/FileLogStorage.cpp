#include "consensus/FileLogStorage.h"

#include "consensus/RecordFile.h"
#include "consensus/WireTypes.h"
#include "core/Error.h"
#include "core/JsonReader.h"
#include "core/Log.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

namespace foxtail {
namespace {

constexpr const char* kLogFileName = "log";
constexpr const char* kSnapshotFileName = "snapshot";
constexpr mode_t kFileMode = 0600;
constexpr uint64_t kSnapshotChecksumSeed = 0x666f787461696c32;

absl::Status DamagedFileError(const std::string& aFile)
{
  return MakeError(ErrorKind::Storage,
                   aFile + " is damaged; its content is unreliable. Move "
                           "the data folder away and start with an empty "
                           "one: the instance joins again as a new member");
}

std::string_view ViewOf(const flatbuffers::FlatBufferBuilder& aBuilder)
{
  return { reinterpret_cast<const char*>(aBuilder.GetBufferPointer()),
           aBuilder.GetSize() };
}

std::string EncodeRecord(const HardState& aState)
{
  flatbuffers::FlatBufferBuilder builder;
  const auto state = ToWire(builder, aState);
  builder.Finish(wire::CreateLogRecord(builder, state));
  return std::string(ViewOf(builder));
}

std::string EncodeRecord(const LogEntry& aEntry)
{
  flatbuffers::FlatBufferBuilder builder;
  const auto entry = ToWire(builder, aEntry);
  builder.Finish(wire::CreateLogRecord(builder, {}, entry));
  return std::string(ViewOf(builder));
}

/// @return a record without a hard state and an entry; only the batch number in
/// its header matters.
std::string EncodeSyncMarker()
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::CreateLogRecord(builder));
  return std::string(ViewOf(builder));
}

absl::Status ApplyRecord(StoredState& aState, std::string_view aPayload)
{
  const auto* data = reinterpret_cast<const uint8_t*>(aPayload.data());
  flatbuffers::Verifier verifier(data, aPayload.size());
  if (!verifier.VerifyBuffer<wire::LogRecord>(nullptr)) {
    return DamagedFileError("a record of the log");
  }
  const auto& record = *flatbuffers::GetRoot<wire::LogRecord>(data);
  if (record.hard_state() != nullptr) {
    aState.hardState_ = FromWire(*record.hard_state());
  }
  if (record.entry() != nullptr) {
    LogEntry entry = FromWire(*record.entry());
    std::vector<LogEntry>& entries = aState.entries_;
    while (!entries.empty() && entries.back().index_ >= entry.index_) {
      entries.pop_back();
    }
    entries.push_back(std::move(entry));
  }
  return absl::OkStatus();
}

/// Drops the entries that the snapshot covers, and all entries when they
/// conflict with the snapshot or do not continue it without a gap.
void ReconcileWithSnapshot(StoredState& aState)
{
  const SnapshotMeta& meta = aState.snapshot_.meta_;
  bool isConsistent = true;
  for (const LogEntry& entry : aState.entries_) {
    isConsistent &= entry.index_ != meta.index_ || entry.term_ == meta.term_;
  }
  if (!isConsistent) {
    aState.entries_.clear();
  }
  std::erase_if(aState.entries_, [&](const LogEntry& aEntry) {
    return aEntry.index_ <= meta.index_;
  });
  if (!aState.entries_.empty() &&
      aState.entries_.front().index_ != meta.index_ + 1) {
    aState.entries_.clear();
  }
}

std::string EncodeSnapshot(const Snapshot& aSnapshot)
{
  flatbuffers::FlatBufferBuilder builder;
  const auto meta = ToWire(builder, aSnapshot.meta_);
  const std::string& data = *aSnapshot.data_;
  const uint64_t checksum =
    XXH3_64bits_withSeed(data.data(), data.size(), kSnapshotChecksumSeed);
  builder.Finish(
    wire::CreateSnapshotHeader(builder, meta, data.size(), checksum));
  std::string text;
  AppendRecord(text, 1, RecordPosition::EndOfBatch, ViewOf(builder));
  text += data;
  return text;
}

bool IsPresent(const std::string& aPath)
{
  return ::access(aPath.c_str(), F_OK) == 0;
}

} // namespace

FileLogStorage::FileLogStorage(std::string aFolder,
                               std::unique_ptr<FileOperations> aOperations)
  : folder_(std::move(aFolder))
  , operations_(std::move(aOperations))
{
}

absl::StatusOr<StoredState> FileLogStorage::Load()
{
  StoredState state;
  for (const char* name : { kSnapshotFileName, kLogFileName }) {
    RemoveTemporaryFile(folder_, name);
  }
  if (auto status = LoadSnapshot(state); !status.ok()) {
    return status;
  }
  if (auto status = LoadLog(state); !status.ok()) {
    return status;
  }
  ReconcileWithSnapshot(state);
  return state;
}

absl::Status FileLogStorage::LoadSnapshot(StoredState& aState)
{
  const std::string path = folder_ + "/" + kSnapshotFileName;
  if (!IsPresent(path)) {
    return absl::OkStatus();
  }
  const auto text = ReadFile(path);
  if (!text.ok()) {
    return text.status();
  }
  // The file has one record, the header; the encoded state follows it.
  const auto first = ReadFirstRecord(*text);
  if (!first.has_value()) {
    return DamagedFileError(path);
  }
  const std::string_view payload = first->payload_;
  const auto* bytes = reinterpret_cast<const uint8_t*>(payload.data());
  flatbuffers::Verifier verifier(bytes, payload.size());
  if (!verifier.VerifyBuffer<wire::SnapshotHeader>(nullptr)) {
    return DamagedFileError(path);
  }
  const auto& header = *flatbuffers::GetRoot<wire::SnapshotHeader>(bytes);
  std::string data = text->substr(first->endOffset_);
  if (data.size() != header.data_bytes() ||
      XXH3_64bits_withSeed(data.data(), data.size(), kSnapshotChecksumSeed) !=
        header.data_checksum()) {
    return DamagedFileError(path);
  }
  aState.snapshot_.meta_ = FromWire(*header.meta());
  aState.snapshot_.data_ = std::make_shared<const std::string>(std::move(data));
  return absl::OkStatus();
}

absl::Status FileLogStorage::LoadLog(StoredState& aState)
{
  const std::string path = folder_ + "/" + kLogFileName;
  std::string text;
  if (IsPresent(path)) {
    auto read = ReadFile(path);
    if (!read.ok()) {
      return read.status();
    }
    text = *std::move(read);
  } else if (aState.snapshot_.meta_.index_ > 0) {
    return MakeError(ErrorKind::Storage,
                     path + " is missing although there is a snapshot; move "
                            "the data folder away and start with an empty "
                            "one: the instance joins again as a new member");
  }
  const auto scan = ScanRecords(text);
  if (!scan.ok()) {
    return scan.status();
  }
  for (const std::string_view payload : scan->payloads_) {
    if (auto status = ApplyRecord(aState, payload); !status.ok()) {
      return status;
    }
  }
  if (auto status = OpenLog(); !status.ok()) {
    return status;
  }
  logBytes_ = scan->validBytes_;
  // Continues a batch without an end, such as that of the last marker: a later
  // number would state that this batch was synced with an end.
  nextBatch_ = scan->nextBatch_;
  if (logBytes_ < text.size()) {
    LogLine(LogLevel::Warning, "log_tail_cut")
      .Add("path", path)
      .Add("kept_bytes", logBytes_)
      .Add("cut_bytes", text.size() - logBytes_)
      .Add("reason",
           "the last write before the process stopped was incomplete");
  }
  // The last records may have been written but not synced when the process was
  // killed, so the log is synced here.
  if (::ftruncate(log_.Get(), static_cast<off_t>(logBytes_)) != 0) {
    return MakeFileError("truncate the incomplete write at the end of", path);
  }
  return operations_->Sync(log_.Get());
}

absl::Status FileLogStorage::OpenLog()
{
  const std::string path = folder_ + "/" + kLogFileName;
  const bool isNew = !IsPresent(path);
  log_ = FileDescriptor(
    ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode));
  if (!log_.IsOpen()) {
    return MakeFileError("open", path);
  }
  return isNew ? SyncFolder(folder_) : absl::OkStatus();
}

absl::Status FileLogStorage::Write(const std::vector<LogWrite>& aWrites)
{
  if (!firstError_.ok()) {
    return firstError_;
  }
  firstError_ = WriteBatch(aWrites);
  return firstError_;
}

absl::Status FileLogStorage::WriteBatch(const std::vector<LogWrite>& aWrites)
{
  for (const LogWrite& write : aWrites) {
    if (const auto* hard = std::get_if<WriteHardState>(&write)) {
      pendingRecords_.push_back(EncodeRecord(hard->hardState_));
    } else if (const auto* entries = std::get_if<WriteEntries>(&write)) {
      for (const LogEntry& entry : entries->entries_) {
        pendingRecords_.push_back(EncodeRecord(entry));
      }
    } else {
      // The state of the snapshot includes all writes before it.
      pendingRecords_.clear();
      const auto& snapshot = std::get<WriteSnapshot>(write);
      if (auto status = ReplaceContents(snapshot.state_); !status.ok()) {
        return status;
      }
    }
  }
  return Flush();
}

absl::Status FileLogStorage::Flush()
{
  if (pendingRecords_.empty()) {
    return absl::OkStatus();
  }
  std::string text;
  AppendBatch(text, nextBatch_, pendingRecords_);
  auto status = operations_->WriteAt(log_.Get(), text, logBytes_);
  if (!status.ok()) {
    return status;
  }
  status = operations_->Sync(log_.Get());
  if (!status.ok()) {
    return status;
  }
  logBytes_ += text.size();
  pendingRecords_.clear();
  ++nextBatch_;
  AppendSyncMarker();
  return absl::OkStatus();
}

void FileLogStorage::AppendSyncMarker()
{
  // A record of the next batch proves that the previous batch was synced, so
  // that damage to that batch is not taken for a torn write. The marker itself
  // is not synced and may be lost.
  std::string marker;
  AppendRecord(
    marker, nextBatch_, RecordPosition::WithinBatch, EncodeSyncMarker());
  if (operations_->WriteAt(log_.Get(), marker, logBytes_).ok()) {
    logBytes_ += marker.size();
  }
}

absl::Status FileLogStorage::ReplaceContents(const StoredState& aState)
{
  auto status = ReplaceFile(
    *operations_, folder_, kSnapshotFileName, EncodeSnapshot(aState.snapshot_));
  if (!status.ok()) {
    return status;
  }
  std::vector<std::string> records;
  records.push_back(EncodeRecord(aState.hardState_));
  for (const LogEntry& entry : aState.entries_) {
    records.push_back(EncodeRecord(entry));
  }
  std::string text;
  AppendBatch(text, nextBatch_, records);
  status = ReplaceFile(*operations_, folder_, kLogFileName, text);
  if (!status.ok()) {
    return status;
  }
  logBytes_ = text.size();
  ++nextBatch_;
  return OpenLog();
}

} // namespace foxtail
