/// Stand-ins for the platform, its workers, its clients and its operator, and
/// the cases that use them. Uses nothing of the project but its programs.
#include <boost/json/src.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace json = boost::json;
namespace fs = std::filesystem;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

namespace {

constexpr int CallerPort = 8161;
constexpr int ControlPort = 8166;
constexpr int WorkerPort = 9000;
/// Exit codes of a case.
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

std::int64_t unixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void sleepMs(int Ms) { std::this_thread::sleep_for(milliseconds(Ms)); }

// HTTP with blocking sockets.

struct Response {
  int Status_ = 0; ///< 0: no answer.
  std::string Body_;
};

/// Reads one message from \p Fd; returns false where it breaks off.
bool readMessage(int Fd, std::string &Buffer, std::string &Head,
                 std::string &Body, int TimeoutMs) {
  const auto Until = Clock::now() + milliseconds(TimeoutMs);
  std::size_t HeadEnd = std::string::npos;
  std::size_t Length = 0;
  for (;;) {
    if (HeadEnd == std::string::npos) {
      HeadEnd = Buffer.find("\r\n\r\n");
      if (HeadEnd != std::string::npos) {
        Head = Buffer.substr(0, HeadEnd + 2);
        for (std::size_t At = 0;
             (At = Head.find("\r\n", At)) != std::string::npos; At += 2)
          if (strncasecmp(Head.c_str() + At + 2, "content-length:", 15) == 0)
            Length = std::strtoul(Head.c_str() + At + 17, nullptr, 10);
      }
    }
    if (HeadEnd != std::string::npos && Buffer.size() >= HeadEnd + 4 + Length) {
      Body = Buffer.substr(HeadEnd + 4, Length);
      Buffer.erase(0, HeadEnd + 4 + Length);
      return true;
    }
    const auto Left =
        std::chrono::duration_cast<milliseconds>(Until - Clock::now());
    pollfd Wait{Fd, POLLIN, 0};
    if (Left.count() <= 0 ||
        poll(&Wait, 1, static_cast<int>(Left.count())) <= 0)
      return false;
    char Bytes[16384];
    const ssize_t Count = read(Fd, Bytes, sizeof Bytes);
    if (Count <= 0)
      return false;
    Buffer.append(Bytes, static_cast<std::size_t>(Count));
  }
}

sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

bool writeAll(int Fd, std::string_view Bytes) {
  while (!Bytes.empty()) {
    const ssize_t Count = send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
  }
  return true;
}

/// One request over a connection of its own.
Response call(const std::string &Ip, int Port, const std::string &Method,
              const std::string &Path, const std::string &Body, int TimeoutMs,
              const std::string &Host = "") {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in To = addressOf(Ip, Port);
  Response Result;
  if (connect(Fd, reinterpret_cast<const sockaddr *>(&To), sizeof To) == 0) {
    const std::string Request =
        Method + " " + Path +
        " HTTP/1.1\r\nHost: " + (Host.empty() ? Ip : Host) +
        "\r\nContent-Type: application/json\r\nX-Dragonflyproxy-Deadline-Ms: " +
        std::to_string(TimeoutMs) +
        "\r\nConnection: close\r\nContent-Length: " +
        std::to_string(Body.size()) + "\r\n\r\n" + Body;
    std::string Buffer, Head;
    if (writeAll(Fd, Request) &&
        readMessage(Fd, Buffer, Head, Result.Body_, TimeoutMs))
      Result.Status_ = std::atoi(Head.c_str() + 9);
  }
  close(Fd);
  return Result;
}

// A worker, as a process of its own, as the pages describe it.

struct WorkerOptions {
  std::string Id_, Service_, Ip_, AgentIp_, LogFile_;
  /// Where an order to start is kept without an answer, if there is a file of
  /// this name with ".arm" behind it; a later life on the same machine carries
  /// it out as soon as it is born.
  std::string LateFile_;
  std::int64_t Cpu_ = 4000;
};

class Worker {
public:
  explicit Worker(WorkerOptions Options)
      : Options_(std::move(Options)), Log_(Options_.LogFile_, std::ios::app) {}

