#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Pacing/PermitDesk.h"
#include "Pacing/PermitSearch.h"
#include "Property.h"

namespace shallotbeam::pacing {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const common::UpstreamName kUpstream("u");
constexpr common::Duration kStep = 20ms;
constexpr common::Duration kWindow = 4s;
// The users' rule: one and a half times the limit over the window, and this.
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedExtra = 5;

common::Endpoint Desk(int number) {
  return {.address = "10.0.0." + std::to_string(number), .port = 1};
}

struct FleetOptions {
  int gateways = 10;
  int desks = 2;
  double limit = 7;              // requests a second
  double requests_per_step = 4;  // over all gateways
  std::function<bool(common::Duration, int gateway, int desk)> connected =
      [](common::Duration, int, int) { return true; };
};

// Gateways that want to send much more to one upstream than its limit.
// Messages take no time, and are lost where a gateway and a desk are not
// connected.
struct Fleet {
  FleetOptions options;
  common::TimePoint start = common::TimePoint() + 1h;
  common::TimePoint now = start;
  std::vector<PermitSearch> gateways;
  std::vector<PermitDesk> desks;
  std::vector<common::TimePoint> arrivals;
  std::uint64_t last_id = 0;
  std::mt19937_64 random;

  explicit Fleet(FleetOptions o, std::uint64_t seed = 1)
      : options(std::move(o)), desks(options.desks), random(seed) {
    for (int i = 0; i < options.gateways; ++i) {
      gateways.push_back({.options = {.gateway = common::ProcessName(
                                          "g" + std::to_string(i))}});
    }
  }

  StatedLimit Limit() const {
    return {.started = 1,
            .per_second = options.limit,
            .sent = now - 10ms,
            .received = now};
  }

  void Execute(int gateway, const PermitActions& actions) {
    std::deque<PermitAction> queue(actions.begin(), actions.end());
    for (; !queue.empty(); queue.pop_front()) {
      const PermitAction action = queue.front();
      if (std::holds_alternative<PermitGranted>(action)) {
        arrivals.push_back(now);
        continue;
      }
      const auto* ask = std::get_if<AskDesk>(&action);
      if (ask == nullptr) continue;
      for (int i = 0; i < options.desks; ++i) {
        if (ask->desk != Desk(i)) continue;
        if (!options.connected(now - start, gateway, i)) continue;
        const auto reply = AnswerPermitRequest(
            desks[i], now, static_cast<common::Incarnation>(gateway + 1),
            {.number = ask->number,
             .limit = ToRow(kUpstream, Limit(), now),
             .max_wait = common::ToMicroseconds(ask->max_wait)},
            static_cast<std::uint32_t>(options.gateways));
        SetGatewayCount(gateways[gateway], now,
                        static_cast<int>(reply.gateways));
        PermitActions more;
        OnPermitReply(gateways[gateway], now, reply.number, reply.granted,
                      reply.wait, &more);
        queue.insert(queue.end(), more.begin(), more.end());
      }
    }
  }

  void Run(common::Duration duration) {
    const common::TimePoint end = now + duration;
    std::uniform_int_distribution<int> any(0, options.gateways - 1);
    std::poisson_distribution<int> demand(options.requests_per_step);
    for (; now < end; now += kStep) {
      for (int i = 0; i < options.gateways; ++i) {
        PermitActions actions;
        OnPermitTick(gateways[i], now, &actions);
        Execute(i, actions);
      }
      for (int i = demand(random); i > 0; --i) Request(any(random));
    }
  }

  void Request(int gateway) {
    PermitRequest request{.id = static_cast<PermitId>(++last_id),
                          .upstream = kUpstream,
                          .per_second = options.limit,
                          .max_wait = 100ms};
    for (int i = 0; i < options.desks; ++i) request.desks.push_back(Desk(i));
    PermitActions actions;
    BeginPermit(gateways[gateway], now, request, &actions);
    Execute(gateway, actions);
  }

  // Largest number of arrivals in any window.
  int MostInWindow() const {
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
      while (arrivals[last] - arrivals[first] >= kWindow) ++first;
      most = std::max(most, last - first + 1);
    }
    return static_cast<int>(most);
  }
  double Allowed() const {
    return kAllowedFactor * options.limit * 4 + kAllowedExtra;
  }
  double PerSecond() const {
    return static_cast<double>(arrivals.size()) /
           std::chrono::duration<double>(now - start).count();
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(SharedLimitTest)

// Guards against a limit that each gateway keeps for itself, so that the sum
// exceeds it; and against one that is hardly used.
BOOST_AUTO_TEST_CASE(SumStaysWithinTheLimitForAnyNumberOfGateways) {
  for (const int gateways : {1, 3, 10, 53, 103}) {
    for (const double limit : {0.5, 4.0, 7.0, 14.0}) {
      Fleet fleet({.gateways = gateways, .limit = limit});
      fleet.Run(30s);
      BOOST_CHECK_LE(fleet.MostInWindow(), fleet.Allowed());
      BOOST_CHECK_LE(fleet.PerSecond(), limit + 0.2);
      BOOST_CHECK_GE(fleet.PerSecond(), limit * 0.8);
    }
  }
}

// Guards against gateways that all have an unused start when the desks die.
BOOST_AUTO_TEST_CASE(SumStaysWithinTheLimitWhenDesksDie) {
  for (const int gateways : {3, 53, 103}) {
    Fleet fleet({.gateways = gateways,
                 .connected = [](common::Duration time, int, int desk) {
                   return desk == 0 ? time < 8s : time < 12s;
                 }});
    fleet.Run(40s);
    BOOST_CHECK_LE(fleet.MostInWindow(), fleet.Allowed());
    // Something gets through, so that the end of the limit is noticed.
    const auto late = std::count_if(
        fleet.arrivals.begin(), fleet.arrivals.end(),
        [&](common::TimePoint it) { return it - fleet.start > 15s; });
    BOOST_CHECK_GT(late, 0);
  }
}

// Guards against a sum over the limit while some gateways reach one desk and
// some the other, or none.
BOOST_AUTO_TEST_CASE(SumStaysWithinTheLimitWhateverIsCutOff) {
  test::CheckProperty("the sum holds for any cuts", [] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const int gateways = *rc::gen::element(3, 17, 53, 103);
    const double limit = *rc::gen::element(2.0, 4.0, 7.0, 11.0, 20.0);
    std::mt19937 random(seed);
    std::set<std::pair<int, int>> cut;
    for (int i = 0; i < gateways; ++i) {
      for (int desk = 0; desk < 2; ++desk) {
        if (random() % 3 == 0) cut.insert({i, desk});
      }
    }
    const auto from = std::chrono::seconds(random() % 10);
    const auto until = from + std::chrono::seconds(random() % 10);
    Fleet fleet({.gateways = gateways,
                 .limit = limit,
                 .connected =
                     [&](common::Duration time, int gateway, int desk) {
                       return time < from || time > until ||
                              cut.count({gateway, desk}) == 0;
                     }},
                seed);
    fleet.Run(20s);
    RC_ASSERT(fleet.MostInWindow() <= fleet.Allowed());
  });
}

// Guards against a fleet that has neither schedulers nor relays left.
BOOST_AUTO_TEST_CASE(SumStaysWithinTheLimitWithoutAnyDesk) {
  for (const int gateways : {3, 103}) {
    Fleet fleet({.gateways = gateways, .desks = 0});
    fleet.Run(30s);
    BOOST_CHECK_LE(fleet.MostInWindow(), fleet.Allowed());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shallotbeam::pacing
