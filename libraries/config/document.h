// The configuration document of an environment.

#ifndef OLEANDERTIDE_CONFIG_DOCUMENT_H_
#define OLEANDERTIDE_CONFIG_DOCUMENT_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/diagnostic.h"
#include "config/method.h"
#include "core/time.h"

namespace oleandertide::config {

inline constexpr std::size_t kMaximumServices = 1'000;
inline constexpr std::size_t kMaximumRoutes = 10'000;
inline constexpr std::size_t kMaximumJobs = 1'000;

// What a request of a route does.
enum class RouteClass { kLookup, kBooking, kPayment, kOrder };

// What happens to due times that passed without a run.
enum class Missed { kSkip, kRunLatest };

// Return the word that stands in the document. Thread-safe.
std::string_view ToString(RouteClass route_class);
std::string_view ToString(Missed missed);

struct Service {
  std::string name;

  bool operator==(const Service&) const = default;
};

struct Route {
  std::string name;
  // Name of a service of the same document.
  std::string service;
  // Prefix that matches whole segments of a request's path.
  std::string path;
  // At least one, in the order of the document. GET does not include HEAD.
  std::vector<Method> methods;
  RouteClass route_class = RouteClass::kLookup;
  // Whether a request may run more than once.
  bool is_repeatable = false;
  // Without a value, the node's default applies.
  std::optional<Duration> timeout;

  bool operator==(const Route&) const = default;
};

struct Job {
  std::string name;
  // Name of a route of the same document.
  std::string route;
  // Whole seconds, at least one. Due times are the multiples of `every` since
  // the epoch, plus `offset`.
  Duration every{};
  // Whole seconds, less than `every`.
  Duration offset{};
  Missed missed = Missed::kSkip;

  bool operator==(const Job&) const = default;
};

// Services, routes and jobs that were validated as a whole: names are unique
// by kind, every route has a service, every job has a route, and no two routes
// have both path and method in common. Immutable, thus thread-safe.
class Document {
 public:
  // Reads INI text of at most kMaximumTextBytes. `file_name` is used in
  // diagnostics only. Returns all errors of the text at once, or the document.
  // Thread-safe.
  static Checked<Document> Parse(std::string_view text,
                                 std::string_view file_name);

  // Describes the keys of the document, one a line. Thread-safe.
  static std::string DescribeKeys();

  // Ordered by name.
  std::span<const Service> services() const { return services_; }
  std::span<const Route> routes() const { return routes_; }
  std::span<const Job> jobs() const { return jobs_; }

  // Writes the document in the form that Parse reads.
  std::string ToText() const;

  bool operator==(const Document&) const = default;

 private:
  Document() = default;

  std::vector<Service> services_;
  std::vector<Route> routes_;
  std::vector<Job> jobs_;
};

}  // namespace oleandertide::config

#endif  // OLEANDERTIDE_CONFIG_DOCUMENT_H_
