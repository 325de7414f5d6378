// A connection between two nodes that carries frames both ways.

#ifndef OLEANDERTIDE_SIDECAR_FRAMED_CONNECTION_H_
#define OLEANDERTIDE_SIDECAR_FRAMED_CONNECTION_H_

#include <capnp/message.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/time.h"
#include "sidecar/byte_budget.h"
#include "sidecar/event_loop.h"
#include "sidecar/link.capnp.h"

namespace oleandertide::sidecar {

// Sends and receives frames as described in link.capnp. Frames that are sent in
// one turn of the loop share a write. Not thread-safe.
class FramedConnection : public std::enable_shared_from_this<FramedConnection> {
 public:
  // The frame and the body are valid for the call.
  using OnFrame =
      std::function<void(wire::Frame::Reader, std::string_view body)>;
  using OnClosed = std::function<void()>;

  explicit FramedConnection(Tcp::socket socket);

  // Starts to receive. Precondition: the socket is connected; called once.
  void Start(OnFrame on_frame, OnClosed on_closed);

  // Queues a frame. The message is written as it is now.
  void Send(capnp::MessageBuilder& message, std::string_view body = {});

  // Sets what to call with the number of bytes that each Send queues.
  void set_on_queued(std::function<void(std::size_t)> on_queued) {
    on_queued_ = std::move(on_queued);
  }

  // Sets whether small messages are packed: the other node must read that.
  void set_packs(bool packs) { packs_ = packs; }

  // Sets the size of the largest frame that is received.
  // Precondition: no larger one has begun.
  void set_max_frame_bytes(std::size_t bytes) { max_frame_bytes_ = bytes; }

  // Sets the account for the memory of large frames from now on; a frame for
  // which there is none closes the connection. The budget outlives the open
  // connection. Null: not in an account.
  void set_budget(ByteBudget* budget) { budget_ = budget; }

  // Larger than any configuration, request or answer that clients may send.
  static constexpr std::size_t kMaxFrameBytes = std::size_t{80} << 20U;

  // Closes the connection; on_closed is called once, also on failures.
  void Close();

  bool is_closed() const { return is_closed_; }

  // IP address of the other side, for log lines; empty if it has left.
  std::string RemoteAddress() const;

  // When bytes last arrived.
  MonotonicTime last_received() const { return last_received_; }

  // Total of bytes that were queued by Send, and of those that were handed to
  // the system: the others have certainly not been sent.
  std::uint64_t queued_bytes() const { return queued_bytes_; }
  std::uint64_t submitted_bytes() const { return submitted_bytes_; }

  // Bytes that the system has not taken yet.
  std::size_t unsent_bytes() const { return pending_.size() + writing_.size(); }

 private:
  void Read();
  // Puts the buffer of received bytes into the account; returns whether there
  // is memory for it.
  bool ChargeInput(std::size_t bytes);
  void ShrinkInput();
  // Each returns whether the bytes were well-formed.
  bool ParseFrames();
  bool ReadFlat(std::string_view message, bool is_compressed,
                std::string_view body);
  bool ReadPacked(std::string_view message, std::string_view body);
  void ScheduleFlush();
  void Flush();

  Tcp::socket socket_;
  OnFrame on_frame_;
  OnClosed on_closed_;
  std::function<void(std::size_t)> on_queued_;
  std::vector<char> input_;
  std::size_t input_size_ = 0;
  std::size_t max_frame_bytes_ = kMaxFrameBytes;
  // Bytes of the frame that has begun, once it has told them.
  std::size_t frame_bytes_ = 0;
  ByteBudget* budget_ = nullptr;
  // Opened for the first large frame.
  std::optional<ByteBudget::AccountId> account_;
  std::string pending_;
  std::string writing_;
  MonotonicTime last_received_;
  std::uint64_t queued_bytes_ = 0;
  std::uint64_t submitted_bytes_ = 0;
  bool packs_ = false;
  bool is_flush_scheduled_ = false;
  bool is_writing_ = false;
  // A write failed; nothing more is sent.
  bool is_broken_ = false;
  bool is_closed_ = false;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_FRAMED_CONNECTION_H_
