#include "Fakes/Network.h"

namespace shallotbeam::fakes {

void Network::Start(const std::string& name) {
  Process& process = processes_[name];
  process = {.alive = true, .run = process.run + 1};
}

void Network::Kill(const std::string& name) {
  Process& process = processes_[name];
  process = {.run = process.run + 1};
}

void Network::Freeze(const std::string& name) {
  processes_[name].frozen = true;
}

void Network::Resume(const std::string& name) {
  Process& process = processes_[name];
  process.frozen = false;
  const std::vector<Event> held = std::exchange(process.held, {});
  for (const Event& event : held) event();
}

void Network::Cut(const std::string& a, const std::string& b) {
  cuts_.insert(LinkOf(a, b));
}

void Network::Heal(const std::string& a, const std::string& b) {
  cuts_.erase(LinkOf(a, b));
  const std::vector<Event> blocked = std::exchange(blocked_[LinkOf(a, b)], {});
  for (const Event& event : blocked) event();
}

bool Network::IsAlive(const std::string& name) const {
  const auto it = processes_.find(name);
  return it != processes_.end() && it->second.alive;
}

bool Network::IsFrozen(const std::string& name) const {
  const auto it = processes_.find(name);
  return it != processes_.end() && it->second.frozen;
}

bool Network::IsCut(const std::string& a, const std::string& b) const {
  return cuts_.count(LinkOf(a, b)) != 0;
}

void Network::Post(const std::string& to, common::Duration delay, Event event) {
  timeline_.After(
      delay, [this, to, run = processes_[to].run, event = std::move(event)] {
        Deliver(to, run, event);
      });
}

void Network::SendControl(const std::string& from, const std::string& to,
                          Event event) {
  if (IsCut(from, to)) return;
  timeline_.After(delay_, [this, from, to, run = processes_[to].run,
                           event = std::move(event)] {
    if (!IsCut(from, to)) Deliver(to, run, event);
  });
}

void Network::SendBytes(const std::string& from, const std::string& to,
                        Event event) {
  timeline_.After(delay_, [this, from, to, run = processes_[to].run,
                           event = std::move(event)] {
    if (!IsCut(from, to)) return Deliver(to, run, event);
    blocked_[LinkOf(from, to)].push_back(
        [this, to, run, event] { Deliver(to, run, event); });
  });
}

void Network::Deliver(const std::string& to, int run, const Event& event) {
  Process& process = processes_[to];
  if (!process.alive || process.run != run) return;
  if (process.frozen) return process.held.push_back(event);
  event();
}

}  // namespace shallotbeam::fakes
