/// What callers are told of a submission, for each way in which replicas of
/// control take it: on real connections, with the clock paused.
#include "dragonfly/entry/JobGateway.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/jobs/JobTable.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonfly::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What a replica does with a submission.
enum class Answer : std::uint8_t {
  Accept,
  Reject,       ///< It leads, and says that the job was not accepted.
  RefuseLeader, ///< It knows of no leader.
  NoQueue,      ///< It leads, and has no such queue.
  NoQueueNow,   ///< It accepted the job before its queue was removed.
  Nothing,      ///< It takes the job, and its answer is lost.
  Close,        ///< It takes the job and dies.
  Dark          ///< Its VM answers nothing, not even to a new connection.
};

/// True for a replica that takes the job without an answer.
bool losesAnswers(Answer Kind) {
  return Kind == Answer::Nothing || Kind == Answer::Close;
}

/// A port whose queue of connections is full, so that new ones hang as they do
/// towards a VM without power.
class DarkPort {
public:
  DarkPort() : Acceptor_(Context_) {
    using boost::asio::ip::tcp;
    const tcp::endpoint Any(boost::asio::ip::make_address("127.0.0.1"), 0);
    Acceptor_.open(Any.protocol());
    Acceptor_.bind(Any);
    Acceptor_.listen(0);
    constexpr std::size_t MoreThanFit = 4;
    for (std::size_t I = 0; I < MoreThanFit; ++I) {
      Waiting_.emplace_back(Context_, Any.protocol());
      // Begins at once, and is never looked at again.
      Waiting_.back().async_connect(Acceptor_.local_endpoint(),
                                    [](const auto &) {});
    }
  }

  std::uint16_t port() const { return Acceptor_.local_endpoint().port(); }

private:
  boost::asio::io_context Context_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::vector<boost::asio::ip::tcp::socket> Waiting_;
};

class FakeReplica {
public:
  /// Clients ask replicas in the order of their addresses: \p Host is the last
  /// part of this one's.
  FakeReplica(net::EventLoop &Loop, std::size_t Host, Answer Kind)
      : Kind_(Kind) {
    if (Kind == Answer::Dark) {
      Dark_ = std::make_unique<DarkPort>();
      Address_ = "127.0.0.1:" + std::to_string(Dark_->port());
      return;
    }
    Server_ = std::make_unique<net::FrameServer>(
        Loop,
        net::FrameServerOptions{
            .Listen_ = {.Address_ = "127.0.0." + std::to_string(Host),
                        .Port_ = 0},
            .Self_ = {2},
            .OnMessage_ = [this](wire::Message Request, net::FrameReplier To) {
              take(Request, To);
            }});
    Address_ = Server_->endpoint().text();
  }

  const std::string &address() const { return Address_; }
  /// True where it took the job and its answer was lost.
  bool hasTaken() const { return Submissions_ > 0 && losesAnswers(Kind_); }

private:
  void take(const wire::Message &Request, net::FrameReplier &To) {
    if (std::holds_alternative<wire::FetchGroup>(Request)) {
      To.answer(wire::Group{});
      return;
    }
    if (!std::holds_alternative<wire::SubmitJob>(Request) &&
        !std::holds_alternative<wire::JobRequest>(Request))
      return;
    ++Submissions_;
    switch (Kind_) {
    case Answer::Accept:
      To.answer(wire::JobReply{.Status_ = wire::JobStatus::Accepted});
      return;
    case Answer::Reject:
      To.answer(wire::JobReply{.Status_ = wire::JobStatus::Rejected});
      return;
    case Answer::NoQueue:
      To.answer(wire::JobReply{.Status_ = wire::JobStatus::NoQueue});
      return;
    case Answer::NoQueueNow:
      To.answer(wire::JobReply{.Status_ = wire::JobStatus::AcceptedBefore});
      return;
    case Answer::RefuseLeader:
      To.answer(wire::Refusal{.Reason_ = Reason::NoQuorum});
      return;
    case Answer::Nothing:
    case Answer::Dark:
      return;
    case Answer::Close:
      Server_->close();
      return;
    }
  }

