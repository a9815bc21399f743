#include "rules_operator.h"

#include <utility>

#include "LibLedger/append.h"

namespace crocus {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
constexpr Duration kReadInterval = std::chrono::milliseconds(300);

}  // namespace

RulesOperator::RulesOperator(EventLoop& loop,
                             InvariantChecker& checker,
                             VirtualLog& log,
                             std::string name,
                             std::uint64_t seed)
    : loop(loop),
      checker(checker),
      log(log),
      name(std::move(name)),
      queue({.writer = this->name}, this->name, seed) {
  this->state.incarnation = 1;
  this->Tick();
}

void RulesOperator::Publish() {
  if (this->pending_base) {
    return;
  }
  this->pending_base = this->ledger.version();
  this->pending_append_id.clear();
  this->text = "workspace " + this->name + "-" +
               std::to_string(++this->publishes) + " share=2  # " + this->name +
               ": a randomised run\n";
  const auto added = this->queue.Add(
      this->publishes,
      MakeEnvelope(records::RulesPublished{.base_version = *this->pending_base,
                                           .text = this->text,
                                           .author = this->name}),
      this->loop.now());
  this->checker.Check(added.has_value(), "the operator's append queue is full");
}

void RulesOperator::Tick() {
  if (!this->is_reading && this->next_read <= this->loop.now()) {
    this->Read();
  }
  this->RunAppendQueue();
  this->loop.Post(this->state, kTickInterval, [this] { this->Tick(); });
}

void RulesOperator::Read() {
  this->is_reading = true;
  this->log.Read(
      this->state, kRulesStream, this->ledger.next_offset(), 64,
      [this](const auto& page) {
        this->is_reading = false;
        this->next_read = this->loop.now() + kReadInterval;
        if (!page) {
          return;
        }
        this->ledger.Apply(*page, [this](const PublishOutcome& outcome) {
          if (this->pending_base &&
              outcome.append_id == this->pending_append_id) {
            this->checker.OnPublishReported(*this->pending_base, this->text,
                                            outcome.is_accepted);
            this->checker.Check(
                !outcome.is_accepted ||
                    outcome.version == *this->pending_base + 1,
                "an accepted publish does not have the version after its base");
            this->pending_base.reset();
          }
        });
      });
}

void RulesOperator::RunAppendQueue() {
  if (this->is_writing) {
    return;
  }
  const AppendStep step = this->queue.Next(this->loop.now());
  if (step.kind == AppendStep::Kind::kWait) {
    return;
  }
  this->is_writing = true;
  if (step.kind == AppendStep::Kind::kAppend) {
    // A copy of the previous publish that becomes visible late has another id
    // and is ignored.
    this->pending_append_id = this->queue.append_id();
    this->log.Append(this->state, kRulesStream, step.data,
                     [this](const auto& outcome) {
                       this->is_writing = false;
                       this->queue.OnAppend(outcome, this->loop.now());
                     });
  } else {
    this->log.Read(this->state, kRulesStream, step.from, step.limit,
                   [this](const auto& page) {
                     this->is_writing = false;
                     this->queue.OnRead(page, this->loop.now());
                   });
  }
}

}  // namespace crocus
