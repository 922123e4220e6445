#ifndef SHALLOTBEAM_CORE_FORWARDING_EVENTSCANNER_H_
#define SHALLOTBEAM_CORE_FORWARDING_EVENTSCANNER_H_

#include <string>
#include <string_view>

namespace shallotbeam::forwarding {

// Finds the ends of events in a text/event-stream, so that a broken stream can
// go on at another upstream after its last whole event.
class EventScanner {
 public:
  // Adds received bytes. Returns the whole events that they complete; the rest
  // is kept. The view is valid until the next call.
  std::string_view Add(std::string_view bytes);

  // Id of the last whole event; empty if none had one.
  const std::string& LastId() const { return last_id_; }
  int Events() const { return events_; }

  // Bytes of an event that is not complete.
  std::string_view Rest() const;
  // Forgets the incomplete event, whose upstream has gone.
  void DropRest();

 private:
  void Scan(std::string_view whole);

  std::string buffer_;
  std::size_t taken_ = 0;  // bytes at the front that were returned
  std::string last_id_;
  int events_ = 0;
};

}  // namespace shallotbeam::forwarding

#endif  // SHALLOTBEAM_CORE_FORWARDING_EVENTSCANNER_H_
