// The scheduler's formulas, checked against values calculated by hand.

#include <gtest/gtest.h>

#include "sched/loss.hpp"
#include "sched/score.hpp"

namespace {

using namespace asterstair;
using namespace asterstair::sched;

TEST(CheckpointInterval, IsASquareRootWithinBounds) {
  // sqrt(2 * 4 / 0.0002) = sqrt(40000) = 200
  EXPECT_NEAR(checkpoint_interval(Seconds(4), 0.0002, 30min).count(), 200.0, 1e-9);
  // Lower bound: the checkpoint time divided by 0.2.
  EXPECT_NEAR(checkpoint_interval(Seconds(4), 1.0, 30min).count(), 20.0, 1e-9);
  // Upper bound: twice the loss budget. Needs a very low loss rate: at the minimum rate of one loss
  // a day the interval is sqrt(8 * 86400) = 831 s, which is within the bounds.
  EXPECT_NEAR(checkpoint_interval(Seconds(4), 1e-9, 30min).count(), 3600.0, 1e-9);
  EXPECT_NEAR(checkpoint_interval(Seconds(4), kLossFloorPerSecond, 30min).count(), 831.384, 1e-2);
}

TEST(PlacementScore, AddsTheExpectedRestartDelayToTheStartDelay) {
  EXPECT_DOUBLE_EQ(start_delay(2.5, false).count(), 25.0);
  EXPECT_DOUBLE_EQ(start_delay(2.5, true).count(), 0.0);
  // 1 - exp(-0.001 * 1000) = 0.632121
  EXPECT_NEAR(loss_probability(0.001, Seconds(1000)), 0.6321206, 1e-6);
  EXPECT_NEAR(placement_score(Seconds(10), 0.001, Seconds(1000), Seconds(20)), 22.642411, 1e-5);
  EXPECT_NEAR(placement_score(Seconds(10), 0.001, Seconds(1000), Seconds(20), 0.5), 16.321206,
              1e-5);
}

TEST(FinalCheckpoint, FitsIfCheckpointAndRestartEndWithinTheNotice) {
  EXPECT_TRUE(final_checkpoint_fits(Seconds(5), Seconds(1), Seconds(6)));
  EXPECT_FALSE(final_checkpoint_fits(Seconds(5), Seconds(1), Seconds(5.9)));
}

TEST(LossRates, CountLossesWithinTheWindowAndHaveAMinimum) {
  LossRates rates;
  const TimePoint start{};
  const LossGroup group{"a", true};
  EXPECT_DOUBLE_EQ(rates.rate(group, 5, start), kLossFloorPerSecond);
  rates.record_loss(group, start + 10s);
  rates.record_loss(group, start + 20s);
  EXPECT_DOUBLE_EQ(rates.rate(group, 4, start + 30s), 2.0 / 4 / 3600);
  EXPECT_DOUBLE_EQ(rates.rate({"a", false}, 4, start + 30s), kLossFloorPerSecond);
  EXPECT_DOUBLE_EQ(rates.rate(group, 4, start + 3615s), 1.0 / 4 / 3600);
  EXPECT_DOUBLE_EQ(rates.rate(group, 4, start + 3700s), kLossFloorPerSecond);
}

}  // namespace
