// A program under test as a child process: started with an environment and limits of the test's choice, its
// standard error kept in a file, ended and reaped by its id whatever befalls the test.
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
  std::vector<std::string> arguments;    ///< The program's path first.
  std::vector<std::string> environment;  ///< `NAME=value`, in addition to what the test itself has.
  std::string standardErrorFile;         ///< Takes the standard error.
  rlim_t descriptors = 0;                ///< Limit of open descriptors; 0: the test's own.
};

/// One child process. Its destructor kills it, if it still runs, and reaps it.
class ChildProcess {
 public:
  explicit ChildProcess(const ChildOptions& options) {
    std::vector<std::string> environment = options.environment;
    for (char** variable = environ; *variable != nullptr; ++variable) environment.emplace_back(*variable);
    const std::vector<char*> argumentPointers = pointers(options.arguments);
    const std::vector<char*> environmentPointers = pointers(environment);
    pid_ = ::fork();
    if (pid_ < 0) throw std::runtime_error("fork failed");
    if (pid_ == 0) become(options, argumentPointers, environmentPointers);
  }
  ~ChildProcess() {
    if (ended()) return;
    ::kill(pid_, SIGKILL);
    while (::waitpid(pid_, &status_, 0) < 0 && errno == EINTR) continue;
  }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Sends a signal, unless the process was reaped: its id may be another's then.
  void signal(int number) {
    if (!reaped_) ::kill(pid_, number);
  }
  /// Whether the process has ended; reaps it without waiting.
  bool ended() {
    if (!reaped_) reaped_ = ::waitpid(pid_, &status_, WNOHANG) == pid_;
    return reaped_;
  }
  /// Whether a stop signal has taken effect.
  bool stopped() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    return text.find(") T ") != std::string::npos;
  }
  /// The status with which it ended by itself; none while it runs, or where a signal ended it.
  std::optional<int> exitStatus() const {
    if (!reaped_ || !WIFEXITED(status_)) return std::nullopt;
    return WEXITSTATUS(status_);
  }

  /// The number behind `key` in what the system tells of it (proc(5), status); 0 where there is none.
  double status(const std::string& key) const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);)
      if (line.starts_with(key)) return std::atof(line.c_str() + key.size());
    return 0;
  }
  /// Processor time that it has used, in seconds (proc(5), fields 14 and 15 of stat).
  double processorSeconds() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string skipped;
    for (int i = 3; i < 14; ++i) fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }

  /// How many descriptors it has open.
  std::size_t descriptors() const {
    const std::filesystem::directory_iterator all("/proc/" + std::to_string(pid_) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
  }

 private:
  static std::vector<char*> pointers(const std::vector<std::string>& texts) {
    std::vector<char*> out;
    for (const std::string& text : texts) out.push_back(const_cast<char*>(text.c_str()));
    out.push_back(nullptr);
    return out;
  }
  // Runs in the child, where only calls are allowed that are safe in signal handlers.
  [[noreturn]] static void become(const ChildOptions& options, const std::vector<char*>& arguments,
                                  const std::vector<char*>& environment) {
    constexpr int kNotStarted = 127;
    constexpr mode_t kOwnersFile = 0600;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = ::open(options.standardErrorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, kOwnersFile);
    if (file < 0 || ::dup2(file, STDERR_FILENO) < 0) ::_exit(kNotStarted);
    ::close_range(STDERR_FILENO + 1, ~0u, 0);
    const rlimit limit{options.descriptors, options.descriptors};
    if (options.descriptors > 0 && ::setrlimit(RLIMIT_NOFILE, &limit) != 0) ::_exit(kNotStarted);
    ::execve(arguments.front(), arguments.data(), environment.data());
    ::_exit(kNotStarted);
  }

  pid_t pid_ = -1;
  int status_ = 0;
  bool reaped_ = false;
};

}  // namespace garnethook::test
