#include "simulated_cluster.h"

#include <algorithm>
#include <iterator>

namespace crocus {

namespace {

constexpr Duration kConnectInterval = std::chrono::milliseconds(200);
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration kLoadInterval = std::chrono::milliseconds(100);
constexpr Duration kFaultInterval = std::chrono::milliseconds(1500);
constexpr Duration kFaultPeriod = std::chrono::seconds(60);
/// Longest time that a period without faults waits for all jobs to end.
constexpr Duration kRecoveryTimeout = std::chrono::seconds(300);
constexpr Duration kRecoveryCheckInterval = std::chrono::seconds(5);
/// Delay after which both ends of a cut connection close it.
constexpr Duration kCutDetectionDelay = std::chrono::seconds(3);
constexpr std::uint64_t kDelayRangeMicroseconds = 8000;
constexpr std::size_t kMaximumOpenJobs = 12;

}  // namespace

SimulatedCluster::SimulatedCluster(SimulatedClusterOptions cluster_options)
    : options(cluster_options),
      random(cluster_options.seed),
      invariants(cluster_options.partitions),
      log(this->loop,
          this->random.Next(),
          [this](const std::string& stream, const LogRecord& record) {
            this->invariants.OnRecord(stream, record);
          }) {
  for (std::size_t i = 0; i < cluster_options.daemons; ++i) {
    const std::string name = "daemon-" + std::to_string(i);
    this->daemons.push_back(std::make_unique<DaemonNode>(
        this->loop, this->invariants,
        DaemonNodeOptions{.name = name,
                          .replicas = {name + "/a", name + "/b"},
                          .model = "proof"},
        this->random.Next(), [this, i](const OutgoingMessage& message) {
          this->SendToEntry(i, message);
        }));
  }
  for (std::size_t i = 0; i < cluster_options.entries; ++i) {
    this->entries.push_back(std::make_unique<EntryNode>(
        this->loop, this->invariants, this->log, "entry-" + std::to_string(i),
        cluster_options.partitions, this->random.Next(),
        [this, i](const std::string& daemon, const EntryMessage& message) {
          return this->SendToDaemon(i, daemon, message);
        }));
  }
  for (const char* name : {"ana", "ben"}) {
    this->operators.push_back(std::make_unique<RulesOperator>(
        this->loop, this->invariants, this->log, name, this->random.Next()));
  }
  this->ConnectAll();
  this->SendHeartbeats();
  this->GenerateLoad();
  this->InjectFault();
}

Duration SimulatedCluster::RandomDelay() {
  return Duration(100 + this->random.Below(kDelayRangeMicroseconds));
}

bool SimulatedCluster::SendToDaemon(std::size_t entry,
                                    const std::string& daemon,
                                    const EntryMessage& message) {
  const auto index = static_cast<std::size_t>(
      std::find_if(
          this->daemons.begin(), this->daemons.end(),
          [&daemon](const auto& node) { return node->name() == daemon; }) -
      this->daemons.begin());
  auto& link = this->links[{entry, index}];
  if (!link.is_open) {
    return false;
  }
  link.last_daemon_arrival = std::max(link.last_daemon_arrival,
                                      this->loop.now() + this->RandomDelay());
  DaemonNode& node = *this->daemons[index];
  this->loop.Post(
      node.node_state(), link.last_daemon_arrival - this->loop.now(),
      [this, entry, index, id = link.id, message, &node] {
        const auto& current = this->links[{entry, index}];
        if (current.id != id || !current.is_open || current.is_cut) {
          return;
        }
        if (message.execute) {
          node.Execute(id, *message.execute);
        } else if (message.revoke) {
          node.Revoke(id, message.correlation, message.revoke->attempt);
        } else if (message.confirm) {
          node.Confirm(message.confirm->attempts);
        } else if (message.rules) {
          node.AcceptRules(*message.rules);
        }
      });
  return true;
}

void SimulatedCluster::SendToEntry(std::size_t daemon,
                                   const OutgoingMessage& message) {
  const auto found = std::find_if(
      this->links.begin(), this->links.end(), [&](const auto& item) {
        return item.second.id == message.connection && item.second.is_open;
      });
  if (found == this->links.end() || found->first.second != daemon) {
    return;
  }
  Link& link = found->second;
  link.last_entry_arrival =
      std::max(link.last_entry_arrival, this->loop.now() + this->RandomDelay());
  EntryNode& node = *this->entries[found->first.first];
  this->loop.Post(
      node.node_state(), link.last_entry_arrival - this->loop.now(),
      [this, pair = found->first, id = link.id, message, &node] {
        const auto& current = this->links[pair];
        if (current.id == id && current.is_open && !current.is_cut) {
          node.OnMessage(this->daemons[pair.second]->name(), message);
        }
      });
}

void SimulatedCluster::ConnectAll() {
  for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
    for (std::size_t daemon = 0; daemon < this->daemons.size(); ++daemon) {
      auto& link = this->links[{entry, daemon}];
      EntryNode& from = *this->entries[entry];
      DaemonNode& to = *this->daemons[daemon];
      const bool can_connect =
          !link.is_open && !link.is_cut && from.node_state().is_alive &&
          to.node_state().is_alive &&
          from.node_state().paused_until <= this->loop.now() &&
          to.node_state().paused_until <= this->loop.now();
      if (can_connect) {
        link = {.id = this->next_connection++, .is_open = true};
        from.OnConnected(to.name());
        to.Connect(link.id);
      }
    }
  }
  this->loop.ScheduleAfter(kConnectInterval, [this] { this->ConnectAll(); });
}

