#ifndef POLICY_SNAPSHOTCHOOSER_H
#define POLICY_SNAPSHOTCHOOSER_H

#include "core/EnumTable.h"
#include "core/JsonReader.h"
#include "core/Time.h"
#include "policy/RoutingTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>

namespace foxtail {

struct SnapshotChooserSettings
{
  /// A gain in coverage above this, in percent of the shards, is taken at once;
  /// a smaller one only after settle_.
  double coverageMarginPercent_ = 5;
  /// How long a better layout must stay better before it replaces the chosen
  /// one.
  milliseconds settle_{ 500 };
  /// The same when the better layout's least replicated shard has fewer
  /// replicas than the chosen one's: the switch would cut the capacity.
  milliseconds capacityHold_{ 10000 };

  static SnapshotChooserSettings Read(JsonReader& aReader);
};

enum class SnapshotReason
{
  /// Nobody announces the catalogue with a server that takes work.
  NoneAnnounced,
  /// Chosen for the first time.
  First,
  /// The chosen layout is still the best.
  Kept,
  /// Another is better, but not for long enough.
  Held,
  /// The chosen layout has no server left.
  Vanished,
  /// Another covers more shards.
  MoreCoverage,
  /// Another covers as much and is newer.
  Newer,
};

template<>
struct EnumTable<SnapshotReason>
{
  static constexpr std::array<EnumName<SnapshotReason>, 7> kRows{ {
    { SnapshotReason::NoneAnnounced, "none_announced" },
    { SnapshotReason::First, "first" },
    { SnapshotReason::Kept, "kept" },
    { SnapshotReason::Held, "held" },
    { SnapshotReason::Vanished, "vanished" },
    { SnapshotReason::MoreCoverage, "more_coverage" },
    { SnapshotReason::Newer, "newer" },
  } };
};

struct SnapshotChoice
{
  /// The layout to pin for new queries; nothing when none can serve.
  std::optional<LayoutKey> layout_;
  /// Shards of it with a server that takes work.
  uint32_t coveredShards_ = 0;
  SnapshotReason reason_ = SnapshotReason::NoneAnnounced;
  /// Whether the layout differs from the last choice: log it.
  bool isSwitched_ = false;
  /// Whether one version is announced with two shard counts: a fault of the
  /// backend servers to log. The two layouts are never mixed.
  bool hasShardCountConflict_ = false;
};

/// Chooses the one layout of each catalogue that new queries are pinned to: the
/// newest with full coverage, else the one with the greatest coverage, with
/// hysteresis. Call it for each published routing table, and again every
/// 100 ms while a choice is Held. Not thread safe.
class SnapshotChooser
{
public:
  explicit SnapshotChooser(SnapshotChooserSettings aSettings);

  /// @param aUnreachable for each replica of the table whether requests show
  /// that it takes no work, although it announces itself; empty when nothing
  /// is known. Such a replica covers no shard, unless no layout is left then.
  SnapshotChoice Choose(const RoutingTable& aTable,
                        const CatalogueKey& aCatalogue,
                        std::span<const uint8_t> aUnreachable,
                        TimePoint aNow);

  /// Chooses for every catalogue of the table, and forgets those that the
  /// table no longer has.
  std::map<CatalogueKey, SnapshotChoice> ChooseAll(
    const RoutingTable& aTable,
    std::span<const uint8_t> aUnreachable,
    TimePoint aNow);

private:
  struct State
  {
    std::optional<LayoutKey> chosen_;
    /// The better layout that waits, and since when it is better.
    std::optional<LayoutKey> candidate_;
    TimePoint candidateSince_;
  };

  SnapshotChoice ChooseWithState(const RoutingTable& aTable,
                                 const std::vector<Layout>& aLayouts,
                                 std::span<const uint8_t> aUnreachable,
                                 State& aState,
                                 TimePoint aNow) const;

  SnapshotChooserSettings settings_;
  std::map<CatalogueKey, State> states_;
};

struct ReplanSettings
{
  /// Times that one query may begin again on another layout.
  uint32_t maxReplans_ = 1;
  /// Time left that a replan needs, as a multiple of the expected latency of
  /// the slowest shard.
  double latencyFactor_ = 1.5;

  static ReplanSettings Read(JsonReader& aReader);
};

/// State of a running query on its pinned layout.
struct ReplanInput
{
  uint32_t shards_ = 0;
  uint32_t answered_ = 0;
  /// Shards without an answer, an attempt in flight, or a server left.
  uint32_t lostShards_ = 0;
  /// Shards of the other layout and those of them with a server; 0 when there
  /// is no other layout.
  uint32_t otherShards_ = 0;
  uint32_t otherCovered_ = 0;
  uint32_t replans_ = 0;
  Duration timeLeft_{};
  /// Expected latency of a whole query.
  Duration expectedLatency_{};
  bool isAction_ = false;
};

enum class ReplanVerdict
{
  /// Nothing is lost: go on.
  Continue,
  /// Drop every answer and begin again on the other layout.
  Restart,
  /// Answer from the pinned layout, with its true coverage.
  KeepPinned,
};

template<>
struct EnumTable<ReplanVerdict>
{
  static constexpr std::array<EnumName<ReplanVerdict>, 3> kRows{ {
    { ReplanVerdict::Continue, "continue" },
    { ReplanVerdict::Restart, "restart" },
    { ReplanVerdict::KeepPinned, "keep_pinned" },
  } };
};

/// Decides what a running query does when servers of its pinned layout vanish.
/// Answers of two layouts are never merged.
ReplanVerdict DecideReplan(const ReplanSettings& aSettings,
                           const ReplanInput& aInput);

} // namespace foxtail

#endif // POLICY_SNAPSHOTCHOOSER_H
