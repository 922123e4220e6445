#include "Common/LogBuffer.h"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace shallotbeam::common {

namespace {

constexpr double kBurstSeconds = 2;
// Writes per flush, so that a long backlog doesn't delay the process.
constexpr int kMaxWritesPerFlush = 16;

bool IsWritable(int fd) {
  pollfd entry{.fd = fd, .events = POLLOUT, .revents = 0};
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

bool LogBuffer::TryTakeLine(Budget& budget, Time now) const {
  const double burst = options_.lines_per_second * kBurstSeconds;
  if (budget.lines < 0) {
    budget.lines = burst;
  } else {
    // The wall clock may be set back.
    const std::chrono::duration<double> elapsed =
        std::max(now - budget.refilled, std::chrono::milliseconds(0));
    budget.lines = std::min(
        budget.lines + elapsed.count() * options_.lines_per_second, burst);
  }
  budget.refilled = now;
  if (budget.lines < 1) return false;
  budget.lines -= 1;
  return true;
}

bool LogBuffer::Fits(std::size_t n) const {
  return bytes_.size() - removed_ + n <= options_.max_bytes;
}

bool LogBuffer::Append(Subsystem subsystem, Time now, std::string_view line) {
  Budget& budget = budgets_[static_cast<std::size_t>(subsystem)];
  if (!Fits(line.size()) || !TryTakeLine(budget, now)) {
    ++budget.dropped;
    ++dropped_;
    return false;
  }
  if (budget.dropped > 0) {
    bytes_.append(fmt::format("level=warning event=log_dropped lines={}\n",
                              budget.dropped));
    budget.dropped = 0;
  }
  bytes_.append(line);
  return true;
}

std::string_view LogBuffer::Front(std::size_t max) const {
  return std::string_view(bytes_).substr(removed_, max);
}

void LogBuffer::Remove(std::size_t n) {
  removed_ += n;
  if (removed_ < bytes_.size() / 2) return;
  bytes_.erase(0, removed_);
  removed_ = 0;
}

void FlushTo(int fd, LogBuffer& buffer) {
  // A pipe that poll() reports as writable accepts PIPE_BUF bytes without
  // blocking, whether or not it is in non-blocking mode. The mode isn't
  // changed, because processes that share the pipe would see the change.
  for (int i = 0; i < kMaxWritesPerFlush && !buffer.empty() && IsWritable(fd);
       ++i) {
    const std::string_view chunk = buffer.Front(PIPE_BUF);
    const ssize_t n = write(fd, chunk.data(), chunk.size());
    if (n < 0 && errno == EINTR) continue;
    // There is no other place to report a failure to write the log.
    if (n <= 0) return;
    buffer.Remove(static_cast<std::size_t>(n));
  }
}

}  // namespace shallotbeam::common
