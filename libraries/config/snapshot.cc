#include "config/snapshot.h"

#include <algorithm>
#include <utility>

#include "config/request_path.h"

namespace oleandertide::config {
namespace {

constexpr std::size_t kDigestCharacters = 32;

bool IsDigest(std::string_view text) {
  return text.size() == kDigestCharacters &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

// Precondition: `items` are ordered by name.
template <typename Item>
const Item* FindByName(std::span<const Item> items, std::string_view name) {
  const auto found = std::ranges::lower_bound(
      items, name, {},
      [](const Item& item) -> std::string_view { return item.name; });
  if (found == items.end() || found->name != name) return nullptr;
  return &*found;
}

const Route* FindByMethod(std::span<const Route* const> routes, Method method) {
  for (const Route* route : routes) {
    if (std::ranges::find(route->methods, method) != route->methods.end()) {
      return route;
    }
  }
  return nullptr;
}

// Returns the longest prefix of whole segments with at most `limit` bytes.
// Precondition: `path` begins with '/' and limit > 0.
std::string_view LimitToSegments(std::string_view path, std::size_t limit) {
  if (path.size() <= limit) return path;
  const std::size_t end = path.rfind('/', limit);
  return path.substr(0, std::max<std::size_t>(end, 1));
}

// Returns the path without its last segment. Precondition: it is not "/".
std::string_view Parent(std::string_view path) {
  return path.substr(0, std::max<std::size_t>(path.rfind('/'), 1));
}

}  // namespace

Result<std::unique_ptr<const Snapshot>> Snapshot::Compile(
    std::uint64_t sequence, std::string_view digest, Document document) {
  if (sequence == 0 || !IsDigest(digest)) return Error::kInvalidArgument;
  return std::unique_ptr<const Snapshot>(
      new Snapshot(sequence, digest, std::move(document)));
}

Snapshot::Snapshot(std::uint64_t sequence, std::string_view digest,
                   Document document)
    : sequence_(sequence), digest_(digest), document_(std::move(document)) {
  for (const Route& route : document_.routes()) {
    paths_[route.path].push_back(&route);
    longest_path_ = std::max(longest_path_, route.path.size());
  }
}

const Route* Snapshot::FindRoute(std::string_view method,
                                 std::string_view path) const {
  const auto parsed = ParseMethod(method);
  path = path.substr(0, path.find_first_of("?#"));
  if (!parsed || paths_.empty() || !IsNormalPath(path)) return nullptr;
  for (path = LimitToSegments(path, longest_path_);; path = Parent(path)) {
    if (const auto found = paths_.find(path); found != paths_.end()) {
      if (const Route* route = FindByMethod(found->second, *parsed)) {
        return route;
      }
    }
    if (path.size() == 1) return nullptr;
  }
}

const Route* Snapshot::route(std::string_view name) const {
  return FindByName(routes(), name);
}

const Job* Snapshot::job(std::string_view name) const {
  return FindByName(jobs(), name);
}

bool Snapshot::has_service(std::string_view name) const {
  return FindByName(services(), name) != nullptr;
}

}  // namespace oleandertide::config
