/// Memory from the heap whose size is known as the allocator gives it out.
#ifndef DRAGONFLY_SRC_NET_COUNTINGRESOURCE_H
#define DRAGONFLY_SRC_NET_COUNTINGRESOURCE_H

#include "dragonfly/base/HeldBytes.h"

#include <cstddef>
#include <memory_resource>

namespace dragonfly::net {

class CountingResource : public std::pmr::memory_resource {
public:
  /// Memory that is allocated now.
  std::size_t bytes() const { return Bytes_; }

private:
  void *do_allocate(std::size_t Bytes, std::size_t Alignment) override {
    void *Result = std::pmr::new_delete_resource()->allocate(Bytes, Alignment);
    Bytes_ += allocatedBytes(Bytes);
    return Result;
  }
  void do_deallocate(void *Memory, std::size_t Bytes,
                     std::size_t Alignment) override {
    std::pmr::new_delete_resource()->deallocate(Memory, Bytes, Alignment);
    Bytes_ -= allocatedBytes(Bytes);
  }
  bool
  do_is_equal(const std::pmr::memory_resource &Other) const noexcept override {
    return this == &Other;
  }

  std::size_t Bytes_ = 0;
};

} // namespace dragonfly::net

#endif // DRAGONFLY_SRC_NET_COUNTINGRESOURCE_H
