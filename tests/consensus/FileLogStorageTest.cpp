#include "consensus/FileLogStorage.h"
#include "GroupExplorer.h"
#include "consensus/DataFolder.h"
#include "consensus/RecordFile.h"
#include "core/Error.h"
#include "core/JsonReader.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>

using namespace foxtail;

namespace {

/// Creates an empty temporary folder and removes it on destruction.
struct TestFolder
{
  std::string path_ =
    (std::filesystem::temp_directory_path() / "foxtail-consensus-XXXXXX")
      .string();

  TestFolder() { path_ = ::mkdtemp(path_.data()); }
  ~TestFolder() { std::filesystem::remove_all(path_); }
  std::string Log() const { return path_ + "/log"; }
};

/// Fails one write or sync after the number of successful calls in the plan; a
/// negative number fails none.
class FailingOperations : public FileOperations
{
public:
  struct Plan
  {
    int writesUntilFull_ = -1;
    int syncsUntilFailure_ = -1;
    /// Whether the disk stays full.
    bool staysFull_ = false;
  };

  explicit FailingOperations(Plan& aPlan)
    : plan_(aPlan)
  {
  }

  absl::Status WriteAt(int aFile,
                       std::string_view aData,
                       uint64_t aOffset) override
  {
    const bool isFull = plan_.writesUntilFull_ == 0;
    if (plan_.writesUntilFull_ > 0 || (isFull && !plan_.staysFull_)) {
      --plan_.writesUntilFull_;
    }
    if (isFull) {
      // A full disk stores only a part of the data.
      (void)FileOperations::WriteAt(
        aFile, aData.substr(0, aData.size() / 2), aOffset);
      return MakeError(ErrorKind::Storage, "no space left on the test's disk");
    }
    return FileOperations::WriteAt(aFile, aData, aOffset);
  }

  absl::Status Sync(int aFile) override
  {
    if (plan_.syncsUntilFailure_ >= 0 && plan_.syncsUntilFailure_-- == 0) {
      return MakeError(ErrorKind::Storage, "the test's sync failed");
    }
    return FileOperations::Sync(aFile);
  }

private:
  Plan& plan_;
};

LogEntry EntryOf(LogIndex aIndex, Term aTerm = 1)
{
  return { aTerm,
           aIndex,
           EntryKind::Command,
           "payload of entry " + std::to_string(aIndex) };
}

std::vector<LogWrite> BatchOf(LogIndex aIndex)
{
  return { WriteHardState{ { aIndex, std::nullopt } },
           WriteEntries{ { EntryOf(aIndex) } } };
}

/// Writes @p aCount batches of one entry each.
void Fill(const TestFolder& aFolder, LogIndex aCount)
{
  FileLogStorage storage(aFolder.path_);
  REQUIRE(storage.Load().ok());
  for (LogIndex index = 1; index <= aCount; ++index) {
    REQUIRE(storage.Write(BatchOf(index)).ok());
  }
}

std::string ReadAll(const std::string& aPath)
{
  return ReadFile(aPath).value();
}

void WriteAll(const std::string& aPath, const std::string& aText)
{
  std::ofstream(aPath, std::ios::binary | std::ios::trunc) << aText;
}

/// Checks that a log of three batches whose last write is torn after any byte
/// loads without that write, and accepts the next one.
///
/// @param aIntactBytes size of the log without its last batch.
void CheckTornWrites(const TestFolder& aFolder,
                     const std::string& aLog,
                     size_t aIntactBytes)
{
  for (size_t length = aIntactBytes; length < aLog.size(); ++length) {
    CAPTURE(length);
    WriteAll(aFolder.Log(), aLog.substr(0, length));
    FileLogStorage storage(aFolder.path_);
    const auto state = storage.Load();
    REQUIRE(state.ok());
    REQUIRE(state->entries_.size() >= 2);
    // The storage accepts writes after the truncation.
    REQUIRE(storage.Write(BatchOf(state->entries_.size() + 1)).ok());
    FileLogStorage again(aFolder.path_);
    const auto resumed = again.Load();
    REQUIRE(resumed.ok());
    CHECK(resumed->entries_.size() == state->entries_.size() + 1);
  }
}

} // namespace

TEST_CASE(
  "loading returns the written state, with overwritten entries replaced")
{
  const TestFolder folder;
  const HardState hard{ 5, MemberId{ InstanceId("a"), Incarnation(3) } };
  {
    FileLogStorage storage(folder.path_);
    REQUIRE(storage.Load().ok());
    const std::vector<LogWrite> first{ WriteEntries{
      { EntryOf(1), EntryOf(2), EntryOf(3) } } };
    REQUIRE(storage.Write(first).ok());
    const std::vector<LogWrite> second{ WriteHardState{ hard },
                                        WriteEntries{ { EntryOf(2, 5) } } };
    REQUIRE(storage.Write(second).ok());
  }
  FileLogStorage storage(folder.path_);
  const auto state = storage.Load();
  REQUIRE(state.ok());
  CHECK(state->hardState_ == hard);
  CHECK(state->entries_ == std::vector<LogEntry>{ EntryOf(1), EntryOf(2, 5) });
}

