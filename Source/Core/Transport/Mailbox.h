#ifndef SHALLOTBEAM_CORE_TRANSPORT_MAILBOX_H_
#define SHALLOTBEAM_CORE_TRANSPORT_MAILBOX_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "Common/Types.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace shallotbeam::transport {

struct TrafficCount {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_received = 0;
  // The send buffer of the peer was full, or sending failed.
  std::uint64_t messages_dropped = 0;
};

// Sends and receives control messages over nng: one pull socket for this
// process and one push socket per peer. Messages are delivered at most once and
// in order per peer. Messages to a peer that doesn't keep up are dropped.
class Mailbox {
 public:
  using Receiver = std::function<void(std::string bytes)>;

  // Listens on `endpoint` and calls `receiver` on a thread of the mailbox.
  // Returns kUnavailable if the address can't be bound.
  static absl::StatusOr<std::unique_ptr<Mailbox>> Open(
      const common::Endpoint& endpoint, Receiver receiver);
  ~Mailbox();

  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  // Never blocks. Thread-safe.
  void Send(const common::Endpoint& peer, std::string_view bytes);

  // Closes push sockets that have not been used since the previous call.
  void CloseIdlePeers();

  TrafficCount Count() const;

 private:
  class Closer;
  struct Outbox;

  Mailbox(std::uint32_t inbox, Receiver receiver);
  void ReceiveLoop();
  Outbox* OutboxOf(const common::Endpoint& peer);

  std::uint32_t inbox_;  // nng socket id
  Receiver receiver_;
  std::atomic<bool> stopping_ = false;
  std::shared_ptr<Closer> closer_;
  std::mutex mutex_;  // guards outboxes_
  std::map<common::Endpoint, std::unique_ptr<Outbox>> outboxes_;
  std::atomic<std::uint64_t> messages_sent_ = 0;
  std::atomic<std::uint64_t> bytes_sent_ = 0;
  std::atomic<std::uint64_t> messages_received_ = 0;
  std::atomic<std::uint64_t> bytes_received_ = 0;
  std::atomic<std::uint64_t> messages_dropped_ = 0;
  std::thread thread_;
};

}  // namespace shallotbeam::transport

#endif  // SHALLOTBEAM_CORE_TRANSPORT_MAILBOX_H_
