/// The messages of the replicated log's own protocol.
#ifndef DRAGONFLY_SRC_CONSENSUS_RAFTMESSAGES_H
#define DRAGONFLY_SRC_CONSENSUS_RAFTMESSAGES_H

#include "dragonfly/base/Error.h"
#include "dragonfly/base/Ids.h"
#include "dragonfly/consensus/ReplicatedLog.h"
#include "dragonfly/consensus/Storage.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dragonfly::consensus {

/// Asks for a vote, or with `Pre_` whether a vote would be given.
struct VoteRequest {
  Term Term_;
  bool Pre_ = false;
  LogIndex LastIndex_;
  Term LastTerm_;
};

struct VoteReply {
  /// The voter's term.
  Term Term_;
  /// The term that was asked for.
  Term Asked_;
  bool Pre_ = false;
  bool Granted_ = false;
};

/// Echoed by a follower, so that the leader knows what was acknowledged.
struct Stamp {
  /// Grows with each read barrier of the leader.
  std::uint64_t Round_ = 0;
  /// The leader's clock when the request was made, in nanoseconds.
  std::int64_t SentAt_ = 0;
};

/// Replicates records; without records it is a heartbeat.
struct AppendRequest {
  Term Term_;
  LogIndex Previous_;
  Term PreviousTerm_;
  LogIndex Commit_;
  Stamp Stamp_;
  std::vector<Record> Records_;
};

struct AppendReply {
  Term Term_;
  bool Matched_ = false;
  /// The request's `Previous_`.
  LogIndex Previous_;
  /// Last index known to match; otherwise where to try next.
  LogIndex Index_;
  Stamp Stamp_;
};

/// One chunk of a snapshot, sent in order of offset.
struct InstallRequest {
  Term Term_;
  LogIndex Index_;
  Term SnapshotTerm_;
  std::uint64_t TotalBytes_ = 0;
  std::uint64_t Offset_ = 0;
  std::uint32_t Checksum_ = 0;
  Stamp Stamp_;
  std::string Members_;
  std::string Chunk_;
};

struct InstallReply {
  Term Term_;
  LogIndex Index_;
  std::uint64_t NextOffset_ = 0;
  bool Installed_ = false;
  Stamp Stamp_;
};

/// Tells that a replica is known under another data folder's id.
struct StoreMismatch {
  StoreId Member_;
};

/// Asks a follower to campaign at once: its leader stops, and has given up its
/// lease for the rest of the term.
struct LeadershipTransfer {
  Term Term_;
};

/// Asks for a vote after a `LeadershipTransfer`: the voter need not wait until
/// it has not heard the leader for an election timeout.
struct TransferVoteRequest {
  Term Term_;
  LogIndex LastIndex_;
  Term LastTerm_;
};

/// New messages go to the end: replicas of the version before pass over them.
using RaftMessage =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                 InstallRequest, InstallReply, StoreMismatch,
                 LeadershipTransfer, TransferVoteRequest>;

/// A message with the data folders between which it goes; `To_` 0 is any.
struct Envelope {
  StoreId From_;
  StoreId To_;
  RaftMessage Message_;
};

/// Ways in which bytes can fail to be a message or a stored value.
enum class CodecFault : std::uint8_t { WrongVersion, Malformed };

using CodecError = TypedError<CodecFault>;

/// Returns the bytes of \p Value.
std::string encodeEnvelope(const Envelope &Value);
/// Returns the message that \p Bytes holds. Throws CodecError.
Envelope decodeEnvelope(std::string_view Bytes);

std::string encodeMembers(const std::vector<Member> &Value);
/// Throws CodecError.
std::vector<Member> decodeMembers(std::string_view Bytes);

std::string encodeHardState(const HardState &Value);
/// Throws CodecError.
HardState decodeHardState(std::string_view Bytes);

std::string encodeStoreId(StoreId Value);
/// Throws CodecError.
StoreId decodeStoreId(std::string_view Bytes);

std::string encodeRecord(const Record &Value);
/// Throws CodecError.
Record decodeRecord(std::string_view Bytes);

std::string encodeSnapshot(const Snapshot &Value);
/// Throws CodecError.
Snapshot decodeSnapshot(std::string_view Bytes);

} // namespace dragonfly::consensus

template <> struct dragonfly::EnumTable<dragonfly::consensus::CodecFault> {
  using CodecFault = consensus::CodecFault;
  static constexpr std::array<EnumName<CodecFault>, 2> Rows{{
      {CodecFault::WrongVersion, "wrong-version"},
      {CodecFault::Malformed, "malformed"},
  }};
};

#endif // DRAGONFLY_SRC_CONSENSUS_RAFTMESSAGES_H