TEST_CASE("a snapshot replaces the entries that it covers")
{
  const TestFolder folder;
  Fill(folder, 5);
  StoredState state;
  state.hardState_.term_ = 7;
  state.snapshot_.meta_.index_ = 4;
  state.snapshot_.meta_.term_ = 1;
  state.snapshot_.meta_.membership_.group_ = 12;
  state.snapshot_.data_ = std::make_shared<const std::string>("the state");
  state.entries_ = { EntryOf(5) };
  {
    FileLogStorage storage(folder.path_);
    REQUIRE(storage.Load().ok());
    REQUIRE(storage.Write({ WriteSnapshot{ state } }).ok());
    REQUIRE(storage.Write(BatchOf(6)).ok());
  }
  const std::string newLog = ReadAll(folder.Log());
  FileLogStorage storage(folder.path_);
  const auto loaded = storage.Load();
  REQUIRE(loaded.ok());
  CHECK(loaded->snapshot_.meta_ == state.snapshot_.meta_);
  CHECK(*loaded->snapshot_.data_ == "the state");
  CHECK(loaded->entries_ == std::vector<LogEntry>{ EntryOf(5), EntryOf(6) });

  SUBCASE("a damaged snapshot fails to load")
  {
    std::string text = ReadAll(folder.path_ + "/snapshot");
    text.back() = static_cast<char>(text.back() ^ 1);
    WriteAll(folder.path_ + "/snapshot", text);
    FileLogStorage damaged(folder.path_);
    CHECK(KindOf(damaged.Load().status()) == ErrorKind::Storage);
  }
  SUBCASE("a crash between replacing the snapshot and the log loses no entry")
  {
    std::filesystem::remove_all(folder.Log());
    const TestFolder old;
    Fill(old, 5);
    std::filesystem::copy(old.Log(), folder.Log());
    FileLogStorage resumed(folder.path_);
    const auto between = resumed.Load();
    REQUIRE(between.ok());
    CHECK(between->entries_ == std::vector<LogEntry>{ EntryOf(5) });
  }
}

TEST_CASE("a torn write at the end of the log is truncated, wherever it ends")
{
  const TestFolder folder;
  Fill(folder, 3);
  const std::string intactLog = ReadAll(folder.Log());
  const TestFolder shorter;
  Fill(shorter, 2);
  const size_t intactBytes = ReadAll(shorter.Log()).size();
  CheckTornWrites(folder, intactLog, intactBytes);
}

// The first write after a restart had the number of a later batch than the
// marker before it. When it was torn, as by a full disk, its own header looked
// like proof that synced records were damaged, and the instance did not start
// again.
TEST_CASE("a torn first write after a restart is truncated, wherever it ends")
{
  const TestFolder folder;
  Fill(folder, 2);
  const size_t intactBytes = ReadAll(folder.Log()).size();
  {
    FileLogStorage storage(folder.path_);
    REQUIRE(storage.Load().ok());
    REQUIRE(storage.Write(BatchOf(3)).ok());
  }
  const std::string log = ReadAll(folder.Log());
  CheckTornWrites(folder, log, intactBytes);
}

// Logs of earlier releases have such writes.
TEST_CASE("a torn first write after a restart of an earlier release is "
          "truncated")
{
  const std::string payload = "a record";
  std::string log;
  AppendBatch(log, 1, { payload });
  AppendRecord(log, 2, RecordPosition::WithinBatch, payload);
  const size_t intactBytes = log.size();
  std::string later;
  AppendBatch(later, 3, { payload, payload });
  for (size_t length = 0; length < later.size(); ++length) {
    CAPTURE(length);
    const std::string torn = log + later.substr(0, length);
    const auto scan = ScanRecords(torn);
    REQUIRE(scan.ok());
    CHECK(scan->validBytes_ >= intactBytes);
  }
  // A record of a batch after it proves that it was synced.
  std::string damaged = log + later;
  AppendRecord(damaged, 4, RecordPosition::WithinBatch, payload);
  damaged[log.size() + later.size() / 2 - 1] ^= 1;
  CHECK_FALSE(ScanRecords(damaged).ok());
}

TEST_CASE("full disks over restarts lose no confirmed write and end no log")
{
  constexpr int kRestarts = 4;
  // Each digit in base 4 is the number of writes before one disk is full.
  for (int plans = 0; plans < 256; ++plans) {
    CAPTURE(plans);
    const TestFolder folder;
    LogIndex confirmed = 0;
    for (int restart = 0, digits = plans; restart < kRestarts;
         ++restart, digits /= 4) {
      CAPTURE(restart);
      FailingOperations::Plan plan;
      FileLogStorage storage(folder.path_,
                             std::make_unique<FailingOperations>(plan));
      const auto state = storage.Load();
      REQUIRE(state.ok());
      REQUIRE(state->entries_.size() >= confirmed);
      LogIndex next = state->entries_.size() + 1;
      plan = { digits % 4, -1, true };
      while (storage.Write(BatchOf(next)).ok()) {
        confirmed = next++;
      }
    }
    FileLogStorage storage(folder.path_);
    const auto state = storage.Load();
    REQUIRE(state.ok());
    CHECK(state->entries_.size() >= confirmed);
    CHECK(storage.Write(BatchOf(state->entries_.size() + 1)).ok());
  }
}

