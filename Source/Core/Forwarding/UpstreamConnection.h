#ifndef SHALLOTBEAM_CORE_FORWARDING_UPSTREAMCONNECTION_H_
#define SHALLOTBEAM_CORE_FORWARDING_UPSTREAMCONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Common/Clock.h"
#include "Common/Types.h"
#include "Forwarding/AppendingBody.h"
#include "Forwarding/Framing.h"
#include "Forwarding/HeaderCodec.h"

namespace shallotbeam::forwarding {

struct UpstreamResponse {
  int status = 0;
  Fields fields;
  ResponseMetadata metadata;
  // The body has no stated length and ends with the connection.
  bool ends_with_connection = false;
};

enum class ExchangeEnd : std::uint8_t {
  kComplete,      // the whole response arrived
  kNotConnected,  // no byte of the request was sent
  kBroken,        // the connection broke or the response is not valid HTTP
};

// Receives the response to one request. Called on the thread of the connection;
// OnUpstreamEnd() is the last call.
class UpstreamListener {
 public:
  virtual ~UpstreamListener() = default;
  virtual void OnUpstreamHead(UpstreamResponse response) = 0;
  virtual void OnUpstreamBody(std::string_view bytes) = 0;
  virtual void OnUpstreamEnd(ExchangeEnd end) = 0;
};

struct UpstreamRequest {
  std::string bytes;  // head, and the body unless it is in `body`
  // Sent after `bytes`; must live as long as the listener.
  std::string_view body;
  // Responses with another id are skipped. Only the first response on a
  // connection may lack the id.
  std::string request_id;
  bool head_only = false;  // HEAD: the response has no body

  std::size_t Size() const { return bytes.size() + body.size(); }
};

// One connection to an upstream, with one request at a time. Not thread-safe.
class UpstreamConnection
    : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  UpstreamConnection(const boost::asio::any_io_executor& executor,
                     const common::Clock& clock,
                     const HeaderCodec& header_codec);

  // Connects if necessary and sends `request`. `listener` must live until
  // OnUpstreamEnd() or Close().
  void Exchange(const common::Endpoint& endpoint, UpstreamRequest request,
                UpstreamListener* listener);

  // Stops reading from the upstream while the caller reads too slowly.
  void Pause() { paused_ = true; }
  void Resume();

  // Closes the connection without another call to the listener.
  void Close();

  // Whether the connection can be used for another request.
  bool IsReusable(common::TimePoint now) const;
  bool IsOpen() const { return !closed_; }
  bool WasConnected() const { return connected_; }

 private:
  using Parser = boost::beast::http::response_parser<AppendingBody>;

  void Connect(const common::Endpoint& endpoint);
  void SendRequest();
  void Read();
  void OnBytes(std::size_t n);
  void Parse();
  bool OnHead();
  // Whether the response that begins is not the one to the current request.
  // Returns nothing if that can't be known, or if it is not a response.
  std::optional<bool> IsSkipped(const UpstreamResponse& response) const;
  void DeliverBody();
  bool ExceedsLimits() const;
  void OnMessageDone();
  void OnEof();
  // Ends the exchange whose body has ended with the connection.
  void EndAtEof();
  void End(ExchangeEnd end);

  static constexpr std::size_t kReadBytes = 16'384;

  boost::asio::ip::tcp::socket socket_;
  const common::Clock& clock_;
  const HeaderCodec& header_codec_;
  UpstreamRequest request_;
  std::size_t sent_ = 0;  // bytes of the request sent so far
  UpstreamListener* listener_ = nullptr;
  std::optional<Parser> parser_;
  std::array<char, kReadBytes> read_buffer_;
  std::string input_;
  MessageBytes message_bytes_;  // of the response being read
  // The response being read is interim or belongs to another request.
  bool skipping_ = false;
  std::size_t skipped_bytes_ = 0;  // during the current exchange
  bool reused_ = false;            // has served an earlier request
  bool served_head_only_ = false;  // has served a HEAD request
  bool keep_alive_ = true;
  bool connected_ = false;
  bool closed_ = false;
  bool paused_ = false;
  bool reading_ = false;
  bool eof_ = false;  // the upstream has ended its side of the connection
  common::TimePoint idle_since_;
  common::Duration idle_limit_;
};

}  // namespace shallotbeam::forwarding

#endif  // SHALLOTBEAM_CORE_FORWARDING_UPSTREAMCONNECTION_H_
