#include "Suspects/SuspectList.h"

#include <algorithm>
#include <optional>
#include <set>

namespace shallotbeam::suspects {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

protocol::SuspectRow ToRow(common::Fingerprint fingerprint,
                           const Suspect& suspect, common::TimePoint now) {
  const auto ban_left =
      std::max(suspect.banned_until - now, common::Duration());
  return {.fingerprint = fingerprint,
          .crashes = suspect.crashes,
          .ban_left = duration_cast<milliseconds>(ban_left),
          .age = duration_cast<milliseconds>(now - suspect.last_crash),
          .crashed_agents = {suspect.crashed_agents.begin(),
                             suspect.crashed_agents.end()}};
}

// Returns the request of a reported crash that was also in flight when another
// upstream crashed, if exactly one is known. Needed because both crashes may
// have happened before either agent knew of the other one.
std::optional<common::Fingerprint> FindCulprit(const SuspectList& list,
                                               const protocol::Suspects& crash,
                                               common::TimePoint now) {
  std::optional<common::Fingerprint> culprit;
  if (crash.crashed_agent.empty()) return culprit;
  for (const protocol::SuspectRow& row : crash.rows) {
    if (!IsSuspect(list, row.fingerprint, now)) continue;
    const auto& crashed_agents = CrashedAgents(list, row.fingerprint);
    if (crashed_agents.contains(crash.crashed_agent)) {
      return std::nullopt;  // already counted
    }
    if (culprit) return std::nullopt;
    culprit = row.fingerprint;
  }
  return culprit;
}

// Returns true if this call cleared the suspect.
bool Clear(Suspect& suspect, common::TimePoint at) {
  if (suspect.crashes == 0 || suspect.last_crash >= at) return false;
  suspect.crashes = 0;
  suspect.crashed_agents.clear();
  suspect.cleared_at = at;
  return true;
}

}  // namespace

bool IsSuspect(const SuspectList& list, common::Fingerprint fingerprint,
               common::TimePoint now) {
  const auto it = list.suspects.find(fingerprint);
  return it != list.suspects.end() && it->second.crashes > 0 &&
         now - it->second.last_crash < list.options.suspect_retention;
}

bool IsBanned(const SuspectList& list, common::Fingerprint fingerprint,
              common::TimePoint now) {
  const auto it = list.suspects.find(fingerprint);
  return it != list.suspects.end() && now < it->second.banned_until;
}

protocol::Suspects RecordCrash(
    SuspectList& list, const std::vector<common::Fingerprint>& in_flight,
    common::TimePoint now, const common::ProcessName& agent) {
  // Two attempts of one request count as one suspect.
  const std::set<common::Fingerprint> distinct(in_flight.begin(),
                                               in_flight.end());
  const auto known = std::count_if(
      distinct.begin(), distinct.end(),
      [&](common::Fingerprint it) { return IsSuspect(list, it, now); });
  protocol::Suspects report{.crashed_agent = agent};
  for (const common::Fingerprint fingerprint : distinct) {
    const bool was_suspect = IsSuspect(list, fingerprint, now);
    Suspect& suspect = list.suspects[fingerprint];
    if (!was_suspect) {
      suspect.crashes = 0;
      suspect.crashed_agents.clear();
    }
    ++suspect.crashes;
    if (!agent.empty()) suspect.crashed_agents.insert(agent);
    suspect.last_crash = now;
    if (was_suspect && known == 1) {
      suspect.banned_until = now + list.options.ban_duration;
    }
    report.rows.push_back(ToRow(fingerprint, suspect, now));
  }
  return report;
}

protocol::Suspects RecordCompletion(SuspectList& list,
                                    common::Fingerprint fingerprint,
                                    common::TimePoint now) {
  const auto it = list.suspects.find(fingerprint);
  if (it == list.suspects.end() || !Clear(it->second, now)) return {};
  return {.rows = {{.fingerprint = fingerprint}}};
}

const std::set<common::ProcessName>& CrashedAgents(
    const SuspectList& list, common::Fingerprint fingerprint) {
  static const std::set<common::ProcessName> none;
  const auto it = list.suspects.find(fingerprint);
  return it == list.suspects.end() ? none : it->second.crashed_agents;
}

bool Merge(SuspectList& list, const protocol::Suspects& suspects,
           common::TimePoint now) {
  bool changed = false;
  if (const auto culprit = FindCulprit(list, suspects, now)) {
    list.suspects[*culprit].banned_until = now + list.options.ban_duration;
    changed = true;
  }
  for (const protocol::SuspectRow& row : suspects.rows) {
    if (row.crashes == 0 && row.ban_left.count() == 0) {
      const auto it = list.suspects.find(row.fingerprint);
      const bool known = it != list.suspects.end();
      changed = (known && Clear(it->second, now - row.age)) || changed;
      continue;
    }
    Suspect& suspect = list.suspects[row.fingerprint];
    const common::TimePoint last_crash = now - row.age;
    const common::TimePoint banned_until =
        row.ban_left.count() > 0 ? now + row.ban_left : common::TimePoint();
    // The ban times of peers differ by the delivery delay, so an extension of
    // up to one second does not count as a change.
    constexpr auto kMinBanExtension = std::chrono::seconds(1);
    // Outdated rows must not count as a change; otherwise peers would send them
    // to each other forever.
    const bool stale = last_crash <= suspect.cleared_at ||
                       row.age >= list.options.suspect_retention;
    if (row.crashes > 0 && !stale) {
      const bool was_suspect = IsSuspect(list, row.fingerprint, now);
      changed = changed || !was_suspect || row.crashes > suspect.crashes;
      if (!was_suspect) suspect.crashed_agents.clear();
      suspect.crashes = std::max(suspect.crashes, row.crashes);
      const std::size_t known_agents = suspect.crashed_agents.size();
      suspect.crashed_agents.insert(row.crashed_agents.begin(),
                                    row.crashed_agents.end());
      changed = changed || suspect.crashed_agents.size() > known_agents;
      suspect.last_crash = std::max(suspect.last_crash, last_crash);
    }
    if (banned_until > suspect.banned_until + kMinBanExtension) {
      suspect.banned_until = banned_until;
      changed = true;
    }
  }
  return changed;
}

std::optional<protocol::Suspects> RowsToForward(
    const protocol::Suspects& suspects) {
  // An agent sends rows to the routers that it knows. These forward them to all
  // agents, and the agents forward them to routers that only they know.
  constexpr int kMaxHops = 2;
  if (suspects.hops >= kMaxHops) return std::nullopt;
  protocol::Suspects passed = suspects;
  ++passed.hops;
  return passed;
}

protocol::Suspects Snapshot(const SuspectList& list, common::TimePoint now) {
  protocol::Suspects all;
  for (const auto& [fingerprint, suspect] : list.suspects) {
    if (suspect.crashes == 0 && suspect.banned_until <= now) continue;
    all.rows.push_back(ToRow(fingerprint, suspect, now));
  }
  return all;
}

void Expire(SuspectList& list, common::TimePoint now) {
  std::erase_if(list.suspects, [&](const auto& entry) {
    return now >= entry.second.banned_until &&
           now - entry.second.last_crash >= list.options.suspect_retention;
  });
}

}  // namespace shallotbeam::suspects
