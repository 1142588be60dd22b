#ifndef CORE_REPLYSTATUS_H
#define CORE_REPLYSTATUS_H

namespace foxtail {

enum class ReplyStatusClass
{
  /// The final reply follows.
  Informational,
  Final,
  /// HTTP defines no such status; the reply is no HTTP.
  Undefined,
};

/// The only check of the status of replies, for backend servers and for calls
/// between own processes. The parser accepts any three digits.
constexpr ReplyStatusClass ClassifyStatus(unsigned aStatus)
{
  constexpr unsigned kFirstInformational = 100;
  constexpr unsigned kFirstFinal = 200;
  constexpr unsigned kLastFinal = 599;
  if (aStatus < kFirstInformational || aStatus > kLastFinal) {
    return ReplyStatusClass::Undefined;
  }
  return aStatus < kFirstFinal ? ReplyStatusClass::Informational
                               : ReplyStatusClass::Final;
}

} // namespace foxtail

#endif // CORE_REPLYSTATUS_H
