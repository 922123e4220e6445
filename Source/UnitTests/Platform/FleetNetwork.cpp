#include "Platform/FleetNetwork.h"

#include <fmt/format.h>

#include <boost/asio/write.hpp>
#include <cstdlib>
#include <utility>

#include "absl/strings/escaping.h"

namespace shallotbeam::platform_adapter {

namespace {

namespace net = boost::asio;
using boost::system::error_code;
using net::ip::tcp;

constexpr auto kTick = std::chrono::milliseconds(10);
constexpr int kTicksPerEntryChange = 10;

std::uint64_t NumberAfter(const std::string& target, const std::string& key) {
  const std::size_t at = target.find(key);
  if (at == std::string::npos) return 0;
  return std::strtoull(target.c_str() + at + key.size(), nullptr, 10);
}

}  // namespace

SilencingProxy::SilencingProxy(net::io_context& context, std::uint16_t target)
    : context_(context),
      acceptor_(context, {net::ip::make_address("127.0.0.1"), 0}),
      target_(net::ip::make_address("127.0.0.1"), target) {
  Accept();
}

common::Endpoint SilencingProxy::Endpoint() const {
  return {.address = "127.0.0.1", .port = acceptor_.local_endpoint().port()};
}

void SilencingProxy::SilenceOpen() {
  for (const auto& it : pairs_) it->silent = true;
}

void SilencingProxy::SilenceAll() {
  silent_ = true;
  SilenceOpen();
}

void SilencingProxy::Accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec) return;
    auto pair = std::make_shared<Pair>(
        Pair{.client = std::move(socket), .server = tcp::socket(context_)});
    pair->silent = silent_;
    pairs_.push_back(pair);
    pair->server.connect(target_, ec);
    Pump(pair, pair->client, pair->server, pair->to_server);
    Pump(pair, pair->server, pair->client, pair->to_client);
    Accept();
  });
}

void SilencingProxy::Pump(const std::shared_ptr<Pair>& pair, Socket& from,
                          Socket& to, std::array<char, 8192>& buf) {
  from.async_read_some(net::buffer(buf),
                       [pair, &from, &to, &buf](error_code ec, std::size_t n) {
                         if (pair->silent) return;
                         if (ec) {
                           to.shutdown(tcp::socket::shutdown_send, ec);
                           return;
                         }
                         net::write(to, net::buffer(buf.data(), n), ec);
                         if (!ec) Pump(pair, from, to, buf);
                       });
}

FakeStoreServer::FakeStoreServer(net::io_context& context)
    : server_(*transport::HttpServer::Listen(
          context, {.endpoint = {.address = "127.0.0.1", .port = 0}},
          [this](const std::shared_ptr<transport::HttpExchange>& it) {
            Handle(it);
          })),
      timer_(context) {
  Tick();
}

void FakeStoreServer::Publish() {
  ++version_;
  config_revision_ = ++revision_;
}

void FakeStoreServer::Tick() {
  if (++ticks_ % kTicksPerEntryChange == 0) ++revision_;
  watches_.remove_if([this](const Watch& it) { return TryRespond(it); });
  timer_.expires_after(kTick);
  timer_.async_wait([this](error_code ec) {
    if (!ec) Tick();
  });
}

void FakeStoreServer::Handle(
    const std::shared_ptr<transport::HttpExchange>& exchange) {
  const std::string target(exchange->Request().target);
  if (target.find("kv-watch") == std::string::npos) {
    exchange->Send({.status = 200,
                    .headers = {},
                    .body = fmt::format(R"({{"items":[{}],"asOf":{}}})",
                                        Items(0), revision_)});
    return;
  }
  const Watch watch{
      .exchange = exchange,
      .after = NumberAfter(target, "after="),
      .end = std::chrono::steady_clock::now() +
             std::chrono::milliseconds(NumberAfter(target, "waitMs="))};
  if (!TryRespond(watch)) watches_.push_back(watch);
}

bool FakeStoreServer::TryRespond(const Watch& watch) const {
  const bool changed = revision_ > watch.after;
  if (!changed && std::chrono::steady_clock::now() < watch.end) return false;
  watch.exchange->Send({.status = 200,
                        .headers = {},
                        .body = fmt::format(R"({{"events":[{}],"asOf":{}}})",
                                            Items(watch.after), revision_)});
  return true;
}

std::string FakeStoreServer::Items(std::uint64_t after) const {
  std::string items;
  const auto append = [&](const char* key, const std::string& value,
                          std::uint64_t revision) {
    if (revision <= after) return;
    if (!items.empty()) items += ",";
    items += fmt::format(R"({{"key":"{}","value":"{}","revision":{}}})", key,
                         absl::Base64Escape(value), revision);
  };
  append("config", std::to_string(version_), config_revision_);
  // Only the newest change of the entry is kept.
  if (config_revision_ != revision_) append("entry", "", revision_);
  return items;
}

}  // namespace shallotbeam::platform_adapter
