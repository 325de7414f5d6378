#include "coordination/election.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/json.h"

namespace oleandertide::coordination {
namespace {

// Pause after a failure at the store: short enough to take over within a
// fraction of the lease, and spread, since many nodes may have failed together.
constexpr Duration kShortestPause = std::chrono::milliseconds(200);
constexpr Duration kPauseRange = std::chrono::milliseconds(400);

Duration ChoosePause(double random_fraction) {
  return kShortestPause +
         Duration(static_cast<std::int64_t>(
             static_cast<double>(kPauseRange.count()) * random_fraction));
}

}  // namespace

std::string EncodeLease(const LeaseRow& row) {
  return nlohmann::json{{"node", row.holder.node},
                        {"term", row.holder.term},
                        {"lease-end-ms", row.holder.lease_end_ms},
                        {"incarnation", row.incarnation},
                        {"earlier-rights-end-ms", row.earlier_rights_end_ms},
                        {"store-era", row.written_era}}
      .dump();
}

Result<LeaseRow> DecodeLease(std::string_view value, StorePosition position) {
  const auto json = ParseJson(value);
  if (!json) return Error::kDataDamaged;
  OLEANDERTIDE_TRY(node, ReadText(*json, "node"));
  OLEANDERTIDE_TRY(term, ReadUnsigned(*json, "term"));
  OLEANDERTIDE_TRY(lease_end, ReadUnsigned(*json, "lease-end-ms"));
  OLEANDERTIDE_TRY(incarnation, ReadText(*json, "incarnation"));
  OLEANDERTIDE_TRY(earlier_rights_end,
                   ReadUnsigned(*json, "earlier-rights-end-ms"));
  // Rows of an earlier version of this project tell no era.
  const auto era = ReadUnsigned(*json, "store-era");
  return LeaseRow{.holder = {.node = std::string(node),
                             .term = term,
                             .lease_end_ms = lease_end},
                  .incarnation = std::string(incarnation),
                  .earlier_rights_end_ms = earlier_rights_end,
                  .written_era = era ? era.value() : 0,
                  .position = position};
}

bool Election::is_holder(const StoreClock& clock, BootTime now) const {
  if (!own_ || is_released_) return false;
  const auto latest = clock.LatestNow(now);
  return latest &&
         *latest + static_cast<std::uint64_t>(ToMilliseconds(options_.margin)) <
             own_->holder.lease_end_ms;
}

void Election::CountRights(std::uint64_t end_ms) {
  known_rights_end_ms_ = std::max(known_rights_end_ms_, end_ms);
}

void Election::CountRightsOf(const std::optional<LeaseRow>& row,
                             const StoreMoment& moment) {
  if (!row) return;
  CountRights(row->earlier_rights_end_ms);
  CountRights(row->holder.lease_end_ms);
  if (row->written_era == moment.position.era) return;
  // These terms began before the store's return, so their leases have ended a
  // lease from now.
  CountRights(moment.time_ms +
              static_cast<std::uint64_t>(ToMilliseconds(options_.lease)));
}

Election::Effect Election::Claim(std::uint64_t term, const LeaseRow& before,
                                 const StoreClock& clock, BootTime now) {
  const auto store_now = clock.EarliestNow(now);
  if (!store_now) return {};
  pending_ =
      LeaseRow{.holder = {.node = options_.node,
                          .term = term,
                          .lease_end_ms =
                              *store_now + static_cast<std::uint64_t>(
                                               ToMilliseconds(options_.lease))},
               .incarnation = options_.incarnation,
               .earlier_rights_end_ms = term == before.holder.term
                                            ? before.earlier_rights_end_ms
                                            : known_rights_end_ms_,
               .written_era = era_};
  is_busy_ = true;
  next_at_ = now + options_.renewal;
  return WriteRow{EncodeLease(*pending_), before.position.version};
}

Election::Effect Election::Tick(const StoreClock& clock, BootTime now,
                                Duration delay) {
  if (is_busy_ || is_released_ || now < next_at_) return {};
  if (own_ && !is_row_uncertain_) {
    return Claim(own_->holder.term, *own_, clock, now);
  }
  if (own_) {
    is_busy_ = true;
    return ReadRow{};
  }
  if (options_.reads_at_start && !has_read_) {
    is_busy_ = true;
    return ReadRow{};
  }
  const bool is_own_earlier_life = holder_.node == options_.node;
  if (holder_.term > 0 && !is_own_earlier_life) {
    const auto store_now = clock.EarliestNow(now);
    if (!store_now || *store_now < holder_.lease_end_ms) {
      ended_since_.reset();
      return {};
    }
  }
  if (!ended_since_) ended_since_ = now;
  if (!is_own_earlier_life && now - *ended_since_ < delay) return {};
  is_busy_ = true;
  return ReadRow{};
}

Election::Effect Election::OnRow(const std::optional<LeaseRow>& row,
                                 const StoreMoment& moment,
                                 const StoreClock& clock, BootTime now) {
  is_busy_ = false;
  is_row_uncertain_ = false;
  const bool is_first_read = !std::exchange(has_read_, true);
  if (is_released_) return {};
  if (options_.reads_at_start && is_first_read && row &&
      row->holder.node != options_.node) {
    Learn(row->holder);
    return {};
  }
  era_ = moment.position.era;
  CountRightsOf(row, moment);
  const LeaseRow known = row.value_or(LeaseRow{});
  const Holder& holder = known.holder;
  const bool is_own_write = row && holder.node == options_.node &&
                            known.incarnation == options_.incarnation;
  if (is_own_write && known.written_era == era_ &&
      holder.term >= holder_.term) {
    // A write whose answer was lost.
    own_ = known;
    holder_ = holder;
    return Claim(holder.term, known, clock, now);
  }
  own_.reset();
  next_at_ = now + kShortestPause;
  // The row is older than what another node told.
  if (holder_.node != options_.node && holder_.term > holder.term &&
      moment.time_ms < holder_.lease_end_ms) {
    return {};
  }
  if (holder.node == options_.node || moment.time_ms >= holder.lease_end_ms) {
    return Claim(std::max(holder.term, holder_.term) + 1, known, clock, now);
  }
  Learn(holder);
  return {};
}

void Election::OnReadFailed(BootTime now, double random_fraction) {
  is_busy_ = false;
  next_at_ = now + ChoosePause(random_fraction);
}

void Election::OnWritten(const Result<StorePosition>& position, BootTime now,
                         double random_fraction) {
  is_busy_ = false;
  auto written = std::exchange(pending_, std::nullopt);
  if (!written) return;
  // A version that was given out again may have met the condition.
  if (position && position.value().era == era_) {
    written->position = position.value();
    own_ = std::move(written);
    holder_ = own_->holder;
    CountRights(holder_.lease_end_ms);
    ended_since_.reset();
    return;
  }
  // The write may have been performed, or be performed later: the row tells. A
  // lease that is held stays valid until its end.
  is_row_uncertain_ = own_.has_value();
  next_at_ = now + (own_ ? kShortestPause : ChoosePause(random_fraction));
}

void Election::Learn(const Holder& holder) {
  CountRights(holder.lease_end_ms);
  if (holder.term < holder_.term) return;
  if (holder.term == holder_.term &&
      holder.lease_end_ms <= holder_.lease_end_ms) {
    return;
  }
  if (own_ && holder.term > own_->holder.term) own_.reset();
  holder_ = holder;
  ended_since_.reset();
}

Election::Effect Election::Release() {
  is_released_ = true;
  if (!own_) return {};
  LeaseRow row = *std::exchange(own_, std::nullopt);
  row.earlier_rights_end_ms =
      std::max(row.earlier_rights_end_ms, row.holder.lease_end_ms);
  row.holder = {.term = row.holder.term + 1};
  holder_ = row.holder;
  return WriteRow{EncodeLease(row), row.position.version};
}

}  // namespace oleandertide::coordination
