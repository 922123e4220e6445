#include "World.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "Admission/Agent.h"
#include "Document.h"
#include "Routing/Router.h"
#include "Runtime/ConfigHolder.h"
#include "Usage.h"
#include "Wire/Codec.h"

namespace shallotbeam::benchmarks::capacity {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{5};  // also the delay of the network
constexpr milliseconds kTick{20};
constexpr milliseconds kGreeting{500};  // between routers, as in RouterDriver
constexpr milliseconds kProgress{250};
constexpr double kTokensPerSecond = 20;  // of one request
constexpr double kOpenLoopShare = 0.2;   // of requests, not backlogged
constexpr std::array kTypes = {
    "Heartbeat", "Demand",      "Grant",    "GrantReturn",   "Shares",
    "Revoke",    "RevokeReply", "Suspects", "ConfigRequest", "ConfigDocument"};
static_assert(kTypes.size() == std::variant_size_v<protocol::Body>);

// What routers and agents have in common.
struct Node {
  std::string name;
  common::Endpoint control;
  bool is_router = false;
  int index = 0;
  routing::RouterState router;
  admission::AgentState agent;
  runtime::ConfigHolder config;
  Usage* usage = nullptr;  // of observed ones while measured
};

struct Packet {
  std::size_t to = 0;
  std::string bytes;
};

struct Running {
  std::size_t agent = 0;
  std::size_t router = 0;
  common::TimePoint started;
  common::TimePoint ends;
};

class World {
 public:
  explicit World(const WorldOptions& options)
      : options_(options), size_(options.size), random_(options.seed) {
    for (int i = 0; i < size_.routers; ++i) AddNode(true, i);
    for (int i = 0; i < size_.agents; ++i) AddNode(false, i);
    const double slots = size_.agents * kSlots;
    mean_seconds_ = slots / (size_.routers * size_.requests_per_second);
    const int streams = size_.routers * size_.backlogged;
    // Half as much again as the slots can run always waits.
    depth_ = static_cast<int>(1.5 * slots / streams) + 2;
    document_ = Document(size_, 0);
    for (std::size_t i = 0; i < nodes_.size(); ++i) Boot(i);
  }

  WorldResult Run() {
    for (int r = 0; r < size_.routers; ++r) {
      for (int w = 0; w < size_.backlogged; ++w) {
        for (int i = 0; i < depth_; ++i) Arrive(r, w);
      }
    }
    RunUntil(now_ + options_.warm_up);
    Node& router = nodes_[0];
    Node& agent = nodes_[FirstAgent()];
    router.usage = &result_.router;
    agent.usage = &result_.agent;
    result_.completed = 0;
    RunUntil(now_ + options_.measured);
    result_.seconds = std::chrono::duration<double>(options_.measured).count();
    result_.document_bytes = static_cast<double>(document_.size());
    result_.backlogged = static_cast<double>(agent.agent.backlog.size());
    CountEntries(router.router.ledger, &result_.router);
    CountEntries(agent.agent.ledger, &result_.agent);
    result_.router.entries["agents"] =
        static_cast<double>(router.router.agents.agents.size());
    result_.router.entries["requests"] =
        static_cast<double>(router.router.requests.size());
    result_.agent.entries["routers"] =
        static_cast<double>(agent.agent.routers.size());
    result_.agent.entries["running"] =
        static_cast<double>(agent.agent.running.size());
    return std::move(result_);
  }

 private:
  std::size_t FirstAgent() const {
    return static_cast<std::size_t>(size_.routers);
  }

  void AddNode(bool is_router, int index) {
    Node node{
        .name = fmt::format("{}-{:04}", is_router ? "router" : "agent", index),
        .is_router = is_router,
        .index = index};
    node.control = {.address = fmt::format("10.{}.{}.{}", is_router ? 1 : 2,
                                           index / 250, index % 250 + 1),
                    .port = 7000};
    by_name_[node.name] = nodes_.size();
    by_name_[common::ToString(node.control)] = nodes_.size();
    nodes_.push_back(std::move(node));
  }

