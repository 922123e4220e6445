#include <fmt/format.h>
#include <malloc.h>

#include <vector>

#include "Admission/Agent.h"
#include "Document.h"
#include "FleetSimulation.h"
#include "Routing/Router.h"
#include "Usage.h"
#include "Wire/Codec.h"

namespace shallotbeam::benchmarks::capacity {

namespace {

constexpr int kShareRows = 200'000;

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

common::TimePoint Now() { return common::TimePoint(std::chrono::hours(1)); }

// Each row counts the service that one process (`writer`) gave to one
// workspace.
double ShareRowBytes() {
  const double before = HeapBytes();
  fairness::ShareLedger ledger;
  constexpr int kWorkspaces = 260;
  protocol::Shares shares;
  shares.rows.resize(1);
  for (int i = 0; i < kShareRows; ++i) {
    shares.rows[0] = {
        .writer = static_cast<common::Incarnation>(i / kWorkspaces + 1),
        .pool = common::PoolName("model-1"),
        .workspace = Workspace(i % kWorkspaces),
        .charged = 1};
    fairness::Merge(ledger, shares);
  }
  fairness::TakeChanges(ledger);
  return (HeapBytes() - before) / kShareRows;
}

double AgentBytes() {
  constexpr int kAgents = 20'000;
  const double before = HeapBytes();
  auto router = routing::MakeRouter({.name = common::ProcessName("router")});
  routing::RouterActions actions;
  for (int i = 0; i < kAgents; ++i) {
    const common::ProcessName name(fmt::format("agent-{:05}", i));
    const protocol::Heartbeat heartbeat{
        .role = protocol::Role::kAgent,
        .data_centre = common::DataCentreName("data-centre-01"),
        .control = {.address = "10.2.100.100", .port = 7000},
        .data = {.address = "10.2.100.100", .port = 8000},
        .pool = common::PoolName("model-1"),
        .upstream = common::UpstreamName(name.value),
        .free_slots = 1,
        .slot_limit = 16};
    routing::Handle(router, Now(),
                    routing::MessageReceived{
                        {.sender = name,
                         .incarnation = static_cast<common::Incarnation>(i + 1),
                         .body = heartbeat}},
                    &actions);
    actions.clear();
  }
  return (HeapBytes() - before) / kAgents;
}

// Memory of an agent per router that reports demand of `workspaces` workspaces.
double RouterBytes(int workspaces) {
  constexpr int kRouters = 2'000;
  const double before = HeapBytes();
  auto agent = admission::MakeAgent({.name = common::ProcessName("agent"),
                                     .pool = common::PoolName("model-1")});
  admission::AgentActions actions;
  for (int i = 0; i < kRouters; ++i) {
    const common::ProcessName name(fmt::format("router-{:04}", i));
    const auto incarnation = static_cast<common::Incarnation>(i + 1);
    const auto receive = [&](protocol::Body body) {
      admission::Handle(agent, Now(),
                        admission::MessageReceived{{.sender = name,
                                                    .incarnation = incarnation,
                                                    .body = std::move(body)}},
                        &actions);
      actions.clear();
    };
    receive(protocol::Heartbeat{
        .role = protocol::Role::kRouter,
        .control = {.address = "10.1.100.100", .port = 7000}});
    protocol::Demand demand{.pool = common::PoolName("model-1"), .sequence = 1};
    for (int w = 0; w < workspaces; ++w) {
      demand.workspaces.push_back({.workspace = Workspace(w), .waiting = 1});
    }
    receive(demand);
  }
  return (HeapBytes() - before) / kRouters;
}

}  // namespace

std::map<std::string, double> MeasureHeap() {
  std::map<std::string, double> bytes;
  bytes["share row"] = ShareRowBytes();
  bytes["agent at a router"] = AgentBytes();
  bytes["router at an agent"] = RouterBytes(0);
  bytes["demand of 26 workspaces of a router at an agent"] =
      RouterBytes(26) - bytes["router at an agent"];
  return bytes;
}

RowCost MeasureShareRows() {
  constexpr int kRows = 4'000;
  constexpr int kRounds = 50;
  fairness::ShareLedger ledger;
  RowCost cost;
  for (int round = 1; round <= kRounds; ++round) {
    protocol::Shares shares;
    for (int i = 0; i < kRows; ++i) {
      shares.rows.push_back(
          {.writer = static_cast<common::Incarnation>((i / 260 + 1) *
                                                      0x9e3779b97f4a7c15U),
           .pool = common::PoolName("model-1"),
           .workspace = Workspace(i % 260),
           .charged =
               1000.5 + round,  // an integer would have a shorter encoding
           .refunded = 10.25 + round});
    }
    const double start = ThreadCpuSeconds();
    const std::string bytes = wire::Encode({.body = std::move(shares)});
    const double encoded = ThreadCpuSeconds();
    const auto envelope = wire::Decode(bytes);
    if (!envelope.ok()) return {};
    fairness::Merge(ledger, std::get<protocol::Shares>(envelope->body));
    const double merged = ThreadCpuSeconds();
    fairness::TakeChanges(ledger);
    constexpr double kScale = 1e6 / kRows / kRounds;
    cost.bytes = static_cast<double>(bytes.size()) / kRows;
    cost.encode_us += (encoded - start) * kScale;
    cost.merge_us += (merged - encoded) * kScale;
  }
  return cost;
}

}  // namespace shallotbeam::benchmarks::capacity
