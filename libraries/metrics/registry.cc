#include "metrics/registry.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <limits>

namespace oleandertide::metrics {
namespace {

bool IsName(std::string_view name) {
  return !name.empty() && !(name[0] >= '0' && name[0] <= '9') &&
         std::ranges::all_of(name, [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_';
         });
}

[[noreturn]] void StopOnMisuse(std::string_view name) {
  std::fprintf(stderr,
               "metrics: '%.*s' is malformed or registered as another kind\n",
               static_cast<int>(name.size()), name.data());
  std::abort();
}

std::string FormatNumber(auto number) {
  std::array<char, 32> buffer{};
  const auto written =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
  return {buffer.data(), written.ptr};
}

std::string FormatNumber(double number) {
  if (number != number) return "NaN";
  if (number > std::numeric_limits<double>::max()) return "+Inf";
  if (number < std::numeric_limits<double>::lowest()) return "-Inf";
  return FormatNumber<double>(number);
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Escapes by the rules for help texts, and for label values if `is_quoted`.
std::string Escape(std::string_view text, bool is_quoted) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '\\' || (is_quoted && c == '"')) escaped += '\\';
    escaped += c;
  }
  return escaped;
}

std::string FormatLabel(std::string_view key, std::string_view value) {
  return std::string(key) + "=\"" + Escape(value, true) + "\"";
}

// Writes the samples of one family. Gauges that accompany a latency form
// families of their own, which must follow as a whole.
class FamilyWriter {
 public:
  FamilyWriter(std::string_view name, std::string_view help, MonotonicTime now)
      : name_(name), help_(help), now_(now) {}

  void Write(const std::optional<Label>& label, const Counter& counter) {
    SetKind("counter");
    AddSample(samples_, "", Join(label, ""), FormatNumber(counter.value()));
  }

  void Write(const std::optional<Label>& label, const Gauge& gauge) {
    SetKind("gauge");
    AddSample(samples_, "", Join(label, ""), FormatNumber(gauge.value()));
  }

  void Write(const std::optional<Label>& label,
             const LatencyAccumulator& latency) {
    SetKind("summary");
    const LatencySummary summary = latency.Summarize(now_);
    const auto recent = [&](Duration duration) {
      return FormatNumber(summary.recent_count > 0
                              ? ToSeconds(duration)
                              : std::numeric_limits<double>::quiet_NaN());
    };
    const std::string labels = Join(label, "");
    AddSample(samples_, "", Join(label, FormatLabel("quantile", "0.5")),
              recent(summary.p50));
    AddSample(samples_, "", Join(label, FormatLabel("quantile", "0.99")),
              recent(summary.p99));
    AddSample(samples_, "_sum", labels, FormatNumber(ToSeconds(summary.sum)));
    AddSample(samples_, "_count", labels, FormatNumber(summary.count));
    AddSample(means_, "_mean", labels, recent(summary.mean));
    AddSample(maxima_, "_maximum", labels, recent(summary.maximum));
  }

  std::string Take() {
    std::string text = Header("", kind_) + samples_;
    if (!means_.empty()) text += Header("_mean", "gauge") + means_;
    if (!maxima_.empty()) text += Header("_maximum", "gauge") + maxima_;
    return text;
  }

 private:
  void SetKind(std::string_view kind) { kind_ = kind; }

  static std::string Join(const std::optional<Label>& label,
                          std::string_view more) {
    std::string joined;
    if (label) joined = FormatLabel(label->key, label->value);
    if (!joined.empty() && !more.empty()) joined += ',';
    return joined += more;
  }

  void AddSample(std::string& samples, std::string_view suffix,
                 std::string_view labels, std::string_view number) const {
    samples += name_;
    samples += suffix;
    if (!labels.empty()) {
      samples += '{';
      samples += labels;
      samples += '}';
    }
    samples += ' ';
    samples += number;
    samples += '\n';
  }

  std::string Header(std::string_view suffix, std::string_view kind) const {
    const std::string name = std::string(name_) + std::string(suffix);
    return "# HELP " + name + " " + Escape(help_, false) + "\n# TYPE " + name +
           " " + std::string(kind) + "\n";
  }

  std::string_view name_;
  std::string_view help_;
  MonotonicTime now_;
  std::string_view kind_;
  std::string samples_;
  std::string means_;
  std::string maxima_;
};

}  // namespace

template <typename T>
T& Registry::Register(std::string_view name, std::string_view help,
                      const std::optional<Label>& label) {
  if (!IsName(name) || (label && !IsName(label->key))) StopOnMisuse(name);
  const std::lock_guard lock(mutex_);
  const auto [family, is_new] =
      families_.try_emplace(std::string(name), Family{std::string(help), {}});
  auto& metrics = family->second.metrics;
  if (!is_new &&
      !std::holds_alternative<std::unique_ptr<T>>(metrics.begin()->second)) {
    StopOnMisuse(name);
  }
  const auto found = metrics.find(label);
  if (found != metrics.end())
    return *std::get<std::unique_ptr<T>>(found->second);
  auto metric = std::make_unique<T>();
  T& registered = *metric;
  metrics.emplace(label, std::move(metric));
  return registered;
}

Counter& Registry::RegisterCounter(std::string_view name, std::string_view help,
                                   const std::optional<Label>& label) {
  return Register<Counter>(name, help, label);
}

std::vector<Counter*> Registry::RegisterCounters(
    std::string_view name, std::string_view help, std::string_view label_key,
    std::span<const std::string_view> values) {
  std::vector<Counter*> counters;
  counters.reserve(values.size());
  for (const std::string_view value : values) {
    counters.push_back(&RegisterCounter(
        name, help, Label{std::string(label_key), std::string(value)}));
  }
  return counters;
}

Gauge& Registry::RegisterGauge(std::string_view name, std::string_view help,
                               const std::optional<Label>& label) {
  return Register<Gauge>(name, help, label);
}

LatencyAccumulator& Registry::RegisterLatency(
    std::string_view name, std::string_view help,
    const std::optional<Label>& label) {
  return Register<LatencyAccumulator>(name, help, label);
}

std::string Registry::ToPrometheusText(MonotonicTime now) const {
  const std::lock_guard lock(mutex_);
  std::string text;
  for (const auto& [name, family] : families_) {
    FamilyWriter writer(name, family.help, now);
    for (const auto& entry : family.metrics) {
      std::visit(
          [&](const auto& metric) { writer.Write(entry.first, *metric); },
          entry.second);
    }
    text += writer.Take();
  }
  return text;
}

}  // namespace oleandertide::metrics
