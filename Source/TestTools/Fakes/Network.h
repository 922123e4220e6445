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

// Simulates processes, which are known by name, and the links between them.
class Network {
 public:
  using Event = std::function<void()>;

  Network(Timeline& timeline, common::Duration delay)
      : timeline_(timeline), delay_(delay) {}

  // Starts a process. Events sent to its previous generation are dropped.
  void Start(const std::string& name);
  void Kill(const std::string& name);
  // Ends the process after its drain. IsFaultFree() doesn't count this as a
  // fault.
  void Exit(const std::string& name);
  void Freeze(const std::string& name);
  // Delivers the events that were queued while the process was frozen, in
  // order.
  void Resume(const std::string& name);
  void Cut(const std::string& a, const std::string& b);
  // Delivers the bytes that were blocked on connections, in order.
  void Heal(const std::string& a, const std::string& b);

  bool IsAlive(const std::string& name) const;
  bool IsFrozen(const std::string& name) const;
  bool IsCut(const std::string& a, const std::string& b) const;

  // Returns whether every process is running or has exited after a drain, and
  // no link is cut.
  bool IsFaultFree() const;

  // Runs `event` in process `to` after `delay`, unless the process is restarted
  // or killed before.
  void Post(const std::string& to, common::Duration delay, Event event);
  // Sends a control message. It is lost if the link is cut when it is sent or
  // when it arrives.
  void SendControl(const std::string& from, const std::string& to, Event event);
  // Sends bytes on a connection. They are delayed while the link is cut.
  void SendBytes(const std::string& from, const std::string& to, Event event);

 private:
  using Link = std::pair<std::string, std::string>;

  struct Process {
    bool alive = false;
    bool frozen = false;
    bool exited = false;
    int generation = 0;  // incremented by every start and kill
    std::vector<Event> queued_events;
  };

  static Link LinkOf(const std::string& a, const std::string& b) {
    return a < b ? Link(a, b) : Link(b, a);
  }
  void Deliver(const std::string& to, int generation, const Event& event);

  Timeline& timeline_;
  common::Duration delay_;
  std::map<std::string, Process> processes_;
  std::set<Link> cuts_;
  std::map<Link, std::vector<Event>> blocked_events_;
};

}  // namespace shallotbeam::fakes

#endif  // SHALLOTBEAM_TESTTOOLS_FAKES_NETWORK_H_
