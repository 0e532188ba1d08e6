#pragma once
/// @file
/// Requests to the cloud's API and its responses: machine types, rental, return and listing of
/// machines. Package cloud sends these requests.

#include <string>
#include <vector>

#include "base/model.hpp"
#include "base/runtime.hpp"
#include "wire/json.hpp"

namespace asterstair::wire {

/// Maximum number of machines in one rental (PROTOCOL).
inline constexpr std::size_t kMaxMachinesPerRental = 50;
/// Maximum number of machines in one return (PROTOCOL).
inline constexpr std::size_t kMaxMachinesPerReturn = 100;
/// Maximum number of machines in a page of the list (PROTOCOL).
inline constexpr std::size_t kMaxMachinesPerPage = 500;

/// Request to rent machines of one type in one zone.
struct RentalRequest {
  /// Idempotency key: a repeated request with the same key rents no further machines.
  std::string request;
  /// Machine type.
  std::string type;
  std::string zone;
  /// Whether to rent spot machines.
  bool spot = false;
  /// Number of machines; at most kMaxMachinesPerRental.
  std::size_t count = 0;
  /// Fencing token of the provisioning lease. Clouds that do not check it ignore it. 0: not sent.
  std::uint64_t token = 0;
};

/// Request to return machines.
struct ReturnRequest {
  /// IDs of the machines; at most kMaxMachinesPerReturn.
  std::vector<std::string> machines;
  /// ID of the operation, for the cloud's own records. Empty: not sent.
  std::string request;
  /// Fencing token, as in RentalRequest.
  std::uint64_t token = 0;
};

/// One page of the list of machines.
struct MachinePage {
  std::vector<ListedMachine> machines;
  /// Whether the list has a further page.
  bool more = false;
};

/// Returns the request for the machine types.
HttpRequest machine_types_request();

/// Decodes machine types from a response of the cloud or from the stored catalog. Throws
/// DecodeError.
std::vector<MachineType> decode_machine_types(const std::string& body);

/// Encodes machine types for the stored catalog, in the cloud's format.
Json encode_machine_types(const std::vector<MachineType>& types);

/// Returns the request that rents machines.
HttpRequest rent_request(const RentalRequest& rental);

/// Decodes the IDs of the rented machines from the response to a rental. Throws DecodeError.
std::vector<std::string> decode_rented_machines(const std::string& body);

/// Returns the request that returns machines.
HttpRequest return_request(const ReturnRequest& order);

/// Returns the request for a page of the list of machines.
/// @param after  ID of the last machine on the previous page; empty: request the first page
HttpRequest list_machines_request(const std::string& after);

/// Decodes a page of the list of machines. Throws DecodeError.
MachinePage decode_machines(const std::string& body);

}  // namespace asterstair::wire
