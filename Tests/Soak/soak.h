#ifndef TESTS_SOAK_SOAK_H_
#define TESTS_SOAK_SOAK_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "LibCore/random.h"
#include "PlatformStandin/fault_proxy.h"
#include "PlatformStandin/gateway_fleet.h"
#include "Soak/soak_checks.h"

namespace crocus {

struct SoakOptions {
  std::uint64_t seed = 1;
  Duration duration = std::chrono::seconds(20);
  std::uint32_t gateways = 3;
  std::uint32_t replicas = 5;
  std::uint32_t callers = 12;
  /// Prints each fault when it begins.
  bool is_verbose = false;
};

/// Runs gateways as processes under random faults, which are drawn from a seed,
/// and checks what callers and replicas observe.
class Soak {
 public:
  explicit Soak(SoakOptions options);
  ~Soak();

  /// Runs the test; returns the first guarantee that was violated, if any.
  std::optional<std::string> Run();

  const SoakChecks& checks() const { return this->soak_checks; }
  /// Log of each gateway by its name, for a failed run.
  std::map<std::string, std::string> Logs() const;

 private:
  enum class ProcessState { kRunning, kPaused, kStopping };
  struct GatewayProcess {
    std::string name;
    std::unique_ptr<FaultProxy> store_proxy;
    ProcessState state = ProcessState::kRunning;
    /// When it was last sent a signal or restarted.
    TimePoint last_disturbed{};
  };
  struct Replica {
    ReplicaStandin* standin = nullptr;
    std::string endpoint;
    std::unique_ptr<FaultProxy> proxy;
  };

  void StartFleet();
  void RunAfter(Duration delay, std::function<void()> action);
  /// Sends a request of one caller, and the next one when it has ended.
  void RunCaller(std::uint32_t caller);
  void SendOnline(std::uint32_t caller, GatewayProcess& gateway);
  void Submit(std::uint32_t caller, GatewayProcess& gateway);
  void ReadJob(std::uint32_t caller, GatewayProcess& gateway);
  void ReadUnfinishedJobs();
  void Send(std::uint32_t caller,
            GatewayProcess& gateway,
            RequestHead head,
            std::string body,
            std::function<void(const Result<FetchedResponse>&)> on_done);

  /// Injects a fault, and the next one after a random time.
  void InjectFaults();
  void InjectFault();
  void DisturbGateway(GatewayProcess& gateway);
  void DisturbStoreLink(GatewayProcess& gateway);
  void DisturbStore();
  void DisturbReplicaLink(Replica& replica);
  void DisturbReplica(Replica& replica);
  void StopLoadAndFaults();
  /// Restarts the gateways that have exited after SIGTERM.
  void RestartStoppedGateways();
  void LogFault(const std::string& fault);
  std::string NextId(const std::string& prefix);
  GatewayProcess& RandomGateway();
  Duration RandomFaultDuration();

  const SoakOptions options;
  Random random;
  GatewayFleet fleet;
  SoakChecks soak_checks;
  std::vector<std::unique_ptr<GatewayProcess>> gateways;
  std::vector<Replica> replicas;
  std::list<std::shared_ptr<boost::asio::steady_timer>> timers;
  std::uint64_t next_id = 0;
  /// Start of the replica that has started last, as the registry tells it.
  std::int64_t last_boot = 1;
  std::uint64_t config_version = 7;
  /// True once callers send no further requests and no faults are injected.
  bool is_ending = false;
};

}  // namespace crocus

#endif  // TESTS_SOAK_SOAK_H_
