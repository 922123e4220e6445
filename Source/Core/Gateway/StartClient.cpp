#include "Gateway/StartClient.h"

#include <limits>
#include <utility>

#include "Common/Logging.h"
#include "Common/StatusText.h"
#include "Wire/Codec.h"

namespace shallotbeam::gateway {

namespace {

using common::Log;
using common::LogLevel;
using common::Subsystem;

constexpr common::Duration kHelloInterval = std::chrono::seconds(1);
// Counters of schedulers arrive twice a second.
constexpr common::Duration kShareInterval = std::chrono::milliseconds(200);

}  // namespace

StartClient::StartClient(StartClientOptions options, const common::Clock& clock,
                         Send send, Done done)
    : options_(std::move(options)),
      clock_(clock),
      send_(std::move(send)),
      done_(std::move(done)),
      book_{.options = options_.search} {}

void StartClient::PutEngine(const common::UpstreamName& upstream,
                            const std::string& address, std::uint64_t started,
                            const catalogue::Engine& engine) {
  const common::Endpoint control{.address = address,
                                 .port = options_.control.port};
  engines_[upstream] = {.control = control, .started = started, .spec = engine};
  by_control_[control] = upstream;
  // The scheduler may be new as well.
  next_hello_ = {};
}

void StartClient::RemoveEngine(const common::UpstreamName& upstream) {
  const auto it = engines_.find(upstream);
  if (it == engines_.end()) return;
  const auto control = by_control_.find(it->second.control);
  if (control != by_control_.end() && control->second == upstream) {
    by_control_.erase(control);
  }
  engines_.erase(it);
  balancing::SearchActions actions;
  balancing::OnUpstreamLeaving(book_, clock_.Now(), upstream, &actions);
  Carry(actions);
}

void StartClient::Seek(balancing::SearchRequest request) {
  balancing::SearchActions actions;
  balancing::BeginSearch(book_, clock_.Now(), std::move(request), &actions);
  Carry(actions);
}

double StartClient::PartWithinShare(
    const common::WorkspaceName& workspace) const {
  return balancing::PartWithinShare(ledger_, clock_.Now(), workspace, share_);
}

void StartClient::Cancel(balancing::SearchId id) {
  balancing::SearchActions actions;
  balancing::EndSearch(book_, id, &actions);
  Carry(actions);
}

void StartClient::Report(const StartTicket& ticket,
                         protocol::StartStage stage) {
  if (ticket.number == 0) return;
  SendTo(ticket.upstream,
         protocol::StartProgress{.number = ticket.number, .stage = stage});
}

void StartClient::OnBytes(std::string_view bytes) {
  const auto envelope = wire::DecodeScheduling(bytes);
  if (!envelope.ok()) {
    Log(Subsystem::kTransport, LogLevel::kWarning,
        "event=message_unreadable cause=\"{}\"",
        common::MessageOf(envelope.status()));
    return;
  }
  if (const auto* hello =
          std::get_if<protocol::SchedulerHello>(&envelope->body)) {
    Take(*envelope, *hello);
  } else if (const auto* reply =
                 std::get_if<protocol::StartReply>(&envelope->body)) {
    Take(*reply);
  } else {
    Log(Subsystem::kTransport, LogLevel::kWarning,
        "event=message_misdirected sender={}", envelope->sender.value);
  }
}

void StartClient::Take(const protocol::SchedulingEnvelope& from,
                       const protocol::SchedulerHello& hello) {
  const common::TimePoint now = clock_.Now();
  for (const protocol::WorkspaceRow& it : hello.workspaces) {
    balancing::NoteCounters(ledger_, now, from.incarnation, it.workspace,
                            {.asked = it.asked, .served = it.served});
  }
  const auto upstream = by_control_.find(hello.control);
  if (upstream == by_control_.end()) return;
  balancing::SearchActions actions;
  balancing::OnSchedulerHeard(book_, now, upstream->second, from.incarnation,
                              {.expected_wait = hello.expected_wait,
                               .surplus_wait = hello.surplus_wait,
                               .ns_per_token = hello.ns_per_token},
                              &actions);
  Carry(actions);
}

void StartClient::Take(const protocol::StartReply& reply) {
  const auto offer = book_.offers.find(reply.number);
  if (offer == book_.offers.end()) return;
  const common::UpstreamName name = offer->second.upstream;
  balancing::SearchActions actions;
  balancing::OnReply(book_, clock_.Now(), name, reply.number,
                     {.verdict = reply.verdict,
                      .wait = reply.wait,
                      .cached_tokens = reply.cached_tokens,
                      .cached_at = reply.cached_at},
                     &actions);
  Carry(actions);
}

void StartClient::OnTick(const std::function<InProgress()>& in_progress) {
  const common::TimePoint now = clock_.Now();
  balancing::SearchActions actions;
  balancing::OnSearchTick(book_, now, &actions);
  Carry(actions);
  if (now >= next_share_) {
    next_share_ = now + kShareInterval;
    most_served_ = balancing::MostServed(ledger_, now);
    reading_pace_ = balancing::TypicalReadingPace(book_);
    share_ = balancing::ShareOfWorkspace(
        ledger_, now,
        tokens_per_second_.value_or(std::numeric_limits<double>::infinity()));
  }
  if (now < next_hello_) return;
  next_hello_ = now + kHelloInterval;
  SendHellos(in_progress());
}

bool StartClient::IsBehind(const common::WorkspaceName& workspace) const {
  return balancing::IsBehind(ledger_, clock_.Now(), workspace, most_served_);
}

void StartClient::NoteNotOffered(const common::WorkspaceName& workspace,
                                 const common::Prompt& prompt) {
  not_offered_[workspace] += common::ServiceTokens(prompt);
}

void StartClient::SendHellos(const InProgress& in_progress) {
  for (const auto& [upstream, it] : engines_) {
    const auto numbers = in_progress.find(upstream);
    std::vector<protocol::WorkspaceRow> not_offered;
    if (IsAnswering(upstream)) {
      for (const auto& [workspace, tokens] : std::exchange(not_offered_, {})) {
        not_offered.push_back({.workspace = workspace, .asked = tokens});
      }
    }
    SendTo(upstream, protocol::GatewayHello{
                         .control = options_.control,
                         .upstream = upstream,
                         .upstream_started = it.started,
                         .slots = it.spec.slots,
                         .memory_tokens = it.spec.memory_tokens,
                         .in_progress = numbers == in_progress.end()
                                            ? std::vector<std::uint64_t>()
                                            : numbers->second,
                         .not_offered = std::move(not_offered)});
  }
}

void StartClient::Carry(const balancing::SearchActions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& it) { Do(it); }, action);
  }
}