  [[noreturn]] void run() {
    const int Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int Yes = 1;
    setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof Yes);
    const sockaddr_in At = addressOf(Options_.Ip_, WorkerPort);
    if (bind(Listener, reinterpret_cast<const sockaddr *>(&At), sizeof At) !=
            0 ||
        listen(Listener, 64) != 0)
      std::exit(CouldNotRun);
    std::thread([this] {
      for (;;) {
        {
          const std::lock_guard Guard(Mutex_);
          advance();
        }
        Changed_.notify_all();
        sleepMs(5);
      }
    }).detach();
    if (fs::exists(Options_.LateFile_)) {
      std::ifstream In(Options_.LateFile_);
      const std::string Head((std::istreambuf_iterator<char>(In)), {});
      const std::size_t Split = Head.find("\n\n");
      int Status = 200;
      carryOut(Head.substr(0, Split), Head.substr(Split + 2), Status);
    }
    std::thread([this] {
      for (;; sleepMs(500))
        beat();
    }).detach();
    for (;;) {
      const int Fd = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd >= 0)
        std::thread([this, Fd] { serve(Fd); }).detach();
    }
  }

private:
  struct Run {
    std::uint64_t Number_ = 0;
    Clock::time_point Began_, Ends_;
    std::optional<Clock::time_point> StopAt_;
    bool Lasts_ = false;
  };

  std::int64_t clockMs() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - Began)
        .count();
  }

  void log(const std::string &What, const std::string &Task,
           std::uint64_t Run) {
    Log_ << unixMs() << " " << Options_.Id_ << " " << What << " " << Task
         << " run " << Run << std::endl;
  }

  void beat() {
    json::object Body{
        {"Service", Options_.Service_},
        {"Address", Options_.Ip_ + ":" + std::to_string(WorkerPort)},
        {"Zone", "zone-a"},
        {"Version", "v1"},
        {"Slots", 8},
        {"State", "ready"},
        {"ColdRemainingMs", 0},
        {"Capacity",
         json::object{{"Cpu", Options_.Cpu_}, {"MemMb", 16000}, {"Gpu", 0}}},
        {"Labels", json::array{"a", "r1"}},
        {"ClockMs", clockMs()},
        {"born", Born},
        {"Sequence", ++Sequence_}};
    call(Options_.AgentIp_, ControlPort, "PUT", "/v1/instances/" + Options_.Id_,
         json::serialize(Body), 1000);
  }

  void end(const std::string &Task, const char *How) {
    Finished_.push_back(
        json::array{NextEnd_++, Task, Runs_[Task].Number_, How, ""});
    log(How, Task, Runs_[Task].Number_);
    Runs_.erase(Task);
  }

  void advance() {
    const auto Now = Clock::now();
    std::vector<std::pair<std::string, const char *>> Over;
    for (const auto &[Task, Each] : Runs_)
      if (clockMs() >= LeaseMs_)
        Over.emplace_back(Task, "lapsed");
      else if (Each.StopAt_ && Now >= *Each.StopAt_)
        Over.emplace_back(Task, "stopped");
      else if (!Each.Lasts_ && Now >= Each.Ends_)
        Over.emplace_back(Task, "done");
    for (const auto &[Task, How] : Over)
      end(Task, How);
  }

  void serve(int Fd) {
    const int Yes = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &Yes, sizeof Yes);
    std::string Buffer, Head, Body;
    while (readMessage(Fd, Buffer, Head, Body, 120000)) {
      if (keepForLater(Head, Body))
        continue;
      int Status = 200;
      json::object Answer = carryOut(Head, Body, Status);
      Answer["ClockMs"] = clockMs();
      Answer["born"] = Born;
      const std::string Text = json::serialize(Answer);
      if (!writeAll(Fd, "HTTP/1.1 " + std::to_string(Status) +
                            " X\r\nContent-Type: application/json\r\n"
                            "Content-Length: " +
                            std::to_string(Text.size()) + "\r\n\r\n" + Text))
        break;
    }
    close(Fd);
  }

  bool keepForLater(const std::string &Head, const std::string &Body) {
    const std::lock_guard Guard(Mutex_);
    if (!fs::exists(Options_.LateFile_ + ".arm") ||
        fs::exists(Options_.LateFile_) ||
        Head.find("/v1/run-start") == std::string::npos)
      return false;
    std::ofstream(Options_.LateFile_) << Head << "\n\n" << Body;
    log("order without an answer", "", 0);
    return true;
  }

  json::object carryOut(const std::string &Head, const std::string &Text,
                        int &Status) {
    std::unique_lock Guard(Mutex_);
    const std::string Path =
        Head.substr(Head.find(' ') + 1,
                    Head.find(' ', Head.find(' ') + 1) - Head.find(' ') - 1);
    const std::size_t Expect = Head.find("X-Dragonflyproxy-Expect-Instance: ");
    if (Expect != std::string::npos &&
        Head.compare(Expect + 34, Options_.Id_.size() + 2,
                     Options_.Id_ + "\r\n") != 0) {
      Status = 421;
      return {};
    }
    boost::system::error_code Fault;
    const json::value Parsed = json::parse(Text, Fault);
    if (Fault || !Parsed.is_object()) {
      Status = 400;
      return {};
    }
    const json::object &Call = Parsed.as_object();
    const auto Number = [&Call](const char *Name) -> std::int64_t {
      const json::value *Value = Call.if_contains(Name);
      return Value != nullptr && Value->is_number()
                 ? Value->to_number<std::int64_t>()
                 : 0;
    };
    const auto Refuse = [&Status](const char *Why) {
      Status = 409;
      return json::object{{"Reason", Why}};
    };
    if (Number("FencingToken") < Fence_)
      return Refuse("fence");
    Fence_ = Number("FencingToken");
    LeaseMs_ =
        std::max(LeaseMs_, std::min(Number("DeadlineMs"), clockMs() + 10000));
    const auto Task = [&Call] {
      return std::string(Call.at("Task").as_string());
    };
    if (Path == "/v1/run-start") {
      const auto Run = static_cast<std::uint64_t>(Number("Run"));
      if (const auto It = Runs_.find(Task());
          It != Runs_.end() && It->second.Number_ == Run)
        return {};
      if (Run <= Newest_[Task()])
        return Refuse("old");
      if (clockMs() >= LeaseMs_)
        return Refuse("late");
      Newest_[Task()] = Run;
      // The text of a job here is how long its tasks take, 0 for ever.
      const int Ms =
          std::atoi(std::string(Call.at("Spec").as_string()).c_str());
      Runs_[Task()] = {.Number_ = Run,
                       .Began_ = Clock::now(),
                       .Ends_ = Clock::now() + milliseconds(Ms),
                       .StopAt_ = {},
                       .Lasts_ = Ms == 0};
      log("start", Task(), Run);
      return {};
    }
    if (Path == "/v1/run-stop") {
      const auto Run = static_cast<std::uint64_t>(Number("Run"));
      Newest_[Task()] = std::max(Newest_[Task()], Run);
      if (const auto It = Runs_.find(Task());
          It != Runs_.end() && It->second.Number_ <= Run && !It->second.StopAt_)
        It->second.StopAt_ = Clock::now() + milliseconds(150);
      return {};
    }
    if (Path != "/v1/hold")
      return {};
    const std::int64_t Seen = Number("LastSeen");
    std::erase_if(Finished_, [Seen](const json::value &Row) {
      return Row.as_array()[0].to_number<std::int64_t>() <= Seen;
    });
    const auto Until = Clock::now() + milliseconds(Number("WaitMs"));
    while (Finished_.empty() && Clock::now() < Until)
      Changed_.wait_until(Guard, Until);
    json::array Running;
    for (const auto &[Name, Each] : Runs_) {
      const double Share =
          std::chrono::duration<double>(Clock::now() - Each.Began_).count() /
          std::max(
              0.001,
              std::chrono::duration<double>(Each.Ends_ - Each.Began_).count());
      Running.push_back(json::array{
          Name, Each.Number_, "",
          Each.Lasts_ ? 100 : std::min(99, static_cast<int>(Share * 100)),
          100});
    }
    return {{"Running", Running},
            {"Finished", json::array(Finished_.begin(), Finished_.end())}};
  }

  WorkerOptions Options_;
  std::ofstream Log_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  const Clock::time_point Began = Clock::now();
  const std::int64_t Born = unixMs();
  std::uint64_t Sequence_ = 0;
  std::int64_t Fence_ = 0, LeaseMs_ = 0;
  std::map<std::string, Run> Runs_;
  std::map<std::string, std::uint64_t> Newest_;
  std::vector<json::value> Finished_;
  std::uint64_t NextEnd_ = 1;
};

