#include "Load/Generator.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "Runtime/HeaderNames.h"
#include "absl/strings/numbers.h"

namespace shallotbeam::load {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using transport::CallEnd;

constexpr double kMaxShapeFactor = 3;
constexpr std::size_t kTailBytes = 512;
constexpr milliseconds kCallTimeout{60'000};
constexpr double kPromptTokensPerCostUnit = 8;
constexpr int kBytesPerToken = 4;

void SetHeader(boost::beast::http::fields& headers, std::string_view name,
               const std::string& value) {
  headers.set(boost::beast::string_view(name.data(), name.size()), value);
}

std::string Header(const boost::beast::http::fields& headers,
                   std::string_view name) {
  const auto it =
      headers.find(boost::beast::string_view(name.data(), name.size()));
  return it == headers.end() ? std::string() : std::string(it->value());
}

double MsSince(Clock::time_point from, Clock::time_point now) {
  return std::chrono::duration<double, std::milli>(now - from).count();
}

int DrawUniform(const Range& range, std::mt19937_64& random) {
  return std::uniform_int_distribution<int>(range.low, range.high)(random);
}

std::string FillerText(const std::string& text, int tokens) {
  std::string filler;
  const auto bytes = static_cast<std::size_t>(tokens) * kBytesPerToken;
  while (filler.size() < bytes) filler += text + ' ';
  filler.resize(bytes);
  return filler;
}

}  // namespace

double ShapeFactor(Shape shape, double elapsed_seconds, double share) {
  switch (shape) {
    case Shape::kConstant:
      return 1;
    case Shape::kRamp:
      return 2 * share;
    case Shape::kBurst:
      return std::fmod(elapsed_seconds, 3) < 1 ? kMaxShapeFactor : 0;
  }
  return 1;
}

Generator::Generator(boost::asio::io_context& context, std::uint64_t seed,
                     std::vector<common::Endpoint> entry_points)
    : context_(context),
      client_(context),
      seed_(seed),
      entry_points_(std::move(entry_points)) {}

void Generator::StartPhase(const Phase& phase) {
  for (const LoadSpec& spec : phase.loads) {
    for (const std::string& workspace : spec.workspaces) {
      auto source = std::make_shared<Source>(
          Source{.spec = spec,
                 .workspace = workspace,
                 .phase = phase.name,
                 .entry = spec.entry.empty() ? phase.entry : spec.entry,
                 .started = Clock::now(),
                 .length = phase.length,
                 .random = std::mt19937_64(seed_ + sources_made_++),
                 .timer = boost::asio::steady_timer(context_)});
      source->entry.resize(entry_points_.size(),
                           source->entry.empty() ? 1.0 : 0.0);
      sources_.push_back(source);
      results_[{phase.name, workspace, spec.kind}];
      ScheduleNext(source);
    }
  }
}

void Generator::StopPhase() {
  for (const SourcePtr& it : sources_) {
    it->stopped = true;
    it->ended = Clock::now();
    it->timer.cancel();
  }
  sources_.clear();
}

void Generator::CancelInFlight() {
  cancelled_ = true;
  const auto remaining = in_flight_;
  for (const RequestPtr& it : remaining) {
    if (!it->is_resend) ++ResultOf(*it).unfinished;
    RecordOrderOutcome(*it, false);
    it->timer.cancel();
    if (it->call != nullptr) it->call->Cancel();
    it->call = nullptr;
  }
  in_flight_.clear();
}

// Generates the non-homogeneous Poisson process by thinning: draws arrivals at
// the peak rate of the shape and keeps each with a probability in proportion to
// the current factor.
void Generator::ScheduleNext(const SourcePtr& source) {
  const double peak = source->spec.rate * kMaxShapeFactor;
  std::exponential_distribution<double> gap(peak);
  const auto wait = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(gap(source->random)));
  // Scheduled relative to the previous arrival time, so that a late timer
  // doesn't reduce the load.
  const bool first = source->timer.expiry() < source->started;
  source->timer.expires_at((first ? source->started : source->timer.expiry()) +
                           wait);
  source->timer.async_wait([this, source](const auto&) {
    if (source->stopped) return;
    const double elapsed = MsSince(source->started, source->timer.expiry());
    const double share = elapsed / static_cast<double>(source->length.count());
    const double factor =
        ShapeFactor(source->spec.shape, elapsed / 1000, share);
    std::bernoulli_distribution accepted(
        std::min(1.0, factor / kMaxShapeFactor));
    if (accepted(source->random)) SendNewRequest(source);
    ScheduleNext(source);
  });
}

