#ifndef SHALLOTBEAM_CORE_PLATFORMCLIENTS_RELAYEDSTORE_H_
#define SHALLOTBEAM_CORE_PLATFORMCLIENTS_RELAYEDSTORE_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "PlatformClients/ItemStore.h"
#include "Transport/HttpClient.h"

namespace shallotbeam::platform_clients {

struct RelayedStoreOptions {
  common::ProcessName name;  // of this process
  // Processes that may pass changes on. Empty: always asks the store.
  std::vector<common::Endpoint> relays;
  // Wait of a poll of a relay, whatever the wait of a poll of the store would
  // be. Short, so that the loss of a relay is noticed soon.
  std::chrono::milliseconds poll_wait{1'000};
  // Time for the response of a relay, beside the wait.
  std::chrono::milliseconds response_timeout{500};
  // A relay that failed is asked again after this time.
  common::Duration retry_after = std::chrono::seconds(3);
};

// Follows the changes of the store through a relay, a process that polls the
// store for others, so that the number of calls to the store does not grow with
// the number of processes. Asks the store itself while no relay responds. Lists
// always come from the store. Used by the thread of the client, and must
// outlive its last call.
class RelayedStore : public ItemStore {
 public:
  RelayedStore(ItemStore& store, transport::HttpClient& client,
               const common::Clock& clock, RelayedStoreOptions options);
  void List(const std::string& prefix, const std::string& after,
            std::function<void(ListResult)> done) override;
  void AwaitChanges(const std::string& prefix, common::StorePosition position,
                    std::chrono::milliseconds wait,
                    std::function<void(ChangesResult)> done) override;

 private:
  struct Relay {
    common::Endpoint endpoint;
    common::TimePoint retry_at;
  };

  Relay* UsableRelay();
  // Absent if the response can't be used.
  std::optional<ChangesResult> AcceptResponse(
      transport::CallEnd end, const transport::HttpResponse& response,
      common::StorePosition position) const;
  void MarkFailed(Relay& relay, transport::CallEnd end, int status,
                  common::Duration call_time);

  ItemStore& store_;
  transport::HttpClient& client_;
  const common::Clock& clock_;
  RelayedStoreOptions options_;
  std::vector<Relay> relays_;  // preferred first
};

}  // namespace shallotbeam::platform_clients

#endif  // SHALLOTBEAM_CORE_PLATFORMCLIENTS_RELAYEDSTORE_H_
