#include "EngineStandIn/Engine.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "Runtime/HeaderNames.h"

namespace shallotbeam::engine_stand_in {

namespace {

using nlohmann::json;

constexpr double kPromptTokensPerCostUnit = 8;
constexpr int kMaxTokens = 100'000;
// 128 + SIGABRT, the exit code that a shell reports for an aborted process.
constexpr int kCrashExitCode = 134;
constexpr std::chrono::milliseconds kLoadInterval{50};

void SendJson(const Exchange& exchange, const json& body) {
  exchange->Send({.status = 200,
                  .headers = {{"Content-Type", "application/json"}},
                  .body = body.dump() + "\n"});
}

void SendStatus(const Exchange& exchange, int status) {
  exchange->Send({.status = status, .headers = {}, .body = ""});
}

std::string Header(const Exchange& exchange, std::string_view name) {
  return transport::HeaderOf(exchange->Request(), name);
}

// Returns the tag by which the caller identifies this request. The tag is a
// field of the body or a parameter of the content type.
std::string TagOf(const Exchange& exchange, const json& request) {
  if (request.is_object() && request.contains("tag")) {
    return request.value("tag", "");
  }
  constexpr std::string_view kParameter = "; tag=";
  const std::string type = Header(exchange, "Content-Type");
  const auto at = type.find(kParameter);
  return at == std::string::npos ? "" : type.substr(at + kParameter.size());
}

}  // namespace

Engine::Engine(boost::asio::io_context& context, EngineOptions options)
    : context_(context),
      options_(std::move(options)),
      cache_(options_.model.cache_tokens),
      random_(options_.seed),
      load_timer_(context) {
  if (!options_.runs_file.empty()) {
    std::ifstream previous_runs(options_.runs_file);
    for (std::string line; std::getline(previous_runs, line);) {
      json run = json::parse(line, nullptr, false);
      // The last line may be truncated if the process was killed during a
      // write.
      if (run.is_object()) runs_.push_back(std::move(run));
    }
    runs_file_.open(options_.runs_file, std::ios::app);
  }
  SampleLoad();
}

void Engine::Handle(const Exchange& exchange) {
  const std::string& target = exchange->Request().target;
  if (target == "/counts") return SendCounts(exchange);
  if (target == "/runs") return SendJson(exchange, runs_);
  if (target == "/faults") return SetFaults(exchange);
  if (faults_.hang) {
    held_.push_back(exchange);
    return;
  }
  if (target == "/health") return SendStatus(exchange, 200);
  if (target == "/load") return SendLoad(exchange);
  if (target != "/v1/completions" && target != "/v1/call") {
    return SendStatus(exchange, 404);
  }
  if (ApplyFault(exchange)) return;
  if (target == "/v1/call") return HandleCall(exchange);
  HandleCompletion(exchange);
}

bool Engine::ApplyFault(const Exchange& exchange) {
  if (faults_.refuse) {
    ++refused_;
    SendStatus(exchange, 429);
    return true;
  }
  if (std::bernoulli_distribution(faults_.error_rate)(random_)) {
    ++errors_;
    SendStatus(exchange, 500);
    return true;
  }
  return false;
}

void Engine::SetFaults(const Exchange& exchange) {
  const json request = json::parse(exchange->Request().body, nullptr, false);
  if (!request.is_object()) return SendStatus(exchange, 400);
  faults_.slow = std::max(0.01, request.value("slow", faults_.slow));
  faults_.error_rate =
      std::clamp(request.value("error_rate", faults_.error_rate), 0.0, 1.0);
  faults_.hang = request.value("hang", faults_.hang);
  faults_.refuse = request.value("refuse", faults_.refuse);
  if (!faults_.hang) held_.clear();
  SendJson(exchange, {{"slow", faults_.slow},
                      {"error_rate", faults_.error_rate},
                      {"hang", faults_.hang},
                      {"refuse", faults_.refuse}});
}

void Engine::HandleCompletion(const Exchange& exchange) {
  const json request = json::parse(exchange->Request().body, nullptr, false);
  if (!request.is_object()) return SendStatus(exchange, 400);
  const std::string prompt = request.value("prompt", "");
  auto job = std::make_shared<Job>(
      Job{.exchange = exchange,
          .workspace = Header(exchange, runtime::kWorkspaceHeader),
          .tag = TagOf(exchange, request),
          .stream = request.value("stream", false),
          .crash = prompt.find(options_.crash_marker) != std::string::npos,
          .run = request.value("name_run", false)
                     ? fmt::format("{}-{}", options_.seed, started_)
                     : "",
          .tokens = std::clamp(request.value("max_tokens", 16), 1, kMaxTokens),
          .prompt_tokens = TokensIn(prompt),
          .timer = boost::asio::steady_timer(context_)});
  // A resumed stream continues after the tokens that the caller already has.
  // These tokens are prefilled together with the prompt.
  job->resumed_from =
      std::clamp(request.value("resume_from", 0), 0, job->tokens - 1);
  job->sent = job->resumed_from;
  job->cached_tokens = cache_.Touch(prompt);
  cached_tokens_ += job->cached_tokens;
  Admit(job);
}

void Engine::HandleCall(const Exchange& exchange) {
  const std::string& body = exchange->Request().body;
  const json request = json::parse(body, nullptr, false);
  Admit(std::make_shared<Job>(
      Job{.exchange = exchange,
          .workspace = Header(exchange, runtime::kWorkspaceHeader),
          .tag = TagOf(exchange, request),
          .plain = true,
          .crash = body.find(options_.crash_marker) != std::string::npos,
          .timer = boost::asio::steady_timer(context_)}));
}

void Engine::Admit(const JobPtr& job) {
  const ModelOptions& model = options_.model;
  const bool full = model.max_running > 0 && running_ >= model.max_running;
  if (full && model.refuse_over_limit) {
    ++refused_;
    return SendStatus(job->exchange, 429);
  }
  job->exchange->OnClientDisconnected([this, job] {
    if (!job->ended) ++cancelled_;
    FinishJob(job);
  });
  if (full) {
    queue_.push_back(job);
    return;
  }
  StartRun(job);
}

void Engine::StartRun(const JobPtr& job) {
  UpdateBusyTime();
  ++running_;
  ++started_;
  job->running = true;
  const ModelOptions& model = options_.model;
  const std::string key = Header(job->exchange, runtime::kIdempotencyKeyHeader);
  if (!key.empty()) {
    ++runs_by_key_[key];
    const auto started = std::chrono::duration_cast<std::chrono::milliseconds>(
        Clock::now().time_since_epoch());
    const json run = {
        {"key", key}, {"tag", job->tag}, {"begun_ms", started.count()}};
    runs_.push_back(run);
    if (runs_file_.is_open()) runs_file_ << run.dump() << std::endl;
  }
  if (job->plain) {
    service_[job->workspace] += 1;
    return ScheduleStep(job, model.call, &Engine::FinishCall);
  }
  service_[job->workspace] +=
      static_cast<double>(job->prompt_tokens) / kPromptTokensPerCostUnit;
  if (job->stream) {
    job->exchange->StartStream(
        {.status = 200, .headers = {{"Content-Type", "text/event-stream"}}});
  }
  const std::size_t tokens =
      job->prompt_tokens + static_cast<std::size_t>(job->resumed_from);
  ScheduleStep(job, PrefillTime(model, tokens, job->cached_tokens),
               &Engine::GenerateToken);
}

void Engine::ScheduleStep(const JobPtr& job, Milliseconds duration,
                          void (Engine::*next_step)(const JobPtr&)) {
  const double factor = SlowdownOf(options_.model, running_) * faults_.slow;
  job->timer.expires_after(
      std::chrono::duration_cast<Clock::duration>(duration * factor));
  job->timer.async_wait([this, job, next_step](const auto&) {
    if (job->ended) return;
    if (job->crash) std::_Exit(kCrashExitCode);
    (this->*next_step)(job);
  });
}

void Engine::GenerateToken(const JobPtr& job) {
  service_[job->workspace] += 1;
  if (job->stream) {
    const std::string run =
        job->run.empty() ? "" : fmt::format(",\"run\":\"{}\"", job->run);
    job->exchange->Write(
        fmt::format("data: {{\"choices\":[{{\"text\":\"t{} \"}}]{}}}\n\n",
                    job->sent, run),
        nullptr);
  }
  ++job->sent;
  if (job->sent >= job->tokens) return FinishGeneration(job);
  ScheduleStep(job, options_.model.token, &Engine::GenerateToken);
}

void Engine::FinishGeneration(const JobPtr& job) {
  const json usage = {{"prompt_tokens", job->prompt_tokens},
                      {"completion_tokens", job->sent - job->resumed_from},
                      {"cached_tokens", job->cached_tokens}};
  json body = {{"choices", json::array()}, {"usage", usage}, {"tag", job->tag}};
  if (job->stream) {
    job->exchange->Write("data: " + body.dump() + "\n\ndata: [DONE]\n\n",
                         nullptr);
    job->exchange->Finish();
  } else {
    std::string text;
    for (int i = job->resumed_from; i < job->sent; ++i) {
      text += fmt::format("t{} ", i);
    }
    body["choices"] = {{{"text", text}}};
    SendJson(job->exchange, body);
  }
  FinishJob(job);
}

void Engine::FinishCall(const JobPtr& job) {
  SendJson(job->exchange, {{"done", true}, {"tag", job->tag}});
  FinishJob(job);
}

void Engine::FinishJob(const JobPtr& job) {
  if (job->ended) return;
  job->ended = true;
  if (!job->running) return;  // still queued; skipped when dequeued
  job->timer.cancel();
  UpdateBusyTime();
  --running_;
  while (!queue_.empty()) {
    const JobPtr next = queue_.front();
    queue_.pop_front();
    if (!next->ended) return StartRun(next);
  }
}

void Engine::UpdateBusyTime() {
  const Clock::time_point now = Clock::now();
  const double ms = Milliseconds(now - busy_time_updated_).count();
  busy_time_updated_ = now;
  running_ms_ += ms * running_;
  batch_ms_ += ms * std::min(running_, options_.model.batch);
}

void Engine::SampleLoad() {
  const Clock::time_point now = Clock::now();
  load_samples_.push_back(
      {.taken = now, .running = running_, .queued = queue_.size()});
  // GET /load reports the first sample. Keep as the first one the newest sample
  // that is at least `load_lag` old.
  while (load_samples_.size() > 1 &&
         now - load_samples_[1].taken >= options_.load_lag) {
    load_samples_.pop_front();
  }
  load_timer_.expires_after(kLoadInterval);
  load_timer_.async_wait([this](const auto&) { SampleLoad(); });
}

void Engine::SendLoad(const Exchange& exchange) {
  const LoadSample& sample = load_samples_.front();
  SendJson(exchange, {{"running", sample.running},
                      {"queued", sample.queued},
                      {"batch", options_.model.batch}});
}

void Engine::SendCounts(const Exchange& exchange) {
  UpdateBusyTime();
  SendJson(exchange, {{"running", running_},
                      {"queued", queue_.size()},
                      {"begun", started_},
                      {"errors", errors_},
                      {"refused", refused_},
                      {"cancelled", cancelled_},
                      {"cached_tokens", cached_tokens_},
                      {"running_ms", running_ms_},
                      {"batch_ms", batch_ms_},
                      {"batch", options_.model.batch},
                      {"service", service_},
                      {"runs_by_key", runs_by_key_}});
}

}  // namespace shallotbeam::engine_stand_in
