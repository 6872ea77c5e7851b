/// What operators read and change over HTTP; docs/DESIGN.md has the table.
#ifndef DRAGONFLY_CONTROL_OPERATORINTERFACE_H
#define DRAGONFLY_CONTROL_OPERATORINTERFACE_H

#include "dragonfly/net/HttpMessage.h"

#include <functional>

namespace dragonfly::control {

class ControlService;

/// Answers the calls of operators. All but the status come from the leader
/// after a read barrier; another replica answers 307 with the leader's address,
/// or 503 with Retry-After where it knows none. A change that may or may not
/// have happened is answered with 504 `outcome-unknown`: the same change id may
/// be sent again.
class OperatorInterface {
public:
  using Reply = std::function<void(net::HttpResponse)>;

  explicit OperatorInterface(ControlService &Service) : Service_(Service) {}

  /// Answers \p Request, now or within a later tick of the service.
  void handle(const net::HttpRequest &Request, const Reply &Answer);

private:
  void readState(const net::HttpRequest &Request, const Reply &Answer,
                 std::function<net::HttpResponse()> Read);
  void putList(const net::HttpRequest &Request, const Reply &Answer);
  void changeMember(const net::HttpRequest &Request, const Reply &Answer);
  net::HttpResponse redirect(const net::HttpRequest &Request) const;

  ControlService &Service_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_OPERATORINTERFACE_H
