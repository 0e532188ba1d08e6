// Records of provisioning operations: what is read is what was written, and nothing else is read.

#include <gtest/gtest.h>

#include <random>

#include "provisioning/records.hpp"

namespace {

using namespace asterstair;
using namespace asterstair::provisioning;
using wire::Json;

Operation rental() {
  Operation o;
  o.name = "r-41-1";
  o.token = 41;
  o.holder = "ghat-0";
  o.begun = WallTime(milliseconds(1'700'000'000'123));
  o.rental = {"c16", "north", true, 3};
  return o;
}

Operation give_back() {
  Operation o = rental();
  o.name = "d-41-2";
  o.kind = OperationKind::Return;
  o.rental = {};
  o.returns = {{"n-000001", ReturnReason::Idle}, {"n-000002", ReturnReason::FailedBoot}};
  return o;
}

TEST(OperationRecord, RoundTrips) {
  auto granted = rental();
  granted.state = OperationState::Granted;
  granted.machines = {"n-000001", "n-000002"};
  auto confirmed = give_back();
  confirmed.state = OperationState::Confirmed;
  for (const auto& o : {rental(), granted, give_back(), confirmed}) {
    EXPECT_EQ(decode_operation(operation_key(o.name), encode_operation(o)), o) << o.name;
  }
}

TEST(OperationRecord, RefusesMissingFieldsAndUnknownWords) {
  for (const auto& o : {rental(), give_back()}) {
    const Json whole = encode_operation(o);
    for (const auto& [field, value] : whole.items()) {
      if (field == "form") continue;  // of the first form when absent
      Json without = whole;
      without.erase(field);
      EXPECT_THROW(decode_operation(operation_key(o.name), without), wire::DecodeError) << field;
      Json other = whole;
      other[field] = Json::array({1});
      EXPECT_THROW(decode_operation(operation_key(o.name), other), wire::DecodeError) << field;
    }
    Json newer = whole;
    newer["form"] = 2;
    EXPECT_THROW(decode_operation(operation_key(o.name), newer), wire::DecodeError);
    EXPECT_THROW(decode_operation("ledger/machines/", whole), wire::DecodeError);
  }
  Json wrong_kind = encode_operation(give_back());
  wrong_kind["state"] = "granted";
  EXPECT_THROW(decode_operation("ledger/machines/x", wrong_kind), wire::DecodeError);
}

// Seeded changes of valid records: each is read or refused, and what is read is valid.
TEST(OperationRecord, SurvivesRandomChanges) {
  std::mt19937_64 random(5);
  const std::string texts[] = {encode_operation(rental()).dump(),
                               encode_operation(give_back()).dump()};
  std::size_t read = 0, refused = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string text = texts[i % 2];
    for (auto changes = random() % 3 + 1; changes > 0; --changes) {
      text[random() % text.size()] = static_cast<char>(' ' + random() % 95);
    }
    const Json value = Json::parse(text, nullptr, false);
    if (value.is_discarded()) continue;
    try {
      const auto o = decode_operation("ledger/machines/r-41-1", value);
      EXPECT_EQ(decode_operation(operation_key(o.name), encode_operation(o)), o) << text;
      ++read;
    } catch (const wire::DecodeError&) {
      ++refused;
    }
  }
  EXPECT_GT(read, 100U);
  EXPECT_GT(refused, 100U);
}

TEST(OperationState, AllowsOnlyValidTransitions) {
  using S = OperationState;
  constexpr S kAll[] = {S::Pending, S::Granted, S::Refused, S::Withdrawn, S::Confirmed, S::Settled};
  for (const S from : kAll) {
    for (const S to : kAll) {
      const bool result = from != S::Pending && from != S::Settled;
      const bool settles = result && to == S::Settled;
      const bool rented = to == S::Granted || to == S::Refused || to == S::Withdrawn;
      EXPECT_EQ(is_valid_transition(OperationKind::Rent, from, to),
                settles || (from == S::Pending && rented));
      EXPECT_EQ(is_valid_transition(OperationKind::Return, from, to),
                settles || (from == S::Pending && to == S::Confirmed));
    }
  }
}

}  // namespace
