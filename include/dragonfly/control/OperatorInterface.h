/// HTTP interface through which operators read and change the cluster state.
/// docs/DESIGN.md lists the calls.
#ifndef DRAGONFLY_CONTROL_OPERATORINTERFACE_H
#define DRAGONFLY_CONTROL_OPERATORINTERFACE_H

#include "dragonfly/net/HttpMessage.h"

#include <functional>
#include <string>

namespace dragonfly::control {

class ControlService;

/// Handles HTTP requests of operators. Every replica answers health and status
/// requests itself. Only the leader serves the others, and reads only after a
/// read barrier; any other replica responds with 307 and the leader's address,
/// or with 503 and Retry-After if it knows no leader. If a change may or may
/// not have been committed, the response is 504 `outcome-unknown`; a list
/// change can then be retried with the same change id.
class OperatorInterface {
public:
  using Reply = std::function<void(net::HttpResponse)>;

  explicit OperatorInterface(ControlService &Service) : Service_(Service) {}

  /// Handles \p Request and passes the response to \p Answer, either before
  /// returning or during a later tick of the service.
  void handle(const net::HttpRequest &Request, const Reply &Answer);

private:
  /// Responds with the result of \p Read once a read barrier has passed, or
  /// with a redirect if this replica cannot confirm that it is the leader.
  void readState(const net::HttpRequest &Request, const Reply &Answer,
                 std::function<net::HttpResponse()> Read);
  void putList(const net::HttpRequest &Request, const Reply &Answer);
  void changeMember(const net::HttpRequest &Request, const Reply &Answer);
  void changeEvacuation(const net::HttpRequest &Request, std::string Zone,
                        const Reply &Answer);
  /// Returns a 307 response to the leader, or 503 if no leader is known.
  net::HttpResponse redirect(const net::HttpRequest &Request) const;

  ControlService &Service_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_OPERATORINTERFACE_H
