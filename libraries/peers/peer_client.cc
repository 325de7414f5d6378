#include "peers/peer_client.h"

#include <capnp/rpc-twoparty.h>

#include <algorithm>
#include <map>
#include <utility>

#include "core/address.h"
#include "core/random.h"
#include "peers/codec.h"

namespace oleandertide::peers {
namespace {

kj::Duration ToKj(Duration duration) {
  return std::max<std::int64_t>(duration.count(), 1) * kj::MICROSECONDS;
}

calls::Refusal NotRun(routing::Reason reason) {
  return {reason, routing::Outcome::kNotRun};
}

calls::Refusal Unknown(routing::Reason reason) {
  return {reason, routing::Outcome::kUnknown};
}

// One established connection. Lives on the event loop.
struct Connection : kj::Refcounted {
  Connection(kj::Own<kj::AsyncIoStream> connected,
             capnp::ReaderOptions reader_options)
      : stream(kj::mv(connected)),
        network(*stream, capnp::rpc::twoparty::Side::CLIENT, reader_options),
        rpc(capnp::makeRpcClient(network)),
        peer(Bootstrap()) {}

  wire::Peer::Client Bootstrap() {
    capnp::word scratch[4] = {};
    capnp::MallocMessageBuilder message(scratch);
    auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpc.bootstrap(vat).castAs<wire::Peer>();
  }

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
  wire::Peer::Client peer;
};

// The connection to one address, established, being established or absent.
struct Endpoint {
  kj::Maybe<kj::Own<Connection>> connection;
  kj::Maybe<kj::ForkedPromise<void>> connecting;
  Duration next_delay{0};
  MonotonicTime not_before;
};

using StopFulfiller = kj::Own<kj::CrossThreadPromiseFulfiller<void>>;

struct FulfilOnStop {
  std::shared_ptr<StopFulfiller> fulfiller;
  void operator()() const { (*fulfiller)->fulfill(); }
};

using StopCallback = std::stop_callback<FulfilOnStop>;

// How far a call came, for the outcome when it fails.
struct CallProgress {
  bool was_sent = false;
};

}  // namespace

class PeerClient::Impl final : public kj::TaskSet::ErrorHandler {
 public:
  Impl(EventLoop& loop, PeerClientOptions options, std::uint64_t seed)
      : loop_(loop), options_(options), random_(seed) {
    loop_.executor().executeSync(
        [&] { tasks_ = kj::heap<kj::TaskSet>(*this); });
  }

  ~Impl() {
    loop_.executor().executeSync([&] {
      tasks_ = nullptr;
      endpoints_.clear();
    });
  }

  calls::CallResult Call(std::string_view peer,
                         const calls::ForwardedRequest& request,
                         std::stop_token cancelled) {
    CallProgress progress;
    calls::CallResult result = Unknown(routing::Reason::kConnectionLost);
    try {
      loop_.executor().executeSync([&] {
        return StartCall(peer, request, cancelled, progress, result);
      });
    } catch (const kj::Exception& exception) {
      result = Classify(exception, progress);
    }
    return result;
  }

  // Runs `use` with a connection to `peer`; on the event loop only.
  template <typename Use>
  auto WithConnection(std::string_view peer, Use use) {
    return Connect(std::string(peer))
        .then([use = kj::mv(use)](kj::Own<Connection>&& connection) mutable {
          auto promise = use(connection->peer);
          return promise.attach(kj::mv(connection));
        });
  }

  // As WithConnection, within the control timeout.
  template <typename Use>
  auto WithControlTimeout(std::string_view peer, Use use) {
    return loop_.timer().timeoutAfter(ToKj(options_.control_timeout),
                                      WithConnection(peer, kj::mv(use)));
  }

  template <typename Start>
  void Spawn(Start start) {
    loop_.executor().executeSync([&] { tasks_->add(start()); });
  }

  EventLoop& loop() { return loop_; }
  const PeerClientOptions& options() const { return options_; }

  Traffic traffic() {
    return loop_.executor().executeSync([&] {
      Traffic total;
      for (auto& [name, endpoint] : endpoints_) {
        KJ_IF_MAYBE (connection, endpoint.connection) {
          total += ReadTraffic(*(*connection)->stream);
        }
      }
      return total;
    });
  }

 private:
  kj::Promise<void> StartCall(std::string_view peer,
                              const calls::ForwardedRequest& request,
                              std::stop_token cancelled, CallProgress& progress,
                              calls::CallResult& result) {
    const Duration remaining = request.request.deadline - MonotonicClock::now();
    auto answered = WithConnection(peer, [&](wire::Peer::Client& client) {
      auto message = client.callRequest();
      Encode(request, MonotonicClock::now(), message.initRequest());
      progress.was_sent = true;
      return message.send().then([&](auto&& response) {
        result = DecodeAnswer(request.id, response.getResponse());
      });
    });
    auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
    auto callback = kj::heap<StopCallback>(
        cancelled,
        FulfilOnStop{std::make_shared<StopFulfiller>(kj::mv(stop.fulfiller))});
    auto stopped = stop.promise.then([&] {
      result = progress.was_sent ? Unknown(routing::Reason::kCallerGone)
                                 : NotRun(routing::Reason::kCallerGone);
    });
    return loop_.timer().timeoutAfter(
        ToKj(remaining),
        answered.exclusiveJoin(stopped.attach(kj::mv(callback))));
  }

