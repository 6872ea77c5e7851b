/// One small deployment of the real programs, with stand-ins for clients,
/// workers and the operator, driven step by step.
#ifndef DRAGONFLY_REVIEW_STANDIN_STAGE_H
#define DRAGONFLY_REVIEW_STANDIN_STAGE_H

#include "FramePath.h"
#include "Programs.h"
#include "Record.h"
#include "Worker.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/HttpClient.h"

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace dragonfly::review {

/// The case could not run, which says nothing about the rule.
class CannotRun : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

struct StageOptions {
  /// Folder of the case, for record.txt.
  std::string CaseFolder_;
  /// Temporary folder for settings, logs and disks.
  std::string Folder_;
  std::string Network_;
  std::size_t Workers_ = 2;
  WorkerOptions Worker_;
  /// Entries and agents reach control over paths that can be harmed.
  bool HasPaths_ = false;
};

struct Route {
  std::string Name_;
  std::string PathPrefix_;
};

class Stage {
public:
  explicit Stage(StageOptions Options);

  /// Starts all programs, puts a configuration in force and waits until each
  /// worker has been reported to control.
  void begin();

  void runFor(Duration Length);
  /// Returns false if \p Condition did not come true in time.
  bool runUntil(const std::function<bool()> &Condition, Duration Longest);

  /// Sends a request and waits for its end.
  net::HttpResult call(net::HttpClient &Peer, net::HttpRequest Request,
                       Duration Timeout = std::chrono::milliseconds(3000));
  void putConfiguration(std::uint64_t Version,
                        const std::vector<Route> &Routes);
  /// Submits until the job is accepted, as clients do.
  void submit(const std::string &Path, const std::string &Body);
  /// The state that an entry shows, or the status code in brackets.
  std::string stateOf(const std::string &Path);
  static std::string jobBody(std::size_t Tasks, std::int64_t MilliProcessors,
                             std::int64_t MemoryMb, std::int64_t RunMs);
  static net::HttpRequest request(std::string Method, std::string Path,
                                  std::string Body = {});

  /// Kills a process and starts it again after \p Down.
  void killAndRestart(const std::vector<std::size_t> &Processes, Duration Down);
  /// Sends a process SIGTERM and starts it again \p Down after its end.
  void stopAndRestart(std::size_t I, Duration Down);
  std::size_t control(std::size_t I) const {
    return Programs_.number(Role::Control, I + 1);
  }
  std::size_t entry(std::size_t I) const {
    return Programs_.number(Role::Entry, I + 1);
  }
  std::size_t agent(std::size_t I) const {
    return Programs_.number(Role::Agent, I + 1);
  }
  /// Notes processes that ended by themselves.
  void reap();
  const std::vector<std::string> &ownEnds() const { return OwnEnds_; }
  /// Harms all paths of process \p I to control.
  void harmPaths(std::size_t I, const FramePath::Harm &Value);
  void resetPaths(std::size_t I);
  /// The control process that was elected last, by the logs.
  std::size_t leadingControl() const;

  net::EventLoop &loop() { return Loop_; }
  Record &record() { return Record_; }
  RunJudge &judge() { return Judge_; }
  Programs &programs() { return Programs_; }
  Worker &worker(std::size_t I) { return *Workers_[I]; }
  std::size_t workers() const { return Workers_.size(); }
  net::HttpClient &entryClient(std::size_t I) { return *EntryClients_[I]; }
  net::HttpClient &operatorClient(std::size_t I) {
    return *OperatorClients_[I];
  }

  static constexpr std::size_t Controls = 3;
  static constexpr std::size_t Entries = 2;

private:
  void openPaths();

  StageOptions Options_;
  net::EventLoop Loop_;
  Record Record_;
  RunJudge Judge_;
  Programs Programs_;
  std::vector<std::string> OwnEnds_;
  /// By process, then by control process.
  std::map<std::size_t, std::vector<std::unique_ptr<FramePath>>> Paths_;
  std::vector<std::unique_ptr<Worker>> Workers_;
  std::vector<std::unique_ptr<net::HttpClient>> EntryClients_;
  std::vector<std::unique_ptr<net::HttpClient>> OperatorClients_;
};

} // namespace dragonfly::review

#endif // DRAGONFLY_REVIEW_STANDIN_STAGE_H