void StartClient::Do(const balancing::MakeOffer& action) {
  const auto search = book_.searches.find(action.search);
  if (search == book_.searches.end()) return;
  const balancing::SearchRequest& request = search->second.request;
  const common::TimePoint now = clock_.Now();
  SendTo(
      action.upstream,
      protocol::StartOffer{
          .number = action.number,
          .control = options_.control,
          .request_id = request.request_id,
          .workspace = request.workspace,
          .prompt = request.prompt,
          .rank = request.rank,
          .within_share = request.within_share,
          .first = action.first,
          .fetchable_tokens = action.fetchable_tokens,
          .target_left = common::ToMicroseconds(request.target - now),
          .patience = common::ToMicroseconds(request.patience - now),
          .served =
              balancing::RecentTokens(ledger_, now, request.workspace).served});
}

void StartClient::Do(const balancing::WithdrawOffer& action) {
  SendTo(action.upstream,
         protocol::StartProgress{.number = action.number,
                                 .stage = protocol::StartStage::kWithdrawn});
}

void StartClient::Do(const balancing::StartAt& action) {
  if (!action.home.empty()) {
    SendTo(action.home,
           protocol::StartedElsewhere{.subject = action.subject,
                                      .upstream = action.upstream});
  }
  done_({.search = action.search,
         .kind = StartOutcome::Kind::kStart,
         .ticket = {.upstream = action.upstream,
                    .number = action.number,
                    .cached_tokens = action.cached_tokens,
                    .cache_source = action.cache_source}});
}

void StartClient::Do(const balancing::NoStart& action) {
  done_({.search = action.search,
         .kind = StartOutcome::Kind::kDeclined,
         .wait = action.shortest_wait,
         .offered = action.offered});
}

void StartClient::Do(const balancing::NoScheduler& action) {
  done_({.search = action.search, .kind = StartOutcome::Kind::kNoScheduler});
}

void StartClient::SendTo(const common::UpstreamName& upstream,
                         protocol::SchedulingBody body) {
  const auto it = engines_.find(upstream);
  if (it == engines_.end()) return;
  send_(it->second.control, wire::Encode(protocol::SchedulingEnvelope{
                                .sender = options_.name,
                                .incarnation = options_.incarnation,
                                .body = std::move(body)}));
}

}  // namespace shallotbeam::gateway
