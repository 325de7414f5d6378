#include "config/document.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include "config/field.h"
#include "config/ini_reader.h"
#include "config/value.h"

namespace oleandertide::config {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Indexed by RouteClass and Missed.
constexpr std::array<std::string_view, 4> kRouteClassWords = {
    "lookup", "booking", "payment", "order"};
constexpr std::array<std::string_view, 2> kMissedWords = {"skip", "run-latest"};

constexpr Duration kMaximumTimeout = hours(1);
constexpr Duration kMaximumInterval = hours(24 * 31);

// Maps a word that ChoiceRule accepted to its enumerator.
template <typename Enum, std::size_t kCount>
Enum FromWord(const std::array<std::string_view, kCount>& words,
              const Value& value) {
  const auto* const found =
      std::ranges::find(words, std::get<std::string>(value));
  return static_cast<Enum>(found - words.begin());
}

// The section [document] holds nothing but the version of the format.
struct Header {};

template <std::size_t kCount>
ChoiceRule MakeChoice(const std::array<std::string_view, kCount>& words) {
  return {{words.begin(), words.end()}};
}

// Reads a route before the default of its class is known.
struct RouteDraft {
  Route route;
  std::optional<bool> is_repeatable;
};

std::span<const Field<Header>> HeaderFields() {
  static const std::vector<Field<Header>> fields = {
      {{"document", "format", IntegerRule{1, 1}, "version of the format"},
       [](Header& /*header*/, const Value& /*value*/) {}},
  };
  return fields;
}

std::span<const Field<RouteDraft>> RouteFields() {
  static const std::vector<Field<RouteDraft>> fields = {
      {{"route", "service", NameRule{}, "service that runs the requests"},
       Assign<&RouteDraft::route, &Route::service>::To},
      {{"route", "path", PathRule{}, "prefix of the path of the requests"},
       Assign<&RouteDraft::route, &Route::path>::To},
      {{"route", "methods", MethodsRule{}, "methods of the requests"},
       Assign<&RouteDraft::route, &Route::methods>::To},
      {{"route", "class", MakeChoice(kRouteClassWords), "what the requests do"},
       [](RouteDraft& draft, const Value& value) {
         draft.route.route_class =
             FromWord<RouteClass>(kRouteClassWords, value);
       }},
      {{"route", "repeatable", BooleanRule{},
        "whether a request may run more than once", std::nullopt,
        "true for lookup, otherwise false"},
       [](RouteDraft& draft, const Value& value) {
         draft.is_repeatable = std::get<bool>(value);
       }},
      {{"route", "timeout", DurationRule{milliseconds(1), kMaximumTimeout},
        "time limit of a request whose caller gives no deadline", std::nullopt,
        "default-timeout of the node"},
       [](RouteDraft& draft, const Value& value) {
         draft.route.timeout = std::get<Duration>(value);
       }},
  };
  return fields;
}

std::span<const Field<Job>> JobFields() {
  static const std::vector<Field<Job>> fields = {
      {{"job", "route", NameRule{}, "route that the job calls"},
       Assign<&Job::route>::To},
      {{"job", "every", DurationRule{seconds(1), kMaximumInterval, seconds(1)},
        "time between due times"},
       Assign<&Job::every>::To},
      {{"job", "offset",
        DurationRule{seconds(0), kMaximumInterval - seconds(1), seconds(1)},
        "shift of the due times, less than every", "0s"},
       Assign<&Job::offset>::To},
      {{"job", "missed", MakeChoice(kMissedWords),
        "treatment of due times that passed without a run", "skip"},
       [](Job& job, const Value& value) {
         job.missed = FromWord<Missed>(kMissedWords, value);
       }},
  };
  return fields;
}

// An item and the section that it was read from.
template <typename Item>
struct Located {
  Item item;
  const IniSection* section;
};

// Returns the line of `key`, or of the section if the key is missing.
std::size_t LineOf(const IniSection& section, std::string_view key) {
  const auto entry = std::ranges::find(section.entries, key, &IniEntry::key);
  return entry == section.entries.end() ? section.line : entry->line;
}

// Reads the sections of one text and checks them against each other.
class DocumentReader {
 public:
  explicit DocumentReader(DiagnosticList& diagnostics)
      : diagnostics_(diagnostics) {}

