#include "soak/Calm.h"

#include <algorithm>

namespace dragonfly::soak {

Calm::Calm(std::size_t Controls, std::size_t Entries, std::size_t Workers)
    : Controls_(Controls), Processes_(Controls + Entries + Workers),
      Workers_(Workers) {}

void Calm::disturbProcess(std::size_t I, Duration Length) {
  Processes_[I] = std::max(Processes_[I], Clock::now() + Length);
}

void Calm::disturbWorker(std::size_t I, Duration Length) {
  Workers_[I] = std::max(Workers_[I], Clock::now() + Length);
}

void Calm::disturbAll() {
  for (std::size_t I = 0; I < Processes_.size(); ++I)
    disturbProcess(I);
  for (std::size_t I = 0; I < Workers_.size(); ++I)
    disturbWorker(I);
}

void Calm::healProcesses() { std::ranges::fill(Processes_, Clock::now()); }

TimePoint Calm::sinceNear(std::size_t I) const {
  TimePoint Since = *std::max_element(
      Processes_.begin(),
      Processes_.begin() + static_cast<std::ptrdiff_t>(Controls_));
  Since = std::max(Since, Workers_[I]);
  return std::max(Since, Processes_[Processes_.size() - Workers_.size() + I]);
}

TimePoint Calm::since() const {
  return std::max(std::ranges::max(Processes_), std::ranges::max(Workers_));
}

} // namespace dragonfly::soak
