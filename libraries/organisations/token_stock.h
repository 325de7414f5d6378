// The node's side of the limits of organisations.

#ifndef OLEANDERTIDE_ORGANISATIONS_TOKEN_STOCK_H_
#define OLEANDERTIDE_ORGANISATIONS_TOKEN_STOCK_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/time.h"
#include "organisations/limit_messages.h"

namespace oleandertide::organisations {

// Admits requests of organisations with a limit against tokens that the
// coordinator granted. A request that finds no token waits for an answer of the
// coordinator. A node that gets no answer admits nothing once its tokens have
// expired, so a node that is cut off cannot exceed the limit.
//
// Load pattern: each node sees a few requests a second of most organisations,
// and many of one that exceeds its limit; the coordinator is away for seconds;
// answers are late, lost or meant for an earlier life of the process.
//
// Not thread-safe.
class TokenStock {
 public:
  struct Options {
    // Longest wait for the coordinator's answer. At most 0.1 s is allowed for
    // in the bound of TokenAllocator.
    Duration longest_wait = std::chrono::milliseconds(100);
    // An answer that takes longer is taken for lost.
    Duration answer_limit = std::chrono::milliseconds(40);
    // Tokens are asked for ahead for the demand of this time.
    Duration spare_time = std::chrono::milliseconds(100);
    // Longest time for which the node refuses without asking again.
    Duration longest_refusal = std::chrono::milliseconds(200);
    // Requests that wait at once, over all organisations. Further ones are
    // refused.
    std::size_t maximum_waiting = 1000;
    // A standing rate is renewed once it has less time left than this. Leases
    // of the coordinator last 3 s and are renewed each second.
    Duration renewal_limit = std::chrono::milliseconds(1700);
    // Standing rates are asked for at most this often.
    Duration standing_interval = std::chrono::milliseconds(300);
    // Organisations without requests are forgotten after this time.
    Duration idle_limit = std::chrono::seconds(10);
  };

  // Names a request that waits.
  using Ticket = std::uint64_t;

  struct Admitted {
    // Until then the token can be handed back.
    BootTime expires_at{};
  };
  struct OverLimit {
    Duration retry_after{};
  };
  // The coordinator does not answer.
  struct Unavailable {};
  struct Waiting {
    Ticket ticket = 0;
  };
  using Decision = std::variant<Admitted, OverLimit, Unavailable, Waiting>;

  // The decision on a request that has waited; never Waiting.
  struct Settled {
    Ticket ticket = 0;
    Decision decision;
  };

  // `first_sequence` must differ between lives of the process, so that no
  // answer to an earlier one is taken for one to this.
  TokenStock(const Options& options, std::uint64_t first_sequence)
      : options_(options), next_sequence_(first_sequence) {}

  // Decides on a request of an organisation with a limit.
  Decision Request(std::string_view organisation, BootTime now);

  // A request that waits is given up. Does nothing if it is settled.
  void Withdraw(Ticket ticket);

  // Takes back the token of a request that certainly did not run.
  void Refund(std::string_view organisation, BootTime expires_at, BootTime now);

  // Returns what to ask the coordinator now, if anything.
  std::optional<TokenRequest> TakeRequest(BootTime now);

  // The request could not be sent: it may be asked again.
  void OnNotSent(std::uint64_t sequence);

  // The coordinator answered. Returns the requests that this settles.
  std::vector<Settled> OnGrant(const TokenGrant& grant, BootTime now);

  // The limit of an organisation changed: the node gives up its standing rate.
  void EndStandingRate(std::string_view organisation);

  // Returns the requests that have waited too long. Also finds answers that
  // were lost; to be called every few milliseconds while requests wait.
  std::vector<Settled> Tick(BootTime now);

  bool has_to_ask() const { return !to_ask_.empty(); }
  std::size_t waiting_count() const { return tickets_.size(); }
  std::size_t organisation_count() const { return entries_.size(); }

 private:
  struct Lot {
    BootTime expires_at{};
    std::uint32_t count = 0;
  };

  struct Entry {
    // By time of expiry.
    std::deque<Lot> lots;
    // In the order of arrival.
    std::set<Ticket> waiting;
    // Tokens that were asked for and not answered, by time of the request.
    std::map<std::uint64_t, std::uint32_t> unanswered;
    // Requests a second, mean of about the last three seconds.
    double demand = 0;
    BootTime last_request{};
    // Until then the coordinator has no token.
    BootTime empty_until{};
    BootTime retry_at{};

    // Rate that the node may admit by itself, its end and its bucket.
    double standing_rate = 0;
    BootTime standing_until{};
    double standing_tokens = 0;
    BootTime standing_filled_at{};
    BootTime standing_asked_at{};

    bool TakeStanding(BootTime now);
    void FillStanding(BootTime now);
    std::uint32_t stock(BootTime now);
    std::optional<BootTime> Take(BootTime now);
    void Put(Lot lot);
    void CountRequest(BootTime now);
  };

  struct Sent {
    BootTime at{};
    std::vector<TokenRequest::Ask> asks;
  };

  struct Waiter {
    std::string organisation;
    BootTime since{};
  };

  // Whether to ask for a standing rate or its renewal.
  bool WantsStanding(const Entry& entry, BootTime now) const;
  std::uint32_t ChooseSpare(Entry& entry, BootTime now) const;
  void Forget(std::map<std::uint64_t, Sent>::iterator sent);
  void ForgetIdle(BootTime now);

  const Options options_;
  std::map<std::string, Entry, std::less<>> entries_;
  // In the order of arrival.
  std::map<Ticket, Waiter> tickets_;
  std::map<std::uint64_t, Sent> sent_;
  // Organisations whose tokens may have to be asked for.
  std::set<std::string, std::less<>> to_ask_;
  std::uint64_t next_sequence_;
  Ticket next_ticket_ = 1;
  BootTime swept_at_{};
};

}  // namespace oleandertide::organisations

#endif  // OLEANDERTIDE_ORGANISATIONS_TOKEN_STOCK_H_
