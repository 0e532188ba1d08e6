#include "store/lease_records.hpp"

#include "store/record_format.hpp"

namespace asterstair::store {
namespace {

constexpr const char* kNodeField = "node";
constexpr const char* kClaimField = "claim";
constexpr const char* kForcedField = "contested";
constexpr const char* kTokenField = "token";

}  // namespace

wire::Json encode_holder(const HolderRecord& record) {
  return {{kNodeField, record.node}, {kClaimField, record.claim}, {kForcedField, record.forced}};
}

HolderRecord decode_holder(const wire::Json& value) {
  require_known_format(value);
  HolderRecord record;
  record.node = wire::text(value, kNodeField);
  if (record.node.empty()) wire::fail_field(kNodeField, "must not be empty");
  record.claim = wire::integer(value, kClaimField);
  record.forced = wire::flag_or(value, kForcedField, false);
  return record;
}

wire::Json encode_previous_holders_expired(std::uint64_t token) { return {{kTokenField, token}}; }

std::uint64_t decode_previous_holders_expired(const wire::Json& value) {
  return wire::integer(value, kTokenField);
}

}  // namespace asterstair::store
