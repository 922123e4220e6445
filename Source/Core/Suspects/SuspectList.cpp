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
          .crashed_at = {suspect.crashed_at.begin(), suspect.crashed_at.end()}};
}

// The only one of a crash that crashed another upstream too, as far as known
// here. Both crashes may have happened before either agent knew of the other.
std::optional<common::Fingerprint> Culprit(const SuspectList& list,
                                           const protocol::Suspects& crash,
                                           common::TimePoint now) {
  std::optional<common::Fingerprint> culprit;
  if (crash.crashed.empty()) return culprit;
  for (const protocol::SuspectRow& row : crash.rows) {
    if (!IsSuspect(list, row.fingerprint, now)) continue;
    const auto& crashed_at = CrashedAt(list, row.fingerprint);
    if (crashed_at.contains(crash.crashed)) return std::nullopt;  // counted
    if (culprit) return std::nullopt;
    culprit = row.fingerprint;
  }
  return culprit;
}

// Returns true if the suspect was cleared by that.
bool Clear(Suspect& suspect, common::TimePoint at) {
  if (suspect.crashes == 0 || suspect.last_crash >= at) return false;
  suspect.crashes = 0;
  suspect.crashed_at.clear();
  suspect.cleared = at;
  return true;
}

}  // namespace

bool IsSuspect(const SuspectList& list, common::Fingerprint fingerprint,
               common::TimePoint now) {
  const auto it = list.suspects.find(fingerprint);
  return it != list.suspects.end() && it->second.crashes > 0 &&
         now - it->second.last_crash < list.options.memory;
}

bool IsBanned(const SuspectList& list, common::Fingerprint fingerprint,
              common::TimePoint now) {
  const auto it = list.suspects.find(fingerprint);
  return it != list.suspects.end() && now < it->second.banned_until;
}

protocol::Suspects NoteCrash(SuspectList& list,
                             const std::vector<common::Fingerprint>& in_flight,
                             common::TimePoint now,
                             const common::ProcessName& agent) {
  // Two sends of one request are one suspect.
  const std::set<common::Fingerprint> distinct(in_flight.begin(),
                                               in_flight.end());
  const auto known = std::count_if(
      distinct.begin(), distinct.end(),
      [&](common::Fingerprint it) { return IsSuspect(list, it, now); });
  protocol::Suspects news{.crashed = agent};
  for (const common::Fingerprint fingerprint : distinct) {
    const bool was_suspect = IsSuspect(list, fingerprint, now);
    Suspect& suspect = list.suspects[fingerprint];
    if (!was_suspect) {
      suspect.crashes = 0;
      suspect.crashed_at.clear();
    }
    ++suspect.crashes;
    if (!agent.empty()) suspect.crashed_at.insert(agent);
    suspect.last_crash = now;
    if (was_suspect && known == 1) {
      suspect.banned_until = now + list.options.poison_ban;
    }
    news.rows.push_back(ToRow(fingerprint, suspect, now));
  }
  return news;
}

protocol::Suspects NoteCompleted(SuspectList& list,
                                 common::Fingerprint fingerprint,
                                 common::TimePoint now) {
  const auto it = list.suspects.find(fingerprint);
  if (it == list.suspects.end() || !Clear(it->second, now)) return {};
  return {.rows = {{.fingerprint = fingerprint}}};
}

const std::set<common::ProcessName>& CrashedAt(
    const SuspectList& list, common::Fingerprint fingerprint) {
  static const std::set<common::ProcessName> none;
  const auto it = list.suspects.find(fingerprint);
  return it == list.suspects.end() ? none : it->second.crashed_at;
}

bool Merge(SuspectList& list, const protocol::Suspects& suspects,
           common::TimePoint now) {
  bool news = false;
  if (const auto culprit = Culprit(list, suspects, now)) {
    list.suspects[*culprit].banned_until = now + list.options.poison_ban;
    news = true;
  }
  for (const protocol::SuspectRow& row : suspects.rows) {
    if (row.crashes == 0 && row.ban_left.count() == 0) {
      const auto it = list.suspects.find(row.fingerprint);
      const bool known = it != list.suspects.end();
      news = (known && Clear(it->second, now - row.age)) || news;
      continue;
    }
    Suspect& suspect = list.suspects[row.fingerprint];
    const common::TimePoint last_crash = now - row.age;
    const common::TimePoint banned_until =
        row.ban_left.count() > 0 ? now + row.ban_left : common::TimePoint();
    // Times of peers differ by the delivery delay; a second is no news.
    constexpr auto kSlack = std::chrono::seconds(1);
    // Old rows must not count as news, or peers would echo them for ever.
    const bool stale =
        last_crash <= suspect.cleared || row.age >= list.options.memory;
    if (row.crashes > 0 && !stale) {
      const bool was_suspect = IsSuspect(list, row.fingerprint, now);
      news = news || !was_suspect || row.crashes > suspect.crashes;
      if (!was_suspect) suspect.crashed_at.clear();
      suspect.crashes = std::max(suspect.crashes, row.crashes);
      const std::size_t sites = suspect.crashed_at.size();
      suspect.crashed_at.insert(row.crashed_at.begin(), row.crashed_at.end());
      news = news || suspect.crashed_at.size() > sites;
      suspect.last_crash = std::max(suspect.last_crash, last_crash);
    }
    if (banned_until > suspect.banned_until + kSlack) {
      suspect.banned_until = banned_until;
      news = true;
    }
  }
  return news;
}

std::optional<protocol::Suspects> PassOn(const protocol::Suspects& suspects) {
  // From an agent to the routers that it knows, to all agents, and to routers
  // that only these know.
  constexpr int kMostHops = 2;
  if (suspects.hops >= kMostHops) return std::nullopt;
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
           now - entry.second.last_crash >= list.options.memory;
  });
}

}  // namespace shallotbeam::suspects
