#ifndef SHALLOTBEAM_CORE_FORWARDING_EVENTSCANNER_H_
#define SHALLOTBEAM_CORE_FORWARDING_EVENTSCANNER_H_

#include <string>
#include <string_view>

namespace shallotbeam::forwarding {

// Finds the complete events in a text/event-stream, so that a broken stream can
// be resumed at another upstream after its last complete event.
class EventScanner {
 public:
  // Adds received bytes and returns the events that are now complete. An
  // incomplete event is kept. The view is valid until the next call.
  std::string_view Add(std::string_view bytes);

  // Id of the last complete event that had one; empty if none had.
  const std::string& LastId() const { return last_id_; }
  int Events() const { return events_; }

  // Bytes of the incomplete event at the end.
  std::string_view Partial() const;
  // Discards the incomplete event after its upstream was lost.
  void DropPartial();

 private:
  void Scan(std::string_view complete_events);

  std::string buffer_;
  std::size_t returned_ = 0;  // bytes at the front that were returned
  std::string last_id_;
  int events_ = 0;
};

}  // namespace shallotbeam::forwarding

#endif  // SHALLOTBEAM_CORE_FORWARDING_EVENTSCANNER_H_
