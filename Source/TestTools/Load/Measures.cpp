#include "Load/Measures.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace shallotbeam::load {

namespace {

using nlohmann::json;

constexpr double kPromptTokensPerCostUnit = 8;
// The target of the fairness gap is the largest request plus the fair share of
// service over this time.
constexpr double kTargetSeconds = 2;

double Seconds(Clock::time_point from, Clock::time_point to) {
  return std::chrono::duration<double>(to - from).count();
}

// Whether requests waited throughout the interval between two samples. A queue
// that is not empty at both samples may have been empty in between, so the age
// of the oldest request is compared with the interval.
bool WaitedThroughout(const Sample& from, const Sample& to,
                      const WaitingRequests& waiting) {
  return waiting.requests > 0 && waiting.oldest >= to.taken - from.taken;
}

bool AnyWaitedThroughout(const Sample& from, const Sample& to,
                         const std::string& pool) {
  const auto it = to.waiting.find(pool);
  if (it == to.waiting.end()) return false;
  for (const auto& [name, waiting] : it->second) {
    if (WaitedThroughout(from, to, waiting)) return true;
  }
  return false;
}

bool IsBacklogged(const Sample& from, const Sample& to, const std::string& pool,
                  const std::string& workspace) {
  const auto it = to.waiting.find(pool);
  if (it == to.waiting.end()) return false;
  const auto found = it->second.find(workspace);
  return found != it->second.end() && WaitedThroughout(from, to, found->second);
}

double ServiceIn(const RunRecord& record, const Sample& sample,
                 const std::string& pool, const std::string& workspace) {
  double sum = 0;
  for (const auto& [name, engine_sample] : sample.engines) {
    if (record.pool_of_engine.at(name) != pool) continue;
    const auto it = engine_sample.service.find(workspace);
    if (it != engine_sample.service.end()) sum += it->second;
  }
  return sum;
}

std::vector<const Sample*> SamplesOf(const RunRecord& record,
                                     const std::string& phase) {
  std::vector<const Sample*> found;
  for (const Sample& it : record.samples) {
    if (it.phase == phase) found.push_back(&it);
  }
  std::sort(found.begin(), found.end(),
            [](const auto* a, const auto* b) { return a->taken < b->taken; });
  return found;
}

double WeightOf(const config::FleetConfig& config,
                const std::string& workspace) {
  const auto it = config.workspaces.find(common::WorkspaceName(workspace));
  return it == config.workspaces.end() ? 1 : it->second.weight;
}

// Returns, by workspace, the largest cost of a request that the phase can
// generate for the pool.
std::map<std::string, double> LargestCosts(const Phase& phase,
                                           const config::FleetConfig& config,
                                           const std::string& pool) {
  std::map<std::string, double> largest;
  for (const LoadSpec& load : phase.loads) {
    const auto kind = config.kinds.find(common::KindName(load.kind));
    if (kind == config.kinds.end() || kind->second.pool.value != pool) continue;
    const double cost =
        load.plain ? 1
                   : load.prompt_tokens.high / kPromptTokensPerCostUnit +
                         load.tokens.high;
    for (const std::string& it : load.workspaces) {
      largest[it] = std::max(largest[it], cost);
    }
  }
  return largest;
}

// A contiguous interval in which both workspaces were backlogged.
class BackloggedInterval {
 public:
  void Add(const Sample& sample, double difference, double total,
           double weights) {
    if (n_ == 0) {
      start_ = sample.taken;
      first_total_ = total;
      low_ = high_ = difference;
    }
    ++n_;
    end_ = sample.taken;
    last_total_ = total;
    low_ = std::min(low_, difference);
    high_ = std::max(high_, difference);
    weights_ += weights;
  }

  bool IsEmpty() const { return n_ == 0; }
  double Gap() const { return high_ - low_; }
  double Length() const { return n_ == 0 ? 0 : Seconds(start_, end_); }
  // Service per second that is the fair share of a workspace of weight 1.
  double ShareRate() const {
    if (Length() <= 0 || weights_ <= 0) return 0;
    return (last_total_ - first_total_) / Length() / (weights_ / n_);
  }

