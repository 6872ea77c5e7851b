#include "consensus/BoundedArchive.h"
#include "consensus/RaftMessages.h"

#include <cereal/types/common.hpp>
#include <cereal/types/variant.hpp>

namespace dragonfly::consensus {

/// Version of the log's own protocol and of its stored values.
static constexpr std::uint8_t CodecVersion = 1;

template <typename Archive> void serialize(Archive &Ar, Record &Value) {
  Ar(Value.Index_, Value.Term_, Value.Kind_, bounded(Value.Payload_));
  if (Value.Kind_ > RecordKind::Empty)
    throw cereal::Exception("an unlisted kind of record");
}

template <typename Archive> void serialize(Archive &Ar, Member &Value) {
  Ar(Value.Id_, Value.Store_, Value.Voter_, bounded(Value.Address_));
}

template <typename Archive> void serialize(Archive &Ar, Snapshot &Value) {
  Ar(Value.Index_, Value.Term_, bounded(Value.Members_), bounded(Value.State_));
}

template <typename Archive> void serialize(Archive &Ar, Stamp &Value) {
  Ar(Value.Round_, Value.SentAt_);
}

template <typename Archive> void serialize(Archive &Ar, VoteRequest &Value) {
  Ar(Value.Term_, Value.Pre_, Value.LastIndex_, Value.LastTerm_);
}

template <typename Archive> void serialize(Archive &Ar, VoteReply &Value) {
  Ar(Value.Term_, Value.Asked_, Value.Pre_, Value.Granted_);
}

template <typename Archive> void serialize(Archive &Ar, AppendRequest &Value) {
  Ar(Value.Term_, Value.Previous_, Value.PreviousTerm_, Value.Commit_,
     Value.Stamp_, bounded(Value.Records_));
}

template <typename Archive> void serialize(Archive &Ar, AppendReply &Value) {
  Ar(Value.Term_, Value.Matched_, Value.Previous_, Value.Index_, Value.Stamp_);
}

template <typename Archive> void serialize(Archive &Ar, InstallRequest &Value) {
  Ar(Value.Term_, Value.Index_, Value.SnapshotTerm_, Value.TotalBytes_,
     Value.Offset_, Value.Checksum_, Value.Stamp_, bounded(Value.Members_),
     bounded(Value.Chunk_));
}

template <typename Archive> void serialize(Archive &Ar, InstallReply &Value) {
  Ar(Value.Term_, Value.Index_, Value.NextOffset_, Value.Installed_,
     Value.Stamp_);
}

template <typename Archive> void serialize(Archive &Ar, StoreMismatch &Value) {
  Ar(Value.Member_);
}

template <typename Archive> void serialize(Archive &Ar, Envelope &Value) {
  Ar(Value.From_, Value.To_, Value.Message_);
}

namespace {

struct MemberTable {
  std::vector<Member> Rows_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(bounded(Rows_));
  }
};

template <typename T> std::string encode(const T &Value) {
  return static_cast<char>(CodecVersion) + toBytes(Value);
}

template <typename T> T decode(std::string_view Bytes) {
  if (Bytes.empty())
    throw CodecError(CodecFault::Malformed, "no bytes");
  if (static_cast<std::uint8_t>(Bytes.front()) != CodecVersion)
    throw CodecError(CodecFault::WrongVersion, "another format version");
  try {
    return fromBytes<T>(Bytes.substr(1));
  } catch (const std::exception &Failure) {
    throw CodecError(CodecFault::Malformed, Failure.what());
  }
}

} // namespace

std::string encodeEnvelope(const Envelope &Value) { return encode(Value); }

Envelope decodeEnvelope(std::string_view Bytes) {
  return decode<Envelope>(Bytes);
}

std::string encodeMembers(const std::vector<Member> &Value) {
  return encode(MemberTable{Value});
}

std::vector<Member> decodeMembers(std::string_view Bytes) {
  return decode<MemberTable>(Bytes).Rows_;
}

std::string encodeRecord(const Record &Value) { return encode(Value); }

Record decodeRecord(std::string_view Bytes) { return decode<Record>(Bytes); }

std::string encodeSnapshot(const Snapshot &Value) { return encode(Value); }

Snapshot decodeSnapshot(std::string_view Bytes) {
  return decode<Snapshot>(Bytes);
}

} // namespace dragonfly::consensus