std::string recordName() {
  const char *Name = std::getenv("RECORD");
  return Name != nullptr ? Name : "record.txt";
}

// The platform: machines, and the processes on them.

struct Machine {
  std::string Name_, Role_, Ip_;
  bool HasDisk_ = false;
  bool HasRun_ = false;
  pid_t Pid_ = 0;
};

class Stage {
public:
  Stage(int Controls, int Entries, int Workers, int MemoryMb = 260)
      : MemoryMb_(MemoryMb), Record_(recordName()) {
    char Folder[] = "/tmp/review-2-XXXXXX";
    Folder_ = mkdtemp(Folder);
    pickNetwork();
    for (int I = 1; I <= Controls; ++I)
      add("control", 1, I, true);
    for (int I = 1; I <= Entries; ++I)
      add("entry", 2, I, false);
    for (int I = 1; I <= Workers; ++I)
      add("agent", 3, I, false);
    Workers_.resize(static_cast<std::size_t>(Workers));
  }

  ~Stage() {
    for (Machine &Each : Machines_)
      kill(Each);
    for (auto &[Id, Pid] : Workers_)
      endProcess(Pid);
    if (std::getenv("KEEP") == nullptr)
      fs::remove_all(Folder_);
  }

  void note(const std::string &Line) {
    Record_ << unixMs() - Start << " ms  " << Line << std::endl;
    std::printf("%lld ms  %s\n", static_cast<long long>(unixMs() - Start),
                Line.c_str());
  }

