#include "Config/Publication.h"

#include <nlohmann/json.hpp>

#include "Common/Json.h"
#include "absl/status/status.h"

namespace shallotbeam::config {

namespace {

using nlohmann::json;

std::string StringOrEmpty(const json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

}  // namespace

std::string FormatPublication(const Publication& publication) {
  const json value = {{"publisher", publication.publisher},
                      {"id", publication.id},
                      {"time", publication.time},
                      {"document", common::ParseJson(publication.document)}};
  return value.dump();
}

absl::StatusOr<Publication> ParsePublication(std::string_view value) {
  const json root = common::ParseJson(value);
  if (!root.is_object()) {
    return absl::InvalidArgumentError(
        "the published value is not a JSON object");
  }
  const auto document = root.find("document");
  if (document == root.end()) return Publication{.document = root.dump()};
  return Publication{.publisher = StringOrEmpty(root, "publisher"),
                     .id = StringOrEmpty(root, "id"),
                     .time = StringOrEmpty(root, "time"),
                     .document = document->dump()};
}

bool IsSameDocument(std::string_view a, std::string_view b) {
  return common::ParseJson(a) == common::ParseJson(b);
}

}  // namespace shallotbeam::config
