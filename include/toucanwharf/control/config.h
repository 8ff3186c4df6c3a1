#ifndef TOUCANWHARF_CONTROL_CONFIG_H_
#define TOUCANWHARF_CONTROL_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Accepted configuration as it is published: a head that names a chain of
/// deltas and a snapshot under it.
namespace toucanwharf::control {

/// Record values (JSON text) by object name, `{kind}.{name}`.
using RecordMap = std::map<std::string, std::string>;

/// Everything accepted up to one generation.
struct Config {
  std::uint64_t generation = 0;
  RecordMap records;

  friend bool operator==(const Config&, const Config&) = default;
};

/// What one generation changed; no value stands for a deletion.
using ChangeMap = std::map<std::string, std::optional<std::string>>;

/// One generation's changes, in the object `config/{name}`.
struct Delta {
  std::uint64_t generation = 0;
  /// Name of the delta of the generation before; empty for the first.
  std::string previous;
  ChangeMap changes;

  friend bool operator==(const Delta&, const Delta&) = default;
};

/// Names a snapshot: `config/{name}-{chunk}` for each chunk from 0.
struct SnapshotName {
  /// 0 when there is none.
  std::uint64_t generation = 0;
  std::string name;
  std::uint64_t chunks = 0;

  friend bool operator==(const SnapshotName&, const SnapshotName&) = default;
};

/// The object `config/head`. It is the only one that is ever overwritten, by a
/// conditional write: its version is what a publisher that lost the lease
/// can't have.
struct Head {
  std::uint64_t generation = 0;
  /// Fencing number of the publisher's lease.
  std::uint64_t fence = 0;
  /// Revision of the listing of records that the generation was made from.
  std::uint64_t records_revision = 0;
  std::string delta;
  SnapshotName snapshot;

  friend bool operator==(const Head&, const Head&) = default;
};

inline constexpr const char* kConfigCollection = "config";
inline constexpr const char* kHeadName = "head";
/// Chunks are cut at this size, under the platform's limit by far.
inline constexpr std::size_t kChunkBytes = std::size_t{512} * 1024;

/// Encode as JSON text, and decode, or nothing for text that isn't one.
/// Thread safety: safe.
std::string Encode(const Head& head);
std::string Encode(const Delta& delta);
std::optional<Head> DecodeHead(std::string_view text);
std::optional<Delta> DecodeDelta(std::string_view text);

/// Returns \p records as JSON objects of about kChunkBytes at most; one chunk
/// at least.
/// Thread safety: safe.
std::vector<std::string> EncodeChunks(const RecordMap& records);
/// Returns the records of one chunk, or nothing for text that isn't one.
/// Thread safety: safe.
std::optional<RecordMap> DecodeChunk(std::string_view text);

/// What one instance sends another: all changes from one generation to
/// another, or with `from` 0 everything.
struct PeerUpdate {
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  ChangeMap changes;

  friend bool operator==(const PeerUpdate&, const PeerUpdate&) = default;
};

std::string Encode(const PeerUpdate& update);
std::optional<PeerUpdate> DecodePeerUpdate(std::string_view text);

}  // namespace toucanwharf::control

#endif  // TOUCANWHARF_CONTROL_CONFIG_H_
