#include "wire/user.hpp"

#include <algorithm>
#include <utility>

#include "wire/names.hpp"

namespace asterstair::wire {
namespace {

constexpr std::string_view kJobPrefix = "req-";
// Maximum length of a job ID, in bytes. Store keys, URL paths and commands contain job IDs.
constexpr std::size_t kMaxJobIdLength = 64;
// Maximum length of other names, in bytes. The error message states the same limit.
constexpr std::size_t kMaxNameLength = 100;

/// A value of an enumeration and its name on the wire.
template <typename T>
using EnumName = std::pair<const char*, T>;

const EnumName<JobKind> kKinds[] = {
    {"batch", JobKind::Array}, {"ensemble", JobKind::Gang}, {"service", JobKind::Service}};
const EnumName<Priority> kPriorities[] = {{"critical", Priority::Production},
                                          {"high", Priority::High},
                                          {"standard", Priority::Normal},
                                          {"idle", Priority::Low}};
const EnumName<JobStage> kStages[] = {{"queued", JobStage::Queued},
                                      {"running", JobStage::Running},
                                      {"done", JobStage::Done},
                                      {"withdrawn", JobStage::Cancelled}};

template <typename T, std::size_t N>
T decode_enum(const Json& body, const char* key, const EnumName<T> (&names)[N]) {
  const auto& field_text = text(body, key);
  for (const auto& [name, value] : names) {
    if (field_text == name) return value;
  }
  fail_field(key, "is none of the known values");
}

template <typename T, std::size_t N>
const char* enum_name(T value, const EnumName<T> (&names)[N]) {
  for (const auto& [name, known] : names) {
    if (value == known) return name;
  }
  return "";
}

std::string decode_name(const Json& body, const char* key) {
  const auto& value = text(body, key);
  if (value.empty() || value.size() > kMaxNameLength) {
    fail_field(key, "must have 1 to 100 characters");
  }
  return value;
}

std::uint32_t decode_task_count(const Json& body) {
  const auto tasks = integer(body, name::kTasks);
  if (tasks < 1 || tasks > kMaxTasksPerJob) fail_field(name::kTasks, "must be 1 to 100000");
  return static_cast<std::uint32_t>(tasks);
}

std::vector<std::string> decode_type_names(const Json& types) {
  if (!types.is_array()) fail_field(name::kTypes, "must be a list");
  std::vector<std::string> names;
  for (const auto& type : types) {
    if (!type.is_string()) fail_field(name::kTypes, "must hold names");
    names.push_back(type.get<std::string>());
  }
  return names;
}

void decode_identity(const Json& body, JobSpec& job) {
  job.id = text(body, name::kId);
  if (!valid_job_id(job.id)) fail_field(name::kId, "must look like req-000412");
  job.job_class = decode_name(body, name::kClass);
  job.team = decode_name(body, name::kTeam);
  job.kind = decode_enum(body, name::kKind, kKinds);
  job.priority = decode_enum(body, name::kPriority, kPriorities);
}

void decode_needs(const Json& body, JobSpec& job) {
  job.tasks = decode_task_count(body);
  job.cpus = number(body, name::kCpus);
  job.gpus = number(body, name::kGpus);
  job.memory_gb = number(body, name::kMemoryGb);
  job.image = decode_name(body, name::kImage);
  job.image_gb = number(body, name::kImageGb);
}

void decode_constraints(const Json& body, JobSpec& job) {
  if (const Json* types = optional_member(body, name::kTypes)) {
    job.types = decode_type_names(*types);
  }
  if (optional_member(body, name::kZone) != nullptr) job.zone = decode_name(body, name::kZone);
  job.one_zone = flag(body, name::kOneZone);
  job.spread = flag(body, name::kSpread);
  job.spot = flag(body, name::kSpot);
}

void decode_times(const Json& body, JobSpec& job) {
  job.estimate = Seconds(number(body, name::kEstimate));
  job.checkpoint_interval = Seconds(number(body, name::kCheckpoint));
  job.checkpoint_time = Seconds(number(body, name::kSaveTime));
  if (optional_member(body, name::kDeadline) != nullptr) {
    job.deadline = Seconds(number(body, name::kDeadline));
  }
}

}  // namespace

bool valid_job_id(std::string_view id) {
  if (!id.starts_with(kJobPrefix) || id.size() <= kJobPrefix.size()) return false;
  if (id.size() > kMaxJobIdLength) return false;
  return std::all_of(id.begin() + kJobPrefix.size(), id.end(),
                     [](char character) { return character >= '0' && character <= '9'; });
}

std::string job_id_of(const Json& body) {
  const auto found = body.find(name::kId);
  if (found == body.end() || !found->is_string()) return {};
  const auto& id = found->get_ref<const std::string&>();
  return valid_job_id(id) ? id : std::string();
}

// Only the fields that may be null may be absent (PROTOCOL): types, zone and deadline.
// The error names the first invalid field in the order of these calls.
JobSpec decode_job(const Json& body) {
  JobSpec job;
  decode_identity(body, job);
  decode_needs(body, job);
  decode_constraints(body, job);
  decode_times(body, job);
  return job;
}

Json encode_job(const JobSpec& job) {
  Json out = {{name::kId, job.id},
              {name::kClass, job.job_class},
              {name::kTeam, job.team},
              {name::kKind, enum_name(job.kind, kKinds)},
              {name::kPriority, enum_name(job.priority, kPriorities)},
              {name::kTasks, job.tasks},
              {name::kCpus, job.cpus},
              {name::kGpus, job.gpus},
              {name::kMemoryGb, job.memory_gb},
              {name::kImage, job.image},
              {name::kImageGb, job.image_gb},
              {name::kOneZone, job.one_zone},
              {name::kSpread, job.spread},
              {name::kSpot, job.spot},
              {name::kEstimate, job.estimate.count()},
              {name::kCheckpoint, job.checkpoint_interval.count()},
              {name::kSaveTime, job.checkpoint_time.count()}};
  if (job.types) out[name::kTypes] = *job.types;
  if (job.zone) out[name::kZone] = *job.zone;
  if (job.deadline) out[name::kDeadline] = job.deadline->count();
  return out;
}

std::string encode_status(const std::string& id, JobStage stage) {
  return dump({{name::kId, id}, {name::kState, enum_name(stage, kStages)}});
}

std::string encode_status(const std::string& id, JobStage stage, std::uint64_t done,
                          std::uint64_t running) {
  return dump({{name::kId, id},
               {name::kState, enum_name(stage, kStages)},
               {name::kDone, done},
               {name::kRunning, running}});
}

std::string encode_error(std::string_view message) {
  return dump({{name::kError, std::string(message)}});
}

}  // namespace asterstair::wire
