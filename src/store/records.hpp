#pragma once
// What the service keeps in the state service: keys and the form of their values.
//
//   leader            who leads, on a grant; its version is the token
//   live/<job>        description of an accepted job that is neither done nor cancelled
//   final/<job>       how a job ended; kept for ever
//   progress/<job>/n  which tasks are done, in chunks; the first precedes the first start
//   machine registry/n          machines that may have been given work
//   catalog           machine types as last seen, for starts while the cloud is down

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/model.hpp"
#include "wire/json.hpp"
#include "wire/state.hpp"

namespace asterstair::store {

// Records of a newer form are not read: what they say may bind in ways that are not known here.
inline constexpr std::uint64_t kRecordForm = 1;
void require_known_form(const wire::Json& value);  // throws wire::DecodeError

inline constexpr const char* kLeaderKey = "leader";
// {"token": T}: all leaders before the term T have lost their lease validity. Written by the leader
// of a forced term once that is so, see Lease::record_previous_holders_expired().
inline constexpr const char* kPreviousLeadersExpiredKey = "earlier-leaders-ended";
inline constexpr const char* kLivePrefix = "live/";
inline constexpr const char* kProgressPrefix = "progress/";
inline constexpr const char* kMachineRegistryPrefix = "roster/";
inline constexpr const char* kCatalogKey = "catalog";

std::string live_key(const std::string& job);
std::string final_key(const std::string& job);
std::string progress_key(const std::string& job, std::size_t chunk);
std::string machine_registry_key(std::size_t chunk);

struct LiveRecord {
  JobSpec job;
  WallTime accepted{};
};
wire::Json encode_live(const JobSpec& job, WallTime accepted);
LiveRecord decode_live(const wire::Json& value);  // throws wire::DecodeError

struct FinalRecord {
  bool cancelled = false;
  std::uint32_t tasks = 0;
};
wire::Json encode_final(const FinalRecord& record);
FinalRecord decode_final(const wire::Json& value);

// Who holds a lease.
struct HolderRecord {
  std::string node;
  std::uint64_t claim = 0;
  // Whether an earlier holder may have been holding a valid lease still when the key was claimed.
  bool forced = false;
};
wire::Json encode_holder(const HolderRecord& record);
HolderRecord decode_holder(const wire::Json& value);  // throws DecodeError, of newer forms too
wire::Json encode_previous_holders_expired(std::uint64_t token);
std::uint64_t decode_previous_holders_expired(
    const wire::Json& value);  // the token; throws DecodeError

// Progress: one bit a task, in hexadecimal, in chunks that fit a value.
std::size_t tasks_per_chunk(std::size_t value_bytes);
std::size_t chunk_count(std::uint32_t tasks, std::size_t value_bytes);
wire::Json encode_chunk(const std::vector<bool>& done, std::size_t chunk, std::size_t value_bytes);
void decode_chunk(const wire::Json& value, std::size_t chunk, std::size_t value_bytes,
                  std::vector<bool>& done);
// Splits a key of kProgressPrefix; none if it is not one.
std::optional<std::pair<std::string, std::size_t>> parse_progress_key(const std::string& key);

wire::Json encode_machine_registry(const std::vector<std::string>& machines);
std::vector<std::string> decode_machine_registry(const wire::Json& value);

// Ends a job: exactly one of finishing and cancelling can succeed, since both are conditional on
// the version of the live record.
wire::Txn end_job(const JobSpec& job, std::uint64_t live_version, bool cancelled,
                  std::size_t value_bytes, std::size_t txn_ops);

}  // namespace asterstair::store
