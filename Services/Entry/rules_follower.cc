#include "Entry/rules_follower.h"

#include <utility>

#include "LibCore/random.h"
#include "LibEvents/event_log.h"
#include "LibLedger/rules_reader.h"
#include "LibRules/rule_parser.h"

namespace crocus {

namespace {

/// Limits the duration of a poll, so that a log that does not respond delays a
/// change by a few seconds only.
constexpr std::chrono::seconds kLogTimeout{3};

}  // namespace

RulesFollower::RulesFollower(
    const EntrySettings& settings,
    std::function<void(const messages::RulesPush&)> on_change)
    : settings(settings),
      on_change(std::move(on_change)),
      log(settings.platform.log_url, kLogTimeout),
      last_carry(MonotonicNow()),
      rules(std::make_shared<RuleSet>()) {}

RulesFollower::~RulesFollower() {
  this->Stop();
}

void RulesFollower::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void RulesFollower::Stop() {
  {
    std::lock_guard lock(this->mutex);
    this->is_stopping = true;
  }
  this->wake.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

std::shared_ptr<const RuleSet> RulesFollower::Current() const {
  std::lock_guard lock(this->mutex);
  return this->rules;
}

messages::RulesPush RulesFollower::CurrentRulesPush() const {
  std::lock_guard lock(this->mutex);
  return {.version = this->rules->version, .text = this->text};
}

bool RulesFollower::is_ready() const {
  return !this->settings.platform.require_rules || this->version() > 0;
}

bool RulesFollower::is_log_available() const {
  std::lock_guard lock(this->mutex);
  return this->log_available;
}

void RulesFollower::OnPeerRules(const std::string& peer,
                                const messages::RulesPush& push) {
  if (push.version <= this->version()) {
    return;
  }
  auto parsed = ParseRules("rules", push.text);
  if (!parsed) {
    LogEvent(Event::kRulesRejected, {{"peer", peer},
                                     {"version", std::to_string(push.version)},
                                     {"reason", parsed.error().message}});
    return;
  }
  LogEvent(Event::kPeerRules,
           {{"peer", peer}, {"version", std::to_string(push.version)}});
  parsed->rules.version = push.version;
  this->Activate(push,
                 std::make_shared<const RuleSet>(std::move(parsed->rules)));
}

void RulesFollower::Activate(const messages::RulesPush& push,
                             const std::shared_ptr<const RuleSet>& rules) {
  std::lock_guard change_lock(this->change_mutex);
  {
    std::lock_guard lock(this->mutex);
    if (push.version <= this->rules->version) {
      return;
    }
    this->rules = rules;
    this->text = push.text;
  }
  LogEvent(Event::kRulesInForce, {{"version", std::to_string(push.version)}});
  this->on_change(push);
}

void RulesFollower::Run() {
  std::unique_lock lock(this->mutex);
  while (!this->is_stopping) {
    lock.unlock();
    this->FollowLog();
    lock.lock();
    this->wake.wait_for(lock, this->settings.platform.rules_poll,
                        [this] { return this->is_stopping; });
  }
}

void RulesFollower::FollowLog() {
  if (!this->has_started_ledger) {
    if (const auto started = StartNearTail(this->log, this->ledger); !started) {
      this->SetLogAvailable(false, started.error().message);
      return;
    }
    this->has_started_ledger = true;
  }
  const auto caught_up =
      CatchUp(this->log, this->ledger, [](const PublishOutcome& outcome) {
        if (!outcome.is_accepted) {
          LogEvent(Event::kPublishRefused,
                   {{"author", outcome.author},
                    {"offset", std::to_string(outcome.offset)},
                    {"reason", outcome.reason}});
        }
      });
  this->SetLogAvailable(caught_up.has_value(),
                        caught_up ? "" : caught_up.error().message);
  if (this->ledger.version() > this->version()) {
    this->Activate(
        {.version = this->ledger.version(), .text = this->ledger.text()},
        this->ledger.rules());
  }
  if (caught_up) {
    this->CarryForward();
  }
}

void RulesFollower::CarryForward() {
  if (!this->ledger.is_known()) {
    if (!std::exchange(this->is_unknown_state_logged, true)) {
      LogEvent(Event::kRulesStateUnknown,
               {{"first_offset", std::to_string(this->ledger.start_offset())}});
    }
    return;
  }
  this->is_unknown_state_logged = false;
  const TimePoint now = MonotonicNow();
  if (this->ledger.carried_offset() != this->last_carried_offset) {
    this->last_carried_offset = this->ledger.carried_offset();
    // Because of the jitter, in most cases a single entry carries the rules
    // forward for all entries.
    const auto jitter = std::chrono::milliseconds(
        SystemRandom() % this->settings.platform.rules_carry.count() / 4);
    this->last_carry = now + jitter;
  }
  const std::uint64_t uncarried_records =
      this->ledger.next_offset() - 1 - this->ledger.carried_through();
  // If records after the last carried state were trimmed, a new reader cannot
  // start.
  const bool has_gap =
      this->ledger.oldest_kept() > this->ledger.carried_through() + 1;
  const bool is_due =
      has_gap || now - this->last_carry >= this->settings.platform.rules_carry;
  if (this->ledger.next_offset() == 1 ||
      (!is_due && uncarried_records < kRecordsPerCarry)) {
    return;
  }
  const auto carried = this->log.Append(
      kRulesStream,
      Encode(MakeAppend(this->settings.host.name,
                        {MakeEnvelope(this->ledger.MakeCarried())})));
  // After a failure with an unknown outcome, the next poll shows whether the
  // record was appended.
  if (carried) {
    LogEvent(Event::kRulesCarried,
             {{"version", std::to_string(this->ledger.version())},
              {"offset", std::to_string(*carried)}});
  }
}

void RulesFollower::SetLogAvailable(bool is_available,
                                    const std::string& reason) {
  {
    std::lock_guard lock(this->mutex);
    if (this->log_available == is_available) {
      return;
    }
    this->log_available = is_available;
  }
  if (is_available) {
    LogEvent(Event::kLogAvailable, {{"stream", kRulesStream}});
  } else {
    LogEvent(Event::kLogUnavailable,
             {{"stream", kRulesStream}, {"reason", reason}});
  }
}

}  // namespace crocus
