#ifndef SHALLOTBEAM_TESTTOOLS_LOAD_PROCESSES_H_
#define SHALLOTBEAM_TESTTOOLS_LOAD_PROCESSES_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "Common/Types.h"
#include "Transport/Http.h"
#include "absl/status/statusor.h"

namespace shallotbeam::load {

// A process that this tool started. Ended by its destructor.
class ChildProcess {
 public:
  // Writes output of the process to `log`. Returns kUnavailable if no process
  // can be made; an unusable program shows as an exit with code 127.
  static absl::StatusOr<ChildProcess> Start(
      const std::string& program, const std::vector<std::string>& arguments,
      const std::string& log);

  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;
  ~ChildProcess();

  pid_t Pid() const { return pid_; }
  // Exit code if the process has ended; 128 + number after a signal.
  std::optional<int> ExitCode();
  // Asks the process to end (SIGTERM), so that several can end together.
  void AskToEnd();
  // Waits and then kills. Returns the exit code.
  int End(std::chrono::milliseconds patience);

 private:
  explicit ChildProcess(pid_t pid) : pid_(pid) {}

  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

// Processor time of a process so far, in seconds; 0 if it has ended.
double CpuSeconds(pid_t pid);

// Resident memory in bytes; 0 if the process has ended.
double ResidentBytes(pid_t pid);

// A port on 127.0.0.1 that was free a moment ago.
common::Endpoint FreeEndpoint();

// One HTTP call that blocks. Status 0 tells of a failure.
transport::HttpResponse FetchNow(const common::Endpoint& endpoint,
                                 const std::string& method,
                                 const std::string& target,
                                 const std::string& body,
                                 std::chrono::milliseconds timeout);

}  // namespace shallotbeam::load

#endif  // SHALLOTBEAM_TESTTOOLS_LOAD_PROCESSES_H_
