// The users' metadata store, in memory.

#ifndef OLEANDERTIDE_TESTS_SIDECAR_FAKE_STORE_H_
#define OLEANDERTIDE_TESTS_SIDECAR_FAKE_STORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/address.h"
#include "sidecar/event_loop.h"
#include "sidecar/http_server.h"
#include "sidecar/timer.h"

namespace oleandertide::sidecar {

// Keeps rows of tables and their history, lets calls wait for changes and
// misbehaves on request. Not thread-safe.
class FakeStore {
 public:
  explicit FakeStore(EventLoop& loop);
  ~FakeStore();

  const Address& address() const { return address_; }

  // Writes a row as the operator does.
  void Put(const std::string& table, const std::string& key,
           const std::string& value);

  // Returns the value of a row; empty if there is none.
  std::string Get(const std::string& table, const std::string& key) const {
    const auto rows = tables_.find(table);
    if (rows == tables_.end()) return {};
    const auto row = rows->second.find(key);
    return row == rows->second.end() ? std::string() : row->second.value;
  }
  // Value of a row; empty if there is none.
  std::string Find(const std::string& table, const std::string& key) const;

  // Removes a row as the operator does.
  void Remove(const std::string& table, const std::string& key);

  // Answers every call with this status from now on; 0 ends that.
  void set_failure(int status) { failure_ = status; }
  // Performs writes and does not answer them.
  void set_loses_answers(bool loses) { loses_answers_ = loses; }
  // Answers calls that wait for changes as if there were none.
  void set_hides_changes(bool hides) { hides_changes_ = hides; }
  // Tells at most this many rows in an answer.
  void set_rows_per_answer(std::size_t rows) { rows_per_answer_ = rows; }
  // Forgets all changes up to now.
  void ForgetHistory() { forgotten_ = version_; }

  // What the store has at a moment.
  struct Copy;
  std::shared_ptr<const Copy> MakeCopy() const;
  // Returns from a copy: what was written since is gone, versions are given out
  // again, and a new era begins.
  void ReturnFrom(const Copy& copy);

  int calls() const { return calls_; }
  // Calls that read the rows of a table, not those that wait for changes.
  int reads(const std::string& table) const {
    const auto found = reads_.find(table);
    return found == reads_.end() ? 0 : found->second;
  }
  int writes() const { return writes_; }

 private:
  struct Row {
    std::string value;
    std::uint64_t version;
    bool is_deleted = false;
  };
  struct Waiter {
    std::string table;
    std::uint64_t after;
    HttpReply reply;
    std::shared_ptr<Timer> timer;
  };

  void Handle(const HttpRequest& request, HttpReply reply);
  void HandleGet(const std::string& table, const std::string& from,
                 HttpReply reply);
  void HandleFeed(const std::string& table, std::uint64_t after,
                  std::int64_t wait_ms, HttpReply reply);
  void HandleTransaction(const std::string& body, HttpReply reply);
  std::string Changes(const std::string& table, std::uint64_t after) const;
  bool HasChanges(const std::string& table, std::uint64_t after) const;
  void WakeWaiters();
  // Sends an answer with the era.
  void Send(HttpReply& reply, HttpAnswer answer) const;

  EventLoop& loop_;
  Address address_;
  std::unique_ptr<HttpServer> server_;
  std::map<std::string, std::map<std::string, Row>> tables_;
  std::vector<std::shared_ptr<Waiter>> waiters_;
  std::uint64_t version_ = 1;
  std::uint64_t era_ = 1;
  std::uint64_t forgotten_ = 0;
  std::map<std::string, int> reads_;
  std::size_t rows_per_answer_ = 500;
  int failure_ = 0;
  bool loses_answers_ = false;
  bool hides_changes_ = false;
  int calls_ = 0;
  int writes_ = 0;
};

struct FakeStore::Copy {
  std::map<std::string, std::map<std::string, Row>> tables;
  std::uint64_t version = 0;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_TESTS_SIDECAR_FAKE_STORE_H_
