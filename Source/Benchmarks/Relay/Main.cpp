// Measures the processor time of the gateway's thread per relayed event,
// including the work per request, and compares it with that of a bare relay
// that only copies bytes, in the same run.

#include <fmt/format.h>
#include <sys/resource.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/program_options.hpp>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <thread>

#include "Common/Clock.h"
#include "Common/Logging.h"
#include "Deployment.h"
#include "Forwarding/Framing.h"
#include "Gateway/Gateway.h"
#include "Runtime/ProcessEvents.h"

namespace shallotbeam::benchmarks {

namespace {

namespace net = boost::asio;

using boost::system::error_code;
using net::ip::tcp;

struct Load {
  int streams = 100;          // concurrent
  int events = 50;            // per stream
  int event_interval_ms = 5;  // between events of one stream
  int seconds = 4;            // length of each measurement
};

constexpr std::string_view kEvent =
    "id: 123456\ndata: 012345678901234567890123456789012345678901234567\n\n";
constexpr std::uint16_t kGatewayPort = 28'801;
constexpr std::uint16_t kRelayPort = 28'802;
constexpr std::uint16_t kUpstreamPort = 28'803;

tcp::endpoint LoopbackEndpoint(std::uint16_t port) {
  return {net::ip::make_address("127.0.0.1"), port};
}

// An engine that responds to each request with a stream of Load::events events.
class StreamingUpstream {
 public:
  StreamingUpstream(net::io_context& context, const Load& load)
      : acceptor_(context, LoopbackEndpoint(kUpstreamPort)), load_(load) {
    Accept();
  }

 private:
  struct Session : std::enable_shared_from_this<Session> {
    Session(tcp::socket s, const Load& load)
        : socket(std::move(s)), timer(socket.get_executor()), load(load) {}

    void Read() {
      socket.async_read_some(
          net::buffer(buffer),
          [self = shared_from_this()](error_code ec, std::size_t n) {
            if (ec) return;
            self->input.append(self->buffer.data(), n);
            const std::size_t end = self->input.find("\r\n\r\n");
            if (end == std::string::npos) return self->Read();
            const std::size_t at = self->input.find("Attempt-Id: ") + 12;
            self->StartResponse(
                self->input.substr(at, self->input.find('\r', at) - at));
            self->input.erase(0, end + 4);
          });
    }

    void StartResponse(const std::string& id) {
      events_left = load.events;
      const std::string head = fmt::format(
          "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n"
          "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
          "\r\n\r\n",
          id);
      net::write(socket, net::buffer(head));
      ScheduleNextEvent();
    }

    void ScheduleNextEvent() {
      timer.expires_after(std::chrono::milliseconds(load.event_interval_ms));
      timer.async_wait([self = shared_from_this()](error_code ec) {
        if (ec) return;
        net::write(self->socket, net::buffer(self->chunk), ec);
        if (ec) return;
        if (--self->events_left > 0) return self->ScheduleNextEvent();
        net::write(self->socket, net::buffer(forwarding::kLastChunk), ec);
        if (!ec) self->Read();
      });
    }

    tcp::socket socket;
    net::steady_timer timer;
    const Load& load;
    std::array<char, 4096> buffer{};
    std::string input;
    const std::string chunk =
        fmt::format("{:x}\r\n{}\r\n", kEvent.size(), kEvent);
    int events_left = 0;
  };

  void Accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) return;
      socket.set_option(tcp::no_delay(true));
      std::make_shared<Session>(std::move(socket), load_)->Read();
      Accept();
    });
  }

  tcp::acceptor acceptor_;
  const Load& load_;
};

// Sends one request after another and counts the events of the responses.
class StreamingCaller : public std::enable_shared_from_this<StreamingCaller> {
 public:
  StreamingCaller(net::io_context& context, std::uint16_t port,
                  std::atomic<std::int64_t>& events,
                  std::atomic<std::int64_t>& requests)
      : socket_(context), port_(port), events_(events), requests_(requests) {}

  void Start() {
    socket_ = tcp::socket(socket_.get_executor());
    socket_.connect(LoopbackEndpoint(port_));
    Send();
    Read();
  }

