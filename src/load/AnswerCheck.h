#ifndef LOAD_ANSWERCHECK_H
#define LOAD_ANSWERCHECK_H

#include "core/EnumTable.h"
#include "http/HttpTypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace foxtail {

/// How one request of the load tool ended.
enum class LoadOutcome
{
  /// Answered with every shard.
  Whole,
  /// Answered with stated coverage below the whole.
  Partial,
  /// Refused, and not run.
  NotRun,
  /// Refused, and may have been run.
  Unknown,
  /// A response that the callers' contract does not know.
  Malformed,
  /// The connection was closed without a whole response.
  Cut,
  Timeout,
  /// No entry instance could be connected.
  Unreachable,
};

template<>
struct EnumTable<LoadOutcome>
{
  static constexpr std::array<EnumName<LoadOutcome>, 8> kRows{ {
    { LoadOutcome::Whole, "whole" },
    { LoadOutcome::Partial, "partial" },
    { LoadOutcome::NotRun, "not_run" },
    { LoadOutcome::Unknown, "unknown" },
    { LoadOutcome::Malformed, "malformed" },
    { LoadOutcome::Cut, "cut" },
    { LoadOutcome::Timeout, "timeout" },
    { LoadOutcome::Unreachable, "unreachable" },
  } };
};

/// What is found in one response.
struct AnswerVerdict
{
  LoadOutcome outcome_ = LoadOutcome::Malformed;
  uint64_t shardsAsked_ = 0;
  uint64_t shardsAnswered_ = 0;
  /// A result is of another version than the snapshot says.
  bool isMixed_ = false;
  /// A result echoes another request's token.
  bool isWrong_ = false;
  /// The stated coverage differs from the results.
  bool isCoverageFalse_ = false;
  /// Shards missing, by reason.
  std::map<std::string, uint64_t> missing_;
  /// Snapshot, as JSON text, for histories.
  std::string snapshot_;
  /// Time of the slowest shard that the entry instance states.
  std::optional<uint64_t> slowestShardUs_;
};

/// Checks a query's response against the callers' contract.
///
/// @param aToken what the request's body carried.
AnswerVerdict CheckQueryAnswer(const HttpResponse& aResponse,
                               std::string_view aToken);

/// Checks an action's response.
AnswerVerdict CheckActionAnswer(const HttpResponse& aResponse,
                                std::string_view aToken);

} // namespace foxtail

#endif // LOAD_ANSWERCHECK_H
