#include "distribution/restart_rule.h"

#include <algorithm>

namespace oleandertide::distribution {

void RestartRule::Confirm(std::uint64_t row_sequence) {
  confirmed_ = std::min(confirmed_.value_or(row_sequence), row_sequence);
}

void RestartRule::Answer(std::string_view address, std::uint64_t held,
                         std::size_t counted_members) {
  largest_count_ = std::max(largest_count_, counted_members);
  highest_answer_ = std::max(highest_answer_, held);
  if (answers_.size() < kMaximumAnswers) {
    answers_.insert_or_assign(std::string(address), held);
  }
}

std::optional<std::uint64_t> RestartRule::Bound(std::size_t own_members) const {
  std::optional<std::uint64_t> bound = confirmed_;
  const std::size_t members = std::max(own_members, largest_count_);
  // With N = 1 there is no other member that could answer.
  const std::size_t needed = members - members / 2;
  if (members > 1 && answers_.size() >= needed) {
    bound = std::min(bound.value_or(highest_answer_), highest_answer_);
  }
  return bound;
}

}  // namespace oleandertide::distribution
