#ifndef TOUCANWHARF_COMMAND_PLATFORM_H_
#define TOUCANWHARF_COMMAND_PLATFORM_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "toucanwharf/store/object.h"
#include "toucanwharf/support/clock.h"
#include "toucanwharf/support/result.h"

namespace toucanwharf::command {

/// Client of the platform's object API. Makes one call at a time and retries it
/// until its outcome is known or a timeout has passed.
/// Thread safety: safe; all methods block the calling thread.
class Platform {
 public:
  /// Precondition: \p address is "ip:port". Each method, with all its attempts,
  /// gives up after \p timeout.
  Platform(std::string address, Duration timeout);

  /// Returns all objects of \p collection. Errors: kUnreachable.
  Result<store::Listing> List(const std::string& collection) const;

  /// Returns one object. Errors: kNotFound, kUnreachable.
  Result<store::Object> Read(const store::ObjectKey& key) const;

  /// Writes \p value if the object's version is still \p if_version (0: if it
  /// does not exist) and returns the new version. Errors: kConflict,
  /// kOutcomeUnknown if the platform does not answer in time.
  Result<std::uint64_t> Write(const store::ObjectKey& key,
                              const nlohmann::json& value,
                              std::uint64_t if_version) const;

  /// Deletes the object if its version is still \p if_version. A missing object
  /// counts as deleted. Errors: kConflict, kOutcomeUnknown.
  Result<void> Delete(const store::ObjectKey& key,
                      std::uint64_t if_version) const;

  /// Returns the admin addresses of the routers in the list of instances.
  /// Errors: kUnreachable.
  Result<std::vector<std::string>> AdminAddresses() const;

 private:
  store::WriteAnswer AttemptWrite(const store::Write& write) const;
  store::ReadAnswer AttemptRead(const store::ObjectKey& key) const;

  std::string address;
  Duration timeout;
};

}  // namespace toucanwharf::command

#endif  // TOUCANWHARF_COMMAND_PLATFORM_H_
