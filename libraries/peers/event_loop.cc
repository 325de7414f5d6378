#include "peers/event_loop.h"

#include <future>

namespace oleandertide::peers {

EventLoop::EventLoop() {
  std::promise<void> started;
  thread_ = std::thread([this, &started] {
    auto io = kj::setupAsyncIo();
    provider_ = io.provider.get();
    executor_ = kj::getCurrentThreadExecutor().addRef();
    auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
    stop_ = kj::mv(stop.fulfiller);
    started.set_value();
    stop.promise.wait(io.waitScope);
  });
  started.get_future().wait();
}

EventLoop::~EventLoop() {
  stop_->fulfill();
  thread_.join();
}

}  // namespace oleandertide::peers
