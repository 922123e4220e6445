#ifndef SHALLOTBEAM_CORE_PLATFORMCLIENTS_HOSTLIST_H_
#define SHALLOTBEAM_CORE_PLATFORMCLIENTS_HOSTLIST_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Transport/HttpClient.h"
#include "absl/status/statusor.h"

// The platform's list of hosts. The list lags behind the fleet: a host that is
// missing from it may still be running.
namespace shallotbeam::platform_clients {

enum class HostState : std::uint8_t { kLive, kLeaving };

struct Host {
  std::string name;
  std::string address;  // IP address
  HostState state = HostState::kLive;
};

using HostsResult = absl::StatusOr<std::vector<Host>>;

class HostList {
 public:
  virtual ~HostList() = default;

  // Calls `done` on another thread; kUnavailable if there is no valid response.
  virtual void List(std::function<void(HostsResult)> done) = 0;
};

// Parses [{"name": "h1", "address": "10.1.2.3", "state": "live"}, ...], where
// the state is "live" or "leaving". Returns kInvalidArgument for anything else.
HostsResult ParseHosts(const std::string& text);

struct HostListOptions {
  common::Endpoint endpoint;
  common::Duration timeout = std::chrono::seconds(1);
};

// Fetches the list with GET /hosts.
class HttpHostList : public HostList {
 public:
  HttpHostList(transport::HttpClient& client, HostListOptions options);

  void List(std::function<void(HostsResult)> done) override;

 private:
  transport::HttpClient& client_;
  HostListOptions options_;
};

}  // namespace shallotbeam::platform_clients

#endif  // SHALLOTBEAM_CORE_PLATFORMCLIENTS_HOSTLIST_H_