  void Read(std::span<const IniSection> sections) {
    for (const IniSection& section : sections) ReadSection(section);
    if (!has_header_) {
      diagnostics_.Add(1, "document",
                       "section is missing, required is [document] with "
                       "format = 1");
    }
    CheckCount("service", services_.size(), kMaximumServices);
    CheckCount("route", routes_.size(), kMaximumRoutes);
    CheckCount("job", jobs_.size(), kMaximumJobs);
    CheckServices();
    CheckOverlaps();
    CheckJobs();
  }

  std::vector<Service> TakeServices() { return Take(services_); }
  std::vector<Route> TakeRoutes() { return Take(routes_); }
  std::vector<Job> TakeJobs() { return Take(jobs_); }

 private:
  void ReadSection(const IniSection& section) {
    if (section.kind == "document" && section.name.empty()) {
      has_header_ = true;
      Header header;
      ReadFields(HeaderFields(), section, header, diagnostics_);
    } else if (section.kind == "service") {
      ReadService(section);
    } else if (section.kind == "route") {
      ReadRoute(section);
    } else if (section.kind == "job") {
      ReadJob(section);
    } else {
      diagnostics_.Add(section.line, section.title(),
                       "unknown section, allowed are [document], [service "
                       "NAME], [route NAME] and [job NAME]");
    }
  }

  void CheckName(const IniSection& section) {
    if (IsName(section.name)) return;
    diagnostics_.Add(section.line, section.title(),
                     "wrong name, allowed is " + Describe(NameRule{}));
  }

  void ReadService(const IniSection& section) {
    CheckName(section);
    Service service{section.name};
    ReadFields(std::span<const Field<Service>>(), section, service,
               diagnostics_);
    Store(std::move(service), section, services_);
  }

  void ReadRoute(const IniSection& section) {
    CheckName(section);
    RouteDraft draft;
    draft.route.name = section.name;
    ReadFields(RouteFields(), section, draft, diagnostics_);
    draft.route.is_repeatable = draft.is_repeatable.value_or(
        draft.route.route_class == RouteClass::kLookup);
    Store(std::move(draft.route), section, routes_);
  }

  void ReadJob(const IniSection& section) {
    CheckName(section);
    Job job;
    job.name = section.name;
    ReadFields(JobFields(), section, job, diagnostics_);
    if (job.every > Duration(0) && job.offset >= job.every) {
      diagnostics_.Add(LineOf(section, "offset"), "offset",
                       FormatDuration(job.offset) +
                           " is not allowed, allowed is less than every = " +
                           FormatDuration(job.every));
    }
    Store(std::move(job), section, jobs_);
  }

  template <typename Item>
  static void Store(Item item, const IniSection& section,
                    std::vector<Located<Item>>& items) {
    if (!section.is_duplicate) items.push_back({std::move(item), &section});
  }

  void CheckCount(std::string_view kind, std::size_t count,
                  std::size_t maximum) {
    if (count <= maximum) return;
    diagnostics_.Add(1, kind,
                     std::to_string(count) + " sections, at most " +
                         std::to_string(maximum) + " are allowed");
  }

  // A value that was refused already is not reported a second time.
  void CheckServices() {
    absl::flat_hash_set<std::string_view> names;
    for (const auto& [service, section] : services_) names.insert(service.name);
    for (const auto& [route, section] : routes_) {
      if (route.service.empty() || names.contains(route.service)) continue;
      diagnostics_.Add(LineOf(*section, "service"), "service",
                       "there is no service '" + route.service +
                           "', allowed is the name of a [service NAME] of "
                           "this document");
    }
  }

