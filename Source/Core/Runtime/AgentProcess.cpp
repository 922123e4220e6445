#include "Runtime/AgentProcess.h"

#include <caf/all.hpp>
#include <memory>
#include <string>
#include <utility>

#include "Common/Logging.h"
#include "Runtime/ActorHost.h"
#include "Runtime/AdminServer.h"
#include "Runtime/AgentDriver.h"
#include "Runtime/OfferHeaders.h"
#include "Runtime/ProcessHost.h"
#include "Runtime/Refusals.h"

namespace shallotbeam::runtime {

// Messages to the agent's actor.
struct OfferMessage {
  std::shared_ptr<transport::HttpExchange> exchange;
  admission::RequestOffered offer;
};
struct AgentEventMessage {
  admission::AgentEvent event;
};
struct AgentControlMessage {
  std::string bytes;
};
struct ResultMessage {
  std::string key;
  transport::HttpResponse result;
};
struct AgentStatusMessage {
  std::shared_ptr<transport::HttpExchange> exchange;
};

}  // namespace shallotbeam::runtime

// The messages never leave the process, so they need no serialisation.
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotbeam::runtime::OfferMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotbeam::runtime::AgentEventMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotbeam::runtime::AgentControlMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotbeam::runtime::ResultMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotbeam::runtime::AgentStatusMessage)

namespace shallotbeam::runtime {

namespace {

caf::behavior AgentActor(caf::event_based_actor* /*self*/,
                         const std::shared_ptr<AgentDriver>& driver) {
  return {[driver](const OfferMessage& message) {
            driver->OnOffer(message.exchange, message.offer);
          },
          [driver](const AgentEventMessage& message) {
            driver->OnEvent(message.event);
          },
          [driver](const AgentControlMessage& message) {
            driver->OnControlMessage(message.bytes);
          },
          [driver](const ResultMessage& message) {
            driver->OnResult(message.key, message.result);
          },
          [driver](const AgentStatusMessage& message) {
            message.exchange->Send(
                driver->OnAdmin(message.exchange->Request().target));
          }};
}

void HandleOffer(const caf::actor& agent,
                 std::shared_ptr<transport::HttpExchange> exchange) {
  const bool known = exchange->Request().target == "/v1/run";
  auto offer = known ? ParseOffer(exchange->Request()) : std::nullopt;
  if (!offer) return exchange->Send(ToMalformedResponse(400));
  caf::anon_send(agent, OfferMessage{std::move(exchange), *std::move(offer)});
}

}  // namespace

absl::Status RunAgent(const AgentSettings& settings) {
  const common::Incarnation incarnation = GenerateIncarnation();
  const common::SteadyClock clock;
  ProcessHost host(settings.threads);
  ActorHost actors;
  transport::HttpClient client(host.Context(), clock,
                               {.keep_after_errors = false});

  // Points to the actor. Set once the actor is spawned, which needs the
  // callbacks below. Control messages that arrive before that are dropped.
  const auto agent = std::make_shared<caf::actor>();
  const auto post_event = [agent](admission::AgentEvent event) {
    caf::anon_send(*agent, AgentEventMessage{std::move(event)});
  };
  auto mailbox =
      transport::Mailbox::Open(settings.control, [agent](std::string bytes) {
        if (!*agent) return;
        caf::anon_send(*agent, AgentControlMessage{std::move(bytes)});
      });
  if (!mailbox.ok()) return mailbox.status();

  const admission::AgentOptions options{
      .name = settings.name,
      .incarnation = incarnation,
      .data_centre = settings.data_centre,
      .pool = settings.pool,
      .upstream = settings.upstream_name,
      .control = settings.control,
      .data = settings.data,
      .seed_routers = settings.routers,
      .drain_deadline = settings.drain_deadline};
  std::shared_ptr<transport::HttpServer> data;
  const auto driver = std::make_shared<AgentDriver>(
      options,
      AgentEnvironment{
          .clock = clock,
          .client = client,
          .mailbox = **mailbox,
          .upstream = settings.upstream,
          .post_event = post_event,
          .post_result =
              [agent](std::string key, transport::HttpResponse result) {
                caf::anon_send(
                    *agent, ResultMessage{std::move(key), std::move(result)});
              },
          .on_drained =
              [&host, &data] {
                // Waits until the last responses have been sent.
                host.StopWhen(
                    [&data] { return data->PendingResponses() == 0; });
              }});
  *agent = actors.System().spawn(AgentActor, driver);
  const ActorGuard guard(actors, agent);

  auto listening = transport::HttpServer::Listen(
      host.Context(),
      {.endpoint = settings.data,
       .max_buffered_bytes = MaxBufferedBytes(settings),
       .make_error = ToMalformedResponse},
      [agent](const auto& exchange) { HandleOffer(*agent, exchange); });
  if (!listening.ok()) return listening.status();
  data = *std::move(listening);
  const auto admin = ListenAdmin(
      host.Context(), settings.admin, [agent](const auto& exchange) {
        caf::anon_send(*agent, AgentStatusMessage{exchange});
      });
  if (!admin.ok()) return admin.status();

  common::Log(common::Subsystem::kMain, common::LogLevel::kInfo,
              "event=started role=agent name={} data_centre={} region={} "
              "incarnation={} data={}",
              settings.name.value, settings.data_centre.value,
              settings.region.value, common::ToString(incarnation),
              common::ToString(settings.data));
  host.Run([post_event] { post_event(admission::Tick{}); },
           [post_event] { post_event(admission::DrainRequested{}); });
  return absl::OkStatus();
}

}  // namespace shallotbeam::runtime
