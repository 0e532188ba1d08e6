// Submitted jobs: decoding, storing, and whether any machine type of the cloud can run them. Guards
// against accepting a malformed job or a job that can never run.

#include <gtest/gtest.h>

#include "cloud/catalog.hpp"
#include "sched/resources.hpp"
#include "store/records.hpp"
#include "wire/user.hpp"

namespace {

using namespace asterstair;

const char* const kJob = R"({"ref":"req-000412","lane":"train","owner":"red","shape":"ensemble",
  "rank":"high","pieces":16,"cores":8.0,"accelerators":1.0,"ramGb":64.0,"bundle":"img-07","imageGb":6.2,
  "flavors":["g8"],"yard":null,"together":true,"scatter":false,"loaner":true,"expectS":240.0,
  "bookmarkS":30.0,"stashS":4.0,"dueS":900.0,"later":"field"})";

TEST(JobSubmission, RoundTripsThroughItsLiveRecord) {
  const auto job = wire::decode_job(wire::parse(kJob));
  EXPECT_EQ(job.kind, JobKind::Gang);
  EXPECT_EQ(job.priority, Priority::High);
  EXPECT_EQ(job.tasks, 16U);
  EXPECT_EQ(job.types, std::vector<std::string>{"g8"});
  EXPECT_FALSE(job.zone);
  EXPECT_EQ(job.deadline, Seconds(900));
  const WallTime accepted_at(milliseconds(1700000000123));
  const auto decoded = store::decode_live(wire::parse(store::encode_live(job, accepted_at).dump()));
  EXPECT_EQ(wire::encode_job(decoded.job), wire::encode_job(job));
  EXPECT_EQ(decoded.accepted, accepted_at);
}

TEST(JobSubmission, NamesTheInvalidField) {
  const auto valid = wire::parse(kJob);
  const auto error_names_field = [&](const char* key, const wire::Json& value) {
    auto changed = valid;
    changed[key] = value;
    try {
      wire::decode_job(changed);
    } catch (const wire::DecodeError& error) {
      return std::string(error.what()).find(key) != std::string::npos;
    }
    return false;
  };
  EXPECT_TRUE(error_names_field("ref", "job-1"));
  EXPECT_TRUE(error_names_field("ref", "req-1/../2"));
  EXPECT_TRUE(error_names_field("shape", "ring"));
  EXPECT_TRUE(error_names_field("rank", 3));
  EXPECT_TRUE(error_names_field("pieces", 0));
  EXPECT_TRUE(error_names_field("pieces", 100001));
  EXPECT_TRUE(error_names_field("pieces", 1.5));
  EXPECT_TRUE(error_names_field("cores", -1));
  EXPECT_TRUE(error_names_field("cores", nullptr));
  EXPECT_TRUE(error_names_field("flavors", "g8"));
  EXPECT_TRUE(error_names_field("together", "yes"));
  // Only the fields that may be null may be absent.
  for (const char* key :
       {"ref", "lane", "owner", "shape", "rank", "pieces", "cores", "accelerators", "ramGb",
        "bundle", "imageGb", "together", "scatter", "loaner", "expectS", "bookmarkS", "stashS"}) {
    auto changed = valid;
    changed.erase(key);
    EXPECT_THROW(wire::decode_job(changed), wire::DecodeError) << key;
  }
  for (const char* key : {"flavors", "yard", "dueS"}) {
    auto changed = valid;
    changed.erase(key);
    EXPECT_NO_THROW(wire::decode_job(changed)) << key;
  }
  EXPECT_FALSE(error_names_field("dueS", nullptr));
  EXPECT_THROW(wire::parse("[1]"), wire::DecodeError);
  EXPECT_THROW(wire::parse("{\"a\":"), wire::DecodeError);
}

// A gang that must be spread over zones but may use only one zone can never run.
TEST(Catalog, RejectsSpreadGangsLimitedToOneZone) {
  cloud::Catalog catalog;
  MachineType type;
  type.name = "g8";
  type.cpus = 96;
  type.gpus = 8;
  type.memory_gb = 768;
  type.zones = {"a", "b"};
  catalog.set({type});
  auto job = wire::decode_job(wire::parse(kJob));
  EXPECT_TRUE(catalog.can_hold(job));
  job.spread = true;
  EXPECT_FALSE(catalog.can_hold(job))
      << "all tasks in one zone, but at most half of them in any zone";
  job.one_zone = false;
  EXPECT_TRUE(catalog.can_hold(job));
  job.zone = "a";
  EXPECT_FALSE(catalog.can_hold(job));
  job.kind = JobKind::Array;
  EXPECT_TRUE(catalog.can_hold(job)) << "an array can run half of its tasks after the other half";
  job.zone = "atlantis";
  EXPECT_FALSE(catalog.can_hold(job));
}

// A task that was larger than any machine by less than a millionth of itself was accepted and never
// placed: admission compared the quotient, placement the amounts. Guard: base/amounts.hpp.
TEST(Catalog, RejectsTasksThatAreSlightlyLargerThanAnyMachine) {
  cloud::Catalog catalog;
  catalog.set({{"g8", 96, 8, 256, 200, 1, 12, 4.5, Seconds(45), {"a", "b"}}});
  const sched::Resources empty{96, 8, 256};
  auto job = wire::decode_job(wire::parse(kJob));
  for (const double memory_gb : {256.0, 256 + 5e-7, 256.0001, 256.00001, 257.0}) {
    job.memory_gb = memory_gb;
    EXPECT_EQ(catalog.can_hold(job), sched::fits(job, empty)) << memory_gb;
    EXPECT_EQ(catalog.can_hold(job), sched::tasks_that_fit(job, empty) == 1) << memory_gb;
  }
  EXPECT_FALSE(catalog.can_hold(job));
}

}  // namespace
