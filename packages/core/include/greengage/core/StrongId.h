/// \file
/// Distinct types for identifiers that share a representation, so that a team
/// can't be passed where a pool is expected.

#ifndef GREENGAGE_CORE_STRONGID_H
#define GREENGAGE_CORE_STRONGID_H

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace greengage {

/// An identifier of representation \p Rep, made distinct by \p Tag.
template<typename Tag, typename Rep>
class StrongId
{
public:
  using RepType = Rep;

  StrongId() = default;
  explicit StrongId(Rep aValue)
    : value_(std::move(aValue))
  {
  }

  const Rep& Value() const { return value_; }

  friend auto operator<=>(const StrongId&, const StrongId&) = default;
  friend bool operator==(const StrongId&, const StrongId&) = default;

private:
  Rep value_{};
};

} // namespace greengage

template<typename Tag, typename Rep>
struct std::hash<greengage::StrongId<Tag, Rep>>
{
  std::size_t operator()(
    const greengage::StrongId<Tag, Rep>& aId) const noexcept
  {
    return std::hash<Rep>{}(aId.Value());
  }
};

#endif // GREENGAGE_CORE_STRONGID_H
