// g++ 12 reports a false positive inside kj::Maybe.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

#include "peers/peer_server.h"

#include <capnp/rpc-twoparty.h>

#include <set>
#include <utility>

#include "core/worker_pool.h"
#include "peers/codec.h"

namespace oleandertide::peers {
namespace {

constexpr std::size_t kMaximumQueuedTasks = 1000;

// Runs `work` on `pool` and resolves on the loop with its result. Rejects with
// OVERLOADED when the pool's queue is full.
template <typename T, typename Work>
kj::Promise<T> RunOn(WorkerPool& pool, Work work) {
  auto pair = kj::newPromiseAndCrossThreadFulfiller<T>();
  auto fulfiller =
      std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<T>>>(
          kj::mv(pair.fulfiller));
  const bool accepted =
      pool.Submit([fulfiller, work = std::move(work)]() mutable {
        (*fulfiller)->fulfill(work());
      });
  if (!accepted) return KJ_EXCEPTION(OVERLOADED, "worker queue is full");
  return kj::mv(pair.promise);
}

class PeerImpl final : public wire::Peer::Server {
 public:
  PeerImpl(Handlers& handlers, WorkerPool& calls, WorkerPool& control)
      : handlers_(handlers), calls_(calls), control_(control) {}

  kj::Promise<void> call(CallContext context) override {
    context.allowCancellation();
    auto decoded =
        Decode(context.getParams().getRequest(), MonotonicClock::now());
    context.releaseParams();
    if (!decoded) {
      return KJ_EXCEPTION(FAILED, "call request has values out of range");
    }
    auto request = std::make_shared<const calls::ForwardedRequest>(
        std::move(decoded).value());
    std::stop_source cancellation;
    const std::uint64_t id = request->id;
    return RunOn<calls::CallResult>(
               calls_,
               [this, request, cancelled = cancellation.get_token()] {
                 return handlers_.HandleCall(*request, cancelled);
               })
        .then([this, context, id](calls::CallResult&& result) mutable {
          auto response = context.getResults().initResponse();
          response.setId(id);
          response.setSequence(handlers_.active_sequence());
          Encode(result, response);
        })
        // Runs also when the ingress drops the call or its connection breaks.
        .attach(kj::defer(
            [cancellation]() mutable { cancellation.request_stop(); }));
  }

  kj::Promise<void> fetchDocument(FetchDocumentContext context) override {
    const auto params = context.getParams();
    return RunOn<std::optional<std::string>>(
               control_,
               [this, version = distribution::Version{params.getSequence(),
                                                      params.getDigest()}] {
                 return handlers_.HandleFetch(version);
               })
        .then([context](std::optional<std::string>&& bytes) mutable {
          auto document = context.getResults().initDocument();
          if (!bytes) return document.setAbsent();
          document.setBytes(kj::arrayPtr(
              reinterpret_cast<const kj::byte*>(bytes->data()), bytes->size()));
        });
  }

  kj::Promise<void> exchange(ExchangeContext context) override {
    return RunOn<GossipReply>(control_,
                              [this, request = DecodeRequest(
                                         context.getParams().getRequest())] {
                                return handlers_.HandleGossip(request);
                              })
        .then([context](GossipReply&& reply) mutable {
          Encode(reply, context.getResults().initReply());
        });
  }

  kj::Promise<void> synchronise(SynchroniseContext context) override {
    return RunOn<distribution::SyncReply>(
               control_,
               [this, request = Decode(context.getParams().getRequest())] {
                 return handlers_.HandleSyncRequest(request);
               })
        .then([context](distribution::SyncReply&& reply) mutable {
          Encode(reply, context.getResults().initReply());
        });
  }

  kj::Promise<void> claim(ClaimContext context) override {
    const auto reader = context.getParams().getRequest();
    const Duration remaining(
        static_cast<std::int64_t>(reader.getRemainingMicroseconds()));
    return RunOn<idempotency::ClaimResult>(
               calls_,
               [this, request = Decode(reader), remaining] {
                 return handlers_.HandleClaim(request, remaining);
               })
        .then([context](idempotency::ClaimResult&& result) mutable {
          Encode(result, context.getResults().initResponse());
        });
  }

  kj::Promise<void> complete(CompleteContext context) override {
    return RunOn<bool>(
               control_,
               [this, completion = Decode(context.getParams().getRequest())] {
                 handlers_.HandleCompletion(completion);
                 return true;
               })
        .ignoreResult();
  }

