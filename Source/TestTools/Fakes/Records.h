#ifndef SHALLOTBEAM_TESTTOOLS_FAKES_RECORDS_H_
#define SHALLOTBEAM_TESTTOOLS_FAKES_RECORDS_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Common/Verdict.h"

// What callers and upstreams saw, for the checks.
namespace shallotbeam::fakes {

enum class AnswerType : std::uint8_t {
  kCompleted,
  kRefused,
  kTruncated,
  kBroken,  // the router died
};

struct Answer {
  AnswerType type = AnswerType::kCompleted;
  common::Refusal refusal;
  std::vector<std::size_t> parts;  // the run that each part is from
  common::TimePoint at;
};

struct CallOptions {
  std::string router;
  std::string workspace = "a";
  std::string kind = "chat";
  std::string key;
  bool ticket = false;  // gets a ticket as its key
  double cost = 10;     // also milliseconds at an upstream of normal speed
  common::Duration timeout = std::chrono::seconds(5);
  bool crashes = false;
  // Equal for a call and its resends; 0 draws a new one.
  std::uint64_t content = 0;
};

struct Call {
  CallOptions options;
  common::RequestId id;
  common::TimePoint sent;
  common::TimePoint arrived;  // when the router read it; later if it was frozen
  bool left = false;          // the caller disconnected
  std::uint32_t source = 0;   // attempt whose response is passed on
  std::vector<std::size_t> parts;
  std::vector<Answer> answers;
};

// One request that an upstream accepted.
struct Run {
  std::size_t call = 0;
  std::string agent;
  common::TimePoint started;
  bool ended = false;
};

struct Records {
  std::vector<Call> calls;
  std::vector<Run> runs;
  // Crashes of upstreams by the content of the request that caused them. Left
  // out are those that the fleet can't count or prevent: of an agent that was
  // dead, frozen or cut off, and of copies that were already under way.
  std::map<std::uint64_t, int> crashes;
  std::map<std::uint64_t, common::TimePoint> first_crash;
  // First indication that an agent leaves.
  std::map<std::string, common::TimePoint> leaving;
  std::set<std::string> listed_leaving;  // by the host list
  // Faults seen while running, for example a version that went back.
  std::vector<std::string> violations;
};

}  // namespace shallotbeam::fakes

#endif  // SHALLOTBEAM_TESTTOOLS_FAKES_RECORDS_H_
