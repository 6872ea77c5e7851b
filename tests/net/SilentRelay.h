/// Forwards connections on loopback, and makes those that are open silent for
/// good, without a reset, while new ones work, are closed, or pass nothing.
#ifndef DRAGONFLY_TESTS_NET_SILENTRELAY_H
#define DRAGONFLY_TESTS_NET_SILENTRELAY_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/net/Endpoint.h"
#include "dragonfly/net/EventLoop.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace dragonfly::net {

/// What becomes of connections that are made from now on.
enum class NewConnections : std::uint8_t {
  Forwarded,
  Closed,   ///< Closed at once.
  Swallowed ///< Open and silent for good, as if their peer lost power then.
};

/// Reads bytes also where they are dropped, as a kernel would take them.
class SilentRelay {
public:
  SilentRelay(EventLoop &Loop, const Endpoint &Target)
      : Loop_(Loop), Acceptor_(Loop.context(),
                               {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Target_(boost::asio::ip::make_address(Target.Address_), Target.Port_) {
    // What waits for a narrow link waits at its sender.
    constexpr int ReceiveBytes = 16 << 10;
    Acceptor_.set_option(
        boost::asio::socket_base::receive_buffer_size(ReceiveBytes));
    accept();
  }

  Endpoint endpoint() const {
    return {.Address_ = "127.0.0.1",
            .Port_ = Acceptor_.local_endpoint().port()};
  }
  /// Drops, on connections that are open now, what callers send from now on, or
  /// what is sent to them.
  void silence(bool FromCallers, bool ToCallers) {
    for (const auto &Each : Pairs_) {
      Each->DropsFromCaller_ = Each->DropsFromCaller_ || FromCallers;
      Each->DropsToCaller_ = Each->DropsToCaller_ || ToCallers;
    }
  }
  void silence() { silence(true, true); }
  /// Passes on at most \p BytesPerMs of what callers send, from now on, over
  /// all connections.
  void limitRate(std::size_t BytesPerMs) {
    BytesPerMs_ = BytesPerMs;
    FreeAt_ = Clock::now();
  }
  void admit(NewConnections Kind) { Admitted_ = Kind; }
  /// Ends the connection that was accepted last.
  void closeNewest() {
    boost::system::error_code Ignored;
    Pairs_.back()->Caller_.close(Ignored);
    Pairs_.back()->Target_.close(Ignored);
  }
  /// Connections accepted so far.
  std::size_t accepted() const { return Accepted_; }
  /// Bytes that callers have sent so far.
  std::size_t bytesFromCallers() const { return BytesFromCallers_; }

private:
  struct Pair {
    explicit Pair(boost::asio::io_context &Context)
        : Caller_(Context), Target_(Context) {}
    boost::asio::ip::tcp::socket Caller_;
    boost::asio::ip::tcp::socket Target_;
    bool DropsFromCaller_ = false;
    bool DropsToCaller_ = false;
  };

  void accept() {
    Acceptor_.async_accept(
        [this](const auto &Fault, boost::asio::ip::tcp::socket Caller) {
          if (Fault)
            return;
          ++Accepted_;
          const auto Next = std::make_shared<Pair>(Loop_.context());
          Next->Caller_ = std::move(Caller);
          if (Admitted_ != NewConnections::Forwarded) {
            if (Admitted_ == NewConnections::Swallowed)
              swallow(Next);
            accept();
            return;
          }
          // On loopback a connection is made or refused at once.
          boost::system::error_code Refused;
          Next->Target_.connect(Target_, Refused);
          if (!Refused) {
            // Else the kernel may hold bytes back for tens of milliseconds, in
            // which the paused clock moves by seconds.
            Next->Caller_.set_option(boost::asio::ip::tcp::no_delay(true));
            Next->Target_.set_option(boost::asio::ip::tcp::no_delay(true));
            Pairs_.push_back(Next);
            pump(Next, Next->Caller_, Next->Target_, Next->DropsFromCaller_);
            pump(Next, Next->Target_, Next->Caller_, Next->DropsToCaller_);
          }
          accept();
        });
  }

  void swallow(const std::shared_ptr<Pair> &Each) {
    Each->DropsFromCaller_ = true;
    Pairs_.push_back(Each);
    pump(Each, Each->Caller_, Each->Target_, Each->DropsFromCaller_);
  }

  void pump(const std::shared_ptr<Pair> &Each,
            boost::asio::ip::tcp::socket &From,
            boost::asio::ip::tcp::socket &To, bool &Drops) {
    const auto Buffer = std::make_shared<std::array<char, 4096>>();
    From.async_read_some(
        boost::asio::buffer(*Buffer), [this, Each, &From, &To, &Drops, Buffer](
                                          const auto &Fault, std::size_t Size) {
          boost::system::error_code Ignored;
          if (Fault) {
            // The end of a silent connection is not seen on the other side.
            if (!Drops)
              To.close(Ignored);
            return;
          }
          if (&From == &Each->Caller_)
            BytesFromCallers_ += Size;
          if (!Drops)
            boost::asio::write(To, boost::asio::buffer(*Buffer, Size), Ignored);
          if (&From == &Each->Caller_ && BytesPerMs_ > 0)
            FreeAt_ = std::max(FreeAt_, Clock::now()) +
                      Duration(std::chrono::milliseconds(1)) *
                          static_cast<Duration::rep>(Size) /
                          static_cast<Duration::rep>(BytesPerMs_);
          pumpWhenFree(Each, From, To, Drops);
        });
  }

  void pumpWhenFree(const std::shared_ptr<Pair> &Each,
                    boost::asio::ip::tcp::socket &From,
                    boost::asio::ip::tcp::socket &To, bool &Drops) {
    // A step of the paused clock is longer than a piece takes.
    constexpr Duration Step = std::chrono::milliseconds(5);
    if (&From != &Each->Caller_ || FreeAt_ <= Clock::now() + Step) {
      pump(Each, From, To, Drops);
      return;
    }
    Waiting_.push_back(Loop_.after(FreeAt_ - Clock::now() - Step,
                                   [this, Each, &From, &To, &Drops] {
                                     pumpWhenFree(Each, From, To, Drops);
                                   }));
  }

  EventLoop &Loop_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  boost::asio::ip::tcp::endpoint Target_;
  std::vector<std::shared_ptr<Pair>> Pairs_;
  NewConnections Admitted_ = NewConnections::Forwarded;
  std::size_t Accepted_ = 0;
  std::size_t BytesFromCallers_ = 0;
  /// Bytes that callers' direction carries in a millisecond; 0 for any number.
  std::size_t BytesPerMs_ = 0;
  /// When the link has carried what it was given.
  TimePoint FreeAt_;
  std::vector<Timer> Waiting_;
};

} // namespace dragonfly::net

#endif // DRAGONFLY_TESTS_NET_SILENTRELAY_H