void SimulatedCluster::CloseLink(LinkKey pair) {
  auto& link = this->links[pair];
  if (!link.is_open) {
    return;
  }
  link.is_open = false;
  EntryNode& entry = *this->entries[pair.first];
  DaemonNode& daemon = *this->daemons[pair.second];
  // Both ends are notified in the same event, so that no new connection is
  // opened between the two notifications.
  if (entry.node_state().is_alive) {
    entry.OnDisconnected(daemon.name());
  }
  if (daemon.node_state().is_alive) {
    daemon.Disconnect(link.id);
  }
}

void SimulatedCluster::SendHeartbeats() {
  for (auto& from : this->entries) {
    if (!from->node_state().is_alive ||
        from->node_state().paused_until > this->loop.now()) {
      continue;
    }
    for (auto& to : this->entries) {
      if (from == to ||
          this->cut_heartbeats.contains({from->name(), to->name()})) {
        continue;
      }
      this->loop.Post(to->node_state(), this->RandomDelay(),
                      [target = to.get(), name = from->name(),
                       incarnation = from->node_state().incarnation] {
                        target->OnHeartbeat(name, incarnation);
                      });
    }
  }
  this->loop.ScheduleAfter(kHeartbeatInterval,
                           [this] { this->SendHeartbeats(); });
}

void SimulatedCluster::GenerateLoad() {
  if (this->has_load) {
    if (this->random.Chance(0.3)) {
      this->SubmitJob();
    }
    if (this->random.Chance(0.03)) {
      this->CancelJob();
    }
    if (this->random.Chance(0.05)) {
      for (auto& publisher : this->operators) {
        publisher->Publish();
      }
    }
    for (std::uint64_t i = this->random.Below(4); i > 0; --i) {
      auto& entry = this->entries[this->random.Below(this->entries.size())];
      const std::string request = "r-" + std::to_string(this->next_request++);
      const bool is_repeatable = this->random.Chance(0.5);
      this->loop.Post(entry->node_state(), this->RandomDelay(),
                      [target = entry.get(), request, is_repeatable] {
                        target->RunOnlineRequest(request, is_repeatable);
                      });
    }
  }
  this->loop.ScheduleAfter(kLoadInterval, [this] { this->GenerateLoad(); });
}

