/// A program of the project as a process of its own.
#ifndef DRAGONFLY_TESTS_PLATFORM_REALPROCESS_H
#define DRAGONFLY_TESTS_PLATFORM_REALPROCESS_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <sys/types.h>

namespace dragonfly::platform {

/// A blocking connection to a loopback address.
class Peer {
public:
  /// Tries until the process listens.
  Peer(const std::string &Address, std::uint16_t Port);
  Peer(const Peer &) = delete;
  Peer &operator=(const Peer &) = delete;
  ~Peer();

  /// Sends all bytes; returns false once the process has closed the connection.
  bool send(std::string_view Bytes) const;
  /// Sends all bytes, but gives up once the process has taken none of them for
  /// a while; returns whether it took all.
  bool sendWhileTaken(std::string_view Bytes) const;
  /// Makes the end of this object reset the connection.
  void resetOnClose() const;
  /// Reads until the connection ends, but not for more than ten seconds.
  std::string readToEnd() const;
  /// Reads until \p Text has come or the connection ends.
  std::string readUntil(std::string_view Text) const;
  /// Reads one whole HTTP response, as far as it comes. \p HasBody is false
  /// where a length is given for a body that does not follow.
  std::string readAnswer(bool HasBody = true) const;
  /// Reads \p Count bytes, or fewer if the connection ends before.
  std::string readBytes(std::size_t Count) const;

private:
  int Socket_ = -1;
  /// What came behind the last answer.
  mutable std::string Next_;
};

/// Waits until the process that listens has read all that has arrived on its
/// connections; returns whether it has within a minute.
bool waitUntilRead(const std::string &Address, std::uint16_t Port);

/// Roles that begin so are names of programs of their own.
inline constexpr std::string_view OwnProgramPrefix = "dragonfly-";

/// dragonfly-platform, or one of the project's own programs, with a settings
/// file of its own.
class RealProcess {
public:
  /// Starts the program; \p Lines is the content of its settings file, with
  /// "{folder}" in place of the process's own folder.
  RealProcess(const std::string &Role, const std::string &Lines);
  RealProcess(const RealProcess &) = delete;
  RealProcess &operator=(const RealProcess &) = delete;
  /// Ends the process if it still runs.
  ~RealProcess();

  void signal(int Number) const;
  /// Starts the program again, once it has ended, with \p Lines as settings
  /// and the same folder.
  void restart(const std::string &Lines);
  /// Waits for the end. Returns the exit code, or minus the signal's number.
  int wait();
  bool isRunning() const;
  /// Largest resident memory so far, in KiB; 0 if the process has ended.
  std::size_t peakMemoryKib() const;
  /// Descriptors that it has open.
  std::size_t openDescriptors() const;
  /// What it has logged.
  std::string log() const;
  const std::string &folder() const { return Folder_; }
  std::string settingsFile() const { return Folder_ + "/settings.conf"; }

protected:
  struct FifoTag {};
  /// Starts the program with a settings file that blocks its reader.
  RealProcess(FifoTag, const std::string &Role);

private:
  void writeSettings(std::string Lines) const;
  void start(const std::string &Role);

  std::string Role_;
  std::string Folder_;
  pid_t Pid_ = 0;
};

/// A process that waits inside `main()` for its settings.
class HeldProcess : public RealProcess {
public:
  explicit HeldProcess(const std::string &Role)
      : RealProcess(FifoTag(), Role) {}
  /// Returns once the process reads its settings.
  void waitForReader();
  /// Lets the process go on with \p Lines.
  void release(const std::string &Lines);

private:
  int Writer_ = -1;
};

} // namespace dragonfly::platform

#endif // DRAGONFLY_TESTS_PLATFORM_REALPROCESS_H
