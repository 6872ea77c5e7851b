#include "platform/RealProcess.h"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <netinet/in.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace dragonfly::platform {
namespace {

constexpr int MaxReadSeconds = 10;
constexpr int MaxBlockedMicroseconds = 300'000;
constexpr int MaxConnects = 2000000;

std::string makeFolder() {
  std::string Name = std::filesystem::temp_directory_path() / "stop-XXXXXX";
  if (mkdtemp(Name.data()) == nullptr)
    throw std::runtime_error("mkdtemp");
  return Name;
}

sockaddr_in toAddress(const std::string &Address, std::uint16_t Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Port);
  inet_pton(AF_INET, Address.c_str(), &Result.sin_addr);
  return Result;
}

} // namespace

Peer::Peer(const std::string &Address, std::uint16_t Port) {
  const sockaddr_in To = toAddress(Address, Port);
  for (int Try = 0; Try < MaxConnects; ++Try) {
    Socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(Socket_, reinterpret_cast<const sockaddr *>(&To), sizeof To) ==
        0)
      break;
    close(Socket_);
    Socket_ = -1;
    std::this_thread::yield();
  }
  if (Socket_ < 0)
    throw std::runtime_error("nothing listens on " + Address);
  const timeval Limit{.tv_sec = MaxReadSeconds, .tv_usec = 0};
  setsockopt(Socket_, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
}

Peer::~Peer() { close(Socket_); }

