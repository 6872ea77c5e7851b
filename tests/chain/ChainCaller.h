/// Callers of jobs and the entry that they call, which may be lost.
#ifndef DRAGONFLY_TESTS_CHAIN_CHAINCALLER_H
#define DRAGONFLY_TESTS_CHAIN_CHAINCALLER_H

#include "chain/ChainControl.h"
#include "chain/ChainJudge.h"
#include "dragonfly/base/Metrics.h"
#include "dragonfly/entry/JobGateway.h"
#include "dragonfly/link/LeaderClient.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::chain {

class ChainCaller {
public:
  ChainCaller(net::EventLoop &Loop, const ChainControl &Control,
              ChainJudge &Judge, std::size_t Client)
      : Loop_(Loop), Control_(Control), Judge_(Judge), Client_(Client) {
    startEntry();
  }

  bool hasEntry() const { return Gateway_ != nullptr; }
  void startEntry() {
    Link_ = std::make_unique<link::LeaderClient>(
        Loop_, link::LeaderClientOptions{
                   .Self_ = {50}, .Seeds_ = Control_.addresses(Client_)});
    Gateway_ = std::make_unique<entry::JobGateway>(*Link_, Counts_,
                                                   entry::JobGatewayOptions{});
  }
  /// What the entry had taken gets no answer.
  void killEntry() {
    Link_.reset();
    Gateway_.reset();
  }

  /// Submits \p Job until it is accepted.
  void submit(const std::string &Job) {
    JobRecord &Row = Judge_.Jobs_[Job];
    if (!Gateway_)
      return again([this, Job] { submit(Job); });
    Row.Sent_ = true;
    ++Row.NotRefused_;
    call(
        "submit " + Job,
        [&](const Handler &OnEnd) {
          Gateway_->submit({.Job_ = Job,
                            .Host_ = "a.example",
                            .Path_ = "/checks/" + Job,
                            .Spec_ = Row.Spec_},
                           TimeLeft, OnEnd);
        },
        [this, Job](const entry::JobResult &Result) {
          submitted(Job, Result.Answer_);
        });
  }

  /// Cancels \p Job until that is acknowledged.
  void cancel(const std::string &Job) {
    JobRecord &Row = Judge_.Jobs_[Job];
    if (!Row.CancelSentAt_)
      Row.CancelSentAt_ = Clock::now();
    if (!Gateway_)
      return again([this, Job] { cancel(Job); });
    call(
        "cancel " + Job,
        [&](const Handler &OnEnd) {
          Gateway_->request(requestOf(Job, wire::JobAction::Cancel), TimeLeft,
                            OnEnd);
        },
        [this, Job](const entry::JobResult &Result) {
          if (Result.Answer_ == entry::JobAnswer::Known ||
              Result.Answer_ == entry::JobAnswer::UnknownJob ||
              Result.Answer_ == entry::JobAnswer::Accepted)
            Judge_.cancelAcknowledged(Job);
          else
            again([this, Job] { cancel(Job); });
        });
  }

  /// Asks for the state of \p Job once.
  void query(const std::string &Job) {
    if (!Gateway_)
      return;
    const JobRecord &Row = Judge_.Jobs_[Job];
    const bool Accepted = Row.AcceptedAt_.has_value();
    const bool Cancelled = Row.CancelAckedAt_.has_value();
    call(
        "query " + Job,
        [&](const Handler &OnEnd) {
          Gateway_->request(requestOf(Job, wire::JobAction::Query), TimeLeft,
                            OnEnd);
        },
        [this, Job, Accepted, Cancelled](const entry::JobResult &Result) {
          checkState(Job, Result, Accepted, Cancelled);
        });
  }

private:
  using Handler = entry::JobGateway::Handler;
  static constexpr Duration TimeLeft = milliseconds(1500);
  static constexpr Duration RetryDelay = milliseconds(700);
  /// Later than every answer of an entry.
  static constexpr Duration GiveUpTime = milliseconds(1700);

  static wire::JobRequest requestOf(const std::string &Job,
                                    wire::JobAction Action) {
    return {.Action_ = Action,
            .Job_ = Job,
            .Host_ = "a.example",
            .Path_ = "/checks/" + Job};
  }

  void again(std::function<void()> Work) {
    Pending_.push_back(Loop_.after(RetryDelay, std::move(Work)));
  }

  /// Calls the entry; without an answer the outcome is unknown.
  void call(const std::string &What,
            const std::function<void(const Handler &)> &Send, Handler OnEnd) {
    Judge_.note(What);
    const auto Ended = std::make_shared<bool>(false);
    const auto Once = [this, What, Ended,
                       OnEnd = std::move(OnEnd)](entry::JobResult Result) {
      if (std::exchange(*Ended, true))
        return;
      Judge_.note(What + ": " + std::string(enumName(Result.Answer_)) + " " +
                  std::string(enumName(Result.State_)));
      OnEnd(Result);
    };
    Send(Once);
    Pending_.push_back(Loop_.after(GiveUpTime, [Once] { Once({}); }));
  }

  void submitted(const std::string &Job, entry::JobAnswer Answer) {
    JobRecord &Row = Judge_.Jobs_[Job];
    if (Answer == entry::JobAnswer::Accepted) {
      if (!Row.AcceptedAt_)
        Row.AcceptedAt_ = Clock::now();
      return;
    }
    if (Answer != entry::JobAnswer::Unknown)
      --Row.NotRefused_;
    again([this, Job] { submit(Job); });
  }

  void checkState(const std::string &Job, const entry::JobResult &Result,
                  bool Accepted, bool Cancelled) {
    using entry::JobAnswer;
    using jobs::JobState;
    const bool Asked = Judge_.Jobs_[Job].CancelSentAt_.has_value();
    const bool Known = Result.Answer_ == JobAnswer::Known;
    if (Accepted && !Asked && Result.Answer_ == JobAnswer::UnknownJob)
      Judge_.fail("10: an accepted job is unknown: " + Job);
    if (!Asked && Known && Result.State_ == JobState::Cancelled)
      Judge_.fail("10: a job is cancelled that nobody cancelled: " + Job);
    if (Cancelled && Known &&
        (Result.State_ == JobState::Queued ||
         Result.State_ == JobState::Running))
      Judge_.fail("10: an acknowledged cancel is not in force: " + Job);
    if (Completed_.contains(Job) && Known &&
        Result.State_ != JobState::Completed)
      Judge_.fail("10: a completed job has another state: " + Job);
    if (Known && Result.State_ == JobState::Completed)
      Completed_.insert(Job);
  }

  net::EventLoop &Loop_;
  const ChainControl &Control_;
  ChainJudge &Judge_;
  std::size_t Client_;
  Metrics Counts_;
  std::set<std::string> Completed_;
  std::unique_ptr<link::LeaderClient> Link_;
  std::unique_ptr<entry::JobGateway> Gateway_;
  std::vector<net::Timer> Pending_;
};

} // namespace dragonfly::chain

#endif // DRAGONFLY_TESTS_CHAIN_CHAINCALLER_H
