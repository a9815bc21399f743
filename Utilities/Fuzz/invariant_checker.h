#ifndef FUZZ_INVARIANT_CHECKER_H_
#define FUZZ_INVARIANT_CHECKER_H_

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
inline constexpr const char* kFailingPromptMark = "[impossible]";

/// Sees everything that happens in the simulated system and checks what must
/// always hold. The first broken invariant is kept.
class InvariantChecker {
 public:
  struct Item {
    std::string prompt;
    std::uint32_t max_tokens = 0;
  };

  explicit InvariantChecker(std::uint32_t partition_count)
      : partition_count(partition_count) {}

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
  void OnDaemonCrash(const std::set<std::string>& attempts);
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
  void CheckFinalState();

  bool has_violation() const { return !this->first_violation.empty(); }
  const std::string& violation() const { return this->first_violation; }
  std::uint64_t rules_version() const { return this->rules.version(); }
  const Job* FindJob(const std::string& job);
  std::map<std::string, std::uint64_t> Counts();

  void Check(bool condition, const std::string& message) {
    if (!condition && this->first_violation.empty()) {
      this->first_violation = message;
    }
  }

 private:
  /// Applies a batch record; results of an earlier owner must change nothing.
  void ApplyBatchRecord(std::uint32_t partition, const LogRecord& record);
  std::uint64_t CountFinishedItems(std::uint32_t partition) const;
  void CheckJob(const std::string& id, const std::vector<Item>& items);

  const std::uint32_t partition_count;
  std::map<std::uint32_t, PartitionLedger> ledgers;
  std::map<std::string, std::vector<LogRecord>> records;
  RulesLedger rules;
  std::map<std::string, std::vector<Item>> jobs;
  std::set<std::string> acknowledged_jobs;
  std::set<std::string> cancelled_jobs;
  std::map<std::string, std::string> engine_runs;
  std::map<std::string, std::uint32_t> non_repeatable_runs;
  std::set<std::string> running_attempts;
  std::map<std::string, std::string> attempt_requests;
  std::set<std::string> not_run_attempts;
  std::map<std::string, std::uint64_t> process_rules_versions;
  std::map<std::uint64_t, std::uint32_t> accepted_publishes;
  std::set<std::string> accepted_texts;
  /// Epoch of each partition by a replay of the claims alone.
  std::map<std::uint32_t, std::uint64_t> claimed_epochs;
  std::uint64_t online_answers = 0;
  std::string first_violation;
};

}  // namespace crocus

#endif  // FUZZ_INVARIANT_CHECKER_H_
