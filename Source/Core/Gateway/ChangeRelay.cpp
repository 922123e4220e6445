#include "Gateway/ChangeRelay.h"

#include <utility>

#include "Gateway/GatewayResponses.h"

namespace shallotbeam::gateway {

namespace {

constexpr int kOk = 200;
constexpr int kHistoryGone = 410;
// Polls that may wait at a time.
constexpr std::size_t kMaxWaiting = 1'000;

void RespondWith(transport::HttpExchange& exchange, int status) {
  exchange.Send({.status = status, .headers = {}});
}

}  // namespace

void ChangeRelay::OnPoll(
    const std::shared_ptr<transport::HttpExchange>& exchange) {
  const auto poll =
      platform_clients::DecodeRelayPoll(exchange->Request().target);
  if (!poll) return RespondWith(*exchange, kBadRequest);
  Waiting waiting{.exchange = exchange, .poll = *poll, .arrived = clock_.Now()};
  if (TryRespond(waiting)) return;
  if (waiting_.size() >= kMaxWaiting) {
    return RespondWith(*exchange, kUnavailable);
  }
  waiting_.push_back(std::move(waiting));
}

void ChangeRelay::OnUpdate(const platform_clients::StoreUpdate& update) {
  if (update.resynced) {
    platform_clients::RestartLog(log_, session_.position);
  }
  if (!update.changes.empty() || !IsCurrent()) RespondToAll();
}

void ChangeRelay::OnTick() { RespondToAll(); }

void ChangeRelay::RespondToAll() {
  std::erase_if(waiting_, [this](const Waiting& it) { return TryRespond(it); });
}

// A store that is silent shows only by the age of the copy until the poll of it
// has timed out.
bool ChangeRelay::IsCurrent() const {
  const auto age = platform_clients::AgeOf(session_, clock_.Now());
  return session_.synced && session_.reachable && age && *age <= max_age_;
}

bool ChangeRelay::TryRespond(const Waiting& waiting) {
  transport::HttpExchange& exchange = *waiting.exchange;
  const auto age = platform_clients::AgeOf(session_, clock_.Now());
  if (!IsCurrent()) {
    RespondWith(exchange, kUnavailable);
    return true;
  }
  auto changes = platform_clients::ChangesSince(log_, waiting.poll.position);
  if (!changes) {
    RespondWith(exchange, kHistoryGone);
    return true;
  }
  const common::Duration waited = clock_.Now() - waiting.arrived;
  const bool behind = session_.position < waiting.poll.position;
  const bool has_changes = !behind && !changes->empty();
  if (!has_changes && waited < waiting.poll.wait) return false;
  if (behind) {
    RespondWith(exchange, kUnavailable);
    return true;
  }
  using std::chrono::milliseconds;
  const platform_clients::ChangesResult result{
      .status = absl::OkStatus(),
      .changes = *std::move(changes),
      .as_of = session_.position,
      .copy = platform_clients::CopyOfStore{
          .age = std::chrono::ceil<milliseconds>(*age),
          .waited = std::chrono::floor<milliseconds>(waited)}};
  exchange.Send({.status = kOk,
                 .headers = {},
                 .body = platform_clients::EncodeRelayResult(result)});
  return true;
}

}  // namespace shallotbeam::gateway