  // An answer that names another request is dropped.
  static calls::CallResult DecodeAnswer(std::uint64_t id,
                                        wire::CallResponse::Reader reader) {
    if (reader.getId() != id) return Unknown(routing::Reason::kConnectionLost);
    auto decoded = Decode(reader);
    if (!decoded) return Unknown(routing::Reason::kConnectionLost);
    return std::move(decoded).value();
  }

  static calls::CallResult Classify(const kj::Exception& exception,
                                    const CallProgress& progress) {
    const bool is_timeout =
        exception.getType() == kj::Exception::Type::OVERLOADED;
    if (!progress.was_sent) {
      return NotRun(is_timeout ? routing::Reason::kDeadlinePassed
                               : routing::Reason::kConnectFailed);
    }
    return Unknown(is_timeout ? routing::Reason::kDeadlineInFlight
                              : routing::Reason::kConnectionLost);
  }

  kj::Promise<kj::Own<Connection>> Connect(std::string name) {
    Endpoint& endpoint = endpoints_[name];
    KJ_IF_MAYBE (connection, endpoint.connection) {
      return kj::addRef(**connection);
    }
    KJ_IF_MAYBE (connecting, endpoint.connecting) {
      return AfterConnecting(connecting->addBranch(), std::move(name));
    }
    if (MonotonicClock::now() < endpoint.not_before) {
      return KJ_EXCEPTION(DISCONNECTED, "waiting before the next attempt");
    }
    auto parsed = Address::Parse(name);
    if (!parsed) return KJ_EXCEPTION(DISCONNECTED, "not an address");

    auto fork = Establish(name, parsed.value()).fork();
    auto branch = fork.addBranch();
    endpoint.connecting = kj::mv(fork);
    return AfterConnecting(kj::mv(branch), std::move(name));
  }

  kj::Promise<kj::Own<Connection>> AfterConnecting(kj::Promise<void> connected,
                                                   std::string name) {
    return connected.then(
        [this, name = std::move(name)]() -> kj::Promise<kj::Own<Connection>> {
          const auto found = endpoints_.find(name);
          if (found != endpoints_.end()) {
            KJ_IF_MAYBE (connection, found->second.connection) {
              return kj::addRef(**connection);
            }
          }
          return KJ_EXCEPTION(DISCONNECTED, "connection failed");
        });
  }

  // Resolves once the endpoint has a connection or has noted the failure.
  kj::Promise<void> Establish(const std::string& name, const Address& address) {
    auto connected = loop_.provider()
                         .getNetwork()
                         .parseAddress(address.ip.c_str(), address.port)
                         .then([](kj::Own<kj::NetworkAddress>&& parsed) {
                           auto promise = parsed->connect();
                           return promise.attach(kj::mv(parsed));
                         });
    return loop_.timer()
        .timeoutAfter(ToKj(options_.connect_timeout), kj::mv(connected))
        .then(
            [this, name](kj::Own<kj::AsyncIoStream>&& stream) {
              Adopt(name, kj::mv(stream));
            },
            [this, name](kj::Exception&&) { NoteFailure(name); })
        .eagerlyEvaluate(nullptr);
  }

  void Adopt(const std::string& name, kj::Own<kj::AsyncIoStream> stream) {
    capnp::ReaderOptions reader_options;
    reader_options.traversalLimitInWords =
        options_.maximum_message_bytes / sizeof(capnp::word);
    auto connection =
        kj::refcounted<Connection>(kj::mv(stream), reader_options);
    tasks_->add(connection->network.onDisconnect()
                    .then([this, name, broken = connection.get()] {
                      Forget(name, broken);
                    })
                    .attach(kj::addRef(*connection)));
    Endpoint& endpoint = endpoints_[name];
    endpoint.connection = kj::mv(connection);
    endpoint.next_delay = Duration(0);
    DropConnecting(name);
  }

  void NoteFailure(const std::string& name) {
    Endpoint& endpoint = endpoints_[name];
    endpoint.next_delay =
        std::clamp(endpoint.next_delay * 2, options_.first_reconnect_delay,
                   options_.maximum_reconnect_delay);
    endpoint.not_before =
        MonotonicClock::now() +
        random_.Between(endpoint.next_delay / 2, endpoint.next_delay);
    DropConnecting(name);
  }

  // The fork runs the code that calls this, so it is destroyed afterwards.
  void DropConnecting(const std::string& name) {
    tasks_->add(kj::evalLater([this, name] {
      const auto found = endpoints_.find(name);
      if (found != endpoints_.end()) found->second.connecting = nullptr;
    }));
  }

