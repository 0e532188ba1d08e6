#include "store/progress_records.hpp"

#include <algorithm>
#include <charconv>
#include <string_view>

#include "store/record_format.hpp"

namespace asterstair::store {
namespace {

constexpr const char* kDoneField = "done";
constexpr const char* kHexDigits = "0123456789abcdef";
constexpr unsigned kTasksPerDigit = 4;
// Upper bound of the bytes of a chunk's value, excluding its digits.
constexpr std::size_t kChunkOverhead = 64;

unsigned digit_value(char digit) {
  const auto value = std::string_view(kHexDigits).find(digit);
  if (value == std::string_view::npos) {
    wire::fail_field(kDoneField, "must consist of lower-case hexadecimal digits");
  }
  return static_cast<unsigned>(value);
}

}  // namespace

std::string progress_key(const std::string& job, std::size_t chunk) {
  return kProgressPrefix + job + "/" + std::to_string(chunk);
}

std::optional<std::pair<std::string, std::size_t>> parse_progress_key(const std::string& key) {
  const std::string_view prefix = kProgressPrefix;
  const auto slash = key.rfind('/');
  if (!key.starts_with(prefix) || slash < prefix.size() || slash == std::string::npos) return {};
  std::size_t chunk = 0;
  const char* const key_end = key.data() + key.size();
  const auto [number_end, error] = std::from_chars(key.data() + slash + 1, key_end, chunk);
  if (error != std::errc() || number_end != key_end) return {};
  return std::pair{key.substr(prefix.size(), slash - prefix.size()), chunk};
}

std::size_t tasks_per_progress_chunk(std::size_t value_bytes) {
  return (value_bytes - kChunkOverhead) * kTasksPerDigit;
}

std::size_t progress_chunk_count(std::uint32_t tasks, std::size_t value_bytes) {
  const auto per_chunk = tasks_per_progress_chunk(value_bytes);
  return std::max<std::size_t>(1, (tasks + per_chunk - 1) / per_chunk);
}

wire::Json encode_progress_chunk(const std::vector<bool>& done, std::size_t chunk,
                                 std::size_t value_bytes) {
  const auto per_chunk = tasks_per_progress_chunk(value_bytes);
  const auto first = chunk * per_chunk;
  const auto end = std::min(done.size(), first + per_chunk);
  std::string digits;
  for (auto task = first; task < end; task += kTasksPerDigit) {
    unsigned digit = 0;
    for (unsigned bit = 0; bit < kTasksPerDigit && task + bit < end; ++bit) {
      digit |= (done[task + bit] ? 1U : 0U) << bit;
    }
    digits += kHexDigits[digit];
  }
  while (!digits.empty() && digits.back() == '0') digits.pop_back();
  return {{kDoneField, digits}};
}

void decode_progress_chunk(const wire::Json& value, std::size_t chunk, std::size_t value_bytes,
                           std::vector<bool>& done) {
  require_known_format(value);
  std::vector<unsigned> digits;
  for (const char character : wire::text(value, kDoneField)) {
    digits.push_back(digit_value(character));
  }
  auto task = chunk * tasks_per_progress_chunk(value_bytes);
  for (const unsigned digit : digits) {
    for (unsigned bit = 0; bit < kTasksPerDigit && task < done.size(); ++bit, ++task) {
      if ((digit >> bit) & 1U) done[task] = true;
    }
  }
}

}  // namespace asterstair::store
