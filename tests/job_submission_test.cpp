// Submissions: decoding, storing, and whether the cloud's machine types can hold them.

#include <gtest/gtest.h>

#include "cloud/catalog.hpp"
#include "store/records.hpp"
#include "wire/user.hpp"

namespace {

using namespace asterstair;

const char* const kJob = R"({"ref":"req-000412","lane":"train","owner":"red","shape":"ensemble",
  "rank":"high","pieces":16,"cores":8.0,"accelerators":1.0,"ramGb":64.0,"bundle":"img-07","imageGb":6.2,
  "flavors":["g8"],"yard":null,"together":true,"scatter":false,"loaner":true,"expectS":240.0,
  "bookmarkS":30.0,"stashS":4.0,"dueS":900.0,"later":"field"})";

TEST(JobSubmission, RoundTripsThroughItsRecord) {
  const auto job = wire::decode_job(wire::parse(kJob));
  EXPECT_EQ(job.kind, JobKind::Gang);
  EXPECT_EQ(job.priority, Priority::High);
  EXPECT_EQ(job.tasks, 16U);
  EXPECT_EQ(job.types, std::vector<std::string>{"g8"});
  EXPECT_FALSE(job.zone);
  EXPECT_EQ(job.deadline, Seconds(900));
  const WallTime at(milliseconds(1700000000123));
  const auto back = store::decode_live(wire::parse(store::encode_live(job, at).dump()));
  EXPECT_EQ(wire::encode_job(back.job), wire::encode_job(job));
  EXPECT_EQ(back.accepted, at);
}

TEST(JobSubmission, NamesTheRefusedField) {
  const auto good = wire::parse(kJob);
  const auto bad = [&](const char* key, const wire::Json& value) {
    auto j = good;
    j[key] = value;
    try {
      wire::decode_job(j);
    } catch (const wire::DecodeError& e) {
      return std::string(e.what()).find(key) != std::string::npos;
    }
    return false;
  };
  EXPECT_TRUE(bad("ref", "job-1"));
  EXPECT_TRUE(bad("ref", "req-1/../2"));
  EXPECT_TRUE(bad("shape", "ring"));
  EXPECT_TRUE(bad("rank", 3));
  EXPECT_TRUE(bad("pieces", 0));
  EXPECT_TRUE(bad("pieces", 100001));
  EXPECT_TRUE(bad("pieces", 1.5));
  EXPECT_TRUE(bad("cores", -1));
  EXPECT_TRUE(bad("cores", nullptr));
  EXPECT_TRUE(bad("flavors", "g8"));
  EXPECT_TRUE(bad("together", "yes"));
  // Only what may be null may be left out.
  for (const char* key :
       {"ref", "lane", "owner", "shape", "rank", "pieces", "cores", "accelerators", "ramGb",
        "bundle", "imageGb", "together", "scatter", "loaner", "expectS", "bookmarkS", "stashS"}) {
    auto j = good;
    j.erase(key);
    EXPECT_THROW(wire::decode_job(j), wire::DecodeError) << key;
  }
  for (const char* key : {"flavors", "yard", "dueS"}) {
    auto j = good;
    j.erase(key);
    EXPECT_NO_THROW(wire::decode_job(j)) << key;
  }
  EXPECT_FALSE(bad("dueS", nullptr));
  EXPECT_THROW(wire::parse("[1]"), wire::DecodeError);
  EXPECT_THROW(wire::parse("{\"a\":"), wire::DecodeError);
}

// A gang that is to be spread over zones and may be in one only can never run.
TEST(Catalog, RefusesGangsThatCanNeverBeTogether) {
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
  EXPECT_FALSE(catalog.can_hold(job)) << "in one zone, and at most half of it there";
  job.one_zone = false;
  EXPECT_TRUE(catalog.can_hold(job));
  job.zone = "a";
  EXPECT_FALSE(catalog.can_hold(job));
  job.kind = JobKind::Array;
  EXPECT_TRUE(catalog.can_hold(job)) << "one half after the other";
  job.zone = "atlantis";
  EXPECT_FALSE(catalog.can_hold(job));
}

}  // namespace
