#include "Platform/HostileFixture.h"

#include <fmt/format.h>

#include <array>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <thread>
#include <utility>

#include "Transport/HttpServer.h"
#include "absl/strings/escaping.h"

namespace shallotbeam::platform_adapter {

namespace {

namespace net = boost::asio;
using boost::system::error_code;
using net::ip::tcp;
using std::chrono::milliseconds;

constexpr double kMegabyte = 1'048'576;
// Longest time for a crowd to send its bytes; bounds a test that hangs.
constexpr auto kMaxSendTime = std::chrono::seconds(120);
constexpr auto kMaxStartTime = std::chrono::seconds(30);
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

common::Endpoint Local() { return {.address = "127.0.0.1", .port = 0}; }

std::string ConfigurationText() {
  return fmt::format(
      R"({{"version":1,"routes":[{{"name":"up","host":"h","pathPrefix":"/up/",
      "routeKind":"non_idempotent","service":"plain","anonymous":true,
      "timeoutMs":60000,"sloMs":1000}},
      {{"name":"ask","host":"h","pathPrefix":"/ask/",
      "routeKind":"streaming","service":"model","anonymous":true,
      "sticky":true,"timeoutMs":60000,"sloMs":1000,"gapTargetMs":400}}],
      "services":[{{"name":"plain"}},{{"name":"model","engine":
      {{"slots":500,"kvCapacity":600000,"stride":6,"models":[{{"name":"m"}}]}}}}],
      "limits":{{"maxBodyBytes":{},"headerTimeoutMs":60000,
      "idleTimeoutMs":60000}}}})",
      kMaxBodyBytes);
}

std::string Item(const std::string& key, const std::string& value) {
  return fmt::format(R"({{"key":"{}","value":"{}","revision":5}})", key,
                     absl::Base64Escape(value));
}

std::string Entry(const std::string& service, std::uint16_t port, int slots) {
  return fmt::format(
      R"({{"service":"{}","address":"127.0.0.1:{}","zone":"z",
      "slots":{},"state":"ready","born":1}})",
      service, port, slots);
}

std::string RequestHead(const std::string& framing,
                        const std::string& path = "/up/x") {
  return "POST " + path +
         " HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n"
         "Deadline-Ms: 60000\r\n" +
         framing + "\r\n\r\n";
}

int OpenDescriptors(pid_t pid) {
  int n = 0;
  const auto folder = fmt::format("/proc/{}/fd", pid);
  std::error_code ignored;
  for ([[maybe_unused]] const auto& it :
       std::filesystem::directory_iterator(folder, ignored)) {
    ++n;
  }
  return n;
}

}  // namespace

Upload PlainUpload(std::size_t length, std::size_t unit, std::size_t missing) {
  Upload upload{.head = RequestHead(fmt::format("Content-Length: {}", length)),
                .unit = std::string(unit, 'u'),
                .count = (length - missing) / unit};
  upload.tail = std::string((length - missing) % unit, 'u');
  return upload;
}

Upload ChunkedUpload(std::size_t length, std::size_t chunk, bool ended) {
  Upload upload{.head = RequestHead("Transfer-Encoding: chunked")};
  const std::string bytes =
      fmt::format("{:x}\r\n{}\r\n", chunk, std::string(chunk, 'u'));
  // Several small chunks are written at a time.
  constexpr std::size_t kUnitBytes = 8'192;
  const std::size_t per_unit =
      std::max<std::size_t>(1, kUnitBytes / bytes.size());
  for (std::size_t i = 0; i < per_unit; ++i) upload.unit += bytes;
  upload.count = length / (chunk * per_unit);
  // The last chunk is one byte short.
  upload.tail = ended ? "0\r\n\r\n" : fmt::format("{:x}\r\n", chunk);
  return upload;
}

Upload ManyFieldsUpload() {
  constexpr std::size_t kFields = 4'000;
  std::string fields = "Content-Length: 100";
  for (std::size_t i = 0; i < kFields; ++i) fields += "\r\na:";
  return {.head = RequestHead(fields), .tail = std::string(99, 'u')};
}

Upload LongPromptListUpload() {
  constexpr int kParts = 2'500;
  std::string parts = "1:1";
  for (int i = 1; i < kParts; ++i) parts += fmt::format(",{:x}:1", i + 1);
  return {.head =
              RequestHead(fmt::format("Model: m\r\nToken-Count: {},600\r\n"
                                      "Prefix-Hash: {}\r\nContent-Length: 0",
                                      kParts, parts),
                          "/ask/x")};
}