  Answer Kind_;
  std::unique_ptr<DarkPort> Dark_;
  std::unique_ptr<net::FrameServer> Server_;
  std::string Address_;
  std::size_t Submissions_ = 0;
};

/// Tells how a submission, or a cancel, ended, and after how long.
struct Submission {
  JobAnswer Answer_ = JobAnswer::Unknown;
  Duration Took_{};
  /// A replica took the job, and its answer was lost.
  bool IsLost_ = false;
};

enum class Call : std::uint8_t { Submit, Cancel };

/// Submits or cancels one job at replicas.
Submission submitTo(const std::vector<Answer> &Kinds, Call What = Call::Submit,
                    Duration TimeLeft = seconds(3)) {
  configureLog({.Sink_ = [](std::string_view) {}});
  Clock::pause(TimePoint(seconds(100)));
  Submission Result;
  {
    net::EventLoop Loop;
    std::vector<std::unique_ptr<FakeReplica>> Replicas;
    std::vector<std::string> Seeds;
    for (const Answer Kind : Kinds) {
      Replicas.push_back(
          std::make_unique<FakeReplica>(Loop, Replicas.size() + 1, Kind));
      Seeds.push_back(Replicas.back()->address());
    }
    link::LeaderClient Leader(Loop, {.Self_ = {1}, .Seeds_ = Seeds});
    Metrics Counts;
    JobGateway Gateway(Leader, Counts, {});
    std::optional<JobResult> Ended;
    const TimePoint Began = Clock::now();
    const auto OnEnd = [&](const JobResult &Value) { Ended = Value; };
    if (What == Call::Submit)
      Gateway.submit({.Job_ = "5c0e7a21d94b36f8"}, TimeLeft, OnEnd);
    else
      Gateway.request(
          {.Action_ = wire::JobAction::Cancel, .Job_ = "5c0e7a21d94b36f8"},
          TimeLeft, OnEnd);
    constexpr int Polls = 30;
    while (!Ended && Clock::now() - Began < TimeLeft + seconds(1)) {
      for (int I = 0; I < Polls; ++I)
        Loop.poll();
      Clock::advance(milliseconds(5));
    }
    REQUIRE(Ended);
    Result.Answer_ = Ended->Answer_;
    Result.Took_ = Clock::now() - Began;
    Result.IsLost_ = std::ranges::any_of(
        Replicas, [](const auto &Replica) { return Replica->hasTaken(); });
  }
  Clock::resume();
  return Result;
}

/// Submits one job in each order in which the replicas can be asked.
std::vector<Submission> submitInEachOrder(std::vector<Answer> Kinds,
                                          Call What = Call::Submit) {
  std::vector<Submission> All;
  std::ranges::sort(Kinds);
  do
    All.push_back(submitTo(Kinds, What));
  while (std::ranges::next_permutation(Kinds).found);
  return All;
}

struct Case {
  const char *Name_;
  std::vector<Answer> Replicas_;
  /// Where no answer was lost on the way; otherwise it is unknown.
  JobAnswer Told_;
  Duration Within_;
};

} // namespace

