#pragma once
// Literals and helpers for the golden tests, which compare encoded messages and records with fixed
// literals.

#include <gtest/gtest.h>

#include <string>

#include "base/runtime.hpp"

namespace test_support {

using namespace asterstair;

inline constexpr const char* kGangJob =
    R"({"accelerators":1.0,"bookmarkS":30.0,"bundle":"img-07","cores":8.0,"dueS":900.0,)"
    R"("expectS":240.0,"flavors":["g8"],"imageGb":6.2,"lane":"train","loaner":true,)"
    R"("owner":"vision","pieces":16,"ramGb":64.0,"rank":"high","ref":"req-000412",)"
    R"("scatter":false,"shape":"ensemble","stashS":4.0,"together":true,"yard":"a"})";

inline constexpr const char* kArrayJob =
    R"({"accelerators":0.0,"bookmarkS":0.0,"bundle":"img-01","cores":0.5,"expectS":12.0,)"
    R"("imageGb":0.1,"lane":"sweep","loaner":false,"owner":"red","pieces":100000,"ramGb":1.0,)"
    R"("rank":"idle","ref":"req-1","scatter":true,"shape":"batch","stashS":0.0,"together":false})";

/// Encodes bytes as hexadecimal digits.
inline std::string hex(const std::string& bytes) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string out;
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    out += kDigits[byte >> 4U];
    out += kDigits[byte & 0xfU];
  }
  return out;
}

/// Decodes hexadecimal digits to bytes.
inline std::string unhex(const std::string& digits) {
  std::string out;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    out += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
  }
  return out;
}

inline void expect_request(const HttpRequest& request, const char* method, const char* target,
                           const char* body) {
  EXPECT_EQ(request.method, method);
  EXPECT_EQ(request.target, target);
  EXPECT_EQ(request.body, body);
}

}  // namespace test_support
