#include <benchmark/benchmark.h>

#include <string>
#include <utility>

#include "Fixtures.h"
#include "Wire/Codec.h"

namespace shallotbeam::benchmarks {

namespace {

protocol::Envelope MakeEnvelope(protocol::Body body) {
  return {.sender = common::ProcessName("agent-0001"),
          .incarnation = static_cast<common::Incarnation>(7),
          .body = std::move(body)};
}

protocol::Envelope HeartbeatMessage(int) {
  return MakeEnvelope(
      protocol::Heartbeat{.role = protocol::Role::kAgent,
                          .data_centre = common::DataCentreName("dc1"),
                          .control = {.address = "10.1.2.3", .port = 8092},
                          .data = {.address = "10.1.2.3", .port = 8090},
                          .pool = Pool(),
                          .upstream = common::UpstreamName("upstream"),
                          .free_slots = 3,
                          .slot_limit = kSlots});
}

protocol::Envelope DemandMessage(int workspaces) {
  protocol::Demand demand{.pool = Pool(), .sequence = 1};
  for (int i = 0; i < workspaces; ++i) {
    demand.workspaces.push_back({.workspace = Workspace(i),
                                 .waiting = i,
                                 .oldest_wait = std::chrono::milliseconds(i)});
  }
  return MakeEnvelope(demand);
}

protocol::Envelope SharesMessage(int rows) {
  protocol::Shares shares;
  for (int i = 0; i < rows; ++i) {
    shares.rows.push_back({.writer = static_cast<common::Incarnation>(i + 1),
                           .pool = Pool(),
                           .workspace = Workspace(i),
                           .charged = 1000.5 * i,
                           .refunded = 0.5 * i});
  }
  return MakeEnvelope(shares);
}

using MakeMessage = protocol::Envelope (*)(int);

void Encode(benchmark::State& state, MakeMessage make_message) {
  const protocol::Envelope message =
      make_message(static_cast<int>(state.range(0)));
  for (auto _ : state) benchmark::DoNotOptimize(wire::Encode(message));
  state.counters["bytes"] = static_cast<double>(wire::Encode(message).size());
}

void Decode(benchmark::State& state, MakeMessage make_message) {
  const std::string bytes =
      wire::Encode(make_message(static_cast<int>(state.range(0))));
  for (auto _ : state) benchmark::DoNotOptimize(wire::Decode(bytes));
}

BENCHMARK_CAPTURE(Encode, heartbeat, HeartbeatMessage)->Arg(1);
BENCHMARK_CAPTURE(Decode, heartbeat, HeartbeatMessage)->Arg(1);
BENCHMARK_CAPTURE(Encode, demand, DemandMessage)->Arg(26);
BENCHMARK_CAPTURE(Decode, demand, DemandMessage)->Arg(26);
BENCHMARK_CAPTURE(Encode, shares, SharesMessage)->Arg(260);
BENCHMARK_CAPTURE(Decode, shares, SharesMessage)->Arg(260);

}  // namespace

}  // namespace shallotbeam::benchmarks
