#include "Gateway/keyed_follower.h"

#include <algorithm>
#include <utility>

#include "LibEvents/event_log.h"

namespace crocus {

namespace {

/// Delay after a call that failed.
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
/// First timeout for a page of a snapshot. A lost response is detected after
/// it.
constexpr Duration kMinimumPageTimeout = std::chrono::milliseconds(1500);
/// Greatest timeout for a page of a snapshot. After a failure of all hosts,
/// they read their snapshots at the same time and share the store's outgoing
/// bandwidth: 300 hosts with 3,000 replicas need about 5 s.
constexpr Duration kMaximumPageTimeout = std::chrono::milliseconds(6000);

}  // namespace

KeyedFollower::KeyedFollower(boost::asio::io_context& loop,
                             platform::StoreClient& store,
                             KeyedFollowerOptions options)
    : store(store),
      options(std::move(options)),
      timer(loop),
      page_timeout(kMinimumPageTimeout) {}

void KeyedFollower::Start() {
  this->ReadSnapshot();
}

void KeyedFollower::Stop() {
  this->is_stopped = true;
  this->timer.cancel();
}

void KeyedFollower::Schedule(Duration delay) {
  if (this->is_stopped) {
    return;
  }
  this->timer.expires_after(delay);
  this->timer.async_wait([this](const auto& error) {
    if (error || this->is_stopped) {
      return;
    }
    if (this->next_offset) {
      this->ReadNextPage();
    } else {
      this->ReadSnapshot();
    }
  });
}

void KeyedFollower::ReadSnapshot() {
  this->store.ReadNewest({.topic = this->options.topic}, this->snapshot_key,
                         this->page_timeout, [this](auto page) {
                           if (this->is_stopped) {
                             return;
                           }
                           if (!page) {
                             if (page.error().code == ErrorCode::kTimeout) {
                               this->page_timeout = std::min(
                                   2 * this->page_timeout, kMaximumPageTimeout);
                             }
                             this->OnReadError(page.error());
                             return;
                           }
                           this->OnStoreResponse();
                           this->OnSnapshotPage(*page);
                         });
}

void KeyedFollower::RestartSnapshot() {
  this->next_offset.reset();
  this->synced_at = {};
  this->snapshot.clear();
  this->snapshot_key.clear();
  this->snapshot_end.reset();
  this->page_timeout = kMinimumPageTimeout;
  this->ReadSnapshot();
}

void KeyedFollower::OnSnapshotPage(const NewestPage& page) {
  if (!this->snapshot_end) {
    this->snapshot_end = page.end_offset;
  }
  this->snapshot.insert(this->snapshot.end(), page.records.begin(),
                        page.records.end());
  this->LogUnreadable(page.unreadable_records, page.end_offset);
  if (page.has_more && !page.last_key.empty()) {
    this->snapshot_key = page.last_key;
    this->ReadSnapshot();
    return;
  }
  this->FinishSnapshot();
}

void KeyedFollower::FinishSnapshot() {
  // Pages are read one after the other, so later ones may contain records
  // beyond the end offset of the first one. Those records are omitted here and
  // read from the log, in the order of their offsets.
  std::erase_if(this->snapshot, [this](const KeyedRecord& record) {
    return record.offset >= *this->snapshot_end;
  });
  std::sort(this->snapshot.begin(), this->snapshot.end(),
            [](const auto& left, const auto& right) {
              return left.offset < right.offset;
            });
  this->next_offset = this->snapshot_end;
  const auto records = std::exchange(this->snapshot, {});
  this->options.on_snapshot(records);
  this->ReadNextPage();
}

void KeyedFollower::ReadNextPage() {
  const TimePoint sent = BootTimeNow();
  this->last_read = sent;
  this->store.Read(
      {.topic = this->options.topic}, *this->next_offset,
      {.wait = this->options.wait}, [this, sent](auto page) {
        if (this->is_stopped) {
          return;
        }
        if (!page) {
          this->OnReadError(page.error());
          return;
        }
        this->OnStoreResponse();
        this->OnPage(*page, sent);
        const Duration since = BootTimeNow() - this->last_read;
        this->Schedule(std::max(Duration::zero(),
                                this->options.minimum_read_interval - since));
      });
}

void KeyedFollower::LogUnreadable(std::uint32_t records,
                                  std::uint64_t end_offset) const {
  if (records > 0) {
    LogEvent(Event::kStoreRecordsUnreadable,
             {{"topic", this->options.topic},
              {"records", std::to_string(records)},
              {"end_offset", std::to_string(end_offset)}});
  }
}

void KeyedFollower::OnPage(const KeyedPage& page, TimePoint sent) {
  this->LogUnreadable(page.unreadable_records, page.end_offset);
  for (const auto& record : page.records) {
    // Two reads may be in flight at once; each record is passed to `on_record`
    // once.
    if (record.offset >= *this->next_offset) {
      this->next_offset = record.offset + 1;
      this->options.on_record(record);
    }
  }
  // Records at the end may have been left out.
  this->next_offset = std::max(*this->next_offset, page.next_offset);
  if (*this->next_offset >= page.end_offset) {
    this->synced_at = std::max(this->synced_at, sent);
  }
}

void KeyedFollower::CatchUp(std::function<void(bool)> on_done) {
  if (!this->next_offset || this->is_stopped) {
    on_done(false);
    return;
  }
  const TimePoint sent = BootTimeNow();
  this->store.Read({.topic = this->options.topic}, *this->next_offset, {},
                   [this, sent, on_done = std::move(on_done)](auto page) {
                     if (!page || !this->next_offset) {
                       on_done(false);
                       return;
                     }
                     this->OnPage(*page, sent);
                     if (*this->next_offset >= page->end_offset) {
                       on_done(true);
                     } else {
                       this->CatchUp(on_done);
                     }
                   });
}

void KeyedFollower::OnReadError(const Error& error) {
  if (error.code == ErrorCode::kNotFound && this->next_offset) {
    // The records were deleted before they were read.
    this->RestartSnapshot();
    return;
  }
  if (!this->unavailable_since) {
    this->unavailable_since = BootTimeNow();
    LogEvent(Event::kStoreTopicLost,
             {{"topic", this->options.topic},
              {"reason", error.message},
              {"offset", std::to_string(this->next_offset.value_or(0))}});
    this->options.on_unavailable();
  }
  this->Schedule(kRetryDelay);
}

void KeyedFollower::OnStoreResponse() {
  if (!this->unavailable_since) {
    return;
  }
  const auto outage = std::chrono::duration_cast<std::chrono::milliseconds>(
      BootTimeNow() - *this->unavailable_since);
  this->unavailable_since.reset();
  LogEvent(Event::kStoreTopicRegained,
           {{"topic", this->options.topic},
            {"away_ms", std::to_string(outage.count())},
            {"offset", std::to_string(this->next_offset.value_or(0))}});
  this->options.on_recovered();
}

}  // namespace crocus
