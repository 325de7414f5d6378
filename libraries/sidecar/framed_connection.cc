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
constexpr std::size_t kMaximumPendingBytes = std::size_t{32} << 20U;

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
                  std::string_view body) {
  kj::VectorOutputStream packed;
  capnp::writePackedMessage(packed, message);
  const auto bytes = packed.getArray();
  AppendLength(output, bytes.size() | kPackedFlag);
  AppendLength(output, body.size());
  output.append(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
  output.append(body);
}

void AppendFrame(std::string& output, capnp::MessageBuilder& message,
                 std::string_view body, bool packs) {
  if (packs &&
      capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word) <
          kCompressedFrom) {
    AppendPacked(output, message, body);
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
  AppendLength(output, body.size());
  output.append(bytes);
  output.append(body);
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
  const std::size_t before = pending_.size();
  AppendFrame(pending_, message, body, packs_);
  const std::size_t added = pending_.size() - before;
  queued_bytes_ += added;
  if (on_queued_) on_queued_(added);
  // One frame may be larger than the bound, as a body of 64 MiB is.
  if (before > kMaximumPendingBytes) {
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
  std::swap(writing_, pending_);
  submitted_bytes_ += writing_.size();
  boost::asio::async_write(
      socket_, boost::asio::buffer(writing_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t /*size*/) {
        self->is_writing_ = false;
        if (error) {
          // The read finds the end behind what has arrived before it.
          self->is_broken_ = true;
          self->pending_.clear();
          self->writing_.clear();
          return;
        }
        self->writing_.clear();
        if (self->writing_.capacity() > kKeptBufferBytes) {
          self->writing_ = std::string();
        }
        self->Flush();
      });
}

void FramedConnection::Read() {
  if (is_closed_) return;
  if (input_.size() - input_size_ < kReadBytes / 2) {
    // Memory grows as the bytes arrive: what a frame says of its size costs its
    // sender nothing.
    const std::size_t least = input_size_ + kReadBytes;
    const std::size_t bytes =
        std::max(least, std::min(input_.size() * 2, frame_bytes_));
    if (bytes > kKeptBufferBytes && !ChargeInput(bytes)) {
      // Eviction of a client may have closed the connection.
      if (is_closed_) return;
      logging::Log(logging::Level::kWarning, "link",
                   "frame refused for want of memory",
                   {{"address", RemoteAddress()},
                    {"asked", bytes},
                    {"frame", frame_bytes_},
                    {"in_use", budget_->used()},
                    {"bound", budget_->capacity()}});
      Close();
      return;
    }
    input_.resize(bytes);
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
  while (!is_closed_ && input_size_ - used >= kHeadBytes) {
    const std::uint32_t coded_size = ReadLength(input_.data() + used);
    const bool is_compressed = (coded_size & kCompressedFlag) != 0;
    const bool is_packed = (coded_size & kPackedFlag) != 0;
    const std::size_t message_size =
        coded_size & ~(kCompressedFlag | kPackedFlag);
    const std::size_t body_size = ReadLength(input_.data() + used + 4);
    const std::size_t total = kHeadBytes + message_size + body_size;
    if (total > max_frame_bytes_) return false;
    if (input_size_ - used < total) {
      frame_bytes_ = total;
      break;
    }
    const std::string_view message(input_.data() + used + kHeadBytes,
                                   message_size);
    const std::string_view body(message.data() + message_size, body_size);
    const bool is_read = is_packed ? ReadPacked(message, body)
                                   : ReadFlat(message, is_compressed, body);
    if (!is_read) return false;
    used += total;
  }
  if (used > 0) {
    std::memmove(input_.data(), input_.data() + used, input_size_ - used);
    input_size_ -= used;
    if (input_.size() > kKeptBufferBytes) ShrinkInput();
  }
  return true;
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

bool FramedConnection::ReadFlat(std::string_view message, bool is_compressed,
                                std::string_view body) {
  const auto words = ReadMessage(message, is_compressed);
  if (!words) return false;
  try {
    capnp::FlatArrayMessageReader reader(*words);
    on_frame_(reader.getRoot<wire::Frame>(), body);
  } catch (const kj::Exception&) {
    return false;
  }
  return true;
}

bool FramedConnection::ReadPacked(std::string_view message,
                                  std::string_view body) {
  try {
    kj::ArrayInputStream input(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(message.data()), message.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxPackedWords;
    capnp::PackedMessageReader reader(input, options);
    on_frame_(reader.getRoot<wire::Frame>(), body);
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
  boost::system::error_code ignored;
  socket_.close(ignored);
  // This may be called by on_frame_ itself, which must outlive the call.
  boost::asio::post(socket_.get_executor(),
                    [self = shared_from_this()] { self->on_frame_ = nullptr; });
  if (const auto on_closed = std::exchange(on_closed_, nullptr)) on_closed();
}

}  // namespace oleandertide::sidecar
