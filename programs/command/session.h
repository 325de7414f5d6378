// Settings and connection of one run of the command.

#ifndef OLEANDERTIDE_COMMAND_SESSION_H_
#define OLEANDERTIDE_COMMAND_SESSION_H_

#include <memory>
#include <string>
#include <variant>

#include "acceptance/acceptance.h"
#include "acceptance/waiter.h"
#include "command/report.h"
#include "config/command_settings.h"
#include "core/random.h"
#include "store/http_store.h"

namespace oleandertide::command {

// Not thread-safe.
class Session {
 public:
  // Reads the flags --settings, --platform and --operator. Returns the report
  // of what is wrong with them otherwise. Does not connect.
  static std::variant<std::unique_ptr<Session>, Report> Open();

  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // Name of the operator; empty if neither settings nor flags give one.
  const std::string& operator_name() const { return operator_name_; }
  acceptance::Acceptance& acceptance() { return acceptance_; }

 private:
  Session(const config::CommandSettings& settings,
          std::unique_ptr<store::HttpStore> store);

  const std::string operator_name_;
  std::unique_ptr<store::HttpStore> store_;
  acceptance::SystemWaiter waiter_;
  RandomSource random_;
  acceptance::Acceptance acceptance_;
};

// Reads a whole file of at most the size that config accepts, or returns the
// report of what is wrong.
std::variant<std::string, Report> ReadFile(const std::string& file);

}  // namespace oleandertide::command

#endif  // OLEANDERTIDE_COMMAND_SESSION_H_