  // Starts a node empty with a new incarnation.
  void Boot(std::size_t n) {
    Node& node = nodes_[n];
    const auto incarnation = static_cast<common::Incarnation>(random_());
    node.config = {};
    if (node.is_router) {
      node.router = routing::MakeRouter(
          {.name = common::ProcessName(node.name),
           .incarnation = incarnation,
           .data_centre = common::DataCentreName("data-centre-01"),
           .control = node.control,
           .seed = options_.seed + n});
    } else {
      std::vector<common::Endpoint> seeds;
      for (std::size_t i = 0; i < FirstAgent(); ++i) {
        seeds.push_back(nodes_[i].control);
      }
      node.agent = admission::MakeAgent(
          {.name = common::ProcessName(node.name),
           .incarnation = incarnation,
           .data_centre = common::DataCentreName("data-centre-01"),
           .pool = Pool(),
           .upstream = common::UpstreamName(node.name),
           .control = node.control,
           .data = {.address = node.control.address, .port = 8000},
           .seed_routers = std::move(seeds)});
    }
    TakeConfig(n, version_, document_);
  }

  void TakeConfig(std::size_t n, std::uint64_t version,
                  const std::string& document) {
    const auto config = nodes_[n].config.Adopt(
        static_cast<common::ConfigVersion>(version), document);
    if (!config) return;
    if (nodes_[n].is_router) {
      HandleRouter(n, routing::ConfigReceived{.config = *config});
    } else {
      HandleAgent(n, admission::ConfigReceived{.config = *config});
    }
  }

  // Runs `work` and adds its processor time to a type of an observed node.
  template <typename Work>
  void Measure(std::size_t n, const char* type, Work work) {
    if (nodes_[n].usage == nullptr) return work();
    // Encoding inside `work` counts for its own type.
    const double nested = nested_;
    nested_ = 0;
    const double start = ThreadCpuSeconds();
    work();
    const double spent =
        std::max(0.0, ThreadCpuSeconds() - start - clock_cost_);
    nodes_[n].usage->traffic[type].cpu_seconds +=
        std::max(0.0, spent - nested_);
    nested_ = nested + spent + clock_cost_;
  }

  void Send(std::size_t from, const std::string& to, protocol::Body body) {
    const auto it = by_name_.find(to);
    if (it == by_name_.end()) return;
    const Node& node = nodes_[from];
    const char* type = kTypes.at(body.index());
    std::string bytes;
    const common::Incarnation incarnation =
        node.is_router ? node.router.options.incarnation
                       : node.agent.options.incarnation;
    Measure(from, type, [&] {
      bytes = wire::Encode({.sender = common::ProcessName(node.name),
                            .incarnation = incarnation,
                            .body = std::move(body)});
    });
    if (node.usage != nullptr) {
      Traffic& traffic = node.usage->traffic[type];
      traffic.messages_out += 1;
      traffic.bytes_out += static_cast<double>(bytes.size());
    }
    next_packets_.push_back({.to = it->second, .bytes = std::move(bytes)});
  }

  void Receive(const Packet& packet) {
    Node& node = nodes_[packet.to];
    const char* name = "";
    if (node.usage != nullptr) {
      // The type is known only after decoding.
      const auto first = wire::Decode(packet.bytes);
      if (!first.ok()) return;
      name = kTypes.at(first->body.index());
      Traffic& traffic = node.usage->traffic[name];
      traffic.messages_in += 1;
      traffic.bytes_in += static_cast<double>(packet.bytes.size());
    }
    Measure(packet.to, name, [&] { DecodeAndHandle(packet); });
  }

  void DecodeAndHandle(const Packet& packet) {
    const auto envelope = wire::Decode(packet.bytes);
    if (!envelope.ok()) return;
    const Node& node = nodes_[packet.to];
    if (const auto reply = node.config.Reply(*envelope)) {
      Send(packet.to, envelope->sender.value, *reply);
    }
    if (const auto* it =
            std::get_if<protocol::ConfigDocument>(&envelope->body)) {
      return TakeConfig(packet.to, common::ToNumber(it->version), it->document);
    }
    if (node.is_router) {
      HandleRouter(packet.to, routing::MessageReceived{*envelope});
    } else {
      HandleAgent(packet.to, admission::MessageReceived{*envelope});
    }
  }

  void HandleRouter(std::size_t n, const routing::RouterEvent& event) {
    routing::RouterActions actions;
    routing::Handle(nodes_[n].router, now_, event, &actions);
    for (const auto& action : actions) {
      if (const auto* it = std::get_if<routing::SendMessage>(&action)) {
        Send(n, it->to.value, it->body);
      } else if (const auto* it =
                     std::get_if<routing::DispatchRequest>(&action)) {
        Dispatch(n, *it);
      } else if (const auto* it =
                     std::get_if<routing::RefuseRequest>(&action)) {
        Finish(it->id);
      }
    }
  }

