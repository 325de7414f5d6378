#include "mesh/configuration_holder.h"

#include <algorithm>
#include <utility>

namespace oleandertide::mesh {

bool ConfigurationHolder::InstallIfNewer(Configuration configuration) {
  if (configuration.version <= version()) return false;
  current_ = std::make_shared<const Configuration>(std::move(configuration));
  recent_versions_.push_back(current_);
  if (recent_versions_.size() > kMaxKeptVersions) recent_versions_.pop_front();
  return true;
}

ConfigurationUpdate ConfigurationHolder::MakeUpdateSince(
    std::uint64_t version) const {
  const auto base =
      std::ranges::find_if(recent_versions_, [&](const auto& configuration) {
        return configuration->version == version;
      });
  return MakeUpdate(base == recent_versions_.end() ? nullptr : base->get(),
                    *current_);
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