void SimulatedCluster::SubmitJob() {
  std::erase_if(this->jobs, [this](const auto& item) {
    const Job* job = this->invariants.FindJob(item.first);
    return job != nullptr && job->is_closed();
  });
  // A client may resend a job, through the same entry or another one.
  const bool is_resend = !this->jobs.empty() && this->random.Chance(0.4);
  if (!is_resend && this->jobs.size() >= kMaximumOpenJobs) {
    return;
  }
  std::string id;
  if (is_resend) {
    auto chosen = this->jobs.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(
                             this->random.Below(this->jobs.size())));
    id = chosen->first;
  } else {
    id = "j-" + std::to_string(this->next_job++);
    auto& items = this->jobs[id];
    for (std::uint64_t i = 1 + this->random.Below(12); i > 0; --i) {
      const bool must_fail = this->random.Chance(0.03);
      items.push_back({.prompt = id + " item " + std::to_string(i) +
                                 (must_fail ? kFailingPromptMark : ""),
                       .max_tokens = static_cast<std::uint32_t>(
                           1 + this->random.Below(30))});
    }
  }
  auto& entry = this->entries[this->random.Below(this->entries.size())];
  this->loop.Post(entry->node_state(), this->RandomDelay(),
                  [target = entry.get(), id, items = this->jobs[id]] {
                    target->Submit(id, items);
                  });
}

void SimulatedCluster::CancelJob() {
  if (this->jobs.empty()) {
    return;
  }
  auto chosen = this->jobs.begin();
  std::advance(chosen, static_cast<std::ptrdiff_t>(
                           this->random.Below(this->jobs.size())));
  auto& entry = this->entries[this->random.Below(this->entries.size())];
  this->loop.Post(
      entry->node_state(), this->RandomDelay(),
      [target = entry.get(), id = chosen->first] { target->Cancel(id); });
}

void SimulatedCluster::InjectFault() {
  if (this->has_faults) {
    switch (this->random.Below(8)) {
      case 0:
        this->CrashEntry(this->random.Below(this->entries.size()));
        break;
      case 1:
        this->CrashDaemon(this->random.Below(this->daemons.size()));
        break;
      case 2:
        this->Pause(this->entries[this->random.Below(this->entries.size())]
                        ->node_state());
        ++this->fault_counts["entry_pauses"];
        break;
      case 3:
        this->Pause(this->daemons[this->random.Below(this->daemons.size())]
                        ->node_state());
        ++this->fault_counts["daemon_pauses"];
        break;
      case 4:
        this->CutLinks();
        break;
      case 5:
      case 6:
        this->InjectLogFaults();
        break;
      default:
        this->DrainTemporarily(this->random.Below(this->daemons.size()));
        break;
    }
  }
  this->loop.ScheduleAfter(kFaultInterval, [this] { this->InjectFault(); });
}

void SimulatedCluster::CrashEntry(std::size_t index) {
  EntryNode& entry = *this->entries[index];
  if (!entry.node_state().is_alive) {
    return;
  }
  ++this->fault_counts["entry_crashes"];
  entry.Crash();
  for (std::size_t daemon = 0; daemon < this->daemons.size(); ++daemon) {
    this->CloseLink({index, daemon});
  }
  this->loop.ScheduleAfter(
      std::chrono::milliseconds(200 + this->random.Below(8000)), [&entry] {
        if (!entry.node_state().is_alive) {
          entry.Start();
        }
      });
}

void SimulatedCluster::CrashDaemon(std::size_t index) {
  DaemonNode& daemon = *this->daemons[index];
  if (!daemon.node_state().is_alive) {
    return;
  }
  ++this->fault_counts["daemon_crashes"];
  daemon.Crash();
  for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
    this->CloseLink({entry, index});
  }
  this->loop.ScheduleAfter(
      std::chrono::milliseconds(200 + this->random.Below(5000)), [&daemon] {
        if (!daemon.node_state().is_alive) {
          daemon.Start();
        }
      });
}

void SimulatedCluster::Pause(NodeState& node) {
  node.paused_until =
      this->loop.now() +
      Duration(std::chrono::milliseconds(300 + this->random.Below(6000)));
}

void SimulatedCluster::CutLinks() {
  ++this->fault_counts["cuts"];
  const std::size_t entry = this->random.Below(this->entries.size());
  std::vector<LinkKey> pairs;
  for (std::size_t daemon = 0; daemon < this->daemons.size(); ++daemon) {
    if (this->random.Chance(0.6)) {
      pairs.emplace_back(entry, daemon);
      this->links[pairs.back()].is_cut = true;
    }
  }
  if (this->random.Chance(0.5)) {
    for (const auto& other : this->entries) {
      this->cut_heartbeats.emplace(this->entries[entry]->name(), other->name());
      this->cut_heartbeats.emplace(other->name(), this->entries[entry]->name());
    }
  }
  this->loop.ScheduleAfter(kCutDetectionDelay, [this, pairs] {
    for (const auto& pair : pairs) {
      this->CloseLink(pair);
    }
  });
  this->loop.ScheduleAfter(
      kCutDetectionDelay + std::chrono::milliseconds(this->random.Below(8000)),
      [this, pairs] {
        for (const auto& pair : pairs) {
          this->links[pair].is_cut = false;
        }
        this->cut_heartbeats.clear();
      });
}

