#include "Core/Gateway/GatewayFixture.h"

#include <fmt/format.h>

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <chrono>
#include <optional>
#include <sstream>
#include <thread>
#include <utility>

#include "Forwarding/Framing.h"

namespace shallotbeam::gateway {

namespace {

namespace net = boost::asio;
using boost::system::error_code;
using forwarding::Fields;
using net::ip::tcp;

constexpr std::string_view kLocal = "127.0.0.1";
constexpr auto kConditionTimeout = std::chrono::seconds(10);

std::string Get(const Fields& fields, const char* name) {
  const auto it = fields.find(name);
  return it == fields.end() ? std::string() : std::string(it->value());
}

// Ids of parts, separated by blanks.
std::optional<common::Prompt> DecodePrompt(const std::string& text) {
  if (text.empty()) return std::nullopt;
  common::Prompt prompt{.model = "m"};
  std::istringstream in(text);
  for (std::uint64_t id = 0; in >> id;) {
    prompt.parts.push_back({.id = id, .tokens = 10});
    prompt.prompt_tokens += 10;
  }
  return prompt;
}

forwarding::RequestMetadata DecodeRequest(const Fields& fields) {
  forwarding::RequestMetadata metadata{
      .request_id = Get(fields, "Id"),
      .credential = Get(fields, "Credential"),
      .last_event_id = Get(fields, "After-Event")};
  const std::string left = Get(fields, "Time-Left");
  if (!left.empty()) {
    metadata.deadline = std::chrono::milliseconds(std::stoi(left));
  }
  metadata.prompt = DecodePrompt(Get(fields, "Parts"));
  return metadata;
}

forwarding::UpstreamStatements DecodeStatements(const Fields& fields) {
  forwarding::UpstreamStatements stated{.leaving =
                                            !Get(fields, "Leaving").empty()};
  const std::string limit = Get(fields, "Limit");
  if (!limit.empty()) stated.rate_limit = std::stod(limit);
  const std::string pause = Get(fields, "Pause-Ms");
  if (!pause.empty()) {
    stated.retry_after = std::chrono::milliseconds(std::stoi(pause));
  }
  return stated;
}

forwarding::ResponseMetadata DecodeResponse(int status, const Fields& fields) {
  return {.request_id = Get(fields, "Id"),
          .not_run = !Get(fields, "Not-Run").empty(),
          .other_incarnation = status == 421,
          .has_digest = !Get(fields, "Seal").empty(),
          .stated = DecodeStatements(fields)};
}

bool IsForwarded(std::string_view name) {
  return name != "Time-Left" && name != "Credential" && name != "Workspace" &&
         name != "After-Event";
}

void AppendUpstreamHeaders(const forwarding::UpstreamHeaders& headers,
                           std::string* head) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(headers.time_left);
  forwarding::AppendHeader("Time-Left", std::to_string(left.count()), head);
  forwarding::AppendHeader("Expected", headers.upstream_id, head);
  forwarding::AppendHeader("Workspace", headers.workspace, head);
  forwarding::AppendHeader("After-Event", headers.last_event_id, head);
}

constexpr forwarding::HeaderCodec kTestHeaderCodec = {
    .decode_request = DecodeRequest,
    .decode_response = DecodeResponse,
    .is_forwarded = IsForwarded,
    .append_upstream_headers = AppendUpstreamHeaders,
    .request_id_header = "Id"};

GatewaySettings TestSettings(std::vector<common::Endpoint> relays,
                             const std::string& credentials) {
  GatewaySettings settings;
  settings.credentials = credentials;
  settings.relays = std::move(relays);
  settings.callers = {.address = std::string(kLocal), .port = 0};
  return settings;
}

catalogue::Route TestRoute(const std::string& prefix) {
  return {.name = prefix,
          .host = "service",
          .path_prefix = prefix,
          .weighted_pools = {{.pool = common::PoolName("plain")}},
          .requires_credential = false,
          .timeout = std::chrono::seconds(5)};
}

// Reads from one connection until it closes.
struct Reader : std::enable_shared_from_this<Reader> {
  explicit Reader(tcp::socket s) : socket(std::move(s)) {}

