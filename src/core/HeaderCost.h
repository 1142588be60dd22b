#ifndef CORE_HEADERCOST_H
#define CORE_HEADERCOST_H

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace foxtail {

/// Estimates the memory of a message header in a parser, which takes complete
/// fields from the buffer as they arrive and allocates an entry for each.
class HeaderCost
{
public:
  /// @param aBuffer bytes that the parser receives next.
  void BeforeParse(std::string_view aBuffer) { pending_ = CostOf(aBuffer); }
  /// @param aRest bytes that the parser left in the buffer.
  void AfterParse(std::string_view aRest)
  {
    parsed_ += pending_ - CostOf(aRest);
    pending_ = 0;
  }
  /// @return bytes of the parsed fields and of those in the buffer.
  size_t Bytes() const { return parsed_ + pending_; }

private:
  /// An entry of 80 bytes, measured for short fields, and its index.
  static constexpr size_t kFieldBytes = 96;

  static size_t CostOf(std::string_view aText)
  {
    const auto fields = std::count(aText.begin(), aText.end(), '\n');
    return aText.size() + kFieldBytes * static_cast<size_t>(fields);
  }

  size_t parsed_ = 0;
  size_t pending_ = 0;
};

} // namespace foxtail

#endif // CORE_HEADERCOST_H