void SimulatedCluster::InjectLogFaults() {
  auto& faults = this->log.faults();
  if (this->random.Chance(0.4)) {
    ++this->fault_counts["log_outages"];
    faults.is_unavailable = true;
  } else {
    ++this->fault_counts["log_faults"];
    faults.lost_reply_chance = 0.3;
    faults.timeout_chance = 0.2;
    faults.refusal_chance = 0.2;
    faults.extra_delay = std::chrono::milliseconds(this->random.Below(300));
  }
  this->loop.ScheduleAfter(
      std::chrono::milliseconds(500 + this->random.Below(12000)),
      [this] { this->log.faults() = {}; });
}

void SimulatedCluster::DrainTemporarily(std::size_t index) {
  ++this->fault_counts["drains"];
  DaemonNode& daemon = *this->daemons[index];
  this->loop.Post(daemon.node_state(), Duration(0),
                  [&daemon] { daemon.SetLeaving(true); });
  this->loop.ScheduleAfter(
      std::chrono::milliseconds(500 + this->random.Below(6000)),
      [this, &daemon] {
        this->loop.Post(daemon.node_state(), Duration(0),
                        [&daemon] { daemon.SetLeaving(false); });
      });
}

void SimulatedCluster::StopLoadAndFaults() {
  this->has_faults = false;
  this->has_load = false;
}

void SimulatedCluster::RunFor(Duration duration) {
  const TimePoint end = this->loop.now() + duration;
  while (this->loop.now() < end && !this->invariants.has_violation() &&
         this->loop.steps() < this->step_limit) {
    this->loop.RunOne();
  }
}

bool SimulatedCluster::HaveJobsEnded() {
  return std::all_of(this->jobs.begin(), this->jobs.end(),
                     [this](const auto& item) {
                       const Job* job = this->invariants.FindJob(item.first);
                       return job == nullptr || job->is_closed() ||
                              job->state == JobState::kReceiving;
                     });
}

void SimulatedCluster::Run(std::uint64_t steps) {
  this->step_limit = steps;
  while (this->loop.steps() < steps && !this->invariants.has_violation()) {
    this->has_load = true;
    this->has_faults = true;
    this->RunFor(kFaultPeriod);
    this->StopLoadAndFaults();
    const TimePoint deadline = this->loop.now() + kRecoveryTimeout;
    // The faults that were injected last end within this time.
    this->RunFor(std::chrono::seconds(20));
    while (!this->HaveJobsEnded() && this->loop.now() < deadline &&
           this->loop.steps() < steps && !this->invariants.has_violation()) {
      this->RunFor(kRecoveryCheckInterval);
    }
    this->RunFor(kRecoveryCheckInterval);
    // If the run reaches its last step within this period, jobs may still be
    // unfinished, and the final state is not checked.
    if (this->loop.steps() < steps && !this->invariants.has_violation()) {
      ++this->fault_counts["quiet_times"];
      this->invariants.CheckFinalState();
      for (const auto& entry : this->entries) {
        this->invariants.Check(
            entry->rules_version() == this->invariants.rules_version(),
            entry->name() + " does not run the newest rules");
      }
    }
  }
}

std::map<std::string, std::uint64_t> SimulatedCluster::Counts() {
  auto counts = this->invariants.Counts();
  counts.insert(this->fault_counts.begin(), this->fault_counts.end());
  counts["steps"] = this->loop.steps();
  counts["appends"] = this->log.append_count();
  counts["virtual_seconds"] = static_cast<std::uint64_t>(
      ToSeconds(this->loop.now().time_since_epoch()));
  return counts;
}

}  // namespace crocus
