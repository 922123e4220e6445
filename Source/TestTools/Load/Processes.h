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

// A process started by this tool. The destructor terminates it.
class ChildProcess {
 public:
  // Appends stdout and stderr of the process to the file `log`. Returns
  // kUnavailable if fork() fails. If the program can't be executed, the process
  // exits with code 127.
  static absl::StatusOr<ChildProcess> Start(
      const std::string& program, const std::vector<std::string>& arguments,
      const std::string& log);

  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;
  ~ChildProcess();

  pid_t Pid() const { return pid_; }
  // Exit code if the process has exited; 128 + signal number if a signal
  // terminated it.
  std::optional<int> ExitCode();
  // Sends SIGTERM without waiting, so that several processes can exit in
  // parallel.
  void RequestTermination();
  // Sends SIGTERM, and SIGKILL if the process has not exited after `timeout`.
  // Returns the exit code.
  int End(std::chrono::milliseconds timeout);

 private:
  explicit ChildProcess(pid_t pid) : pid_(pid) {}

  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

// CPU time (user and system) of a process so far, in seconds; 0 if it has
// exited.
double CpuSeconds(pid_t pid);

// Resident memory in bytes; 0 if the process has exited.
double ResidentBytes(pid_t pid);

// Returns an endpoint on 127.0.0.1 whose port was free at the time of the call.
common::Endpoint FreeEndpoint();

// Makes a blocking HTTP call. The status is 0 if the call failed.
transport::HttpResponse FetchNow(const common::Endpoint& endpoint,
                                 const std::string& method,
                                 const std::string& target,
                                 const std::string& body,
                                 std::chrono::milliseconds timeout);

}  // namespace shallotbeam::load

#endif  // SHALLOTBEAM_TESTTOOLS_LOAD_PROCESSES_H_
