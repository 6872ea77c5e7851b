/// Builds the JSON responses of the operator interface.
#ifndef DRAGONFLY_SRC_CONTROL_OPERATORVIEWS_H
#define DRAGONFLY_SRC_CONTROL_OPERATORVIEWS_H

#include "dragonfly/net/HttpMessage.h"
#include "dragonfly/settings/Lists.h"
#include "dragonfly/settings/ReadSettings.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace dragonfly::control {

class ControlService;

/// Returns a 200 response with \p Content as its JSON body.
net::HttpResponse jsonResponse(const boost::json::object &Content);
/// Returns an application/problem+json response; \p More holds members to add
/// to its type and status.
net::HttpResponse problemResponse(std::uint16_t Status, std::string_view Type,
                                  boost::json::object More = {});
/// Returns an application/problem+json response that lists \p Faults.
net::HttpResponse
problemResponse(std::uint16_t Status, std::string_view Type,
                const std::vector<settings::JsonFault> &Faults);

/// Returns the content and version of a list.
net::HttpResponse viewList(const ControlService &Service,
                           settings::ListName Name);
/// Returns the state of this replica and the latest heartbeats of entries and
/// upstreams.
net::HttpResponse viewStatus(const ControlService &Service);
/// Returns all tasks in the replicated state.
net::HttpResponse viewTasks(const ControlService &Service);
/// Returns the request counts for each customer and kind.
net::HttpResponse viewCounts(const ControlService &Service);
/// Returns the availability zones that have been evacuated or taken back.
net::HttpResponse viewEvacuations(const ControlService &Service);
/// Returns the members of the replicated log.
net::HttpResponse viewMembers(const ControlService &Service);

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_OPERATORVIEWS_H
