// Variables of the environment that settings are read from.

#ifndef OLEANDERTIDE_CONFIG_ENVIRONMENT_H_
#define OLEANDERTIDE_CONFIG_ENVIRONMENT_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace oleandertide::config {

// What the variables were when this was made: a process cannot be given others
// while it runs. Thread-safe.
class Environment {
 public:
  using Variables = std::map<std::string, std::string, std::less<>>;

  // Without variables.
  Environment() = default;
  explicit Environment(Variables variables)
      : variables_(std::move(variables)) {}

  // Returns the variables of this process whose names begin with
  // `OLEANDERTIDE_`. Precondition: no other thread changes the environment.
  static Environment OfProcess();

  // Returns the value of a variable; nothing if it is not set.
  std::optional<std::string_view> Find(std::string_view name) const;

 private:
  Variables variables_;
};

}  // namespace oleandertide::config

#endif  // OLEANDERTIDE_CONFIG_ENVIRONMENT_H_