 private:
  void Send() {
    static std::atomic<int> next = 0;
    net::write(socket_,
               net::buffer(fmt::format(
                   "POST /talk/1 HTTP/1.1\r\nHost: service\r\n"
                   "Attempt-Id: {:016x}\r\nDeadline-Ms: 15000\r\n"
                   "Model: m\r\nToken-Count: 12000,400\r\n"
                   "Prefix-Hash: 5c1e07a2:500,91bd3f06:4900,{:x}:6600\r\n"
                   "Content-Length: 0\r\n\r\n",
                   ++next, next.load())));
  }

  void Read() {
    socket_.async_read_some(
        net::buffer(buffer_),
        [self = shared_from_this()](error_code ec, std::size_t n) {
          // The gateway closes connections after some seconds.
          if (ec) return self->Start();
          self->HandleResponseBytes({self->buffer_.data(), n});
          self->Read();
        });
  }

  void HandleResponseBytes(std::string_view bytes) {
    for (std::size_t at = bytes.find("id: "); at != std::string_view::npos;
         at = bytes.find("id: ", at + 1)) {
      ++events_;
    }
    connection_closing_ = connection_closing_ ||
                          bytes.find("Connection: close") != std::string::npos;
    if (!bytes.ends_with(forwarding::kLastChunk)) return;
    ++requests_;
    if (!std::exchange(connection_closing_, false)) Send();
  }

  tcp::socket socket_;
  std::uint16_t port_;
  std::atomic<std::int64_t>& events_;
  std::atomic<std::int64_t>& requests_;
  std::array<char, 8192> buffer_{};
  bool connection_closing_ = false;
};

// Copies bytes in both directions without parsing them.
class BareRelay {
 public:
  explicit BareRelay(net::io_context& context)
      : acceptor_(context, LoopbackEndpoint(kRelayPort)) {
    Accept();
  }

 private:
  struct RelayedConnection : std::enable_shared_from_this<RelayedConnection> {
    explicit RelayedConnection(tcp::socket s)
        : caller(std::move(s)), upstream(caller.get_executor()) {}

    void Copy(tcp::socket& from, tcp::socket& to,
              std::array<char, 8192>& buffer) {
      from.async_read_some(net::buffer(buffer),
                           [self = shared_from_this(), &from, &to, &buffer](
                               error_code ec, std::size_t n) {
                             if (ec) return;
                             to.write_some(net::buffer(buffer.data(), n), ec);
                             if (!ec) self->Copy(from, to, buffer);
                           });
    }

    tcp::socket caller;
    tcp::socket upstream;
    std::array<char, 8192> request_buffer{};
    std::array<char, 8192> response_buffer{};
  };

  void Accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) return;
      const auto connection =
          std::make_shared<RelayedConnection>(std::move(socket));
      connection->upstream.connect(LoopbackEndpoint(kUpstreamPort));
      connection->caller.set_option(tcp::no_delay(true));
      connection->Copy(connection->caller, connection->upstream,
                       connection->request_buffer);
      connection->Copy(connection->upstream, connection->caller,
                       connection->response_buffer);
      Accept();
    });
  }

  tcp::acceptor acceptor_;
};

// A store with one fixed configuration and one upstream, which never change.
class FixedStore : public platform_clients::ItemStore {
 public:
  void List(const std::string&, const std::string&,
            std::function<void(platform_clients::ListResult)> done) override {
    done({.status = absl::OkStatus(),
          .items = {{.key = "op/config",
                     .value = R"({"version":1,"routes":[{"name":"r",
"host":"service","pathPrefix":"/talk/","routeKind":"streaming","timeoutMs":15000,
"sloMs":600,"priority":1,"service":"s","attempts":1,"anonymous":true,
"sticky":true,"resumable":true,"gapTargetMs":400}],"services":[{"name":"s",
"healthPath":"/h","maxConns":740,"engine":{"slots":64,"kvCapacity":700000,
"kvBytes":1,"stride":6}}],"limits":{}})",
                     .position = {.revision = 1}},
                    {.key = "servers/u1",
                     .value = R"({"service":"s","address":"127.0.0.1:28803",
"zone":"a","slots":64,"state":"ready","sequence":1,"born":1})",
                     .position = {.revision = 1}}},
          .as_of = {.revision = 1}});
  }
  void AwaitChanges(
      const std::string&, common::StorePosition, std::chrono::milliseconds,
      std::function<void(platform_clients::ChangesResult)>) override {}
};

