#ifndef TOUCANWHARF_CONTROL_CONFIG_H_
#define TOUCANWHARF_CONTROL_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Accepted configuration as it is published: a head that refers to a chain of
/// deltas and to the snapshot below it.
namespace toucanwharf::control {

/// Record values (JSON text) by object name, `{kind}.{name}`.
using RecordMap = std::map<std::string, std::string>;

/// All records accepted up to one generation.
struct Config {
  std::uint64_t generation = 0;
  RecordMap records;

  friend bool operator==(const Config&, const Config&) = default;
};

/// Changes of one generation; no value means a deletion.
using ChangeMap = std::map<std::string, std::optional<std::string>>;

/// One generation's changes, in the object `config/{name}`.
struct Delta {
  std::uint64_t generation = 0;
  /// Name of the previous generation's delta; empty for the first.
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

/// The object `config/head`, the only one that is ever overwritten. The write
/// is conditional on its version, which a publisher that lost the lease can't
/// know.
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
/// Maximum size of a chunk, far below the platform's limit.
inline constexpr std::size_t kChunkBytes = std::size_t{512} * 1024;

/// Encode to JSON text and decode; decoding returns nothing for invalid text.
/// Thread safety: safe.
std::string Encode(const Head& head);
std::string Encode(const Delta& delta);
std::optional<Head> DecodeHead(std::string_view text);
std::optional<Delta> DecodeDelta(std::string_view text);

/// Returns \p records as JSON objects of up to about kChunkBytes each; at least
/// one chunk.
/// Thread safety: safe.
std::vector<std::string> EncodeChunks(const RecordMap& records);
/// Returns the records of one chunk, or nothing for invalid text.
/// Thread safety: safe.
std::optional<RecordMap> DecodeChunk(std::string_view text);

/// An update from one instance to another: all changes from one generation to
/// another, or all records if `from` is 0.
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