  void startAll() {
    for (Machine &Each : Machines_)
      start(Each);
    for (std::size_t I = 0; I < Workers_.size(); ++I)
      startWorker(I);
  }

  void startOthers(const Machine &First) {
    for (Machine &Each : Machines_)
      if (Each.Name_ != First.Name_)
        start(Each);
    for (std::size_t I = 0; I < Workers_.size(); ++I)
      startWorker(I);
  }

  void start(Machine &Each) {
    const std::string Conf = Folder_ + "/" + Each.Name_ + ".conf";
    std::ofstream(Conf) << settingsOf(Each);
    if (Each.HasDisk_)
      fs::create_directories(Folder_ + "/" + Each.Name_ + "-disk");
    Each.HasRun_ = true;
    Each.Pid_ = spawn({"target/dragonfly-platform", "--role=" + Each.Role_},
                      Folder_ + "/" + Each.Name_ + ".log",
                      "DRAGONFLYPROXY_SETTINGS=" + Conf);
  }

  static void endProcess(pid_t &Pid) {
    if (Pid <= 0)
      return;
    ::kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
    Pid = 0;
  }
  static void kill(Machine &Each) { endProcess(Each.Pid_); }

  /// Starts the worker on the I-th machine, as a new incarnation: under \p Id,
  /// or under a new one.
  void startWorker(std::size_t I, std::string Id = "") {
    const std::string LateFile = lateFile(I);
    const std::string Number = std::to_string(I + 1);
    if (Id.empty())
      Id = "i-" + Number + "-" + std::to_string(++Incarnations_);
    Workers_[I] = {
        Id,
        spawn({"/proc/self/exe", "worker", Id, "svc", Network_ + ".4." + Number,
               Network_ + ".3." + Number, Folder_ + "/workers.log", LateFile},
              Folder_ + "/worker-" + Number + ".log", "LANG=C")};
    note("worker " + Id + " starts on agent-" + Number);
  }

  /// The worker answers nothing any more, and closes no connection.
  void silenceWorker(std::size_t I) {
    ::kill(Workers_[I].second, SIGSTOP);
    note("worker " + Workers_[I].first + " crashes and is silent");
  }

  std::string lateFile(std::size_t I) const {
    return Folder_ + "/late-" + std::to_string(I + 1);
  }
  /// The next order to start that the I-th worker gets has no answer, and is
  /// carried out by its next life.
  void armLateStart(std::size_t I) {
    std::ofstream(lateFile(I) + ".arm") << "1";
  }

  void crashWorker(std::size_t I) {
    auto &[Id, Pid] = Workers_[I];
    endProcess(Pid);
    note("the process of worker " + Id + " ends");
  }

  std::vector<std::string> workerLog() const {
    std::ifstream In(Folder_ + "/workers.log");
    std::vector<std::string> Lines;
    for (std::string Line; std::getline(In, Line);)
      Lines.push_back(Line);
    return Lines;
  }

