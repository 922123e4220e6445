#include "Transport/Mailbox.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <chrono>
#include <condition_variable>
#include <utility>

#include "Common/Logging.h"
#include "absl/strings/str_cat.h"

namespace shallotbeam::transport {

namespace {

// Messages buffered for a peer that is slow or not connected.
constexpr int kSendBufferMessages = 64;
constexpr nng_duration kReceiveTimeoutMs = 100;
constexpr nng_duration kReconnectMinMs = 50;
constexpr nng_duration kReconnectMaxMs = 1000;
// Longest wait for sockets to close, which takes some milliseconds. Sockets
// that take longer are closed when the process exits.
constexpr std::chrono::milliseconds kCloseLimit{500};

std::string UrlOf(const common::Endpoint& endpoint) {
  return absl::StrCat("tcp://", endpoint.address, ":", endpoint.port);
}

}  // namespace

// Closes sockets on separate threads, because nng_close() can block forever:
// libnng (1.5.2) waits without a limit until the pipes of a socket have ended,
// and sometimes they never do.
class Mailbox::Closer : public std::enable_shared_from_this<Closer> {
 public:
  void Close(nng_socket socket) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++open_;
    }
    std::thread([self = shared_from_this(), socket] {
      nng_close(socket);
      const std::lock_guard<std::mutex> lock(self->mutex_);
      --self->open_;
      self->changed_.notify_all();
    }).detach();
  }

  // Waits at most `limit` until all sockets are closed. Returns the number of
  // sockets that are still open.
  int Await(std::chrono::milliseconds limit) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock, limit, [this] { return open_ == 0; });
    return open_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  int open_ = 0;
};

struct Mailbox::Outbox {
  std::shared_ptr<Closer> closer;
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  bool used = true;  // since the last CloseIdlePeers()

  explicit Outbox(std::shared_ptr<Closer> closer) : closer(std::move(closer)) {}
  ~Outbox() { closer->Close(socket); }
  Outbox(const Outbox&) = delete;
  Outbox& operator=(const Outbox&) = delete;
};

absl::StatusOr<std::unique_ptr<Mailbox>> Mailbox::Open(
    const common::Endpoint& endpoint, Receiver receiver) {
  nng_socket inbox = NNG_SOCKET_INITIALIZER;
  int ec = nng_pull0_open(&inbox);
  if (ec == 0) {
    ec = nng_socket_set_ms(inbox, NNG_OPT_RECVTIMEO, kReceiveTimeoutMs);
  }
  if (ec == 0) ec = nng_listen(inbox, UrlOf(endpoint).c_str(), nullptr, 0);
  if (ec != 0) {
    nng_close(inbox);
    return absl::UnavailableError(absl::StrCat("control address ",
                                               common::ToString(endpoint), ": ",
                                               nng_strerror(ec)));
  }
  return std::unique_ptr<Mailbox>(new Mailbox(inbox.id, std::move(receiver)));
}

Mailbox::Mailbox(std::uint32_t inbox, Receiver receiver)
    : inbox_(inbox),
      receiver_(std::move(receiver)),
      closer_(std::make_shared<Closer>()) {
  thread_ = std::thread([this] { ReceiveLoop(); });
}

Mailbox::~Mailbox() {
  stopping_ = true;
  thread_.join();
  closer_->Close(nng_socket{inbox_});
  outboxes_.clear();
  const int open = closer_->Await(kCloseLimit);
  if (open == 0) return;
  common::Log(common::Subsystem::kTransport, common::LogLevel::kWarning,
              "event=close_timed_out sockets={} limit_ms={}", open,
              kCloseLimit.count());
}

void Mailbox::ReceiveLoop() {
  while (!stopping_) {
    nng_msg* message = nullptr;
    if (nng_recvmsg(nng_socket{inbox_}, &message, 0) != 0) continue;
    std::string bytes(static_cast<const char*>(nng_msg_body(message)),
                      nng_msg_len(message));
    nng_msg_free(message);
    ++messages_received_;
    bytes_received_ += bytes.size();
    receiver_(std::move(bytes));
  }
}

Mailbox::Outbox* Mailbox::OutboxOf(const common::Endpoint& peer) {
  const auto it = outboxes_.find(peer);
  if (it != outboxes_.end()) return it->second.get();
  auto outbox = std::make_unique<Outbox>(closer_);
  int ec = nng_push0_open(&outbox->socket);
  if (ec == 0) {
    nng_socket_set_int(outbox->socket, NNG_OPT_SENDBUF, kSendBufferMessages);
    nng_socket_set_ms(outbox->socket, NNG_OPT_RECONNMINT, kReconnectMinMs);
    nng_socket_set_ms(outbox->socket, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
    ec = nng_dial(outbox->socket, UrlOf(peer).c_str(), nullptr,
                  NNG_FLAG_NONBLOCK);
  }
  if (ec != 0) {
    common::Log(common::Subsystem::kTransport, common::LogLevel::kWarning,
                "event=dial_failed peer={} error=\"{}\"",
                common::ToString(peer), nng_strerror(ec));
    return nullptr;
  }
  return outboxes_.emplace(peer, std::move(outbox)).first->second.get();
}

void Mailbox::Send(const common::Endpoint& peer, std::string_view bytes) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Outbox* outbox = OutboxOf(peer);
  if (outbox == nullptr) {
    ++messages_dropped_;
    return;
  }
  outbox->used = true;
  // nng_send() only copies the bytes, so that the const_cast is safe.
  const int ec = nng_send(outbox->socket, const_cast<char*>(bytes.data()),
                          bytes.size(), NNG_FLAG_NONBLOCK);
  if (ec != 0) {
    ++messages_dropped_;
    return;
  }
  ++messages_sent_;
  bytes_sent_ += bytes.size();
}

void Mailbox::CloseIdlePeers() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::erase_if(outboxes_, [](auto& it) {
    return !std::exchange(it.second->used, false);
  });
}

TrafficCount Mailbox::Count() const {
  return {.messages_sent = messages_sent_,
          .bytes_sent = bytes_sent_,
          .messages_received = messages_received_,
          .bytes_received = bytes_received_,
          .messages_dropped = messages_dropped_};
}

}  // namespace shallotbeam::transport
