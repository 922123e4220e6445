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
// Pieces of one flush, so that a long backlog does not hold up the process.
constexpr int kMaxPieces = 16;

bool TakesMore(int fd) {
  pollfd entry{.fd = fd, .events = POLLOUT, .revents = 0};
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

bool LogBuffer::TakeBudget(Budget& budget, Time now) const {
  const double burst = options_.lines_per_second * kBurstSeconds;
  if (budget.lines < 0) {
    budget.lines = burst;
  } else {
    // The time of day may jump backward.
    const std::chrono::duration<double> passed =
        std::max(now - budget.refilled, std::chrono::milliseconds(0));
    budget.lines = std::min(
        budget.lines + passed.count() * options_.lines_per_second, burst);
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
  if (!Fits(line.size()) || !TakeBudget(budget, now)) {
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
  // A pipe that can be written to takes PIPE_BUF bytes without blocking,
  // whether or not it is set to non-blocking, which other processes would see.
  for (int i = 0; i < kMaxPieces && !buffer.empty() && TakesMore(fd); ++i) {
    const std::string_view piece = buffer.Front(PIPE_BUF);
    const ssize_t n = write(fd, piece.data(), piece.size());
    if (n < 0 && errno == EINTR) continue;
    // Nobody can be told that the log can't be written.
    if (n <= 0) return;
    buffer.Remove(static_cast<std::size_t>(n));
  }
}

}  // namespace shallotbeam::common
