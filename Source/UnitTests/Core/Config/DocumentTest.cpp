#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>

#include "Config/Document.h"
#include "Config/Keys.h"

namespace shallotbeam::config {

namespace {

// A temporary folder, removed at the end of the test.
class TempFolder {
 public:
  TempFolder()
      : path_(std::filesystem::temp_directory_path() /
              ("shallotbeam-config-" + std::to_string(::getpid()))) {
    std::filesystem::remove_all(path_);
    std::filesystem::create_directories(path_);
  }
  ~TempFolder() { std::filesystem::remove_all(path_); }
  TempFolder(const TempFolder&) = delete;
  TempFolder& operator=(const TempFolder&) = delete;

  void Write(const std::string& file, const std::string& text) const {
    std::ofstream(path_ / file) << text;
  }
  std::string Path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

bool Reports(const ParsedConfig& parsed, const std::string& file,
             const std::string& path, const std::string& fragment) {
  return std::any_of(parsed.problems.begin(), parsed.problems.end(),
                     [&](const Problem& it) {
                       return it.file == file && it.path == path &&
                              ToString(it).find(fragment) != std::string::npos;
                     });
}

std::string ReadText(const std::string& path) {
  std::ifstream stream(path);
  return {std::istreambuf_iterator<char>(stream), {}};
}

constexpr const char* kPools = R"({
  "pools": {
    "assistant": { "min_slots": 9, "initial_slots": 8, "max_slots": 7 },
    "ledger": { "type": "plane", "prefetch": -1 }
  }
})";
constexpr const char* kKinds = R"({
  "kinds": {
    "chat": { "pool": "asistant", "urgensy": "urgent" },
    "order": { "pool": "ledger", "idempotent": "no", "idempotent": false,
               "default_deadline_ms": 500000 }
  }
})";
constexpr const char* kWorkspaces = R"({
  // Replaces a value of the previous file.
  "kinds": { "order": { "max_queued": 0 } },
  "workspaces": {
    "recife": { "weight": 1, "kinds": ["chat", "ordr"],
                "credential_sha256": "abc" }
  }
})";

}  // namespace

// Guards against validation that stops at the first error, or that reports the
// wrong file after merging.
BOOST_AUTO_TEST_CASE(ReportsEveryMistakeWithItsFile) {
  const TempFolder folder;
  folder.Write("10-pools.jsonc", kPools);
  folder.Write("20-kinds.jsonc", kKinds);
  folder.Write("30-workspaces.jsonc", kWorkspaces);
  folder.Write("40-broken.json", "{\n  \"pools\": {\n  oops\n");
  const auto parsed = ReadFolder(folder.Path());
  BOOST_REQUIRE(parsed.ok());
  const struct {
    const char* file;
    const char* path;
    const char* fragment;
  } expected[] = {
      {"10-pools.jsonc", "pools.assistant.min_slots", "at most initial_slots"},
      {"10-pools.jsonc", "pools.assistant.initial_slots", "at most max_slots"},
      {"10-pools.jsonc", "pools.ledger.type", "found \"plane\""},
      {"10-pools.jsonc", "pools.ledger.prefetch", "from 0 to 1000, found -1"},
      {"20-kinds.jsonc", "kinds.chat.pool", "such as \"assistant\""},
      {"20-kinds.jsonc", "kinds.chat.urgensy", "key \"urgency\""},
      {"20-kinds.jsonc", "kinds.order.idempotent", "duplicate key"},
      {"20-kinds.jsonc", "kinds.order.default_deadline_ms", "max_deadline_ms"},
      {"30-workspaces.jsonc", "kinds.order.max_queued", "found 0"},
      {"30-workspaces.jsonc", "workspaces.recife.kinds", "such as \"order\""},
      {"30-workspaces.jsonc", "workspaces.recife.credential_sha256",
       "64 hexadecimal digits"},
      {"40-broken.json", "", "40-broken.json:3: expected JSON"},
  };
  for (const auto& it : expected) {
    BOOST_TEST(Reports(*parsed, it.file, it.path, it.fragment),
               it.path << ": " << it.fragment);
  }
  BOOST_TEST(parsed->problems.size() == std::size(expected));
  const auto list = nlohmann::json::parse(ToJson(parsed->problems));
  BOOST_TEST(list.size() == std::size(expected));
}

