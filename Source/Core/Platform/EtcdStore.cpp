#include "Platform/EtcdStore.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"

namespace shallotbeam::platform {

namespace {

using nlohmann::json;
using transport::CallEnd;
using transport::HttpResponse;

// The gateway sends 64-bit numbers as strings.
std::uint64_t NumberOf(const json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end()) return 0;
  if (it->is_number_unsigned()) return it->get<std::uint64_t>();
  std::uint64_t value = 0;
  if (it->is_string() &&
      !absl::SimpleAtoi(it->get_ref<const std::string&>(), &value)) {
    return 0;
  }
  return value;
}

// First entry of a range response; absent keys have none.
StoredValue FirstOf(const json& range) {
  const auto entries = range.find("kvs");
  if (entries == range.end() || !entries->is_array() || entries->empty()) {
    return {};
  }
  const json& entry = entries->front();
  StoredValue stored{.revision = NumberOf(entry, "mod_revision")};
  const auto value = entry.find("value");
  if (value != entry.end() && value->is_string()) {
    absl::Base64Unescape(value->get_ref<const std::string&>(), &stored.value);
  }
  return stored;
}

std::optional<json> ParseAnswer(CallEnd end, const HttpResponse& response) {
  if (end != CallEnd::kComplete || response.status != 200) return std::nullopt;
  json answer = json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  if (!answer.is_object()) return std::nullopt;
  return answer;
}

SwapResult JudgeTransaction(const json& answer, const std::string& value) {
  const bool succeeded = answer.value("succeeded", false);
  if (succeeded) {
    const auto header = answer.find("header");
    const std::uint64_t revision =
        header == answer.end() ? 0 : NumberOf(*header, "revision");
    return {.outcome = SwapOutcome::kSwapped,
            .stored = {.revision = revision, .value = value}};
  }
  const auto responses = answer.find("responses");
  if (responses == answer.end() || !responses->is_array() ||
      responses->empty()) {
    return {};
  }
  const auto range = responses->front().find("response_range");
  if (range == responses->front().end()) return {};
  return {.outcome = SwapOutcome::kConflict, .stored = FirstOf(*range)};
}

}  // namespace

EtcdStore::EtcdStore(transport::HttpClient& client, EtcdOptions options)
    : client_(client), options_(std::move(options)) {}

void EtcdStore::Read(const std::string& key,
                     std::function<void(ReadResult)> done) {
  const json request = {{"key", absl::Base64Escape(key)}};
  Post("/v3/kv/range", request.dump(),
       [done = std::move(done)](CallEnd end, const HttpResponse& response) {
         const auto answer = ParseAnswer(end, response);
         if (!answer) {
           return done({.status = absl::UnavailableError(
                            "key-value service gave no answer")});
         }
         done({.status = absl::OkStatus(), .stored = FirstOf(*answer)});
       });
}

void EtcdStore::CompareAndSwap(const std::string& key,
                               std::uint64_t expected_revision,
                               const std::string& value,
                               std::function<void(SwapResult)> done) {
  const std::string encoded_key = absl::Base64Escape(key);
  const json compare = {{"key", encoded_key},
                        {"target", "MOD"},
                        {"result", "EQUAL"},
                        {"mod_revision", std::to_string(expected_revision)}};
  const json put = {
      {"request_put",
       {{"key", encoded_key}, {"value", absl::Base64Escape(value)}}}};
  const json get = {{"request_range", {{"key", encoded_key}}}};
  const json request = {{"compare", json::array({compare})},
                        {"success", json::array({put})},
                        {"failure", json::array({get})}};
  Post("/v3/kv/txn", request.dump(),
       [value, done = std::move(done)](CallEnd end,
                                       const HttpResponse& response) {
         const auto answer = ParseAnswer(end, response);
         done(answer ? JudgeTransaction(*answer, value) : SwapResult());
       });
}

void EtcdStore::Post(const std::string& path, std::string body,
                     transport::HttpClient::FetchHandler handler) {
  ++calls_;
  transport::HttpRequest request{.method = "POST", .target = path};
  request.headers.set("Content-Type", "application/json");
  request.body = std::move(body);
  client_.Fetch(options_.endpoint, std::move(request), options_.timeout,
                std::move(handler));
}

}  // namespace shallotbeam::platform