 private:
  int n_ = 0;
  Clock::time_point start_;
  Clock::time_point end_;
  double first_total_ = 0;
  double last_total_ = 0;
  double low_ = 0;
  double high_ = 0;
  double weights_ = 0;  // of backlogged workspaces, summed over all samples
};

json LatencyJson(const std::vector<double>& latencies) {
  return {{"p50", Percentile(latencies, 0.50)},
          {"p95", Percentile(latencies, 0.95)},
          {"p99", Percentile(latencies, 0.99)},
          {"count", latencies.size()}};
}

json KindJson(const ResultKey& key, const KindResult& result) {
  return {{"workspace", key.workspace},
          {"kind", key.kind},
          {"offered", result.offered},
          {"completed", result.completed},
          {"in_phase", result.in_phase},
          {"cost", result.in_phase_cost},
          {"gave_up", result.gave_up},
          {"broken", result.broken},
          {"wrong", result.wrong},
          {"unfinished", result.unfinished},
          {"retries", result.retries},
          {"refusals", result.refusals},
          {"latency_ms", LatencyJson(result.latencies_ms)},
          {"first_byte_ms", LatencyJson(result.first_byte_ms)}};
}

json OrdersJson(const RunRecord& record) {
  int duplicates = 0;
  int false_not_run = 0;
  int completed_without_run = 0;
  for (const auto& [key, runs] : record.runs_by_key) {
    if (runs > 1) ++duplicates;
  }
  for (const auto& [key, order] : record.orders) {
    const auto it = record.runs_by_key.find(key);
    const int runs = it == record.runs_by_key.end() ? 0 : it->second;
    const bool only_not_run =
        order.completed == 0 && order.unknown == 0 && order.not_run > 0;
    if (only_not_run && runs > 0) ++false_not_run;
    if (order.completed > 0 && runs == 0) ++completed_without_run;
  }
  return {{"keys", record.orders.size()},
          {"runs", record.runs_by_key.size()},
          {"duplicates", duplicates},
          {"false_not_run", false_not_run},
          {"completed_without_run", completed_without_run}};
}

// Time series of service per weight and waiting requests, to investigate a
// fairness gap.
json SeriesJson(const RunRecord& record, const config::FleetConfig& config) {
  json series = json::array();
  for (const Sample& sample : record.samples) {
    json entry = {{"t", Seconds(record.samples.front().taken, sample.taken)},
                  {"phase", sample.phase}};
    for (const auto& [pool, waiting] : sample.waiting) {
      for (const auto& [name, n] : waiting) {
        const double service = ServiceIn(record, sample, pool, name);
        entry["pools"][pool][name] = {
            {"waiting", n.requests},
            {"service", service / WeightOf(config, name)}};
      }
    }
    series.push_back(std::move(entry));
  }
  return series;
}

json PhaseJson(const Phase& phase, const config::FleetConfig& config,
               const RunRecord& record) {
  json kinds = json::array();
  for (const auto& [key, result] : record.results) {
    if (key.phase == phase.name) kinds.push_back(KindJson(key, result));
  }
  std::set<std::string> pools;
  for (const auto& [engine, pool] : record.pool_of_engine) pools.insert(pool);
  json by_pool = json::object();
  for (const std::string& pool : pools) {
    const Utilisation use = UtilisationOf(record, phase.name, pool);
    const FairnessGap gap = FairnessGapOf(
        record, config, LargestCosts(phase, config, pool), phase.name, pool);
    by_pool[pool] = {{"utilisation", use.slots},
                     {"engine_utilisation", use.engines},
                     {"waiting_seconds", use.seconds},
                     {"gap", gap.gap},
                     {"gap_target", gap.target},
                     {"gap_ratio", gap.target > 0 ? gap.gap / gap.target : 0},
                     {"gap_seconds", gap.seconds},
                     {"gap_between", {gap.first, gap.second}}};
  }
  return {{"seconds", static_cast<double>(phase.length.count()) / 1000},
          {"kinds", kinds},
          {"pools", by_pool}};
}

}  // namespace

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  const auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(values.size())));
  const std::size_t index =
      std::min(values.size(), std::max<std::size_t>(rank, 1)) - 1;
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

Utilisation UtilisationOf(const RunRecord& record, const std::string& phase,
                          const std::string& pool) {
  double busy = 0;
  double slot_time = 0;
  double batch_busy = 0;
  double batch_time = 0;
  Utilisation use;
  const auto samples = SamplesOf(record, phase);
  for (std::size_t i = 1; i < samples.size(); ++i) {
    const Sample& from = *samples[i - 1];
    const Sample& to = *samples[i];
    if (!AnyWaitedThroughout(from, to, pool)) continue;
    use.seconds += Seconds(from.taken, to.taken);
    for (const auto& [name, engine_sample] : to.engines) {
      const auto before = from.engines.find(name);
      if (record.pool_of_engine.at(name) != pool) continue;
      if (before == from.engines.end()) continue;
      const double ms =
          Seconds(before->second.taken, engine_sample.taken) * 1000;
      const double slots = (before->second.slots + engine_sample.slots) / 2.0;
      const double ran = engine_sample.running_ms - before->second.running_ms;
      if (ran < 0) continue;  // the engine was restarted
      // Capped, so that an engine that runs more requests than its slots
      // doesn't compensate for an idle one.
      busy += std::min(ran, slots * ms);
      slot_time += slots * ms;
      batch_busy += engine_sample.batch_ms - before->second.batch_ms;
      batch_time += engine_sample.batch * ms;
    }
  }
  if (slot_time > 0) use.slots = busy / slot_time;
  if (batch_time > 0) use.engines = batch_busy / batch_time;
  return use;
}

