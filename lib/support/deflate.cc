#include "toucanwharf/support/deflate.h"

#include <zlib.h>

#include <array>
#include <cassert>

namespace toucanwharf {
namespace {

const Bytef* BytesOf(std::string_view text) {
  return reinterpret_cast<const Bytef*>(text.data());
}

/// Ends the stream in whatever way its scope is left.
class InflateStream {
 public:
  explicit InflateStream(std::string_view bytes) {
    // zlib reads from it only.
    this->stream.next_in = const_cast<Bytef*>(BytesOf(bytes));
    this->stream.avail_in = static_cast<uInt>(bytes.size());
    this->good = inflateInit(&this->stream) == Z_OK;
  }
  ~InflateStream() {
    if (this->good) inflateEnd(&this->stream);
  }
  InflateStream(const InflateStream&) = delete;
  InflateStream& operator=(const InflateStream&) = delete;

  bool Good() const { return this->good; }
  z_stream& Inner() { return this->stream; }

 private:
  z_stream stream{};
  bool good = false;
};

}  // namespace

std::string Deflate(std::string_view text) {
  uLongf size = compressBound(text.size());
  std::string bytes(size, '\0');
  [[maybe_unused]] const int end =
      compress2(reinterpret_cast<Bytef*>(bytes.data()), &size, BytesOf(text),
                text.size(), Z_BEST_SPEED);
  assert(end == Z_OK && "the buffer has the size that zlib asks for");
  bytes.resize(size);
  return bytes;
}

std::optional<std::string> Inflate(std::string_view bytes, std::size_t most) {
  constexpr std::size_t kPiece = 64UL * 1024;
  InflateStream whole(bytes);
  if (!whole.Good()) return std::nullopt;
  std::string text;
  std::array<char, kPiece> piece{};
  int end = Z_OK;
  while (end == Z_OK) {
    whole.Inner().next_out = reinterpret_cast<Bytef*>(piece.data());
    whole.Inner().avail_out = static_cast<uInt>(piece.size());
    end = inflate(&whole.Inner(), Z_NO_FLUSH);
    const std::size_t got = piece.size() - whole.Inner().avail_out;
    if (text.size() + got > most) return std::nullopt;
    text.append(piece.data(), got);
  }
  if (end != Z_STREAM_END) return std::nullopt;
  return text;
}

}  // namespace toucanwharf
