#include "sidecar/framed_connection.h"

#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <kj/array.h>
#include <kj/exception.h>
#include <kj/io.h>
#include <zstd.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <iterator>
#include <optional>
#include <utility>

#include "logging/log.h"

namespace oleandertide::sidecar {
namespace {

constexpr std::size_t kHeadBytes = 8;
constexpr std::size_t kReadBytes = std::size_t{16} << 10U;

// Buffers above this are given back when they have been emptied.
constexpr std::size_t kKeptBufferBytes = std::size_t{64} << 10U;

// A node that does not read for long is cut off before memory runs short.
// Bodies that are shared do not count here: they are in the account.
constexpr std::size_t kMaxCopiedBytes = std::size_t{32} << 20U;

// Smaller bodies are copied behind their messages, so that frames share a
// write.
constexpr std::size_t kMinSharedBytes = std::size_t{16} << 10U;

// Smaller bodies are read together with their messages.
constexpr std::size_t kMaxInlineBytes = std::size_t{64} << 10U;

// Memory for a larger body than this is taken only as its bytes arrive.
constexpr std::size_t kFirstBodyBytes = std::size_t{256} << 10U;

// Bytes that are handed to the system at once, except for a larger body.
constexpr std::size_t kMaxWriteBytes = std::size_t{256} << 10U;

// Time until a connection without answer from the other kernel fails.
constexpr Duration kSilenceLimit = std::chrono::milliseconds(1500);

std::uint32_t ReadLength(const char* bytes) {
  std::array<unsigned char, 4> raw;
  std::memcpy(raw.data(), bytes, raw.size());
  return raw[0] | (raw[1] << 8U) | (raw[2] << 16U) |
         (static_cast<std::uint32_t>(raw[3]) << 24U);
}

void AppendLength(std::string& output, std::size_t length) {
  for (const unsigned shift : {0U, 8U, 16U, 24U}) {
    output += static_cast<char>((length >> shift) & 0xffU);
  }
}

// Configurations of 1,600 routes have some 300 kB, which is half a second on a
// link of 5 Mbit/s; compressed they have a third or less.
constexpr std::size_t kCompressedFrom = 4096;
// The fastest of the usual levels: the processor's share is as small.
constexpr int kCompressionLevel = 1;
constexpr std::uint32_t kCompressedFlag = 1U << 31U;
// Smaller messages are packed: half of their bytes are zeros.
constexpr std::uint32_t kPackedFlag = 1U << 30U;
// Words that a packed message may have or its reader may visit. Messages of
// kCompressedFrom bytes have an eighth of it.
constexpr std::uint64_t kMaxPackedWords = kCompressedFrom;

// Returns the compressed bytes; nothing if that fails.
std::optional<std::string> Compress(std::string_view bytes) {
  std::string compressed(ZSTD_compressBound(bytes.size()), '\0');
  const std::size_t size =
      ZSTD_compress(compressed.data(), compressed.size(), bytes.data(),
                    bytes.size(), kCompressionLevel);
  if (ZSTD_isError(size) != 0) {
    logging::Log(logging::Level::kError, "link", "compression failed",
                 {{"why", ZSTD_getErrorName(size)}, {"bytes", bytes.size()}});
    return std::nullopt;
  }
  compressed.resize(size);
  return compressed;
}

void AppendPacked(std::string& output, capnp::MessageBuilder& message,
                  std::size_t body_size) {
  kj::VectorOutputStream packed;
  capnp::writePackedMessage(packed, message);
  const auto bytes = packed.getArray();
  AppendLength(output, bytes.size() | kPackedFlag);
  AppendLength(output, body_size);
  output.append(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
}

// Appends a frame without its body.
void AppendFrame(std::string& output, capnp::MessageBuilder& message,
                 std::size_t body_size, bool packs) {
  if (packs &&
      capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word) <
          kCompressedFrom) {
    AppendPacked(output, message, body_size);
    return;
  }
  const auto words = capnp::messageToFlatArray(message);
  const auto raw = words.asBytes();
  std::string_view bytes(reinterpret_cast<const char*>(raw.begin()),
                         raw.size());
  std::optional<std::string> compressed;
  if (bytes.size() >= kCompressedFrom) compressed = Compress(bytes);
  if (compressed) bytes = *compressed;
  AppendLength(output, bytes.size() | (compressed ? kCompressedFlag : 0));
  AppendLength(output, body_size);
  output.append(bytes);
}

// Returns the message in aligned memory, as Cap'n Proto needs it; nothing if
// the bytes are not one.
std::optional<kj::Array<capnp::word>> ReadMessage(std::string_view bytes,
                                                  bool is_compressed) {
  unsigned long long size = bytes.size();
  if (is_compressed) {
    size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR) {
      return std::nullopt;
    }
  }
  if (size > FramedConnection::kMaxFrameBytes ||
      size % sizeof(capnp::word) != 0) {
    return std::nullopt;
  }
  auto words = kj::heapArray<capnp::word>(size / sizeof(capnp::word));
  if (!is_compressed) {
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    return words;
  }
  const std::size_t written =
      ZSTD_decompress(words.begin(), size, bytes.data(), bytes.size());
  if (ZSTD_isError(written) != 0 || written != size) return std::nullopt;
  return words;
}

}  // namespace