  /// The worker's number on whose machine the newest line with \p Text was
  /// written, from 0, or -1.
  int workerOf(const std::string &Text) const {
    int Found = -1;
    for (const std::string &Line : workerLog())
      if (Line.find(Text) != std::string::npos)
        Found = std::atoi(Line.c_str() + Line.find(" i-") + 3) - 1;
    return Found;
  }

  Response caller(const std::string &Method, const std::string &Path,
                  const std::string &Body = "", int TimeoutMs = 3000) {
    return call(ip("entry", 1), CallerPort, Method, Path, Body, TimeoutMs,
                "jobs.example");
  }

  bool putConfig(int Version, int MaxAttempts, int Tries = 40,
                 const std::vector<int> &Controls = {1, 2, 3}) {
    const json::object Route{{"Name", "r-1"},
                             {"Host", "jobs.example"},
                             {"PathPrefix", "/jobs/"},
                             {"Kind", "unsafe"},
                             {"TimeoutMs", 3000},
                             {"TargetLatencyMs", 250},
                             {"Priority", 0},
                             {"Service", "svc"},
                             {"MaxAttempts", MaxAttempts},
                             {"SlackFactor", 2.0}};
    const json::object Service{
        {"Name", "svc"},        {"HealthPath", "/healthz"},
        {"MaxConnections", 64}, {"Protocol", "h1"},
        {"Tls", false},         {"AdmissionCheck", false},
        {"Standby", false}};
    const json::object Limits{{"MaxHeaderBytes", 16384},
                              {"MaxBodyBytes", 262144},
                              {"HeaderTimeoutMs", 3000},
                              {"IdleTimeoutMs", 15000}};
    const std::string Body =
        json::serialize(json::object{{"Version", Version},
                                     {"Routes", json::array{Route}},
                                     {"Services", json::array{Service}},
                                     {"Limits", Limits}});
    for (int Try = 0; Try < Tries; ++Try) {
      const int Control =
          Controls[static_cast<std::size_t>(Try) % Controls.size()];
      const int Status = call(ip("control", Control), ControlPort, "PUT",
                              "/v1/config", Body, 1900)
                             .Status_;
      note("PUT /v1/config version " + std::to_string(Version) +
           " at control-" + std::to_string(Control) + " -> " +
           (Status == 0 ? "no answer" : std::to_string(Status)));
      if (Status == 200)
        return true;
      sleepMs(250);
    }
    return false;
  }

  Machine &machine(const std::string &Name) {
    for (Machine &Each : Machines_)
      if (Each.Name_ == Name)
        return Each;
    throw std::runtime_error("no machine " + Name);
  }
  /// Adds a control machine, whose processes are still to be started.
  Machine &addControl(int I) {
    add("control", 1, I, true);
    // The system as a whole has started before.
    Machines_.back().HasRun_ = true;
    return Machines_.back();
  }
  std::string ip(const std::string &Role, int I) {
    return machine(Role + "-" + std::to_string(I)).Ip_;
  }
  const std::string &folder() const { return Folder_; }
  std::size_t workers() const { return Workers_.size(); }

private:
  void add(const std::string &Role, int Net, int I, bool HasDisk) {
    Machines_.push_back(
        {.Name_ = Role + "-" + std::to_string(I),
         .Role_ = Role,
         .Ip_ = Network_ + "." + std::to_string(Net) + "." + std::to_string(I),
         .HasDisk_ = HasDisk});
  }

  /// A part of 127.0.0.0/8 on which nobody listens.
  void pickNetwork() {
    std::random_device Random;
    for (;;) {
      Network_ = "127." + std::to_string(100 + Random() % 150);
      const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in At = addressOf(Network_ + ".1.1", ControlPort);
      const bool Free =
          bind(Fd, reinterpret_cast<const sockaddr *>(&At), sizeof At) == 0;
      close(Fd);
      if (Free)
        return;
    }
  }

