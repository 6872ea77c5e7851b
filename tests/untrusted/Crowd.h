/// One real process and a crowd of connections that stay open beside it.
#ifndef DRAGONFLY_TESTS_UNTRUSTED_CROWD_H
#define DRAGONFLY_TESTS_UNTRUSTED_CROWD_H

#include "platform/RealProcess.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dragonfly::untrusted {

inline constexpr std::size_t BytesPerMb = std::size_t(1) << 20U;
/// Descriptors that the platform keeps for files outside the disk folder.
inline constexpr std::size_t ReservedFds = 200;

/// What the settings of a process allow it; crowds and bounds follow from it.
struct Machine {
  std::size_t MemoryMb_ = 48;
  std::size_t MaxFds_ = 4100;
  std::size_t DiskMb_ = 512;
};

/// A server of one program.
struct Target {
  std::string Name_;
  std::string Role_;
  std::uint16_t Port_ = 0;
  bool HasDisk_ = false;
};

/// All HTTP servers of the platform's program and of our own.
std::vector<Target> httpServers();
/// All servers of frames.
std::vector<Target> frameServers();

/// Returns the settings that programs of all roles share.
std::string sharedSettings(const std::string &Ip, const std::string &SeedIp,
                           const Machine &Limits);

/// Returns the head of a request with a chunked body.
std::string chunkedHead();
/// Returns one chunk of \p Bytes bytes.
std::string chunk(std::size_t Bytes);
/// Returns a request that every server answers without running anything.
std::string ordinaryRequest();
/// Sends an ordinary request. Returns the status line of the answer and its
/// body, unless that is text, which changes from one to the next.
std::string ask(const platform::Peer &Caller);
/// Sends a probe; returns the kind of the frame that comes back.
std::string probe(const platform::Peer &Caller);

/// Fails the test unless the process runs within the memory of its machine.
void checkMemory(const platform::RealProcess &Program, const Machine &Limits);
/// Fails the test unless the process, to which \p Callers connections are open,
/// has no descriptors that its machine does not allow or nothing needs.
void checkDescriptors(const platform::RealProcess &Program,
                      const Machine &Limits, std::size_t Callers);

class Crowd {
public:
  using Question = std::function<std::string(const platform::Peer &)>;

  /// Starts the process and keeps its answer to \p Ordinary in calm.
  explicit Crowd(Target Server, Machine Limits = {}, Question Ordinary = ask);

  /// Opens a connection that stays open.
  const platform::Peer &connect();
  const Target &server() const { return Server_; }
  const std::string &ip() const { return Ip_; }
  /// Waits until all that was sent has been read.
  void awaitRead() const;
  /// Stops the process where it stands, or lets it go on.
  void setHalted(bool IsHalted) const;
  /// Repeats the ordinary request until the process has accepted and closed
  /// connections that are gone, but not for ever.
  void awaitClosed() const;
  /// Checks that the process lives within its limits, and that it answers an
  /// ordinary request as it did in calm.
  void check() const;

private:
  Target Server_;
  Machine Limits_;
  Question Ordinary_;
  std::string Ip_;
  platform::RealProcess Program_;
  std::string CalmAnswer_;
  std::vector<std::unique_ptr<platform::Peer>> Open_;
};

} // namespace dragonfly::untrusted

#endif // DRAGONFLY_TESTS_UNTRUSTED_CROWD_H
