#ifndef SHALLOTBEAM_UNITTESTS_CORE_FORWARDING_UPSTREAMFIXTURE_H_
#define SHALLOTBEAM_UNITTESTS_CORE_FORWARDING_UPSTREAMFIXTURE_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "Common/Clock.h"
#include "Core/Forwarding/EndlessSender.h"
#include "Forwarding/UpstreamConnection.h"

namespace shallotbeam::forwarding {

// Decodes the header "Id" alone.
inline RequestMetadata DecodeRequest(const Fields& /*fields*/) { return {}; }
inline ResponseMetadata DecodeResponse(int /*status*/, const Fields& fields) {
  return {.request_id = std::string(fields["Id"])};
}
inline bool IsForwarded(std::string_view /*name*/) { return true; }
inline void AppendNothing(const UpstreamHeaders& /*headers*/,
                          std::string* /*head*/) {}

inline constexpr HeaderCodec kCodec{.decode_request = DecodeRequest,
                                    .decode_response = DecodeResponse,
                                    .is_forwarded = IsForwarded,
                                    .append_upstream_headers = AppendNothing,
                                    .request_id_header = "Id"};

// Keeps the response to the last request.
struct RecordingListener : UpstreamListener {
  void OnUpstreamHead(UpstreamResponse response) override {
    has_head = true;
    status = response.status;
    fields = std::move(response.fields);
  }
  void OnUpstreamBody(std::string_view bytes) override {
    body.append(bytes);
    if (on_body) on_body();
  }
  void OnUpstreamEnd(ExchangeEnd exchange_end) override { end = exchange_end; }

  bool has_head = false;
  int status = 0;
  Fields fields;
  std::string body;
  std::optional<ExchangeEnd> end;
  std::function<void()> on_body;
};

// A response without the id if `id` is empty.
inline std::string Response(const std::string& id, const std::string& body) {
  const std::string id_line = id.empty() ? "" : "Id: " + id + "\r\n";
  return "HTTP/1.1 200 OK\r\n" + id_line +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A connection to an upstream whose bytes the test writes.
struct UpstreamFixture {
  boost::asio::io_context context;
  common::ManualClock clock;
  boost::asio::ip::tcp::acceptor acceptor{
      context, boost::asio::ip::tcp::endpoint(
                   boost::asio::ip::address_v4::loopback(), 0)};
  boost::asio::ip::tcp::socket peer{context};
  RecordingListener listener;
  std::shared_ptr<UpstreamConnection> connection =
      std::make_shared<UpstreamConnection>(context.get_executor(), clock,
                                           kCodec);

  UpstreamFixture() { clock.Advance(std::chrono::hours(1)); }

  void Send(const std::string& id, bool head_only = false,
            const std::string& body = "") {
    listener = {};
    connection->Exchange(
        {.address = "127.0.0.1", .port = acceptor.local_endpoint().port()},
        {.bytes = "POST / HTTP/1.1\r\nId: " + id + "\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body,
         .request_id = id,
         .head_only = head_only},
        &listener);
    if (!peer.is_open()) {
      bool accepted = false;
      acceptor.async_accept(
          peer, [&](boost::system::error_code) { accepted = true; });
      while (!accepted) context.run_one();
      peer.non_blocking(true);
    }
    Run();
  }

  void Run() {
    constexpr int kRounds = 20;
    for (int i = 0; i < kRounds; ++i) {
      context.run_one_for(std::chrono::milliseconds(2));
    }
    context.restart();
  }

  void Reply(const std::string& bytes) {
    boost::asio::write(peer, boost::asio::buffer(bytes));
    Run();
  }

  // Reads what has arrived of the request.
  void ReadAll() {
    boost::system::error_code ec;
    std::array<char, 65'536> buf{};
    while (!ec) peer.read_some(boost::asio::buffer(buf), ec);
  }

  // Closes the connection at the upstream with a reset.
  void Reset() {
    peer.set_option(boost::asio::socket_base::linger(true, 0));
    peer.close();
  }

  // Sends `bytes` until the exchange has ended. Returns the highest growth of
  // resident memory.
  std::size_t ReplyEndlessly(const std::string& bytes) {
    const EndlessResult result = SendEndlessly(
        context, peer, bytes, [this] { return listener.end.has_value(); });
    Run();
    return result.growth;
  }

  // Serves one request, so that the connection is in use again afterwards.
  void ServeFirst(const std::string& id, bool head_only = false) {
    Send(id, head_only);
    Reply(head_only
              ? "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 5\r\n\r\n"
              : Response(id, "first"));
    BOOST_REQUIRE(listener.end == ExchangeEnd::kComplete);
    BOOST_REQUIRE(connection->IsReusable(clock.Now()));
  }
};

}  // namespace shallotbeam::forwarding

#endif  // SHALLOTBEAM_UNITTESTS_CORE_FORWARDING_UPSTREAMFIXTURE_H_
