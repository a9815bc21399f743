#include <CppUTest/TestHarness.h>

#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "GatewayFaults/replica_answer.h"
#include "LibAsyncHttp/http_serialization.h"
#include "PlatformStandin/gateway_fleet.h"
#include "PlatformStandin/scripted_server.h"

namespace crocus {

namespace {

constexpr std::uint32_t kOk = 200;

/// Bytes that a replica sends for the request of an id, which are no answer.
struct BrokenAnswer {
  std::string name;
  std::function<std::string(const std::string& id)> bytes;
};

/// Whether the gateway itself answered that the request failed and may have
/// run.
bool IsOwnFailure(const std::string& reply) {
  return (reply.starts_with("HTTP/1.1 502 ") ||
          reply.starts_with("HTTP/1.1 504 ")) &&
         reply.find(platform::header::kSignature) == std::string::npos;
}

/// Whether the reply is a stream that was visibly broken off.
bool IsBrokenStream(const std::string& reply) {
  return reply.starts_with("HTTP/1.1 200 ") &&
         reply.find("\r\nTransfer-Encoding: chunked\r\n") !=
             std::string::npos &&
         !reply.ends_with(kLastChunk);
}

std::string SoundAnswer(const std::string& id) {
  return SoundHead(id,
                   Field("Content-Length", std::to_string(kEvents.size()))) +
         kEvents;
}

/// A sound answer but for its status line.
BrokenAnswer WithStatusLine(const std::string& line) {
  return {.name = line, .bytes = [line](const std::string& id) {
            const std::string answer = SoundAnswer(id);
            return line + answer.substr(answer.find("\r\n"));
          }};
}

/// A body in chunks.
const std::string kChunks = "10\r\nid: 0\ndata: d0\n\n\r\n0\r\n\r\n";

/// An answer whose framing is `line`, and whose body is `body`.
BrokenAnswer WithFraming(const std::string& line, const std::string& body) {
  return {.name = line, .bytes = [line, body](const std::string& id) {
            return SoundHead(id, line) + body;
          }};
}

/// An answer with a line before its first field, or behind its last one.
BrokenAnswer WithLine(const std::string& line, bool is_first) {
  return {.name = line + (is_first ? " first" : " last"),
          .bytes = [line, is_first](const std::string& id) {
            std::string answer = SoundAnswer(id);
            answer.insert(answer.find(is_first ? "\r\n" : "\r\n\r\n") + 2,
                          line);
            return answer;
          }};
}

std::vector<BrokenAnswer> AnswersWithImpossibleStatus() {
  std::vector<BrokenAnswer> answers;
  for (const std::string line :
       {"HTTP/1.1 000 OK", "HTTP/1.1 000 ", "HTTP/1.0 000 OK",
        "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
        "HTTP/1.1 -20 OK", "HTTP/1.1 OK"}) {
    answers.push_back(WithStatusLine(line));
  }
  // No request asks for another protocol, so what follows is no answer.
  answers.push_back({.name = "101", .bytes = [](const std::string& id) {
                       return "HTTP/1.1 101 Switching Protocols\r\n\r\n" +
                              SoundAnswer(id);
                     }});
  return answers;
}

std::vector<BrokenAnswer> AnswersWithMalformedFieldNames() {
  std::vector<BrokenAnswer> answers;
  for (const std::string& line :
       {std::string("X Note: a\r\n"), std::string("X-Note : a\r\n"),
        std::string("X-Note\t: a\r\n"), std::string(" X-Note: a\r\n"),
        std::string("\tX-Note: a\r\n"), std::string("X\x01Note: a\r\n"),
        std::string("X\0Note: a\r\n", 11), std::string("X\x7fNote: a\r\n"),
        std::string("X\x0bNote: a\r\n"), std::string("X\rNote: a\r\n"),
        std::string("X\nNote: a\r\n"), std::string("X-Note\r\n"),
        std::string(": a\r\n"), std::string("X-Note: a\n")}) {
    answers.push_back(WithLine(line, true));
    answers.push_back(WithLine(line, false));
  }
  for (const std::string name : {" Transfer-Encoding", "\tTransfer-Encoding"}) {
    answers.push_back({.name = name + " last", .bytes = [=](const auto& id) {
                         std::string head = SoundHead(id, "");
                         head.insert(head.size() - 2, Field(name, "chunked"));
                         return head + kChunks;
                       }});
  }
  for (const std::string name :
       {"Transfer-Encoding ", " Transfer-Encoding", "\tTransfer-Encoding",
        "Transfer-Encoding\x01", "Transfer Encoding"}) {
    answers.push_back(WithFraming(Field(name, "chunked"), kChunks));
  }
  for (const std::string name :
       {"Content-Length ", " Content-Length", "Content-Length\x7f"}) {
    answers.push_back(WithFraming(Field(name, "3"), kEvents));
  }
  return answers;
}

/// Codings that the gateway does not decode, or a wrong list of them.
std::vector<BrokenAnswer> AnswersWithUnknownTransferCoding() {
  std::vector<BrokenAnswer> answers;
  for (const std::string coding :
       {"gzip, chunked", "gzip", "chunked, gzip", "identity, chunked",
        "xchunked", "chunked;q=1", "\"chunked\"", ""}) {
    const std::string line = Field("Transfer-Encoding", coding);
    answers.push_back(WithFraming(line, kChunks));
    answers.push_back(WithFraming(
        line + Field("Content-Length", std::to_string(kChunks.size())),
        kChunks));
  }
  answers.push_back(WithFraming(Field("Transfer-Encoding", "gzip") +
                                    Field("Transfer-Encoding", "chunked"),
                                kChunks));
  return answers;
}

/// Answers without a field that the fields after the last chunk have.
std::vector<BrokenAnswer> AnswersWithFieldsOfTheHeadInTheTrailer() {
  const std::string last_chunk = "0\r\n";
  const auto with_trailer = [&](const std::string& status,
                                std::string_view name) {
    return BrokenAnswer{
        .name = status + " with trailer " + std::string(name),
        .bytes = [=, field = Field(name, "1")](const std::string& id) {
          return "HTTP/1.1 " + status + "\r\n" +
                 Field(platform::header::kAttemptId, id) +
                 Field("Transfer-Encoding", "chunked") + "\r\n" + last_chunk +
                 field + "\r\n";
        }};
  };
  return {with_trailer("200 OK", platform::header::kSignature),
          with_trailer("503 Unavailable", platform::header::kNotExecuted)};
}

}  // namespace

/// Gateway before replicas that send bytes which are no answer.
TEST_GROUP(Gateway_BrokenAnswer) {
  GatewayFleet fleet;
  std::list<ScriptedServer> servers;
  /// What the replicas send.
  ScriptedResponse answer;
  /// How often a replica has received each request.
  std::map<std::string, int> requests;
  std::string wrong;
  int sent = 0;

  void AddReplica(const std::string& endpoint) {
    this->servers.emplace_back(
        this->fleet.loop, [this](const ScriptedRequest& request) {
          ++this->requests[request.id];
          return request.id.starts_with("warm")
                     ? ScriptedResponse{.bytes = SoundAnswer(request.id)}
                     : this->answer;
        });
    this->fleet.RegisterReplica("i-" + endpoint, endpoint,
                                this->servers.back().port(), "ready");
  }

  std::string NextId(const std::string& kind) {
    return kind + "-" + std::to_string(1000 + this->sent++);
  }

  /// Sends a request on a new connection and returns all bytes that come back
  /// until it is closed. They are not parsed, so that nothing is lost that the
  /// product's own parser would refuse.
  std::string SendRaw(RequestHead head, const std::string& body) {
    head.fields.Set("Connection", "close");
    const std::string request = SerializeRequest(head, body);
    std::string received;
    bool is_closed = false;
    boost::asio::ip::tcp::socket caller(this->fleet.loop);
    caller.connect(
        {boost::asio::ip::address_v4::loopback(), this->fleet.CallerPort("a")});
    boost::asio::async_write(caller, boost::asio::buffer(request),
                             [](const auto&, std::size_t) {});
    boost::asio::async_read(
        caller, boost::asio::dynamic_buffer(received),
        [&is_closed](const auto&, std::size_t) { is_closed = true; });
    CHECK(this->fleet.RunUntil([&is_closed] { return is_closed; }));
    return received;
  }

  /// Lets the replica send `answer` and notes in `wrong` if the caller gets it
  /// as an answer, or if the request counts as not run.
  void SendOne(const std::string& kind, const std::string& id,
               const std::string& description, const std::string& body) {
    const std::string reply =
        this->SendRaw(GatewayFleet::MakeRequestHead(kind, id), body);
    if (!IsOwnFailure(reply) && !IsBrokenStream(reply)) {
      this->wrong += kind + ", " + description + ": " +
                     reply.substr(0, reply.find("\r\n")) + "; ";
    }
    if (this->requests[id] != 1) {
      this->wrong += id + " reached the replica " +
                     std::to_string(this->requests[id]) + " times; ";
    }
  }

  void SendAll(const std::vector<BrokenAnswer>& answers) {
    for (const std::string kind : {"plain", "once", "stream", "resumable"}) {
      for (const bool is_kept : {false, true}) {
        for (const auto& broken : answers) {
          const std::string id = this->NextId(kind);
          if (is_kept) {
            const auto warm = this->fleet.Send(
                "a", GatewayFleet::MakeRequestHead(kind, "warm-" + id));
            CHECK_EQUAL(kOk, warm ? warm->head.status : 0U);
          }
          this->answer = {.bytes = broken.bytes(id), .closes = true};
          this->SendOne(kind, id, broken.name + (is_kept ? " kept" : " new"),
                        "");
        }
      }
    }
  }

  void setup() override {
    this->AddReplica("desk");
    this->AddReplica("model");
    this->fleet.StartGateway("a");
  }
};

// Guards against passing on a status that the protocol does not have.
TEST(Gateway_BrokenAnswer, WithImpossibleStatusIsNotPassedOn) {
  this->SendAll(AnswersWithImpossibleStatus());
  STRCMP_EQUAL("", this->wrong.c_str());
}

// Guards against passing on a line whose name is no field name, or a body that
// such a line frames in another way.
TEST(Gateway_BrokenAnswer, WithMalformedFieldNameIsNotPassedOn) {
  this->SendAll(AnswersWithMalformedFieldNames());
  STRCMP_EQUAL("", this->wrong.c_str());
}

// Guards against passing on a body that is still encoded for its transfer: the
// field that says so is not passed on.
TEST(Gateway_BrokenAnswer, WithUnknownTransferCodingIsNotPassedOn) {
  this->SendAll(AnswersWithUnknownTransferCoding());
  STRCMP_EQUAL("", this->wrong.c_str());
}

// Guards against a signature, or a statement that the request was not run, that
// counts although it comes after the body.
TEST(Gateway_BrokenAnswer, WithFieldsOfTheHeadInTheTrailerIsNotPassedOn) {
  this->SendAll(AnswersWithFieldsOfTheHeadInTheTrailer());
  STRCMP_EQUAL("", this->wrong.c_str());
}

// Guards against a part of a body without a length that counts as whole because
// the error of the connection was reported to the write of the request.
TEST(Gateway_BrokenAnswer, ResetDuringAnUploadIsNoEndOfABody) {
  constexpr int kRepetitions = 12;
  const std::string body(3u << 20, 'b');
  for (auto& server : this->servers) {
    server.set_answers_before_body(true);
  }
  for (const int delay_milliseconds : {0, 1, 5}) {
    for (const std::string kind : {"plain", "once", "stream", "resumable"}) {
      for (int i = 0; i < kRepetitions; ++i) {
        const std::string id = this->NextId(kind);
        this->answer = {.bytes = SoundHead(id, ""),
                        .late_bytes = "id: 0\ndata: d0\n\n",
                        .delay = std::chrono::milliseconds(delay_milliseconds),
                        .resets = true};
        this->SendOne(kind, id, "reset", body);
      }
    }
  }
  STRCMP_EQUAL("", this->wrong.c_str());
}

/// Gateway before two replicas that each send a broken answer at the first run
/// of an item, and a sound one at the next.
TEST_GROUP(Gateway_BrokenAnswerToItems) {
  GatewayFleet fleet;
  std::list<ScriptedServer> servers;
  std::map<std::string, int> runs;
  std::map<std::string, std::string> first_answers;

  void setup() override {
    for (const std::string id : {"i-1", "i-2"}) {
      this->servers.emplace_back(
          this->fleet.loop, [this](const ScriptedRequest& request) {
            if (++this->runs[request.id] > 1) {
              return ScriptedResponse{.bytes = SoundAnswer(request.id)};
            }
            return ScriptedResponse{.bytes = this->first_answers.at(request.id),
                                    .closes = true};
          });
      this->fleet.RegisterReplica(id, "model", this->servers.back().port(),
                                  "ready");
    }
    this->fleet.StartGateway("a");
  }

  /// Submits an item for each answer. All must be listed with the text of the
  /// sound answer.
  void CheckItems(const std::vector<BrokenAnswer>& answers) {
    std::vector<std::string> items;
    for (const auto& broken : answers) {
      const std::string id = "item-" + std::to_string(1000 + items.size());
      items.push_back(id);
      this->first_answers[id] = broken.bytes(id);
    }
    CHECK_EQUAL(202U, this->fleet.Submit("a", "job", items)->head.status);
    CheckTextsAreWhole(this->fleet, items);
  }
};

// Guards against an item that ends with an answer whose status does not exist.
TEST(Gateway_BrokenAnswerToItems, WithImpossibleStatusIsNotListed) {
  this->CheckItems(AnswersWithImpossibleStatus());
}

// Guards against an item whose text has a body with a wrong framing.
TEST(Gateway_BrokenAnswerToItems, WithMalformedFieldNameIsNotListed) {
  this->CheckItems(AnswersWithMalformedFieldNames());
}

// Guards against an item whose text has a body that is still encoded.
TEST(Gateway_BrokenAnswerToItems, WithUnknownTransferCodingIsNotListed) {
  this->CheckItems(AnswersWithUnknownTransferCoding());
}

}  // namespace crocus
