#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <optional>
#include <thread>

#include "Load/Processes.h"
#include "Wire/Codec.h"

// A scheduler process beside an engine that gets prompts of callers that nobody
// controls. What it remembers of them stays within its memory.
namespace shallotbeam::platform_adapter {

namespace {

using std::chrono::milliseconds;
namespace net = boost::asio;

constexpr double kMegabyte = 1'048'576;
constexpr int kMemoryMb = 48;
constexpr int kMaxDescriptors = 64;
constexpr int kPrompts = 400;
// A head of 16 KiB lists about as many.
constexpr int kParts = 2'600;
constexpr auto kMaxWait = std::chrono::seconds(30);
constexpr std::size_t kMaxDatagram = 65'536;

struct Fixture {
  Fixture() : control(load::FreeEndpoint()) {
    std::filesystem::create_directories(WORK_FOLDER);
    const std::string settings = std::string(WORK_FOLDER) + "/scheduler.json";
    std::ofstream(settings) << fmt::format(
        R"({{"control":"{}","admin":"{}","engine":"{}"}})",
        common::ToString(control), common::ToString(load::FreeEndpoint()),
        common::ToString(load::FreeEndpoint()));
    auto process = load::ChildProcess::Start(
        GATEWAY_PROGRAM, {"scheduler", "--settings", settings},
        std::string(WORK_FOLDER) + "/scheduler.log");
    BOOST_REQUIRE(process.ok());
    scheduler.emplace(*std::move(process));
    socket.non_blocking(true);
  }
  ~Fixture() {
    BOOST_TEST_MESSAGE("peak memory of the scheduler: " << peak_mb << " MiB");
  }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  common::Endpoint Own() const {
    return {.address = "127.0.0.1", .port = socket.local_endpoint().port()};
  }

  void Send(protocol::SchedulingBody body) {
    const std::string bytes = wire::Encode(protocol::SchedulingEnvelope{
        .sender = common::ProcessName("gateway"),
        .incarnation = static_cast<common::Incarnation>(1),
        .body = std::move(body)});
    boost::system::error_code ignored;
    socket.send_to(net::buffer(bytes),
                   {net::ip::make_address(control.address), control.port}, 0,
                   ignored);
  }

  // Describes the engine, as a gateway does once a second.
  void Report(std::vector<std::uint64_t> in_progress = {}) {
    Send(protocol::GatewayReport{.control = Own(),
                                 .upstream = common::UpstreamName("e"),
                                 .upstream_started = 1,
                                 .slots = 64,
                                 .memory_tokens = 600'000,
                                 .in_progress = std::move(in_progress)});
  }

  // Offers a prompt until it may start, and ends it. Returns whether it
  // started.
  bool Run(const common::Prompt& prompt) {
    const protocol::StartOffer offer{
        .number = ++number,
        .control = Own(),
        .request_id = std::to_string(number),
        .prompt = prompt,
        .first = true,
        .time_to_target = std::chrono::seconds(20),
        .time_to_deadline = std::chrono::seconds(20)};
    const auto give_up = std::chrono::steady_clock::now() + kMaxWait;
    while (std::chrono::steady_clock::now() < give_up) {
      Report();
      Send(offer);
      if (!HasStarted()) continue;
      Send(protocol::StartProgress{.number = number,
                                   .stage = protocol::StartStage::kFirstEvent});
      Send(protocol::StartProgress{.number = number,
                                   .stage = protocol::StartStage::kDone});
      return true;
    }
    return false;
  }

  // Waits a moment for the start of the newest offer.
  bool HasStarted() {
    std::string buf(kMaxDatagram, '\0');
    for (int i = 0; i < 100; ++i) {
      boost::system::error_code ec;
      const std::size_t n = socket.receive(net::buffer(buf), 0, ec);
      if (ec) {
        std::this_thread::sleep_for(milliseconds(1));
        continue;
      }
      const auto envelope = wire::DecodeScheduling({buf.data(), n});
      if (!envelope.ok()) continue;
      const auto* reply = std::get_if<protocol::StartReply>(&envelope->body);
      if (reply != nullptr && reply->number == number &&
          reply->decision == common::OfferDecision::kStart) {
        return true;
      }
    }
    return false;
  }

  void Check() {
    BOOST_REQUIRE_MESSAGE(!scheduler->ExitCode(), "the scheduler has ended");
    const double used = load::ResidentBytes(scheduler->Pid()) / kMegabyte;
    peak_mb = std::max(peak_mb, used);
    BOOST_REQUIRE_MESSAGE(used <= kMemoryMb,
                          "the scheduler uses " << used << " MiB");
    const auto folder = fmt::format("/proc/{}/fd", scheduler->Pid());
    BOOST_REQUIRE_LE(std::distance(std::filesystem::directory_iterator(folder),
                                   std::filesystem::directory_iterator()),
                     kMaxDescriptors);
  }

  // Prompts with lists of parts of their own, of `tokens` each.
  void RunCrowd(int tokens) {
    std::uint64_t id = 0;
    for (int i = 0; i < kPrompts; ++i) {
      common::Prompt prompt{.model = "m", .prompt_tokens = 20};
      for (int j = 0; j < kParts; ++j) {
        prompt.parts.push_back({.id = ++id, .tokens = tokens});
      }
      BOOST_REQUIRE(Run(prompt));
      Check();
    }
  }

  // An ordinary prompt is answered afterwards.
  void CheckOrdinaryPrompt() {
    BOOST_CHECK(Run({.model = "m",
                     .prompt_tokens = 900,
                     .parts = {{.id = 1, .tokens = 800}}}));
    Check();
  }

  common::Endpoint control;
  net::io_context context;
  net::ip::udp::socket socket{context, {net::ip::make_address("127.0.0.1"), 0}};
  std::optional<load::ChildProcess> scheduler;
  std::uint64_t number = 0;
  double peak_mb = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(HostilePromptsTest, Fixture)

// Guards against a model of the engine's cache that bounds tokens alone.
BOOST_AUTO_TEST_CASE(PromptPartsWithoutTokens) {
  RunCrowd(0);
  CheckOrdinaryPrompt();
}

// The same where the sum of the tokens falls.
BOOST_AUTO_TEST_CASE(PromptPartsWithANegativeNumberOfTokens) {
  RunCrowd(-1);
  CheckOrdinaryPrompt();
}

// The same where the engine has room for very many parts.
BOOST_AUTO_TEST_CASE(PromptPartsOfOneToken) {
  RunCrowd(1);
  CheckOrdinaryPrompt();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::platform_adapter