std::chrono::duration<double> ThreadCpuTime() {
  rusage usage{};
  getrusage(RUSAGE_THREAD, &usage);
  const auto to_duration = [](const timeval& it) {
    return std::chrono::seconds(it.tv_sec) +
           std::chrono::microseconds(it.tv_usec);
  };
  return to_duration(usage.ru_utime) + to_duration(usage.ru_stime);
}

void RunGateway(net::io_context& context) {
  const common::BootClock clock;
  FixedStore store;
  const auto deployment = platform_adapter::GatewayDeployment();
  gateway::GatewaySettings settings;
  settings.callers = {.address = "127.0.0.1", .port = kGatewayPort};
  gateway::Gateway gateway(
      settings, static_cast<common::Incarnation>(1),
      {.context = context,
       .clock = clock,
       .store = store,
       .header_codec = deployment.header_codec,
       .decode = deployment.decode,
       .send = [](const common::Endpoint&, std::string_view) {}});
  if (!gateway.Listen().ok()) return;
  gateway.OnTick();
  const runtime::Ticker ticker(context, gateway::kTickInterval,
                               [&gateway] { gateway.OnTick(); });
  context.run();
}

struct Measurement {
  double microseconds_per_event = 0;
  double events_per_second = 0;
  double requests = 0;
};

// Runs `relay` on a separate thread under load and measures the processor time
// of this thread.
Measurement Measure(const Load& load, std::uint16_t port,
                    const std::function<void(net::io_context&)>& relay) {
  net::io_context relay_context(1);
  net::io_context load_context(1);
  std::atomic<double> cpu_seconds = 0;
  std::atomic<std::int64_t> events = 0;
  std::atomic<std::int64_t> requests = 0;
  std::thread relay_thread([&] {
    relay(relay_context);
    cpu_seconds = ThreadCpuTime().count();
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  const StreamingUpstream upstream(load_context, load);
  for (int i = 0; i < load.streams; ++i) {
    std::make_shared<StreamingCaller>(load_context, port, events, requests)
        ->Start();
  }
  std::thread load_thread([&] { load_context.run(); });
  std::this_thread::sleep_for(std::chrono::seconds(load.seconds));
  const double relayed_events = static_cast<double>(events);
  relay_context.stop();
  relay_thread.join();
  load_context.stop();
  load_thread.join();
  constexpr double kMicrosecondsPerSecond = 1e6;
  return {.microseconds_per_event =
              cpu_seconds * kMicrosecondsPerSecond / relayed_events,
          .events_per_second = relayed_events / load.seconds,
          .requests = static_cast<double>(requests)};
}

int Run(const Load& load) {
  if (!common::ApplyLogLevels("off").ok()) return 1;
  const Measurement bare =
      Measure(load, kRelayPort, [](net::io_context& context) {
        const BareRelay relay(context);
        context.run();
      });
  const Measurement gateway = Measure(load, kGatewayPort, RunGateway);
  fmt::print("bare relay: {:.2f} us an event, {:.0f} events/s\n",
             bare.microseconds_per_event, bare.events_per_second);
  fmt::print("gateway: {:.2f} us an event, {:.0f} events/s, {:.0f} requests\n",
             gateway.microseconds_per_event, gateway.events_per_second,
             gateway.requests);
  fmt::print("ratio: {:.2f}\n",
             gateway.microseconds_per_event / bare.microseconds_per_event);
  return 0;
}

}  // namespace

}  // namespace shallotbeam::benchmarks

int main(int argc, char** argv) {
  shallotbeam::benchmarks::Load load;
  namespace po = boost::program_options;
  po::options_description options("shallotbeam-relay-benchmark");
  options.add_options()("help", "print this help")(
      "streams", po::value<int>(&load.streams), "number of concurrent streams")(
      "events", po::value<int>(&load.events), "events per stream")(
      "interval-ms", po::value<int>(&load.event_interval_ms),
      "time between events of a stream in ms")(
      "seconds", po::value<int>(&load.seconds), "length of each measurement");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  po::notify(values);
  if (values.count("help") != 0) {
    std::cout << options;
    return 0;
  }
  return shallotbeam::benchmarks::Run(load);
}
