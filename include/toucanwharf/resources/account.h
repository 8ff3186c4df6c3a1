#ifndef TOUCANWHARF_RESOURCES_ACCOUNT_H_
#define TOUCANWHARF_RESOURCES_ACCOUNT_H_

#include <atomic>
#include <cstddef>
#include <limits>

/// Accounts of the memory and descriptors that a process uses for others.
///
/// A limit for each request or connection bounds no sum: many clients inside it
/// can together take all memory of a machine. So what is held for clients is
/// counted in one place, which says when there is no more room.
namespace toucanwharf::resources {

/// How much of one resource is used, of how much.
/// Thread safety: safe.
class Account {
 public:
  static constexpr std::size_t kUnlimited =
      std::numeric_limits<std::size_t>::max();

  /// \p most is the capacity, in units of the resource.
  explicit Account(std::size_t most = kUnlimited) : capacity(most) {}
  Account(const Account&) = delete;
  Account& operator=(const Account&) = delete;

  /// Adds \p amount whether there is room or not: what is counted is in use
  /// already.
  void Add(std::size_t amount);
  /// Gives \p amount back. Precondition: it was added.
  void Remove(std::size_t amount);

  std::size_t Capacity() const { return this->capacity; }
  std::size_t Used() const { return this->used; }
  /// Returns the largest use so far.
  std::size_t Peak() const { return this->peak; }
  /// Returns how much more may be used; 0 when more than the capacity is.
  std::size_t Free() const;
  /// Returns how much one of many holders may use, at most \p most and at least
  /// \p least.
  ///
  /// Load: many clients read their answers slowly at once. Each may hold a part
  /// of what is free, which shrinks as they become more, so that together they
  /// don't exceed the capacity as long as it isn't smaller than \p least for
  /// each.
  std::size_t Allowance(std::size_t most, std::size_t least) const;

 private:
  std::size_t capacity;
  std::atomic<std::size_t> used = 0;
  std::atomic<std::size_t> peak = 0;
};

/// An amount of a resource in use, given back by the destructor. A lease of no
/// account counts nothing.
/// Thread safety: one thread at a time.
class Lease {
 public:
  Lease() = default;
  /// Precondition: \p source outlives the lease.
  explicit Lease(Account& source, std::size_t initial = 0);
  ~Lease() { this->Resize(0); }
  Lease(Lease&& other) noexcept;
  Lease& operator=(Lease&& other) noexcept;
  Lease(const Lease&) = delete;
  Lease& operator=(const Lease&) = delete;

  /// Changes the amount in use.
  void Resize(std::size_t new_amount);
  std::size_t Amount() const { return this->amount; }

 private:
  Account* account = nullptr;
  std::size_t amount = 0;
};

}  // namespace toucanwharf::resources

#endif  // TOUCANWHARF_RESOURCES_ACCOUNT_H_
