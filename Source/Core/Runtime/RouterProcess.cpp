#include "Runtime/RouterProcess.h"

#include <atomic>
#include <caf/all.hpp>
#include <memory>
#include <string>
#include <utility>

#include "Common/Logging.h"
#include "PlatformClients/EtcdStore.h"
#include "PlatformClients/HostList.h"
#include "Runtime/ActorHost.h"
#include "Runtime/AdminServer.h"
#include "Runtime/CallerRequest.h"
#include "Runtime/ProcessHost.h"
#include "Runtime/Refusals.h"
#include "Runtime/RouterDriver.h"

namespace shallotbeam::runtime {

// Messages to the router's actor.
struct CallerMessage {
  std::shared_ptr<transport::HttpExchange> exchange;
  routing::RouterEvent event;
  common::RequestId id;
};
struct RouterEventMessage {
  routing::RouterEvent event;
};
struct RouterControlMessage {
  std::string bytes;
};
struct StoredConfigMessage {
  platform_clients::ReadResult read;
};
struct HostsMessage {
  platform_clients::HostsResult hosts;
};
struct RouterTickMessage {};
struct RouterShutdownMessage {};
struct RouterStatusMessage {
  std::shared_ptr<transport::HttpExchange> exchange;
};

}  // namespace shallotbeam::runtime

// The messages never leave the process, so they need no serialisation.
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotbeam::runtime::CallerMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotbeam::runtime::RouterEventMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotbeam::runtime::RouterControlMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotbeam::runtime::StoredConfigMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotbeam::runtime::HostsMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotbeam::runtime::RouterTickMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotbeam::runtime::RouterShutdownMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotbeam::runtime::RouterStatusMessage)

namespace shallotbeam::runtime {

namespace {

caf::behavior RouterActor(caf::event_based_actor* /*self*/,
                          const std::shared_ptr<RouterDriver>& driver) {
  return {
      [driver](const CallerMessage& message) {
        driver->OnCaller(message.exchange, message.event, message.id);
      },
      [driver](const RouterEventMessage& message) {
        driver->OnEvent(message.event);
      },
      [driver](const RouterControlMessage& message) {
        driver->OnControlMessage(message.bytes);
      },
      [driver](const StoredConfigMessage& message) {
        driver->OnStoredConfig(message.read);
      },
      [driver](const HostsMessage& message) { driver->OnHosts(message.hosts); },
      [driver](const RouterTickMessage&) { driver->OnTick(); },
      [driver](const RouterShutdownMessage&) { driver->OnShutdownSignal(); },
      [driver](const RouterStatusMessage& message) {
        message.exchange->Send(
            driver->OnAdmin(message.exchange->Request().target));
      }};
}

// Parses a caller's request on the network thread and sends it to the actor.
class CallerHandler {
 public:
  CallerHandler(caf::actor router, common::Incarnation incarnation)
      : router_(std::move(router)), incarnation_(incarnation) {}

  void operator()(std::shared_ptr<transport::HttpExchange> exchange) {
    const common::RequestId id{.router = incarnation_,
                               .sequence = ++*next_sequence_};
    CallerRequest request = ParseCallerRequest(exchange->Request(), id);
    if (const auto* refusal = std::get_if<common::Refusal>(&request)) {
      return exchange->Send(ToResponse(*refusal));
    }
    CallerMessage message{.exchange = std::move(exchange), .id = id};
    if (auto* arrived = std::get_if<routing::RequestArrived>(&request)) {
      message.event = std::move(*arrived);
    } else {
      message.event = std::get<routing::TicketRequested>(std::move(request));
    }
    caf::anon_send(router_, std::move(message));
  }

 private:
  caf::actor router_;
  common::Incarnation incarnation_;
  std::shared_ptr<std::atomic<std::uint64_t>> next_sequence_ =
      std::make_shared<std::atomic<std::uint64_t>>(0);
};

}  // namespace

absl::Status RunRouter(const RouterSettings& settings) {
  const common::Incarnation incarnation = GenerateIncarnation();
  const common::SteadyClock clock;
  ProcessHost host(settings.threads);
  ActorHost actors;
  transport::HttpClient client(host.Context());
  platform_clients::EtcdStore store(client, {.endpoint = settings.platform});
  platform_clients::HttpHostList hosts(client, {.endpoint = settings.hosts});

  // Points to the actor. Set once the actor is spawned, which needs the
  // callbacks below. Control messages that arrive before that are dropped.
  const auto router = std::make_shared<caf::actor>();
  const auto post_event = [router](routing::RouterEvent event) {
    caf::anon_send(*router, RouterEventMessage{std::move(event)});
  };
  auto mailbox =
      transport::Mailbox::Open(settings.control, [router](std::string bytes) {
        if (!*router) return;
        caf::anon_send(*router, RouterControlMessage{std::move(bytes)});
      });
  if (!mailbox.ok()) return mailbox.status();

  const routing::RouterOptions options{
      .name = settings.name,
      .incarnation = incarnation,
      .data_centre = settings.data_centre,
      .control = settings.control,
      .seed = common::ToNumber(incarnation),
      .drain_deadline = settings.drain_deadline};
  std::shared_ptr<transport::HttpServer> callers;
  const auto driver = std::make_shared<RouterDriver>(
      options,
      RouterEnvironment{
          .clock = clock,
          .client = client,
          .mailbox = **mailbox,
          .store = store,
          .post_event = post_event,
          .post_stored_config =
              [router](platform_clients::ReadResult read) {
                caf::anon_send(*router, StoredConfigMessage{std::move(read)});
              },
          .on_drained =
              [&host, &callers] {
                // Waits until the last responses have been sent.
                host.StopWhen(
                    [&callers] { return callers->PendingResponses() == 0; });
              },
          .hosts = settings.hosts.address.empty() ? nullptr : &hosts,
          .post_hosts =
              [router](platform_clients::HostsResult listed) {
                caf::anon_send(*router, HostsMessage{std::move(listed)});
              },
          .seed_routers = settings.routers});
  *router = actors.System().spawn(RouterActor, driver);
  const ActorGuard guard(actors, router);

  auto listening = transport::HttpServer::Listen(
      host.Context(),
      {.endpoint = settings.callers,
       .max_buffered_bytes = MaxBufferedBytes(settings),
       .make_error = ToMalformedResponse},
      CallerHandler(*router, incarnation));
  if (!listening.ok()) return listening.status();
  callers = *std::move(listening);
  const auto admin = ListenAdmin(
      host.Context(), settings.admin, [router](const auto& exchange) {
        caf::anon_send(*router, RouterStatusMessage{exchange});
      });
  if (!admin.ok()) return admin.status();

  common::Log(common::Subsystem::kMain, common::LogLevel::kInfo,
              "event=started role=router name={} data_centre={} region={} "
              "incarnation={} callers={}",
              settings.name.value, settings.data_centre.value,
              settings.region.value, common::ToString(incarnation),
              common::ToString(settings.callers));
  host.Run([router] { caf::anon_send(*router, RouterTickMessage{}); },
           [&] {
             // /readyz fails from now on, so that the load balancer redirects
             // callers. New requests are still served during the grace period.
             caf::anon_send(*router, RouterShutdownMessage{});
             host.After(settings.drain_grace, [&] {
               callers->Close();
               post_event(routing::DrainRequested{});
             });
           });
  return absl::OkStatus();
}

}  // namespace shallotbeam::runtime
