#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Core/Gateway/GatewayFixture.h"
#include "Wire/Codec.h"

namespace shallotbeam::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

// An upstream that crashes when it runs a request whose body is "deadly".
class CrashingUpstream {
 public:
  explicit CrashingUpstream(boost::asio::io_context& context)
      : upstream_(context, [this](const std::string& request) {
          if (!Contains(request, "deadly")) return RespondDone(request);
          upstream_.StopListening();
          crashed_ = true;
          return FakeUpstream::Reaction{.close = true};
        }) {}

  common::Endpoint Endpoint() const { return upstream_.Endpoint(); }
  std::size_t Requests() const { return upstream_.Requests().size(); }
  // Whether it has crashed since the last call.
  bool TakeCrashed() { return std::exchange(crashed_, false); }

 private:
  bool crashed_ = false;
  FakeUpstream upstream_;
};

struct Fixture {
  GatewayFixture fleet;
  std::vector<std::unique_ptr<CrashingUpstream>> upstreams;

  Fixture() {
    AddUpstreams(6);
    fleet.PassRecoveryOfStore();
  }

  void AddUpstreams(int count) {
    for (int i = 0; i < count; ++i) {
      upstreams.push_back(std::make_unique<CrashingUpstream>(fleet.context));
      fleet.AddUpstream(fmt::format("u{}", upstreams.size()),
                        upstreams.back()->Endpoint());
    }
  }
  // Makes the upstreams engines with schedulers, which pass crash reports on.
  void AddSchedulers() {
    catalogue::Catalogue with_engines = fleet.catalogue;
    with_engines.version = static_cast<common::ConfigVersion>(2);
    with_engines.pools[common::PoolName("plain")] = {.engine =
                                                         catalogue::Engine{}};
    fleet.PutCatalogue(with_engines);
  }
  void Receive(const protocol::CrashReport& report) {
    fleet.gateway->OnControlMessage(
        wire::Encode(protocol::SchedulingEnvelope{.body = report}));
  }
  std::size_t Requests() const {
    std::size_t count = 0;
    for (const auto& it : upstreams) count += it->Requests();
    return count;
  }
  std::string Send(const std::string& body,
                   const std::string& path = "/order/1",
                   const std::string& headers = "") {
    Caller caller(fleet.context, fleet.gateway->CallersPort());
    caller.Send(
        fmt::format("POST {} HTTP/1.1\r\nHost: service\r\nId: r{}\r\n{}"
                    "Content-Length: {}\r\n\r\n{}",
                    path, ++sent_, headers, body.size(), body));
    fleet.RunUntil([&] {
      return Contains(caller.Received(), "done") ||
             Contains(caller.Received(), "HTTP/1.1 4") ||
             Contains(caller.Received(), "HTTP/1.1 5");
    });
    // The gateway finds out whether the upstream has crashed.
    fleet.Advance(kTickInterval);
    RemoveCrashed();
    return caller.Received().substr(0, 12);
  }
  // Messages that the gateway has sent about crashes.
  std::vector<protocol::CrashReport> CrashReports() const {
    return fleet.SentBodies<protocol::CrashReport>();
  }

 private:
  void RemoveCrashed() {
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
      if (!upstreams[i]->TakeCrashed()) continue;
      fleet.RemoveUpstream(fmt::format("u{}", i + 1));
    }
  }

  int sent_ = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CrashingRequestsTest, Fixture)

// Guards against a request that crashes one upstream after the other, whenever
// its caller sends it again.
BOOST_AUTO_TEST_CASE(RequestThatCrashesUpstreamsIsRefused) {
  BOOST_CHECK_EQUAL(Send("deadly"), "HTTP/1.1 502");
  BOOST_CHECK_EQUAL(Send("deadly"), "HTTP/1.1 502");
  for (int i = 0; i < 3; ++i) {
    BOOST_CHECK_EQUAL(Send("deadly"), "HTTP/1.1 422");
  }
  BOOST_CHECK_EQUAL(Requests(), 2);
  BOOST_CHECK_EQUAL(Send("sound"), "HTTP/1.1 200");
}

