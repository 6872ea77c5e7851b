#include "FramePath.h"

#include "dragonfly/wire/Frame.h"
#include "dragonfly/wire/Messages.h"

#include <boost/asio.hpp>

#include <array>
#include <deque>
#include <list>
#include <optional>
#include <utility>
#include <variant>

namespace dragonfly::review {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

tcp::endpoint toAsio(const net::Endpoint &Value) {
  return {boost::asio::ip::make_address(Value.Address_), Value.Port_};
}

} // namespace

struct FramePath::Impl : std::enable_shared_from_this<Impl> {
  struct Pair;

  /// One direction of a connection.
  struct Lane {
    explicit Lane(boost::asio::io_context &Context) : Timer_(Context) {}

    tcp::socket *From_ = nullptr;
    tcp::socket *To_ = nullptr;
    bool IsRequest_ = false;
    bool IsSilent_ = false;
    bool IsWriting_ = false;
    wire::FrameReader Reader_;
    std::array<char, 16384> Buffer_{};
    std::deque<std::pair<std::chrono::steady_clock::time_point, std::string>>
        Queue_;
    boost::asio::steady_timer Timer_;
  };

  struct Pair {
    explicit Pair(boost::asio::io_context &Context)
        : Caller_(Context), Target_(Context), Requests_(Context),
          Answers_(Context) {}

    tcp::socket Caller_;
    tcp::socket Target_;
    Lane Requests_;
    Lane Answers_;
    bool IsClosed_ = false;
  };
  using PairPtr = std::shared_ptr<Pair>;

  Impl(net::EventLoop &Loop, const net::Endpoint &Listen,
       const net::Endpoint &Target, Addresses Translated)
      : Context_(Loop.context()), Acceptor_(Context_, toAsio(Listen)),
        Target_(toAsio(Target)), Translated_(std::move(Translated)) {}

  void accept() {
    const auto Next = std::make_shared<Pair>(Context_);
    Acceptor_.async_accept(Next->Caller_,
                           [Self = shared_from_this(), Next](error_code Fault) {
                             if (Fault)
                               return;
                             Self->connect(Next);
                             Self->accept();
                           });
  }

  void connect(const PairPtr &Each) {
    Open_.push_back(Each);
    Each->Target_.async_connect(
        Target_, [Self = shared_from_this(), Each](error_code Fault) {
          if (Fault || Each->IsClosed_) {
            Self->close(*Each);
            return;
          }
          error_code Ignored;
          Each->Caller_.set_option(tcp::no_delay(true), Ignored);
          Each->Target_.set_option(tcp::no_delay(true), Ignored);
          Each->Requests_.From_ = &Each->Caller_;
          Each->Requests_.To_ = &Each->Target_;
          Each->Requests_.IsRequest_ = true;
          Each->Answers_.From_ = &Each->Target_;
          Each->Answers_.To_ = &Each->Caller_;
          Self->read(Each, Each->Requests_);
          Self->read(Each, Each->Answers_);
        });
  }

  void read(const PairPtr &Each, Lane &Way) {
    Way.From_->async_read_some(boost::asio::buffer(Way.Buffer_),
                               [Self = shared_from_this(), Each,
                                &Way](error_code Fault, std::size_t Size) {
                                 if (Each->IsClosed_)
                                   return;
                                 if (Fault) {
                                   // A path that is silent does not tell that
                                   // its other end is gone.
                                   if (!Way.IsSilent_)
                                     Self->close(*Each);
                                   return;
                                 }
                                 Self->take(Each, Way,
                                            {Way.Buffer_.data(), Size});
                                 Self->read(Each, Way);
                               });
  }

