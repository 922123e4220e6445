#include "Config/Publication.h"

#include <nlohmann/json.hpp>

#include "absl/status/status.h"

namespace shallotbeam::config {

namespace {

using nlohmann::json;

json Parse(std::string_view text) {
  return json::parse(text.begin(), text.end(), nullptr,
                     /*allow_exceptions=*/false);
}

std::string StringOrEmpty(const json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

}  // namespace

std::string FormatPublication(const Publication& publication) {
  const json value = {{"publisher", publication.publisher},
                      {"id", publication.id},
                      {"time", publication.time},
                      {"document", Parse(publication.document)}};
  return value.dump();
}

absl::StatusOr<Publication> ParsePublication(std::string_view value) {
  const json root = Parse(value);
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
  return Parse(a) == Parse(b);
}

}  // namespace shallotbeam::config
