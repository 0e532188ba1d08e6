#pragma once
/// @file
/// Interface for the fencing of operations. Implemented by ProvisioningController; used by
/// OperationRunner and StoredOperationLog.

#include <cstdint>
#include <vector>

#include "wire/state.hpp"

namespace asterstair::provisioning {

/// Tells whether machines may be rented and returned, and under which fencing token.
class FencingAuthority {
 public:
  virtual ~FencingAuthority() = default;
  /// Whether this node's lease is valid: requests may be sent to the cloud now.
  virtual bool lease_valid() const = 0;
  /// Whether an administrator has paused provisioning: no new operation may begin.
  virtual bool paused() const = 0;
  /// The fencing token. It is part of the names of new operations.
  virtual std::uint64_t token() const = 0;
  /// Whether requests to the cloud carry the fencing token.
  virtual bool sends_fencing_token() const = 0;
  /// Conditions for every write to the operation log. They fail once this node's token is outdated.
  virtual std::vector<wire::Condition> guards() const = 0;
  /// Requests a new token. All unanswered writes under the current token fail from then on.
  virtual void renew_token() = 0;
};

}  // namespace asterstair::provisioning