  std::string settingsOf(const Machine &Each) {
    std::string Seeds;
    for (const Machine &Other : Machines_)
      if (Other.Role_ == "control")
        Seeds += (Seeds.empty() ? "" : ",") + Other.Ip_ + ":" +
                 std::to_string(ControlPort);
    std::ostringstream Text;
    Text << "Node=" << Each.Name_ << "\nRole=" << Each.Role_
         << "\nIp=" << Each.Ip_ << "\nZone=zone-a\nRegion=region\n"
         << "InternalPorts=7720,7735\nSeeds=" << Seeds
         << "\nBootstrap=" << (Each.HasRun_ ? "false" : "true")
         << "\nLimits.CpuShare=0.5\nLimits.Cores=1\nLimits.MemoryMb="
         << MemoryMb_ << "\nLimits.MaxFds=4100\nLimits.DiskMb=128\n"
         << "Discovery=local\nEntry=vip\nHeartbeatMs=1500\nOrders=push\n"
         << "config_mode=highest\nFaultTolerance.Machines=1\n"
         << "FaultTolerance.Zones=0\nFaultTolerance.Regions=0\n"
         << "Bounds.GraceS=6\nBounds.ContactMs=3000\nBounds.CatchUpS=4\n"
         << "Bounds.HoldMaxMs=10000\nBounds.StopTimeoutMs=900\n";
    if (Each.Role_ == "entry")
      Text << "MachineClass=edge\nBind.Frontend=" << Each.Ip_ << ":"
           << CallerPort << "\nBind.Readiness=" << Each.Ip_ << ":8167\n";
    else
      Text << "Bind.Control=" << Each.Ip_ << ":" << ControlPort << "\n";
    if (Each.HasDisk_)
      Text << "MachineClass=edge\nDataDir=" << Folder_ << "/" << Each.Name_
           << "-disk\n";
    if (Each.Role_ == "agent")
      Text << "MachineClass=side\napp=" << Network_ << ".4."
           << Each.Name_.substr(6) << ":" << WorkerPort << "\n";
    return Text.str();
  }

  static pid_t spawn(const std::vector<std::string> &Words,
                     const std::string &Log, const std::string &Setting) {
    const pid_t Pid = fork();
    if (Pid != 0)
      return Pid;
    // It ends with the case, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Fd = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(Fd, 1);
    dup2(Fd, 2);
    std::vector<char *> Arguments;
    Arguments.reserve(Words.size());
    for (const std::string &Word : Words)
      Arguments.push_back(const_cast<char *>(Word.c_str()));
    Arguments.push_back(nullptr);
    const std::string Path = "PATH=" + std::string(std::getenv("PATH"));
    char *Environment[] = {const_cast<char *>(Setting.c_str()),
                           const_cast<char *>(Path.c_str()), nullptr};
    execve(Words[0].c_str(), Arguments.data(), Environment);
    _exit(127);
  }

  int MemoryMb_;
  std::ofstream Record_;
  const std::int64_t Start = unixMs();
  std::string Folder_, Network_;
  std::vector<Machine> Machines_;
  std::vector<std::pair<std::string, pid_t>> Workers_;
  int Incarnations_ = 0;
};

std::string stateOf(const Response &Answer) {
  boost::system::error_code Fault;
  const json::value Value = json::parse(Answer.Body_, Fault);
  if (Answer.Status_ != 200 || Fault || !Value.is_object() ||
      !Value.as_object().contains("State"))
    return {};
  return std::string(Value.at("State").as_string());
}

bool waitFor(int Ms, const std::function<bool()> &Test) {
  const auto Until = Clock::now() + milliseconds(Ms);
  while (!Test()) {
    if (Clock::now() >= Until)
      return false;
    sleepMs(20);
  }
  return true;
}

/// Starts everything and waits until a first job has completed.
bool warmUp(Stage &On, int MaxAttempts) {
  On.startAll();
  if (!On.putConfig(1, MaxAttempts))
    return false;
  const std::string Job = "/jobs/00000000000000aa";
  const std::string Body =
      R"({"Spec":"100","Steps":[{"Count":14,"Cpu":500,"MemMb":64,"EstimateMs":100}]})";
  return waitFor(15000,
                 [&] { return On.caller("POST", Job, Body).Status_ == 200; }) &&
         waitFor(15000,
                 [&] { return stateOf(On.caller("GET", Job)) == "completed"; });
}

// The cases.

