#include "routing/trace.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace oleandertide::routing {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kFormat = "oleandertide-routing-trace";
constexpr int kVersion = 1;
constexpr std::int64_t kMaximumCount = 1'000'000;
constexpr std::int64_t kMaximumMilliseconds = 24LL * 3600 * 1000;

// Reads fields of one object and keeps the first problem. Values after a
// problem are defaults, so callers check ok() once at the end.
class Fields {
 public:
  explicit Fields(const Json& object) : object_(object) {}

  std::string Text(const char* name) {
    const Json* value = Find(name);
    if (value == nullptr) return {};
    if (!value->is_string()) return Fail(name, "must be a string"), "";
    return value->get<std::string>();
  }

  std::int64_t Whole(const char* name, std::int64_t low, std::int64_t high,
                     std::optional<std::int64_t> fallback = std::nullopt) {
    if (fallback.has_value() && !object_.contains(name)) return *fallback;
    const Json* value = Find(name);
    if (value == nullptr) return low;
    const bool is_valid = value->is_number_integer() &&
                          value->get<std::int64_t>() >= low &&
                          value->get<std::int64_t>() <= high;
    if (!is_valid) {
      Fail(name, "must be a whole number from " + std::to_string(low) + " to " +
                     std::to_string(high));
      return low;
    }
    return value->get<std::int64_t>();
  }

  double Factor(const char* name) {
    const Json* value = Find(name);
    if (value == nullptr) return 1;
    if (!value->is_number() || value->get<double>() < 1) {
      Fail(name, "must be a number of at least 1");
      return 1;
    }
    return value->get<double>();
  }

  bool Flag(const char* name) {
    if (!object_.contains(name)) return false;
    const Json& value = object_.at(name);
    if (!value.is_boolean()) return Fail(name, "must be true or false"), false;
    return value.get<bool>();
  }

  Duration Milliseconds(const char* name) {
    return std::chrono::milliseconds(Whole(name, 0, kMaximumMilliseconds));
  }

  Duration Microseconds(const char* name, std::int64_t low) {
    return Duration(Whole(name, low, kMaximumMilliseconds * 1000));
  }

  const Json* List(const char* name) {
    const Json* value = Find(name);
    if (value == nullptr) return nullptr;
    if (value->is_array() && !value->empty()) return value;
    Fail(name, "must be a list with at least one item");
    return nullptr;
  }

  void Fail(std::string_view name, std::string_view problem) {
    if (!problem_.empty()) return;
    problem_ = "field \"" + std::string(name) + "\" " + std::string(problem);
  }

  bool ok() const { return problem_.empty(); }
  const std::string& problem() const { return problem_; }

 private:
  const Json* Find(const char* name) {
    const auto found = object_.find(name);
    if (found == object_.end()) return Fail(name, "is missing"), nullptr;
    return &*found;
  }

  const Json& object_;
  std::string problem_;
};

