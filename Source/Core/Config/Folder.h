#ifndef SHALLOTBEAM_CORE_CONFIG_FOLDER_H_
#define SHALLOTBEAM_CORE_CONFIG_FOLDER_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Config/Document.h"

// Parsing and merging of configuration files in JSON with comments.
namespace shallotbeam::config {

// A merged document and, by key path, the file that each value comes from.
struct MergedDocument {
  nlohmann::json root = nlohmann::json::object();
  std::map<std::string, std::string> file_of_path;
};

// Parses a file of JSON with comments. Adds syntax errors and duplicate keys to
// `problems`. Returns null after a syntax error.
nlohmann::json ParseFile(const std::string& text, const std::string& file,
                         std::vector<Problem>* problems);

// Merges `content` into the document; its values replace existing ones.
void Merge(const nlohmann::json& content, const std::string& file,
           MergedDocument* merged, std::vector<Problem>* problems);

// Returns the file that the value at a key path comes from. If there is no such
// value, returns the file of its nearest existing parent.
std::string FileOf(const MergedDocument& merged, std::string path);

}  // namespace shallotbeam::config

#endif  // SHALLOTBEAM_CORE_CONFIG_FOLDER_H_
