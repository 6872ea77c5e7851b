#include "support/MemoryDisk.h"

#include <algorithm>
#include <ranges>

namespace dragonfly::bench {

using namespace consensus;

namespace {

class MemoryStorage : public Storage {
public:
  explicit MemoryStorage(std::shared_ptr<MemoryDisk> Disk)
      : Disk_(std::move(Disk)) {}

  Recovered recover() override { return Disk_->Current_; }

  void append(const Record &Value) override {
    const DiskStep Step = Value.Kind_ == RecordKind::Membership
                              ? DiskStep::AppendMembership
                              : DiskStep::Append;
    run(Step, [&] { Disk_->Current_.Records_.push_back(Value); });
  }

  void truncateFrom(LogIndex From) override {
    std::erase_if(Disk_->Current_.Records_,
                  [From](const Record &Row) { return Row.Index_ >= From; });
  }

  void saveHardState(const HardState &Value) override {
    run(DiskStep::SaveHardState, [&] { Disk_->Current_.Hard_ = Value; });
  }

  void saveSnapshot(const Snapshot &Value) override {
    run(DiskStep::SaveSnapshot, [&] {
      Disk_->Current_.Snapshot_ = Value;
      std::erase_if(Disk_->Current_.Records_, [&](const Record &Row) {
        return Row.Index_ <= Value.Index_;
      });
    });
  }

  void sync() override {
    run(DiskStep::Sync, [&] { Disk_->keep(); });
  }

private:
  void run(DiskStep Step, const std::function<void()> &Work) {
    if (Disk_->OnStep_)
      Disk_->OnStep_(Step, false);
    Work();
    if (Disk_->OnStep_)
      Disk_->OnStep_(Step, true);
  }

  std::shared_ptr<MemoryDisk> Disk_;
};

} // namespace

MemoryDisk::MemoryDisk(StoreId Store) {
  Current_.Store_ = Store;
  Durable_ = Current_;
}

void MemoryDisk::keep() {
  Durable_.Hard_ = Current_.Hard_;
  Durable_.Records_ = Current_.Records_;
  // The state is long; it is copied only where it was replaced.
  if (Durable_.Snapshot_.Index_ != Current_.Snapshot_.Index_)
    Durable_.Snapshot_ = Current_.Snapshot_;
}

void MemoryDisk::crash(bool Torn) {
  const std::vector<Record> Written = Current_.Records_;
  Current_ = Durable_;
  std::vector<Record> &Kept = Current_.Records_;
  const bool Extends =
      Torn && Written.size() > Kept.size() &&
      std::ranges::equal(
          Kept,
          Written | std::views::take(static_cast<std::ptrdiff_t>(Kept.size())),
          [](const Record &A, const Record &B) {
            return A.Index_ == B.Index_ && A.Term_ == B.Term_;
          });
  if (Extends) {
    const std::size_t Half = (Written.size() - Kept.size() + 1) / 2;
    const auto First =
        Written.begin() + static_cast<std::ptrdiff_t>(Kept.size());
    Kept.insert(Kept.end(), First, First + static_cast<std::ptrdiff_t>(Half));
  }
  Durable_ = Current_;
}

std::unique_ptr<Storage> openMemoryStorage(std::shared_ptr<MemoryDisk> Disk) {
  return std::make_unique<MemoryStorage>(std::move(Disk));
}

} // namespace dragonfly::bench
