#include "LibServing/stream_progress.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

namespace crocus {

namespace {

StreamEvent Parse(const std::string& bytes) {
  EventStreamParser parser;
  const auto events = parser.Feed(bytes);
  CHECK_EQUAL(1U, events.size());
  return events.front();
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: d\n\n";
}

}  // namespace

/// A stream whose first response broke off after event 4.
TEST_GROUP(StreamProgress_AfterEventFour) {
  StreamProgress progress{std::nullopt};

  void setup() override {
    this->progress.BeginResponse(false);
    for (int id = 0; id <= 4; ++id) {
      CHECK(this->Decide(Event(id)) == EventDecision::kForward);
    }
  }

  EventDecision Decide(const std::string& bytes) {
    return this->progress.Decide(Parse(bytes));
  }
};

// Guards against joining a stream with bytes that do not continue it.
TEST(StreamProgress_AfterEventFour, OnlyTheNextEventContinuesIt) {
  struct Case {
    std::string first;
    EventDecision decision;
    bool may_end;
  };
  const std::vector<Case> cases{
      {Event(5), EventDecision::kForward, true},
      {Event(4), EventDecision::kDrop, false},
      {Event(0), EventDecision::kDrop, false},
      {Event(6), EventDecision::kMalformed, false},
      {Event(500), EventDecision::kMalformed, false},
      {"data: error\n\n", EventDecision::kMalformed, false},
      {"event: error\ndata: {}\n\n", EventDecision::kMalformed, false},
      {": comment\n\n", EventDecision::kDrop, false},
      {"{\"error\":\"full\"}\n\n", EventDecision::kMalformed, false},
      {"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
       EventDecision::kMalformed, false},
      {"id: 5\nHTTP/1.1 500 Error\r\n\r\n", EventDecision::kMalformed, false},
      {"x-weight-version: 3\n" + Event(5), EventDecision::kForward, true},
  };
  for (const auto& [first, decision, may_end] : cases) {
    StreamProgress resumed = this->progress;
    resumed.BeginResponse(true);
    CHECK_FALSE(resumed.may_end());
    CHECK(resumed.Decide(Parse(first)) == decision);
    CHECK_EQUAL(may_end, resumed.may_end());
    CHECK_EQUAL(may_end ? 5U : 4U, *resumed.last_event());
  }
}

// Guards against an error of a replica, sent inside its own stream, that is
// taken for an event.
TEST(StreamProgress_AfterEventFour, HeadInTheMiddleOfAResponseIsMalformed) {
  CHECK(this->Decide("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n") ==
        EventDecision::kMalformed);
  CHECK(this->Decide(": comment\n\n") == EventDecision::kForward);
  CHECK(this->Decide("data: [DONE]\n\n") == EventDecision::kForward);
}

// Guards against a stream that has no event yet and takes none of its next
// replica.
TEST(StreamProgress_AfterEventFour, StreamWithoutEventsBeginsWithAnyEvent) {
  StreamProgress empty{std::nullopt};
  empty.BeginResponse(false);
  empty.BeginResponse(true);
  CHECK_FALSE(empty.may_end());
  CHECK(empty.Decide(Parse(Event(1))) == EventDecision::kForward);
  CHECK(empty.may_end());
}

// Guards against events that a caller has from an earlier request.
TEST(StreamProgress_AfterEventFour, EventsOfAnEarlierRequestAreDropped) {
  StreamProgress resumed{7};
  resumed.BeginResponse(false);
  CHECK(resumed.Decide(Parse(Event(7))) == EventDecision::kDrop);
  CHECK(resumed.Decide(Parse(Event(8))) == EventDecision::kForward);
}

}  // namespace crocus
