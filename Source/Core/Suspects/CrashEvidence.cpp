#include "Suspects/CrashEvidence.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Common/Hash.h"

namespace shallotbeam::suspects {

namespace {

using common::TimePoint;

bool IsCounted(const CrashRow& row, const CrashSighting& sighting) {
  return !row.cleared || sighting.crashed > *row.cleared;
}

TimePoint LastCrash(const CrashRow& row) {
  TimePoint last;
  for (const auto& [id, it] : row.crashes) last = std::max(last, it.crashed);
  return last;
}

// Number of crashes since the row was cleared, each by a request that was sent
// after the crash before.
int CountCrashes(const CrashRow& row) {
  std::vector<CrashSighting> sightings;
  for (const auto& [id, it] : row.crashes) {
    if (IsCounted(row, it)) sightings.push_back(it);
  }
  std::sort(sightings.begin(), sightings.end(),
            [](const CrashSighting& a, const CrashSighting& b) {
              return a.crashed < b.crashed;
            });
  int count = 0;
  TimePoint last;
  for (const CrashSighting& it : sightings) {
    if (count > 0 && it.sent < last) continue;
    ++count;
    last = it.crashed;
  }
  return count;
}

int CrashLimit(const CrashEvidenceOptions& options, const CrashRow& row) {
  if (row.kind == protocol::TraitKind::kRequest) return options.request_crashes;
  return row.cleared ? options.known_part_crashes : options.new_part_crashes;
}

protocol::CrashRow ToMessage(common::Fingerprint fingerprint,
                             const CrashRow& row, TimePoint now) {
  protocol::CrashRow message{
      .trait = {.fingerprint = fingerprint, .kind = row.kind},
      .cleared = row.cleared.has_value()};
  if (row.cleared) {
    message.cleared_age = common::ToMicroseconds(now - *row.cleared);
  }
  for (const auto& [id, it] : row.crashes) {
    if (!IsCounted(row, it)) continue;
    message.crashes.push_back(
        {.crash = id,
         .age = common::ToMicroseconds(now - it.crashed),
         .sent_age = common::ToMicroseconds(now - it.sent)});
  }
  return message;
}

// Cleared crashes are kept, so that a late message about one does not count as
// another crash.
void DropOldest(CrashRow& row) {
  constexpr std::size_t kMaxCrashes = 16;
  if (row.crashes.size() <= kMaxCrashes) return;
  row.crashes.erase(std::min_element(
      row.crashes.begin(), row.crashes.end(), [](const auto& a, const auto& b) {
        return a.second.crashed < b.second.crashed;
      }));
}

// Returns whether the sighting is new, or of a later request than the known one
// by more than the error of ages that were sent between processes.
bool AddSighting(CrashRow& row, protocol::CrashId crash,
                 const CrashSighting& sighting) {
  constexpr auto kAgeError = std::chrono::milliseconds(100);
  if (!IsCounted(row, sighting)) return false;
  const auto [it, added] = row.crashes.try_emplace(crash, sighting);
  if (added) {
    DropOldest(row);
    return true;
  }
  const bool later =
      IsCounted(row, it->second) && sighting.sent > it->second.sent + kAgeError;
  if (later) it->second.sent = sighting.sent;
  return later;
}

// Returns whether this clears crashes that counted before, or is the first
// answer that is known.
bool Clear(CrashRow& row, TimePoint at) {
  const bool changed =
      !row.cleared ||
      std::any_of(row.crashes.begin(), row.crashes.end(), [&](const auto& it) {
        return IsCounted(row, it.second) && it.second.crashed <= at;
      });
  if (!row.cleared || *row.cleared < at) row.cleared = at;
  return changed;
}

// Adds what this process knows of earlier answers. Returns whether it was new.
bool AddEarlierAnswer(const CrashEvidence& evidence,
                      common::Fingerprint fingerprint, CrashRow& row) {
  if (row.cleared) return false;
  const auto it = evidence.answered.find(fingerprint);
  return it != evidence.answered.end() && Clear(row, it->second);
}

// Removes the entries with the earliest times.
template <typename Map, typename TimeOf>
void LimitSize(Map& map, std::size_t max_size, const TimeOf& time_of) {
  if (map.size() <= max_size) return;
  std::vector<std::pair<TimePoint, common::Fingerprint>> by_time;
  by_time.reserve(map.size());
  for (const auto& [fingerprint, it] : map) {
    by_time.emplace_back(time_of(it), fingerprint);
  }
  const auto surplus = static_cast<std::ptrdiff_t>(map.size() - max_size);
  std::nth_element(by_time.begin(), by_time.begin() + surplus, by_time.end());
  std::for_each(by_time.begin(), by_time.begin() + surplus,
                [&map](const auto& it) { map.erase(it.second); });
}

}  // namespace

protocol::CrashId CrashIdOf(const common::UpstreamName& upstream,
                            std::uint64_t started) {
  return static_cast<protocol::CrashId>(
      common::Hash64(upstream.value, started));
}

Fingerprints RecordCrash(CrashEvidence& evidence, protocol::CrashId crash,
                         TimePoint crashed,
                         const std::vector<CrashedRequest>& requests) {
  std::set<common::Fingerprint> changed;
  for (const CrashedRequest& request : requests) {
    for (const protocol::Trait& trait : request.traits) {
      CrashRow& row = evidence.rows[trait.fingerprint];
      row.kind = trait.kind;
      const bool added =
          AddSighting(row, crash, {.crashed = crashed, .sent = request.sent});
      const bool answered = AddEarlierAnswer(evidence, trait.fingerprint, row);
      if (added || answered) changed.insert(trait.fingerprint);
    }
  }
  return {changed.begin(), changed.end()};
}

Fingerprints RecordResponse(CrashEvidence& evidence, TimePoint now,
                            const std::vector<protocol::Trait>& traits) {
  Fingerprints changed;
  for (const protocol::Trait& trait : traits) {
    if (trait.kind == protocol::TraitKind::kPromptPart) {
      evidence.answered[trait.fingerprint] = now;
    }
    const auto it = evidence.rows.find(trait.fingerprint);
    if (it == evidence.rows.end() || !Clear(it->second, now)) continue;
    changed.push_back(trait.fingerprint);
  }
  return changed;
}

MergeResult Merge(CrashEvidence& evidence, TimePoint now,
                  const std::vector<protocol::CrashRow>& rows) {
  const auto time_of = [&](std::chrono::microseconds age) {
    // A malformed age must not overflow.
    const std::chrono::microseconds retention =
        common::ToMicroseconds(evidence.options.retention);
    return now - std::clamp(age, std::chrono::microseconds(0), retention);
  };
  MergeResult result;
  for (const protocol::CrashRow& message : rows) {
    const common::Fingerprint fingerprint = message.trait.fingerprint;
    const bool known = evidence.rows.contains(fingerprint);
    CrashRow& row = evidence.rows[fingerprint];
    row.kind = message.trait.kind;
    bool changed = !known;
    if (message.cleared) {
      changed = Clear(row, time_of(message.cleared_age)) || changed;
    }
    for (const protocol::CrashSighting& it : message.crashes) {
      const CrashSighting sighting{.crashed = time_of(it.age),
                                   .sent = time_of(it.sent_age)};
      changed = AddSighting(row, it.crash, sighting) || changed;
    }
    if (AddEarlierAnswer(evidence, fingerprint, row)) {
      result.answered_before.push_back(fingerprint);
      changed = true;
    }
    if (changed) result.changed.push_back(fingerprint);
  }
  return result;
}

std::optional<protocol::Trait> FindBannedTrait(
    const CrashEvidence& evidence, TimePoint now,
    const std::vector<protocol::Trait>& traits) {
  if (evidence.rows.empty()) return std::nullopt;
  const CrashEvidenceOptions& options = evidence.options;
  for (const protocol::Trait& trait : traits) {
    const auto it = evidence.rows.find(trait.fingerprint);
    if (it == evidence.rows.end()) continue;
    const CrashRow& row = it->second;
    const bool recent = now - LastCrash(row) < options.ban_duration;
    if (recent && CountCrashes(row) >= CrashLimit(options, row)) {
      return trait;
    }
  }
  return std::nullopt;
}

std::vector<protocol::CrashRow> RowsOf(const CrashEvidence& evidence,
                                       TimePoint now,
                                       const Fingerprints& fingerprints) {
  std::vector<protocol::CrashRow> rows;
  for (const common::Fingerprint it : fingerprints) {
    const auto row = evidence.rows.find(it);
    if (row != evidence.rows.end()) {
      rows.push_back(ToMessage(it, row->second, now));
    }
  }
  return rows;
}

Fingerprints Suspects(const CrashEvidence& evidence) {
  Fingerprints fingerprints;
  for (const auto& [fingerprint, row] : evidence.rows) {
    if (CountCrashes(row) > 0) fingerprints.push_back(fingerprint);
  }
  return fingerprints;
}

void Expire(CrashEvidence& evidence, TimePoint now) {
  const CrashEvidenceOptions& options = evidence.options;
  const auto last_change = [](const CrashRow& row) {
    return std::max(LastCrash(row), row.cleared.value_or(TimePoint()));
  };
  std::erase_if(evidence.rows, [&](const auto& it) {
    return now - last_change(it.second) >= options.retention;
  });
  LimitSize(evidence.rows, options.max_rows, last_change);
  std::erase_if(evidence.answered, [&](const auto& it) {
    return now - it.second >= options.retention;
  });
  LimitSize(evidence.answered, options.max_answered,
            [](TimePoint it) { return it; });
}

void Enqueue(CrashRowQueue& queue, TimePoint now,
             const Fingerprints& fingerprints) {
  if (fingerprints.empty()) return;
  for (const common::Fingerprint it : fingerprints) {
    queue.sends_left[it] = queue.sends;
  }
  queue.next = now;
}

std::vector<protocol::CrashRow> TakeDueRows(CrashRowQueue& queue,
                                            const CrashEvidence& evidence,
                                            TimePoint now) {
  if (queue.sends_left.empty() || now < queue.next) return {};
  // Rows that were sent least come first.
  std::vector<std::pair<int, common::Fingerprint>> order;
  for (const auto& [fingerprint, left] : queue.sends_left) {
    order.emplace_back(-left, fingerprint);
  }
  std::sort(order.begin(), order.end());
  if (order.size() > queue.max_rows) {
    order.resize(queue.max_rows);
  } else {
    queue.next = now + queue.interval;
  }
  Fingerprints due;
  for (const auto& [left, fingerprint] : order) {
    due.push_back(fingerprint);
    if (--queue.sends_left.at(fingerprint) == 0) {
      queue.sends_left.erase(fingerprint);
    }
  }
  return RowsOf(evidence, now, due);
}

}  // namespace shallotbeam::suspects
