#ifndef STANDIN_FAULT_H
#define STANDIN_FAULT_H

#include "core/EnumTable.h"
#include "core/JsonReader.h"
#include "core/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace foxtail {

/// What a stand-in server can be told to do at run time.
enum class FaultKind
{
  /// Takes factor times as long.
  Straggle,
  /// Takes requests and never answers.
  Hang,
  /// Answers 500 without an outcome.
  Error,
  /// Closes the connection in the middle of the body.
  CutBody,
  /// Answers the given time after the deadline.
  AnswerLate,
  /// Echoes the attempt id of another request.
  WrongAttempt,
  /// States another index version.
  WrongVersion,
  /// Sends a body that is no JSON.
  BadJson,
  /// Health endpoint gives the state, whatever the truth.
  LieHealth,
  /// Load endpoint and load header give the number in flight.
  LieLoad,
  /// Stops announcing, and nothing else.
  Silent,
  /// Takes back every fault above.
  Clear,
  /// Closes every socket and stops announcing.
  Kill,
  /// Starts again after Kill or Drain, as a new incarnation.
  Restart,
  /// Announces draining, then gone.
  Drain,
  /// Serves another index version.
  Version,
  /// Serves another index version cut into another number of shards.
  Repartition,
};

template<>
struct EnumTable<FaultKind>
{
  static constexpr std::array<EnumName<FaultKind>, 17> kRows{ {
    { FaultKind::Straggle, "straggle" },
    { FaultKind::Hang, "hang" },
    { FaultKind::Error, "error" },
    { FaultKind::CutBody, "cut_body" },
    { FaultKind::AnswerLate, "answer_late" },
    { FaultKind::WrongAttempt, "wrong_attempt" },
    { FaultKind::WrongVersion, "wrong_version" },
    { FaultKind::BadJson, "bad_json" },
    { FaultKind::LieHealth, "lie_health" },
    { FaultKind::LieLoad, "lie_load" },
    { FaultKind::Silent, "silent" },
    { FaultKind::Clear, "clear" },
    { FaultKind::Kill, "kill" },
    { FaultKind::Restart, "restart" },
    { FaultKind::Drain, "drain" },
    { FaultKind::Version, "version" },
    { FaultKind::Repartition, "repartition" },
  } };
};

/// Faults before this one change single answers and can hit a percentage of
/// them.
inline constexpr FaultKind kFirstCommand = FaultKind::Clear;

/// Picks servers; each member that is given must match.
struct ServerSelector
{
  /// Beginning of the server's name.
  std::string name_;
  std::string service_;
  std::string catalogue_;
  std::string zone_;
  /// Letter of the replica.
  std::string replica_;
  std::optional<uint32_t> shard_;

  static ServerSelector Read(JsonReader& aReader);
};

struct Fault
{
  FaultKind kind_ = FaultKind::Clear;
  /// Percentage of requests that it hits.
  double percent_ = 100;
  /// For Straggle.
  double factor_ = 10;
  /// For AnswerLate: time after the deadline. For Version and Repartition:
  /// how long the former version is still served.
  milliseconds time_{ 0 };
  /// For LieHealth.
  std::string state_;
  /// For LieLoad.
  uint32_t inFlight_ = 0;
  /// For Version and Repartition.
  uint64_t version_ = 0;
  /// For Repartition.
  uint32_t shards_ = 0;
  /// For Drain: whether new work is refused, as the contract wants.
  bool isRefusing_ = true;
  /// Whether the fault begins or ends.
  bool isOn_ = true;
};

/// A request to the control interface.
struct FaultRequest
{
  ServerSelector selector_;
  Fault fault_;

  static FaultRequest Read(JsonReader& aReader);
};

} // namespace foxtail

#endif // STANDIN_FAULT_H
