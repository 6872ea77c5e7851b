/// cereal archives over a view of bytes whose lengths are checked against the
/// bytes that remain, before anything is allocated.
#ifndef DRAGONFLY_CONSENSUS_BOUNDEDARCHIVE_H
#define DRAGONFLY_CONSENSUS_BOUNDEDARCHIVE_H

// The adapter that carries user data is declared only under this name.
#define CEREAL_FUTURE_EXPERIMENTAL
#include <cereal/archives/adapters.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

#include <cstdint>
#include <sstream>
#include <streambuf>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::consensus {

/// A stream buffer over bytes that it does not own.
class ByteSource : public std::streambuf {
public:
  explicit ByteSource(std::string_view Bytes) {
    char *Begin = const_cast<char *>(Bytes.data());
    setg(Begin, Begin, Begin + Bytes.size());
  }

  std::size_t remaining() const {
    return static_cast<std::size_t>(egptr() - gptr());
  }
};

using OutputArchive = cereal::PortableBinaryOutputArchive;
using InputArchive =
    cereal::UserDataAdapter<ByteSource, cereal::PortableBinaryInputArchive>;

/// Marks a string or vector whose length is written as 32 bits and checked
/// when it is read.
template <typename T> struct Bounded {
  T &Value_;
};

template <typename T> Bounded<T> bounded(T &Value) { return {Value}; }

/// Reads a length and refuses one that the remaining bytes cannot hold.
template <typename Archive>
std::uint32_t readLength(Archive &Ar, std::size_t MinElementBytes) {
  std::uint32_t Length = 0;
  Ar(Length);
  const auto &Source = cereal::get_user_data<ByteSource>(Ar);
  if (Length > Source.remaining() / MinElementBytes)
    throw cereal::Exception("a length exceeds the message");
  return Length;
}

template <typename Archive>
void save(Archive &Ar, const Bounded<std::string> &Field) {
  Ar(static_cast<std::uint32_t>(Field.Value_.size()));
  Ar(cereal::binary_data(Field.Value_.data(), Field.Value_.size()));
}

template <typename Archive>
void load(Archive &Ar, Bounded<std::string> &Field) {
  Field.Value_.resize(readLength(Ar, 1));
  Ar(cereal::binary_data(Field.Value_.data(), Field.Value_.size()));
}

template <typename Archive, typename T>
void save(Archive &Ar, const Bounded<std::vector<T>> &Field) {
  Ar(static_cast<std::uint32_t>(Field.Value_.size()));
  for (T &Element : Field.Value_)
    Ar(Element);
}

template <typename Archive, typename T>
void load(Archive &Ar, Bounded<std::vector<T>> &Field) {
  constexpr std::size_t MinElementBytes = 16;
  const std::uint32_t Length = readLength(Ar, MinElementBytes);
  Field.Value_.clear();
  for (std::uint32_t I = 0; I < Length; ++I)
    Ar(Field.Value_.emplace_back());
}

/// Returns \p Value as bytes.
template <typename T> std::string toBytes(const T &Value) {
  std::ostringstream Out;
  {
    OutputArchive Ar(Out);
    Ar(Value);
  }
  return std::move(Out).str();
}

/// Returns the one value that \p Bytes holds. Throws cereal::Exception.
template <typename T> T fromBytes(std::string_view Bytes) {
  ByteSource Source(Bytes);
  std::istream In(&Source);
  InputArchive Ar(Source, In);
  T Value;
  Ar(Value);
  if (Source.remaining() != 0)
    throw cereal::Exception("bytes follow the message");
  return Value;
}

} // namespace dragonfly::consensus

#endif // DRAGONFLY_CONSENSUS_BOUNDEDARCHIVE_H
