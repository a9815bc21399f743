#include "LibLedger/command_ledger.h"

#include <algorithm>
#include <utility>

#include "LibMessages/codec.h"

namespace crocus {

void CommandLedger::Apply(const LogPage& page) {
  if (page.first > this->next) {
    this->unread_through = page.first - 1;
    this->next = page.first;
  }
  for (const auto& record : page.records) {
    if (record.offset >= this->next) {
      this->ApplyRecord(record);
      this->next = record.offset + 1;
    }
  }
}

void CommandLedger::ApplyRecord(const LogRecord& record) {
  const auto append = Decode<records::Append>(record.data);
  if (!append || this->appends.contains(append->id)) {
    return;
  }
  this->TrackAppend(append->id, record.offset);
  for (const auto& envelope : append->records) {
    switch (static_cast<records::RecordType>(envelope.type)) {
      case records::RecordType::kEngineCommandIssued:
        if (const auto command =
                Decode<records::EngineCommandIssued>(envelope.body)) {
          this->highest_command[command->replica] = record.offset;
        }
        break;
      case records::RecordType::kDaemonRegistered:
        if (const auto registered =
                Decode<records::DaemonRegistered>(envelope.body)) {
          this->Register(*registered);
        }
        break;
      default:
        break;
    }
  }
}

void CommandLedger::Register(const records::DaemonRegistered& registered) {
  std::vector<messages::ReplicaFloor> replica_floors;
  for (const auto& replica : registered.replicas) {
    const auto found = this->highest_command.find(replica);
    const std::uint64_t newest_command =
        found == this->highest_command.end() ? 0 : found->second;
    replica_floors.push_back(
        {.replica = replica,
         .floor = std::max(newest_command, this->unread_through)});
  }
  this->floors.try_emplace(registered.incarnation, std::move(replica_floors));
}

void CommandLedger::TrackAppend(const std::string& id, std::uint64_t offset) {
  this->appends[id] = offset;
  this->append_order.push_back(id);
  if (this->append_order.size() > kMaximumTrackedAppends) {
    this->appends.erase(this->append_order.front());
    this->append_order.pop_front();
  }
}

std::optional<std::vector<messages::ReplicaFloor>> CommandLedger::FindFloors(
    std::uint64_t incarnation) const {
  const auto found = this->floors.find(incarnation);
  if (found == this->floors.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<std::uint64_t> CommandLedger::FindCommand(
    const std::string& append_id) const {
  const auto found = this->appends.find(append_id);
  if (found == this->appends.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace crocus
