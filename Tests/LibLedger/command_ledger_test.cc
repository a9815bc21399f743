#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "LibLedger/append.h"
#include "LibLedger/command_ledger.h"

namespace crocus {

namespace {

std::string Command(const std::string& replica) {
  return Encode(MakeAppend(
      "w", {MakeEnvelope(records::EngineCommandIssued{.replica = replica})}));
}

std::string Registration(std::uint64_t incarnation) {
  return Encode(MakeAppend(
      "w", {MakeEnvelope(records::DaemonRegistered{
               .incarnation = incarnation, .replicas = {"r", "other"}})}));
}

LogPage Page(std::uint64_t first, const std::vector<std::string>& texts) {
  LogPage page{.first = first, .next = first + texts.size()};
  for (std::uint64_t i = 0; i < texts.size(); ++i) {
    page.records.push_back({.offset = first + i, .data = texts[i]});
  }
  return page;
}

}  // namespace

TEST_GROUP(CommandLedger_RegisteredDaemon) {
  CommandLedger ledger;

  std::uint64_t FloorOf(std::uint64_t incarnation, std::size_t replica) {
    return this->ledger.FindFloors(incarnation)->at(replica).floor;
  }
};

// Guards against entries that compute different floors, and against a floor
// below a command that an earlier incarnation may have carried out.
TEST(CommandLedger_RegisteredDaemon,
     FloorIsTheHighestCommandBeforeItsFirstRecord) {
  this->ledger.Apply(Page(1, {Command("r"), Command("r"), Registration(7),
                              Command("r"), Registration(7), Registration(8)}));
  CHECK_EQUAL(2u, this->FloorOf(7, 0));
  CHECK_EQUAL(0u, this->FloorOf(7, 1));
  CHECK_EQUAL(4u, this->FloorOf(8, 0));
  CHECK_FALSE(this->ledger.FindFloors(9).has_value());
}

// Guards against a stale command that was trimmed from the head of the log.
TEST(CommandLedger_RegisteredDaemon, TrimmedCommandsAreBelowTheFloor) {
  this->ledger.Apply(Page(50, {Registration(7)}));
  CHECK_EQUAL(49u, this->FloorOf(7, 0));
}

// Guards against a command whose fencing number stays unknown because the reply
// to its append was lost.
TEST(CommandLedger_RegisteredDaemon, CommandIsFoundByTheIdOfItsAppend) {
  const std::string text = Command("r");
  this->ledger.Apply(Page(1, {Command("r"), text, text}));
  const auto append = Decode<records::Append>(text);
  CHECK_EQUAL(2u, *this->ledger.FindCommand(append->id));
  CHECK_EQUAL(4u, this->ledger.next_offset());
}

}  // namespace crocus