// Answers for the store and the upstreams.
struct HostileFixture::Backends {
  net::io_context context;
  net::executor_work_guard<net::io_context::executor_type> work{
      context.get_executor()};
  std::shared_ptr<transport::HttpServer> upstream;
  std::shared_ptr<transport::HttpServer> model;
  std::shared_ptr<transport::HttpServer> store;
  // Requests for the model, which stay without an answer.
  std::vector<std::shared_ptr<transport::HttpExchange>> unanswered;
  std::atomic<std::size_t> model_requests = 0;
  std::thread thread;

  Backends() {
    upstream = *transport::HttpServer::Listen(
        context, {.endpoint = Local(), .max_body_bytes = 2 * kMaxBodyBytes},
        [](const std::shared_ptr<transport::HttpExchange>& it) {
          it->Send({.status = kOk,
                    .headers = {{"Attempt-Id", "1"}, {"Response-Seal", "s"}},
                    .body = "done"});
        });
    model = *transport::HttpServer::Listen(
        context, {.endpoint = Local(), .max_header_bytes = 65'536},
        [this](const std::shared_ptr<transport::HttpExchange>& it) {
          unanswered.push_back(it);
          ++model_requests;
        });
    store = *transport::HttpServer::Listen(
        context, {.endpoint = Local()},
        [this](const std::shared_ptr<transport::HttpExchange>& it) {
          AnswerStoreCall(it);
        });
    thread = std::thread([this] { context.run(); });
  }
  ~Backends() {
    context.stop();
    thread.join();
  }
  Backends(const Backends&) = delete;
  Backends& operator=(const Backends&) = delete;

  void AnswerStoreCall(const std::shared_ptr<transport::HttpExchange>& it) {
    if (it->Request().target.find("kv-watch") == std::string::npos) {
      return it->Send(
          {.status = kOk,
           .headers = {},
           .body = fmt::format(
               R"({{"items":[{},{},{}],"asOf":5}})",
               Item("op/config", ConfigurationText()),
               Item("servers/u", Entry("plain", upstream->Port(), 8)),
               Item("servers/m", Entry("model", model->Port(), 500)))});
    }
    // Nothing changes.
    const auto timer = std::make_shared<net::steady_timer>(context);
    timer->expires_after(milliseconds(500));
    timer->async_wait([timer, it](error_code) {
      it->Send(
          {.status = kOk, .headers = {}, .body = R"({"events":[],"asOf":5})"});
    });
  }
};

struct HostileFixture::Caller : std::enable_shared_from_this<Caller> {
  Caller(net::io_context& context, Upload it)
      : socket(context), upload(std::move(it)) {}

  void Start(const common::Endpoint& endpoint) {
    socket.async_connect(
        {net::ip::make_address(endpoint.address), endpoint.port},
        [self = shared_from_this()](error_code ec) {
          if (ec) return self->End();
          self->Read();
          self->Write(self->upload.head);
        });
  }

  void Write(const std::string& bytes) {
    net::async_write(socket, net::buffer(bytes),
                     [self = shared_from_this()](error_code ec, std::size_t) {
                       if (ec) return self->End();
                       self->WriteNext();
                     });
  }

  void WriteNext() {
    if (done) return;
    if (written++ < upload.count) return Write(upload.unit);
    if (std::exchange(tail_sent, true) || upload.tail.empty()) {
      done = true;
      return;
    }
    Write(upload.tail);
  }

  void Read() {
    socket.async_read_some(net::buffer(buf), [self = shared_from_this()](
                                                 error_code ec, std::size_t n) {
      if (ec) return self->End();
      self->received.append(self->buf.data(), n);
      self->Read();
    });
  }

  void End() { done = ended = true; }

  tcp::socket socket;
  Upload upload;
  std::size_t written = 0;
  bool tail_sent = false;
  bool done = false;
  bool ended = false;
  std::array<char, 4'096> buf{};
  std::string received;
};

HostileFixture::HostileFixture(int memory_mb)
    : backends_(std::make_unique<Backends>()), memory_mb_(memory_mb) {
  std::filesystem::create_directories(WORK_FOLDER);
  callers_ = load::FreeEndpoint();
  const common::Endpoint readiness = load::FreeEndpoint();
  const std::string settings = std::string(WORK_FOLDER) + "/gateway.json";
  std::ofstream(settings) << fmt::format(
      R"({{"listen":"{}","readiness":"{}","admin":"{}",
      "control":"{}","store":"127.0.0.1:{}","max_descriptors":{},
      "memory_mb":{}}})",
      common::ToString(callers_), common::ToString(readiness),
      common::ToString(load::FreeEndpoint()),
      common::ToString(load::FreeEndpoint()), backends_->store->Port(),
      kMaxDescriptors, memory_mb_);
  auto process = load::ChildProcess::Start(
      GATEWAY_PROGRAM, {"gateway", "--settings", settings},
      std::string(WORK_FOLDER) + "/gateway.log");
  BOOST_REQUIRE(process.ok());
  gateway_.emplace(*std::move(process));
  const auto give_up = std::chrono::steady_clock::now() + kMaxStartTime;
  while (load::FetchNow(readiness, "GET", "/api/readyz", "", milliseconds(500))
             .status != kOk) {
    BOOST_REQUIRE(std::chrono::steady_clock::now() < give_up);
    std::this_thread::sleep_for(milliseconds(20));
  }
}