TEST_CASE("a snapshot that found no room leaves no file behind")
{
  const TestFolder folder;
  Fill(folder, 2);
  const auto temporaryFiles = [&] {
    size_t count = 0;
    for (const auto& file : std::filesystem::directory_iterator(folder.path_)) {
      count += file.path().extension() == ".new" ? 1 : 0;
    }
    return count;
  };
  FailingOperations::Plan plan;
  {
    FileLogStorage storage(folder.path_,
                           std::make_unique<FailingOperations>(plan));
    auto state = storage.Load();
    REQUIRE(state.ok());
    state->snapshot_.meta_.index_ = 1;
    state->snapshot_.data_ = std::make_shared<const std::string>("the state");
    plan.writesUntilFull_ = 0;
    CHECK_FALSE(storage.Write({ WriteSnapshot{ *state } }).ok());
  }
  CHECK(temporaryFiles() == 0);
  // Left by a process that was killed meanwhile.
  WriteAll(folder.path_ + "/snapshot.new", "half of");
  WriteAll(folder.Log() + ".new", "half of");
  FileLogStorage storage(folder.path_);
  REQUIRE(storage.Load().ok());
  CHECK(temporaryFiles() == 0);
}

TEST_CASE("a flipped bit in synced records fails to load, wherever it is")
{
  const TestFolder folder;
  Fill(folder, 3);
  const std::string intactLog = ReadAll(folder.Log());
  const StoredState expected = FileLogStorage(folder.path_).Load().value();
  size_t refused = 0;
  for (size_t byte = 0; byte < intactLog.size(); ++byte) {
    CAPTURE(byte);
    std::string damaged = intactLog;
    damaged[byte] = static_cast<char>(damaged[byte] ^ 0x10);
    WriteAll(folder.Log(), damaged);
    FileLogStorage storage(folder.path_);
    const auto state = storage.Load();
    if (!state.ok()) {
      ++refused;
      CHECK(KindOf(state.status()) == ErrorKind::Storage);
      CHECK(state.status().message().find("Move the data folder away") !=
            std::string_view::npos);
      continue;
    }
    // The flipped bit is in padding, or in the marker after the last batch.
    CHECK(state->hardState_ == expected.hardState_);
    CHECK(state->entries_ == expected.entries_);
  }
  CHECK(refused > intactLog.size() / 2);
}

TEST_CASE("after a failed write or sync the storage rejects all writes")
{
  struct Row
  {
    const char* name_;
    FailingOperations::Plan plan_;
  };
  const Row rows[] = { { "full disk", { 0, -1 } },
                       { "failing sync", { -1, 0 } } };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    const TestFolder folder;
    FailingOperations::Plan plan;
    FileLogStorage storage(folder.path_,
                           std::make_unique<FailingOperations>(plan));
    REQUIRE(storage.Load().ok());
    REQUIRE(storage.Write(BatchOf(1)).ok());
    plan = row.plan_;
    const absl::Status status = storage.Write(BatchOf(2));
    REQUIRE_FALSE(status.ok());
    CHECK(KindOf(status) == ErrorKind::Storage);
    // The disk works again, but its content is unknown.
    plan = {};
    CHECK_FALSE(storage.Write(BatchOf(2)).ok());
    FileLogStorage restarted(folder.path_);
    const auto state = restarted.Load();
    REQUIRE(state.ok());
    CHECK(state->entries_.front() == EntryOf(1));
  }
}

TEST_CASE(
  "a data folder is locked by one process and keeps its incarnation until "
  "it is lost")
{
  const TestFolder folder;
  const std::string path = folder.path_ + "/data";
  Incarnation first;
  {
    const auto data = DataFolder::Open(path);
    REQUIRE(data.ok());
    CHECK(data->IsNew());
    first = data->GetIncarnation();
    CHECK(KindOf(DataFolder::Open(path).status()) == ErrorKind::Storage);
  }
  {
    const auto again = DataFolder::Open(path);
    REQUIRE(again.ok());
    CHECK_FALSE(again->IsNew());
    CHECK(again->GetIncarnation() == first);
  }
  std::filesystem::remove_all(path);
  const auto lost = DataFolder::Open(path);
  REQUIRE(lost.ok());
  CHECK(lost->GetIncarnation() != first);

  WriteAll(path + "/log", "x");
  std::filesystem::remove(path + "/identity");
  const auto other = folder.path_ + "/other";
  std::filesystem::create_directory(other);
  WriteAll(other + "/log", "x");
  CHECK(KindOf(DataFolder::Open(other).status()) == ErrorKind::Storage);
}
