#include "Common/Logging.h"
#include "Gateway/Gateway.h"

// The part of Gateway that handles what upstreams state of themselves in their
// responses.
namespace shallotbeam::gateway {

namespace {

using common::Log;
using common::LogLevel;
using common::Subsystem;
using std::chrono::milliseconds;

}  // namespace

void Gateway::OnStatements(const Call& call,
                           const forwarding::UpstreamStatements& stated) {
  const auto known = stated_.find(call.upstream);
  const bool changed = known == stated_.end()
                           ? stated != forwarding::UpstreamStatements()
                           : stated != known->second;
  if (!changed) return;
  stated_[call.upstream] = stated;
  metrics_.CountStatement();
  Log(Subsystem::kMembership, LogLevel::kInfo,
      "event=upstream_stated upstream={} id={} rate_limit={} leaving={} "
      "retry_after_ms={}",
      call.upstream.value, call.metadata.request_id,
      stated.rate_limit.value_or(-1), stated.leaving,
      stated.retry_after.value_or(milliseconds(-1)) / milliseconds(1));
}

}  // namespace shallotbeam::gateway