  void CheckJobs() {
    absl::flat_hash_set<std::string_view> names;
    for (const auto& [route, section] : routes_) names.insert(route.name);
    for (const auto& [job, section] : jobs_) {
      if (job.route.empty() || names.contains(job.route)) continue;
      diagnostics_.Add(LineOf(*section, "route"), "route",
                       "there is no route '" + job.route +
                           "', allowed is the name of a [route NAME] of this "
                           "document");
    }
  }

  // Two routes with the same path and method would make the choice depend on
  // the order of the document.
  void CheckOverlaps() {
    absl::flat_hash_map<std::string, std::string_view> owners;
    for (const auto& [route, section] : routes_) {
      if (route.path.empty()) continue;
      for (const Method method : route.methods) {
        const auto [owner, is_new] = owners.try_emplace(
            std::string(ToString(method)) + " " + route.path, route.name);
        if (is_new) continue;
        diagnostics_.Add(LineOf(*section, "path"), "path",
                         "route '" + std::string(owner->second) + "' has " +
                             owner->first +
                             " too, allowed is one route for a path and "
                             "method");
      }
    }
  }

  template <typename Item>
  static std::vector<Item> Take(std::vector<Located<Item>>& located) {
    std::vector<Item> items;
    items.reserve(located.size());
    for (auto& [item, section] : located) items.push_back(std::move(item));
    std::ranges::sort(items, {}, &Item::name);
    return items;
  }

  DiagnosticList& diagnostics_;
  bool has_header_ = false;
  std::vector<Located<Service>> services_;
  std::vector<Located<Route>> routes_;
  std::vector<Located<Job>> jobs_;
};

void AppendRoute(const Route& route, std::string& text) {
  text += "\n[route " + route.name + "]\nservice = " + route.service +
          "\npath = " + route.path + "\nmethods = " + ToString(route.methods) +
          "\nclass = " + std::string(ToString(route.route_class)) +
          "\nrepeatable = " + (route.is_repeatable ? "true" : "false") + "\n";
  if (route.timeout) {
    text += "timeout = " + FormatDuration(*route.timeout) + "\n";
  }
}

void AppendJob(const Job& job, std::string& text) {
  text += "\n[job " + job.name + "]\nroute = " + job.route +
          "\nevery = " + FormatDuration(job.every) +
          "\noffset = " + FormatDuration(job.offset) +
          "\nmissed = " + std::string(ToString(job.missed)) + "\n";
}

}  // namespace

std::string_view ToString(RouteClass route_class) {
  return kRouteClassWords[static_cast<std::size_t>(route_class)];
}

std::string_view ToString(Missed missed) {
  return kMissedWords[static_cast<std::size_t>(missed)];
}

Checked<Document> Document::Parse(std::string_view text,
                                  std::string_view file_name) {
  DiagnosticList diagnostics(file_name);
  const std::vector<IniSection> sections = ReadIni(text, diagnostics);
  DocumentReader reader(diagnostics);
  // Text that is too long is not read at all; its one error suffices.
  if (text.size() <= kMaximumTextBytes) reader.Read(sections);
  if (!diagnostics.is_empty()) return diagnostics.Take();
  Document document;
  document.services_ = reader.TakeServices();
  document.routes_ = reader.TakeRoutes();
  document.jobs_ = reader.TakeJobs();
  return document;
}

std::string Document::DescribeKeys() {
  return DescribeFields(HeaderFields()) + "\n" + DescribeFields(RouteFields()) +
         "\n" + DescribeFields(JobFields());
}

std::string Document::ToText() const {
  std::string text = "[document]\nformat = 1\n";
  for (const Service& service : services_) {
    text += "\n[service " + service.name + "]\n";
  }
  for (const Route& route : routes_) AppendRoute(route, text);
  for (const Job& job : jobs_) AppendJob(job, text);
  return text;
}

}  // namespace oleandertide::config
