#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <thread>
#include <vector>

#include "Transport/Mailbox.h"

namespace shallotbeam::transport {

namespace {

// First loopback port of these tests. Other tests don't use ports from 28400
// up.
constexpr std::uint16_t kFirstPort = 28'400;

class Inbox {
 public:
  Mailbox::Receiver Receiver() {
    return [this](std::string bytes) {
      const std::lock_guard<std::mutex> lock(mutex_);
      messages_.push_back(std::move(bytes));
      changed_.notify_all();
    };
  }

  std::vector<std::string> Await(std::size_t count) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock, std::chrono::seconds(5),
                      [&] { return messages_.size() >= count; });
    return messages_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> messages_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(MailboxTest)

// Guards against messages that are lost or reordered between live peers.
BOOST_AUTO_TEST_CASE(MessagesArriveInOrder) {
  Inbox inbox;
  const common::Endpoint address{.address = "127.0.0.1", .port = kFirstPort};
  const auto receiver = Mailbox::Open(address, inbox.Receiver());
  BOOST_REQUIRE(receiver.ok());
  const auto sender =
      Mailbox::Open({.address = "127.0.0.1", .port = kFirstPort + 1},
                    [](const std::string&) {});
  BOOST_REQUIRE(sender.ok());
  std::vector<std::string> sent;
  for (int i = 0; i < 20; ++i) {
    sent.push_back(std::to_string(i));
    (*sender)->Send(address, sent.back());
  }
  const auto received = inbox.Await(sent.size());
  BOOST_CHECK_EQUAL_COLLECTIONS(received.begin(), received.end(), sent.begin(),
                                sent.end());
  BOOST_CHECK_EQUAL((*sender)->Count().messages_sent, sent.size());
}

// Guards against a sender that blocks, or that buffers messages without a
// limit, because its peer is not running.
BOOST_AUTO_TEST_CASE(MessagesToAnAbsentPeerAreDropped) {
  const auto sender =
      Mailbox::Open({.address = "127.0.0.1", .port = kFirstPort + 2},
                    [](const std::string&) {});
  BOOST_REQUIRE(sender.ok());
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < 1000; ++i) {
    (*sender)->Send({.address = "127.0.0.1", .port = kFirstPort + 3},
                    std::string(1000, 'x'));
  }
  const auto elapsed = std::chrono::steady_clock::now() - start;
  BOOST_CHECK(elapsed < std::chrono::seconds(2));
  BOOST_CHECK((*sender)->Count().messages_dropped > 800);
}

// Guards against two processes that listen on the same control address.
BOOST_AUTO_TEST_CASE(AddressInUseIsReported) {
  const common::Endpoint address{.address = "127.0.0.1",
                                 .port = kFirstPort + 4};
  const auto first = Mailbox::Open(address, [](const std::string&) {});
  BOOST_REQUIRE(first.ok());
  const auto second = Mailbox::Open(address, [](const std::string&) {});
  BOOST_CHECK(absl::IsUnavailable(second.status()));
}

// Guards against a process that does not exit. Mailboxes are closed while their
// peers still send messages, some to peers that have stopped; libnng then
// sometimes waits forever in closing a socket. Seen in 3 of 52 soak seeds and
// in 2 of 41 runs of 3-graceful-shutdown.scenario.
BOOST_AUTO_TEST_CASE(MailboxesCloseUnderTraffic) {
  constexpr int kPeers = 4;
  constexpr int kRounds = 6;
  constexpr auto kLimit = std::chrono::seconds(3);
  const auto address = [](int i) {
    return common::Endpoint{
        .address = "127.0.0.1",
        .port = static_cast<std::uint16_t>(kFirstPort + 40 + i)};
  };
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::unique_ptr<Mailbox>> peers;
    peers.reserve(kPeers);
    for (int i = 0; i < kPeers; ++i) {
      auto peer = Mailbox::Open(address(i), [](const std::string&) {});
      BOOST_REQUIRE(peer.ok());
      peers.push_back(*std::move(peer));
    }
    std::atomic<bool> stopped = false;
    std::vector<std::thread> senders;
    senders.reserve(kPeers - 1);
    for (int i = 1; i < kPeers; ++i) {
      senders.emplace_back([&, i] {
        // One of the addresses has no listener.
        for (int to = 0; !stopped; to = (to + 1) % (kPeers + 1)) {
          peers[i]->Send(address(to), std::string(200, 'x'));
          std::this_thread::sleep_for(std::chrono::microseconds(50));
        }
      });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    const auto start = std::chrono::steady_clock::now();
    peers[0].reset();
    stopped = true;
    for (std::thread& it : senders) it.join();
    peers.clear();
    const auto closing_time = std::chrono::steady_clock::now() - start;
    BOOST_TEST_MESSAGE("closed in " << closing_time.count() / 1000000 << " ms");
    BOOST_CHECK(closing_time < kLimit);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::transport
