#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>

#include "Commands.h"
#include "Core/PlatformClients/Await.h"
#include "Runtime/CommandLine.h"

namespace shallotbeam::commands {

namespace {

using nlohmann::json;

struct CommandResult {
  int exit_code = 0;
  std::string out;
  std::string err;
};

using Command = int (*)(const Arguments&, const Console&);

CommandResult Execute(Command command, const Arguments& arguments) {
  std::ostringstream out;
  std::ostringstream err;
  CommandResult result;
  result.exit_code = command(arguments, {.out = out, .err = err});
  result.out = out.str();
  result.err = err.str();
  return result;
}

// A stand-in for the store, and a folder with one complete configuration.
struct Fixture {
  testtools::PlatformServer platform;
  std::filesystem::path folder =
      std::filesystem::temp_directory_path() /
      ("shallotbeam-commands-" + std::to_string(::getpid()));

  Fixture() {
    std::filesystem::create_directories(folder);
    WriteWeight(1);
  }
  ~Fixture() { std::filesystem::remove_all(folder); }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  void WriteWeight(int weight) const {
    std::ofstream(folder / "all.jsonc")
        << R"({"pools": {"p": {}}, "kinds": {"k": {"pool": "p"}},
              "workspaces": {"w": {"open": true, "kinds": ["k"], "weight": )"
        << weight << "}}}";
  }
  CommandResult Publish(const std::string& publisher,
                        Arguments extra_arguments = {}) const {
    Arguments arguments = {folder.string(), "--platform",
                           common::ToString(platform.Address()), "--publisher",
                           publisher};
    arguments.insert(arguments.end(), extra_arguments.begin(),
                     extra_arguments.end());
    return Execute(ConfigPublish, arguments);
  }
  json Show() const {
    return json::parse(
        Execute(ConfigShow, {"--platform", common::ToString(platform.Address()),
                             "--output", "json"})
            .out);
  }
  int CountWrites() const {
    return json::parse(test::SendCommand(platform, "/calls", ""))
        .value("writes", 0);
  }
};

bool Contains(const std::string& text, const std::string& fragment) {
  return text.find(fragment) != std::string::npos;
}

// A router's /status on a loopback port.
struct StatusServer {
  explicit StatusServer(const json& status)
      : server(*transport::HttpServer::Listen(
            context, {.endpoint = {"127.0.0.1", 0}},
            [body = status.dump()](const auto& exchange) {
              exchange->Send({.status = 200, .headers = {}, .body = body});
            })),
        thread([this] { context.run(); }) {}
  ~StatusServer() {
    context.stop();
    thread.join();
  }
  StatusServer(const StatusServer&) = delete;
  StatusServer& operator=(const StatusServer&) = delete;

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(server->Port());
  }