/// Two workers crash, one after the other, and are silent. Each is ordered to
/// start the task of a job after its crash, and never has it.
int silentWorkers(bool Trouble) {
  Stage On(3, 1, 7);
  if (!warmUp(On, 4)) {
    On.note("the deployment did not come up");
    return CouldNotRun;
  }
  sleepMs(1500);
  const std::string Id = "5c0e7a21d94b36f8";
  const std::string Path = "/jobs/" + Id;
  const std::string Body =
      R"({"Spec":"3000","Steps":[{"Count":1,"Cpu":500,"MemMb":64,"EstimateMs":3000}]})";
  if (Trouble) {
    On.silenceWorker(0);
    sleepMs(200);
  }
  const Response Accepted = On.caller("POST", Path, Body);
  On.note("POST " + Path + " -> " + std::to_string(Accepted.Status_));
  if (Accepted.Status_ != 200)
    return CouldNotRun;
  if (Trouble) {
    sleepMs(3500);
    // The first one comes back, empty, as the second one crashes.
    On.crashWorker(0);
    On.silenceWorker(1);
    On.startWorker(0);
    sleepMs(4000);
    On.crashWorker(1);
    On.startWorker(1);
  }
  std::string State;
  waitFor(30000, [&] {
    const Response Answer = On.caller("GET", Path);
    if (stateOf(Answer) != State)
      On.note("GET " + Path + " -> " + std::to_string(Answer.Status_) + " " +
              Answer.Body_);
    State = stateOf(Answer).empty() ? State : stateOf(Answer);
    return State == "completed" || State == "failed" || State == "cancelled";
  });
  int Failed = 0;
  int Began = 0;
  for (const std::string &Line : On.workerLog())
    if (Line.find(Id) != std::string::npos) {
      On.note("a worker saw: " + Line);
      Failed += Line.find(" failed ") != std::string::npos ? 1 : 0;
      Began += Line.find(" start ") != std::string::npos ? 1 : 0;
    }
  const bool IsBroken = State == "failed" && Failed < 4 && Began < 2;
  On.note(std::string(IsBroken ? "BROKEN" : "held") +
          ": LOST, the job is shown as " + State + "; its task has begun " +
          std::to_string(Began) + " times and ended as failed " +
          std::to_string(Failed) + " times; MaxAttempts is 4");
  if (!IsBroken && State != "completed")
    return CouldNotRun;
  return IsBroken ? Broken : Held;
}

/// An order to start gets no answer and is carried out 4.7 s later, by the next
/// life of the worker, which has crashed meanwhile and is back under its id.
int lateStart(bool Trouble) {
  Stage On(3, 1, 7);
  if (!warmUp(On, 4)) {
    On.note("the deployment did not come up");
    return CouldNotRun;
  }
  sleepMs(1500);
  const std::string Id = "5c0e7a21d94b36f8";
  const std::string Path = "/jobs/" + Id;
  const std::string Body =
      R"({"Spec":"12000","Steps":[{"Count":1,"Cpu":500,"MemMb":64,"EstimateMs":12000}]})";
  if (Trouble)
    On.armLateStart(0);
  const Response Accepted = On.caller("POST", Path, Body);
  On.note("POST " + Path + " -> " + std::to_string(Accepted.Status_));
  if (Accepted.Status_ != 200)
    return CouldNotRun;
  if (Trouble) {
    if (!waitFor(3000, [&] { return fs::exists(On.lateFile(0)); })) {
      On.note("the first worker was not ordered to start the task");
      return CouldNotRun;
    }
    On.note(
        "worker i-1-1 leaves the order to start the task without an answer");
    sleepMs(300);
    On.crashWorker(0);
    sleepMs(4400);
    On.startWorker(0, "i-1-1");
  }
  std::string State;
  waitFor(40000, [&] {
    State = stateOf(On.caller("GET", Path));
    return State == "completed" || State == "failed" || State == "cancelled";
  });
  On.note("GET " + Path + " -> " + State);
  // When each run was at a worker, by the worker and the number of the run.
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> Spans;
  for (const std::string &Line : On.workerLog()) {
    if (Line.find(Id) == std::string::npos)
      continue;
    On.note("a worker saw: " + Line);
    std::istringstream In(Line);
    std::int64_t At = 0;
    std::string Worker, What, Task, Word, Run;
    In >> At >> Worker >> What >> Task >> Word >> Run;
    auto &Span = Spans[Worker.append(" run ").append(Run)];
    if (What == "start")
      Span = {At, unixMs()};
    else
      Span.second = At;
  }
  std::int64_t Overlap = 0;
  for (auto One = Spans.begin(); One != Spans.end(); ++One)
    for (auto Other = std::next(One); Other != Spans.end(); ++Other)
      Overlap = std::max(Overlap,
                         std::min(One->second.second, Other->second.second) -
                             std::max(One->second.first, Other->second.first));
  On.note(std::string(Overlap > 0 ? "BROKEN" : "held") +
          ": TWICE, two runs of the task at the same time for " +
          std::to_string(Overlap) + " ms");
  return Overlap > 0 ? Broken : Held;
}

