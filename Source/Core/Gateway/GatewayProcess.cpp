#include "Gateway/GatewayProcess.h"

#include <malloc.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "Common/Logging.h"
#include "PlatformClients/ChangeTiming.h"
#include "Runtime/MetricsPage.h"
#include "Runtime/ProcessEvents.h"
#include "Runtime/ProcessHost.h"
#include "Transport/Datagrams.h"
#include "Transport/HttpServer.h"

namespace shallotbeam::gateway {

namespace {

namespace net = boost::asio;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kMmapThreshold = 131'072;

absl::StatusOr<std::shared_ptr<transport::HttpServer>> ListenReadiness(
    net::io_context& context, const GatewaySettings& settings,
    const std::string& path, const Gateway& gateway) {
  const auto handler =
      [path, &gateway](const std::shared_ptr<transport::HttpExchange>& it) {
        const bool known = it->Request().target == path;
        const bool ready = known && gateway.IsReady();
        it->Send({.status = ready ? kOk : kUnavailable, .headers = {}});
      };
  return transport::HttpServer::Listen(
      context,
      {.endpoint = settings.readiness,
       .make_error =
           [](int status) {
             return transport::HttpResponse{.status = status, .headers = {}};
           }},
      handler);
}

// Serves the polls of other gateways if this one is a relay. Null otherwise.
absl::StatusOr<std::shared_ptr<transport::HttpServer>> ListenForPolls(
    net::io_context& context, const GatewaySettings& settings,
    Gateway& gateway) {
  if (!IsRelay(settings)) return std::shared_ptr<transport::HttpServer>();
  return transport::HttpServer::Listen(
      context, {.endpoint = settings.control},
      [&gateway](const std::shared_ptr<transport::HttpExchange>& it) {
        gateway.OnRelayPoll(it);
      });
}

}  // namespace

// A gateway that turns to the store because its relay is silent must not do so
// on a connection that may be silent as well.
transport::HttpClientOptions ControlClientOptions() {
  return {.max_idle = std::chrono::seconds(1)};
}

platform_clients::RelayedStoreOptions StoreOptions(
    const GatewaySettings& settings) {
  const platform_clients::ChangeTiming timing =
      platform_clients::TimingFor(ChangeLimit(settings));
  platform_clients::RelayedStoreOptions options{
      .name = settings.name,
      .poll_wait = timing.relayed_poll_wait,
      .response_timeout = timing.relay_response_timeout};
  // A relay polls the store itself.
  if (!IsRelay(settings)) options.relays = ControlAddresses(settings);
  return options;
}

absl::Status RunGateway(const GatewaySettings& settings,
                        const Deployment& deployment) {
  // A fixed threshold. The default one grows with the freed blocks, and memory
  // of long bodies would not return to the system.
  mallopt(M_MMAP_THRESHOLD, kMmapThreshold);
  net::io_context context(1);
  const common::BootClock clock;
  const overload::ProcessClock processor;
  transport::HttpClient client(context, clock, ControlClientOptions());
  const auto store = deployment.make_store(client, settings.store);
  platform_clients::RelayedStore relayed_store(*store, client, clock,
                                               StoreOptions(settings));
  transport::DatagramSender sender(context);
  Gateway gateway(
      settings, runtime::GenerateIncarnation(),
      {.context = context,
       .clock = clock,
       .store = relayed_store,
       .header_codec = deployment.header_codec,
       .decode = deployment.decode,
       .send = [&sender](const common::Endpoint& peer,
                         std::string_view bytes) { sender.Send(peer, bytes); },
       .processor = &processor});
  const auto inbox = transport::DatagramReceiver::Open(
      context, settings.control,
      [&gateway](std::string_view bytes) { gateway.OnControlMessage(bytes); });
  if (!inbox.ok()) return inbox.status();
  absl::Status status = gateway.Listen();
  if (!status.ok()) return status;
  const auto readiness =
      ListenReadiness(context, settings, deployment.readiness_path, gateway);
  if (!readiness.ok()) return readiness.status();
  const auto relay = ListenForPolls(context, settings, gateway);
  if (!relay.ok()) return relay.status();
  const auto metrics = runtime::ServeMetrics(
      context, settings.admin, [&gateway] { return gateway.MetricsText(); });
  if (!metrics.ok()) return metrics.status();
  common::Log(common::Subsystem::kMain, common::LogLevel::kInfo,
              "event=started role=gateway name={} data_centre={} callers={}",
              settings.name.value, settings.data_centre.value,
              common::ToString(settings.callers));
  const runtime::Ticker ticker(context, kTickInterval, [&gateway] {
    gateway.OnTick();
    common::FlushLog();
  });
  const runtime::StopSignals signals(
      context, [&] { gateway.Drain([&context] { context.stop(); }); });
  runtime::RunContext(context);
  common::Log(common::Subsystem::kMain, common::LogLevel::kInfo,
              "event=stopped");
  return absl::OkStatus();
}

}  // namespace shallotbeam::gateway
