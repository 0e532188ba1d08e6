#include "store/record_format.hpp"

namespace asterstair::store {
namespace {

constexpr const char* kFormatField = "form";

}  // namespace

std::string unreadable_copy_key(const std::string& key) { return kUnreadablePrefix + key; }

void require_known_format(const wire::Json& value) {
  if (wire::optional_member(value, kFormatField) == nullptr) return;
  const auto format = wire::integer(value, kFormatField);
  if (format > kRecordFormat) {
    throw wire::DecodeError(
        "form " + std::to_string(format) + " is newer than this program supports", kFormatField);
  }
}

}  // namespace asterstair::store
