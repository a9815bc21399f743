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

/// Returns the text that every simulated engine generates for a prompt.
std::string ExpectedAnswer(const std::string& prompt, std::uint32_t tokens);

/// Returns the text of one token of the expected answer.
std::string ExpectedToken(const std::string& prompt, std::uint32_t index);

/// Prompts that contain this fail at every engine.
inline constexpr const char* kFailingPromptMark = "[impossible]";

/// Receives every relevant event of the simulated cluster and checks the
/// system's invariants. Only the first violation is kept.
class InvariantChecker {
 public:
  struct Item {
    std::string prompt;
    std::uint32_t max_tokens = 0;
  };

  explicit InvariantChecker(std::uint32_t partition_count)
      : partition_count(partition_count) {}

  // Events of the log.
  void OnRecord(const std::string& stream, const LogRecord& record);

  // Events of batch jobs.
  void AddJob(const std::string& job, std::vector<Item> items);
  void OnJobAcknowledged(const std::string& job);
  void OnCancelAcknowledged(const std::string& job);
  /// Checks that an entry's ledger is not ahead of the log, and that it equals
  /// the checker's ledger if both have the same offset.
  void CheckEntryLedger(std::uint32_t partition,
                        const PartitionLedger& entry_ledger);
  void OnConfirm(const std::string& attempt, const std::string& request);

  // Events of attempts and of online requests.
  void OnEngineBegin(const messages::Execute& execute);
  void OnEngineEnd(const std::string& attempt);
  void OnDaemonCrash(const std::set<std::string>& attempts);
  void OnNotRun(const std::string& attempt);
  void OnOnlineAnswer(const std::string& request,
                      const std::string& prompt,
                      std::uint32_t tokens,
                      const std::string& text);

  // Events of rules.
  void OnRulesVersion(const std::string& process,
                      std::uint64_t incarnation,
                      std::uint64_t version);
  void OnPublishReported(std::uint64_t base,
                         const std::string& text,
                         bool is_accepted);

  /// Checks that all acknowledged jobs have ended, that all results are correct
  /// and that no attempt of a cancelled job still runs. Must be called at the
  /// end of a period without faults.
  void CheckFinalState();

  bool has_violation() const { return !this->first_violation.empty(); }
  const std::string& violation() const { return this->first_violation; }
  std::uint64_t rules_version() const { return this->rules.version(); }
  const Job* FindJob(const std::string& job);
  /// Returns the counts that crocus-fuzz prints, by name.
  std::map<std::string, std::uint64_t> Counts();

  /// Records `message` as the violation if `condition` is false and no earlier
  /// check has failed.
  void Check(bool condition, const std::string& message) {
    if (!condition && this->first_violation.empty()) {
      this->first_violation = message;
    }
  }

 private:
  /// Applies a batch record. Checks that results of an earlier owner have no
  /// effect and that the ledger's epoch is that of the newest valid claim.
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
  /// Request id by attempt, of all attempts that an engine has started.
  std::map<std::string, std::string> engine_runs;
  /// Number of engine runs by request, for requests that are not repeatable.
  std::map<std::string, std::uint32_t> non_repeatable_runs;
  std::set<std::string> running_attempts;
  /// Request id by attempt.
  std::map<std::string, std::string> attempt_requests;
  /// Attempts that were reported as not run.
  std::set<std::string> not_run_attempts;
  /// Newest rules version by process and incarnation.
  std::map<std::string, std::uint64_t> process_rules_versions;
  /// Number of accepted publishes by rules version.
  std::map<std::uint64_t, std::uint32_t> accepted_publishes;
  std::set<std::string> accepted_texts;
  /// Epoch of each partition, derived from the claim records alone.
  std::map<std::uint32_t, std::uint64_t> claimed_epochs;
  std::uint64_t online_answers = 0;
  std::string first_violation;
};

}  // namespace crocus

#endif  // FUZZ_INVARIANT_CHECKER_H_
