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

// Stand-in for the platform: the JSON gateway of etcd v3 (range, txn with one
// comparison, leases, watches of one key) and the host list. Switches for
// faults at POST /faults, hosts at POST /hosts, counts of calls at /calls.
namespace shallotbeam::testtools {

struct Faults {
  bool down = false;          // no answer, no effect
  bool lose_answers = false;  // writes take effect but get no answer
  int delay_ms = 0;           // before each answer
  int host_lag_ms = 0;        // before a change of the host list is visible
};

// Must be used by one thread, that of the context.
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
    std::uint64_t generation = 0;  // of the timer that ends it
  };
  struct Watcher {
    std::string key;
    Exchange exchange;
  };

  void Serve(const Exchange& exchange, const nlohmann::json& request);
  void SetFaults(const Exchange& exchange, const nlohmann::json& request);
  void SetHosts(const Exchange& exchange, const nlohmann::json& request);
  void Range(const Exchange& exchange, const nlohmann::json& request);
  void Transact(const Exchange& exchange, const nlohmann::json& request);
  void GrantLease(const Exchange& exchange, const nlohmann::json& request);
  void KeepLease(const Exchange& exchange, const nlohmann::json& request);
  void RevokeLease(const Exchange& exchange, const nlohmann::json& request);
  void Watch(const Exchange& exchange, const nlohmann::json& request);

  void Put(const std::string& key, const nlohmann::json& put);
  void StartLease(std::uint64_t id);
  void EndLease(std::uint64_t id);
  void Notify(const std::string& key);
  void After(int ms, std::function<void()> action);
  nlohmann::json RangeOf(const std::string& key) const;
  nlohmann::json EventOf(const std::string& key) const;
  nlohmann::json HeaderOf() const;

  boost::asio::io_context& context_;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Watcher> watchers_;
  std::vector<Exchange> held_;  // never answered
  nlohmann::json hosts_ = nlohmann::json::array();
  std::uint64_t revision_ = 1;
  std::uint64_t next_lease_ = 1;
  Faults faults_;
  std::map<std::string, std::uint64_t> calls_;  // by path
};

// The stand-in on a loopback port with a thread of its own, for tests.
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