TraceService ReadService(Fields& fields) {
  TraceService service;
  service.name = fields.Text("name");
  service.backend_servers =
      static_cast<int>(fields.Whole("backend_servers", 1, 10'000));
  service.slots = static_cast<int>(fields.Whole("slots", 1, 10'000));
  service.connections =
      static_cast<int>(fields.Whole("connections", 1, 100'000));
  service.service_time = fields.Microseconds("service_time_us", 1);
  return service;
}

TraceHeader ReadHeader(Fields& fields) {
  TraceHeader header;
  if (fields.Text("format") != kFormat) {
    fields.Fail("format", "must be \"" + std::string(kFormat) + "\"");
  }
  fields.Whole("version", kVersion, kVersion);
  header.seed = static_cast<std::uint64_t>(
      fields.Whole("seed", 0, std::numeric_limits<std::int64_t>::max()));
  header.latency_between_data_centres =
      fields.Microseconds("latency_between_data_centres_us", 0);
  header.latency_to_callers = fields.Microseconds("latency_to_callers_us", 0);
  header.cold_factor = fields.Factor("cold_factor");
  if (const Json* list = fields.List("data_centres")) {
    for (const Json& item : *list) {
      if (!item.is_string()) {
        fields.Fail("data_centres", "must be strings");
        break;
      }
      header.data_centres.push_back(item.get<std::string>());
    }
  }
  if (const Json* list = fields.List("services")) {
    for (const Json& item : *list) {
      Fields service(item);
      header.services.push_back(ReadService(service));
      if (!service.ok()) fields.Fail("services", "has: " + service.problem());
    }
  }
  return header;
}

bool IsService(const TraceHeader& header, std::string_view name) {
  return std::ranges::find(header.services, name, &TraceService::name) !=
         header.services.end();
}

bool IsBackendServer(const TraceHeader& header, std::string_view name) {
  const std::size_t slash = name.rfind('/');
  if (slash == std::string_view::npos) return false;
  const auto service = std::ranges::find(header.services, name.substr(0, slash),
                                         &TraceService::name);
  if (service == header.services.end()) return false;
  const std::string_view digits = name.substr(slash + 1);
  int number = -1;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), number);
  return error == std::errc() && end == digits.data() + digits.size() &&
         number >= 0 && number < service->backend_servers;
}

TraceArrivals ReadArrivals(Fields& fields, const TraceHeader& header) {
  TraceArrivals arrivals;
  arrivals.service = fields.Text("service");
  if (!IsService(header, arrivals.service)) {
    fields.Fail("service", "names no service of the header");
  }
  arrivals.route = fields.Text("route");
  const auto request_class = FindRequestClass(fields.Text("class"));
  if (!request_class.has_value()) fields.Fail("class", "names no class");
  arrivals.request_class = request_class.value_or(RequestClass::kLookup);
  arrivals.count = static_cast<int>(fields.Whole("count", 1, kMaximumCount));
  arrivals.over = std::chrono::milliseconds(
      fields.Whole("over_ms", 0, kMaximumMilliseconds, 0));
  arrivals.deadline = fields.Milliseconds("deadline_ms");
  arrivals.is_repeatable = fields.Flag("repeatable");
  arrivals.is_crashing = fields.Flag("crashing");
  arrivals.caller_attempts =
      static_cast<int>(fields.Whole("caller_attempts", 1, 100, 1));
  return arrivals;
}

std::string ReadBackendServer(Fields& fields, const TraceHeader& header) {
  std::string name = fields.Text("backend_server");
  if (!IsBackendServer(header, name)) {
    fields.Fail("backend_server", "names no backend server of the header");
  }
  return name;
}

TraceEvent ReadEvent(Fields& fields, const TraceHeader& header) {
  TraceEvent event;
  event.at = fields.Milliseconds("at_ms");
  const std::string kind = fields.Text("event");
  if (kind == "arrivals") {
    event.what = ReadArrivals(fields, header);
  } else if (kind == "death") {
    event.what = TraceDeath{ReadBackendServer(fields, header)};
  } else if (kind == "restart") {
    event.what = TraceRestart{ReadBackendServer(fields, header)};
  } else if (kind == "drain") {
    event.what = TraceDrain{ReadBackendServer(fields, header)};
  } else if (kind == "slow") {
    event.what =
        TraceSlow{ReadBackendServer(fields, header), fields.Factor("factor")};
  } else if (kind == "promotion") {
    event.what = TracePromotion{fields.Text("retired_route"),
                                fields.Milliseconds("within_ms")};
  } else {
    fields.Fail("event", "is no known kind of event");
  }
  return event;
}

// Writes the part of an event that depends on its kind.
struct EventWriter {
  Json& json;

  void operator()(const TraceArrivals& arrivals) const {
    json["event"] = "arrivals";
    json["service"] = arrivals.service;
    json["route"] = arrivals.route;
    json["class"] = RequestClassName(arrivals.request_class);
    json["count"] = arrivals.count;
    json["over_ms"] = ToMilliseconds(arrivals.over);
    json["deadline_ms"] = ToMilliseconds(arrivals.deadline);
    if (arrivals.is_repeatable) json["repeatable"] = true;
    if (arrivals.is_crashing) json["crashing"] = true;
    if (arrivals.caller_attempts != 1) {
      json["caller_attempts"] = arrivals.caller_attempts;
    }
  }
  void operator()(const TraceDeath& death) const {
    WriteBackendServer("death", death.backend_server);
  }
  void operator()(const TraceRestart& restart) const {
    WriteBackendServer("restart", restart.backend_server);
  }
  void operator()(const TraceDrain& drain) const {
    WriteBackendServer("drain", drain.backend_server);
  }
  void operator()(const TraceSlow& slow) const {
    WriteBackendServer("slow", slow.backend_server);
    json["factor"] = slow.factor;
  }
  void operator()(const TracePromotion& promotion) const {
    json["event"] = "promotion";
    json["retired_route"] = promotion.retired_route;
    json["within_ms"] = ToMilliseconds(promotion.within);
  }

  void WriteBackendServer(std::string_view kind, std::string_view name) const {
    json["event"] = kind;
    json["backend_server"] = name;
  }
};

}  // namespace

std::variant<Trace, TraceProblem> ReadTrace(std::istream& input,
                                            std::string_view name) {
  Trace trace;
  bool has_header = false;
  std::string line;
  int number = 0;
  const auto problem = [&](std::string_view text) {
    return TraceProblem{std::string(name) + ":" + std::to_string(number) +
                        ": " + std::string(text)};
  };
  while (std::getline(input, line)) {
    ++number;
    if (line.empty() || line[0] == '#') continue;
    const Json object = Json::parse(line, nullptr, false);
    if (!object.is_object()) return problem("not a JSON object");
    Fields fields(object);
    if (!has_header) {
      trace.header = ReadHeader(fields);
      has_header = true;
    } else {
      TraceEvent event = ReadEvent(fields, trace.header);
      if (!trace.events.empty() && event.at < trace.events.back().at) {
        fields.Fail("at_ms", "is before the event above");
      }
      trace.events.push_back(std::move(event));
    }
    if (!fields.ok()) return problem(fields.problem());
  }
  if (input.bad()) return problem("cannot be read");
  if (!has_header) return problem("has no header");
  return trace;
}

void WriteTrace(const Trace& trace, std::ostream& output) {
  const TraceHeader& header = trace.header;
  Json json = {{"format", kFormat},
               {"version", kVersion},
               {"seed", header.seed},
               {"data_centres", header.data_centres},
               {"latency_between_data_centres_us",
                header.latency_between_data_centres.count()},
               {"latency_to_callers_us", header.latency_to_callers.count()},
               {"cold_factor", header.cold_factor},
               {"services", Json::array()}};
  for (const TraceService& service : header.services) {
    json["services"].push_back(
        {{"name", service.name},
         {"backend_servers", service.backend_servers},
         {"slots", service.slots},
         {"connections", service.connections},
         {"service_time_us", service.service_time.count()}});
  }
  output << json.dump() << '\n';
  for (const TraceEvent& event : trace.events) {
    Json line = {{"at_ms", ToMilliseconds(event.at)}};
    std::visit(EventWriter{line}, event.what);
    output << line.dump() << '\n';
  }
}

}  // namespace oleandertide::routing