  boost::asio::io_context context{1};
  std::shared_ptr<transport::HttpServer> server;
  std::thread thread;
};

}  // namespace

// Guards against output of the check that a program can't parse, and against a
// check that succeeds despite problems.
BOOST_FIXTURE_TEST_CASE(CheckPrintsProblemsAsJson, Fixture) {
  const Arguments arguments = {folder.string(), "--output", "json"};
  BOOST_TEST(Execute(ConfigCheck, arguments).exit_code == runtime::kExitOk);
  WriteWeight(0);
  const CommandResult result = Execute(ConfigCheck, arguments);
  BOOST_TEST(result.exit_code == runtime::kExitFailure);
  const json problems = json::parse(result.out);
  BOOST_REQUIRE(problems.size() == 1U);
  BOOST_TEST(problems[0]["file"] == "all.jsonc");
  BOOST_TEST(problems[0]["path"] == "workspaces.w.weight");
  BOOST_TEST(Publish("ada").exit_code == runtime::kExitFailure);
  BOOST_TEST(CountWrites() == 0);
}

// Guards against a new version, and hence fleet-wide traffic, for a document
// that did not change.
BOOST_FIXTURE_TEST_CASE(UnchangedDocumentIsNotWrittenAgain, Fixture) {
  BOOST_TEST(Publish("ada").exit_code == runtime::kExitOk);
  const json first = Show();
  BOOST_TEST(first["publisher"] == "ada");
  BOOST_TEST(!first["id"].get<std::string>().empty());
  const CommandResult again = Publish("bob");
  BOOST_TEST(again.exit_code == runtime::kExitOk);
  BOOST_TEST(Contains(again.out, "unchanged"));
  BOOST_TEST(Contains(again.out, "by ada at"));
  BOOST_TEST(CountWrites() == 1);
  BOOST_TEST(Show() == first);
}

// Guards against a publisher that overwrites a version it has not seen, and
// against a conflict message that doesn't name the version in force and its
// publisher.
BOOST_FIXTURE_TEST_CASE(ConflictNamesThePublishedVersion, Fixture) {
  Publish("ada");
  const auto seen = std::to_string(Show()["version"].get<int>());
  WriteWeight(2);
  BOOST_TEST(Publish("bob", {"--expect-version", seen}).exit_code ==
             runtime::kExitOk);
  const json winner = Show();
  WriteWeight(3);
  const CommandResult conflict = Publish("ada", {"--expect-version", seen});
  BOOST_TEST(conflict.exit_code == runtime::kExitConflict);
  const std::string version = std::to_string(winner["version"].get<int>());
  BOOST_TEST(Contains(conflict.err, "version " + version +
                                        ", published by bob at " +
                                        winner["time"].get<std::string>()));
  BOOST_TEST(Contains(conflict.err, "--expect-version " + version));
  BOOST_TEST(Show() == winner);
  // Publishing again with the suggested version succeeds.
  BOOST_TEST(Publish("ada", {"--expect-version", version}).exit_code ==
             runtime::kExitOk);
}

// Guards against two concurrent publishers that both believe they succeeded.
BOOST_FIXTURE_TEST_CASE(OneOfTwoConcurrentPublishersWins, Fixture) {
  Publish("ada");
  WriteWeight(2);
  test::SendCommand(platform, "/faults", R"({"delay_ms": 200})");
  CommandResult other;
  std::thread thread([&] { other = Publish("bob"); });
  const CommandResult own = Publish("ada");
  thread.join();
  // A publisher that reads after the other's write finds the document
  // unchanged.
  const bool unchanged =
      Contains(own.out, "unchanged") || Contains(other.out, "unchanged");
  const int conflicts = (own.exit_code == runtime::kExitConflict ? 1 : 0) +
                        (other.exit_code == runtime::kExitConflict ? 1 : 0);
  BOOST_TEST(conflicts == (unchanged ? 0 : 1));
}

// Guards against reporting a failure, or publishing twice, when the write took
// effect and its response was lost.
BOOST_FIXTURE_TEST_CASE(LostResponseIsReadBack, Fixture) {
  test::SendCommand(platform, "/faults", R"({"lose_answers": true})");
  const CommandResult result = Publish("ada");
  BOOST_TEST(result.exit_code == runtime::kExitOk);
  BOOST_TEST(Contains(result.out, "published version"));
  BOOST_TEST(CountWrites() == 1);
  BOOST_TEST(Show()["publisher"] == "ada");
}

// Guards against a command that gives up on a slow store, hangs when the store
// is down, or doesn't say that nothing was published.
BOOST_FIXTURE_TEST_CASE(PublishWaitsForASlowStoreAndReportsAnOutage, Fixture) {
  test::SendCommand(platform, "/faults", R"({"delay_ms": 1500})");
  BOOST_TEST(Publish("ada").exit_code == runtime::kExitOk);
  test::SendCommand(platform, "/faults", R"({"delay_ms": 0, "down": true})");
  const CommandResult down = Publish("ada");
  BOOST_TEST(down.exit_code == runtime::kExitUnavailable);
  BOOST_TEST(Contains(down.err, "not published"));
}

// Guards against invalid arguments that are reported as another failure.
BOOST_FIXTURE_TEST_CASE(WrongUsageHasItsOwnExitCode, Fixture) {
  BOOST_TEST(Execute(ConfigCheck, {}).exit_code == runtime::kExitUsage);
  BOOST_TEST(Execute(ConfigShow, {"--platform", "x"}).exit_code ==
             runtime::kExitUsage);
  BOOST_TEST(Execute(Status, {"--output", "xml"}).exit_code ==
             runtime::kExitUsage);
  BOOST_TEST(Execute(ConfigPublish, {"--help"}).exit_code == runtime::kExitOk);
}

// Guards against processes that are missing from the list, and against an exit
// code of success although processes use different versions or one did not
// respond.
BOOST_AUTO_TEST_CASE(ConfigStatusListsEveryProcess) {
  const json agent = {{"name", "a1"},
                      {"role", "agent"},
                      {"data_centre", "north"},
                      {"config_version", 7},
                      {"silent_ms", 40}};
  const json router = {{"name", "r1"},
                       {"role", "router"},
                       {"config_version", 8},
                       {"processes", json::array({agent})}};
  const StatusServer server(router);
  const CommandResult result =
      Execute(ConfigStatus, {"--admin", server.Address(), "--output", "json"});
  BOOST_TEST(result.exit_code == runtime::kExitFailure);
  const json list = json::parse(result.out);
  BOOST_REQUIRE(list.size() == 2U);
  BOOST_TEST(list[0]["config_version"] == 7);
  BOOST_TEST(list[1]["name"] == "r1");
  const CommandResult partial = Execute(
      ConfigStatus, {"--admin", server.Address(), "--admin", "127.0.0.1:1"});
  BOOST_TEST(partial.exit_code == runtime::kExitUnavailable);
  BOOST_TEST(Contains(partial.out, "2 processes, 2 versions"));
}

// Guards against a table that leaves out queues, shares or upstreams.
BOOST_AUTO_TEST_CASE(StatusPrintsTables) {
  const StatusServer server(
      {{"name", "r1"},
       {"role", "router"},
       {"queues",
        json::array({{{"pool", "p"}, {"workspace", "w1"}, {"waiting", 3}}})},
       {"shares",
        json::array({{{"pool", "p"}, {"workspace", "w2"}, {"weight", 2.0}}})},
       {"agents",
        json::array({{{"name", "a1"}, {"upstream", "u1"}, {"alive", true}}})}});
  const CommandResult result = Execute(Status, {"--admin", server.Address()});
  BOOST_TEST(result.exit_code == runtime::kExitOk);
  for (const char* fragment : {"w1", "w2", "u1", "yes", "virtual_time"}) {
    BOOST_TEST(Contains(result.out, fragment), fragment);
  }
}

}  // namespace shallotbeam::commands
