#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <set>
#include <string>

#include "Load/Experiment.h"
#include "Load/Run.h"

namespace shallotbeam::load {

namespace {

// A temporary file, removed by the destructor.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : path_(std::filesystem::temp_directory_path() /
              ("shallotbeam-experiment-test-" + std::to_string(getpid()))) {
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  std::string Path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

// Guards against committed experiments that no longer parse, and against loads
// of a workspace or kind that is missing in the configuration. All requests of
// such a load would be refused.
BOOST_AUTO_TEST_CASE(CommittedExperimentsAreValid) {
  int experiments = 0;
  for (const auto& file :
       std::filesystem::directory_iterator(SHALLOTBEAM_EXPERIMENTS)) {
    const auto experiment = ReadExperiment(file.path());
    BOOST_TEST_INFO(file.path());
    BOOST_REQUIRE(experiment.ok());
    const auto config = ReadConfig(*experiment);
    BOOST_TEST_INFO(file.path());
    BOOST_REQUIRE(config.ok());
    std::set<std::string> phases;
    for (const Phase& phase : experiment->phases) {
      phases.insert(phase.name);
      for (const LoadSpec& load : phase.loads) {
        BOOST_TEST(config->kinds.contains(common::KindName(load.kind)));
        for (const std::string& name : load.workspaces) {
          const auto it = config->workspaces.find(common::WorkspaceName(name));
          BOOST_REQUIRE(it != config->workspaces.end());
          BOOST_TEST(it->second.kinds.contains(common::KindName(load.kind)));
        }
      }
    }
    for (const Bound& bound : experiment->bounds) {
      BOOST_TEST((bound.phase.empty() || phases.contains(bound.phase)));
      BOOST_TEST((bound.against.empty() || phases.contains(bound.against)));
    }
    ++experiments;
  }
  BOOST_TEST(experiments > 0);
}

// Guards against a misspelt key being ignored, so that a default silently
// applies, for example a bound without a limit.
BOOST_AUTO_TEST_CASE(InvalidExperimentsAreRejected) {
  const std::string fleet =
      R"("fleet": {"routers": 1, "pools": [{"pool": "p"}]})";
  const auto status = [&](const std::string& rest) {
    const TemporaryFile file("{" + fleet + rest + "}");
    return ReadExperiment(file.Path()).status();
  };
  BOOST_TEST(status("").ok());
  BOOST_TEST(!status(R"(, "phases": [{"nam": "x"}])").ok());
  BOOST_TEST(!status(R"(, "bounds": [{"measure": "wrong"}])").ok());
  BOOST_TEST(!status(R"(, "bounds": [{"measure": "wrong", "maxi": 1}])").ok());
  BOOST_TEST(!status(R"(, "phases": [{"loads": [{"kind": "k"}]}])").ok());
  BOOST_TEST(!status(R"(, "seed": "one")").ok());
  BOOST_TEST(!ReadExperiment("/no/such/file").ok());
}

}  // namespace

}  // namespace shallotbeam::load
