#ifndef SHALLOTBEAM_UNITTESTS_CORE_GATEWAY_GATEWAYFIXTURE_H_
#define SHALLOTBEAM_UNITTESTS_CORE_GATEWAY_GATEWAYFIXTURE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Catalogue/Model.h"
#include "Common/Clock.h"
#include "Gateway/Gateway.h"
#include "PlatformClients/ItemStore.h"
#include "Wire/Codec.h"

namespace shallotbeam::gateway {

// A store that responds when the test calls CompleteList() or CompletePoll().
class FakeItemStore : public platform_clients::ItemStore {
 public:
  void List(const std::string& prefix, const std::string& after,
            std::function<void(platform_clients::ListResult)> done) override;
  void AwaitChanges(
      const std::string& prefix, common::StorePosition position,
      std::chrono::milliseconds wait,
      std::function<void(platform_clients::ChangesResult)> done) override;

  // Completes the pending call.
  void CompleteList(platform_clients::ListResult result);
  void CompletePoll(platform_clients::ChangesResult result);
  bool IsPolling() const { return poll_ != nullptr; }

 private:
  std::function<void(platform_clients::ListResult)> list_;
  std::function<void(platform_clients::ChangesResult)> poll_;
};

// An upstream on a loopback port. The test defines its response to each
// request.
class FakeUpstream {
 public:
  // Response to a complete request: bytes to send, and whether to close the
  // connection afterwards. Called once for each request.
  struct Reaction {
    std::string bytes;
    bool close = false;
  };
  using Behaviour = std::function<Reaction(const std::string& request)>;

  FakeUpstream(boost::asio::io_context& context, Behaviour behaviour);

  common::Endpoint Endpoint() const;
  // Complete requests received, in order of arrival.
  const std::vector<std::string>& Requests() const { return *requests_; }
  int OpenConnections() const { return *open_; }
  // Refuses new connections, as after a crash.
  void StopListening() { acceptor_.close(); }

 private:
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  Behaviour behaviour_;
  std::shared_ptr<std::vector<std::string>> requests_;
  std::shared_ptr<int> open_;
};

// A complete response to `request` with the digest that the gateway requires.
std::string ResponseWithDigest(const std::string& request,
                               const std::string& body, int status = 200,
                               const std::string& extra_headers = "");

// The same with the body "done".
FakeUpstream::Reaction RespondDone(const std::string& request);

bool Contains(const std::string& text, const std::string& part);

// A caller with one connection.
class Caller {
 public:
  Caller(boost::asio::io_context& context, std::uint16_t port);

  void Send(const std::string& bytes);
  void Close();
  // Everything received so far.
  const std::string& Received() const { return *received_; }
  bool IsClosed() const { return *end_ != boost::system::error_code(); }
  // Whether the connection has ended other than by the end of the stream.
  bool WasReset() const {
    return IsClosed() && *end_ != boost::asio::error::eof;
  }

 private:
  boost::asio::ip::tcp::socket socket_;
  std::shared_ptr<std::string> received_;
  std::shared_ptr<boost::system::error_code> end_;
};

// A gateway on a loopback port. Requests of route /order/ may run once, those
// of /look/ any number of times. /talk/ and /told/ are streams; only /told/ is
// resumable. The clock advances only when the test says so, or to the next poll
// of the store before a change of its items.
class GatewayFixture {
 public:
  explicit GatewayFixture(bool with_workspaces = false,
                          std::vector<common::Endpoint> relays = {},
                          const std::string& credentials = "if_configured");

  // Puts an entry for an upstream of the pool "plain" into the store.
  void AddUpstream(const std::string& name, const common::Endpoint& endpoint,
                   bool draining = false);
  void PutUpstream(const std::string& name, balancing::UpstreamEntry entry);
  void RemoveUpstream(const std::string& name);
  void SetEvacuated(const std::string& data_centre, bool requested);
  void PutCatalogue(const catalogue::Catalogue& catalogue);
  void PutUnreadableConfiguration();

  // Restores the store from a copy that has only the changes with these
  // numbers, which count from 0, the first configuration. Its revisions go
  // back.
  void RestoreStore(const std::vector<std::size_t>& changes);

  // Sends a request over a new connection and returns the response.
  std::string Exchange(const std::string& path);

  // Runs the network until `condition` holds; fails the test if it never does.
  void RunUntil(const std::function<bool()>& condition);
  // Runs the network handlers that are ready.
  void RunPending();
  void Advance(common::Duration step);
  // Passes the time after the first contact to the store in which removed
  // entries are trusted.
  void PassRecoveryOfStore();

  // Bodies of one type among the messages sent, in order.
  template <typename Body>
  std::vector<Body> SentBodies() const {
    std::vector<Body> bodies;
    for (const std::string& it : sent_messages) {
      const auto envelope = wire::DecodeScheduling(it);
      BOOST_REQUIRE(envelope.ok());
      const auto* body = std::get_if<Body>(&envelope->body);
      if (body != nullptr) bodies.push_back(*body);
    }
    return bodies;
  }

  static std::string Request(const std::string& path,
                             const std::string& extra_headers = "");

  boost::asio::io_context context;
  common::ManualClock clock;
  FakeItemStore store;
  catalogue::Catalogue catalogue;
  std::unique_ptr<Gateway> gateway;
  std::vector<std::string> sent_messages;
  // An item that throws when it is decoded comes before each change.
  bool with_unreadable_items = false;

 private:
  std::optional<FleetChange> Decode(
      const platform_clients::ItemChange& change) const;
  void Change(FleetChange change);
  // Advances the time until the gateway polls the store.
  void AwaitPoll();
  common::StorePosition Position() const { return {era_, revision_}; }

  std::vector<FleetChange> pending_;
  std::uint64_t era_ = 0;
  std::uint64_t revision_ = 1;
};

// A gateway with two upstreams. The one that is asked first reacts with
// `first_reaction`; after that, both serve.
struct FaultyFirstFixture {
  explicit FaultyFirstFixture(FakeUpstream::Reaction first_reaction);

  FakeUpstream::Reaction React(const std::string& request);

  FakeUpstream::Reaction first_reaction;
  int requests = 0;
  GatewayFixture fleet;
  FakeUpstream u1{fleet.context,
                  [this](const std::string& it) { return React(it); }};
  FakeUpstream u2{fleet.context,
                  [this](const std::string& it) { return React(it); }};
};

}  // namespace shallotbeam::gateway

#endif  // SHALLOTBEAM_UNITTESTS_CORE_GATEWAY_GATEWAYFIXTURE_H_