  void Read(std::function<void(std::string_view)> on_bytes,
            std::function<void(error_code)> on_end) {
    socket.async_read_some(
        net::buffer(buffer),
        [self = shared_from_this(), on_bytes = std::move(on_bytes),
         on_end = std::move(on_end)](error_code ec, std::size_t n) {
          if (ec) return on_end(ec);
          on_bytes({self->buffer.data(), n});
          self->Read(on_bytes, on_end);
        });
  }

  tcp::socket socket;
  std::array<char, 4096> buffer{};
  std::string input;
};

// Length of the first request in `text`; 0 if it is not complete.
std::size_t CompleteRequestLength(const std::string& text) {
  const std::size_t end = text.find("\r\n\r\n");
  if (end == std::string::npos) return 0;
  const std::size_t length = text.find("Content-Length: ");
  std::size_t body = 0;
  if (length != std::string::npos && length < end) {
    body = std::stoul(text.substr(length + 16));
  }
  return text.size() < end + 4 + body ? 0 : end + 4 + body;
}

}  // namespace

void FakeItemStore::List(
    const std::string& /*prefix*/, const std::string& /*after*/,
    std::function<void(platform_clients::ListResult)> done) {
  list_ = std::move(done);
}

void FakeItemStore::AwaitChanges(
    const std::string& /*prefix*/, common::StorePosition /*position*/,
    std::chrono::milliseconds /*wait*/,
    std::function<void(platform_clients::ChangesResult)> done) {
  poll_ = std::move(done);
}

void FakeItemStore::CompleteList(platform_clients::ListResult result) {
  BOOST_REQUIRE(list_ != nullptr);
  std::exchange(list_, nullptr)(std::move(result));
}

void FakeItemStore::CompletePoll(platform_clients::ChangesResult result) {
  BOOST_REQUIRE(poll_ != nullptr);
  std::exchange(poll_, nullptr)(std::move(result));
}

FakeUpstream::FakeUpstream(net::io_context& context, Behaviour behaviour)
    : acceptor_(context,
                tcp::endpoint(net::ip::make_address(std::string(kLocal)), 0)),
      behaviour_(std::move(behaviour)),
      requests_(std::make_shared<std::vector<std::string>>()),
      open_(std::make_shared<int>(0)) {
  Accept();
}

common::Endpoint FakeUpstream::Endpoint() const {
  return {.address = std::string(kLocal),
          .port = acceptor_.local_endpoint().port()};
}

void FakeUpstream::Accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec) return;
    const auto reader = std::make_shared<Reader>(std::move(socket));
    ++*open_;
    reader->Read(
        [reader, behaviour = behaviour_,
         requests = requests_](std::string_view bytes) {
          reader->input.append(bytes);
          const std::size_t n = CompleteRequestLength(reader->input);
          if (n == 0) return;
          const std::string request = reader->input.substr(0, n);
          reader->input.erase(0, n);
          requests->push_back(request);
          const Reaction reaction = behaviour(request);
          error_code ignored;
          net::write(reader->socket, net::buffer(reaction.bytes), ignored);
          if (reaction.close) reader->socket.close(ignored);
        },
        [open = open_](error_code) { --*open; });
    Accept();
  });
}

std::string ResponseWithDigest(const std::string& request,
                               const std::string& body, int status,
                               const std::string& extra_headers) {
  const std::size_t at = request.find("\r\nId: ") + 6;
  const std::string id = request.substr(at, request.find("\r\n", at) - at);
  return fmt::format(
      "HTTP/1.1 {} x\r\nId: {}\r\nSeal: s\r\n{}Content-Length: {}\r\n\r\n{}",
      status, id, extra_headers, body.size(), body);
}

