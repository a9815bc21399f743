#include "Entry/command_follower.h"

#include <algorithm>
#include <utility>

#include "LibCore/time.h"
#include "LibEvents/event_log.h"
#include "LibHttp/json_response.h"
#include "LibLedger/append.h"

namespace crocus {

namespace {

constexpr std::uint32_t kRecordsPerRead = 256;

/// Interval at which daemons without floors are registered or sent their
/// floors.
constexpr std::chrono::milliseconds kLoopInterval{50};

/// Longest time that the stream is searched for an append whose reply was lost.
constexpr std::chrono::seconds kSearchTimeout{10};

/// Longest time that the issuer of a command waits for the daemon's reply.
constexpr std::chrono::seconds kReplyTimeout{5};

}  // namespace

CommandFollower::CommandFollower(const EntrySettings& settings,
                                 DaemonConnections& daemon_connections)
    : settings(settings),
      daemon_connections(daemon_connections),
      log(settings.platform.log_url) {}

CommandFollower::~CommandFollower() {
  this->Stop();
}

void CommandFollower::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void CommandFollower::Stop() {
  this->is_stopping = true;
  this->wake.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void CommandFollower::OnFrame(const std::string& daemon, const Frame& frame) {
  using messages::MessageType;
  std::lock_guard lock(this->mutex);
  if (frame.type == MessageType::kHello) {
    if (const auto hello = Decode<messages::Hello>(frame.body)) {
      this->daemons[daemon] = {.name = hello->name,
                               .incarnation = hello->incarnation};
    }
  } else if (frame.type == MessageType::kLoadReport) {
    auto& state = this->daemons[daemon];
    if (!state.replicas.empty()) {
      return;
    }
    if (const auto report = Decode<messages::LoadReport>(frame.body)) {
      for (const auto& load : report->replicas) {
        state.replicas.push_back(load.replica);
      }
      this->wake.notify_all();
    }
  } else if (frame.type == MessageType::kEngineCommandReply) {
    const auto found = this->replies.find(frame.correlation);
    const auto reply = Decode<messages::EngineCommandReply>(frame.body);
    if (found != this->replies.end() && reply) {
      found->second = *reply;
      this->wake.notify_all();
    }
  }
}

void CommandFollower::OnDisconnected(const std::string& daemon) {
  std::lock_guard lock(this->mutex);
  this->daemons.erase(daemon);
}

void CommandFollower::Run() {
  while (!this->is_stopping) {
    this->SendFloors();
    std::unique_lock lock(this->mutex);
    this->wake.wait_for(lock, kLoopInterval);
  }
}

Result<void> CommandFollower::CatchUp() {
  std::lock_guard catch_up_lock(this->catch_up_mutex);
  for (;;) {
    std::uint64_t from = 0;
    {
      std::lock_guard lock(this->mutex);
      from = this->ledger.next_offset();
    }
    TRY_ASSIGN(const LogPage page,
               this->log.Read(kCommandStream, from, kRecordsPerRead));
    std::lock_guard lock(this->mutex);
    this->ledger.Apply(page);
    if (this->ledger.next_offset() >= page.next) {
      return {};
    }
  }
}

void CommandFollower::SendFloors() {
  const auto lacks_floor = [](const auto& item) {
    return !item.second.has_floor && !item.second.replicas.empty();
  };
  {
    std::lock_guard lock(this->mutex);
    if (std::none_of(this->daemons.begin(), this->daemons.end(), lacks_floor)) {
      return;
    }
  }
  if (!this->CatchUp()) {
    return;
  }
  std::vector<std::pair<std::string, messages::FencingFloors>> floor_messages;
  std::vector<records::Envelope> registrations;
  {
    std::lock_guard lock(this->mutex);
    for (auto& item : this->daemons) {
      auto& [address, state] = item;
      if (!lacks_floor(item)) {
        continue;
      }
      if (auto floors = this->ledger.FindFloors(state.incarnation)) {
        state.has_floor = true;
        floor_messages.emplace_back(
            address, messages::FencingFloors{.incarnation = state.incarnation,
                                             .floors = std::move(*floors)});
      } else {
        registrations.push_back(MakeEnvelope(
            records::DaemonRegistered{.daemon = state.name,
                                      .incarnation = state.incarnation,
                                      .replicas = state.replicas}));
        LogEvent(Event::kDaemonRegistered,
                 {{"daemon", state.name},
                  {"incarnation", std::to_string(state.incarnation)}});
      }
    }
  }
  for (const auto& [address, message] : floor_messages) {
    this->daemon_connections.Send(address, message);
  }
  this->Register(registrations);
}

void CommandFollower::Register(
    const std::vector<records::Envelope>& registrations) {
  if (registrations.empty()) {
    return;
  }
  // The floors are read from the stream, so an append whose reply was lost
  // needs no search: the next pass finds its record or registers the daemon
  // again, and the first registration counts.
  const auto appended = this->log.Append(
      kCommandStream,
      Encode(MakeAppend(this->settings.host.name, registrations)));
  if (!appended) {
    LogEvent(Event::kLogUnavailable, {{"stream", kCommandStream},
                                      {"reason", appended.error().message}});
  }
}

Result<std::uint64_t> CommandFollower::Append(
    const records::EngineCommandIssued& command) {
  const auto append =
      MakeAppend(this->settings.host.name, {MakeEnvelope(command)});
  const auto appended = this->log.Append(kCommandStream, Encode(append));
  if (appended || appended.error().verdict == Verdict::kNotRun) {
    return appended;
  }
  LogEvent(Event::kAppendUnknown,
           {{"stream", kCommandStream}, {"record", append.id}});
  const TimePoint deadline = MonotonicNow() + kSearchTimeout;
  while (MonotonicNow() < deadline && !this->is_stopping) {
    if (this->CatchUp()) {
      std::lock_guard lock(this->mutex);
      if (const auto offset = this->ledger.FindCommand(append.id)) {
        return *offset;
      }
    }
    std::this_thread::sleep_for(kLoopInterval);
  }
  return appended;
}

std::optional<std::string> CommandFollower::FindDaemon(
    const std::string& replica) const {
  std::lock_guard lock(this->mutex);
  for (const auto& [address, state] : this->daemons) {
    if (std::find(state.replicas.begin(), state.replicas.end(), replica) !=
        state.replicas.end()) {
      return address;
    }
  }
  return std::nullopt;
}

std::optional<messages::EngineCommandReply> CommandFollower::WaitForReply(
    std::uint64_t fencing) {
  std::unique_lock lock(this->mutex);
  this->wake.wait_for(lock, kReplyTimeout, [this, fencing] {
    return this->replies[fencing].has_value() || this->is_stopping;
  });
  const auto reply = this->replies[fencing];
  this->replies.erase(fencing);
  return reply;
}

HttpResponse CommandFollower::Issue(const HttpRequest& request) {
  const auto json = ParseCallerObject(request.body);
  if (!json) {
    return JsonResponse(400, {{"error", "the body is not a JSON object"}});
  }
  const records::EngineCommandIssued command{
      .replica = json->value("replica", ""),
      .action = json->value("action", ""),
      .argument = json->value("argument", "")};
  const auto daemon = this->FindDaemon(command.replica);
  if (!daemon) {
    return JsonResponse(404, {{"error", "no daemon serves replica \"" +
                                            command.replica + "\""}});
  }
  const auto fencing = this->Append(command);
  if (!fencing) {
    return JsonResponse(503, {{"error", fencing.error().message}});
  }
  {
    std::lock_guard lock(this->mutex);
    this->replies[*fencing] = std::nullopt;
  }
  this->daemon_connections.Send(
      *daemon,
      messages::EngineCommand{.replica = command.replica,
                              .action = command.action,
                              .argument = command.argument,
                              .fencing = *fencing},
      *fencing);
  const auto reply = this->WaitForReply(*fencing);
  if (!reply) {
    return JsonResponse(202, {{"fencing", *fencing}, {"accepted", nullptr}});
  }
  return JsonResponse(reply->accepted ? 200 : 409,
                      {{"fencing", *fencing},
                       {"accepted", reply->accepted},
                       {"reason", reply->reason}});
}

}  // namespace crocus
