/// Signals that ask a process to stop or to read its settings again.
#ifndef DRAGONFLY_BASE_SIGNALS_H
#define DRAGONFLY_BASE_SIGNALS_H

namespace dragonfly {

/// Keeps SIGTERM, SIGINT and SIGHUP pending until they are released. A program
/// calls this first: until a handler is installed, such a signal would kill it.
void holdSignals();

/// Delivers \p Number from now on, also where it is pending already.
void releaseSignal(int Number);

} // namespace dragonfly

#endif // DRAGONFLY_BASE_SIGNALS_H