TEST_CASE("a caller is told that a job has not run only where that is certain",
          "[entry][jobs][outcome]") {
  // A caller's time of 3 s leaves 2.55 s; a wait for a leader takes 250 ms.
  const Case Cases[]{
      {"a leader accepts",
       {Answer::Accept},
       JobAnswer::Accepted,
       milliseconds(100)},
      {"a leader rejects",
       {Answer::Reject},
       JobAnswer::RefusedNotRun,
       milliseconds(100)},
      {"a leader has no such queue",
       {Answer::NoQueue},
       JobAnswer::UnknownQueue,
       milliseconds(100)},
      {"the queue of an accepted job has been removed",
       {Answer::NoQueueNow},
       JobAnswer::UnknownQueue,
       milliseconds(100)},
      {"an answer is lost, and then there is no such queue",
       {Answer::Nothing, Answer::NoQueue, Answer::Nothing},
       JobAnswer::UnknownQueue,
       milliseconds(2700)},
      {"nobody knows a leader",
       {Answer::RefuseLeader, Answer::RefuseLeader},
       JobAnswer::RefusedNotRun,
       milliseconds(400)},
      {"all replicas are dark",
       {Answer::Dark, Answer::Dark},
       JobAnswer::RefusedNotRun,
       milliseconds(400)},
      {"the answer of the only one is lost",
       {Answer::Nothing},
       JobAnswer::Unknown,
       milliseconds(2700)},
      {"an answer is lost, and the others know no leader",
       {Answer::Nothing, Answer::RefuseLeader, Answer::RefuseLeader},
       JobAnswer::RefusedNotRun,
       milliseconds(2700)},
      {"an answer is lost, and the next leader rejects",
       {Answer::Nothing, Answer::Reject, Answer::Nothing},
       JobAnswer::RefusedNotRun,
       milliseconds(2700)},
      {"a replica dies with the job, and the others know no leader",
       {Answer::Close, Answer::RefuseLeader, Answer::Close},
       JobAnswer::RefusedNotRun,
       milliseconds(2700)},
      {"two of three replicas die with the job, and the last one rejects",
       {Answer::Close, Answer::Close, Answer::Reject},
       JobAnswer::RefusedNotRun,
       milliseconds(2700)},
  };
  for (const Case &Each : Cases) {
    INFO(Each.Name_);
    const std::vector<Submission> All = submitInEachOrder(Each.Replicas_);
    CHECK(std::ranges::any_of(All, &Submission::IsLost_) ==
          std::ranges::any_of(Each.Replicas_, losesAnswers));
    for (const Submission &Seen : All) {
      CHECK(Seen.Answer_ == (Seen.IsLost_ ? JobAnswer::Unknown : Each.Told_));
      CHECK(Seen.Took_ <= Each.Within_);
    }
  }
}

// Guards against UNASKED: an entry tried a submission for as long as its caller
// had time, and it arrived after its cancel had ceased to hold.
TEST_CASE("a submission is not tried for longer than its cancel holds",
          "[entry][jobs][outcome]") {
  const Submission Tried =
      submitTo({Answer::Nothing}, Call::Submit, seconds(60));
  CHECK(Tried.Answer_ == JobAnswer::Unknown);
  CHECK(Tried.Took_ < jobs::JobTable::EarlyCancelRetention);
}

// Guards against UNASKED: a caller believes in a cancel that an entry took and
// lost. It is told to send it again, early enough to do so within the 4 s of
// AckTimeoutMs.
TEST_CASE("a cancel that was taken and lost is not told as done",
          "[entry][jobs][outcome]") {
  const std::vector<Answer> Kinds =
      GENERATE(std::vector{Answer::Nothing},
               std::vector{Answer::Nothing, Answer::RefuseLeader},
               std::vector{Answer::Close, Answer::RefuseLeader},
               std::vector{Answer::Close, Answer::Reject},
               std::vector{Answer::Close, Answer::NoQueue},
               std::vector{Answer::Dark, Answer::RefuseLeader});
  for (const Submission &Each : submitInEachOrder(Kinds, Call::Cancel)) {
    CHECK(Each.Answer_ != JobAnswer::Accepted);
    CHECK(Each.Answer_ != JobAnswer::Known);
    CHECK(Each.Answer_ != JobAnswer::UnknownJob);
    if (Each.IsLost_)
      CHECK(Each.Answer_ == JobAnswer::Unknown);
    CHECK(Each.Took_ <= milliseconds(2700));
  }
}

// Guards against REFUSED: the only attempt to hand in a job was answered with
// 404, since its queue was removed while the first answer was late (review/5).
TEST_CASE("a job whose answer was late is accepted though its queue is removed",
          "[entry][jobs][outcome]") {
  std::size_t Lost = 0;
  const std::vector<Submission> All =
      submitInEachOrder({Answer::Nothing, Answer::NoQueueNow});
  for (const Submission &Each : All) {
    Lost += Each.IsLost_ ? 1 : 0;
    CHECK(Each.Answer_ ==
          (Each.IsLost_ ? JobAnswer::Accepted : JobAnswer::UnknownQueue));
  }
  CHECK(All.size() == 2);
  CHECK(Lost == 1);
}

} // namespace dragonfly::entry
