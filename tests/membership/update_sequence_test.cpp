#include "membership/update_sequence.hpp"

#include <gtest/gtest.h>

namespace chalksail::membership {
namespace {

using Decision = UpdateSequence::Decision;
constexpr auto kSnapshot = EndpointUpdateKind::snapshot;
constexpr auto kDelta = EndpointUpdateKind::delta;

// Guards against applying a delta to a list other than the one that it follows.
TEST(UpdateSequence, DeltaWithoutAPrecedingListIsNotApplied) {
    UpdateSequence sequence;
    EXPECT_EQ(sequence.accept(kDelta, 17, false), Decision::out_of_order);
    EXPECT_EQ(sequence.accept(kDelta, 17, true), Decision::out_of_order);
    EXPECT_EQ(sequence.accept(kSnapshot, 17, false), Decision::apply);
    EXPECT_EQ(sequence.accept(kDelta, 18, false), Decision::apply);
    EXPECT_EQ(sequence.generation(), 18);
    sequence.reset();
    EXPECT_EQ(sequence.accept(kDelta, 19, false), Decision::out_of_order);
    EXPECT_EQ(sequence.generation(), std::nullopt);
}

TEST(UpdateSequence, DeltaOfTheSameOrAnEarlierVersionIsNotApplied) {
    UpdateSequence sequence;
    EXPECT_EQ(sequence.accept(kSnapshot, 41, false), Decision::apply);
    EXPECT_EQ(sequence.accept(kDelta, 41, true), Decision::ignore);
    EXPECT_EQ(sequence.accept(kDelta, 41, false), Decision::out_of_order);
    EXPECT_EQ(sequence.accept(kDelta, 5, false), Decision::out_of_order);
    EXPECT_EQ(sequence.accept(kDelta, 5, true), Decision::out_of_order);
    EXPECT_EQ(sequence.generation(), 41);
}

TEST(UpdateSequence, SnapshotOfAnyVersionIsApplied) {
    UpdateSequence sequence;
    EXPECT_EQ(sequence.accept(kSnapshot, 41, false), Decision::apply);
    EXPECT_EQ(sequence.accept(kSnapshot, 3, false), Decision::apply);
    EXPECT_EQ(sequence.generation(), 3);
    EXPECT_EQ(sequence.accept(kSnapshot, 4, true), Decision::apply);
}

}  // namespace
}  // namespace chalksail::membership