FramedConnection::FramedConnection(Tcp::socket socket)
    : socket_(std::move(socket)),
      input_(kReadBytes),
      last_received_(MonotonicClock::now()) {}

std::string FramedConnection::RemoteAddress() const {
  boost::system::error_code error;
  const auto endpoint = socket_.remote_endpoint(error);
  return error ? std::string() : endpoint.address().to_string();
}

void FramedConnection::Start(OnFrame on_frame, OnClosed on_closed) {
  on_frame_ = std::move(on_frame);
  on_closed_ = std::move(on_closed);
  SetConnectionOptions(socket_, kSilenceLimit);
  Read();
}

void FramedConnection::Send(capnp::MessageBuilder& message,
                            std::string_view body) {
  if (is_closed_ || is_broken_) return;
  std::string& output = OpenSegment();
  const std::size_t before = output.size();
  AppendFrame(output, message, body.size(), packs_);
  output.append(body);
  OnQueued(output.size() - before);
}

void FramedConnection::Send(capnp::MessageBuilder& message,
                            const SharedBody& body) {
  if (body.size() < kMinSharedBytes) {
    Send(message, body.view());
    return;
  }
  if (is_closed_ || is_broken_) return;
  std::string& output = OpenSegment();
  const std::size_t before = output.size();
  AppendFrame(output, message, body.size(), packs_);
  const std::size_t copied = output.size() - before;
  pending_.back().body = body;
  queued_bytes_ += body.size();
  if (on_queued_) on_queued_(body.size());
  OnQueued(copied);
}

std::string& FramedConnection::OpenSegment() {
  if (pending_.empty() || !pending_.back().body.empty()) {
    pending_.emplace_back();
  }
  return pending_.back().bytes;
}

void FramedConnection::OnQueued(std::size_t bytes) {
  const std::size_t before = copied_bytes_;
  copied_bytes_ += bytes;
  queued_bytes_ += bytes;
  if (on_queued_) on_queued_(bytes);
  // One frame may be larger than the bound.
  if (before > kMaxCopiedBytes) {
    Close();
    return;
  }
  ScheduleFlush();
}

void FramedConnection::ScheduleFlush() {
  if (is_flush_scheduled_ || is_writing_) return;
  is_flush_scheduled_ = true;
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->is_flush_scheduled_ = false;
    self->Flush();
  });
}

void FramedConnection::Flush() {
  if (is_closed_ || is_writing_ || is_broken_) return;
  if (pending_.empty()) return;
  is_writing_ = true;
  std::size_t size = 0;
  std::size_t count = 0;
  while (count < pending_.size() && size < kMaxWriteBytes) {
    copied_bytes_ -= pending_[count].bytes.size();
    size += pending_[count].size();
    ++count;
  }
  const auto end = pending_.begin() + static_cast<std::ptrdiff_t>(count);
  writing_.assign(std::make_move_iterator(pending_.begin()),
                  std::make_move_iterator(end));
  pending_.erase(pending_.begin(), end);
  submitted_bytes_ += size;
  std::vector<boost::asio::const_buffer> buffers;
  for (const Segment& segment : writing_) {
    buffers.push_back(boost::asio::buffer(segment.bytes));
    buffers.push_back(boost::asio::buffer(segment.body.view()));
  }
  boost::asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t written) {
        self->is_writing_ = false;
        self->written_bytes_ += written;
        self->writing_.clear();
        if (error) {
          // The read finds the end behind what has arrived before it.
          self->is_broken_ = true;
          self->pending_.clear();
          self->written_bytes_ = self->queued_bytes_;
          return;
        }
        self->Flush();
      });
}

