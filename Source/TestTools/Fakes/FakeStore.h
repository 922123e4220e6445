#ifndef SHALLOTBEAM_TESTTOOLS_FAKES_FAKESTORE_H_
#define SHALLOTBEAM_TESTTOOLS_FAKES_FAKESTORE_H_

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "Fakes/Timeline.h"
#include "PlatformClients/KeyValueStore.h"

namespace shallotbeam::fakes {

enum class StoreMode : std::uint8_t {
  kUp,
  kDown,          // operations fail and have no effect
  kSlow,          // operations take effect after their timeout
  kLosesAnswers,  // writes take effect, but their replies are lost
};

struct StoreContent {
  std::uint64_t last_revision = 0;
  std::map<std::string, platform_clients::StoredValue> values;
};

// One client's connection to the store. Operations time out after 1 s.
class FakeStore : public platform_clients::KeyValueStore {
 public:
  // `mode` is called for every operation.
  FakeStore(Timeline& timeline, StoreContent& content,
            std::function<StoreMode()> mode)
      : timeline_(timeline), content_(content), mode_(std::move(mode)) {}

  void Read(const std::string& key,
            std::function<void(platform_clients::ReadResult)> done) override;
  void CompareAndSwap(
      const std::string& key, std::uint64_t expected_revision,
      const std::string& value,
      std::function<void(platform_clients::SwapResult)> done) override;

 private:
  Timeline& timeline_;
  StoreContent& content_;
  std::function<StoreMode()> mode_;
};

}  // namespace shallotbeam::fakes

#endif  // SHALLOTBEAM_TESTTOOLS_FAKES_FAKESTORE_H_