  void HandleAgent(std::size_t n, const admission::AgentEvent& event) {
    admission::AgentActions actions;
    admission::Handle(nodes_[n].agent, now_, event, &actions);
    for (const auto& action : actions) {
      if (const auto* it = std::get_if<admission::SendMessage>(&action)) {
        Send(n, it->to.value, it->body);
      } else if (const auto* it =
                     std::get_if<admission::StartUpstream>(&action)) {
        StartUpstream(n, it->id);
      } else if (const auto* it =
                     std::get_if<admission::RejectOffer>(&action)) {
        const auto owner = offers_.find(it->id);
        if (owner == offers_.end()) continue;
        After([this, id = it->id, refusal = it->refusal,
               router = owner->second] {
          EndDispatch(router, id, routing::DispatchOutcome::kRefused, refusal);
        });
        offers_.erase(owner);
      }
    }
  }

  void Dispatch(std::size_t n, const routing::DispatchRequest& action) {
    const admission::AttemptId id{.request = action.id,
                                  .attempt = action.attempt};
    offers_[id] = n;
    const auto agent = by_name_.at(action.agent.value);
    const auto& request = nodes_[n].router.requests.at(action.id);
    After([this, agent,
           event = admission::RequestOffered{
               .id = id,
               .router = common::ProcessName(nodes_[n].name),
               .workspace = request.workspace,
               .kind = request.kind,
               .grant = action.grant,
               .time_left = action.time_left}] {
      Measure(agent, "Requests", [&] { HandleAgent(agent, event); });
    });
  }

  void StartUpstream(std::size_t n, const admission::AttemptId& id) {
    std::exponential_distribution<double> seconds(1 / mean_seconds_);
    const auto offer = offers_.find(id);
    if (offer == offers_.end()) return;
    running_[id] = {
        .agent = n,
        .router = offer->second,
        .started = now_,
        .ends = now_ + std::chrono::duration_cast<common::Duration>(
                           std::chrono::duration<double>(seconds(random_)))};
    offers_.erase(offer);
    wake_.emplace(std::min(now_ + kProgress, running_[id].ends), id);
  }

  void EndDispatch(std::size_t router, const admission::AttemptId& id,
                   routing::DispatchOutcome outcome,
                   const common::Refusal& refusal = {}) {
    Measure(router, "Requests", [&] {
      HandleRouter(router, routing::DispatchEnded{.id = id.request,
                                                  .attempt = id.attempt,
                                                  .outcome = outcome,
                                                  .refusal = refusal});
    });
    if (!nodes_[router].router.requests.contains(id.request)) {
      if (outcome == routing::DispatchOutcome::kCompleted) {
        result_.completed += 1;
      }
      Finish(id.request);
    }
  }

  void AdvanceUpstreams() {
    while (!wake_.empty() && wake_.top().first <= now_) {
      const admission::AttemptId id = wake_.top().second;
      wake_.pop();
      const auto it = running_.find(id);
      if (it == running_.end()) continue;
      const Running run = it->second;
      const std::chrono::duration<double> age = now_ - run.started;
      const auto tokens =
          static_cast<std::uint64_t>(age.count() * kTokensPerSecond) + 1;
      if (now_ < run.ends) {
        Measure(run.agent, "Requests", [&] {
          HandleAgent(run.agent, admission::UpstreamProgressed{
                                     .id = id, .generated_tokens = tokens});
        });
        wake_.emplace(std::min(now_ + kProgress, run.ends), id);
        continue;
      }
      running_.erase(it);
      Measure(run.agent, "Requests", [&] {
        HandleAgent(
            run.agent,
            admission::UpstreamEnded{
                .id = id, .prompt_tokens = 80, .generated_tokens = tokens});
      });
      EndDispatch(run.router, id, routing::DispatchOutcome::kCompleted);
    }
  }

  void Arrive(int router, int workspace) {
    const auto n = static_cast<std::size_t>(router);
    const common::RequestId id{nodes_[n].router.options.incarnation,
                               ++sequence_};
    streams_[id] = {router, workspace};
    Measure(n, "Requests", [&] {
      HandleRouter(n,
                   routing::RequestArrived{.id = id,
                                           .workspace = Workspace(workspace),
                                           .kind = Kind(),
                                           .timeout = std::chrono::minutes(5),
                                           .body_bytes = 500});
    });
  }

  // The next request of a backlogged workspace follows at once.
  void Finish(const common::RequestId& id) {
    const auto it = streams_.find(id);
    if (it == streams_.end()) return;
    const auto [router, workspace] = it->second;
    streams_.erase(it);
    if (workspace >= size_.backlogged) return;
    After([this, r = router, w = workspace] { Arrive(r, w); });
  }

