#include "LibServing/event_stream_parser.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

namespace crocus {

TEST_GROUP(EventStreamParser_AnyFragments){};

// Guards against events that are lost, joined or changed because the network
// splits the stream into fragments.
TEST(EventStreamParser_AnyFragments, EventsDoNotDependOnTheFragments) {
  CHECK(rc::check([] {
    std::string stream;
    const int count = *rc::gen::inRange(1, 12);
    for (int i = 0; i < count; ++i) {
      stream += "id: " + std::to_string(i) + "\ndata: d" + std::to_string(i) +
                (i % 3 == 0 ? "\r\n\r\n" : "\n\n");
    }
    EventStreamParser parser;
    std::string joined;
    std::uint64_t next = 0;
    for (std::size_t at = 0; at < stream.size();) {
      const auto length = *rc::gen::inRange<std::size_t>(1, 9);
      for (const auto& event :
           parser.Feed(std::string_view(stream).substr(at, length))) {
        RC_ASSERT(event.id == next);
        RC_ASSERT(event.data == "d" + std::to_string(next));
        joined += event.bytes;
        ++next;
      }
      at += length;
    }
    RC_ASSERT(next == static_cast<std::uint64_t>(count));
    RC_ASSERT(joined + parser.rest() == stream);
  }));
}

// Guards against returning the beginning of an incomplete event.
TEST(EventStreamParser_AnyFragments, IncompleteEventStaysInTheRest) {
  EventStreamParser parser;
  CHECK_EQUAL(1U, parser.Feed("id: 4\ndata: a\n\nid: 5\nda").size());
  STRCMP_EQUAL("id: 5\nda", parser.rest().c_str());
}

// Guards against a stream that looks complete although its server crashed.
TEST(EventStreamParser_AnyFragments, StreamCutInsideAnEventIsNotComplete) {
  for (const std::string rest :
       {"i", "id: 5\nda", "data: a\n", "data: a\r\n\r"}) {
    EventStreamParser parser;
    parser.Feed("id: 4\ndata: a\n\n" + rest);
    CHECK_FALSE(parser.IsCompleteAtEnd(true));
    CHECK_FALSE(parser.IsCompleteAtEnd(false));
  }
}

// Guards against breaking off sound streams, with blank lines at their end too.
TEST(EventStreamParser_AnyFragments, StreamThatEndsAfterAnEventIsComplete) {
  for (const std::string rest : {"", "\n", "\r\n"}) {
    EventStreamParser parser;
    parser.Feed("id: 4\ndata: a\n\n" + rest);
    CHECK_TRUE(parser.IsCompleteAtEnd(true));
    CHECK_TRUE(parser.IsCompleteAtEnd(false));
  }
}

// Guards against taking a crash before the first event for a complete stream.
TEST(EventStreamParser_AnyFragments, EmptyStreamIsCompleteByItsFramingOnly) {
  const EventStreamParser parser;
  CHECK_FALSE(parser.IsCompleteAtEnd(true));
  CHECK_TRUE(parser.IsCompleteAtEnd(false));
}

// Guards against treating a leading line with another field as data.
TEST(EventStreamParser_AnyFragments, OtherLinesAreKeptInTheBytesOnly) {
  EventStreamParser parser;
  const auto found = parser.Feed("weights: 3\nid: 1\ndata: a\ndata: b\n\n");
  CHECK_EQUAL(1U, found.size());
  STRCMP_EQUAL("a\nb", found[0].data.c_str());
  CHECK_TRUE(found[0].bytes.rfind("weights", 0) == 0);
}

}  // namespace crocus
