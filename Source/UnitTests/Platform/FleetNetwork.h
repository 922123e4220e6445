#ifndef SHALLOTBEAM_UNITTESTS_PLATFORM_FLEETNETWORK_H_
#define SHALLOTBEAM_UNITTESTS_PLATFORM_FLEETNETWORK_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "Common/Types.h"
#include "Transport/HttpServer.h"

namespace shallotbeam::platform_adapter {

// Forwards connections to another port. Can make them silent: nothing arrives
// any more, but no side sees the connection close.
class SilencingProxy {
 public:
  SilencingProxy(boost::asio::io_context& context, std::uint16_t target);
  SilencingProxy(const SilencingProxy&) = delete;
  SilencingProxy& operator=(const SilencingProxy&) = delete;

  common::Endpoint Endpoint() const;
  // Silences the connections that are open now.
  void SilenceOpen();
  // Silences these and all later ones.
  void SilenceAll();

 private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Pair {
    Socket client;
    Socket server;
    bool silent = false;
    std::array<char, 8192> to_server{};
    std::array<char, 8192> to_client{};
  };

  void Accept();
  static void Pump(const std::shared_ptr<Pair>& pair, Socket& from, Socket& to,
                   std::array<char, 8192>& buf);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint target_;
  std::list<std::shared_ptr<Pair>> pairs_;
  bool silent_ = false;
};

// The platform's store with one configuration, and an entry of another kind
// that changes every 100 ms.
class FakeStoreServer {
 public:
  explicit FakeStoreServer(boost::asio::io_context& context);
  FakeStoreServer(const FakeStoreServer&) = delete;
  FakeStoreServer& operator=(const FakeStoreServer&) = delete;

  std::uint16_t Port() const { return server_->Port(); }
  // Writes the next version of the configuration.
  void Publish();

 private:
  struct Watch {
    std::shared_ptr<transport::HttpExchange> exchange;
    std::uint64_t after = 0;
    std::chrono::steady_clock::time_point end;
  };

  void Handle(const std::shared_ptr<transport::HttpExchange>& exchange);
  bool TryRespond(const Watch& watch) const;
  void Tick();
  std::string Items(std::uint64_t after) const;

  std::shared_ptr<transport::HttpServer> server_;
  boost::asio::steady_timer timer_;
  std::list<Watch> watches_;
  std::uint64_t revision_ = 10;
  std::uint64_t config_revision_ = 10;
  int version_ = 1;
  int ticks_ = 0;
};

}  // namespace shallotbeam::platform_adapter

#endif  // SHALLOTBEAM_UNITTESTS_PLATFORM_FLEETNETWORK_H_
