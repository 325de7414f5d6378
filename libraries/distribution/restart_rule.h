// Decides when a started node may act.

#ifndef OLEANDERTIDE_DISTRIBUTION_RESTART_RULE_H_
#define OLEANDERTIDE_DISTRIBUTION_RESTART_RULE_H_

#include <absl/container/btree_map.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace oleandertide::distribution {

// Finds a lower bound for the sequence on which a started node may act. An
// earlier life of the node acted on no higher sequence. Not thread-safe.
class RestartRule {
 public:
  static constexpr std::size_t kMaximumAnswers = 4096;

  // Condition (a): a read of the platform that began after the node started
  // showed `row_sequence`.
  void Confirm(std::uint64_t row_sequence);

  // Condition (b): a ready member of the data centre answered.
  // `counted_members` is N as the member counts it.
  void Answer(std::string_view address, std::uint64_t held,
              std::size_t counted_members);

  // Returns the lowest bound that is proven, or nothing yet. `own_members` is
  // N as the node counts it; the largest N known is used, because the table of
  // a node that has just joined may be incomplete.
  std::optional<std::uint64_t> Bound(std::size_t own_members) const;

  bool is_confirmed() const { return confirmed_.has_value(); }
  bool has_answer_of(std::string_view address) const {
    return answers_.contains(address);
  }

 private:
  std::optional<std::uint64_t> confirmed_;
  absl::btree_map<std::string, std::uint64_t, std::less<>> answers_;
  std::uint64_t highest_answer_ = 0;
  std::size_t largest_count_ = 0;
};

}  // namespace oleandertide::distribution

#endif  // OLEANDERTIDE_DISTRIBUTION_RESTART_RULE_H_
