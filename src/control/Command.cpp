#include "dragonfly/control/Command.h"

#include "control/Archive.h"

namespace dragonfly::settings {

template <typename Archive> void serialize(Archive &Ar, JsonFault &Fault) {
  Ar(Fault.Path_, Fault.Expected_, Fault.Found_);
}

} // namespace dragonfly::settings

namespace dragonfly::control {

template <typename Archive> void serialize(Archive &Ar, PutOutcome &Value) {
  Ar(Value.Status_, Value.Version_, Value.CurrentVersion_, Value.Faults_);
}

std::string encodeCommand(const Command &Value) {
  return encodeValues(Value.At_, Value.Body_);
}

Command decodeCommand(std::string_view Bytes) {
  try {
    Command Value;
    decodeValues(Bytes, Value.At_, Value.Body_);
    return Value;
  } catch (const std::exception &Cause) {
    throw CodecError(CodecFault::BadCommand, Cause.what());
  }
}

std::optional<PutList> decodeIfPutList(std::string_view Bytes) {
  static_assert(
      std::is_same_v<std::variant_alternative_t<0, CommandBody>, PutList>);
  try {
    Duration At{};
    std::int32_t Alternative = 0;
    InputArchive Ar(Bytes);
    Ar(At, Alternative);
    if (Alternative != 0)
      return std::nullopt;
    PutList Value;
    Ar(Value);
    return Value;
  } catch (const std::exception &Cause) {
    throw CodecError(CodecFault::BadCommand, Cause.what());
  }
}

std::string encodeOutput(const CommandOutput &Value) {
  return encodeValues(Value);
}

CommandOutput decodeOutput(std::string_view Bytes) {
  try {
    CommandOutput Value;
    decodeValues(Bytes, Value);
    return Value;
  } catch (const std::exception &Cause) {
    throw CodecError(CodecFault::BadCommand, Cause.what());
  }
}

} // namespace dragonfly::control
