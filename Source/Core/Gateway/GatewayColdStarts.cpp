#include "Common/Logging.h"
#include "Gateway/Gateway.h"

// The part of Gateway that keeps requests away from evacuated data centres and
// within the limit of cold upstreams.
namespace shallotbeam::gateway {

namespace {

using common::Log;
using common::LogLevel;
using common::Subsystem;
using std::chrono::milliseconds;

// Null if there is no configuration, or none of the pool.
const pacing::ColdLimit* FindColdLimit(const catalogue::RouteTable* table,
                                       const common::PoolName& pool) {
  if (table == nullptr) return nullptr;
  const auto it = table->Source().pools.find(pool);
  return it == table->Source().pools.end() ? nullptr : &it->second.cold;
}

}  // namespace

void Gateway::ApplyEvacuation(const EvacuationChange& change) {
  const auto names =
      balancing::SetEvacuated(upstreams_, change.data_centre, change.requested);
  Log(Subsystem::kMembership, LogLevel::kWarning,
      "event=evacuation data_centre={} requested={} upstreams={}",
      change.data_centre.value, change.requested, names.size());
  for (const common::UpstreamName& it : names) {
    UpdateEngine(it);
    if (change.requested) continue;
    // Nothing has run there for a while, and the entry may be older than that.
    const auto* limit =
        FindColdLimit(table_.get(), upstreams_.upstreams.at(it).entry.pool);
    if (limit != nullptr) RecordCold(it, limit->time);
  }
}

void Gateway::RecordCold(const common::UpstreamName& name,
                         common::Duration left) {
  const auto upstream = upstreams_.upstreams.find(name);
  if (upstream == upstreams_.upstreams.end() || left <= common::Duration(0)) {
    return;
  }
  pacing::ColdPeriod& period = cold_[name];
  const bool longer =
      pacing::Extend(period, {.started = upstream->second.entry.started,
                              .until = Now() + pacing::ClampColdTime(left)});
  const auto rate = ColdRate(name);
  if (!longer || !rate) return;
  TellOfCold(name);
  Log(Subsystem::kMembership, LogLevel::kInfo,
      "event=upstream_cold upstream={} cold_ms={} rate_limit={}", name.value,
      left / milliseconds(1), *rate);
}

void Gateway::RecordColdEntry(const common::UpstreamName& name) {
  const auto it = upstreams_.upstreams.find(name);
  if (it == upstreams_.upstreams.end()) return;
  RecordCold(name, it->second.entry.cold_left);
}

void Gateway::TellOfCold(const common::UpstreamName& name) {
  scheduler_client_.SetLimited(name, LimitInForce(name).has_value());
  if (!ColdRate(name)) return;
  scheduler_client_.SetColdUntil(name, cold_.at(name).until);
}

std::optional<double> Gateway::ColdRate(
    const common::UpstreamName& name) const {
  const auto period = cold_.find(name);
  const auto upstream = upstreams_.upstreams.find(name);
  if (period == cold_.end() || upstream == upstreams_.upstreams.end()) {
    return std::nullopt;
  }
  const auto* limit = FindColdLimit(table_.get(), upstream->second.entry.pool);
  if (limit == nullptr) return std::nullopt;
  return pacing::ColdRate(*limit, period->second, Now());
}

std::optional<double> Gateway::LimitInForce(
    const common::UpstreamName& name) const {
  return pacing::LowerLimit(pacing::LimitOf(stated_limits_, name),
                            ColdRate(name));
}

void Gateway::ExpireColdPeriods() {
  std::erase_if(cold_, [this](const auto& it) {
    const auto& [name, period] = it;
    if (Now() < period.until) return false;
    const bool stated = pacing::LimitOf(stated_limits_, name).has_value();
    scheduler_client_.SetLimited(name, stated);
    return true;
  });
}

}  // namespace shallotbeam::gateway
