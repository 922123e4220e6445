#ifndef SHALLOTBEAM_CORE_FORWARDING_CALLERCONNECTION_H_
#define SHALLOTBEAM_CORE_FORWARDING_CALLERCONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Catalogue/Model.h"
#include "Common/Clock.h"
#include "Forwarding/Dialect.h"

namespace shallotbeam::forwarding {

struct CallerRequest {
  std::string method;
  std::string target;
  std::string host;
  Fields fields;
  std::string body;
  common::TimePoint arrived;  // when its last byte was read
};

class CallerConnection;

// Receives the requests of all callers. Calls come on the thread of the
// connections.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;
  // `connection` takes one response, by Send() or by BeginStream() and so on.
  virtual void OnRequest(const std::shared_ptr<CallerConnection>& connection,
                         CallerRequest request) = 0;
  // A request could not be read; it was answered with `status`.
  virtual void OnMalformed(int status) = 0;
};

// Ways in which the caller of an unanswered request is heard of again.
struct CallerEvents {
  std::function<void()> on_gone;      // the connection was closed or reset
  std::function<void()> on_writable;  // buffered output has left
};

// One connection of a caller, with one request at a time. Not thread-safe.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  struct Options {
    const common::Clock& clock;
    CallerHandler& handler;
    const catalogue::CallerLimits& limits;
    // A connection ends after the response that it is due for after this time,
    // so that callers spread again over entry hosts that came back.
    common::Duration max_age = std::chrono::seconds(5);
  };

  CallerConnection(boost::asio::ip::tcp::socket socket, Options options);

  void Start();

  void Listen(CallerEvents events) { events_ = std::move(events); }

  // A whole response. `headers` are complete lines without those for framing.
  void Send(int status, std::string_view headers, std::string_view body);
  // The head of a response whose length is not known. Followed by Write() and
  // Finish(), or by Abort().
  void BeginStream(int status, std::string_view headers);
  void Write(std::string_view bytes);
  void Finish();
  // Breaks the connection off, so that the response can't look complete.
  void Abort();

  // Whether the current request has had the head of its response.
  bool HeadSent() const { return head_sent_; }
  // Bytes of the response that the caller has not taken yet.
  std::size_t Backlog() const { return output_.size(); }
  bool IsOpen() const { return state_ != State::kClosed; }
  // Whether the caller has neither closed nor reset the connection, including
  // what the process has not come to read yet.
  bool IsConnected();

  // Closes after the current response, or after the first one to come.
  void CloseAfterNext() { close_when_idle_ = true; }
  // As CloseAfterNext(), but closes an idle connection on which no request has
  // arrived, read or not.
  void CloseWhenIdle();
  void CloseIfIdleFor(common::TimePoint now, common::Duration time);
  // Applies timeouts; called a few times a second.
  void CheckTimeouts(common::TimePoint now);

 private:
  enum class State : std::uint8_t {
    kIdle,       // between requests
    kReading,    // part of a request was read
    kServing,    // a request awaits its response
    kLingering,  // the response has been sent; waits for the caller to close
    kClosed,
  };
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Read();
  void OnBytes(std::size_t n);
  void ParseInput();
  void OnParsed();
  void Refuse(int status);
  // Whether the connection ends after the current response.
  bool ClosesAfterResponse() const;
  void AppendFraming(std::string* head);
  void Emit(std::string_view bytes);
  void AwaitWritable();
  void Flush();
  void EndResponse();
  void Linger();
  void CloseIfUnused();
  void Close();

  static constexpr std::size_t kReadBytes = 8'192;

  boost::asio::ip::tcp::socket socket_;
  Options options_;
  std::optional<Parser> parser_;
  std::array<char, kReadBytes> read_buffer_;
  std::string input_;  // read, not parsed yet
  std::string output_;
  CallerEvents events_;
  State state_ = State::kIdle;
  common::TimePoint opened_;
  common::TimePoint state_since_;
  common::TimePoint last_read_;
  bool reading_ = false;
  bool awaiting_writable_ = false;
  bool head_sent_ = false;
  bool chunked_ = false;
  bool keep_alive_ = true;
  bool close_when_idle_ = false;
  bool continue_sent_ = false;
  unsigned version_ = 11;
};

}  // namespace shallotbeam::forwarding

#endif  // SHALLOTBEAM_CORE_FORWARDING_CALLERCONNECTION_H_
