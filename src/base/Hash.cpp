#include "dragonfly/base/Hash.h"

#include <boost/crc.hpp>

namespace dragonfly {
namespace {

/// CRC-64 as in ECMA-182, reflected.
using Crc64 = boost::crc_optimal<64, 0x42F0E1EBA9EA3693, 0xFFFFFFFFFFFFFFFF,
                                 0xFFFFFFFFFFFFFFFF, true, true>;

} // namespace

std::uint64_t stableHash(std::initializer_list<std::string_view> Parts) {
  Crc64 Crc;
  for (const std::string_view Part : Parts) {
    Crc.process_bytes(Part.data(), Part.size());
    Crc.process_byte(0);
  }
  return Crc.checksum();
}

} // namespace dragonfly
