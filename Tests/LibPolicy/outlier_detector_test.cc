#include "LibPolicy/outlier_detector.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

namespace crocus {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

std::vector<std::string> Names(int count) {
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i) {
    names.push_back("r" + std::to_string(i));
  }
  return names;
}

}  // namespace

TEST_GROUP(OutlierDetector_AnyTimes){};

// Guards against ejecting more than the declared share when many replicas look
// slow or fail at once, even if the set of replicas changes.
TEST(OutlierDetector_AnyTimes, EjectedShareIsNeverExceeded) {
  CHECK(rc::check([] {
    OutlierDetector detector;
    const double share = *rc::gen::inRange(0, 100) / 100.0;
    TimePoint now = kStart;
    for (int step = 0; step < 60; ++step) {
      const auto names = Names(*rc::gen::inRange(1, 20));
      now += milliseconds(*rc::gen::inRange(0, 500));
      for (const auto& name : names) {
        const Duration time = milliseconds(*rc::gen::inRange(1, 2000));
        if (*rc::gen::inRange(0, 4) == 0) {
          detector.OnFailure(name, now);
        } else {
          detector.OnFirstToken(name, time, now);
          detector.OnToken(name, time / 10, now);
        }
      }
      detector.TakeProbe(now);
      const auto& ejected = detector.Evaluate(names, share, now);
      RC_ASSERT(static_cast<double>(ejected.size()) <=
                share * static_cast<double>(names.size()));
    }
  }));
}

TEST_GROUP(OutlierDetector_TwoSlowOfEighteen) {
  OutlierDetector detector;
  const std::vector<std::string> names = Names(18);

  void Observe(TimePoint now, int slowdown) {
    for (const auto& name : this->names) {
      const bool is_slow = name == "r3" || name == "r7";
      this->detector.OnFirstToken(
          name, milliseconds(20 * (is_slow ? slowdown : 1)), now);
    }
  }
};

// Guards against slowed replicas that are not ejected.
TEST(OutlierDetector_TwoSlowOfEighteen, BothAreEjectedAfterAFewSamples) {
  for (int i = 0; i < 10; ++i) {
    this->Observe(kStart, 1);
  }
  CHECK(this->detector.Evaluate(this->names, 0.2, kStart).empty());
  for (int i = 0; i < 6; ++i) {
    this->Observe(kStart + milliseconds(i), 5);
  }
  const std::set<std::string> expected = {"r3", "r7"};
  CHECK(this->detector.Evaluate(this->names, 0.2, kStart + milliseconds(9)) ==
        expected);
}

// Guards against readmitting a replica in the middle of a slow period, and
// against waiting for probes although the streams that still run show the
// recovery.
TEST(OutlierDetector_TwoSlowOfEighteen,
     SteadyTokensOfRunningStreamsReadmitThem) {
  for (int i = 0; i < 6; ++i) {
    this->Observe(kStart, 5);
    for (const auto& name : this->names) {
      this->detector.OnToken(name, milliseconds(name == "r3" ? 100 : 20),
                             kStart);
    }
  }
  CHECK(this->detector.Evaluate(this->names, 0.2, kStart).contains("r3"));
  for (int i = 0; i < 3; ++i) {
    for (int good = 0; good < 7; ++good) {
      this->detector.OnToken("r3", milliseconds(20), kStart);
    }
    CHECK(this->detector.ejected().contains("r3"));
    this->detector.OnToken("r3", milliseconds(100), kStart);
  }
  for (int good = 0; good < 8; ++good) {
    this->detector.OnToken("r3", milliseconds(20), kStart);
  }
  CHECK_FALSE(this->detector.ejected().contains("r3"));
}

// Guards against losing the ejection of a replica because one request cannot
// use it: a hedge excludes it, or it does not serve the model.
TEST(OutlierDetector_TwoSlowOfEighteen, MissingReplicaKeepsItsState) {
  for (int i = 0; i < 6; ++i) {
    this->Observe(kStart, 5);
  }
  this->detector.Evaluate(this->names, 0.2, kStart);
  std::vector<std::string> without = this->names;
  std::erase(without, "r3");
  CHECK_FALSE(this->detector.Evaluate(without, 0.2, kStart).contains("r3"));
  CHECK(this->detector.Evaluate(this->names, 0.2, kStart).contains("r3"));
}

// Guards against a replica that stays ejected after it has recovered.
TEST(OutlierDetector_TwoSlowOfEighteen, GoodProbesReadmitThem) {
  for (int i = 0; i < 6; ++i) {
    this->Observe(kStart, 5);
  }
  TimePoint now = kStart;
  this->detector.Evaluate(this->names, 0.2, now);
  CHECK_FALSE(this->detector.TakeProbe(now).has_value());
  int probes = 0;
  while (!this->detector.ejected().empty() && probes < 10) {
    now += OutlierDetectorOptions{}.probe_interval + milliseconds(100);
    const auto probed = this->detector.TakeProbe(now);
    CHECK(probed.has_value());
    this->detector.OnFirstToken(*probed, milliseconds(20), now);
    this->detector.Evaluate(this->names, 0.2, now);
    ++probes;
  }
  CHECK_EQUAL(4, probes);
}

// Guards against counting the gap of a suspended stream as slowness.
TEST(OutlierDetector_TwoSlowOfEighteen, GapsOfSecondsDoNotEject) {
  const auto observe = [this](int milliseconds_of_r3) {
    for (const auto& name : this->names) {
      this->detector.OnToken(
          name, milliseconds(name == "r3" ? milliseconds_of_r3 : 20), kStart);
    }
  };
  for (const int gap : {20, 20, 20, 20, 5000, 5000, 5000, 5000}) {
    observe(gap);
    CHECK(this->detector.Evaluate(this->names, 0.2, kStart).empty());
  }
}

}  // namespace crocus
