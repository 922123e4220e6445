#include "PlatformClients/HostList.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

namespace shallotbeam::platform_clients {

namespace {

using nlohmann::json;

bool HasString(const json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_string();
}

}  // namespace

HostsResult ParseHosts(const std::string& text) {
  const json list = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!list.is_array()) {
    return absl::InvalidArgumentError("host list: expected a JSON list");
  }
  std::vector<Host> hosts;
  for (const json& it : list) {
    const bool has_all_fields = it.is_object() && HasString(it, "name") &&
                                HasString(it, "address") &&
                                HasString(it, "state");
    const std::string state =
        has_all_fields ? it["state"].get<std::string>() : "";
    if (state != "live" && state != "leaving") {
      return absl::InvalidArgumentError(
          absl::StrCat("host list: expected name, address and state \"live\" "
                       "or \"leaving\", found ",
                       it.dump()));
    }
    hosts.push_back(
        {.name = it["name"].get<std::string>(),
         .address = it["address"].get<std::string>(),
         .state = state == "live" ? HostState::kLive : HostState::kLeaving});
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