/// Sends the first configuration for half a minute, and then some jobs.
int judgeFirstStart(Stage &On, const std::vector<int> &Controls) {
  const bool IsAcked = On.putConfig(1, 4, 60, Controls);
  int Served = 0;
  for (int Try = 1; Try <= 5; ++Try) {
    const std::string Path = "/jobs/00000000000000b" + std::to_string(Try);
    const Response Answer = On.caller(
        "POST", Path,
        R"({"Spec":"100","Steps":[{"Count":1,"Cpu":500,"MemMb":64,"EstimateMs":100}]})");
    On.note("POST " + Path + " -> " + std::to_string(Answer.Status_));
    Served += Answer.Status_ == 200 ? 1 : 0;
  }
  const bool IsBroken = !IsAcked && Served == 0;
  On.note(std::string(IsBroken ? "BROKEN" : "held") +
          ": Fault, no request is served: the first configuration is " +
          (IsAcked ? "acknowledged, " : "never acknowledged, ") +
          std::to_string(Served) + " of 5 requests are served");
  return IsBroken ? Broken : Held;
}

/// The machine that starts first is killed before the others are up, and is
/// back three seconds later, as the platform restarts it.
int killedAtFirstStart(bool Trouble) {
  Stage On(3, 1, 3);
  Machine &First = On.machine("control-1");
  On.start(First);
  On.note(First.Name_ + " starts for the first time, with Bootstrap=true");
  sleepMs(200);
  if (Trouble) {
    Stage::kill(First);
    On.note(First.Name_ + " is killed");
  }
  sleepMs(50);
  On.startOthers(First);
  On.note("all other machines start for the first time, with Bootstrap=true");
  if (Trouble) {
    sleepMs(3000);
    On.start(First);
    On.note(First.Name_ + " starts again, with Bootstrap=false");
  }
  return judgeFirstStart(On, {1, 2, 3});
}

/// A machine that is to found the group is gone for good before the group has
/// had a leader, and an empty one comes at another address.
int lostAtFirstStart(bool Trouble) {
  Stage On(3, 1, 3);
  On.startAll();
  On.note("all machines start for the first time, with Bootstrap=true");
  if (Trouble) {
    sleepMs(500);
    Machine &Lost = On.machine("control-2");
    Stage::kill(Lost);
    Lost.Role_ = "gone";
    On.note(Lost.Name_ + " is gone for good");
    sleepMs(1000);
    On.start(On.addControl(4));
    On.note("control-4 starts in its place, with Bootstrap=false");
  }
  return judgeFirstStart(On, Trouble ? std::vector<int>{1, 3, 4}
                                     : std::vector<int>{1, 2, 3});
}

} // namespace

int main(int Argc, char **Argv) {
  signal(SIGPIPE, SIG_IGN);
  const std::string Mode = Argc > 1 ? Argv[1] : "";
  if (Mode == "worker" && Argc == 8)
    Worker({.Id_ = Argv[2],
            .Service_ = Argv[3],
            .Ip_ = Argv[4],
            .AgentIp_ = Argv[5],
            .LogFile_ = Argv[6],
            .LateFile_ = Argv[7]})
        .run();
  const char *Text = std::getenv("TROUBLE");
  const bool Trouble = Text == nullptr || std::string(Text) != "0";
  const std::map<std::string, int (*)(bool)> Cases{
      {"silent-workers", silentWorkers},
      {"late-start", lateStart},
      {"killed-at-first-start", killedAtFirstStart},
      {"lost-at-first-start", lostAtFirstStart}};
  const auto Case = Cases.find(Mode);
  if (Case == Cases.end())
    return CouldNotRun;
  try {
    return Case->second(Trouble);
  } catch (const std::exception &Fault) {
    std::printf("%s\n", Fault.what());
    return CouldNotRun;
  }
}