  kj::Promise<void> release(ReleaseContext context) override {
    const auto params = context.getParams();
    return RunOn<bool>(
               control_,
               [this, release = idempotency::Release{params.getKey(),
                                                     params.getToken(),
                                                     params.getClaimant()}] {
                 handlers_.HandleRelease(release);
                 return true;
               })
        .ignoreResult();
  }

 private:
  Handlers& handlers_;
  WorkerPool& calls_;
  WorkerPool& control_;
};

struct Connection {
  Connection(kj::Own<kj::AsyncIoStream> accepted,
             capnp::Capability::Client bootstrap,
             capnp::ReaderOptions reader_options)
      : stream(kj::mv(accepted)),
        network(*stream, capnp::rpc::twoparty::Side::SERVER, reader_options),
        rpc(capnp::makeRpcServer(network, kj::mv(bootstrap))) {}

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

}  // namespace

class PeerServer::Impl final : public kj::TaskSet::ErrorHandler {
 public:
  Impl(EventLoop& loop, Handlers& handlers, PeerServerOptions options)
      : loop_(loop),
        options_(options),
        calls_(options.call_threads, kMaximumQueuedTasks),
        control_(options.control_threads, kMaximumQueuedTasks),
        bootstrap_(nullptr) {
    loop_.executor().executeSync([&] {
      bootstrap_ = kj::heap<PeerImpl>(handlers, calls_, control_);
      tasks_ = kj::heap<kj::TaskSet>(*this);
    });
  }

  ~Impl() {
    loop_.executor().executeSync([&] {
      tasks_ = nullptr;
      receiver_ = nullptr;
      bootstrap_ = nullptr;
    });
    calls_.Stop();
    control_.Stop();
  }

  void Listen(const Address& address) {
    loop_.executor().executeSync([&] {
      return loop_.provider()
          .getNetwork()
          .parseAddress(address.ip.c_str(), address.port)
          .then([this](kj::Own<kj::NetworkAddress>&& parsed) {
            receiver_ = parsed->listen();
            port_ = static_cast<std::uint16_t>(receiver_->getPort());
            tasks_->add(AcceptConnections());
          });
    });
  }

  std::uint16_t port() const { return port_; }

  Traffic traffic() {
    return loop_.executor().executeSync([&] {
      Traffic total;
      for (Connection* connection : open_) {
        total += ReadTraffic(*connection->stream);
      }
      return total;
    });
  }

 private:
  kj::Promise<void> AcceptConnections() {
    return receiver_->accept().then(
        [this](kj::Own<kj::AsyncIoStream>&& stream) {
          if (open_.size() < options_.maximum_connections) {
            Serve(kj::mv(stream));
          }
          return AcceptConnections();
        });
  }

  void Serve(kj::Own<kj::AsyncIoStream> stream) {
    capnp::ReaderOptions reader_options;
    reader_options.traversalLimitInWords =
        options_.maximum_message_bytes / sizeof(capnp::word);
    auto connection =
        kj::heap<Connection>(kj::mv(stream), bootstrap_, reader_options);
    Connection* key = connection.get();
    open_.insert(key);
    auto closed = connection->network.onDisconnect();
    tasks_->add(closed.attach(kj::mv(connection),
                              kj::defer([this, key] { open_.erase(key); })));
  }

  void taskFailed(kj::Exception&& /*exception*/) override {
    // The connection that failed has been closed; its peer reconnects.
  }

  EventLoop& loop_;
  const PeerServerOptions options_;
  WorkerPool calls_;
  WorkerPool control_;
  capnp::Capability::Client bootstrap_;
  kj::Own<kj::ConnectionReceiver> receiver_;
  std::set<Connection*> open_;
  kj::Own<kj::TaskSet> tasks_;
  std::uint16_t port_ = 0;
};

PeerServer::PeerServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

PeerServer::~PeerServer() = default;

Result<std::unique_ptr<PeerServer>> PeerServer::Start(
    EventLoop& loop, Handlers& handlers, const Address& address,
    PeerServerOptions options) {
  auto impl = std::make_unique<Impl>(loop, handlers, options);
  try {
    impl->Listen(address);
  } catch (const kj::Exception&) {
    return Error::kUnavailable;
  }
  return std::unique_ptr<PeerServer>(new PeerServer(std::move(impl)));
}

Traffic PeerServer::traffic() { return impl_->traffic(); }

std::uint16_t PeerServer::port() const { return impl_->port(); }

}  // namespace oleandertide::peers
