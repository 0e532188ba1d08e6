#pragma once
/// @file
/// The cloud's interface: machine types, rental, return and list of machines. Package cloud sends
/// these requests.

#include <string>
#include <vector>

#include "base/model.hpp"
#include "base/runtime.hpp"
#include "wire/json.hpp"

namespace asterstair::wire {

/// Most machines in a rental (PROTOCOL).
inline constexpr std::size_t kMostRented = 50;
/// Most machines in a return (PROTOCOL).
inline constexpr std::size_t kMostReturned = 100;
/// Most machines in a page of the list (PROTOCOL).
inline constexpr std::size_t kMostListed = 500;

/// Request to rent machines of one kind.
struct RentalRequest {
  /// Name of the request: repeating it rents nothing twice.
  std::string request;
  /// Machine type.
  std::string type;
  std::string zone;
  /// Whether to rent spot machines.
  bool spot = false;
  /// Number of machines; at most kMostRented.
  std::size_t count = 0;
  /// Fencing token of the provisioning lease, for clouds that check it; others ignore it. 0: not
  /// sent.
  std::uint64_t token = 0;
};

/// Request to return machines.
struct ReturnOrder {
  /// Names of the machines; at most kMostReturned.
  std::vector<std::string> machines;
  /// Name of the operation, for the cloud's record; empty: not sent.
  std::string request;
  /// Fencing token, as in RentalRequest.
  std::uint64_t token = 0;
};

/// One page of the list of machines.
struct MachinePage {
  std::vector<ListedMachine> machines;
  /// Whether there are further machines.
  bool more = false;
};

/// Returns the request for the machine types.
HttpRequest machine_types_request();

/// Decodes machine types: an answer of the cloud, or the stored catalog. Throws DecodeError.
std::vector<MachineType> decode_machine_types(const std::string& body);

/// Encodes machine types as the cloud does, for the stored catalog.
Json encode_machine_types(const std::vector<MachineType>& types);

/// Returns the request that rents machines.
HttpRequest rent_request(const RentalRequest& rental);

/// Returns the names of the machines rented. Throws DecodeError.
std::vector<std::string> decode_rented(const std::string& body);

/// Returns the request that returns machines.
HttpRequest return_request(const ReturnOrder& order);

/// Returns the request for a page of the list of machines.
/// @param after  last machine of the previous page; empty: the first page
HttpRequest list_request(const std::string& after);

/// Decodes a page of the list of machines. Throws DecodeError.
MachinePage decode_machines(const std::string& body);

}  // namespace asterstair::wire
