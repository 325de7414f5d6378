#include "mesh/link_room.h"

#include <algorithm>
#include <cstdint>

namespace oleandertide::mesh {
namespace {

// Answers up to this size are not counted: see BulkSchedule.
constexpr std::size_t kMaxSmallAnswerBytes = 16'384;

// Part of the time left to the target latency. The rest is for the transfer
// itself, for that to the client, and for answers larger than the mean.
constexpr double kShareOfTimeLeft = 0.4;

// A request that was tried elsewhere first still gets room on a link with a
// short queue: a late answer is of some use.
constexpr double kMinShareOfTarget = 0.1;

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

std::optional<Duration> ChooseLinkAllowance(const AnswerOnLink& answer) {
  if (answer.expected_bytes <= kMaxSmallAnswerBytes) return std::nullopt;
  return std::max(
      Scale(answer.target_latency - answer.elapsed, kShareOfTimeLeft),
      Scale(answer.target_latency, kMinShareOfTarget));
}

}  // namespace oleandertide::mesh
