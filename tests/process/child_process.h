// Runs the program under test as a child process with the environment and limits that the test chooses. Its
// standard error goes to a file, and the process is killed and reaped by its id even if the test fails.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace garnethook::test {

/// How a child process is started.
struct ChildOptions {
  std::vector<std::string> arguments;    ///< Starts with the program's path.
  std::vector<std::string> environment;  ///< `NAME=value`, in addition to the test's own environment.
  std::string standardErrorFile;         ///< Receives the standard error.
  rlim_t descriptors = 0;                ///< Limit of open descriptors; 0 inherits the test's limit.
};

/// Owns a child process. The destructor kills the process if it still runs, and reaps it.
class ChildProcess {
 public:
  explicit ChildProcess(const ChildOptions& options) {
    std::vector<std::string> environment = options.environment;
    for (char** variable = environ; *variable != nullptr; ++variable) environment.emplace_back(*variable);
    const std::vector<char*> argumentPointers = pointers(options.arguments);
    const std::vector<char*> environmentPointers = pointers(environment);
    pid_ = ::fork();
    if (pid_ < 0) throw std::runtime_error("fork failed");
    if (pid_ == 0) execChild(options, argumentPointers, environmentPointers);
  }
  ~ChildProcess() {
    if (ended()) return;
    ::kill(pid_, SIGKILL);
    while (::waitpid(pid_, &status_, 0) < 0 && errno == EINTR) continue;
  }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Sends a signal unless the process was reaped, since its id may have been reused by then.
  void signal(int number) {
    if (!reaped_) ::kill(pid_, number);
  }
  /// Returns whether the process has ended, and reaps it if so; does not block.
  bool ended() {
    if (!reaped_) reaped_ = ::waitpid(pid_, &status_, WNOHANG) == pid_;
    return reaped_;
  }
  /// Returns whether the process is stopped by a signal such as SIGSTOP.
  bool stopped() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    return text.find(") T ") != std::string::npos;
  }
  /// Returns the exit status; none while the process runs or if a signal terminated it.
  std::optional<int> exitStatus() const {
    if (!reaped_ || !WIFEXITED(status_)) return std::nullopt;
    return WEXITSTATUS(status_);
  }

  /// Returns the number that follows `key` in /proc/PID/status (proc(5)); 0 if the key is absent.
  double status(const std::string& key) const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);)
      if (line.starts_with(key)) return std::atof(line.c_str() + key.size());
    return 0;
  }
  /// Returns the CPU time used by the process in seconds (proc(5), fields 14 and 15 of stat).
  double processorSeconds() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string skippedField;
    for (int i = 3; i < 14; ++i) fields >> skippedField;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }

  /// Returns the number of open descriptors.
  std::size_t descriptors() const {
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid_) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
  }

 private:
  static std::vector<char*> pointers(const std::vector<std::string>& texts) {
    std::vector<char*> result;
    for (const std::string& text : texts) result.push_back(const_cast<char*>(text.c_str()));
    result.push_back(nullptr);
    return result;
  }
  // Runs in the child after fork(), where only async-signal-safe calls are allowed.
  [[noreturn]] static void execChild(const ChildOptions& options, const std::vector<char*>& arguments,
                                     const std::vector<char*>& environment) {
    constexpr int kStartFailedStatus = 127;
    constexpr mode_t kOwnerReadWrite = 0600;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file =
        ::open(options.standardErrorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, kOwnerReadWrite);
    if (file < 0 || ::dup2(file, STDERR_FILENO) < 0) ::_exit(kStartFailedStatus);
    ::close_range(STDERR_FILENO + 1, ~0u, 0);
    const rlimit limit{options.descriptors, options.descriptors};
    if (options.descriptors > 0 && ::setrlimit(RLIMIT_NOFILE, &limit) != 0) ::_exit(kStartFailedStatus);
    ::execve(arguments.front(), arguments.data(), environment.data());
    ::_exit(kStartFailedStatus);
  }

  pid_t pid_ = -1;
  int status_ = 0;
  bool reaped_ = false;
};

}  // namespace garnethook::test
