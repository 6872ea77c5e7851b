/// Frames: the unit of the protocol between the system's processes.
///
/// A frame is a fixed header (magic, protocol version, flags, the sender's
/// incarnation, a sequence number, the payload's length and its checksum) and
/// one encoded message. A sequence number pairs an answer with its request;
/// the incarnation tells a restarted peer from its former self.
#ifndef DRAGONFLY_WIRE_FRAME_H
#define DRAGONFLY_WIRE_FRAME_H

#include "dragonfly/base/Error.h"
#include "dragonfly/base/Ids.h"
#include "dragonfly/wire/Messages.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonfly::wire {

/// Version of the protocol; a peer with another one is refused.
inline constexpr std::uint8_t ProtocolVersion = 1;
/// Longest payload that is accepted, in bytes.
inline constexpr std::uint32_t MaxPayloadBytes = 8U << 20U;
/// Most memory of all rows of a message that is accepted, in bytes, without
/// what they point to. The queues of a configuration of 4 MiB take the most.
inline constexpr std::size_t MaxRowBytes = std::size_t(16) << 20U;

enum class FrameKind : std::uint8_t {
  Request,
  Part,   ///< One of several answers; more follow.
  Answer, ///< The last or only answer.
  OneWay,
  Probe,      ///< Asks the peer to answer at once; carries no message.
  ProbeAnswer ///< Answers the probe with the same sequence number.
};

/// Whether frames of this kind are without a message.
constexpr bool isProbe(FrameKind Kind) {
  return Kind == FrameKind::Probe || Kind == FrameKind::ProbeAnswer;
}

struct Frame {
  FrameKind Kind_ = FrameKind::OneWay;
  Incarnation Sender_;
  std::uint64_t Sequence_ = 0;
  Message Message_;
};

/// Ways in which bytes can fail to be a frame.
enum class FrameFault : std::uint8_t {
  BadMagic,
  WrongVersion,
  TooLarge,
  BadChecksum,
  BadPayload,
  Truncated
};

using FrameError = TypedError<FrameFault>;

/// Returns the bytes of \p Value. Throws FrameError(TooLarge).
std::string encodeFrame(const Frame &Value);

/// Returns the one frame that \p Bytes holds, as in a datagram. Throws
/// FrameError.
Frame decodeFrame(std::string_view Bytes);

/// Cuts a stream of bytes into frames.
class FrameReader {
public:
  /// Appends received bytes.
  void feed(std::string_view Bytes);

  /// Returns the next whole frame, or nothing until more bytes come. Throws
  /// FrameError; the stream is of no use afterwards.
  std::optional<Frame> next();

  /// Bytes held that are not yet a whole frame.
  std::size_t pendingBytes() const { return Buffer_.size() - Consumed_; }
  /// Memory held for them.
  std::size_t heldBytes() const { return Buffer_.capacity(); }
  /// Frees memory that no pending bytes need.
  void shrink();

private:
  std::string Buffer_;
  std::size_t Consumed_ = 0;
};

} // namespace dragonfly::wire

namespace dragonfly {

template <> struct EnumTable<wire::FrameFault> {
  static constexpr std::array<EnumName<wire::FrameFault>, 6> Rows{{
      {wire::FrameFault::BadMagic, "bad-magic"},
      {wire::FrameFault::WrongVersion, "wrong-version"},
      {wire::FrameFault::TooLarge, "frame-too-large"},
      {wire::FrameFault::BadChecksum, "bad-checksum"},
      {wire::FrameFault::BadPayload, "bad-payload"},
      {wire::FrameFault::Truncated, "truncated"},
  }};
};

} // namespace dragonfly

#endif // DRAGONFLY_WIRE_FRAME_H
