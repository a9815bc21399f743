#ifndef FUZZ_ORACLE_H_
#define FUZZ_ORACLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "LibLedger/log_client.h"
#include "LibLedger/partition_ledger.h"
#include "LibLedger/rules_ledger.h"
#include "LibMessages/messages.h"

namespace crocus {

/// Answer of the simulated engines; it depends on the prompt alone.
std::string ExpectedAnswer(const std::string& prompt, std::uint32_t tokens);

/// Text of one token of that answer.
std::string ExpectedToken(const std::string& prompt, std::uint32_t index);

/// Prompts that contain this fail at every engine.
inline constexpr const char* kImpossibleMark = "[impossible]";

/// Sees everything that happens in the simulated system and checks what must
/// always hold. The first broken invariant is kept.
class Oracle {
 public:
  struct Item {
    std::string prompt;
    std::uint32_t max_tokens = 0;
  };

  explicit Oracle(std::uint32_t partitions) : partitions(partitions) {}

  // What happens in the log.
  void OnRecord(const std::string& stream, const LogRecord& record);

  // Batch jobs.
  void AddJob(const std::string& job, std::vector<Item> items);
  void OnJobAcknowledged(const std::string& job);
  void OnCancelAcknowledged(const std::string& job);
  /// A replica of the ledger must agree with the oracle's at its offset.
  void CheckReplica(std::uint32_t partition, const PartitionLedger& replica);
  void OnConfirm(const std::string& attempt, const std::string& request);

  // Attempts at engines.
  void OnEngineBegin(const messages::Execute& execute);
  void OnEngineEnd(const std::string& attempt);
  void OnDaemonLost(const std::set<std::string>& attempts);
  void OnNotRun(const std::string& attempt);
  void OnOnlineAnswer(const std::string& request,
                      const std::string& prompt,
                      std::uint32_t tokens,
                      const std::string& text);

  // Processes.
  void OnRulesVersion(const std::string& process,
                      std::uint64_t incarnation,
                      std::uint64_t version);
  void OnPublishReported(std::uint64_t base,
                         const std::string& text,
                         bool is_accepted);

  /// Checks that everything accepted has come to its end; called after a quiet
  /// time without faults.
  void CheckSettled();

  bool has_failed() const { return !this->failure.empty(); }
  const std::string& failure_text() const { return this->failure; }
  std::uint64_t rules_version() const { return this->rules.version(); }
  const Job* FindJob(const std::string& job);
  std::map<std::string, std::uint64_t> Counts();

  void Check(bool condition, const std::string& message) {
    if (!condition && this->failure.empty()) {
      this->failure = message;
    }
  }

 private:
  /// Applies a batch record; results of an earlier owner must change nothing.
  void ApplyBatch(std::uint32_t partition, const LogRecord& record);
  std::uint64_t CountFinished(std::uint32_t partition) const;
  void CheckJob(const std::string& id, const std::vector<Item>& items);

  const std::uint32_t partitions;
  std::map<std::uint32_t, PartitionLedger> ledgers;
  std::map<std::string, std::vector<LogRecord>> records;
  RulesLedger rules;
  std::map<std::string, std::vector<Item>> jobs;
  std::set<std::string> acknowledged;
  std::set<std::string> cancelled;
  std::map<std::string, std::string> engine_runs;
  std::map<std::string, std::uint32_t> single_runs;
  std::set<std::string> running;
  std::map<std::string, std::string> running_requests;
  std::set<std::string> not_run;
  std::map<std::string, std::uint64_t> rules_versions;
  std::map<std::uint64_t, std::uint32_t> publishes;
  std::set<std::string> accepted_texts;
  /// Epoch of each partition by a replay of the claims alone.
  std::map<std::uint32_t, std::uint64_t> epochs;
  std::uint64_t online_answers = 0;
  std::string failure;
};

}  // namespace crocus

#endif  // FUZZ_ORACLE_H_
