#include "Control/rules_wait.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "Control/entry_client.h"
#include "LibCore/time.h"

namespace crocus {

namespace {

constexpr std::chrono::milliseconds kPollInterval{100};

struct ProcessState {
  std::uint64_t version = 0;
  /// True if it has sent its status or an entry is connected to it.
  bool is_live = false;
};

/// State of processes by kind and name, such as "entry NAME". A process without
/// a known name has its address instead. If two entries report different
/// versions of a process, the newer one is used: versions never decrease.
using ProcessStates = std::map<std::string, ProcessState>;

void AddState(ProcessStates& states,
              const std::string& process,
              std::uint64_t version,
              bool is_live) {
  auto& state = states[process];
  state.version = std::max(state.version, version);
  state.is_live = state.is_live || is_live;
}

void AddPeers(ProcessStates& states,
              const nlohmann::json& status,
              const std::string& list,
              const std::string& kind) {
  for (const auto& peer : status.value(list, nlohmann::json::array())) {
    const std::string name = peer.value("name", "");
    AddState(states, kind + (name.empty() ? peer.value("address", "") : name),
             peer.value("rules_version", std::uint64_t{0}),
             peer.value("connected", false));
  }
}

ProcessStates ReadStates(const std::vector<std::string>& entries) {
  ProcessStates states;
  for (const auto& entry : entries) {
    const auto status = GetJsonFromEntry(entry, "/v1/status");
    if (!status) {
      AddState(states, "entry " + entry, 0, false);
      continue;
    }
    AddState(states, "entry " + status->at("entry").value("name", entry),
             status->value("rules_version", std::uint64_t{0}), true);
    AddPeers(states, *status, "entries", "entry ");
    AddPeers(states, *status, "daemons", "daemon ");
  }
  return states;
}

nlohmann::json ToJson(const ProcessStates& states,
                      std::uint64_t version,
                      bool is_in_force_everywhere) {
  nlohmann::json processes = nlohmann::json::object();
  for (const auto& [name, state] : states) {
    processes[name] = {{"version", state.version}, {"live", state.is_live}};
  }
  return {{"version", version},
          {"everywhere", is_in_force_everywhere},
          {"processes", processes}};
}

void PrintLaggingProcesses(const ProcessStates& states, std::uint64_t version) {
  for (const auto& [name, state] : states) {
    if (!state.is_live) {
      std::cout << "not reachable: " << name << "\n";
    } else if (state.version < version) {
      std::cout << "lags: " << name << " runs version " << state.version
                << "\n";
    }
  }
}

}  // namespace

ControlExitCode WaitForVersion(const CommandLine& line, std::uint64_t version) {
  const auto entries = line.Entries();
  if (entries.empty()) {
    return Fail(ControlExitCode::kUsage,
                "--wait requires an entry; set --entry URL or $CROCUS_ENTRY");
  }
  const TimePoint start = MonotonicNow();
  const TimePoint deadline =
      start + std::chrono::seconds(line.Number("timeout"));
  ProcessStates states;
  bool is_in_force_everywhere = false;
  bool is_any_live = false;
  do {
    states = ReadStates(entries);
    is_any_live =
        std::any_of(states.begin(), states.end(),
                    [](const auto& item) { return item.second.is_live; });
    is_in_force_everywhere =
        is_any_live &&
        std::all_of(states.begin(), states.end(), [&](const auto& item) {
          return !item.second.is_live || item.second.version >= version;
        });
    if (!is_in_force_everywhere) {
      std::this_thread::sleep_for(kPollInterval);
    }
  } while (!is_in_force_everywhere && MonotonicNow() < deadline);
  if (line.is_json()) {
    std::cout << ToJson(states, version, is_in_force_everywhere).dump() << "\n";
  } else {
    PrintLaggingProcesses(states, version);
  }
  if (!is_any_live) {
    return Fail(ControlExitCode::kUnavailable, "no entry is reachable");
  }
  if (!is_in_force_everywhere) {
    return Fail(ControlExitCode::kFailed,
                "version " + std::to_string(version) +
                    " is published but not yet in force everywhere");
  }
  if (!line.is_json()) {
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        MonotonicNow() - start);
    std::cout << "version " << version << " is in force everywhere after "
              << elapsed.count() << " ms\n";
  }
  return ControlExitCode::kDone;
}

}  // namespace crocus
