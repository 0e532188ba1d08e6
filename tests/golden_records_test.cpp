// Guards the format of stored records, as literals. Running clusters have stored these keys and
// values: if a byte changed, other versions of the program could not read the records.

#include <gtest/gtest.h>

#include <string>

#include "golden_fixture.hpp"
#include "provisioning/records.hpp"
#include "store/records.hpp"
#include "wire/cloud.hpp"
#include "wire/user.hpp"

namespace {

using namespace test_support;

TEST(StoredRecords, KeysAreStable) {
  EXPECT_STREQ(store::kLeaderKey, "leader");
  EXPECT_STREQ(store::kPreviousLeadersExpiredKey, "earlier-leaders-ended");
  EXPECT_STREQ(store::kCatalogKey, "catalog");
  EXPECT_STREQ(store::kLivePrefix, "live/");
  EXPECT_STREQ(store::kProgressPrefix, "progress/");
  EXPECT_STREQ(store::kMachineRegistryPrefix, "roster/");
  EXPECT_EQ(store::live_key("req-1"), "live/req-1");
  EXPECT_EQ(store::final_key("req-1"), "final/req-1");
  EXPECT_EQ(store::progress_key("req-1", 3), "progress/req-1/3");
  EXPECT_EQ(store::machine_registry_key(2), "roster/2");
  EXPECT_EQ(store::fixed_width_machine_registry_key(2), "roster/-000002");
  EXPECT_EQ(store::unreadable_copy_key("progress/req-1/3"), "unreadable/progress/req-1/3");
  EXPECT_STREQ(provisioning::kLeaseKey, "duty/machines");
  EXPECT_STREQ(provisioning::kOperationPrefix, "ledger/machines/");
  EXPECT_STREQ(provisioning::kOrphansKey, "orphans/machines");
  EXPECT_STREQ(provisioning::kControlKey, "control/machines");
  EXPECT_EQ(provisioning::operation_key("r-41-1"), "ledger/machines/r-41-1");
}

TEST(StoredRecords, LiveRecordFormatIsStable) {
  for (const char* const job : {kGangJob, kArrayJob}) {
    const std::string literal = R"({"at":1700000000123,"job":)" + std::string(job) + "}";
    const auto record = store::decode_live(wire::parse(literal));
    EXPECT_EQ(wire::dump(store::encode_live(record.job, record.accepted)), literal);
  }
}

TEST(StoredRecords, FinalRecordFormatIsStable) {
  for (const char* const literal :
       {R"({"end":"done","tasks":16})", R"({"end":"cancelled","tasks":1})"}) {
    EXPECT_EQ(wire::dump(store::encode_final(store::decode_final(wire::parse(literal)))), literal);
  }
}

TEST(StoredRecords, LeaseHolderFormatIsStable) {
  for (const char* const literal :
       {R"({"claim":17,"contested":true,"node":"ghat-0"})",
        R"({"claim":9223372036854775807,"contested":false,"node":"g"})"}) {
    EXPECT_EQ(wire::dump(store::encode_holder(store::decode_holder(wire::parse(literal)))),
              literal);
  }
  EXPECT_FALSE(store::decode_holder(wire::parse(R"({"claim":17,"node":"ghat-0"})")).forced);
}

TEST(StoredRecords, PreviousHoldersExpiredFormatIsStable) {
  const char* const literal = R"({"token":41})";
  EXPECT_EQ(wire::dump(store::encode_previous_holders_expired(
                store::decode_previous_holders_expired(wire::parse(literal)))),
            literal);
}

TEST(StoredRecords, ProgressChunkFormatIsStable) {
  constexpr std::size_t kValueBytes = 8192;
  std::vector<bool> done(40, false);
  const char* const literal = R"({"done":"1f08"})";
  store::decode_progress_chunk(wire::parse(literal), 0, kValueBytes, done);
  EXPECT_TRUE(done[0] && done[4] && done[5] && done[6] && done[7] && done[15]);
  EXPECT_FALSE(done[1] || done[8] || done[14] || done[16]);
  EXPECT_EQ(wire::dump(store::encode_progress_chunk(done, 0, kValueBytes)), literal);
  EXPECT_EQ(store::tasks_per_progress_chunk(kValueBytes), 32512U);
}

TEST(StoredRecords, MachineRegistryFormatIsStable) {
  const char* const literal = R"({"machines":["n-000001","n-000231"]})";
  EXPECT_EQ(wire::dump(store::encode_machine_registry(
                store::decode_machine_registry(wire::parse(literal)))),
            literal);
}

TEST(StoredRecords, CatalogFormatIsStable) {
  const char* const literal =
      R"({"flavors":[{"accelerators":8.0,"cores":96.0,"localGb":200.0,"marketPrice":4.5,)"
      R"("name":"g8","price":12.0,"pullGbPerS":1.0,"ramGb":768.0,"readyS":45.0,)"
      R"("yards":["a","b"]}]})";
  EXPECT_EQ(wire::dump(wire::encode_machine_types(wire::decode_machine_types(literal))), literal);
}

TEST(StoredRecords, OperationFormatIsStable) {
  const char* const literals[] = {
      R"({"begun":1700000000123,"count":3,"form":1,"holder":"ghat-0","kind":"rent","spot":true,)"
      R"("state":"intended","token":41,"type":"c16","zone":"north"})",
      R"({"begun":1700000000123,"count":3,"form":1,"holder":"ghat-0","kind":"rent",)"
      R"("machines":["n-000001","n-000002"],"spot":true,"state":"granted","token":41,)"
      R"("type":"c16","zone":"north"})",
      R"({"begun":1,"count":1,"form":1,"holder":"ghat-0","kind":"rent","spot":false,)"
      R"("state":"refused","token":41,"type":"c16","zone":"north"})",
      R"({"begun":1,"count":1,"form":1,"holder":"ghat-0","kind":"rent","spot":false,)"
      R"("state":"withdrawn","token":41,"type":"c16","zone":"north"})",
      R"({"begun":1,"count":1,"form":1,"holder":"ghat-0","kind":"rent","spot":false,)"
      R"("state":"settled","token":41,"type":"c16","zone":"north"})",
      R"({"begun":2,"form":1,"holder":"ghat-1","kind":"return","machines":{"n-1":"idle",)"
      R"("n-2":"faulty","n-3":"unreachable","n-4":"silent","n-5":"failed boot","n-6":"stopped",)"
      R"("n-7":"unlisted"},"state":"confirmed","token":42})"};
  for (const char* const literal : literals) {
    const auto operation =
        provisioning::decode_operation("ledger/machines/r-41-1", wire::parse(literal));
    EXPECT_EQ(operation.name, "r-41-1");
    EXPECT_EQ(wire::dump(provisioning::encode_operation(operation)), literal);
  }
}

TEST(StoredRecords, ControlAndOrphansFormatIsStable) {
  const char* const control = R"({"form":1,"hand over from":41,"paused":true})";
  EXPECT_EQ(
      wire::dump(provisioning::encode_control(provisioning::decode_control(wire::parse(control)))),
      control);
  const char* const orphans =
      R"({"form":1,"orphans":[{"machine":"n-1","since":1,"state":"waiting"},)"
      R"({"machine":"n-2","since":2,"state":"in use"},)"
      R"({"machine":"n-3","since":3,"state":"returned"},)"
      R"({"machine":"n-4","since":4,"state":"vanished"},)"
      R"({"machine":"n-5","since":5,"state":"never appeared"}]})";
  EXPECT_EQ(
      wire::dump(provisioning::encode_orphans(provisioning::decode_orphans(wire::parse(orphans)))),
      orphans);
}

}  // namespace
