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
  /// A gain in coverage above this percentage of the shards causes an immediate
  /// switch; a smaller one only after settle_.
  double coverageMarginPercent_ = 5;
  /// How long a better layout must stay better before it replaces the chosen
  /// one.
  milliseconds settle_{ 500 };
  /// Used instead of settle_ if the better layout's least replicated shard has
  /// fewer replicas than the chosen one's, since the switch would reduce the
  /// capacity.
  milliseconds capacityHold_{ 10000 };

  static SnapshotChooserSettings Read(JsonReader& aReader);
};

enum class SnapshotReason
{
  /// No server that accepts requests announces the catalogue.
  NoneAnnounced,
  /// Chosen for the first time.
  First,
  /// The chosen layout is still the best.
  Kept,
  /// Another layout is better, but not for long enough.
  Held,
  /// The chosen layout has no server left.
  Vanished,
  /// Another layout covers more shards.
  MoreCoverage,
  /// Another layout covers as many shards and is newer.
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
  /// The layout to which new queries are pinned; nothing if none can serve.
  std::optional<LayoutKey> layout_;
  /// Shards of the layout with a server that accepts requests.
  uint32_t coveredShards_ = 0;
  SnapshotReason reason_ = SnapshotReason::NoneAnnounced;
  /// Whether the layout differs from the last choice and has to be logged.
  bool isSwitched_ = false;
  /// Whether one version is announced with two shard counts, a fault of the
  /// backend servers that has to be logged. The two layouts are never mixed.
  bool hasShardCountConflict_ = false;
};

/// Chooses the layout of each catalogue to which new queries are pinned: the
/// newest with full coverage, else the one with the greatest coverage, with
/// hysteresis. Call it for each published routing table, and every 100 ms while
/// a choice is Held. Not thread safe.
class SnapshotChooser
{
public:
  explicit SnapshotChooser(SnapshotChooserSettings aSettings);

  /// @param aUnreachable for each replica of the table, whether failed requests
  /// show that it accepts none although it is announced; empty if nothing is
  /// known. Such a replica covers no shard, unless no layout would be left.
  SnapshotChoice Choose(const RoutingTable& aTable,
                        const CatalogueKey& aCatalogue,
                        std::span<const uint8_t> aUnreachable,
                        TimePoint aNow);

  /// Chooses for every catalogue of the table, and drops the state of
  /// catalogues that are no longer in the table.
  std::map<CatalogueKey, SnapshotChoice> ChooseAll(
    const RoutingTable& aTable,
    std::span<const uint8_t> aUnreachable,
    TimePoint aNow);

private:
  struct State
  {
    std::optional<LayoutKey> chosen_;
    /// The better layout that may replace the chosen one, and since when it is
    /// better.
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
  /// How often one query may be restarted on another layout.
  uint32_t maxReplans_ = 1;
  /// Time left that a restart needs, as a multiple of the expected latency of
  /// the slowest shard.
  double latencyFactor_ = 1.5;

  static ReplanSettings Read(JsonReader& aReader);
};

/// State of a running query on its pinned layout.
struct ReplanInput
{
  uint32_t shards_ = 0;
  uint32_t answered_ = 0;
  /// Shards without an answer, an attempt in flight or a server left.
  uint32_t lostShards_ = 0;
  /// Shards of the other layout, and how many of them have a server; 0 if there
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
  /// No shard is lost; the query continues.
  Continue,
  /// Drop all answers and restart on the other layout.
  Restart,
  /// Answer from the pinned layout with the coverage reached.
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

/// Decides how a running query continues if servers of its pinned layout
/// disappear. Answers of two layouts are never merged.
ReplanVerdict DecideReplan(const ReplanSettings& aSettings,
                           const ReplanInput& aInput);

} // namespace foxtail

#endif // POLICY_SNAPSHOTCHOOSER_H