// The same where the gateway repeats the request itself.
BOOST_AUTO_TEST_CASE(RepeatsOfOneAttemptCount) {
  Send("deadly", "/look/1");
  BOOST_CHECK_EQUAL(Send("deadly", "/look/1"), "HTTP/1.1 422");
  BOOST_CHECK_EQUAL(Requests(), 2);
}

// Guards against requests that crash one upstream after the other by a part of
// their prompts, though no two of them are alike.
BOOST_AUTO_TEST_CASE(RequestsWithAPartThatCrashesUpstreamsAreRefused) {
  const auto send = [&](const std::string& body, const std::string& parts) {
    return Send(body + parts, "/order/1", "Parts: " + parts + "\r\n");
  };
  BOOST_CHECK_EQUAL(send("sound", "1 2 100"), "HTTP/1.1 200");
  for (const char* last : {"101", "102", "103"}) {
    BOOST_CHECK_EQUAL(send("deadly", std::string("1 66 ") + last),
                      "HTTP/1.1 502");
  }
  const std::size_t requests = Requests();
  BOOST_CHECK_EQUAL(send("deadly", "1 66 104"), "HTTP/1.1 422");
  BOOST_CHECK_EQUAL(send("deadly", "3 66 105"), "HTTP/1.1 422");
  BOOST_CHECK_EQUAL(Requests(), requests);
  // The last part belongs to the request alone.
  BOOST_CHECK_EQUAL(send("sound", "1 2 66"), "HTTP/1.1 200");
}

// Guards against requests that are refused because their upstream breaks
// connections without having crashed.
BOOST_AUTO_TEST_CASE(BrokenConnectionsAreNoCrashes) {
  FakeUpstream breaking(fleet.context, [](const std::string&) {
    return FakeUpstream::Reaction{.close = true};
  });
  for (int i = 1; i <= 6; ++i) fleet.RemoveUpstream(fmt::format("u{}", i));
  fleet.AddUpstream("breaking", breaking.Endpoint());
  for (int i = 0; i < 5; ++i) {
    BOOST_CHECK_EQUAL(Send("sound"), "HTTP/1.1 502");
  }
  BOOST_CHECK_EQUAL(breaking.Requests().size(), 5);
}

// Guards against a gateway that learns only from its own requests: the caller
// comes back at another one.
BOOST_AUTO_TEST_CASE(CrashesAtOtherGatewaysCount) {
  AddSchedulers();
  Send("deadly");
  Send("deadly");
  const auto reports = CrashReports();
  BOOST_REQUIRE(!reports.empty());
  Fixture other;
  for (const auto& it : reports) other.Receive(it);
  BOOST_CHECK_EQUAL(other.Send("deadly"), "HTTP/1.1 422");
  BOOST_CHECK_EQUAL(other.Requests(), 0);
  BOOST_CHECK_EQUAL(other.Send("sound"), "HTTP/1.1 200");
}

// Guards against requests that stay refused although they are answered: the
// upstreams crashed for another reason.
BOOST_AUTO_TEST_CASE(AnswerClearsASuspect) {
  AddSchedulers();
  Send("deadly");
  auto reports = CrashReports();
  BOOST_REQUIRE(!reports.empty());
  Fixture other;
  other.AddSchedulers();
  other.Receive(reports.back());
  // "deadly" does not crash this upstream.
  FakeUpstream sturdy(other.fleet.context, RespondDone);
  for (int i = 1; i <= 6; ++i) {
    other.fleet.RemoveUpstream(fmt::format("u{}", i));
  }
  other.fleet.AddUpstream("sturdy", sturdy.Endpoint());
  BOOST_CHECK_EQUAL(other.Send("deadly"), "HTTP/1.1 200");
  reports = other.CrashReports();
  BOOST_REQUIRE(!reports.empty());
  Receive(reports.back());
  BOOST_CHECK_EQUAL(Send("deadly"), "HTTP/1.1 502");
  BOOST_CHECK_EQUAL(Send("deadly"), "HTTP/1.1 502");
  BOOST_CHECK_EQUAL(Send("deadly"), "HTTP/1.1 422");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::gateway
