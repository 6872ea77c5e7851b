/// Which job the path of a caller's request means.
#ifndef DRAGONFLY_SRC_CONTROL_JOBPATHS_H
#define DRAGONFLY_SRC_CONTROL_JOBPATHS_H

#include "dragonfly/jobs/JobTable.h"
#include "dragonfly/wire/JobMessages.h"

namespace dragonfly::control {

/// Returns whether the request names the queue that \p Job was submitted to.
inline bool wasSubmittedAt(const jobs::JobRow &Job,
                           const wire::JobRequest &Request) {
  return Job.Queue_.Host_ == Request.Host_ &&
         Job.Queue_.PathPrefix_ + Job.Id_ == Request.Path_;
}

/// Returns whether the job's id is the last segment of the path. Where it is
/// the end of a longer one, the path of another job may be meant.
inline bool isWholeSegment(const wire::JobRequest &Request) {
  return Request.Path_.ends_with('/' + Request.Job_);
}

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_JOBPATHS_H
