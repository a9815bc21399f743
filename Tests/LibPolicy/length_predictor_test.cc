#include "LibPolicy/length_predictor.h"

#include <CppUTest/TestHarness.h>

namespace crocus {

TEST_GROUP(LengthPredictor_MixedHistory) {
  LengthPredictor predictor;

  void setup() override {
    for (int answer = 0; answer < 95; ++answer) {
      this->predictor.Observe(
          {.workspace = "orders", .prompt_tokens = 500, .token_limit = 8192},
          60);
    }
    for (int answer = 0; answer < 5; ++answer) {
      this->predictor.Observe(
          {.workspace = "brands", .prompt_tokens = 900, .token_limit = 8192},
          1800);
    }
  }
};

TEST(LengthPredictor_MixedHistory, HistoryOfTheWorkspaceDecides) {
  CHECK(this->predictor.PredictLong(
      {.workspace = "brands", .prompt_tokens = 100, .token_limit = 8192}));
  CHECK_FALSE(this->predictor.PredictLong(
      {.workspace = "orders", .prompt_tokens = 500, .token_limit = 8192}));
}

// Guards against treating a request as long because of its workspace although
// its token limit makes it short.
TEST(LengthPredictor_MixedHistory, TokenLimitBoundsThePrediction) {
  const LengthHints hints{.workspace = "brands", .token_limit = 100};
  CHECK_FALSE(this->predictor.PredictLong(hints));
  CHECK(this->predictor.PredictTokens(hints) <= 100);
}

// Guards against treating the requests of an unknown workspace as long.
TEST(LengthPredictor_MixedHistory, UnknownWorkspaceCountsAsTypical) {
  CHECK_FALSE(this->predictor.PredictLong({.workspace = "new"}));
  CHECK(this->predictor.PredictTokens({.workspace = "new"}) < 100);
}

TEST(LengthPredictor_MixedHistory, FirstAnswersAreNeverLong) {
  LengthPredictor empty;
  empty.Observe({.workspace = "orders"}, 10);
  CHECK_FALSE(empty.IsLong(100000));
}

}  // namespace crocus
