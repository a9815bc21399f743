#include <CppUTest/TestHarness.h>

#include <list>
#include <map>
#include <string>
#include <vector>

#include "GatewayFaults/replica_answer.h"
#include "PlatformStandin/gateway_fleet.h"
#include "PlatformStandin/scripted_server.h"
#include "platform/names.h"

namespace crocus {

namespace {

constexpr std::uint32_t kOk = 200;
constexpr std::uint32_t kBadGateway = 502;
constexpr std::uint32_t kGatewayTimeout = 504;

enum class ConnectionState { kNew, kKept, kHalfSent };

std::string ToText(ConnectionState state) {
  return state == ConnectionState::kNew    ? "new"
         : state == ConnectionState::kKept ? "kept"
                                           : "half-sent";
}

/// Fields of each framing that a body can have.
std::vector<std::string> Framings() {
  return {Field("Content-Length", std::to_string(kEvents.size())),
          Field("Content-Length", "0"), Field("Transfer-Encoding", "chunked"),
          ""};
}

/// Lengths at which a head is cut: each one, or the ends of its lines and what
/// is beside them.
std::vector<std::size_t> CutsOf(const std::string& head, bool all) {
  std::vector<std::size_t> cuts;
  for (std::size_t i = 0; i < head.size(); ++i) {
    const bool is_beside_line_end =
        head.substr(i, 2).find('\n') != std::string::npos || head[i] == '\r' ||
        (i > 0 && head[i - 1] == '\n');
    if (all || i == 0 || is_beside_line_end) {
      cuts.push_back(i);
    }
  }
  return cuts;
}

}  // namespace

/// Gateway before a replica that writes a part of its answer's head and closes.
TEST_GROUP(Gateway_TruncatedHead) {
  GatewayFleet fleet;
  std::list<ScriptedServer> servers;
  /// The answer that the replica writes, without what is cut off.
  std::string answer;
  bool resets = false;
  /// How often the replica has received each request.
  std::map<std::string, int> requests;
  std::string wrong;

  void AddReplica(const std::string& endpoint) {
    this->servers.emplace_back(
        this->fleet.loop, [this](const ScriptedRequest& request) {
          ++this->requests[request.id];
          if (request.id.starts_with("warm")) {
            return ScriptedResponse{
                .bytes = SoundHead(request.id, Framings().front()) + kEvents};
          }
          return ScriptedResponse{.bytes = this->answer,
                                  .closes = !this->resets,
                                  .resets = this->resets};
        });
    this->fleet.RegisterReplica("i-" + endpoint, endpoint,
                                this->servers.back().port(), "ready");
  }

  /// Sends a request of that kind for each cut; notes in `wrong` those that
  /// were answered as if the replica's answer were whole, or as if they had not
  /// run.
  void SendAll(const std::string& kind, ConnectionState state, bool all_cuts) {
    const std::string body(state == ConnectionState::kHalfSent ? 3u << 20 : 4u,
                           'b');
    int number = 0;
    for (const auto& framing : Framings()) {
      // All ids have the same length, and with it their heads.
      const std::string any_id = kind + "-000";
      for (const auto cut : CutsOf(SoundHead(any_id, framing), all_cuts)) {
        const std::string id = kind + (this->resets ? "r" : "-") +
                               std::to_string(1000 + number++).substr(1);
        if (state == ConnectionState::kKept) {
          const auto warm = this->fleet.Send(
              "a", GatewayFleet::MakeRequestHead(kind, "warm-" + id));
          CHECK_EQUAL(kOk, warm ? warm->head.status : 0U);
        }
        this->answer = SoundHead(id, framing).substr(0, cut);
        const auto reply = this->fleet.Send(
            "a", GatewayFleet::MakeRequestHead(kind, id), body);
        const std::uint32_t status = reply ? reply->head.status : 0;
        if (status != 0 && status != kBadGateway && status != kGatewayTimeout) {
          this->wrong += kind + " " + ToText(state) +
                         (this->resets ? " reset" : " closed") + " after " +
                         std::to_string(cut) + " of " + framing + ": " +
                         std::to_string(status) + "; ";
        }
        if (this->requests[id] != 1) {
          this->wrong += id + " reached the replica " +
                         std::to_string(this->requests[id]) + " times; ";
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

// Guards against an answer with an empty or short body, framed as whole, whose
// head the replica has not written to its end.
TEST(Gateway_TruncatedHead, IsNoAnswerOnANewConnection) {
  for (const bool resets : {false, true}) {
    this->resets = resets;
    for (const std::string kind : {"plain", "once", "stream", "resumable"}) {
      this->SendAll(kind, ConnectionState::kNew, kind == "stream");
    }
  }
  STRCMP_EQUAL("", this->wrong.c_str());
}

// Guards against the same on a connection that had requests before.
TEST(Gateway_TruncatedHead, IsNoAnswerOnAKeptConnection) {
  for (const bool resets : {false, true}) {
    this->resets = resets;
    for (const std::string kind : {"plain", "once", "stream"}) {
      this->SendAll(kind, ConnectionState::kKept, false);
    }
  }
  STRCMP_EQUAL("", this->wrong.c_str());
}

// Guards against the same where the replica answers before it has read the
// request's body.
TEST(Gateway_TruncatedHead, IsNoAnswerToAHalfSentRequest) {
  for (auto& server : this->servers) {
    server.set_answers_before_body(true);
  }
  for (const bool resets : {false, true}) {
    this->resets = resets;
    for (const std::string kind : {"once", "stream"}) {
      this->SendAll(kind, ConnectionState::kHalfSent, false);
    }
  }
  STRCMP_EQUAL("", this->wrong.c_str());
}

/// Gateway before two replicas that each write a part of the head at the first
/// run of an item, and a whole answer at the next one.
TEST_GROUP(Gateway_TruncatedHeadOfItems) {
  GatewayFleet fleet;
  std::list<ScriptedServer> servers;
  std::map<std::string, int> runs;
  std::map<std::string, ScriptedResponse> first_answers;

  void setup() override {
    for (const std::string id : {"i-1", "i-2"}) {
      this->servers.emplace_back(
          this->fleet.loop, [this](const ScriptedRequest& request) {
            if (++this->runs[request.id] == 1) {
              return this->first_answers.at(request.id);
            }
            return ScriptedResponse{
                .bytes = SoundHead(request.id, Framings().front()) + kEvents};
          });
      this->fleet.RegisterReplica(id, "model", this->servers.back().port(),
                                  "ready");
    }
    this->fleet.StartGateway("a");
  }
};

// Guards against items that are listed with an empty or short text because the
// head of an answer was cut off.
TEST(Gateway_TruncatedHeadOfItems, ListsTheWholeTextOfALaterRun) {
  std::vector<std::string> items;
  for (const auto& framing : Framings()) {
    for (const bool resets : {false, true}) {
      const std::string head = SoundHead("item-000", framing);
      for (const std::size_t cut :
           {std::size_t{0}, std::size_t{12}, std::size_t{17}, head.size() - 2,
            head.size() - 1}) {
        const std::string id =
            "item-" + std::to_string(1000 + items.size()).substr(1);
        items.push_back(id);
        this->first_answers[id] = {
            .bytes = SoundHead(id, framing).substr(0, cut),
            .closes = !resets,
            .resets = resets};
      }
    }
  }
  CHECK_EQUAL(202U, this->fleet.Submit("a", "job", items)->head.status);
  CheckTextsAreWhole(this->fleet, items);
}

}  // namespace crocus
