// The configuration that operators put in force: hosts, routes, services.

#ifndef OLEANDERTIDE_MESH_CONFIGURATION_H_
#define OLEANDERTIDE_MESH_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/time.h"

namespace oleandertide::mesh {

// Determines alone whether a request may be repeated.
enum class RequestKind : std::uint8_t {
  kIdempotent,
  // Runs at most once for each attempt of a client.
  kNonIdempotent,
  // Idempotent, with a large answer.
  kDownload,
};

// Whether a request of this kind may run more than once. Thread-safe.
inline bool is_repeatable(RequestKind kind) {
  return kind != RequestKind::kNonIdempotent;
}

// A service with its share of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;

  bool operator==(const WeightedService&) const = default;
};

struct Route {
  std::string name{};
  // Begins and ends with a slash.
  std::string path_prefix{};
  RequestKind kind = RequestKind::kNonIdempotent;
  // Maximum time that a client waits for an answer.
  Duration timeout{};
  // The client gets the full value of an answer within this time.
  Duration target_latency{};
  // 0 is the most urgent.
  int priority = 0;
  // Maximum number of backend servers tried for one attempt of a client.
  int maximum_attempts = 1;
  // Not empty.
  std::vector<WeightedService> services{};
  // Whether requests need no key although the configuration has organisations.
  bool is_public = false;

  bool operator==(const Route&) const = default;
};

// A group of callers that share keys and a limit.
struct Organisation {
  std::string name{};
  std::vector<std::string> keys{};
  // Takes precedence over the priority of the route.
  std::optional<int> priority{};
  // Requests per second of the whole fleet; 0 is no limit.
  double rate = 0;
  // Requests that may come at once beyond the rate.
  double burst = 0;

  bool is_limited() const { return rate > 0; }

  bool operator==(const Organisation&) const = default;
};

struct Service {
  std::string name{};
  std::string health_path{};
  // Connections that a backend server accepts from all callers together.
  std::size_t maximum_connections = 0;

  bool operator==(const Service&) const = default;
};

// Limits on the size of a client's requests and on the time to send them.
struct ClientLimits {
  std::size_t maximum_header_bytes = std::size_t{16} << 10U;
  std::size_t maximum_body_bytes = std::size_t{64} << 20U;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  bool operator==(const ClientLimits&) const = default;
};

// Routes by path prefix. Versions share unchanged routes.
using RouteMap =
    std::map<std::string, std::shared_ptr<const Route>, std::less<>>;
using HostMap = std::map<std::string, RouteMap, std::less<>>;

// Organisations by name. Versions share unchanged ones.
using OrganisationMap =
    std::map<std::string, std::shared_ptr<const Organisation>, std::less<>>;

// Immutable index of the keys of a configuration's organisations.
class KeyIndex {
 public:
  KeyIndex() = default;
  // Precondition: no key belongs to two organisations.
  explicit KeyIndex(const OrganisationMap& organisations);

  // Returns the holder of `key`, or nullptr, with one hash look-up.
  // Thread-safe.
  const Organisation* Find(std::string_view key) const;

 private:
  std::unordered_map<std::string, std::shared_ptr<const Organisation>> by_key_;
};

// One version of the configuration, complete and checked. Immutable once it is
// shared.
struct Configuration {
  // Versions compare as numbers; they increase in uneven steps.
  std::uint64_t version = 0;
  std::vector<Service> services;
  ClientLimits limits;
  // Routes by host in lower case.
  HostMap hosts;
  // If empty, requests need no key.
  OrganisationMap organisations;
  KeyIndex keys;

  // Returns the route with the longest prefix of `target` (path and query)
  // among those of `host` (with or without port), or nullptr. Thread-safe.
  const Route* FindRoute(std::string_view host, std::string_view target) const;

  // Whether an organisation has a limit. Thread-safe.
  bool has_limits() const;

  // Returns the service of that name, or nullptr. Thread-safe.
  const Service* FindService(std::string_view name) const;
};

// Converts ASCII letters to lower case; host names are compared in this form.
// Thread-safe.
std::string ToLowerCase(std::string_view text);

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_CONFIGURATION_H_
