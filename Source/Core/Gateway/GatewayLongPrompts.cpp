#include <algorithm>

#include "Common/Logging.h"
#include "Gateway/Gateway.h"

// The part of Gateway that reserves engines for long prompts.
namespace shallotbeam::gateway {

using common::Log;
using common::LogLevel;
using common::Subsystem;

std::optional<bool> Gateway::HasLongPrompt(const Call& call) const {
  const auto prefill_ns = scheduler_client_.PrefillNsPerToken();
  if (!prefill_ns) return std::nullopt;
  return balancing::IsLongPrompt({}, *call.metadata.prompt, *prefill_ns,
                                 call.route->event_gap_target);
}

void Gateway::RecordPromptDemand(const Call& call) {
  const auto is_long = HasLongPrompt(call);
  if (!is_long) return;
  const common::Prompt& prompt = *call.metadata.prompt;
  balancing::LongPromptDemand& demand = long_prompt_demand_[call.pool];
  const bool changed = balancing::RecordDemand(
      demand, Now(), prompt.prompt_tokens - common::SharedTokens(prompt),
      *is_long);
  if (!changed) return;
  Log(Subsystem::kRouting, LogLevel::kInfo,
      "event=long_prompt_engines pool={} fraction={:.2f} ns_per_token={:.0f}",
      call.pool.value, demand.fraction,
      scheduler_client_.PrefillNsPerToken().value_or(0));
}

std::optional<double> Gateway::LargestLongPromptFraction() const {
  std::optional<double> largest;
  for (const auto& [pool, it] : long_prompt_demand_) {
    largest = std::max(largest.value_or(0), it.fraction);
  }
  return largest;
}

balancing::EnginePartition Gateway::PartitionByDemand(
    const Call& call,
    const std::vector<const common::UpstreamName*>& ranked) const {
  balancing::LongPromptOptions options;
  const auto it = long_prompt_demand_.find(call.pool);
  if (it != long_prompt_demand_.end()) {
    options.engine_fraction = it->second.fraction;
  }
  return balancing::PartitionEngines(options, ranked);
}

balancing::OverflowEngines Gateway::OverflowFor(
    const Call& call, const balancing::EnginePartition& partition) const {
  balancing::OverflowEngines overflow;
  if (partition.long_prompt_engines.empty()) return overflow;
  if (!HasLongPrompt(call).value_or(false)) return overflow;
  for (const auto* it : partition.others) {
    const balancing::SchedulerView* view = scheduler_client_.ViewOf(*it);
    if (view == nullptr || !view->ns_per_token) continue;
    const bool is_long =
        balancing::IsLongPrompt({}, *call.metadata.prompt, *view->ns_per_token,
                                call.route->event_gap_target);
    (is_long ? overflow.if_declined : overflow.if_late).push_back(*it);
  }
  return overflow;
}

std::optional<common::Duration> Gateway::WaitElsewhere(const Call& call) const {
  if (!HasLongPrompt(call).value_or(false)) return std::nullopt;
  const balancing::EnginePartition partition =
      PartitionByDemand(call, Candidates(call));
  std::optional<common::Duration> shortest;
  for (const auto* it : partition.others) {
    const balancing::SchedulerView* view = scheduler_client_.ViewOf(*it);
    if (view == nullptr) continue;
    shortest =
        std::min(shortest.value_or(view->expected_wait), view->expected_wait);
  }
  return shortest;
}

// Long prompts go to the engines that are reserved for them, all other prompts
// to the remaining engines. If no scheduler of the chosen group responds, all
// engines are candidates. OverflowFor() has the engines for long prompts that
// find no room in their group.
std::vector<const common::UpstreamName*> Gateway::FilterByPromptLength(
    const Call& call, const std::vector<const common::UpstreamName*>& ranked,
    const balancing::EnginePartition& weighted_pools) const {
  const auto is_long = HasLongPrompt(call);
  if (!is_long) return ranked;
  const auto& group =
      *is_long ? weighted_pools.long_prompt_engines : weighted_pools.others;
  const bool any_responsive = std::any_of(
      group.begin(), group.end(),
      [this](const auto* it) { return scheduler_client_.IsResponsive(*it); });
  return any_responsive ? group : ranked;
}

}  // namespace shallotbeam::gateway
