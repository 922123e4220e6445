#include "SchedulerRuntime/SchedulerProcess.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <caf/all.hpp>
#include <memory>
#include <utility>

#include "Common/Clock.h"
#include "Common/HandlerGuard.h"
#include "Common/Logging.h"
#include "Runtime/ActorHost.h"
#include "Runtime/MetricsPage.h"
#include "Runtime/ProcessEvents.h"
#include "Runtime/ProcessHost.h"
#include "SchedulerRuntime/SchedulerDriver.h"
#include "Transport/Datagrams.h"
#include "Transport/HttpClient.h"

namespace shallotbeam::scheduler_runtime {

// Messages to the scheduler's actor.
struct ControlMessage {
  std::string bytes;
};
struct ReportMessage {
  EngineStatus status;
  common::Duration call_time{0};
};
struct TickMessage {};

}  // namespace shallotbeam::scheduler_runtime

// The messages never leave the process, so they need no serialisation.
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotbeam::scheduler_runtime::ControlMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotbeam::scheduler_runtime::ReportMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotbeam::scheduler_runtime::TickMessage)

namespace shallotbeam::scheduler_runtime {

namespace {

namespace net = boost::asio;

constexpr std::chrono::milliseconds kTickInterval{20};
// Interval between load polls. A poll is cheap because the engine runs on the
// same host.
constexpr std::chrono::milliseconds kReportInterval{100};
constexpr common::Duration kReportTimeout = std::chrono::milliseconds(500);
constexpr int kOk = 200;

caf::behavior SchedulerActor(caf::event_based_actor* /*self*/,
                             const std::shared_ptr<SchedulerDriver>& driver) {
  // An exception would end the actor.
  return {[driver](const ControlMessage& message) {
            common::RunGuarded("control_message", [&] {
              driver->OnControlMessage(message.bytes);
            });
          },
          [driver](const ReportMessage& message) {
            common::RunGuarded("engine_report", [&] {
              driver->OnStatus(message.status, message.call_time);
            });
          },
          [driver](const TickMessage&) {
            common::RunGuarded("tick", [&] { driver->OnTick(); });
          }};
}

// Polls the engine's load and sends each report to the scheduler's actor.
class ReportPoller {
 public:
  ReportPoller(net::io_context& context, const common::Clock& clock,
               common::Endpoint engine, const EngineReportApi& report_api,
               caf::actor scheduler)
      : client_(context),
        timer_(context),
        clock_(clock),
        engine_(std::move(engine)),
        report_api_(report_api),
        scheduler_(std::move(scheduler)) {
    Poll();
  }

 private:
  void Poll() {
    client_.Fetch(
        engine_, {.method = "GET", .target = report_api_.report_path},
        kReportTimeout,
        [this, sent = clock_.Now()](transport::CallEnd end,
                                    const transport::HttpResponse& it) {
          if (end == transport::CallEnd::kComplete && it.status == kOk) {
            const auto status = report_api_.decode_report(it);
            if (status) {
              caf::anon_send(scheduler_,
                             ReportMessage{*status, clock_.Now() - sent});
            }
          }
          timer_.expires_after(kReportInterval);
          timer_.async_wait([this](boost::system::error_code ec) {
            if (!ec) Poll();
          });
        });
  }

  transport::HttpClient client_;
  net::steady_timer timer_;
  const common::Clock& clock_;
  common::Endpoint engine_;
  const EngineReportApi& report_api_;
  caf::actor scheduler_;
};

}  // namespace

absl::Status RunScheduler(const SchedulerSettings& settings,
                          const EngineReportApi& report_api) {
  const common::BootClock clock;
  net::io_context context(1);
  runtime::ActorHost actors;
  const auto scheduler = std::make_shared<caf::actor>();
  // Used only by the actor.
  transport::DatagramSender sender(context);
  const auto driver = std::make_shared<SchedulerDriver>(
      settings, runtime::GenerateIncarnation(),
      SchedulerEnvironment{.clock = clock,
                           .send = [&sender](const common::Endpoint& peer,
                                             std::string_view bytes) {
                             sender.Send(peer, bytes);
                           }});
  *scheduler = actors.System().spawn(SchedulerActor, driver);
  const runtime::ActorGuard guard(actors, scheduler);
  const auto inbox = transport::DatagramReceiver::Open(
      context, settings.control, [scheduler](std::string_view bytes) {
        caf::anon_send(*scheduler, ControlMessage{std::string(bytes)});
      });
  if (!inbox.ok()) return inbox.status();
  const ReportPoller poller(context, clock, settings.engine, report_api,
                            *scheduler);
  const auto metrics = runtime::ServeMetrics(
      context, settings.admin, [driver] { return driver->MetricsText(); });
  if (!metrics.ok()) return metrics.status();
  const auto tick = [scheduler] {
    caf::anon_send(*scheduler, TickMessage{});
    common::FlushLog();
  };
  tick();
  const runtime::Ticker ticker(context, kTickInterval, tick);
  common::Log(common::Subsystem::kMain, common::LogLevel::kInfo,
              "event=started role=scheduler name={} engine={} control={}",
              settings.name.value, common::ToString(settings.engine),
              common::ToString(settings.control));
  const runtime::StopSignals signals(context, [&context] { context.stop(); });
  runtime::RunContext(context);
  return absl::OkStatus();
}

}  // namespace shallotbeam::scheduler_runtime