void Generator::SendNewRequest(const SourcePtr& source) {
  const RequestPtr request = MakeRequest(source);
  ++ResultOf(*request).offered;
  ++outstanding_[source->workspace];
  Send(request);
  const LoadSpec& spec = source->spec;
  if (!spec.keyed ||
      !std::bernoulli_distribution(spec.resend)(source->random)) {
    return;
  }
  auto duplicate = std::make_shared<Request>(
      Request{.source = source,
              .tag = request->tag,
              .body = request->body,
              .entry = (request->entry + 1) % entry_points_.size(),
              .is_resend = true,
              .timer = boost::asio::steady_timer(context_)});
  in_flight_.insert(duplicate);
  duplicate->timer.expires_after(spec.resend_after);
  duplicate->timer.async_wait([this, duplicate](const auto&) {
    if (!cancelled_) Send(duplicate);
  });
}

Generator::RequestPtr Generator::MakeRequest(const SourcePtr& source) {
  const LoadSpec& spec = source->spec;
  std::mt19937_64& random = source->random;
  auto request = std::make_shared<Request>(
      Request{.source = source,
              .sent = Clock::now(),
              .retries_left = spec.retries,
              .timer = boost::asio::steady_timer(context_)});
  request->tag = fmt::format("{}.{}.{}.{}", source->phase, source->workspace,
                             spec.kind, source->sent++);
  std::discrete_distribution<std::size_t> entry(source->entry.begin(),
                                                source->entry.end());
  request->entry = entry(random);
  if (spec.plain) {
    request->body = json({{"tag", request->tag}}).dump();
    request->cost = 1;
    return request;
  }
  const int prompt_tokens = DrawUniform(spec.prompt_tokens, random);
  const int tokens = std::max(1, DrawUniform(spec.tokens, random));
  const int shared = std::min(spec.shared_prefix_tokens, prompt_tokens);
  const std::string prompt = FillerText(source->workspace, shared) +
                             FillerText(request->tag, prompt_tokens - shared);
  request->body = json({{"prompt", prompt},
                        {"max_tokens", tokens},
                        {"stream", spec.stream},
                        {"tag", request->tag}})
                      .dump();
  request->cost = prompt_tokens / kPromptTokensPerCostUnit + tokens;
  return request;
}

void Generator::Send(const RequestPtr& request) {
  in_flight_.insert(request);
  request->status = 0;
  request->verdict.clear();
  request->reason.clear();
  request->retry_after = milliseconds(0);
  request->tail.clear();
  const Source& source = *request->source;
  transport::HttpRequest message{.method = "POST", .target = "/v1/requests"};
  message.headers.set("Content-Type", "application/json");
  SetHeader(message.headers, runtime::kWorkspaceHeader, source.workspace);
  SetHeader(message.headers, runtime::kKindHeader, source.spec.kind);
  if (source.spec.keyed) {
    SetHeader(message.headers, runtime::kIdempotencyKeyHeader, request->tag);
  }
  if (source.spec.deadline.count() > 0) {
    SetHeader(message.headers, runtime::kDeadlineHeader,
              std::to_string(source.spec.deadline.count()));
  }
  message.body = request->body;
  request->call = client_.Start(
      entry_points_[request->entry], std::move(message), kCallTimeout,
      {.on_head =
           [this, request](const transport::ResponseHead& head) {
             OnHead(*request, head);
           },
       .on_body =
           [this, request](const std::string& piece,
                           const std::function<void()>& resume) {
             OnBody(request, piece, resume);
             return true;
           },
       .on_end = [this, request](CallEnd end) { OnEnd(request, end); }});
}

