/// Compact cereal archives over strings: integers as variable-length numbers,
/// and no allocation beyond the bytes that are really there.
#ifndef DRAGONFLY_SRC_BASE_ARCHIVE_H
#define DRAGONFLY_SRC_BASE_ARCHIVE_H

#include "dragonfly/base/Error.h"

#include <cereal/cereal.hpp>

#include <array>
#include <concepts>
#include <cstdint>
#include <cstring>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace dragonfly {

/// Ways in which bytes can fail to be an encoded value.
enum class ArchiveFault : std::uint8_t {
  Truncated,
  BadNumber,
  BadVariant,
  TooManyRows
};

using ArchiveError = TypedError<ArchiveFault>;

template <> struct EnumTable<ArchiveFault> {
  static constexpr std::array<EnumName<ArchiveFault>, 4> Rows{{
      {ArchiveFault::Truncated, "value-truncated"},
      {ArchiveFault::BadNumber, "bad-number"},
      {ArchiveFault::BadVariant, "bad-variant"},
      {ArchiveFault::TooManyRows, "too-many-rows"},
  }};
};

/// Appends values to a string.
class OutputArchive
    : public cereal::OutputArchive<OutputArchive,
                                   cereal::AllowEmptyClassElision> {
public:
  explicit OutputArchive(std::string &Out)
      : cereal::OutputArchive<OutputArchive, cereal::AllowEmptyClassElision>(
            this),
        Out_(Out) {}

  void number(std::uint64_t Value) {
    while (Value >= 0x80U) {
      Out_.push_back(static_cast<char>(Value | 0x80U));
      Value >>= 7U;
    }
    Out_.push_back(static_cast<char>(Value));
  }

  void bytes(const void *Data, std::size_t Size) {
    Out_.append(static_cast<const char *>(Data), Size);
  }

private:
  std::string &Out_;
};

/// Reads values from bytes. Every function throws ArchiveError.
class InputArchive
    : public cereal::InputArchive<InputArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  /// \p MaxRowBytes bounds the memory of all rows that are read, without what
  /// they point to: rows may take one byte each where they are encoded.
  explicit InputArchive(
      std::string_view In,
      std::size_t MaxRowBytes = std::numeric_limits<std::size_t>::max())
      : cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>(
            this),
        In_(In), RowBytesLeft_(MaxRowBytes) {}

  std::uint64_t number() {
    constexpr unsigned MaxShift = 63;
    std::uint64_t Value = 0;
    for (unsigned Shift = 0; Shift <= MaxShift; Shift += 7) {
      if (In_.empty())
        throw ArchiveError(ArchiveFault::Truncated, "number");
      const auto Byte = static_cast<unsigned char>(In_.front());
      In_.remove_prefix(1);
      Value |= static_cast<std::uint64_t>(Byte & 0x7FU) << Shift;
      if ((Byte & 0x80U) == 0)
        return Value;
    }
    throw ArchiveError(ArchiveFault::BadNumber, "number too long");
  }

  void bytes(void *Data, std::size_t Size) {
    if (Size > In_.size())
      throw ArchiveError(ArchiveFault::Truncated, "bytes");
    std::memcpy(Data, In_.data(), Size);
    In_.remove_prefix(Size);
  }

  /// Counts one more row of \p Bytes.
  void takeRow(std::size_t Bytes) {
    if (Bytes > RowBytesLeft_)
      throw ArchiveError(ArchiveFault::TooManyRows, "rows");
    RowBytesLeft_ -= Bytes;
  }

  /// Bytes that have not been read yet.
  std::size_t remaining() const { return In_.size(); }

private:
  std::string_view In_;
  std::size_t RowBytesLeft_;
};

/// Maps signed numbers to unsigned ones so that small magnitudes stay small.
constexpr std::uint64_t zigzag(std::int64_t Value) {
  return (static_cast<std::uint64_t>(Value) << 1U) ^
         static_cast<std::uint64_t>(Value >> 63U);
}

constexpr std::int64_t unzigzag(std::uint64_t Value) {
  return static_cast<std::int64_t>(Value >> 1U) ^
         -static_cast<std::int64_t>(Value & 1U);
}

template <std::integral T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive &Ar, const T &Value) {
  if constexpr (std::is_signed_v<T>)
    Ar.number(zigzag(Value));
  else
    Ar.number(Value);
}

template <std::integral T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive &Ar, T &Value) {
  if constexpr (std::is_signed_v<T>)
    Value = static_cast<T>(unzigzag(Ar.number()));
  else
    Value = static_cast<T>(Ar.number());
}

template <std::floating_point T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive &Ar, const T &Value) {
  Ar.bytes(&Value, sizeof Value);
}

template <std::floating_point T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive &Ar, T &Value) {
  Ar.bytes(&Value, sizeof Value);
}

inline void CEREAL_SAVE_FUNCTION_NAME(OutputArchive &Ar,
                                      const std::string &Value) {
  Ar.number(Value.size());
  Ar.bytes(Value.data(), Value.size());
}

inline void CEREAL_LOAD_FUNCTION_NAME(InputArchive &Ar, std::string &Value) {
  const std::uint64_t Size = Ar.number();
  if (Size > Ar.remaining())
    throw ArchiveError(ArchiveFault::Truncated, "string");
  Value.resize(Size);
  Ar.bytes(Value.data(), Size);
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive &Ar, const std::vector<T> &Rows) {
  Ar.number(Rows.size());
  for (const T &Row : Rows)
    Ar(Row);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive &Ar, std::vector<T> &Rows) {
  const std::uint64_t Size = Ar.number();
  if (Size > Ar.remaining())
    throw ArchiveError(ArchiveFault::Truncated, "rows");
  Rows.clear();
  for (std::uint64_t Row = 0; Row < Size; ++Row) {
    Ar.takeRow(sizeof(T));
    Ar(Rows.emplace_back());
  }
}

} // namespace dragonfly

CEREAL_REGISTER_ARCHIVE(dragonfly::OutputArchive)
CEREAL_REGISTER_ARCHIVE(dragonfly::InputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(dragonfly::InputArchive, dragonfly::OutputArchive)

#endif // DRAGONFLY_SRC_BASE_ARCHIVE_H
