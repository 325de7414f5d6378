#include "mesh/link_room.h"

#include <algorithm>
#include <cstdint>

namespace oleandertide::mesh {
namespace {

// Smaller answers overtake large ones, so they need no room of their own: see
// BulkSchedule.
constexpr std::size_t kMaxUnboundedAnswerBytes = 16'384;

// Part of the time between the run and the target latency for which the link
// may still be busy with earlier answers. The rest is for the transfer itself,
// for that to the client, and for answers larger than the mean. Found by the
// replay in link_room_test: with 0.2 links with room refuse requests, with 0.3
// more answers are late.
constexpr double kShareAfterRun = 0.25;

// A request that was tried elsewhere first still gets room on a link with a
// short queue: a late answer is of some use.
constexpr double kMinShareOfTarget = 0.1;

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

std::optional<Duration> ChooseLinkAllowance(const AnswerOnLink& answer) {
  if (answer.expected_bytes <= kMaxUnboundedAnswerBytes) return std::nullopt;
  // While the request runs, the link sends earlier answers.
  const Duration after_run =
      answer.target_latency - answer.elapsed - answer.expected_run;
  return answer.expected_run +
         std::max(Scale(after_run, kShareAfterRun),
                  Scale(answer.target_latency, kMinShareOfTarget));
}

}  // namespace oleandertide::mesh