  void ArriveOpenLoop() {
    const int others = size_.workspaces - size_.backlogged;
    if (others <= 0) return;
    const double step = std::chrono::duration<double>(kStep).count();
    std::poisson_distribution<int> count(kOpenLoopShare *
                                         size_.requests_per_second * step);
    for (int r = 0; r < size_.routers; ++r) {
      for (int i = count(random_); i > 0; --i) {
        Arrive(r,
               size_.backlogged +
                   static_cast<int>(random_() % static_cast<unsigned>(others)));
      }
    }
  }

  void RestartAgents() {
    if (size_.restarts_per_hour <= 0 || now_ < next_restart_) return;
    next_restart_ = now_ + IntervalOf(size_.restarts_per_hour);
    // The observed agent stays.
    const std::size_t n =
        FirstAgent() + 1 +
        restarts_++ % static_cast<std::size_t>(std::max(1, size_.agents - 1));
    std::vector<std::pair<admission::AttemptId, std::size_t>> lost;
    for (const auto& [id, run] : running_) {
      if (run.agent == n) lost.emplace_back(id, run.router);
    }
    Boot(n);
    for (const auto& [id, router] : lost) {
      running_.erase(id);
      EndDispatch(router, id, routing::DispatchOutcome::kLost);
    }
  }

  void PublishConfig() {
    if (size_.changes_per_hour <= 0 || now_ < next_change_) return;
    next_change_ = now_ + IntervalOf(size_.changes_per_hour);
    document_ = Document(size_, static_cast<int>(++version_));
    // One router reads the store; the others hear of it.
    TakeConfig(FirstAgent() - 1, version_, document_);
  }

  void Greet(std::size_t n) {
    const Node& node = nodes_[n];
    for (std::size_t i = 0; i < FirstAgent(); ++i) {
      if (i == n) continue;
      Send(n, nodes_[i].name,
           protocol::Heartbeat{.role = protocol::Role::kRouter,
                               .data_centre = node.router.options.data_centre,
                               .control = node.control,
                               .config_version = node.config.Version()});
    }
  }

  template <typename Action>
  void After(Action action) {
    next_actions_.emplace_back(std::move(action));
  }

  void RunUntil(common::TimePoint end) {
    while (now_ < end) {
      now_ += kStep;
      std::deque<Packet> packets;
      packets.swap(next_packets_);
      for (const Packet& it : packets) Receive(it);
      std::vector<std::function<void()>> actions;
      actions.swap(next_actions_);
      for (const auto& it : actions) it();
      AdvanceUpstreams();
      ArriveOpenLoop();
      RestartAgents();
      PublishConfig();
      const auto step =
          static_cast<std::size_t>(now_.time_since_epoch() / kStep);
      for (std::size_t n = 0; n < nodes_.size(); ++n) {
        // Spread over the steps, as processes start at different times.
        if ((step + n) % (kTick / kStep) != 0) continue;
        Measure(n, "Tick", [&] {
          if (!nodes_[n].is_router) return HandleAgent(n, admission::Tick{});
          if ((step + n) % (kGreeting / kStep) == 0) Greet(n);
          HandleRouter(n, routing::Tick{});
        });
      }
    }
  }

  WorldOptions options_;
  Size size_;
  std::mt19937_64 random_;
  common::TimePoint now_ = common::TimePoint(std::chrono::hours(1));
  std::vector<Node> nodes_;
  std::map<std::string, std::size_t> by_name_;
  std::deque<Packet> next_packets_;
  std::vector<std::function<void()>> next_actions_;
  std::map<admission::AttemptId, std::size_t> offers_;  // the router
  std::map<admission::AttemptId, Running> running_;
  std::priority_queue<
      std::pair<common::TimePoint, admission::AttemptId>,
      std::vector<std::pair<common::TimePoint, admission::AttemptId>>,
      std::greater<>>
      wake_;
  std::map<common::RequestId, std::pair<int, int>> streams_;
  std::uint64_t sequence_ = 0;
  std::uint64_t version_ = 1;
  std::string document_;
  double mean_seconds_ = 1;
  int depth_ = 1;
  std::size_t restarts_ = 0;
  common::TimePoint next_restart_;
  common::TimePoint next_change_;
  double clock_cost_ = ClockCost();
  double nested_ = 0;
  WorldResult result_;
};

}  // namespace

WorldResult RunWorld(const WorldOptions& options) {
  return World(options).Run();
}

}  // namespace shallotbeam::benchmarks::capacity