FramedConnection::FrameHead FramedConnection::ReadHead(std::string_view bytes) {
  const std::uint32_t coded_size = ReadLength(bytes.data());
  return {.is_compressed = (coded_size & kCompressedFlag) != 0,
          .is_packed = (coded_size & kPackedFlag) != 0,
          .message_size = coded_size & ~(kCompressedFlag | kPackedFlag),
          .body_size = ReadLength(bytes.data() + 4)};
}

bool FramedConnection::GrowInput() {
  const std::size_t room = input_.size() - input_size_;
  if (incoming_) {
    if (room < kReadBytes) input_.resize(input_size_ + kMaxInlineBytes);
    return true;
  }
  if (room >= kReadBytes / 2) return true;
  // Memory grows as the bytes arrive: what a frame says of its size costs its
  // sender nothing.
  const std::size_t least = input_size_ + kReadBytes;
  const std::size_t bytes =
      std::max(least, std::min(input_.size() * 2, frame_bytes_));
  if (bytes > kKeptBufferBytes && !ChargeInput(bytes)) return false;
  input_.resize(bytes);
  return true;
}

void FramedConnection::Read() {
  if (is_closed_) return;
  if (!GrowInput()) {
    // Eviction of a client may have closed the connection.
    if (is_closed_) return;
    logging::Log(logging::Level::kWarning, "link",
                 "frame refused for want of memory",
                 {{"address", RemoteAddress()},
                  {"frame", frame_bytes_},
                  {"in_use", budget_->used()},
                  {"bound", budget_->capacity()}});
    Close();
    return;
  }
  socket_.async_read_some(
      boost::asio::buffer(input_.data() + input_size_,
                          input_.size() - input_size_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t size) {
        if (self->is_closed_) return;
        if (error) {
          self->Close();
          return;
        }
        self->last_received_ = MonotonicClock::now();
        self->input_size_ += size;
        if (!self->ParseFrames()) {
          logging::Log(logging::Level::kWarning, "link", "malformed frame");
          self->Close();
          return;
        }
        self->Read();
      });
}

bool FramedConnection::ParseFrames() {
  std::size_t used = 0;
  frame_bytes_ = 0;
  while (!is_closed_) {
    const std::string_view left(input_.data() + used, input_size_ - used);
    if (incoming_) {
      used += PutBody(left);
      if (incoming_->arrived < incoming_->head.body_size) break;
      if (!FinishFrame()) return false;
      continue;
    }
    if (left.size() < kHeadBytes) break;
    const FrameHead head = ReadHead(left);
    const std::size_t total = kHeadBytes + head.message_size + head.body_size;
    if (total > max_frame_bytes_) return false;
    const bool is_inline = head.body_size <= kMaxInlineBytes;
    const std::size_t needed = is_inline ? total : total - head.body_size;
    if (left.size() < needed) {
      frame_bytes_ = needed;
      break;
    }
    const std::string_view message = left.substr(kHeadBytes, head.message_size);
    used += needed;
    const bool is_read =
        is_inline
            ? Deliver(head, message,
                      ReceivedBody(left.substr(kHeadBytes + head.message_size,
                                               head.body_size)))
            : BeginFrame(head, message);
    if (!is_read) return false;
  }
  if (used > 0) {
    std::memmove(input_.data(), input_.data() + used, input_size_ - used);
    input_size_ -= used;
    if (input_.size() > kKeptBufferBytes && !incoming_) ShrinkInput();
  }
  return true;
}