HostileFixture::~HostileFixture() {
  BOOST_TEST_MESSAGE("peak memory of the gateway: " << peak_mb_ << " MiB");
}

void HostileFixture::AddCaller(Upload upload) {
  crowd_.push_back(std::make_shared<Caller>(context_, std::move(upload)));
  crowd_.back()->Start(callers_);
}

void HostileFixture::SendAll() {
  const auto give_up = std::chrono::steady_clock::now() + kMaxSendTime;
  const auto is_done = [](const auto& it) { return it->done; };
  while (!std::all_of(crowd_.begin(), crowd_.end(), is_done)) {
    context_.restart();
    context_.run_for(milliseconds(5));
    Check();
    BOOST_REQUIRE_MESSAGE(std::chrono::steady_clock::now() < give_up,
                          "the gateway neither reads nor closes");
  }
  AwaitReading();
}

// The kernel may hold bytes of the crowd that the gateway has not read. A
// gateway with little to do has read them.
void HostileFixture::AwaitReading() {
  constexpr auto kInterval = milliseconds(500);
  constexpr double kIdleSeconds = 0.1;  // of processor time in an interval
  const auto give_up = std::chrono::steady_clock::now() + kMaxSendTime;
  double used = 0;
  double before = 0;
  do {
    before = load::CpuSeconds(gateway_->Pid());
    const auto end = std::chrono::steady_clock::now() + kInterval;
    while (std::chrono::steady_clock::now() < end) {
      context_.restart();
      context_.run_for(milliseconds(5));
      Check();
    }
    used = load::CpuSeconds(gateway_->Pid()) - before;
  } while (used > kIdleSeconds && std::chrono::steady_clock::now() < give_up);
}

void HostileFixture::Check() {
  BOOST_REQUIRE_MESSAGE(!gateway_->ExitCode(), "the gateway has ended");
  const double used = load::ResidentBytes(gateway_->Pid()) / kMegabyte;
  peak_mb_ = std::max(peak_mb_, used);
  BOOST_REQUIRE_MESSAGE(used <= memory_mb_,
                        "the gateway uses " << used << " MiB");
  BOOST_REQUIRE_LE(OpenDescriptors(gateway_->Pid()), kMaxDescriptors);
}

int HostileFixture::Request(std::size_t bytes) {
  const std::string request =
      RequestHead(fmt::format("Content-Length: {}", bytes)) +
      std::string(bytes, 'o');
  constexpr int kTries = 40;
  int status = 0;
  for (int i = 0; i < kTries && status != kOk; ++i) {
    if (i > 0) std::this_thread::sleep_for(milliseconds(250));
    net::io_context context;
    const auto caller =
        std::make_shared<Caller>(context, Upload{.head = request});
    caller->Start(callers_);
    const auto give_up = std::chrono::steady_clock::now() + kMaxStartTime;
    while (!caller->ended &&
           caller->received.find("\r\n\r\n") == std::string::npos &&
           std::chrono::steady_clock::now() < give_up) {
      context.restart();
      context.run_for(milliseconds(5));
      Check();
    }
    constexpr std::size_t kStatusAt = 9;  // after "HTTP/1.1 "
    status = caller->received.size() < kStatusAt + 3
                 ? 0
                 : std::stoi(caller->received.substr(kStatusAt, 3));
    if (status != 0 && status != kUnavailable) break;
  }
  return status;
}

std::size_t HostileFixture::ModelRequests() const {
  return backends_->model_requests;
}

std::string HostileFixture::Statuses() const {
  std::map<std::string, int> counts;
  for (const auto& it : crowd_) {
    ++counts[it->received.substr(0, it->received.find("\r\n"))];
  }
  std::string text;
  for (const auto& [status, n] : counts) {
    text += fmt::format("{} x \"{}\", ", n, status);
  }
  return text;
}

}  // namespace shallotbeam::platform_adapter
