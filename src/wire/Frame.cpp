#include "dragonfly/wire/Frame.h"

#include "wire/Serialize.h"

#include <boost/crc.hpp>

#include <bit>
#include <cstring>
#include <utility>

namespace dragonfly::wire {
namespace {

static_assert(std::endian::native == std::endian::little,
              "header fields are copied as they lie in memory");

constexpr std::uint16_t Magic = 0xD5F1;

struct FrameHeader {
  std::uint16_t Magic_ = Magic;
  std::uint8_t Version_ = ProtocolVersion;
  FrameKind Kind_ = FrameKind::OneWay;
  std::uint32_t PayloadBytes_ = 0;
  std::uint32_t Checksum_ = 0;
  std::uint32_t Reserved_ = 0;
  std::uint64_t Sender_ = 0;
  std::uint64_t Sequence_ = 0;
};

constexpr std::size_t HeaderBytes = 32;
static_assert(sizeof(FrameHeader) == HeaderBytes);

/// Checksum over the header, with its checksum field zero, and the payload.
std::uint32_t checksum(FrameHeader Header, std::string_view Payload) {
  Header.Checksum_ = 0;
  boost::crc_32_type Crc;
  Crc.process_bytes(&Header, sizeof Header);
  Crc.process_bytes(Payload.data(), Payload.size());
  return Crc.checksum();
}

template <std::size_t Number = 0>
Message loadAlternative(InputArchive &In, std::size_t Wanted) {
  if constexpr (Number < std::variant_size_v<Message>) {
    if (Number != Wanted)
      return loadAlternative<Number + 1>(In, Wanted);
    std::variant_alternative_t<Number, Message> Value;
    In(Value);
    return Value;
  } else {
    throw FrameError(FrameFault::BadPayload,
                     "message number " + std::to_string(Wanted));
  }
}

Message decodePayload(std::string_view Payload) {
  try {
    InputArchive In(Payload, MaxRowBytes);
    Message Value = loadAlternative(In, In.number());
    if (In.remaining() != 0)
      throw FrameError(FrameFault::BadPayload, "bytes left over");
    return Value;
  } catch (const ArchiveError &Fault) {
    throw FrameError(FrameFault::BadPayload, Fault.what());
  }
}

FrameHeader readHeader(std::string_view Bytes) {
  FrameHeader Header;
  std::memcpy(&Header, Bytes.data(), sizeof Header);
  if (Header.Magic_ != Magic)
    throw FrameError(FrameFault::BadMagic, std::to_string(Header.Magic_));
  if (Header.Version_ != ProtocolVersion)
    throw FrameError(FrameFault::WrongVersion, std::to_string(Header.Version_));
  if (Header.PayloadBytes_ > MaxPayloadBytes)
    throw FrameError(FrameFault::TooLarge,
                     std::to_string(Header.PayloadBytes_) + " bytes");
  return Header;
}

Frame readFrame(const FrameHeader &Header, std::string_view Payload) {
  if (checksum(Header, Payload) != Header.Checksum_)
    throw FrameError(FrameFault::BadChecksum,
                     "frame " + std::to_string(Header.Sequence_));
  if (Header.Kind_ > FrameKind::ProbeAnswer)
    throw FrameError(FrameFault::BadPayload, "frame kind");
  if (isProbe(Header.Kind_) && !Payload.empty())
    throw FrameError(FrameFault::BadPayload, "probe with a message");
  return {.Kind_ = Header.Kind_,
          .Sender_ = {Header.Sender_},
          .Sequence_ = Header.Sequence_,
          .Message_ =
              isProbe(Header.Kind_) ? Message{} : decodePayload(Payload)};
}

} // namespace

std::string encodeFrame(const Frame &Value) {
  std::string Bytes(HeaderBytes, '\0');
  if (!isProbe(Value.Kind_)) {
    OutputArchive Out(Bytes);
    Out.number(Value.Message_.index());
    std::visit([&Out](const auto &Row) { Out(Row); }, Value.Message_);
  }
  const std::string_view Payload = std::string_view(Bytes).substr(HeaderBytes);
  if (Payload.size() > MaxPayloadBytes)
    throw FrameError(FrameFault::TooLarge,
                     std::to_string(Payload.size()) + " bytes");
  FrameHeader Header{.Kind_ = Value.Kind_,
                     .PayloadBytes_ =
                         static_cast<std::uint32_t>(Payload.size()),
                     .Sender_ = Value.Sender_.Value_,
                     .Sequence_ = Value.Sequence_};
  Header.Checksum_ = checksum(Header, Payload);
  std::memcpy(Bytes.data(), &Header, sizeof Header);
  return Bytes;
}

Frame decodeFrame(std::string_view Bytes) {
  if (Bytes.size() < HeaderBytes)
    throw FrameError(FrameFault::Truncated,
                     std::to_string(Bytes.size()) + " bytes");
  const FrameHeader Header = readHeader(Bytes);
  if (Bytes.size() != HeaderBytes + Header.PayloadBytes_)
    throw FrameError(FrameFault::Truncated,
                     std::to_string(Bytes.size()) + " bytes");
  return readFrame(Header, Bytes.substr(HeaderBytes));
}

void FrameReader::feed(std::string_view Bytes) {
  if (Consumed_ == Buffer_.size()) {
    Buffer_.clear();
    Consumed_ = 0;
  } else if (Consumed_ > Buffer_.size() / 2) {
    Buffer_.erase(0, Consumed_);
    Consumed_ = 0;
  }
  Buffer_.append(Bytes);
}

void FrameReader::shrink() {
  // A few frames of ordinary size do not cause an allocation each.
  constexpr std::size_t KeptBytes = 64U << 10U;
  if (Consumed_ < Buffer_.size() || Buffer_.capacity() <= KeptBytes)
    return;
  std::string().swap(Buffer_);
  Consumed_ = 0;
}

std::optional<Frame> FrameReader::next() {
  const std::string_view Rest = std::string_view(Buffer_).substr(Consumed_);
  if (Rest.size() < HeaderBytes)
    return std::nullopt;
  const FrameHeader Header = readHeader(Rest);
  const std::size_t Whole = HeaderBytes + Header.PayloadBytes_;
  if (Rest.size() < Whole)
    return std::nullopt;
  Frame Value =
      readFrame(Header, Rest.substr(HeaderBytes, Header.PayloadBytes_));
  Consumed_ += Whole;
  return Value;
}

} // namespace dragonfly::wire
