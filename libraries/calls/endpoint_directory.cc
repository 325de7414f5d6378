#include "calls/endpoint_directory.h"

#include <absl/strings/string_view.h>

#include <algorithm>
#include <utility>

#include "core/hash.h"

namespace oleandertide::calls {
namespace {

// A backend server that was ready before this node knew of it is not cold.
constexpr Duration kLongReady = std::chrono::hours(1);

routing::Endpoint ToEndpoint(const membership::Member& member,
                             MonotonicTime ready_since, Duration slow_start) {
  routing::Endpoint endpoint;
  endpoint.id = Hash64(member.address);
  endpoint.life = CombineHashes(member.life, Hash64(member.backend_address));
  endpoint.address = member.address;
  endpoint.data_centre = member.data_centre;
  endpoint.slots = static_cast<int>(std::max(member.slots, 1U));
  endpoint.ready_since = ready_since;
  endpoint.slow_start = slow_start;
  return endpoint;
}

}  // namespace

void EndpointDirectory::Update(const membership::MemberView& members,
                               const std::vector<std::string>& unreachable,
                               MonotonicTime now) {
  absl::flat_hash_map<std::string, std::vector<routing::Endpoint>> endpoints;
  absl::flat_hash_set<std::string> present;
  for (const auto& member : members.members()) {
    if (member->state != membership::MemberState::kReady) continue;
    if (member->backend_address.empty()) continue;
    if (std::find(unreachable.begin(), unreachable.end(),
                  member->data_centre) != unreachable.end()) {
      continue;
    }
    present.insert(member->address);
    endpoints[member->service].push_back(
        ToEndpoint(*member, ReadySince(*member, now), slow_start_));
  }
  absl::erase_if(
      seen_, [&](const auto& item) { return !present.contains(item.first); });
  is_first_update_ = is_first_update_ && present.empty();

  const auto previous = Load();
  auto tables = std::make_shared<Tables>();
  for (auto& [service, list] : endpoints) {
    const routing::EndpointTable* old = nullptr;
    if (previous) {
      const auto found = previous->find(service);
      if (found != previous->end()) old = found->second.get();
    }
    auto table = routing::EndpointTable::Build(std::move(list),
                                               members.own().data_centre, old);
    if (table) tables->emplace(service, std::move(table).value());
  }
  std::lock_guard lock(mutex_);
  tables_ = std::move(tables);
}

std::shared_ptr<const routing::EndpointTable> EndpointDirectory::Find(
    std::string_view service) const {
  const auto tables = Load();
  if (!tables) return nullptr;
  const auto found =
      tables->find(absl::string_view(service.data(), service.size()));
  return found == tables->end() ? nullptr : found->second;
}

std::shared_ptr<const EndpointDirectory::Tables> EndpointDirectory::Load()
    const {
  std::lock_guard lock(mutex_);
  return tables_;
}

MonotonicTime EndpointDirectory::ReadySince(const membership::Member& member,
                                            MonotonicTime now) {
  const auto [found, is_new] = seen_.try_emplace(member.address);
  Seen& seen = found->second;
  if (is_new || seen.life != member.life ||
      seen.backend_address != member.backend_address) {
    seen = {member.life, member.backend_address,
            is_first_update_ ? now - kLongReady : now};
  }
  return seen.ready_since;
}

}  // namespace oleandertide::calls
