#include "PlatformClients/HostList.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "Common/Json.h"
#include "Common/Logging.h"
#include "absl/status/status.h"

namespace shallotbeam::platform_clients {

namespace {

using nlohmann::json;

bool HasString(const json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_string();
}

// Absent if the row names no host.
std::optional<Host> ParseHost(const json& row) {
  const bool has_all_fields = row.is_object() && HasString(row, "name") &&
                              HasString(row, "address") &&
                              HasString(row, "state");
  if (!has_all_fields) return std::nullopt;
  const auto state = row["state"].get<std::string>();
  if (state != "live" && state != "leaving") return std::nullopt;
  return Host{
      .name = row["name"].get<std::string>(),
      .address = row["address"].get<std::string>(),
      .state = state == "live" ? HostState::kLive : HostState::kLeaving};
}

}  // namespace

HostsResult ParseHosts(const std::string& text) {
  const json list = common::ParseJson(text);
  if (!list.is_array()) {
    return absl::InvalidArgumentError("host list: expected a JSON list");
  }
  std::vector<Host> hosts;
  std::size_t ignored = 0;
  for (const json& it : list) {
    auto host = ParseHost(it);
    if (host) {
      hosts.push_back(*std::move(host));
    } else {
      ++ignored;
    }
  }
  if (hosts.empty() && ignored > 0) {
    return absl::InvalidArgumentError(
        "host list: expected name, address and state \"live\" or "
        "\"leaving\" in each row");
  }
  if (ignored > 0) {
    common::Log(common::Subsystem::kPlatform, common::LogLevel::kWarning,
                "event=host_rows_ignored rows={}", ignored);
  }
  return hosts;
}

HttpHostList::HttpHostList(transport::HttpClient& client,
                           HostListOptions options)
    : client_(client), options_(std::move(options)) {}

void HttpHostList::List(std::function<void(HostsResult)> done) {
  client_.Fetch(
      options_.endpoint, {.method = "GET", .target = "/hosts"},
      options_.timeout,
      [done = std::move(done)](transport::CallEnd end,
                               const transport::HttpResponse& response) {
        if (end != transport::CallEnd::kComplete || response.status != 200) {
          return done(absl::UnavailableError(
              "no valid response from the host list service"));
        }
        done(ParseHosts(response.body));
      });
}

}  // namespace shallotbeam::platform_clients
