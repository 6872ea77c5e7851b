#include "base/Archive.h"
#include "consensus/RaftMessages.h"

#include <cereal/types/common.hpp>

namespace dragonfly::consensus {

/// Version of the log's own protocol and of its stored values.
static constexpr std::uint8_t CodecVersion = 1;

template <typename Archive> void serialize(Archive &Ar, Record &Value) {
  Ar(Value.Index_, Value.Term_, Value.Kind_, Value.Payload_);
  if (Value.Kind_ > RecordKind::Empty)
    throw CodecError(CodecFault::Malformed, "an unlisted kind of record");
}

template <typename Archive> void serialize(Archive &Ar, Member &Value) {
  Ar(Value.Id_, Value.Store_, Value.Voter_, Value.Address_);
}

template <typename Archive> void serialize(Archive &Ar, Snapshot &Value) {
  Ar(Value.Index_, Value.Term_, Value.Members_, Value.State_);
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
     Value.Stamp_, Value.Records_);
}

template <typename Archive> void serialize(Archive &Ar, AppendReply &Value) {
  Ar(Value.Term_, Value.Matched_, Value.Previous_, Value.Index_, Value.Stamp_);
}

template <typename Archive> void serialize(Archive &Ar, InstallRequest &Value) {
  Ar(Value.Term_, Value.Index_, Value.SnapshotTerm_, Value.TotalBytes_,
     Value.Offset_, Value.Checksum_, Value.Stamp_, Value.Members_,
     Value.Chunk_);
}

template <typename Archive> void serialize(Archive &Ar, InstallReply &Value) {
  Ar(Value.Term_, Value.Index_, Value.NextOffset_, Value.Installed_,
     Value.Stamp_);
}

template <typename Archive> void serialize(Archive &Ar, StoreMismatch &Value) {
  Ar(Value.Member_);
}

template <typename Archive>
void serialize(Archive &Ar, LeadershipTransfer &Value) {
  Ar(Value.Term_);
}

template <typename Archive>
void serialize(Archive &Ar, TransferVoteRequest &Value) {
  Ar(Value.Term_, Value.LastIndex_, Value.LastTerm_);
}

template <typename Archive> void serialize(Archive &Ar, HardState &Value) {
  Ar(Value.Term_, Value.VotedFor_);
}

namespace {

/// Reads the alternative that is numbered \p Number.
template <std::size_t Candidate = 0>
RaftMessage readAlternative(InputArchive &Ar, std::uint64_t Number) {
  if constexpr (Candidate < std::variant_size_v<RaftMessage>) {
    if (Number != Candidate)
      return readAlternative<Candidate + 1>(Ar, Number);
    std::variant_alternative_t<Candidate, RaftMessage> Value;
    Ar(Value);
    return Value;
  }
  throw CodecError(CodecFault::Malformed, "an unlisted message");
}

} // namespace

void save(OutputArchive &Ar, const Envelope &Value) {
  Ar(Value.From_, Value.To_);
  Ar.number(Value.Message_.index());
  std::visit([&Ar](const auto &Message) { Ar(Message); }, Value.Message_);
}

void load(InputArchive &Ar, Envelope &Value) {
  Ar(Value.From_, Value.To_);
  Value.Message_ = readAlternative(Ar, Ar.number());
}

namespace {

template <typename T> std::string encode(const T &Value) {
  std::string Bytes(1, static_cast<char>(CodecVersion));
  OutputArchive Ar(Bytes);
  Ar(Value);
  return Bytes;
}

template <typename T> T decode(std::string_view Bytes) {
  if (Bytes.empty())
    throw CodecError(CodecFault::Malformed, "no bytes");
  if (static_cast<std::uint8_t>(Bytes.front()) != CodecVersion)
    throw CodecError(CodecFault::WrongVersion, "another format version");
  try {
    InputArchive Ar(Bytes.substr(1));
    T Value;
    Ar(Value);
    if (Ar.remaining() != 0)
      throw CodecError(CodecFault::Malformed, "bytes follow the value");
    return Value;
  } catch (const ArchiveError &Failure) {
    throw CodecError(CodecFault::Malformed, Failure.what());
  }
}

} // namespace

std::string encodeEnvelope(const Envelope &Value) { return encode(Value); }

Envelope decodeEnvelope(std::string_view Bytes) {
  return decode<Envelope>(Bytes);
}

std::string encodeMembers(const std::vector<Member> &Value) {
  return encode(Value);
}

std::vector<Member> decodeMembers(std::string_view Bytes) {
  return decode<std::vector<Member>>(Bytes);
}

std::string encodeHardState(const HardState &Value) { return encode(Value); }

HardState decodeHardState(std::string_view Bytes) {
  return decode<HardState>(Bytes);
}

std::string encodeStoreId(StoreId Value) { return encode(Value); }

StoreId decodeStoreId(std::string_view Bytes) { return decode<StoreId>(Bytes); }

std::string encodeRecord(const Record &Value) { return encode(Value); }

Record decodeRecord(std::string_view Bytes) { return decode<Record>(Bytes); }

std::string encodeSnapshot(const Snapshot &Value) { return encode(Value); }

Snapshot decodeSnapshot(std::string_view Bytes) {
  return decode<Snapshot>(Bytes);
}

} // namespace dragonfly::consensus
