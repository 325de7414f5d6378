#include "mesh/configuration_holder.h"

#include <algorithm>
#include <utility>

namespace oleandertide::mesh {

bool ConfigurationHolder::Offer(Configuration configuration, std::string text) {
  if (configuration.version <= version()) return false;
  current_ = std::make_shared<const Configuration>(std::move(configuration));
  text_ = std::move(text);
  return true;
}

void ConfigurationHolder::Confirm(std::uint64_t version, MonotonicTime now,
                                  Duration age) {
  if (version != this->version() || !current_) return;
  const MonotonicTime at = now - age;
  confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, at) : at;
}

Duration ConfigurationHolder::confirmation_age(MonotonicTime now) const {
  return confirmed_at_ ? now - *confirmed_at_ : Duration::max();
}

}  // namespace oleandertide::mesh
