#include "dragonfly/base/Signals.h"

#include <csignal>
#include <initializer_list>

namespace dragonfly {
namespace {

void changeMask(int How, std::initializer_list<int> Numbers) {
  sigset_t Signals;
  sigemptyset(&Signals);
  for (const int Number : Numbers)
    sigaddset(&Signals, Number);
  pthread_sigmask(How, &Signals, nullptr);
}

} // namespace

void holdSignals() { changeMask(SIG_BLOCK, {SIGTERM, SIGINT, SIGHUP}); }

void releaseSignal(int Number) { changeMask(SIG_UNBLOCK, {Number}); }

} // namespace dragonfly
