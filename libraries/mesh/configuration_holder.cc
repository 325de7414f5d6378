#include "mesh/configuration_holder.h"

#include <algorithm>
#include <utility>

namespace oleandertide::mesh {

bool ConfigurationHolder::Offer(Configuration configuration) {
  if (configuration.version <= version()) return false;
  current_ = std::make_shared<const Configuration>(std::move(configuration));
  kept_.push_back(current_);
  if (kept_.size() > kKeptVersions) kept_.pop_front();
  return true;
}

ConfigurationUpdate ConfigurationHolder::MakeUpdateSince(
    std::uint64_t version) const {
  const auto base = std::ranges::find_if(kept_, [&](const auto& configuration) {
    return configuration->version == version;
  });
  return MakeUpdate(base == kept_.end() ? nullptr : base->get(), *current_);
}

void ConfigurationHolder::Confirm(std::uint64_t version,
                                  std::uint64_t store_time, MonotonicTime now,
                                  Duration age) {
  if (version != this->version() || !current_) return;
  if (store_time <= confirmed_store_time_) return;
  confirmed_store_time_ = store_time;
  confirmed_at_ = now - age;
}

Duration ConfigurationHolder::confirmation_age(MonotonicTime now) const {
  return confirmed_at_ ? now - *confirmed_at_ : Duration::max();
}

}  // namespace oleandertide::mesh