  void take(const PairPtr &Each, Lane &Way, const std::string &Bytes) {
    if (Way.IsRequest_ ? Harm_.CutsRequests_ : Harm_.CutsAnswers_)
      Way.IsSilent_ = true;
    if (Way.IsSilent_)
      return;
    std::string Passed;
    if (Way.IsRequest_) {
      Passed = Bytes;
    } else {
      Way.Reader_.feed(Bytes);
      while (std::optional<wire::Frame> Value = Way.Reader_.next()) {
        translate(*Value);
        Passed += wire::encodeFrame(*Value);
      }
    }
    if (Passed.empty())
      return;
    const Duration Delay =
        Way.IsRequest_ ? Harm_.RequestDelay_ : Harm_.AnswerDelay_;
    Way.Queue_.emplace_back(
        std::chrono::steady_clock::now() +
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                Delay),
        std::move(Passed));
    forward(Each, Way);
  }

  void translate(wire::Frame &Value) const {
    if (auto *Known = std::get_if<wire::Group>(&Value.Message_)) {
      Known->Leader_ = translated(Known->Leader_);
      for (wire::GroupRow &Row : Known->Rows_)
        Row.Address_ = translated(Row.Address_);
    } else if (auto *Refused = std::get_if<wire::Refusal>(&Value.Message_)) {
      Refused->Leader_ = translated(Refused->Leader_);
    }
  }

  std::string translated(const std::string &Address) const {
    const auto It = Translated_.find(Address);
    return It == Translated_.end() ? Address : It->second;
  }

  void forward(const PairPtr &Each, Lane &Way) {
    if (Way.IsWriting_ || Way.Queue_.empty() || Each->IsClosed_)
      return;
    Way.IsWriting_ = true;
    Way.Timer_.expires_at(Way.Queue_.front().first);
    Way.Timer_.async_wait([Self = shared_from_this(), Each, &Way](error_code) {
      if (Each->IsClosed_ || Way.IsSilent_)
        return;
      boost::asio::async_write(
          *Way.To_, boost::asio::buffer(Way.Queue_.front().second),
          [Self, Each, &Way](error_code Fault, std::size_t) {
            Way.IsWriting_ = false;
            if (Each->IsClosed_)
              return;
            if (Fault) {
              if (!Way.IsSilent_)
                Self->close(*Each);
              return;
            }
            Way.Queue_.pop_front();
            Self->forward(Each, Way);
          });
    });
  }

  void setHarm(const Harm &Value) {
    Harm_ = Value;
    if (Value.SilencesOpen_)
      for (const PairPtr &Each : Open_)
        Each->Requests_.IsSilent_ = Each->Answers_.IsSilent_ = true;
  }

  /// Closes with a reset, so that nothing lingers.
  void close(Pair &Each) {
    Each.IsClosed_ = true;
    for (tcp::socket *Socket : {&Each.Caller_, &Each.Target_}) {
      error_code Ignored;
      Socket->set_option(boost::asio::socket_base::linger(true, 0), Ignored);
      Socket->close(Ignored);
    }
    Each.Requests_.Timer_.cancel();
    Each.Answers_.Timer_.cancel();
    std::erase_if(Open_,
                  [&Each](const PairPtr &Row) { return Row.get() == &Each; });
  }

  void reset() {
    while (!Open_.empty()) {
      const PairPtr Each = Open_.front();
      close(*Each);
    }
  }

  boost::asio::io_context &Context_;
  tcp::acceptor Acceptor_;
  tcp::endpoint Target_;
  Addresses Translated_;
  Harm Harm_;
  std::list<PairPtr> Open_;
};

FramePath::FramePath(net::EventLoop &Loop, const net::Endpoint &Listen,
                     const net::Endpoint &Target, Addresses Translated)
    : Impl_(
          std::make_shared<Impl>(Loop, Listen, Target, std::move(Translated))) {
  Impl_->accept();
}

FramePath::~FramePath() {
  error_code Ignored;
  Impl_->Acceptor_.close(Ignored);
  reset();
}

void FramePath::setHarm(const Harm &Value) { Impl_->setHarm(Value); }

void FramePath::reset() { Impl_->reset(); }

} // namespace dragonfly::review
