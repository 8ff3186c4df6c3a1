#include "toucanwharf/support/deflate.h"

#include <zlib.h>

#include <array>
#include <cassert>

namespace toucanwharf {
namespace {

const Bytef* BytesOf(std::string_view text) {
  return reinterpret_cast<const Bytef*>(text.data());
}

/// Owner of a zlib stream; ends it in the destructor.
class InflateStream {
 public:
  explicit InflateStream(std::string_view bytes) {
    // zlib only reads from next_in.
    this->stream.next_in = const_cast<Bytef*>(BytesOf(bytes));
    this->stream.avail_in = static_cast<uInt>(bytes.size());
    this->initialized = inflateInit(&this->stream) == Z_OK;
  }
  ~InflateStream() {
    if (this->initialized) inflateEnd(&this->stream);
  }
  InflateStream(const InflateStream&) = delete;
  InflateStream& operator=(const InflateStream&) = delete;

  bool IsInitialized() const { return this->initialized; }
  z_stream& Raw() { return this->stream; }

 private:
  z_stream stream{};
  bool initialized = false;
};

}  // namespace

std::string Deflate(std::string_view text) {
  uLongf size = compressBound(text.size());
  std::string bytes(size, '\0');
  [[maybe_unused]] const int end =
      compress2(reinterpret_cast<Bytef*>(bytes.data()), &size, BytesOf(text),
                text.size(), Z_BEST_SPEED);
  assert(end == Z_OK && "the buffer has the size given by compressBound");
  bytes.resize(size);
  return bytes;
}

std::optional<std::string> Inflate(std::string_view bytes,
                                   std::size_t max_bytes) {
  constexpr std::size_t kChunkBytes = 64UL * 1024;
  InflateStream stream(bytes);
  if (!stream.IsInitialized()) return std::nullopt;
  std::string text;
  std::array<char, kChunkBytes> chunk{};
  int end = Z_OK;
  while (end == Z_OK) {
    stream.Raw().next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream.Raw().avail_out = static_cast<uInt>(chunk.size());
    end = inflate(&stream.Raw(), Z_NO_FLUSH);
    const std::size_t size = chunk.size() - stream.Raw().avail_out;
    if (text.size() + size > max_bytes) return std::nullopt;
    text.append(chunk.data(), size);
  }
  if (end != Z_STREAM_END) return std::nullopt;
  return text;
}

}  // namespace toucanwharf