void Generator::OnHead(Request& request, const transport::ResponseHead& head) {
  request.status = head.status;
  request.verdict = Header(head.headers, runtime::kVerdictHeader);
  request.reason = Header(head.headers, runtime::kReasonHeader);
  request.first_byte = Clock::now();
  const std::string ms = Header(head.headers, runtime::kRetryAfterHeader);
  const std::string seconds = Header(head.headers, "Retry-After");
  int value = 0;
  if (absl::SimpleAtoi(ms, &value)) {
    request.retry_after = milliseconds(std::max(1, value));
  } else if (absl::SimpleAtoi(seconds, &value)) {
    request.retry_after = std::chrono::seconds(std::max(1, value));
  }
}

void Generator::OnBody(const RequestPtr& request, const std::string& piece,
                       const std::function<void()>& resume) {
  request->tail += piece;
  if (request->tail.size() > 2 * kTailBytes) {
    request->tail.erase(0, request->tail.size() - kTailBytes);
  }
  const milliseconds pause = request->source->spec.read_pause;
  if (pause.count() == 0) return resume();
  request->timer.expires_after(pause);
  request->timer.async_wait([resume](const auto&) { resume(); });
}

void Generator::OnEnd(const RequestPtr& request, CallEnd end) {
  request->call = nullptr;
  if (cancelled_) return;
  const Source& source = *request->source;
  const bool transfer_complete = end == CallEnd::kComplete;
  const bool status_ok = transfer_complete && request->status == 200;
  // The engine echoes the request's tag, which reveals a response that belongs
  // to another request.
  const bool tag_matches = request->tail.find("\"tag\":\"" + request->tag +
                                              "\"") != std::string::npos;
  const bool body_ended = source.spec.plain || !source.spec.stream ||
                          request->tail.find("[DONE]") != std::string::npos;
  RecordOrderOutcome(*request, status_ok && tag_matches && body_ended);
  if (request->is_resend) {
    if (status_ok && !(tag_matches && body_ended)) ++ResultOf(*request).wrong;
    in_flight_.erase(request);
    return;
  }
  KindResult& result = ResultOf(*request);
  if (status_ok && tag_matches && body_ended) {
    const Clock::time_point now = Clock::now();
    ++result.completed;
    result.latencies_ms.push_back(MsSince(request->sent, now));
    result.first_byte_ms.push_back(MsSince(request->sent, request->first_byte));
    if (!source.stopped) {
      ++result.in_phase;
      result.in_phase_cost += request->cost;
    }
    return RemoveInFlight(request);
  }
  if (status_ok) {
    ++result.wrong;
    return RemoveInFlight(request);
  }
  const bool refused = transfer_complete && !request->reason.empty();
  if (!refused) {
    ++result.broken;
    return RemoveInFlight(request);
  }
  ++result.refusals[request->reason + " " + request->verdict];
  if (Retry(request)) return;
  ++result.gave_up;
  RemoveInFlight(request);
}

bool Generator::Retry(const RequestPtr& request) {
  const bool may_retry = request->retries_left > 0 &&
                         request->retry_after.count() > 0 &&
                         !request->source->stopped;
  if (!may_retry) return false;
  --request->retries_left;
  ++ResultOf(*request).retries;
  request->timer.expires_after(request->retry_after);
  request->timer.async_wait([this, request](const auto&) {
    if (!cancelled_) Send(request);
  });
  return true;
}

void Generator::RecordOrderOutcome(const Request& request, bool completed) {
  if (!request.source->spec.keyed) return;
  OrderOutcomes& order = orders_[request.tag];
  if (completed) {
    ++order.completed;
  } else if (request.verdict == "not-run") {
    ++order.not_run;
  } else {
    ++order.unknown;
  }
}

void Generator::RemoveInFlight(const RequestPtr& request) {
  in_flight_.erase(request);
  --outstanding_[request->source->workspace];
}

KindResult& Generator::ResultOf(const Request& request) {
  const Source& source = *request.source;
  return results_[{source.phase, source.workspace, source.spec.kind}];
}

}  // namespace shallotbeam::load