// Guards against an exception when files have different types for the same
// section, and against accepting an empty section.
BOOST_AUTO_TEST_CASE(ReportsSectionsThatAreNotObjects) {
  const TempFolder folder;
  folder.Write("10.json", R"({"pools": 3, "kinds": {}})");
  folder.Write("20.json", R"({"pools": {"a": {}}, "workspace": {}})");
  folder.Write("30.json", "[1]");
  const auto parsed = ReadFolder(folder.Path());
  BOOST_REQUIRE(parsed.ok());
  BOOST_TEST(Reports(*parsed, "20.json", "pools", "as in 10.json"));
  BOOST_TEST(Reports(*parsed, "10.json", "kinds", "at least one entry"));
  BOOST_TEST(Reports(*parsed, "20.json", "workspace", "\"workspaces\""));
  BOOST_TEST(Reports(*parsed, "20.json", "workspaces", "found nothing"));
  BOOST_TEST(Reports(*parsed, "30.json", "", "expected an object, found [1]"));
}

// Guards against a workspace whose credential was forgotten, misspelt or
// withdrawn and that is open to everybody instead.
BOOST_AUTO_TEST_CASE(WorkspaceIsOpenOnlyIfItSaysSo) {
  const TempFolder folder;
  folder.Write("10.json", R"({"pools": {"a": {}}, "kinds": {"k": {"pool": "a"}},
      "workspaces": {"forgotten": {"kinds": ["k"]},
                     "empty": {"kinds": ["k"], "credential_sha256": ""},
                     "closed": {"kinds": ["k"], "open": false},
                     "open": {"kinds": ["k"], "open": true}}})");
  const auto parsed = ReadFolder(folder.Path());
  BOOST_REQUIRE(parsed.ok());
  for (const char* name : {"forgotten", "empty", "closed"}) {
    BOOST_TEST(Reports(*parsed, "10.json",
                       std::string("workspaces.") + name + ".credential_sha256",
                       "64 hexadecimal digits"));
  }
  BOOST_TEST(parsed->problems.size() == 3U);
  // A process refuses the requests of such a workspace, and not the document.
  const auto config = ParseDocument(
      R"({"pools": {"a": {}}, "kinds": {"k": {"pool": "a"}},
          "workspaces": {"w": {"kinds": ["k"], "credential_sha265": "x"}}})");
  BOOST_REQUIRE(config.ok());
  BOOST_TEST(!config->workspaces.at(common::WorkspaceName("w")).open);
}

// Guards against a last workspace that can't be withdrawn, so that its
// credential stays valid.
BOOST_AUTO_TEST_CASE(LastWorkspaceCanBeWithdrawn) {
  const std::string rest =
      R"({"pools": {"a": {}}, "kinds": {"k": {"pool": "a"}})";
  BOOST_TEST(ParseDocument(rest + R"(, "workspaces": {}})").ok());
  BOOST_TEST(!ParseDocument(rest + "}").ok());
  BOOST_TEST(!ParseDocument(rest + R"(, "workspaces": null})").ok());
  BOOST_TEST(!ParseDocument(rest + R"(, "workspaces": []})").ok());
}

// Guards against an upgrade in which old processes reject every document that
// uses a newer key.
BOOST_AUTO_TEST_CASE(PublishedDocumentMayHaveNewerKeys) {
  const auto config = ParseDocument(
      R"({"pools": {"a": {"new_key": 1}}, "kinds": {"k": {"pool": "a"}},
          "workspaces": {"w": {"kinds": ["k"]}}, "new_section": {}})");
  BOOST_TEST(config.ok());
}

// Guards against examples that are no longer valid, or that no longer have the
// size of the deployments in docs/design.md, section 1.2.
BOOST_AUTO_TEST_CASE(ExamplesPassTheCheck) {
  for (const char* name : {"cocheiras", "hlasnik"}) {
    const auto parsed =
        ReadFolder(std::string(SHALLOTBEAM_SOURCE_DIR "/examples/") + name);
    BOOST_REQUIRE(parsed.ok());
    for (const Problem& it : parsed->problems) BOOST_ERROR(ToString(it));
    BOOST_TEST(parsed->config.workspaces.size() == 16U);
    BOOST_TEST(parsed->config.pools.size() == 2U);
  }
}

// Guards against a reference page that differs from the keys of the parser.
BOOST_AUTO_TEST_CASE(ReferenceListsEveryKey) {
  const std::string page =
      ReadText(SHALLOTBEAM_SOURCE_DIR "/docs/configuration.md");
  for (const char* section : {"pools", "kinds", "workspaces"}) {
    const std::string table = ReferenceTable(section);
    BOOST_TEST(page.find(table) != std::string::npos,
               "docs/configuration.md must contain:\n"
                   << table);
  }
}

// Guards against a published document whose nesting ends every process that
// reads it.
BOOST_AUTO_TEST_CASE(DeeplyNestedDocumentIsRejected) {
  constexpr std::size_t kDepth = 400'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  BOOST_CHECK(!ParseDocument(nested).ok());
  BOOST_CHECK(!ParseDocument(R"({"pools":)" + nested + "}").ok());
  BOOST_CHECK(!ParseDocument(R"({"document":{"pools":)" + nested + "}}").ok());
}

}  // namespace shallotbeam::config
