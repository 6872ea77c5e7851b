/// Three real control processes and an entry, as a caller and an operator reach
/// them.
#ifndef DRAGONFLY_TESTS_UNTRUSTED_GROUP_H
#define DRAGONFLY_TESTS_UNTRUSTED_GROUP_H

#include "untrusted/Crowd.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::untrusted {

/// What a caller gets.
struct Answer {
  int Status_ = 0;
  std::string Head_;
  std::string Body_;
};

/// Splits what `Peer::readAnswer` returned.
Answer parseAnswer(const std::string &Bytes);

/// The body of a job of \p Steps equal steps, each of \p Tasks tasks, behind
/// one another.
std::string jobBody(std::size_t Steps, std::size_t Tasks,
                    std::size_t PayloadBytes = 0);
/// The id of the job \p Number.
std::string jobId(std::size_t Number);
/// A caller's request about the job \p Id; \p Body is empty but for POST.
std::string jobRequest(std::string_view Method, const std::string &Id,
                       const std::string &Body = {});

class Group {
public:
  explicit Group(Machine Limits);

  std::string entryIp() const { return ip(EntryNumber); }
  std::string controlIp(std::size_t Index) const { return ip(Index + 1); }
  /// Sends one request to the entry on a connection of its own.
  Answer call(const std::string &Request) const;
  /// Repeats a request until it is answered with \p Status; returns the last
  /// answer.
  Answer callUntil(const std::string &Request, int Status) const;
  /// Kills all control processes and starts them again.
  void restartControl();
  /// Halts all control processes: their connections stay open, and nothing is
  /// answered.
  void freezeControl() const;
  void thawControl() const;
  /// Checks each process against its machine, while the entry has \p Callers
  /// open connections.
  void check(std::size_t Callers = 0) const;

private:
  static constexpr std::size_t Controls = 3;
  static constexpr std::size_t EntryNumber = 4;

  std::string ip(std::size_t Number) const;
  std::string controlSettings(std::size_t Index, bool IsFirstStart) const;
  std::string seeds() const;
  void configure() const;

  Machine Limits_;
  std::string Network_;
  std::vector<std::unique_ptr<platform::RealProcess>> Controls_;
  std::unique_ptr<platform::RealProcess> Entry_;
};

} // namespace dragonfly::untrusted

#endif // DRAGONFLY_TESTS_UNTRUSTED_GROUP_H
