#include "Fakes/Network.h"

#include <algorithm>

namespace shallotbeam::fakes {

void Network::Start(const std::string& name) {
  Process& process = processes_[name];
  process = {.alive = true, .generation = process.generation + 1};
}

void Network::Kill(const std::string& name) {
  Process& process = processes_[name];
  process = {.generation = process.generation + 1};
}

void Network::Exit(const std::string& name) {
  Kill(name);
  processes_[name].exited = true;
}

void Network::Freeze(const std::string& name) {
  processes_[name].frozen = true;
}

void Network::Resume(const std::string& name) {
  Process& process = processes_[name];
  process.frozen = false;
  const std::vector<Event> queued_events =
      std::exchange(process.queued_events, {});
  for (const Event& event : queued_events) event();
}

void Network::Cut(const std::string& a, const std::string& b) {
  cuts_.insert(LinkOf(a, b));
}

void Network::Heal(const std::string& a, const std::string& b) {
  cuts_.erase(LinkOf(a, b));
  const std::vector<Event> blocked_events =
      std::exchange(blocked_events_[LinkOf(a, b)], {});
  for (const Event& event : blocked_events) event();
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

bool Network::IsFaultFree() const {
  return cuts_.empty() &&
         std::all_of(processes_.begin(), processes_.end(), [](const auto& it) {
           return it.second.exited || (it.second.alive && !it.second.frozen);
         });
}

void Network::Post(const std::string& to, common::Duration delay, Event event) {
  timeline_.RunAfter(
      delay, [this, to, generation = processes_[to].generation,
              event = std::move(event)] { Deliver(to, generation, event); });
}

void Network::SendControl(const std::string& from, const std::string& to,
                          Event event) {
  if (IsCut(from, to)) return;
  timeline_.RunAfter(delay_,
                     [this, from, to, generation = processes_[to].generation,
                      event = std::move(event)] {
                       if (!IsCut(from, to)) Deliver(to, generation, event);
                     });
}

void Network::SendBytes(const std::string& from, const std::string& to,
                        Event event) {
  timeline_.RunAfter(
      delay_, [this, from, to, generation = processes_[to].generation,
               event = std::move(event)] {
        if (!IsCut(from, to)) return Deliver(to, generation, event);
        blocked_events_[LinkOf(from, to)].push_back(
            [this, to, generation, event] { Deliver(to, generation, event); });
      });
}

void Network::Deliver(const std::string& to, int generation,
                      const Event& event) {
  Process& process = processes_[to];
  if (!process.alive || process.generation != generation) return;
  if (process.frozen) return process.queued_events.push_back(event);
  event();
}

}  // namespace shallotbeam::fakes