FairnessGap FairnessGapOf(const RunRecord& record,
                          const config::FleetConfig& config,
                          const std::map<std::string, double>& largest_cost,
                          const std::string& phase, const std::string& pool) {
  FairnessGap worst;
  double worst_ratio = 0;
  const auto samples = SamplesOf(record, phase);
  const auto consider = [&](const BackloggedInterval& interval,
                            const std::string& a, const std::string& b) {
    if (interval.Length() <= 0) return;
    worst.seconds = std::max(worst.seconds, interval.Length());
    const double largest = std::max(largest_cost.at(a) / WeightOf(config, a),
                                    largest_cost.at(b) / WeightOf(config, b));
    const double target = largest + kTargetSeconds * interval.ShareRate();
    if (interval.Gap() / target <= worst_ratio) return;
    worst_ratio = interval.Gap() / target;
    worst.gap = interval.Gap();
    worst.target = target;
    worst.first = a;
    worst.second = b;
  };
  for (auto a = largest_cost.begin(); a != largest_cost.end(); ++a) {
    for (auto b = std::next(a); b != largest_cost.end(); ++b) {
      // Adds `sample`; the backlog is determined from the interval `from` to
      // `to`.
      const auto add = [&](BackloggedInterval& interval, const Sample& sample,
                           const Sample& from, const Sample& to) {
        double total = 0;
        double weights = 0;
        for (const auto& [name, cost] : largest_cost) {
          total += ServiceIn(record, sample, pool, name);
          if (IsBacklogged(from, to, pool, name)) {
            weights += WeightOf(config, name);
          }
        }
        const auto weighted = [&](const std::string& name) {
          return ServiceIn(record, sample, pool, name) / WeightOf(config, name);
        };
        interval.Add(sample, weighted(a->first) - weighted(b->first), total,
                     weights);
      };
      BackloggedInterval interval;
      for (std::size_t i = 1; i < samples.size(); ++i) {
        const Sample& from = *samples[i - 1];
        const Sample& to = *samples[i];
        const bool both_backlogged = IsBacklogged(from, to, pool, a->first) &&
                                     IsBacklogged(from, to, pool, b->first);
        if (!both_backlogged) {
          consider(interval, a->first, b->first);
          interval = {};
          continue;
        }
        if (interval.IsEmpty()) add(interval, from, from, to);
        add(interval, to, from, to);
      }
      consider(interval, a->first, b->first);
    }
  }
  return worst;
}

json MeasureRun(const Experiment& experiment, const config::FleetConfig& config,
                const RunRecord& record) {
  json phases = json::object();
  for (const Phase& it : experiment.phases) {
    phases[it.name] = PhaseJson(it, config, record);
  }
  std::uint64_t wrong = 0;
  std::uint64_t broken = 0;
  std::uint64_t unfinished = 0;
  int starved = 0;
  constexpr std::uint64_t kMinOffered = 5;
  for (const auto& [key, result] : record.results) {
    wrong += result.wrong;
    broken += result.broken;
    unfinished += result.unfinished;
    if (result.offered >= kMinOffered && result.completed == 0) ++starved;
  }
  json processes = json::array();
  for (const ProcessUse& it : record.processes) {
    processes.push_back(
        {{"name", it.name},
         {"role", it.role},
         {"cpu_percent", it.cpu_percent},
         {"control_bytes_per_second", it.control_bytes_per_second},
         {"memory_mb", it.memory_bytes / 1e6}});
  }
  return {{"system", record.system},
          {"phases", phases},
          {"orders", OrdersJson(record)},
          {"wrong", wrong},
          {"broken", broken},
          {"unfinished", unfinished},
          {"starved", starved},
          {"processes", processes},
          {"processes_ended", record.ended_processes},
          {"engine_restarts", record.engine_restarts},
          {"series", SeriesJson(record, config)}};
}

}  // namespace shallotbeam::load
