#ifndef TESTS_PROCESSES_PROCESS_FLEET_H_
#define TESTS_PROCESSES_PROCESS_FLEET_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "LibHttp/http_client.h"

namespace crocus {

/// Starts the programs of a small fleet on loopback, each with a port that the
/// kernel chooses, and ends them by process id. Logs go to the directory.
class ProcessFleet {
 public:
  ProcessFleet();
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  /// Starts a stand-in and returns its base URL.
  std::string StartStandin(const std::string& name,
                           const std::vector<std::string>& arguments);
  /// Starts a program from a settings file; "port_file" is added to [host].
  void StartProgram(const std::string& name,
                    const std::string& program,
                    const std::string& settings);
  /// Starts a daemon before `replicas`; returns its internal address.
  std::string StartDaemon(const std::string& name,
                          const std::vector<std::string>& replicas,
                          const std::string& extra_settings = "");
  /// Starts an entry; returns its base URL.
  std::string StartEntry(const std::string& name,
                         const std::string& log_url,
                         const std::vector<std::string>& daemons,
                         const std::string& extra_settings = "");

  void Signal(const std::string& name, int signal);
  /// Waits until the process has ended and returns its exit status, or -1 if
  /// `limit` has passed.
  int WaitForExit(const std::string& name, std::chrono::milliseconds timeout);
  /// Starts a program again with the same arguments.
  void Restart(const std::string& name);
  /// Like Restart, for a program whose internal port must stay the same.
  void RestartOnSamePort(const std::string& name);

  /// Port of `kind` ("http" or "internal") from the program's port file.
  std::uint16_t Port(const std::string& name, const std::string& kind);
  std::string ReadLogFile(const std::string& name) const;
  /// Resident memory of a process in bytes, from /proc.
  std::uint64_t ResidentBytes(const std::string& name) const;
  /// User and system processor time of a process in seconds, from /proc.
  double CpuSeconds(const std::string& name) const;

 private:
  struct Process {
    pid_t id = -1;
    std::vector<std::string> arguments;
  };

  void Spawn(const std::string& name, std::vector<std::string> arguments);

  std::string directory;
  std::map<std::string, Process> processes;
};

/// Calls `condition` until it is true; false after `limit`.
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds timeout = std::chrono::seconds(30));

/// Sends a request and returns the reply; status 0 if there was none.
HttpReply Call(const std::string& method,
               const std::string& url,
               const std::string& body = "",
               const std::map<std::string, std::string>& headers = {});

/// Like Call, with the reply's body as JSON.
nlohmann::json CallJson(const std::string& method,
                        const std::string& url,
                        const std::string& body = "",
                        const std::map<std::string, std::string>& headers = {});

}  // namespace crocus

#endif  // TESTS_PROCESSES_PROCESS_FLEET_H_
