#ifndef SHALLOTBEAM_TESTTOOLS_FAKES_FLEET_H_
#define SHALLOTBEAM_TESTTOOLS_FAKES_FLEET_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Fakes/FakeAgent.h"
#include "Fakes/FakeRouter.h"
#include "Fakes/World.h"

namespace shallotbeam::fakes {

struct FleetOptions {
  int routers = 2;  // r1, r2, ...
  int agents = 3;   // a1, a2, ...
  int slots = 2;    // per agent, fixed
  std::map<std::string, double> weights = {{"a", 1}, {"b", 1}};
  std::uint64_t seed = 1;
  common::Duration step = std::chrono::milliseconds(2);
  common::Duration delay = std::chrono::milliseconds(2);
};

// Service and backlog of the workspaces at one point in time.
struct Sample {
  common::TimePoint at;
  std::map<std::string, double> service;  // cost divided by weight
  std::map<std::string, int> waiting;     // requests in routers' queues
  bool idle_slot = false;                 // at an agent that accepts requests
};

// A simulated fleet of a few routers and agents with one pool, on a fake clock,
// network, store and upstreams.
class Fleet {
 public:
  explicit Fleet(const FleetOptions& options);

  void RunFor(common::Duration period) { simulation_.timeline.RunFor(period); }
  common::TimePoint Now() const { return simulation_.timeline.Now(); }

  // Returns the index of the call.
  std::size_t Send(CallOptions options);
  void Disconnect(std::size_t call);
  void Kill(const std::string& name);
  void Restart(const std::string& name);
  void Freeze(const std::string& name);
  void Resume(const std::string& name);
  void Cut(const std::string& a, const std::string& b);
  void Heal(const std::string& a, const std::string& b);
  void HealAll();
  void Drain(const std::string& name);
  // Marks the agent as leaving in the host list. Each router sees the new host
  // list 500 ms later.
  void Leave(const std::string& agent);
  void SetStore(StoreMode mode) { simulation_.store_mode = mode; }
  void SetUpstream(const std::string& agent, UpstreamMode mode);
  void CrashUpstream(const std::string& agent);
  // Publishes the same configuration under a higher version.
  void Publish();

  const FleetOptions& Options() const { return options_; }
  const Records& GetRecords() const { return simulation_.records; }
  const std::vector<Sample>& Samples() const { return samples_; }
  // Returns the lowest configuration version in force on any live process.
  std::uint64_t LowestVersion() const;
  std::uint64_t PublishedVersion() const;
  bool Drained(const std::string& name) const;

 private:
  void TakeSample();

  FleetOptions options_;
  Simulation simulation_;
  std::map<std::string, std::unique_ptr<FakeRouter>> routers_;
  std::map<std::string, std::unique_ptr<FakeAgent>> agents_;
  std::uint64_t next_content_ = 1;
  std::vector<Sample> samples_;
  std::map<std::string, double> service_;  // sum over the sampled runs
  std::size_t sampled_runs_ = 0;
};

}  // namespace shallotbeam::fakes

#endif  // SHALLOTBEAM_TESTTOOLS_FAKES_FLEET_H_
