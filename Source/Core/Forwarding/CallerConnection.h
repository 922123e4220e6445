#ifndef SHALLOTBEAM_CORE_FORWARDING_CALLERCONNECTION_H_
#define SHALLOTBEAM_CORE_FORWARDING_CALLERCONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Catalogue/Model.h"
#include "Common/Clock.h"
#include "Forwarding/AppendingBody.h"
#include "Forwarding/Framing.h"
#include "Forwarding/HeaderCodec.h"
#include "Overload/MemoryBudget.h"

namespace shallotbeam::forwarding {

struct CallerRequest {
  std::string method;
  std::string target;
  std::string host;
  Fields fields;
  std::string body;
  common::TimePoint arrived;      // when its last byte was read
  overload::MemoryCharge memory;  // of head and body
};

class CallerConnection;

// Receives the requests of all callers. Called on the thread of the
// connections.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;
  // The handler sends one response on `connection`, by Send() or by
  // BeginStream() and the functions that follow it.
  virtual void OnRequest(const std::shared_ptr<CallerConnection>& connection,
                         CallerRequest request) = 0;
  // A request was malformed and was rejected with `status`.
  virtual void OnMalformed(int status) = 0;
  // A request of which `bytes` had arrived was refused, because the memory for
  // callers is used up.
  virtual void OnNoMemory(std::size_t /*bytes*/) {}
};

// Callbacks for a request that awaits its response.
struct CallerCallbacks {
  std::function<void()> on_disconnected;  // the connection was closed or reset
  std::function<void()> on_writable;      // all buffered output was sent
};

// One connection of a caller, with one request at a time. Not thread-safe.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  struct Options {
    const common::Clock& clock;
    CallerHandler& handler;
    const catalogue::CallerLimits& limits;
    // A connection that is older than this is closed after its next response,
    // so that callers spread again over entry hosts (hosts that run a gateway)
    // that have recovered.
    common::Duration max_age = std::chrono::seconds(5);
    // Counts what the connection holds, if set.
    std::shared_ptr<overload::MemoryBudget> memory;
    // Makes room for `bytes` more in the budget at the expense of connections
    // other than `requester`. Returns whether there is room.
    std::function<bool(const CallerConnection& requester, std::size_t bytes)>
        make_room;
  };

  CallerConnection(boost::asio::ip::tcp::socket socket, Options options);

  void Start();

  void SetCallbacks(CallerCallbacks callbacks) {
    callbacks_ = std::move(callbacks);
  }

  // Sends a complete response. `headers` are complete header lines without the
  // framing headers.
  void Send(int status, std::string_view headers, std::string_view body);
  // Sends the head of a response of unknown length. Followed by Write() and
  // Finish(), or by Abort().
  void BeginStream(int status, std::string_view headers);
  void Write(std::string_view bytes);
  void Finish();
  // Closes the connection, so that the caller can't take the response for
  // complete.
  void Abort();

  // Whether the head of the current response was sent.
  bool HeadSent() const { return head_sent_; }
  // Bytes of the response that are buffered and not sent yet.
  std::size_t Backlog() const { return output_.size(); }
  bool IsOpen() const { return state_ != State::kClosed; }
  // Whether the caller has neither closed nor reset the connection. Checks the
  // socket, because such an event may not have been read yet.
  bool IsConnected();
  // Whether the caller has sent any part of a request that is not answered yet,
  // read or not, or a response is not sent yet.
  bool HasUnansweredBytes();

  // Bytes of a request that is being received; 0 if there is none.
  std::size_t PartialBytes() const;
  common::TimePoint LastProgress() const { return last_progress_; }
  // Whether output waits for a caller that has read nothing for a while.
  bool IsOutputStalled(common::TimePoint now) const;
  // Closes the connection in the middle of a response.
  void Drop() { Close(); }
  // Refuses the request that is being received and frees what is held for it.
  void RefuseForMemory();

  // Closes the connection after the current response or, if it is idle, after
  // the next one.
  void CloseAfterNextResponse() { close_when_idle_ = true; }
  // Like CloseAfterNextResponse(), but closes an idle connection without unread
  // bytes at once.
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
  using Parser = boost::beast::http::request_parser<AppendingBody>;

  void Read();
  void OnBytes(std::size_t n);
  void ParseInput();
  void OnParsed();
  // Whether the request takes longer to arrive than a slow caller needs.
  bool IsRequestLate(common::TimePoint now) const;
  // Refuses a malformed request.
  void Reject(int status);
  // Responds to a request that was not read whole, and closes the connection.
  void Refuse(int status, std::string_view headers);
  // Counts the memory of a head that was read. Returns false if the budget does
  // not allow it.
  bool CountHead();
  // Allocates memory for the body bytes that were read. Returns false if the
  // budget does not allow it.
  bool ReserveBody();
  // Whether the request that is being received may hold `bytes` more.
  bool MayHold(std::size_t bytes);
  std::size_t MaxReadAhead() const;
  void CountBuffers();
  void FreeBuffers();
  void FreeOutput();
  // Whether the connection is closed after the current response.
  bool ClosesAfterResponse() const;
  void AppendFraming(std::string* head);
  void WriteOrBuffer(std::string_view bytes);
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
  std::string input_;           // read, not parsed yet
  MessageBytes message_bytes_;  // of the request being read
  std::size_t head_bytes_ = 0;  // memory for its head
  std::string output_;
  CallerCallbacks callbacks_;
  State state_ = State::kIdle;
  common::TimePoint opened_;
  common::TimePoint state_since_;
  common::TimePoint last_progress_;
  overload::MemoryCharge buffer_memory_;
  overload::MemoryCharge request_memory_;  // of the request being read
  bool reading_ = false;
  bool awaiting_writable_ = false;
  bool head_sent_ = false;
  // The body of the response has no length and ends with the connection.
  bool ends_with_connection_ = false;
  bool keep_alive_ = true;
  bool close_when_idle_ = false;
  bool continue_sent_ = false;
  unsigned version_ = 11;
};

}  // namespace shallotbeam::forwarding

#endif  // SHALLOTBEAM_CORE_FORWARDING_CALLERCONNECTION_H_
