#include "Entry/daemon_connections.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "LibEvents/event_log.h"
#include "LibNetwork/decode_frame.h"

namespace crocus {

DaemonConnections::DaemonConnections(boost::asio::io_context& context,
                                     messages::Hello hello,
                                     const std::vector<std::string>& daemons,
                                     DaemonHandlers handlers)
    : hello(std::move(hello)), handlers(std::move(handlers)) {
  for (const auto& daemon : daemons) {
    this->clients[daemon] = std::make_shared<FrameClient>(
        context, daemon,
        ConnectionHandlers{
            .on_open =
                [this, daemon](const auto& connection) {
                  this->OnOpen(daemon, connection);
                },
            .on_frame =
                [this, daemon](const auto& connection, const Frame& frame) {
                  this->OnFrame(daemon, connection, frame);
                },
            .on_closed = [this, daemon](
                             const auto&,
                             const auto&) { this->OnDisconnected(daemon); }});
  }
}

void DaemonConnections::Start() {
  for (const auto& [daemon, client] : this->clients) {
    client->Start();
  }
}

void DaemonConnections::Stop() {
  for (const auto& [daemon, client] : this->clients) {
    client->Stop();
  }
}

ReplicaView DaemonConnections::MakeView(
    const std::string& daemon,
    const DaemonState& state,
    const messages::ReplicaLoad& load) const {
  const auto outstanding = state.outstanding.find(load.replica);
  const auto at_report = state.outstanding_at_report.find(load.replica);
  return {
      .daemon = daemon,
      .daemon_name = state.hello.name,
      .availability_zone = state.hello.availability_zone,
      .region = state.hello.region,
      .load = load,
      .outstanding =
          outstanding == state.outstanding.end() ? 0 : outstanding->second,
      .outstanding_at_report = at_report == state.outstanding_at_report.end()
                                   ? 0
                                   : at_report->second,
      .reported = state.reported};
}

std::vector<ReplicaView> DaemonConnections::AllReplicas() const {
  std::lock_guard lock(this->mutex);
  std::vector<ReplicaView> views;
  for (const auto& [daemon, state] : this->daemons) {
    for (const auto& [name, load] : state.replicas) {
      views.push_back(this->MakeView(daemon, state, load));
    }
  }
  return views;
}

std::vector<DaemonView> DaemonConnections::Daemons() const {
  std::lock_guard lock(this->mutex);
  std::vector<DaemonView> views;
  for (const auto& [address, client] : this->clients) {
    DaemonView view{.address = address, .is_connected = client->is_connected()};
    if (const auto state = this->daemons.find(address);
        state != this->daemons.end()) {
      view.name = state->second.hello.name;
      view.availability_zone = state->second.hello.availability_zone;
      view.region = state->second.hello.region;
      view.rules_version = state->second.hello.rules_version;
    }
    views.push_back(std::move(view));
  }
  return views;
}

void DaemonConnections::OnRulesVersion(const std::string& daemon,
                                       std::uint64_t version) {
  std::uint64_t own_version = 0;
  {
    std::lock_guard lock(this->mutex);
    own_version = this->rules.version;
    this->daemons[daemon].hello.rules_version = version;
  }
  if (version > own_version) {
    this->Send(daemon, messages::RulesQuery{.known_version = own_version});
  }
}

std::vector<ReplicaView> DaemonConnections::ReplicasFor(
    const std::string& model) const {
  std::lock_guard lock(this->mutex);
  std::vector<ReplicaView> views;
  for (const auto& [daemon, state] : this->daemons) {
    for (const auto& [name, load] : state.replicas) {
      const auto& models = load.models;
      if (!load.leaving &&
          std::find(models.begin(), models.end(), model) != models.end()) {
        views.push_back(this->MakeView(daemon, state, load));
      }
    }
  }
  return views;
}

Result<void> DaemonConnections::Execute(const std::string& daemon,
                                        const messages::Execute& execute,
                                        AttemptCallbacks callbacks) {
  const auto client = this->clients.find(daemon);
  if (client == this->clients.end()) {
    return Failure(ErrorCode::kNotFound,
                   "the settings contain no daemon " + daemon);
  }
  std::lock_guard lock(this->mutex);
  TRY(client->second->Send(MakeFrame(execute)));
  this->attempts[execute.attempt] = {.daemon = daemon,
                                     .replica = execute.replica,
                                     .callbacks = std::move(callbacks)};
  ++this->daemons[daemon].outstanding[execute.replica];
  return {};
}

void DaemonConnections::Revoke(const std::string& daemon,
                               const std::string& attempt,
                               std::function<void(Verdict)> on_reply) {
  const auto client = this->clients.find(daemon);
  bool is_sent = false;
  if (client != this->clients.end()) {
    std::lock_guard lock(this->mutex);
    if (!this->attempts.contains(attempt)) {
      // The attempt's connection was lost, and the daemon may have restarted
      // since. It would then have no record of the attempt and would report
      // that it did not run.
      on_reply = [on_reply](Verdict) { on_reply(Verdict::kMayHaveRun); };
    }
    const std::uint64_t correlation = this->next_correlation++;
    is_sent =
        client->second
            ->Send(MakeFrame(messages::Revoke{.attempt = attempt}, correlation))
            .has_value();
    if (is_sent) {
      this->revokes[correlation] = {.daemon = daemon, .on_reply = on_reply};
    }
  }
  if (!is_sent) {
    on_reply(Verdict::kMayHaveRun);
  }
}

void DaemonConnections::PushRules(const messages::RulesPush& rules) {
  {
    std::lock_guard lock(this->mutex);
    if (rules.version <= this->rules.version) {
      return;
    }
    this->rules = rules;
  }
  for (const auto& [daemon, client] : this->clients) {
    client->Send(MakeFrame(rules));
  }
}

void DaemonConnections::OnOpen(const std::string& daemon,
                               const std::shared_ptr<Connection>& connection) {
  messages::RulesPush push;
  {
    std::lock_guard lock(this->mutex);
    this->daemons[daemon] = {};
    push = this->rules;
  }
  connection->Send(MakeFrame(this->hello));
  if (push.version > 0) {
    connection->Send(MakeFrame(push));
  }
}

void DaemonConnections::OnFrame(const std::string& daemon,
                                const std::shared_ptr<Connection>& connection,
                                const Frame& frame) {
  using messages::MessageType;
  if (this->handlers.on_frame) {
    this->handlers.on_frame(daemon, frame);
  }
  switch (frame.type) {
    case MessageType::kHello:
      if (auto hello = DecodeOrClose<messages::Hello>(connection, frame)) {
        const std::uint64_t version = hello->rules_version;
        {
          std::lock_guard lock(this->mutex);
          this->daemons[daemon].hello = std::move(*hello);
        }
        this->OnRulesVersion(daemon, version);
      }
      return;
    case MessageType::kLoadReport:
      if (const auto report =
              DecodeOrClose<messages::LoadReport>(connection, frame)) {
        this->OnLoadReport(daemon, *report);
        this->OnRulesVersion(daemon, report->rules_version);
        this->handlers.on_load();
      }
      return;
    case MessageType::kRulesPush:
      if (const auto rules =
              DecodeOrClose<messages::RulesPush>(connection, frame)) {
        this->handlers.on_rules(daemon, *rules);
      }
      return;
    case MessageType::kLoadChange:
      if (const auto change =
              DecodeOrClose<messages::LoadChange>(connection, frame)) {
        this->OnLoadChange(daemon, *change);
        this->OnRulesVersion(daemon, change->rules_version);
        this->handlers.on_load();
      }
      return;
    case MessageType::kTokenChunk:
      if (const auto chunk =
              DecodeOrClose<messages::TokenChunk>(connection, frame)) {
        std::function<void(const messages::TokenChunk&)> on_chunk;
        {
          std::lock_guard lock(this->mutex);
          if (const auto found = this->attempts.find(chunk->attempt);
              found != this->attempts.end()) {
            on_chunk = found->second.callbacks.on_chunk;
          }
        }
        if (on_chunk) {
          on_chunk(*chunk);
        }
      }
      return;
    case MessageType::kAttemptDone:
      if (const auto done =
              DecodeOrClose<messages::AttemptDone>(connection, frame)) {
        this->OnDone(*done);
      }
      return;
    case MessageType::kOfferResults:
      if (const auto offer =
              DecodeOrClose<messages::OfferResults>(connection, frame)) {
        this->handlers.on_offer(daemon, *offer);
        for (const auto& result : offer->results) {
          this->OnDone(result.done);
        }
      }
      return;
    case MessageType::kRevokeReply:
      if (const auto reply =
              DecodeOrClose<messages::RevokeReply>(connection, frame)) {
        this->OnRevokeReply(frame.correlation, *reply);
      }
      return;
    case MessageType::kLeavingNotice:
      if (const auto notice =
              DecodeOrClose<messages::LeavingNotice>(connection, frame)) {
        this->OnLeaving(daemon, *notice);
      }
      return;
    default:
      return;
  }
}

void DaemonConnections::OnLoadChange(const std::string& daemon,
                                     const messages::LoadChange& change) {
  std::lock_guard lock(this->mutex);
  auto& state = this->daemons[daemon];
  auto& replicas = state.replicas;
  state.outstanding_at_report = state.outstanding;
  state.reported = MonotonicNow();
  for (auto& [name, load] : replicas) {
    load.leaving = change.leaving;
  }
  for (const auto& load_change : change.replicas) {
    if (load_change.index >= replicas.size()) {
      continue;
    }
    // A full report lists the replicas in the order of their names.
    auto& load = std::next(replicas.begin(), load_change.index)->second;
    load.online_running = load_change.online_running;
    load.online_waiting = load_change.online_waiting;
    load.batch_running = load_change.batch_running;
    load.batch_room = load_change.batch_room;
  }
}

void DaemonConnections::OnLoadReport(const std::string& daemon,
                                     const messages::LoadReport& report) {
  std::lock_guard lock(this->mutex);
  auto& state = this->daemons[daemon];
  for (const auto& load : report.replicas) {
    state.replicas[load.replica] = load;
  }
  state.outstanding_at_report = state.outstanding;
  state.reported = MonotonicNow();
}

void DaemonConnections::OnLeaving(const std::string& daemon,
                                  const messages::LeavingNotice& notice) {
  std::lock_guard lock(this->mutex);
  auto& state = this->daemons[daemon];
  for (const auto& replica : notice.replicas) {
    if (const auto found = state.replicas.find(replica);
        found != state.replicas.end()) {
      found->second.leaving = true;
    }
  }
}

void DaemonConnections::OnRevokeReply(std::uint64_t correlation,
                                      const messages::RevokeReply& reply) {
  std::function<void(Verdict)> on_reply;
  {
    std::lock_guard lock(this->mutex);
    if (const auto found = this->revokes.find(correlation);
        found != this->revokes.end()) {
      on_reply = std::move(found->second.on_reply);
      this->revokes.erase(found);
    }
  }
  if (on_reply) {
    on_reply(reply.verdict);
  }
  if (reply.verdict == Verdict::kNotRun) {
    // The daemon sends no end for an attempt that will not start.
    this->OnDone({.attempt = reply.attempt,
                  .verdict = Verdict::kNotRun,
                  .reason = "revoked"});
  }
}

void DaemonConnections::OnDone(const messages::AttemptDone& done) {
  AttemptCallbacks callbacks;
  {
    std::lock_guard lock(this->mutex);
    const auto found = this->attempts.find(done.attempt);
    if (found == this->attempts.end()) {
      return;
    }
    auto& outstanding =
        this->daemons[found->second.daemon].outstanding[found->second.replica];
    outstanding -= outstanding > 0 ? 1 : 0;
    callbacks = std::move(found->second.callbacks);
    this->attempts.erase(found);
  }
  if (callbacks.on_done) {
    callbacks.on_done(done);
  }
}

void DaemonConnections::OnDisconnected(const std::string& daemon) {
  std::vector<std::string> orphaned_attempts;
  std::vector<std::function<void(Verdict)>> orphaned_revokes;
  {
    std::lock_guard lock(this->mutex);
    this->daemons.erase(daemon);
    for (const auto& [attempt, pending] : this->attempts) {
      if (pending.daemon == daemon) {
        orphaned_attempts.push_back(attempt);
      }
    }
    std::erase_if(this->revokes, [&](auto& item) {
      if (item.second.daemon != daemon) {
        return false;
      }
      orphaned_revokes.push_back(std::move(item.second.on_reply));
      return true;
    });
  }
  for (const auto& attempt : orphaned_attempts) {
    this->OnDone({.attempt = attempt,
                  .verdict = Verdict::kMayHaveRun,
                  .reason = "connection_lost"});
  }
  for (const auto& on_reply : orphaned_revokes) {
    on_reply(Verdict::kMayHaveRun);
  }
  this->handlers.on_disconnected(daemon);
}

}  // namespace crocus