bool Peer::send(std::string_view Bytes) const {
  while (!Bytes.empty()) {
    const ssize_t Sent =
        ::send(Socket_, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

bool Peer::sendWhileTaken(std::string_view Bytes) const {
  const timeval Limit{.tv_sec = 0, .tv_usec = MaxBlockedMicroseconds};
  setsockopt(Socket_, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
  return send(Bytes);
}

void Peer::resetOnClose() const {
  const linger AtOnce{.l_onoff = 1, .l_linger = 0};
  setsockopt(Socket_, SOL_SOCKET, SO_LINGER, &AtOnce, sizeof AtOnce);
}

std::string Peer::readToEnd() const { return readUntil({}); }

std::string Peer::readUntil(std::string_view Text) const {
  std::string Result;
  std::array<char, 4096> Piece{};
  while (Text.empty() || Result.find(Text) == std::string::npos) {
    const ssize_t Bytes = recv(Socket_, Piece.data(), Piece.size(), 0);
    if (Bytes <= 0)
      break;
    Result.append(Piece.data(), static_cast<std::size_t>(Bytes));
  }
  return Result;
}

std::string Peer::readAnswer(bool HasBody) const {
  constexpr std::string_view HeadEnd = "\r\n\r\n";
  constexpr std::string_view LengthField = "Content-Length: ";
  std::string Result = std::exchange(Next_, {});
  std::array<char, 4096> Piece{};
  while (true) {
    const std::size_t End = Result.find(HeadEnd);
    if (End != std::string::npos) {
      const std::size_t Field = Result.find(LengthField);
      const std::size_t Length =
          Field < End && HasBody
              ? std::stoul(Result.substr(Field + LengthField.size()))
              : 0;
      const std::size_t Whole = End + HeadEnd.size() + Length;
      if (Result.size() >= Whole) {
        Next_ = Result.substr(Whole);
        Result.resize(Whole);
        break;
      }
    }
    const ssize_t Bytes = recv(Socket_, Piece.data(), Piece.size(), 0);
    if (Bytes <= 0)
      break;
    Result.append(Piece.data(), static_cast<std::size_t>(Bytes));
  }
  return Result;
}

std::string Peer::readBytes(std::size_t Count) const {
  std::string Result(Count, '\0');
  const ssize_t Bytes = recv(Socket_, Result.data(), Count, MSG_WAITALL);
  Result.resize(Bytes > 0 ? static_cast<std::size_t>(Bytes) : 0);
  return Result;
}

bool waitUntilRead(const std::string &Address, std::uint16_t Port) {
  constexpr int Tries = 6000;
  constexpr std::chrono::milliseconds Pause(10);
  constexpr std::string_view Listening = "0A";
  const sockaddr_in Local = toAddress(Address, Port);
  std::ostringstream Name;
  Name << std::hex << std::uppercase << std::setfill('0') << std::setw(8)
       << Local.sin_addr.s_addr << ':' << std::setw(4) << Port;
  for (int Try = 0; Try < Tries; ++Try) {
    // Columns: number, local address, peer, state, queues "sent:received".
    std::ifstream In("/proc/net/tcp");
    bool IsRead = true;
    std::string Number, Own, Other, State, Queues, Rest;
    while (In >> Number >> Own >> Other >> State >> Queues &&
           std::getline(In, Rest))
      if (Own == Name.str() && State != Listening &&
          Queues.substr(Queues.find(':') + 1) != "00000000")
        IsRead = false;
    if (IsRead)
      return true;
    std::this_thread::sleep_for(Pause);
  }
  return false;
}

RealProcess::RealProcess(const std::string &Role, const std::string &Lines)
    : Role_(Role), Folder_(makeFolder()) {
  writeSettings(Lines);
  start(Role);
}

void RealProcess::writeSettings(std::string Lines) const {
  constexpr std::string_view Token = "{folder}";
  if (const auto At = Lines.find(Token); At != std::string::npos) {
    Lines.replace(At, Token.size(), Folder_);
    std::filesystem::create_directories(Folder_ + "/disk");
  }
  std::ofstream(settingsFile()) << Lines;
}

void RealProcess::restart(const std::string &Lines) {
  writeSettings(Lines);
  start(Role_);
}

RealProcess::RealProcess(FifoTag, const std::string &Role)
    : Role_(Role), Folder_(makeFolder()) {
  mkfifo(settingsFile().c_str(), 0600);
  start(Role);
}

void RealProcess::start(const std::string &Role) {
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  const std::string Log = Folder_ + "/log";
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  posix_spawn_file_actions_addclosefrom_np(&Files, STDERR_FILENO + 1);
  const bool IsOwn = Role.starts_with(OwnProgramPrefix);
  std::string Program = std::string(DRAGONFLY_BINARY_DIR "/") +
                        (IsOwn ? Role : "dragonfly-platform");
  std::string Flag = IsOwn ? "--settings=" + settingsFile() : "--role=" + Role;
  std::string Setting = "DRAGONFLYPROXY_SETTINGS=" + settingsFile();
  std::array<char *, 3> Arguments{Program.data(), Flag.data(), nullptr};
  std::array<char *, 2> Environment{Setting.data(), nullptr};
  const int Fault = posix_spawn(&Pid_, Program.c_str(), &Files, nullptr,
                                Arguments.data(), Environment.data());
  posix_spawn_file_actions_destroy(&Files);
  if (Fault != 0)
    throw std::runtime_error(Program + ": " + std::strerror(Fault));
}

RealProcess::~RealProcess() {
  signal(SIGKILL);
  wait();
  std::error_code Ignored;
  std::filesystem::remove_all(Folder_, Ignored);
}

void RealProcess::signal(int Number) const {
  if (Pid_ > 0)
    kill(Pid_, Number);
}

int RealProcess::wait() {
  int Status = 0;
  if (Pid_ <= 0 || waitpid(Pid_, &Status, 0) != Pid_)
    return -1;
  Pid_ = 0;
  return WIFSIGNALED(Status) ? -WTERMSIG(Status) : WEXITSTATUS(Status);
}

bool RealProcess::isRunning() const {
  return Pid_ > 0 && waitpid(Pid_, nullptr, WNOHANG) == 0;
}

std::size_t RealProcess::peakMemoryKib() const {
  std::ifstream In("/proc/" + std::to_string(Pid_) + "/status");
  constexpr std::string_view Key = "VmHWM:";
  for (std::string Line; std::getline(In, Line);)
    if (Line.starts_with(Key))
      return std::stoul(Line.substr(Key.size()));
  return 0;
}

std::size_t RealProcess::openDescriptors() const {
  const std::filesystem::directory_iterator Open("/proc/" +
                                                 std::to_string(Pid_) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(Open), end(Open)));
}

std::string RealProcess::log() const {
  std::ifstream In(Folder_ + "/log");
  return {std::istreambuf_iterator<char>(In), {}};
}

void HeldProcess::waitForReader() {
  Writer_ = open(settingsFile().c_str(), O_WRONLY | O_CLOEXEC);
}

void HeldProcess::release(const std::string &Lines) {
  // Later looks at the settings find a file that blocks nobody.
  const std::string Next = folder() + "/next.conf";
  std::ofstream(Next) << Lines;
  std::filesystem::rename(Next, settingsFile());
  if (write(Writer_, Lines.data(), Lines.size()) < 0)
    throw std::runtime_error("settings");
  close(Writer_);
}

} // namespace dragonfly::platform
