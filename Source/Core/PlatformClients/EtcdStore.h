#ifndef SHALLOTBEAM_CORE_PLATFORMCLIENTS_ETCDSTORE_H_
#define SHALLOTBEAM_CORE_PLATFORMCLIENTS_ETCDSTORE_H_

#include <atomic>
#include <functional>
#include <string>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "PlatformClients/KeyValueStore.h"
#include "Transport/HttpClient.h"

namespace shallotbeam::platform_clients {

struct EtcdOptions {
  common::Endpoint endpoint;
  common::Duration timeout = std::chrono::seconds(1);
  // A watch ends after this time and its owner starts a new one, so that a dead
  // connection is detected.
  common::Duration watch_timeout = std::chrono::seconds(60);
};

// Calls made so far. Each call counts against the rate limits of the service.
struct CallCounts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t leases = 0;
  std::uint64_t watches = 0;
};

// Client of the JSON gateway of etcd v3: /v3/kv/range, /v3/kv/txn, /v3/lease/*
// and /v3/watch.
class EtcdStore : public LeaseStore {
 public:
  EtcdStore(transport::HttpClient& client, EtcdOptions options);

  void Read(const std::string& key,
            std::function<void(ReadResult)> done) override;
  void CompareAndSwap(const std::string& key, std::uint64_t expected_revision,
                      const std::string& value,
                      std::function<void(SwapResult)> done) override;

  void GrantLease(std::chrono::seconds time_to_live,
                  std::function<void(LeaseResult)> done) override;
  void RenewLease(LeaseId lease,
                  std::function<void(LeaseResult)> done) override;
  void RevokeLease(LeaseId lease,
                   std::function<void(LeaseResult)> done) override;
  void CompareAndSwapLeased(const std::string& key,
                            std::uint64_t expected_revision,
                            const std::string& value, LeaseId lease,
                            std::function<void(SwapResult)> done) override;
  std::shared_ptr<KeyWatch> Watch(const std::string& key,
                                  std::uint64_t from_revision,
                                  WatchHandlers handlers) override;

  CallCounts Calls() const;

 private:
  using Counter = std::atomic<std::uint64_t>;

  void Post(const std::string& path, std::string body, Counter* counter,
            transport::HttpClient::FetchHandler handler);

  transport::HttpClient& client_;
  EtcdOptions options_;
  Counter reads_ = 0;
  Counter writes_ = 0;
  Counter leases_ = 0;
  Counter watches_ = 0;
};

}  // namespace shallotbeam::platform_clients

#endif  // SHALLOTBEAM_CORE_PLATFORMCLIENTS_ETCDSTORE_H_
