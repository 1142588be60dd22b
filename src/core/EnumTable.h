#ifndef CORE_ENUMTABLE_H
#define CORE_ENUMTABLE_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace foxtail {

/// Names of an enum's values in JSON, logs and messages. Each enum has a
/// specialisation with `static constexpr std::array<EnumName<E>, N> kRows`, in
/// the order of the enumerators, whose values count up from 0.
template<typename E>
struct EnumTable;

template<typename E>
struct EnumName
{
  E value_;
  std::string_view name_;
};

/// @return the name of @p aValue in EnumTable<E>.
template<typename E>
constexpr std::string_view NameOf(E aValue)
{
  return EnumTable<E>::kRows[static_cast<size_t>(aValue)].name_;
}

/// @return the value named @p aName, or std::nullopt when no value has that
/// name.
template<typename E>
constexpr std::optional<E> FromName(std::string_view aName)
{
  for (const auto& row : EnumTable<E>::kRows) {
    if (row.name_ == aName) {
      return row.value_;
    }
  }
  return std::nullopt;
}

/// @return whether the index of each row equals its value, as NameOf()
/// requires.
template<typename E>
constexpr bool IsEnumTableOrdered()
{
  size_t index = 0;
  for (const auto& row : EnumTable<E>::kRows) {
    if (static_cast<size_t>(row.value_) != index++) {
      return false;
    }
  }
  return true;
}

} // namespace foxtail

#endif // CORE_ENUMTABLE_H
