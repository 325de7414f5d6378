#include "backend_servers/announcement.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "core/json.h"

namespace oleandertide::backend_servers {
namespace {

constexpr std::int64_t kMaximumSlots = 10'000;
constexpr std::int64_t kMaximumConnections = 100'000;
constexpr std::size_t kMaximumNameBytes = 64;

// Collects the first error while fields are read.
class FieldReader {
 public:
  FieldReader(const nlohmann::json& object, std::string* explanation)
      : object_(object), explanation_(explanation) {}

  std::string Text(const char* name, bool is_required) {
    const auto found = object_.find(name);
    if (found == object_.end()) {
      if (is_required) Fail(name, "is missing");
      return {};
    }
    if (!found->is_string() ||
        found->get_ref<const std::string&>().size() > kMaximumNameBytes) {
      Fail(name, "must be a string of at most 64 bytes");
      return {};
    }
    return found->get<std::string>();
  }

  int Number(const char* name, std::int64_t low, std::int64_t high) {
    const auto number = ReadInteger(object_, name, low, high);
    if (!number) {
      Fail(name, "must be an integer from " + std::to_string(low) + " to " +
                     std::to_string(high));
      return 0;
    }
    return static_cast<int>(number.value());
  }

  bool Flag(const char* name) {
    const auto found = object_.find(name);
    if (found == object_.end()) return false;
    if (!found->is_boolean()) Fail(name, "must be true or false");
    return found->is_boolean() && found->get<bool>();
  }

  void Fail(const char* name, const std::string& problem) {
    if (has_failed_) return;
    has_failed_ = true;
    *explanation_ = std::string(name) + " " + problem;
  }

  bool has_failed() const { return has_failed_; }

 private:
  const nlohmann::json& object_;
  std::string* explanation_;
  bool has_failed_ = false;
};

}  // namespace

Result<Announcement> Announcement::Parse(std::string_view json,
                                         std::string* explanation) {
  const auto object = ParseJson(json);
  if (!object || !object->is_object()) {
    *explanation = "the body must be a JSON object";
    return Error::kInvalidArgument;
  }
  FieldReader fields(*object, explanation);
  Announcement announcement;
  announcement.service = fields.Text("service", true);
  const auto address = Address::Parse(fields.Text("address", true));
  if (address) {
    announcement.address = address.value();
  } else {
    fields.Fail("address", "must be IP:port");
  }
  announcement.slots = fields.Number("slots", 1, kMaximumSlots);
  announcement.connections = fields.Number(
      "connections", std::max(announcement.slots, 1), kMaximumConnections);
  announcement.is_leaving = fields.Flag("leaving");
  announcement.life = fields.Text("life", false);
  if (fields.has_failed()) return Error::kInvalidArgument;
  return announcement;
}

}  // namespace oleandertide::backend_servers
