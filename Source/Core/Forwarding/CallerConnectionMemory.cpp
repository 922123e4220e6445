#include <algorithm>

#include "Forwarding/CallerConnection.h"

// The part of CallerConnection that bounds what it holds.
namespace shallotbeam::forwarding {

namespace {

// Limit for buffered bytes of a caller that keeps sending while its request is
// served.
constexpr std::size_t kMaxReadAhead = 65'536;
// The same while memory is tight.
constexpr std::size_t kTightReadAhead = 8'192;
// A request that holds at most this much is received whatever the others hold;
// the number of connections bounds the sum.
constexpr std::size_t kMinRequestBytes = 16'384;
// Memory for a body is allocated in steps of at least this size.
constexpr std::size_t kMinBodyCapacity = 4'096;
// Buffers beyond this size are freed when they are empty.
constexpr std::size_t kMaxIdleBuffer = 16'384;
// While the memory for callers is used up, a response is abandoned if the
// caller reads nothing of it for this long.
constexpr common::Duration kTightWriteTimeout = std::chrono::seconds(2);

constexpr int kUnavailable = 503;

// Another entry host may have the memory.
constexpr std::string_view kNoMemoryHeaders = "Retry-After: 1.000\r\n";

// Assigning an empty string would keep the capacity.
void Free(std::string& text) { std::string().swap(text); }

// Short texts are kept in the string itself.
std::size_t HeapBytes(const std::string& text) {
  constexpr std::size_t kMinHeapBytes = 32;
  return text.capacity() < kMinHeapBytes ? 0 : text.capacity();
}

}  // namespace

std::size_t CallerConnection::MaxReadAhead() const {
  const bool tight =
      options_.memory != nullptr && overload::IsTight(*options_.memory);
  return tight ? kTightReadAhead : kMaxReadAhead;
}

std::size_t CallerConnection::PartialBytes() const {
  if (state_ != State::kReading) return 0;
  return input_.capacity() + request_memory_.Bytes();
}

bool CallerConnection::MayHold(std::size_t bytes) {
  if (options_.memory == nullptr) return true;
  if (overload::HasRoom(*options_.memory, bytes)) return true;
  const std::size_t own = PartialBytes();
  return (options_.make_room && options_.make_room(*this, bytes)) ||
         own + bytes <= kMinRequestBytes;
}

bool CallerConnection::CountHead() {
  if (head_bytes_ != 0) return true;
  const std::size_t bytes = MemoryOf(parser_->get().base());
  if (!MayHold(bytes)) return false;
  head_bytes_ = bytes;
  request_memory_.Set(request_memory_.Bytes() + bytes);
  return true;
}

// A string that grows by itself doubles its capacity. A stated length is not
// allocated before its bytes arrive, but it bounds the capacity.
bool CallerConnection::ReserveBody() {
  std::string& body = parser_->get().body();
  const auto left = parser_->content_length_remaining();
  const std::size_t arrived =
      left ? std::min<std::size_t>(input_.size(), *left) : input_.size();
  const std::size_t needed = body.size() + arrived;
  if (needed <= body.capacity()) return true;
  const std::size_t longest =
      left ? body.size() + *left : options_.limits.body_bytes;
  const std::size_t doubled =
      std::max<std::size_t>(2 * body.capacity(), kMinBodyCapacity);
  const std::size_t capacity = std::max(needed, std::min(doubled, longest));
  if (!MayHold(capacity - body.capacity())) return false;
  std::string larger;
  larger.reserve(capacity);
  larger.append(body);
  body.swap(larger);
  request_memory_.Set(head_bytes_ + body.capacity());
  return true;
}

void CallerConnection::CountBuffers() {
  if (input_.empty() && input_.capacity() > kMaxIdleBuffer) Free(input_);
  if (output_.empty() && output_.capacity() > kMaxIdleBuffer) Free(output_);
  buffer_memory_.Set(HeapBytes(input_) + HeapBytes(output_));
}

void CallerConnection::FreeBuffers() {
  parser_.reset();
  Free(input_);
  head_bytes_ = 0;
  request_memory_.Set(0);
  CountBuffers();
}

bool CallerConnection::IsOutputStalled(common::TimePoint now) const {
  return awaiting_writable_ && now - last_progress_ > kTightWriteTimeout;
}

void CallerConnection::FreeOutput() { Free(output_); }

void CallerConnection::RefuseForMemory() {
  if (state_ != State::kReading) return;
  options_.handler.OnNoMemory(PartialBytes());
  Refuse(kUnavailable, kNoMemoryHeaders);
}

}  // namespace shallotbeam::forwarding
