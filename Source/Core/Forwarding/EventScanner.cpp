#include "Forwarding/EventScanner.h"

namespace shallotbeam::forwarding {

namespace {

constexpr std::string_view kIdField = "id:";

// Offset just after the last complete event in `text`, which ends with an empty
// line; 0 if there is none.
std::size_t EndOfLastEvent(std::string_view text) {
  std::size_t end = 0;
  for (std::size_t line = 0; line < text.size();) {
    const std::size_t newline = text.find('\n', line);
    if (newline == std::string_view::npos) break;
    const std::size_t length = newline - line;
    const bool empty = length == 0 || (length == 1 && text[line] == '\r');
    line = newline + 1;
    if (empty) end = line;
  }
  return end;
}

}  // namespace

std::string_view EventScanner::Add(std::string_view bytes) {
  buffer_.erase(0, returned_);
  buffer_.append(bytes);
  returned_ = EndOfLastEvent(buffer_);
  const std::string_view complete_events =
      std::string_view(buffer_).substr(0, returned_);
  Scan(complete_events);
  return complete_events;
}

std::string_view EventScanner::Partial() const {
  return std::string_view(buffer_).substr(returned_);
}

void EventScanner::DropPartial() {
  buffer_.clear();
  returned_ = 0;
}

void EventScanner::Scan(std::string_view complete_events) {
  bool in_event = false;
  while (!complete_events.empty()) {
    std::string_view line =
        complete_events.substr(0, complete_events.find('\n'));
    complete_events.remove_prefix(line.size() + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.empty()) {
      if (in_event) ++events_;
      in_event = false;
      continue;
    }
    in_event = true;
    if (line.substr(0, kIdField.size()) != kIdField) continue;
    line.remove_prefix(kIdField.size());
    if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    last_id_.assign(line);
  }
}

}  // namespace shallotbeam::forwarding
