#ifndef SHALLOTBEAM_CORE_PLATFORM_ETCDSTORE_H_
#define SHALLOTBEAM_CORE_PLATFORM_ETCDSTORE_H_

#include <atomic>
#include <functional>
#include <string>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Platform/KeyValueStore.h"
#include "Transport/HttpClient.h"

namespace shallotbeam::platform {

struct EtcdOptions {
  common::Endpoint endpoint;
  common::Duration timeout = std::chrono::seconds(1);
};

// Speaks the JSON gateway of etcd v3: /v3/kv/range and /v3/kv/txn.
class EtcdStore : public KeyValueStore {
 public:
  EtcdStore(transport::HttpClient& client, EtcdOptions options);

  void Read(const std::string& key,
            std::function<void(ReadResult)> done) override;
  void CompareAndSwap(const std::string& key, std::uint64_t expected_revision,
                      const std::string& value,
                      std::function<void(SwapResult)> done) override;

  // Calls made so far.
  std::uint64_t Calls() const { return calls_; }

 private:
  void Post(const std::string& path, std::string body,
            transport::HttpClient::FetchHandler handler);

  transport::HttpClient& client_;
  EtcdOptions options_;
  std::atomic<std::uint64_t> calls_ = 0;
};

}  // namespace shallotbeam::platform

#endif  // SHALLOTBEAM_CORE_PLATFORM_ETCDSTORE_H_