FakeUpstream::Reaction RespondDone(const std::string& request) {
  return {.bytes = ResponseWithDigest(request, "done")};
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

Caller::Caller(net::io_context& context, std::uint16_t port)
    : socket_(context),
      received_(std::make_shared<std::string>()),
      end_(std::make_shared<error_code>()) {
  socket_.connect({net::ip::make_address(std::string(kLocal)), port});
  const auto reader = std::make_shared<Reader>(tcp::socket(context));
  // The reader uses a duplicate of the descriptor.
  reader->socket.assign(tcp::v4(), dup(socket_.native_handle()));
  reader->Read([received = received_](
                   std::string_view bytes) { received->append(bytes); },
               [end = end_](error_code ec) { *end = ec; });
}

void Caller::Send(const std::string& bytes) {
  net::write(socket_, net::buffer(bytes));
}

void Caller::Close() {
  error_code ec;
  socket_.shutdown(tcp::socket::shutdown_both, ec);
  socket_.close(ec);
}

GatewayFixture::GatewayFixture(bool with_workspaces,
                               std::vector<common::Endpoint> relays,
                               const std::string& credentials) {
  catalogue::Route order = TestRoute("/order/");
  catalogue::Route lookup = TestRoute("/look/");
  lookup.repetition = catalogue::Repetition::kRepeatable;
  lookup.attempts = 2;
  catalogue::Route stream = TestRoute("/talk/");
  stream.streamed = true;
  catalogue::Route resumable_stream = TestRoute("/told/");
  resumable_stream.streamed = true;
  resumable_stream.resumable = true;
  resumable_stream.repetition = catalogue::Repetition::kRepeatable;
  resumable_stream.attempts = 2;
  catalogue.version = static_cast<common::ConfigVersion>(1);
  catalogue.routes = {order, lookup, stream, resumable_stream};
  if (with_workspaces) {
    for (auto& it : catalogue.routes) it.requires_credential = true;
    catalogue.workspaces = {{.name = common::WorkspaceName("yard")}};
    catalogue.credentials = {{"secret", 0}};
  }
  gateway = std::make_unique<Gateway>(
      TestSettings(std::move(relays), credentials),
      static_cast<common::Incarnation>(1),
      GatewayEnvironment{
          .context = context,
          .clock = clock,
          .store = store,
          .header_codec = kTestHeaderCodec,
          .decode =
              [this](const platform_clients::ItemChange& change) {
                return Decode(change);
              },
          .send =
              [this](const common::Endpoint&, std::string_view bytes) {
                sent_messages.emplace_back(bytes);
              }});
  BOOST_REQUIRE(gateway->Listen().ok());
  gateway->OnTick();
  pending_.push_back({.catalogue = catalogue});
  store.CompleteList({.status = absl::OkStatus(),
                      .items = {{.key = "0", .position = {.revision = 1}}},
                      .as_of = {.revision = 1}});
}

std::optional<FleetChange> GatewayFixture::Decode(
    const platform_clients::ItemChange& change) const {
  const FleetChange& decoded = pending_.at(std::stoul(change.item.key));
  if (!change.removed) return decoded;
  if (decoded.catalogue) return std::nullopt;
  if (decoded.evacuation) {
    return FleetChange{.evacuation = EvacuationChange{
                           .data_centre = decoded.evacuation->data_centre}};
  }
  return FleetChange{.upstream = decoded.upstream};
}

void GatewayFixture::AwaitPoll() {
  gateway->OnTick();
  // The gateway polls again only after a pause that follows a change.
  constexpr int kTicksBetweenPolls = 50;
  for (int i = 0; i < kTicksBetweenPolls && !store.IsPolling(); ++i) {
    clock.Advance(kTickInterval);
    gateway->OnTick();
  }
}

void GatewayFixture::Change(FleetChange change) {
  if (change.entry) change.entry->position = {era_, revision_ + 1};
  pending_.push_back(std::move(change));
  ++revision_;
  AwaitPoll();
  platform_clients::ChangesResult result{.status = absl::OkStatus(),
                                         .as_of = Position()};
  if (with_unreadable_items) {
    result.changes.push_back({.item = {.key = "x", .position = Position()}});
  }
  result.changes.push_back({.item = {.key = std::to_string(pending_.size() - 1),
                                     .position = Position()}});
  store.CompletePoll(std::move(result));
}

void GatewayFixture::RestoreStore(const std::vector<std::size_t>& changes) {
  ++era_;
  revision_ = 1;
  AwaitPoll();
  store.CompletePoll({.status = absl::OkStatus(), .as_of = Position()});
  platform_clients::ListResult list{.status = absl::OkStatus(),
                                    .as_of = Position()};
  for (const std::size_t it : changes) {
    if (pending_.at(it).entry) pending_.at(it).entry->position = Position();
    list.items.push_back({.key = std::to_string(it), .position = Position()});
  }
  store.CompleteList(std::move(list));
}

void GatewayFixture::AddUpstream(const std::string& name,
                                 const common::Endpoint& endpoint,
                                 bool draining) {
  PutUpstream(name, {.pool = common::PoolName("plain"),
                     .endpoint = endpoint,
                     .data_centre = common::DataCentreName("a"),
                     .draining = draining,
                     .started = 1});
}

void GatewayFixture::PutUpstream(const std::string& name,
                                 balancing::UpstreamEntry entry) {
  Change({.upstream = common::UpstreamName(name), .entry = std::move(entry)});
}

void GatewayFixture::SetEvacuated(const std::string& data_centre,
                                  bool requested) {
  Change({.evacuation = EvacuationChange{
              .data_centre = common::DataCentreName(data_centre),
              .requested = requested}});
}

void GatewayFixture::RemoveUpstream(const std::string& name) {
  Change({.upstream = common::UpstreamName(name)});
}

void GatewayFixture::PutCatalogue(const catalogue::Catalogue& it) {
  Change({.catalogue = it});
}

void GatewayFixture::PutUnreadableConfiguration() {
  Change({.configuration_unreadable = true});
}

std::string GatewayFixture::Exchange(const std::string& path) {
  Caller caller(context, gateway->CallersPort());
  caller.Send(Request(path));
  RunUntil([&] { return !caller.Received().empty(); });
  return caller.Received();
}

void GatewayFixture::RunUntil(const std::function<bool()>& condition) {
  const auto give_up = std::chrono::steady_clock::now() + kConditionTimeout;
  while (!condition()) {
    context.restart();
    context.poll();
    if (std::chrono::steady_clock::now() > give_up) {
      BOOST_FAIL("condition was not met in time");
    }
    std::this_thread::sleep_for(std::chrono::microseconds(200));
  }
}

void GatewayFixture::RunPending() {
  constexpr int kRounds = 25;
  for (int i = 0; i < kRounds; ++i) {
    context.restart();
    context.poll();
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void GatewayFixture::Advance(common::Duration step) {
  clock.Advance(step);
  gateway->OnTick();
  RunPending();
}

void GatewayFixture::PassRecoveryOfStore() {
  constexpr int kTicks = 120;
  for (int i = 0; i < kTicks; ++i) {
    clock.Advance(kTickInterval);
    gateway->OnTick();
  }
}

std::string GatewayFixture::Request(const std::string& path,
                                    const std::string& extra_headers) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: service\r\nId: r1\r\n{}Content-Length: "
      "2\r\n\r\nhi",
      path, extra_headers);
}

FaultyFirstFixture::FaultyFirstFixture(FakeUpstream::Reaction first_reaction)
    : first_reaction(std::move(first_reaction)) {
  fleet.AddUpstream("u1", u1.Endpoint());
  fleet.AddUpstream("u2", u2.Endpoint());
}

FakeUpstream::Reaction FaultyFirstFixture::React(const std::string& request) {
  return ++requests == 1 ? first_reaction : RespondDone(request);
}

}  // namespace shallotbeam::gateway
