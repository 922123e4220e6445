#include "PlatformClients/RelayCodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "Common/Logging.h"
#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace shallotbeam::platform_clients {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view kPollPrefix = "/changes?after=";
constexpr std::string_view kWaitKey = "wait_ms=";
constexpr std::string_view kEraKey = "era=";
constexpr std::uint64_t kMaxWaitMs = 30'000;

// Parses "KEY=NUMBER".
bool ParseField(absl::string_view field, std::string_view key,
                std::uint64_t* number) {
  return absl::ConsumePrefix(&field,
                             absl::string_view(key.data(), key.size())) &&
         absl::SimpleAtoi(field, number);
}

ItemChange DecodeChange(const json& object, std::uint64_t era) {
  ItemChange change{
      .item = {.key = object.at("key").get<std::string>(),
               .position = {.era = era,
                            .revision =
                                object.at("revision").get<std::uint64_t>()}},
      .removed = object.at("removed").get<bool>()};
  if (!absl::Base64Unescape(object.at("value").get<std::string>(),
                            &change.item.value)) {
    throw std::invalid_argument("value is not base64");
  }
  return change;
}

}  // namespace

std::string EncodeRelayPoll(const RelayPoll& poll) {
  return fmt::format("{}{}&{}{}&{}{}", kPollPrefix, poll.position.revision,
                     kWaitKey, poll.wait.count(), kEraKey, poll.position.era);
}

std::optional<RelayPoll> DecodeRelayPoll(std::string_view target) {
  absl::string_view rest(target.data(), target.size());
  if (!absl::ConsumePrefix(
          &rest, absl::string_view(kPollPrefix.data(), kPollPrefix.size()))) {
    return std::nullopt;
  }
  const std::vector<std::string> fields = absl::StrSplit(rest, '&');
  if (fields.size() != 3) return std::nullopt;
  RelayPoll poll;
  std::uint64_t wait_ms = 0;
  const bool valid = absl::SimpleAtoi(fields[0], &poll.position.revision) &&
                     ParseField(fields[1], kWaitKey, &wait_ms) &&
                     ParseField(fields[2], kEraKey, &poll.position.era);
  if (!valid) return std::nullopt;
  poll.wait = milliseconds(std::min(wait_ms, kMaxWaitMs));
  return poll;
}

std::string EncodeRelayResult(const ChangesResult& result) {
  json changes = json::array();
  for (const ItemChange& it : result.changes) {
    changes.push_back({{"key", it.item.key},
                       {"value", absl::Base64Escape(it.item.value)},
                       {"revision", it.item.position.revision},
                       {"removed", it.removed}});
  }
  return json{{"as_of", result.as_of.revision},
              {"era", result.as_of.era},
              {"age_ms", result.copy->age.count()},
              {"waited_ms", result.copy->waited.count()},
              {"changes", std::move(changes)}}
      .dump();
}

std::optional<ChangesResult> DecodeRelayResult(const std::string& body) {
  // The JSON library throws if a field is missing or has another type.
  try {
    const json object = json::parse(body);
    ChangesResult result{
        .status = absl::OkStatus(),
        .as_of = {.era = object.at("era").get<std::uint64_t>(),
                  .revision = object.at("as_of").get<std::uint64_t>()},
        .copy = CopyOfStore{
            .age = milliseconds(object.at("age_ms").get<std::uint32_t>()),
            .waited =
                milliseconds(object.at("waited_ms").get<std::uint32_t>())}};
    for (const json& it : object.at("changes")) {
      result.changes.push_back(DecodeChange(it, result.as_of.era));
    }
    return result;
  } catch (const std::exception& error) {
    common::Log(common::Subsystem::kPlatform, common::LogLevel::kWarning,
                "event=relay_response_unreadable cause=\"{}\"", error.what());
    return std::nullopt;
  }
}

}  // namespace shallotbeam::platform_clients
