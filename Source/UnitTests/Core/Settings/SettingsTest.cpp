#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "Runtime/ProcessSettings.h"
#include "Settings/Settings.h"

namespace shallotbeam::settings {

namespace {

// A settings file that is deleted on destruction.
class TempFile {
 public:
  explicit TempFile(const std::string& text)
      : path_(std::filesystem::temp_directory_path() /
              ("shallotbeam-settings-" + std::to_string(::getpid()))) {
    std::ofstream(path_) << text;
  }
  ~TempFile() { std::filesystem::remove(path_); }
  TempFile(const TempFile&) = delete;
  TempFile& operator=(const TempFile&) = delete;

  std::string Path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

std::string ErrorOf(const std::string& file,
                    std::vector<std::string> arguments) {
  const TempFile settings_file(file);
  arguments.insert(arguments.end(), {"--settings", settings_file.Path()});
  runtime::AgentSettings target;
  const absl::Status status = Read(runtime::AgentKeys(&target), arguments);
  return std::string(status.message());
}

const std::vector<std::string> kRequiredArguments = {
    "--pool",         "chat",     "--upstream",
    "127.0.0.1:9000", "--router", "127.0.0.1:8082"};

}  // namespace

// Guards against a layer that overrides one with higher precedence, and against
// a repeated setting that combines the values of two layers.
BOOST_AUTO_TEST_CASE(CommandLineTakesPrecedenceOverFileOverDefault) {
  const TempFile file(R"({ // comment
    "data_centre": "north", "threads": 3, "drain_deadline_ms": 5000,
    "router": ["10.0.0.1:1", "10.0.0.2:1"], "pool": "chat",
    "upstream": "10.0.0.3:1" })");
  runtime::AgentSettings target;
  const absl::Status status =
      Read(runtime::AgentKeys(&target),
           {"--settings", file.Path(), "--threads", "4", "--router",
            "10.0.0.9:1", "--region", "west"});
  BOOST_REQUIRE_MESSAGE(status.ok(), status.ToString());
  BOOST_TEST(target.threads == 4);
  BOOST_TEST(target.data_centre.value == "north");
  BOOST_TEST(target.region.value == "west");
  BOOST_TEST(target.drain_deadline.count() == 5000);
  BOOST_TEST(target.admin.port == 8091);
  BOOST_REQUIRE(target.routers.size() == 1U);
  BOOST_TEST(target.routers[0].address == "10.0.0.9");
}

// Guards against errors that don't tell the operator which value to correct and
// in which layer.
BOOST_AUTO_TEST_CASE(ErrorsNameLayerKeyExpectedAndFound) {
  const struct {
    const char* file;
    std::vector<std::string> arguments;
    const char* fragment;
  } cases[] = {
      {"{}",
       {"--threads", "0"},
       "command line: --threads: expected an integer"},
      {"{}", {"--threads", "0"}, "found \"0\""},
      {R"({"threads": "2"})", {}, "threads: expected an integer from 1 to 64"},
      {R"({"threads": 99999999999})", {}, "found 99999999999"},
      {R"({"data_center": "a"})", {}, "known key \"data_centre\""},
      {R"({"admin": "localhost"})", {}, "admin: expected an IP address"},
      {R"({"log": "loud"})", {}, "log: expected levels"},
      {R"({"name": "a", "name": "b"})", {}, "duplicate key"},
      {"{\n\n!", {}, ":3: expected JSON"},
      {"{}", {"--bogus", "1"}, "command line: unrecognised option"},
      {"{}", {"--name", "a", "--name", "b"}, "one value, found 2 values"},
  };
  for (const auto& it : cases) {
    std::vector<std::string> arguments = it.arguments;
    arguments.insert(arguments.end(), kRequiredArguments.begin(),
                     kRequiredArguments.end());
    const std::string error = ErrorOf(it.file, arguments);
    BOOST_TEST(error.find(it.fragment) != std::string::npos,
               error << " must contain " << it.fragment);
  }
  BOOST_TEST(ErrorOf("{}", {}).find("--router: expected an IP address and a "
                                    "port, found nothing") !=
             std::string::npos);
}

// Guards against a limit in seconds that is rounded or read as milliseconds.
BOOST_AUTO_TEST_CASE(SecondsMayHaveDecimals) {
  using std::chrono::milliseconds;
  milliseconds limit(8'000);
  const Setting setting = Seconds("limit-s", "limit", milliseconds(100),
                                  milliseconds(60'000), &limit);
  BOOST_CHECK(setting.parse("7.5"));
  BOOST_CHECK(limit == milliseconds(7'500));
  for (const char* text : {"", "soon", "nan", "-1", "61", "0.01"}) {
    BOOST_CHECK_MESSAGE(!setting.parse(text), text);
  }
  BOOST_CHECK(limit == milliseconds(7'500));
}

// Guards against a reference page that differs from the programs.
BOOST_AUTO_TEST_CASE(ReferenceListsEverySetting) {
  std::ifstream stream(SHALLOTBEAM_SOURCE_DIR "/docs/configuration.md");
  const std::string page{std::istreambuf_iterator<char>(stream), {}};
  runtime::RouterSettings router;
  runtime::AgentSettings agent;
  for (const Settings& keys :
       {runtime::RouterKeys(&router), runtime::AgentKeys(&agent)}) {
    const std::string table = ReferenceTable(keys);
    BOOST_TEST(page.find(table) != std::string::npos,
               "docs/configuration.md must contain:\n"
                   << table);
  }
}

}  // namespace shallotbeam::settings
