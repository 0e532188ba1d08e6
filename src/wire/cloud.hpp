#pragma once
// The cloud's interface.

#include <string>
#include <vector>

#include "base/model.hpp"
#include "base/runtime.hpp"
#include "wire/json.hpp"

namespace asterstair::wire {

inline constexpr std::size_t kMostRented = 50;
inline constexpr std::size_t kMostReturned = 100;
inline constexpr std::size_t kMostListed = 500;

struct RentalRequest {
  std::string request, type, zone;
  bool spot = false;
  std::size_t count = 0;
  // The fencing token of whoever asks, for clouds that check it; 0: not offered. Others ignore it.
  std::uint64_t token = 0;
};

struct ReturnOrder {
  std::vector<std::string> machines;
  std::string request;      // the operation's name, for the record; empty: not offered
  std::uint64_t token = 0;  // as in RentalRequest
};

struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;
};

HttpRequest machine_types_request();
std::vector<MachineType> decode_machine_types(const std::string& body);
Json encode_machine_types(const std::vector<MachineType>& types);

HttpRequest rent_request(const RentalRequest& rental);
std::vector<std::string> decode_rented(const std::string& body);
HttpRequest return_request(const ReturnOrder& order);
HttpRequest list_request(const std::string& after);
MachinePage decode_machines(const std::string& body);

}  // namespace asterstair::wire
