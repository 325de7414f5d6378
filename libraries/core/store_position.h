// Places in the history of the users' store.

#ifndef OLEANDERTIDE_CORE_STORE_POSITION_H_
#define OLEANDERTIDE_CORE_STORE_POSITION_H_

#include <cstdint>
#include <tuple>

namespace oleandertide {

// A version of the store in one of its eras. The store begins a new era when it
// returns from an older copy; it then gives versions out again that it gave out
// before, so versions of two eras say nothing about which came first. Positions
// are ordered by era, then by version.
//
// A store that tells no era has era 0 only. In what a node of an earlier
// version of this project told, era 0 means that the era is unknown.
struct StorePosition {
  std::uint64_t era = 0;
  // 0 stands for none.
  std::uint64_t version = 0;

  friend bool operator==(const StorePosition&, const StorePosition&) = default;
  friend bool operator<(const StorePosition& left, const StorePosition& right) {
    return std::tie(left.era, left.version) <
           std::tie(right.era, right.version);
  }
  friend bool operator>(const StorePosition& left, const StorePosition& right) {
    return right < left;
  }
  friend bool operator<=(const StorePosition& left,
                         const StorePosition& right) {
    return !(right < left);
  }
  friend bool operator>=(const StorePosition& left,
                         const StorePosition& right) {
    return !(left < right);
  }
};

// A position, and the store's clock in milliseconds there.
struct StoreMoment {
  StorePosition position{};
  std::uint64_t time_ms = 0;
};

}  // namespace oleandertide

#endif  // OLEANDERTIDE_CORE_STORE_POSITION_H_
