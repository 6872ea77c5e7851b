#include "soak/LoopbackProxy.h"

#include <boost/asio.hpp>

#include <array>
#include <list>
#include <string>
#include <utility>

namespace dragonfly::soak {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

tcp::endpoint toAsio(const net::Endpoint &Value) {
  return {boost::asio::ip::make_address(Value.Address_), Value.Port_};
}

} // namespace

struct LoopbackProxy::Impl : std::enable_shared_from_this<Impl> {
  struct Pair {
    explicit Pair(boost::asio::io_context &Context)
        : Caller_(Context), Target_(Context) {}
    tcp::socket Caller_;
    tcp::socket Target_;
  };

  Impl(net::EventLoop &Loop, const net::Endpoint &Listen,
       const net::Endpoint &Target)
      : Context_(Loop.context()), Acceptor_(Context_, toAsio(Listen)),
        Target_(toAsio(Target)) {}

  void accept() {
    const auto Next = std::make_shared<Pair>(Context_);
    Acceptor_.async_accept(Next->Caller_,
                           [Self = shared_from_this(), Next](error_code Fault) {
                             if (Fault)
                               return;
                             if (Self->Harm_.Refuses_)
                               Self->close(*Next);
                             else
                               Self->connect(Next);
                             Self->accept();
                           });
  }

  void connect(const std::shared_ptr<Pair> &Each) {
    Open_.push_back(Each);
    Each->Target_.async_connect(
        Target_, [Self = shared_from_this(), Each](error_code Fault) {
          if (Fault) {
            Self->close(*Each);
            return;
          }
          Self->pump(Each, Each->Caller_, Each->Target_, true);
          Self->pump(Each, Each->Target_, Each->Caller_, false);
        });
  }

  void pump(const std::shared_ptr<Pair> &Each, tcp::socket &From,
            tcp::socket &To, bool IsRequest) {
    const auto Buffer = std::make_shared<std::array<char, 16384>>();
    From.async_read_some(boost::asio::buffer(*Buffer),
                         [Self = shared_from_this(), Each, &From, &To,
                          IsRequest,
                          Buffer](error_code Fault, std::size_t Size) {
                           if (Fault) {
                             Self->close(*Each);
                             return;
                           }
                           Self->pass(Each, From, To, IsRequest,
                                      std::string(Buffer->data(), Size));
                         });
  }

  void pass(const std::shared_ptr<Pair> &Each, tcp::socket &From,
            tcp::socket &To, bool IsRequest, std::string Bytes) {
    if (IsRequest ? Harm_.CutsRequests_ : Harm_.CutsAnswers_) {
      pump(Each, From, To, IsRequest);
      return;
    }
    const auto Timer = std::make_shared<boost::asio::steady_timer>(
        Context_,
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            Harm_.Delay_));
    const auto Kept = std::make_shared<std::string>(std::move(Bytes));
    Timer->async_wait([Self = shared_from_this(), Each, &From, &To, IsRequest,
                       Kept, Timer](error_code) {
      boost::asio::async_write(To, boost::asio::buffer(*Kept),
                               [Self, Each, &From, &To, IsRequest,
                                Kept](error_code Fault, std::size_t) {
                                 if (Fault)
                                   Self->close(*Each);
                                 else
                                   Self->pump(Each, From, To, IsRequest);
                               });
    });
  }

  /// Closes with a reset, so that nothing lingers.
  void close(Pair &Each) {
    for (tcp::socket *Socket : {&Each.Caller_, &Each.Target_}) {
      error_code Ignored;
      Socket->set_option(boost::asio::socket_base::linger(true, 0), Ignored);
      Socket->close(Ignored);
    }
    std::erase_if(Open_,
                  [&Each](const auto &Row) { return Row.get() == &Each; });
  }

  boost::asio::io_context &Context_;
  tcp::acceptor Acceptor_;
  tcp::endpoint Target_;
  Harm Harm_;
  std::list<std::shared_ptr<Pair>> Open_;
};

LoopbackProxy::LoopbackProxy(net::EventLoop &Loop, const net::Endpoint &Listen,
                             const net::Endpoint &Target)
    : Impl_(std::make_shared<Impl>(Loop, Listen, Target)) {
  Impl_->accept();
}

LoopbackProxy::~LoopbackProxy() {
  error_code Ignored;
  Impl_->Acceptor_.close(Ignored);
  reset();
}

void LoopbackProxy::setHarm(Harm Value) { Impl_->Harm_ = Value; }

void LoopbackProxy::reset() {
  while (!Impl_->Open_.empty()) {
    const auto Each = Impl_->Open_.front();
    Impl_->close(*Each);
  }
}

} // namespace dragonfly::soak
