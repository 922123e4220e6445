#ifndef SHALLOTBEAM_TESTTOOLS_FAKES_NETWORK_H_
#define SHALLOTBEAM_TESTTOOLS_FAKES_NETWORK_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Fakes/Timeline.h"

namespace shallotbeam::fakes {

// Processes by name and the links between them.
class Network {
 public:
  using Event = std::function<void()>;

  Network(Timeline& timeline, common::Duration delay)
      : timeline_(timeline), delay_(delay) {}

  // Starts a process; events for its previous run are dropped.
  void Start(const std::string& name);
  void Kill(const std::string& name);
  void Freeze(const std::string& name);
  // Delivers what was held back, in order.
  void Resume(const std::string& name);
  void Cut(const std::string& a, const std::string& b);
  // Delivers what waited on connections, in order.
  void Heal(const std::string& a, const std::string& b);

  bool IsAlive(const std::string& name) const;
  bool IsFrozen(const std::string& name) const;
  bool IsCut(const std::string& a, const std::string& b) const;

  // Runs `event` in the present run of process `to` after `delay`.
  void Post(const std::string& to, common::Duration delay, Event event);
  // A control message: lost if the link is cut on sending or on arrival.
  void SendControl(const std::string& from, const std::string& to, Event event);
  // Bytes on a connection: they wait while the link is cut.
  void SendBytes(const std::string& from, const std::string& to, Event event);

 private:
  using Link = std::pair<std::string, std::string>;

  struct Process {
    bool alive = false;
    bool frozen = false;
    int run = 0;
    std::vector<Event> held;
  };

  static Link LinkOf(const std::string& a, const std::string& b) {
    return a < b ? Link(a, b) : Link(b, a);
  }
  void Deliver(const std::string& to, int run, const Event& event);

  Timeline& timeline_;
  common::Duration delay_;
  std::map<std::string, Process> processes_;
  std::set<Link> cuts_;
  std::map<Link, std::vector<Event>> blocked_;
};

}  // namespace shallotbeam::fakes

#endif  // SHALLOTBEAM_TESTTOOLS_FAKES_NETWORK_H_
