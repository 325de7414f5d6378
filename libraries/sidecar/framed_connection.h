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
#include "sidecar/shared_body.h"

namespace oleandertide::sidecar {

// Body of a frame that was received. Not thread-safe.
class ReceivedBody {
 public:
  // A body that is valid for the call to which it is given.
  explicit ReceivedBody(std::string_view bytes) : bytes_(bytes) {}

  // A body that may be kept.
  explicit ReceivedBody(SharedBody body)
      : shared_(std::move(body)), bytes_(shared_.view()) {}

  // One for which there was no memory.
  static ReceivedBody Dropped() {
    ReceivedBody body(std::string_view{});
    body.is_dropped_ = true;
    return body;
  }

  bool is_dropped() const { return is_dropped_; }

  std::string_view view() const { return bytes_; }

  // NOLINTNEXTLINE(google-explicit-constructor): handlers of small frames.
  operator std::string_view() const { return bytes_; }

  // Whether the memory of the body is in the account already.
  bool is_charged() const { return !shared_.empty(); }

  // Returns the body for keeping; copies one that is not charged.
  SharedBody Share(ByteCharge charge = {}) const {
    if (is_charged()) return shared_;
    return SharedBody(std::string(bytes_), std::move(charge));
  }

 private:
  SharedBody shared_;
  std::string_view bytes_;
  bool is_dropped_ = false;
};

// Sends and receives frames as described in link.capnp. Frames that are sent in
// one turn of the loop share a write. Large bodies are not copied: those that
// are sent are shared with whoever else needs them, and those that are received
// arrive in memory of their own, which is in the account before it is taken. A
// body for which there is none is dropped as it arrives, and its frame comes at
// once without it. Not thread-safe.
class FramedConnection : public std::enable_shared_from_this<FramedConnection> {
 public:
  // The frame is valid for the call.
  using OnFrame =
      std::function<void(wire::Frame::Reader, const ReceivedBody& body)>;
  using OnClosed = std::function<void()>;

  explicit FramedConnection(Tcp::socket socket);

  // Starts to receive. Precondition: the socket is connected; called once.
  void Start(OnFrame on_frame, OnClosed on_closed);

  // Queues a frame. The message and the body are copied as they are now.
  void Send(capnp::MessageBuilder& message, std::string_view body = {});

  // The same, but keeps a reference to a large body until the system has taken
  // it.
  void Send(capnp::MessageBuilder& message, const SharedBody& body);

  // Sets what to call with the number of bytes that each Send queues.
  void set_on_queued(std::function<void(std::size_t)> on_queued) {
    on_queued_ = std::move(on_queued);
  }

  // Sets whether small messages are packed: the other node must read that.
  void set_packs(bool packs) { packs_ = packs; }

  // Sets the size of the largest frame that is received.
  // Precondition: no larger one has begun.
  void set_max_frame_bytes(std::size_t bytes) { max_frame_bytes_ = bytes; }

  // Sets the account for the memory of large frames from now on; a message for
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
  std::size_t unsent_bytes() const {
    return static_cast<std::size_t>(queued_bytes_ - written_bytes_);
  }

 private:
  // The numbers in front of a frame.
  struct FrameHead {
    bool is_compressed = false;
    bool is_packed = false;
    std::size_t message_size = 0;
    std::size_t body_size = 0;
  };
  // A frame with a large body, of which a part has arrived.
  struct IncomingFrame {
    FrameHead head;
    std::string message;
    std::string body;
    ByteCharge charge;
    std::size_t arrived = 0;
    bool is_dropped = false;
  };
  // Bytes for the system, of which the body stands behind the others.
  struct Segment {
    std::string bytes;
    SharedBody body;
    std::size_t size() const { return bytes.size() + body.size(); }
  };

  static FrameHead ReadHead(std::string_view bytes);

  void Read();
  // Makes room for the next read; returns whether there is memory for it.
  bool GrowInput();
  // Puts the buffer of received bytes into the account; returns whether there
  // is memory for it.
  bool ChargeInput(std::size_t bytes);
  void ShrinkInput();
  // Each returns whether the bytes were well-formed.
  bool ParseFrames();
  bool BeginFrame(const FrameHead& head, std::string_view message);
  bool FinishFrame();
  // Takes bytes of the body that is arriving and returns their number.
  std::size_t PutBody(std::string_view bytes);
  // Both call `visit` with the frame; return whether the message was
  // well-formed.
  using Visitor = std::function<void(wire::Frame::Reader)>;
  static bool Visit(const FrameHead& head, std::string_view message,
                    const Visitor& visit);
  bool Deliver(const FrameHead& head, std::string_view message,
               const ReceivedBody& body);
  // Returns where the next bytes are to be copied.
  std::string& OpenSegment();
  // Called when a frame has been put into the segments.
  void OnQueued(std::size_t bytes);
  void ScheduleFlush();
  void Flush();

  Tcp::socket socket_;
  OnFrame on_frame_;
  OnClosed on_closed_;
  std::function<void(std::size_t)> on_queued_;
  std::vector<char> input_;
  std::size_t input_size_ = 0;
  std::size_t max_frame_bytes_ = kMaxFrameBytes;
  // Bytes of the frame that has begun, once it has told them, without a large
  // body.
  std::size_t frame_bytes_ = 0;
  std::optional<IncomingFrame> incoming_;
  ByteBudget* budget_ = nullptr;
  // Opened for the first large frame.
  std::optional<ByteBudget::AccountId> account_;
  std::vector<Segment> pending_;
  std::vector<Segment> writing_;
  // Bytes in pending_ that are not shared with anybody.
  std::size_t copied_bytes_ = 0;
  MonotonicTime last_received_;
  std::uint64_t queued_bytes_ = 0;
  std::uint64_t submitted_bytes_ = 0;
  std::uint64_t written_bytes_ = 0;
  bool packs_ = false;
  bool is_flush_scheduled_ = false;
  bool is_writing_ = false;
  // A write failed; nothing more is sent.
  bool is_broken_ = false;
  bool is_closed_ = false;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_FRAMED_CONNECTION_H_