  void Forget(const std::string& name, const Connection* broken) {
    const auto found = endpoints_.find(name);
    if (found == endpoints_.end()) return;
    KJ_IF_MAYBE (connection, found->second.connection) {
      if (connection->get() == broken) found->second.connection = nullptr;
    }
  }

  void taskFailed(kj::Exception&& /*exception*/) override {
    // Tasks report their failures themselves or need no report.
  }

  EventLoop& loop_;
  const PeerClientOptions options_;
  RandomSource random_;
  kj::Own<kj::TaskSet> tasks_;
  // FIXME: Drop the entries of members that are gone; replaced instances have
  // new addresses, so the map grows by one small entry for each.
  std::map<std::string, Endpoint, std::less<>> endpoints_;
};

PeerClient::PeerClient(EventLoop& loop, PeerClientOptions options,
                       std::uint64_t seed)
    : impl_(std::make_unique<Impl>(loop, options, seed)) {}

PeerClient::~PeerClient() = default;

calls::CallResult PeerClient::Call(std::string_view peer,
                                   const calls::ForwardedRequest& request,
                                   std::stop_token cancelled) {
  return impl_->Call(peer, request, std::move(cancelled));
}

void PeerClient::Exchange(std::string_view peer, const GossipRequest& request,
                          std::function<void(Result<GossipReply>)> done) {
  impl_->Spawn([&] {
    auto reply =
        impl_->WithControlTimeout(peer, [request](wire::Peer::Client& client) {
          auto message = client.exchangeRequest();
          Encode(request, message.initRequest());
          return message.send().then(
              [](auto&& response) { return DecodeReply(response.getReply()); });
        });
    return reply.then(
        [done](GossipReply&& decoded) { done(std::move(decoded)); },
        [done](kj::Exception&&) { done(Error::kUnavailable); });
  });
}

void PeerClient::Synchronise(
    std::string_view peer, const distribution::SyncRequest& request,
    std::function<void(Result<distribution::SyncReply>)> done) {
  impl_->Spawn([&] {
    auto reply =
        impl_->WithControlTimeout(peer, [request](wire::Peer::Client& client) {
          auto message = client.synchroniseRequest();
          Encode(request, message.initRequest());
          return message.send().then(
              [](auto&& response) { return Decode(response.getReply()); });
        });
    return reply.then(
        [done](distribution::SyncReply&& decoded) { done(std::move(decoded)); },
        [done](kj::Exception&&) { done(Error::kUnavailable); });
  });
}

Result<std::string> PeerClient::FetchDocument(
    std::string_view peer, const distribution::Version& version) {
  Result<std::string> result = Error::kNotFound;
  try {
    impl_->loop().executor().executeSync([&] {
      return impl_->WithControlTimeout(peer, [&](wire::Peer::Client& client) {
        auto request = client.fetchDocumentRequest();
        request.setSequence(version.sequence);
        request.setDigest(version.digest);
        return request.send().then([&](auto&& response) {
          const auto document = response.getDocument();
          if (!document.isBytes()) return;
          const auto bytes = document.getBytes();
          result = std::string(reinterpret_cast<const char*>(bytes.begin()),
                               bytes.size());
        });
      });
    });
  } catch (const kj::Exception&) {
    return Error::kUnavailable;
  }
  return result;
}

Result<idempotency::ClaimResult> PeerClient::Claim(
    std::string_view peer, const idempotency::ClaimRequest& request,
    Duration remaining) {
  bool was_sent = false;
  Result<idempotency::ClaimResult> result = Error::kOutcomeUnknown;
  try {
    impl_->loop().executor().executeSync([&] {
      auto claimed =
          impl_->WithConnection(peer, [&](wire::Peer::Client& client) {
            auto message = client.claimRequest();
            Encode(request, remaining, message.initRequest());
            was_sent = true;
            return message.send().then([&](auto&& response) {
              result = Decode(response.getResponse());
            });
          });
      return impl_->loop().timer().timeoutAfter(ToKj(remaining),
                                                kj::mv(claimed));
    });
  } catch (const kj::Exception&) {
    return was_sent ? Error::kOutcomeUnknown : Error::kUnavailable;
  }
  return result;
}

void PeerClient::Complete(std::string_view peer,
                          const idempotency::Completion& completion) {
  impl_->Spawn([&] {
    return impl_
        ->WithControlTimeout(peer,
                             [completion](wire::Peer::Client& client) {
                               auto request = client.completeRequest();
                               Encode(completion, request.initRequest());
                               return request.send().ignoreResult();
                             })
        .then([] {}, [](kj::Exception&&) {});
  });
}

void PeerClient::Release(std::string_view peer,
                         const idempotency::Release& release) {
  impl_->Spawn([&] {
    return impl_
        ->WithControlTimeout(peer,
                             [release](wire::Peer::Client& client) {
                               auto request = client.releaseRequest();
                               request.setKey(release.key);
                               request.setToken(release.token);
                               request.setClaimant(release.claimant);
                               return request.send().ignoreResult();
                             })
        .then([] {}, [](kj::Exception&&) {});
  });
}

Traffic PeerClient::traffic() { return impl_->traffic(); }

}  // namespace oleandertide::peers
