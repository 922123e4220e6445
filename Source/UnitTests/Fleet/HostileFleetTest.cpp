#include <fmt/format.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <thread>

#include "Load/Fleet.h"

// Clients that keep to no limits, against a real router and a real agent: both
// stay within their memory, and an ordinary request is served afterwards.
namespace shallotbeam::load {

namespace {

using std::chrono::milliseconds;
namespace net = boost::asio;

constexpr double kMegabyte = 1'048'576;
constexpr int kMemoryMb = 48;
constexpr int kMaxDescriptors = 500;
constexpr int kCrowd = 200;
constexpr std::size_t kBodyBytes = 1'048'576;
constexpr auto kSettleTime = std::chrono::seconds(1);

nlohmann::json Configuration() {
  return nlohmann::json::parse(R"({
    "pools": {"work": {"initial_slots": 4}},
    "kinds": {"ask": {"pool": "work"}},
    "workspaces": {"w": {"weight": 1, "open": true, "kinds": ["ask"]}}})");
}

struct Fixture {
  Fixture() {
    std::filesystem::remove_all(WORK_FOLDER);
    std::filesystem::create_directories(WORK_FOLDER);
    Experiment experiment;
    experiment.config = Configuration();
    experiment.fleet.routers = 1;
    experiment.fleet.memory_mb = kMemoryMb;
    experiment.fleet.pools = {{.pool = "work", .agents = 1}};
    auto started = Fleet::Start(
        experiment, {.programs = PROGRAM_FOLDER, .work_folder = WORK_FOLDER});
    BOOST_REQUIRE_MESSAGE(started.ok(), started.status().ToString());
    fleet = *std::move(started);
  }

  // Connects a client that sends `bytes` and leaves its connection open. The
  // process may refuse it on the way.
  void Add(const FleetProcess& process, const std::string& bytes) {
    crowd.emplace_back(context);
    boost::system::error_code ec;
    crowd.back().connect(
        {net::ip::make_address(process.http.address), process.http.port}, ec);
    if (!ec) net::write(crowd.back(), net::buffer(bytes), ec);
    Check(process);
  }

  void Check(const FleetProcess& process) {
    BOOST_REQUIRE_MESSAGE(!fleet->ExitCode(process.name),
                          process.name << " has ended");
    const pid_t pid = process.child->Pid();
    const double used = ResidentBytes(pid) / kMegabyte;
    peak_mb = std::max(peak_mb, used);
    BOOST_REQUIRE_MESSAGE(used <= kMemoryMb,
                          process.name << " uses " << used << " MiB");
    const auto folder = fmt::format("/proc/{}/fd", pid);
    BOOST_REQUIRE_LE(std::distance(std::filesystem::directory_iterator(folder),
                                   std::filesystem::directory_iterator()),
                     kMaxDescriptors);
  }

  // Sends a crowd of `bytes` to the process, lets it read, and asks for an
  // ordinary answer.
  void RunCrowd(const std::string& role, const std::string& bytes) {
    const FleetProcess& process = *fleet->OfRole(role).front();
    for (int i = 0; i < kCrowd; ++i) Add(process, bytes);
    const auto end = std::chrono::steady_clock::now() + kSettleTime;
    while (std::chrono::steady_clock::now() < end) {
      Check(process);
      std::this_thread::sleep_for(milliseconds(10));
    }
    BOOST_TEST_MESSAGE("peak memory: " << peak_mb << " MiB");
    BOOST_CHECK_EQUAL(Ask(), 200);
    Check(process);
  }

  // The status of an ordinary request, which is sent until it is not refused.
  int Ask() {
    int status = 0;
    constexpr int kTries = 40;
    for (int i = 0; i < kTries && status != 200; ++i) {
      if (i > 0) std::this_thread::sleep_for(milliseconds(250));
      const auto& router = fleet->OfRole("router").front()->http;
      net::ip::tcp::socket socket(context);
      boost::system::error_code ec;
      socket.connect({net::ip::make_address(router.address), router.port}, ec);
      const std::string body = R"({"prompt":"p","max_tokens":2})";
      net::write(socket,
                 net::buffer(fmt::format(
                     "POST /v1/requests HTTP/1.1\r\nHost: h\r\n"
                     "Shallotbeam-Workspace: w\r\nShallotbeam-Kind: ask\r\n"
                     "Connection: close\r\nContent-Length: {}\r\n\r\n{}",
                     body.size(), body)),
                 ec);
      std::string text;
      std::array<char, 4'096> buf{};
      while (!ec) {
        const std::size_t n = socket.read_some(net::buffer(buf), ec);
        text.append(buf.data(), n);
      }
      constexpr std::size_t kStatusAt = 9;  // after "HTTP/1.1 "
      if (text.size() > kStatusAt + 3) {
        status = std::stoi(text.substr(kStatusAt, 3));
      }
      BOOST_TEST_MESSAGE("answer: " << text.substr(0, 200));
    }
    return status;
  }

  net::io_context context;
  std::unique_ptr<Fleet> fleet;
  std::vector<net::ip::tcp::socket> crowd;
  double peak_mb = 0;
};

const std::string kHead = "POST /v1/requests HTTP/1.1\r\nHost: h\r\n";

// A head of many fields whose body stops one byte short of its end.
std::string TinyFields() {
  constexpr int kFields = 4'000;
  std::string fields = "Content-Length: 100";
  for (int i = 0; i < kFields; ++i) fields += "\r\na:";
  return kHead + fields + "\r\n\r\n" + std::string(99, 'u');
}

std::string BodyThatStopsShort() {
  return fmt::format("{}Content-Length: {}\r\n\r\n", kHead, kBodyBytes) +
         std::string(kBodyBytes - 1, 'u');
}

std::string ChunksThatStopShort(std::size_t chunk) {
  std::string text = kHead + "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t n = 0; n < kBodyBytes; n += chunk) {
    text += fmt::format("{:x}\r\n{}\r\n", chunk, std::string(chunk, 'u'));
  }
  return text + "4\r\n";
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(HostileFleetTest, Fixture)

// Guards against the sum of bodies of legal size.
BOOST_AUTO_TEST_CASE(RouterSurvivesBodiesThatStopShort) {
  RunCrowd("router", BodyThatStopsShort());
}

BOOST_AUTO_TEST_CASE(AgentSurvivesBodiesThatStopShort) {
  RunCrowd("agent", BodyThatStopsShort());
}

// Guards against bodies whose length is not stated, in large and tiny chunks.
BOOST_AUTO_TEST_CASE(RouterSurvivesChunksThatStopShort) {
  RunCrowd("router", ChunksThatStopShort(65'536));
}

BOOST_AUTO_TEST_CASE(RouterSurvivesTinyChunksThatStopShort) {
  RunCrowd("router", ChunksThatStopShort(4));
}

// Guards against heads of legal size that take many times their size in memory.
BOOST_AUTO_TEST_CASE(RouterSurvivesHeadsOfTinyFields) {
  RunCrowd("router", TinyFields());
}

BOOST_AUTO_TEST_CASE(AgentSurvivesHeadsOfTinyFields) {
  RunCrowd("agent", TinyFields());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::load
