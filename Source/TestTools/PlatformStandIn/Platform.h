#ifndef SHALLOTBEAM_TESTTOOLS_PLATFORMSTANDIN_PLATFORM_H_
#define SHALLOTBEAM_TESTTOOLS_PLATFORMSTANDIN_PLATFORM_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Common/Types.h"
#include "Transport/HttpServer.h"

// Stand-in for the platform. It implements the JSON gateway of etcd v3 (range,
// txn with one comparison, leases, watches of a single key) and the host list.
// POST /faults injects faults, POST /hosts sets the host list and /calls
// returns the number of calls by path.
namespace shallotbeam::testtools {

// Injected faults, set by POST /faults.
struct Faults {
  bool down = false;          // calls have no effect and get no response
  bool lose_answers = false;  // writes take effect but get no response
  int delay_ms = 0;           // delay before each call is processed
  int host_lag_ms = 0;        // delay until a new host list is visible
};

// Not thread-safe; must be used on the thread that runs the context.
class Platform {
 public:
  explicit Platform(boost::asio::io_context& context) : context_(context) {}

  void Handle(const std::shared_ptr<transport::HttpExchange>& exchange);

 private:
  using Exchange = std::shared_ptr<transport::HttpExchange>;
  using Handler = void (Platform::*)(const Exchange&, const nlohmann::json&);

  struct Entry {
    std::string value;  // in base64, as sent
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    std::int64_t ttl_seconds = 0;
    // Incremented at each renewal, which makes earlier expiry timers void.
    std::uint64_t generation = 0;
  };
  struct Watcher {
    std::string key;
    Exchange exchange;
  };

  void ProcessCall(const Exchange& exchange, const nlohmann::json& request);
  void SetFaults(const Exchange& exchange, const nlohmann::json& request);
  void SetHosts(const Exchange& exchange, const nlohmann::json& request);
  void Range(const Exchange& exchange, const nlohmann::json& request);
  void Transact(const Exchange& exchange, const nlohmann::json& request);
  void GrantLease(const Exchange& exchange, const nlohmann::json& request);
  void KeepLeaseAlive(const Exchange& exchange, const nlohmann::json& request);
  void RevokeLease(const Exchange& exchange, const nlohmann::json& request);
  void Watch(const Exchange& exchange, const nlohmann::json& request);

  void Put(const std::string& key, const nlohmann::json& put);
  void RestartLeaseTimer(std::uint64_t id);
  void RemoveLease(std::uint64_t id);
  void NotifyWatchers(const std::string& key);
  void RunAfter(int ms, std::function<void()> action);
  nlohmann::json RangeResponse(const std::string& key) const;
  nlohmann::json WatchEvent(const std::string& key) const;
  nlohmann::json ResponseHeader() const;

  boost::asio::io_context& context_;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Watcher> watchers_;
  std::vector<Exchange> held_;  // calls that get no response
  nlohmann::json hosts_ = nlohmann::json::array();
  std::uint64_t revision_ = 1;
  std::uint64_t next_lease_ = 1;
  Faults faults_;
  std::map<std::string, std::uint64_t> calls_;  // by path
};

// Runs the stand-in on a loopback port and on its own thread, for tests.
class PlatformServer {
 public:
  PlatformServer();
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  common::Endpoint Address() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace shallotbeam::testtools

#endif  // SHALLOTBEAM_TESTTOOLS_PLATFORMSTANDIN_PLATFORM_H_
