// Tests of the records of provisioning operations: encoded records decode to the same operation,
// and anything else is rejected.

#include <gtest/gtest.h>

#include <random>

#include "provisioning/records.hpp"

namespace {

using namespace asterstair;
using namespace asterstair::provisioning;
using wire::Json;

Operation rental_operation() {
  Operation operation;
  operation.name = "r-41-1";
  operation.token = 41;
  operation.holder = "ghat-0";
  operation.begun = WallTime(milliseconds(1'700'000'000'123));
  operation.rental = {"c16", "north", true, 3};
  return operation;
}

Operation return_operation() {
  Operation operation = rental_operation();
  operation.name = "d-41-2";
  operation.kind = OperationKind::Return;
  operation.rental = {};
  operation.returns = {{"n-000001", ReturnReason::Idle}, {"n-000002", ReturnReason::FailedBoot}};
  return operation;
}

TEST(OperationRecord, RoundTrips) {
  auto granted = rental_operation();
  granted.state = OperationState::Granted;
  granted.machines = {"n-000001", "n-000002"};
  auto confirmed = return_operation();
  confirmed.state = OperationState::Confirmed;
  for (const auto& operation : {rental_operation(), granted, return_operation(), confirmed}) {
    EXPECT_EQ(decode_operation(operation_key(operation.name), encode_operation(operation)),
              operation)
        << operation.name;
  }
}

TEST(OperationRecord, RejectsMissingFieldsAndUnknownNames) {
  for (const auto& operation : {rental_operation(), return_operation()}) {
    const Json valid = encode_operation(operation);
    for (const auto& [field, value] : valid.items()) {
      if (field == "form") continue;  // a record without it has the first format
      Json missing_field = valid;
      missing_field.erase(field);
      EXPECT_THROW(decode_operation(operation_key(operation.name), missing_field),
                   wire::DecodeError)
          << field;
      Json wrong_type = valid;
      wrong_type[field] = Json::array({1});
      EXPECT_THROW(decode_operation(operation_key(operation.name), wrong_type), wire::DecodeError)
          << field;
    }
    Json newer = valid;
    newer["form"] = 2;
    EXPECT_THROW(decode_operation(operation_key(operation.name), newer), wire::DecodeError);
    EXPECT_THROW(decode_operation("ledger/machines/", valid), wire::DecodeError);
  }
  Json wrong_kind = encode_operation(return_operation());
  wrong_kind["state"] = "granted";
  EXPECT_THROW(decode_operation("ledger/machines/x", wrong_kind), wire::DecodeError);
}

// Changes random characters of valid records. Each result must be decoded or rejected, and what is
// decoded must be valid.
TEST(OperationRecord, SurvivesRandomChanges) {
  std::mt19937_64 rng(5);
  const std::string texts[] = {encode_operation(rental_operation()).dump(),
                               encode_operation(return_operation()).dump()};
  std::size_t decoded = 0, rejected = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string text = texts[i % 2];
    for (auto changes = rng() % 3 + 1; changes > 0; --changes) {
      text[rng() % text.size()] = static_cast<char>(' ' + rng() % 95);
    }
    const Json value = Json::parse(text, nullptr, false);
    if (value.is_discarded()) continue;
    try {
      const auto operation = decode_operation("ledger/machines/r-41-1", value);
      EXPECT_EQ(decode_operation(operation_key(operation.name), encode_operation(operation)),
                operation)
          << text;
      ++decoded;
    } catch (const wire::DecodeError&) {
      ++rejected;
    }
  }
  EXPECT_GT(decoded, 100U);
  EXPECT_GT(rejected, 100U);
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
