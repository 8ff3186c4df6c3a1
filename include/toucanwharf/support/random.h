#ifndef TOUCANWHARF_SUPPORT_RANDOM_H_
#define TOUCANWHARF_SUPPORT_RANDOM_H_

#include <cstdint>
#include <limits>
#include <string_view>

namespace toucanwharf {

/// Returns the next word of the SplitMix64 sequence with state \p state.
/// Thread safety: safe.
constexpr std::uint64_t MixBits(std::uint64_t state) {
  std::uint64_t word = state + 0x9e3779b97f4a7c15ULL;
  word = (word ^ (word >> 30)) * 0xbf58476d1ce4e5b9ULL;
  word = (word ^ (word >> 27)) * 0x94d049bb133111ebULL;
  return word ^ (word >> 31);
}

/// Returns a hash of \p text that is the same in every process and build. Not
/// cryptographic. Thread safety: safe.
constexpr std::uint64_t HashText(std::string_view text) {
  std::uint64_t hash = 0;
  for (const char byte : text) {
    hash = MixBits(hash ^ static_cast<unsigned char>(byte));
  }
  return hash;
}

/// Seeded pseudorandom generator with the same sequence on every machine.
/// Satisfies UniformRandomBitGenerator. Not cryptographic.
/// Thread safety: none; one generator per thread.
class Random {
 public:
  using result_type = std::uint64_t;  // NOLINT(readability-identifier-naming)

  /// Starts the sequence of \p seed.
  explicit Random(std::uint64_t seed) : state(seed) {}

  static constexpr result_type min() { return 0; }  // NOLINT
  static constexpr result_type max() {              // NOLINT
    return std::numeric_limits<result_type>::max();
  }

  /// Returns the next 64 random bits.
  result_type operator()() {
    const std::uint64_t word = MixBits(this->state);
    this->state += 0x9e3779b97f4a7c15ULL;
    return word;
  }

  /// Returns a number in [0, \p bound).
  /// Precondition: bound > 0.
  std::uint64_t Below(std::uint64_t bound) { return (*this)() % bound; }

  /// Returns a number in [0, 1).
  double Unit() {
    constexpr double kScale = 1.0 / 9007199254740992.0;
    return static_cast<double>((*this)() >> 11) * kScale;
  }

 private:
  std::uint64_t state;
};

}  // namespace toucanwharf

#endif  // TOUCANWHARF_SUPPORT_RANDOM_H_