bool FramedConnection::BeginFrame(const FrameHead& head,
                                  std::string_view message) {
  ByteCharge charge;
  bool is_dropped = false;
  if (budget_ != nullptr) {
    bool is_call = false;
    if (!Visit(head, message, [&is_call](wire::Frame::Reader frame) {
          is_call = frame.isCall();
        })) {
      return false;
    }
    const MonotonicTime now = MonotonicClock::now();
    auto granted = is_call ? budget_->ChargeCall(head.body_size, now)
                           : budget_->ChargeFrame(head.body_size, now);
    // Eviction of a client may have closed the connection.
    if (is_closed_) return true;
    is_dropped = !granted;
    if (granted) charge = std::move(*granted);
  }
  incoming_ = IncomingFrame{.head = head,
                            .message = std::string(message),
                            .body = {},
                            .charge = std::move(charge),
                            .is_dropped = is_dropped};
  if (!is_dropped) return true;
  logging::Log(logging::Level::kWarning, "link",
               "body dropped for want of memory",
               {{"address", RemoteAddress()},
                {"body", head.body_size},
                {"in_use", budget_->used()},
                {"bound", budget_->capacity()}});
  return Deliver(head, message, ReceivedBody::Dropped());
}

std::size_t FramedConnection::PutBody(std::string_view bytes) {
  IncomingFrame& frame = *incoming_;
  const std::size_t taken =
      std::min(bytes.size(), frame.head.body_size - frame.arrived);
  frame.arrived += taken;
  if (frame.is_dropped) return taken;
  if (frame.arrived > frame.body.capacity()) {
    // Capacities double up to the size of the body: while it is copied, the old
    // memory and what is used of the new one are not larger than the body.
    std::size_t capacity = frame.head.body_size;
    while (capacity / 2 >= std::max(frame.arrived, kFirstBodyBytes)) {
      capacity /= 2;
    }
    frame.body.reserve(capacity);
  }
  frame.body.append(bytes.substr(0, taken));
  return taken;
}

bool FramedConnection::FinishFrame() {
  IncomingFrame frame = std::move(*incoming_);
  incoming_.reset();
  if (frame.is_dropped) return true;
  return Deliver(
      frame.head, frame.message,
      ReceivedBody(SharedBody(std::move(frame.body), std::move(frame.charge))));
}

bool FramedConnection::ChargeInput(std::size_t bytes) {
  if (budget_ == nullptr) return true;
  const MonotonicTime now = MonotonicClock::now();
  if (!account_) account_ = budget_->OpenMesh(now);
  return budget_->Set(*account_, bytes, now);
}

void FramedConnection::ShrinkInput() {
  // The beginning of the next frame must not keep the memory of a large one.
  if (input_size_ > kReadBytes) return;
  std::vector<char> smaller(input_size_ + kReadBytes);
  std::memcpy(smaller.data(), input_.data(), input_size_);
  input_ = std::move(smaller);
  if (account_) budget_->Force(*account_, 0);
}

bool FramedConnection::Deliver(const FrameHead& head, std::string_view message,
                               const ReceivedBody& body) {
  return Visit(head, message, [this, &body](wire::Frame::Reader frame) {
    on_frame_(frame, body);
  });
}

bool FramedConnection::Visit(const FrameHead& head, std::string_view message,
                             const Visitor& visit) {
  try {
    if (head.is_packed) {
      kj::ArrayInputStream input(kj::arrayPtr(
          reinterpret_cast<const kj::byte*>(message.data()), message.size()));
      capnp::ReaderOptions options;
      options.traversalLimitInWords = kMaxPackedWords;
      capnp::PackedMessageReader reader(input, options);
      visit(reader.getRoot<wire::Frame>());
      return true;
    }
    const auto words = ReadMessage(message, head.is_compressed);
    if (!words) return false;
    capnp::FlatArrayMessageReader reader(*words);
    visit(reader.getRoot<wire::Frame>());
  } catch (const kj::Exception&) {
    return false;
  }
  return true;
}

void FramedConnection::Close() {
  if (is_closed_) return;
  is_closed_ = true;
  if (const auto account = std::exchange(account_, std::nullopt)) {
    budget_->Close(*account);
  }
  // What is being written stays until the write has ended.
  pending_.clear();
  incoming_.reset();
  boost::system::error_code ignored;
  socket_.close(ignored);
  // This may be called by on_frame_ itself, which must outlive the call.
  boost::asio::post(socket_.get_executor(),
                    [self = shared_from_this()] { self->on_frame_ = nullptr; });
  if (const auto on_closed = std::exchange(on_closed_, nullptr)) on_closed();
}

}  // namespace oleandertide::sidecar
