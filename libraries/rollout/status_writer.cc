#include "rollout/status_writer.h"

#include <utility>

namespace oleandertide::rollout {

StatusWriter::Effect StatusWriter::Tick(Status wanted) {
  if (is_busy_ || is_superseded_ || is_final()) return {};
  if (!row_version_) {
    is_busy_ = true;
    return Read{};
  }
  if (status_ == wanted) return {};
  // `running` comes first: it tells the next decider that the order has begun.
  const Status next = status_ ? wanted : Status::kRunning;
  is_busy_ = true;
  writing_ = next;
  return Write{.row = {.status = next, .to = to_, .order = order_},
               .expected_version = *row_version_};
}

void StatusWriter::OnRead(const Result<std::optional<StatusRow>>& row) {
  is_busy_ = false;
  if (!row) return;
  row_version_ = row.value() ? row.value()->version : 0;
  status_.reset();
  if (!row.value()) return;
  StatusRow known = *row.value();
  if (known.order.era == 0) known.order.era = order_.era;
  is_superseded_ = known.order > order_;
  if (known.order == order_) status_ = known.status;
}

void StatusWriter::OnWritten(const Result<std::uint64_t>& version) {
  is_busy_ = false;
  const auto written = std::exchange(writing_, std::nullopt);
  if (!version) {
    // The write may have been performed, or may still be.
    row_version_.reset();
    return;
  }
  row_version_ = version.value();
  status_ = written;
}

}  // namespace oleandertide::rollout
