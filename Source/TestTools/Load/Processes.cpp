#include "Load/Processes.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include "Transport/HttpClient.h"
#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

namespace shallotbeam::load {

namespace {

constexpr int kCannotExecute = 127;
constexpr int kSignalExit = 128;
constexpr int kLogMode = 0644;

int ExitCodeOf(int status) {
  if (WIFSIGNALED(status)) return kSignalExit + WTERMSIG(status);
  return WEXITSTATUS(status);
}

}  // namespace

absl::StatusOr<ChildProcess> ChildProcess::Start(
    const std::string& program, const std::vector<std::string>& arguments,
    const std::string& log) {
  std::vector<char*> argv;
  argv.push_back(const_cast<char*>(program.c_str()));
  for (const std::string& it : arguments) {
    argv.push_back(const_cast<char*>(it.c_str()));
  }
  argv.push_back(nullptr);
  const int output =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid < 0) return absl::UnavailableError("fork failed");
  if (pid > 0) {
    if (output >= 0) close(output);
    return ChildProcess(pid);
  }
  // Terminate the child together with this tool, even if the tool is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(kCannotExecute);
  if (output >= 0) {
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
  }
  execv(program.c_str(), argv.data());
  _exit(kCannotExecute);
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)), exit_code_(other.exit_code_) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept {
  std::swap(pid_, other.pid_);
  std::swap(exit_code_, other.exit_code_);
  return *this;
}

ChildProcess::~ChildProcess() { End(std::chrono::seconds(3)); }

std::optional<int> ChildProcess::ExitCode() {
  if (exit_code_ || pid_ < 0) return exit_code_;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == pid_) exit_code_ = ExitCodeOf(status);
  return exit_code_;
}

void ChildProcess::RequestTermination() {
  if (pid_ > 0 && !ExitCode()) kill(pid_, SIGTERM);
}

int ChildProcess::End(std::chrono::milliseconds timeout) {
  if (pid_ < 0) return 0;
  RequestTermination();
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!ExitCode() && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  if (!exit_code_) {
    kill(pid_, SIGKILL);
    int status = 0;
    waitpid(pid_, &status, 0);
    exit_code_ = ExitCodeOf(status);
  }
  return *exit_code_;
}

double CpuSeconds(pid_t pid) {
  std::ifstream file(absl::StrCat("/proc/", pid, "/stat"));
  std::string line;
  std::getline(file, line);
  // The second field is the program name in parentheses, which may contain
  // spaces.
  const std::size_t name_end = line.rfind(')');
  if (name_end == std::string::npos) return 0;
  std::istringstream fields(line.substr(name_end + 1));
  constexpr int kFieldsBeforeTimes = 11;
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ResidentBytes(pid_t pid) {
  std::ifstream file(absl::StrCat("/proc/", pid, "/statm"));
  double size = 0;
  double resident = 0;
  file >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

common::Endpoint FreeEndpoint() {
  namespace net = boost::asio;
  // Stay below 32768, where the ephemeral ports of outgoing connections begin.
  // An ephemeral port could be taken again before the process listens on it.
  constexpr int kFirst = 10'000;
  constexpr int kCount = 17'000;
  // Spreads the port ranges of tools that run at the same time.
  constexpr int kStep = 97;
  static std::atomic<int> offset = getpid() * kStep;
  net::io_context context;
  while (true) {
    const auto port = static_cast<std::uint16_t>(kFirst + offset++ % kCount);
    net::ip::tcp::acceptor acceptor(context, net::ip::tcp::v4());
    boost::system::error_code ec;
    acceptor.bind({net::ip::make_address_v4("127.0.0.1"), port}, ec);
    if (!ec) return {.address = "127.0.0.1", .port = port};
  }
}

transport::HttpResponse FetchNow(const common::Endpoint& endpoint,
                                 const std::string& method,
                                 const std::string& target,
                                 const std::string& body,
                                 std::chrono::milliseconds timeout) {
  boost::asio::io_context context;
  transport::HttpClient client(context);
  transport::HttpResponse response;
  response.status = 0;
  client.Fetch(
      endpoint,
      {.method = method, .target = target, .headers = {}, .body = body},
      timeout, [&](transport::CallEnd end, const transport::HttpResponse& it) {
        if (end == transport::CallEnd::kComplete) response = it;
      });
  context.run();
  return response;
}

}  // namespace shallotbeam::load
