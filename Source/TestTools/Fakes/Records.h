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

// Records of what callers and upstreams observed, for the checks.
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
  std::vector<std::size_t> chunks;  // index of the run that sent each chunk
  common::TimePoint at;
};

struct CallOptions {
  std::string router;
  std::string workspace = "a";
  std::string kind = "chat";
  std::string key;
  bool ticket = false;  // obtains a ticket and uses it as key
  double cost = 10;     // also the milliseconds at an upstream of normal speed
  common::Duration timeout = std::chrono::seconds(5);
  bool crashes = false;
  // Fingerprint of the request, equal for a call and its resends. 0 assigns a
  // new one.
  std::uint64_t content = 0;
};

struct Call {
  CallOptions options;
  common::RequestId id;
  common::TimePoint sent;
  common::TimePoint arrived;  // when the router read it, after any freeze
  bool disconnected = false;  // by the caller
  std::uint32_t forwarded_attempt = 0;  // attempt whose response is forwarded
  std::vector<std::size_t> chunks;
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
  // Number of upstream crashes by the content of the request that caused them.
  // Crashes that the fleet can't count or prevent are excluded: those at an
  // agent that was dead, frozen or cut off, and those caused by copies that
  // were already on their way.
  std::map<std::uint64_t, int> crashes;
  std::map<std::uint64_t, common::TimePoint> first_crash;
  // Time of the first sign that an agent is leaving: its drain or the host
  // list.
  std::map<std::string, common::TimePoint> leaving;
  std::set<std::string> listed_leaving;  // leaving according to the host list
  // Violations detected during the run, for example a configuration version
  // that decreased.
  std::vector<std::string> violations;
};

}  // namespace shallotbeam::fakes

#endif  // SHALLOTBEAM_TESTTOOLS_FAKES_RECORDS_H_
