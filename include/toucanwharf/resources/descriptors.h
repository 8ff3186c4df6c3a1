#ifndef TOUCANWHARF_RESOURCES_DESCRIPTORS_H_
#define TOUCANWHARF_RESOURCES_DESCRIPTORS_H_

#include <array>
#include <cstddef>
#include <utility>

namespace toucanwharf::resources {

/// What a connection is for.
enum class ConnectionUse {
  /// A connection that a caller of the service opened.
  kCaller,
  /// One that a peer, an operator or the platform opened, to any other address.
  kControl,
  /// One that this process opened, to an endpoint, a peer or the store.
  kCall,
};

/// Divides the descriptors of a process between the uses of connections.
///
/// Failure guarded against: idle connections of callers take all descriptors,
/// and no request is served, since none is left for a call to an endpoint; or
/// the platform takes the process for dead, since it can't ask whether it is.
/// Each use has a part that the others can't take. What nobody has a right to
/// goes to whoever comes first.
/// Thread safety: none; for one thread.
class Descriptors {
 public:
  /// \p most is how many connections may be open.
  explicit Descriptors(std::size_t most);

  /// Counts one more connection. Returns false, and counts nothing, if there is
  /// no room for it.
  bool Take(ConnectionUse use);
  /// Precondition: Take returned true for \p use.
  void GiveBack(ConnectionUse use);
  /// Returns whether Take would return true.
  bool HasRoom(ConnectionUse use) const { return this->Room(use) > 0; }
  /// Returns how many more connections of \p use may be opened.
  std::size_t Room(ConnectionUse use) const;

  std::size_t Capacity() const { return this->capacity; }
  std::size_t Used(ConnectionUse use) const {
    return this->used.at(static_cast<std::size_t>(use));
  }
  std::size_t Used() const;
  /// Returns the largest number of open connections so far.
  std::size_t Peak() const { return this->peak; }

 private:
  static constexpr std::size_t kUses = 3;

  std::size_t capacity;
  /// By use.
  std::array<std::size_t, kUses> reserved{};
  std::array<std::size_t, kUses> used{};
  std::size_t peak = 0;
};

/// One connection that Descriptors has counted, given back by the destructor.
/// Thread safety: none; for one thread.
class DescriptorLease {
 public:
  DescriptorLease() = default;
  /// Precondition: \p source.Take(\p taken) returned true; \p source outlives
  /// the lease.
  DescriptorLease(Descriptors& source, ConnectionUse taken)
      : descriptors(&source), use(taken) {}
  ~DescriptorLease() { this->Release(); }
  DescriptorLease(DescriptorLease&& other) noexcept
      : descriptors(std::exchange(other.descriptors, nullptr)),
        use(other.use) {}
  DescriptorLease& operator=(DescriptorLease&& other) noexcept {
    if (this == &other) return *this;
    this->Release();
    this->descriptors = std::exchange(other.descriptors, nullptr);
    this->use = other.use;
    return *this;
  }
  DescriptorLease(const DescriptorLease&) = delete;
  DescriptorLease& operator=(const DescriptorLease&) = delete;

  /// Gives the descriptor back early; the destructor then does nothing.
  void Release() {
    if (this->descriptors != nullptr) this->descriptors->GiveBack(this->use);
    this->descriptors = nullptr;
  }

 private:
  Descriptors* descriptors = nullptr;
  ConnectionUse use = ConnectionUse::kCaller;
};

}  // namespace toucanwharf::resources

#endif  // TOUCANWHARF_RESOURCES_DESCRIPTORS_H_
